#ifndef CAMPHORWIND_CONFIG_PARSE_H
#define CAMPHORWIND_CONFIG_PARSE_H

#include "camphorwind/base/result.h"
#include "camphorwind/config/configuration.h"
#include "camphorwind/config/fault.h"

#include <string>
#include <string_view>

namespace camphorwind::config {

/// Parses and checks a fleet configuration, JSON with comments. \p FileName
/// only names the file in faults. Either everything in it can be applied, or
/// every fault is reported.
base::Result<Configuration, Faults> parse(std::string_view Text,
                                          std::string FileName);

} // namespace camphorwind::config

#endif // CAMPHORWIND_CONFIG_PARSE_H
