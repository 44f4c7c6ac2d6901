#include "command-line.h"

#include "camphorwind/base/address.h"

#include <algorithm>
#include <cstdlib>
#include <iostream>

namespace camphorwind::ctl {

namespace options = boost::program_options;

namespace {

constexpr auto PlatformVariable = "CAMPHORWIND_PLATFORM";

options::options_description commonOptions() {
  options::options_description Common("Common options");
  auto Add = Common.add_options();
  Add("platform", options::value<std::string>(),
      "the platform's address, ip:port (default: $CAMPHORWIND_PLATFORM)");
  Add("output", options::value<std::string>()->default_value("table"),
      "table or json");
  Add("help", "show this text and exit");
  return Common;
}

void printOverview(const std::vector<Command> &Commands) {
  std::cout << "Usage: camphorctl COMMAND [arguments] [options]\n\n"
               "Operates a camphorwind fleet. Commands:\n";
  for (const Command &Known : Commands) {
    std::string Line = "  " + Known.Name_;
    for (const std::string &Argument : Known.Positional_)
      Line += " <" + Argument + ">";
    constexpr std::size_t SummaryColumn = 44;
    Line.resize(std::max(SummaryColumn, Line.size() + 2), ' ');
    std::cout << Line << Known.Summary_ << "\n";
  }
  std::cout << "\ncamphorctl COMMAND --help tells more; camphorctl --version "
               "shows the version.\n";
}

void printHelp(const Command &Chosen) {
  std::cout << "Usage: camphorctl " << Chosen.Name_;
  for (const std::string &Argument : Chosen.Positional_)
    std::cout << " <" << Argument << ">";
  std::cout << " [options]\n\n" << Chosen.Summary_ << "\n\n";
  if (!Chosen.Options_.options().empty())
    std::cout << Chosen.Options_ << "\n";
  std::cout << commonOptions();
}

/// Returns the command whose words begin the arguments; the longest wins.
const Command *findCommand(const std::vector<Command> &Commands,
                           const std::vector<std::string> &Arguments,
                           std::size_t &Words) {
  for (Words = std::min<std::size_t>(2, Arguments.size()); Words > 0; --Words) {
    std::string Name = Arguments[0];
    if (Words == 2)
      Name += " " + Arguments[1];
    auto Found =
        std::find_if(Commands.begin(), Commands.end(),
                     [&](const Command &C) { return C.Name_ == Name; });
    if (Found != Commands.end())
      return &*Found;
  }
  return nullptr;
}

options::variables_map parse(const Command &Chosen,
                             const std::vector<std::string> &Arguments) {
  options::options_description All = commonOptions();
  All.add(Chosen.Options_);
  options::options_description Hidden;
  options::positional_options_description Positions;
  for (const std::string &Name : Chosen.Positional_) {
    Hidden.add_options()(Name.c_str(), options::value<std::string>());
    Positions.add(Name.c_str(), 1);
  }
  All.add(Hidden);
  options::variables_map Given;
  options::store(options::command_line_parser(Arguments)
                     .options(All)
                     .positional(Positions)
                     .run(),
                 Given);
  return Given;
}

std::string platformText(const options::variables_map &Given) {
  if (Given.count("platform") > 0)
    return Given["platform"].as<std::string>();
  const char *FromEnvironment = std::getenv(PlatformVariable);
  return FromEnvironment ? FromEnvironment : "";
}

ExitCode usage(const std::string &Message) {
  std::cerr << "camphorctl: " << Message << "\nTry camphorctl --help.\n";
  return ExitCode::Usage;
}

ExitCode runParsed(const Command &Chosen, CommandContext Context) {
  for (const std::string &Name : Chosen.Positional_)
    if (!Context.has(Name))
      return usage(Chosen.Name_ + ": <" + Name + "> is missing");
  if (Context.text("output") == "json")
    Context.Output_ = OutputFormat::Json;
  else if (Context.text("output") != "table")
    return usage("--output: found \"" + Context.text("output") +
                 "\"; allowed: table, json");
  if (!Chosen.NeedsPlatform_)
    return Chosen.Run_(Context);
  auto Platform = base::addressFromString(platformText(Context.Given_));
  if (!Platform)
    return usage("--platform must be given as ip:port");
  auto Opened = Session::create(*Platform);
  if (!Opened) {
    std::cerr << "camphorctl: " << Opened.error().Detail_ << "\n";
    return ExitCode::Internal;
  }
  Context.Platform_ = Opened.value().get();
  return Chosen.Run_(Context);
}

} // namespace

ExitCode runCommandLine(const std::vector<Command> &Commands, int Count,
                        const char *const *Values) {
  std::vector<std::string> Arguments(Values + 1, Values + Count);
  if (Arguments.empty() || Arguments[0] == "--help") {
    printOverview(Commands);
    return Arguments.empty() ? ExitCode::Usage : ExitCode::Success;
  }
  if (Arguments[0] == "--version") {
    std::cout << "camphorctl " << CAMPHORWIND_VERSION << "\n";
    return ExitCode::Success;
  }
  std::size_t Words = 0;
  const Command *Chosen = findCommand(Commands, Arguments, Words);
  if (!Chosen)
    return usage("there is no command \"" + Arguments[0] + "\"");
  Arguments.erase(Arguments.begin(),
                  Arguments.begin() + static_cast<std::ptrdiff_t>(Words));
  try {
    CommandContext Context;
    Context.Given_ = parse(*Chosen, Arguments);
    if (Context.has("help")) {
      printHelp(*Chosen);
      return ExitCode::Success;
    }
    return runParsed(*Chosen, std::move(Context));
  } catch (const options::error &Error) {
    return usage(Chosen->Name_ + ": " + Error.what());
  }
}

} // namespace camphorwind::ctl
