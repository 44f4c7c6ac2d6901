#include "command-line.h"

#include "../../daemons/common/program.h"

#include "camphorwind/config/answers.h"

#include <iostream>

namespace camphorwind::ctl {

namespace {

ExitCode generate(CommandContext &Context) {
  const std::string &File = Context.text("answers");
  auto Text = daemons::readFile(File);
  if (!Text) {
    std::cerr << Text.error().Detail_ << "\n";
    return ExitCode::BadInput;
  }
  auto Given = config::parseAnswers(Text.value(), File);
  if (!Given) {
    for (const config::Fault &Found : Given.error())
      std::cerr << toString(Found) << "\n";
    return ExitCode::BadInput;
  }
  std::cout << config::generate(Given.value());
  return ExitCode::Success;
}

} // namespace

std::vector<Command> generateCommands() {
  return {{"generate",
           "print the configuration for a file of answers",
           {"answers"},
           {},
           false,
           generate}};
}

} // namespace camphorwind::ctl
