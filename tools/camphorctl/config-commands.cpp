#include "config-commands.h"

#include "command-line.h"

#include "../../daemons/common/program.h"

#include "camphorwind/base/random.h"
#include "camphorwind/config/parse.h"

#include <chrono>
#include <cstdlib>
#include <iostream>

namespace camphorwind::ctl {

namespace options = boost::program_options;

namespace {

std::string defaultOperator() {
  const char *User = std::getenv("USER");
  return User ? User : "operator";
}

void printFaults(const config::Faults &Faults) {
  for (const config::Fault &Fault : Faults)
    std::cerr << toString(Fault) << "\n";
}

/// Does what an acceptance asks for until it has an outcome.
class AcceptanceDriver {
public:
  AcceptanceDriver(Session &Platform, config::Acceptance &Target)
      : Platform_(Platform), Target_(Target) {}

  config::AcceptanceOutcome run() {
    auto Wanted = Target_.start(Platform_.now());
    while (Wanted)
      Wanted = std::visit(
          [this](const auto &Action) { return perform(Action); }, *Wanted);
    return *Target_.outcome();
  }

private:
  using Next = std::optional<config::AcceptanceAction>;

  Next perform(const config::ReadRow &Action) {
    auto Read = Platform_.read(Action.Key_);
    return Target_.onRow(Platform_.now(), Read);
  }
  Next perform(const config::GetObject &Action) {
    auto Got = Platform_.getObject(Action.Name_);
    std::optional<std::string> Bytes;
    if (Got)
      Bytes = std::move(Got).value();
    return Target_.onObject(Platform_.now(), std::move(Bytes));
  }
  Next perform(const config::PutObject &Action) {
    bool Stored = Platform_.putObject(Action.Name_, Action.Bytes_);
    return Target_.onStored(Platform_.now(), Stored);
  }
  Next perform(const config::Transact &Action) {
    auto Result = Platform_.transact(Action.Transaction_);
    return Target_.onTransaction(Platform_.now(), Result);
  }
  Next perform(const config::WaitUntil &Action) {
    Platform_.sleepUntil(Action.At_);
    return Target_.onTimer(Platform_.now());
  }

  Session &Platform_;
  config::Acceptance &Target_;
};

ExitCode report(const config::Accepted &Outcome) {
  std::cout << "accepted " << toString(Outcome.Record_.Revision_) << "\n";
  return ExitCode::Success;
}

ExitCode report(const config::Conflict &Outcome) {
  std::cerr << "conflict: " << toString(Outcome.Winner_.Revision_) << " by "
            << Outcome.Winner_.Operator_
            << " is in force; nothing was changed\n"
            << config::describePatch(Outcome.SeenText_, Outcome.Change_);
  return ExitCode::Conflict;
}

ExitCode report(const config::NotAccepted &) {
  std::cerr << "the platform does not answer; nothing was changed\n";
  return ExitCode::Unavailable;
}

ExitCode report(const config::Undecided &Outcome) {
  std::cerr << "the platform's reply is missing; "
            << toString(Outcome.Proposed_) << " may be in force\n";
  return ExitCode::Undecided;
}

ExitCode check(CommandContext &Context) {
  const std::string &File = Context.text("file");
  auto Text = daemons::readFile(File);
  if (!Text) {
    std::cerr << Text.error().Detail_ << "\n";
    return ExitCode::BadInput;
  }
  auto Parsed = config::parse(Text.value(), File);
  if (!Parsed) {
    printFaults(Parsed.error());
    return ExitCode::BadInput;
  }
  std::cout << File << ": no faults\n";
  return ExitCode::Success;
}

ExitCode accept(CommandContext &Context) {
  const std::string &File = Context.text("file");
  auto Text = daemons::readFile(File);
  if (!Text) {
    std::cerr << Text.error().Detail_ << "\n";
    return ExitCode::BadInput;
  }
  auto Seen = currentRevision(*Context.Platform_);
  if (!Seen) {
    std::cerr << "the platform does not answer; nothing was changed\n";
    return ExitCode::Unavailable;
  }
  auto Wanted = Context.Given_["seen"].as<std::uint64_t>();
  if (Context.Given_["seen"].defaulted() || Wanted == Seen->Version_)
    return acceptText(*Context.Platform_, Text.value(), File, *Seen,
                      Context.text("operator"));
  std::cerr << "conflict: " << toString(*Seen) << " is in force, not version "
            << Wanted << "; nothing was changed\n";
  return ExitCode::Conflict;
}

} // namespace

std::optional<config::Revision> currentRevision(Session &Platform) {
  auto Read = Platform.read(std::string(config::CurrentKey));
  if (Read.Status_ != base::ReadStatus::Ok)
    return std::nullopt;
  if (Read.Rows_.empty())
    return config::Revision();
  auto Record = config::decodeRecord(Read.Rows_.front().Value_);
  if (!Record)
    return std::nullopt;
  return Record.value().Revision_;
}

ExitCode acceptText(Session &Platform, std::string Text, std::string FileName,
                    const config::Revision &Seen, const std::string &Operator) {
  base::Random Bits = base::systemRandom();
  config::Proposal Wanted;
  Wanted.Text_ = std::move(Text);
  Wanted.FileName_ = std::move(FileName);
  Wanted.Seen_ = Seen;
  Wanted.Operator_ = Operator;
  Wanted.At_ = std::chrono::floor<std::chrono::seconds>(
      std::chrono::system_clock::now());
  Wanted.Nonce_ = base::uniqueText(Bits);
  auto Started = config::Acceptance::create(std::move(Wanted));
  if (!Started) {
    printFaults(Started.error());
    return ExitCode::BadInput;
  }
  AcceptanceDriver Driver(Platform, Started.value());
  return std::visit([](const auto &Outcome) { return report(Outcome); },
                    Driver.run());
}

std::vector<Command> configCommands() {
  Command Check{
      "config check", "check a configuration file", {"file"}, {}, false, check};
  Command Accept{"config accept",
                 "put a configuration in force",
                 {"file"},
                 options::options_description("Options"),
                 true,
                 accept};
  auto Add = Accept.Options_.add_options();
  Add("seen", options::value<std::uint64_t>()->default_value(0),
      "the version the file was made from (default: the one in force)");
  Add("operator",
      options::value<std::string>()->default_value(defaultOperator()),
      "who accepts it");
  return {Check, Accept};
}

} // namespace camphorwind::ctl
