#include "command-line.h"

#include <iterator>
#include <utility>

using namespace camphorwind::ctl;

int main(int Count, char **Values) {
  std::vector<Command> Commands;
  for (auto Group : {accountCommands(), budgetCommands(), configCommands(),
                     generateCommands(), historyCommands(), statusCommands()})
    std::move(Group.begin(), Group.end(), std::back_inserter(Commands));
  return static_cast<int>(runCommandLine(Commands, Count, Values));
}
