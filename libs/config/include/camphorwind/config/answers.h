#ifndef CAMPHORWIND_CONFIG_ANSWERS_H
#define CAMPHORWIND_CONFIG_ANSWERS_H

#include "camphorwind/base/address.h"
#include "camphorwind/base/result.h"
#include "camphorwind/config/fault.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

/// A new team's answers to the questionnaire, from which its configuration is
/// generated.
namespace camphorwind::config {

/// What the team fears more near the end of a budget.
enum class Caution {
  Overspend, ///< Small slices: little is held by a router that is cut off.
  Refusals,  ///< Large slices: routers ride out a longer table outage.
};

/// Agents by the failure domain they are in.
using AgentsByDomain = std::map<std::string, std::vector<base::Address>>;

struct Answers {
  std::string Fleet_;
  std::string Region_;
  std::vector<std::string> FailureDomains_;
  Caution Caution_ = Caution::Overspend;
  std::vector<std::string> Accounts_;
  std::string Model_;
  std::string ModelVersion_;
  /// Key of the weights in the weight store, and their size.
  std::string WeightsObject_;
  std::int64_t WeightsBytes_ = 0;
  std::int64_t ContextTokens_ = 0;
  std::int64_t MaxOutputTokens_ = 0;
  AgentsByDomain Engines_;
  bool EnginesCheckFencing_ = false;
  /// Empty if there is no plain service beside the engines.
  std::string Service_;
  /// Calls that may run at most once, and all others: `POST /orders`.
  std::vector<std::string> OnceOnlyCalls_;
  std::vector<std::string> RepeatableCalls_;
  AgentsByDomain ServiceHosts_;
};

/// Parses answers, JSON with comments.
base::Result<Answers, Faults> parseAnswers(std::string_view Text,
                                           std::string FileName);

/// Returns the configuration for \p Value: the same bytes for the same
/// answers, with a comment on each choice.
std::string generate(const Answers &Value);

} // namespace camphorwind::config

#endif // CAMPHORWIND_CONFIG_ANSWERS_H
