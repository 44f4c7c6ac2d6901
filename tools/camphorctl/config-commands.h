#ifndef CAMPHORWIND_TOOLS_CAMPHORCTL_CONFIG_COMMANDS_H
#define CAMPHORWIND_TOOLS_CAMPHORCTL_CONFIG_COMMANDS_H

#include "exit-code.h"
#include "session.h"

#include "camphorwind/config/acceptance.h"
#include "camphorwind/config/revision.h"

#include <optional>
#include <string>

namespace camphorwind::ctl {

/// Returns the revision in force; nothing if the platform does not answer.
std::optional<config::Revision> currentRevision(Session &Platform);

/// Accepts \p Text as the revision after \p Seen, and prints what came of it.
ExitCode acceptText(Session &Platform, std::string Text, std::string FileName,
                    const config::Revision &Seen, const std::string &Operator);

} // namespace camphorwind::ctl

#endif // CAMPHORWIND_TOOLS_CAMPHORCTL_CONFIG_COMMANDS_H
