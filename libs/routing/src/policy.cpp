#include "camphorwind/routing/policy.h"

#include <array>

namespace camphorwind::routing {

std::string_view toString(PolicyKind Kind) {
  switch (Kind) {
  case PolicyKind::LeastCost:
    return "shipped";
  case PolicyKind::RoundRobin:
    return "round_robin";
  case PolicyKind::LeastLoad:
    return "least_load";
  case PolicyKind::TwoChoices:
    return "two_choices";
  }
  return "invalid";
}

std::optional<PolicyKind> policyKindFromString(std::string_view Name) {
  for (std::size_t Index = 0; Index < PolicyKindCount; ++Index)
    if (toString(static_cast<PolicyKind>(Index)) == Name)
      return static_cast<PolicyKind>(Index);
  return std::nullopt;
}

SelectablePolicy::SelectablePolicy(PolicyKind Kind) {
  switch (Kind) {
  case PolicyKind::LeastCost:
    return;
  case PolicyKind::RoundRobin:
    Policy_ = RoundRobin();
    return;
  case PolicyKind::LeastLoad:
    Policy_ = LeastLoad();
    return;
  case PolicyKind::TwoChoices:
    Policy_ = TwoChoices();
    return;
  }
}

} // namespace camphorwind::routing
