#ifndef CAMPHORWIND_BUDGET_POLICY_H
#define CAMPHORWIND_BUDGET_POLICY_H

#include "camphorwind/base/time.h"
#include "camphorwind/base/tokens.h"

#include <concepts>
#include <cstddef>
#include <optional>
#include <string_view>
#include <variant>

/// Sizing of the slice that a router holds of a budget. A policy affects only
/// which router refuses requests, and when; it cannot create tokens that the
/// budget row did not grant.
namespace camphorwind::budget {

/// State of one budget at a router, from which its slice is sized.
struct SizingInput {
  /// Smoothed rate at which the router bills this budget, in tokens per second.
  double TokensPerSecond_ = 0;
  /// Tokens granted to this router and not returned, billed ones included.
  base::Tokens Granted_;
  /// Held tokens that are not reserved.
  base::Tokens Available_;
  /// Sum of the bounds of the requests that wait for a larger slice.
  base::Tokens Waiting_;
  /// All tokens ever paid for, as of the last known budget row.
  base::Tokens Prepaid_;
  /// Prepaid tokens not granted to any slice, as of the last known budget row.
  base::Tokens Ungranted_;
  /// Routers that may draw on the budget, this one included.
  std::size_t Routers_ = 1;
};

/// Sizes slices. The target and the thresholds are amounts of available, that
/// is held and unreserved, tokens.
template <class T>
concept SizingPolicy = requires(const T &Policy, const SizingInput &Input) {
  /// Available tokens to hold after drawing from the budget.
  { Policy.target(Input) } -> std::same_as<base::Tokens>;
  /// Draw when fewer than this are available.
  { Policy.refillBelow(Input) } -> std::same_as<base::Tokens>;
  /// When more than this are available, return what exceeds the target.
  { Policy.returnAbove(Input) } -> std::same_as<base::Tokens>;
  /// Return all unreserved tokens after this time without a reservation.
  { Policy.idleAfter() } -> std::same_as<base::Duration>;
  /// Maximum bound of one request, given the prepaid tokens of the budget.
  { Policy.largestBound(base::Tokens()) } -> std::same_as<base::Tokens>;
};

/// Setting "careful": the target is at most an equal share of the reachable
/// tokens per router, or what waiting requests need, and unreserved tokens are
/// returned after 20 s without a reservation. A router that dies then holds few
/// tokens.
class SmallSlicePolicy {
public:
  base::Tokens target(const SizingInput &Input) const;
  base::Tokens refillBelow(const SizingInput &Input) const;
  base::Tokens returnAbove(const SizingInput &Input) const;
  base::Duration idleAfter() const;
  base::Tokens largestBound(base::Tokens Prepaid) const;
};

/// Setting "generous": slices that last through a long table outage and are
/// rebalanced as the budget runs out.
class LargeSlicePolicy {
public:
  base::Tokens target(const SizingInput &Input) const;
  base::Tokens refillBelow(const SizingInput &Input) const;
  base::Tokens returnAbove(const SizingInput &Input) const;
  base::Duration idleAfter() const;
  base::Tokens largestBound(base::Tokens Prepaid) const;
};

/// Baseline for measurements: slices of one size, drawn when used up.
class FixedSlicePolicy {
public:
  explicit FixedSlicePolicy(base::Tokens Size) : Size_(Size) {}
  base::Tokens target(const SizingInput &Input) const;
  base::Tokens refillBelow(const SizingInput &Input) const;
  base::Tokens returnAbove(const SizingInput &Input) const;
  base::Duration idleAfter() const;
  base::Tokens largestBound(base::Tokens Prepaid) const;

private:
  base::Tokens Size_;
};

/// Baseline for measurements: every router takes an equal share of the prepaid
/// tokens.
class EvenSplitPolicy {
public:
  base::Tokens target(const SizingInput &Input) const;
  base::Tokens refillBelow(const SizingInput &Input) const;
  base::Tokens returnAbove(const SizingInput &Input) const;
  base::Duration idleAfter() const;
  base::Tokens largestBound(base::Tokens Prepaid) const;
};

/// Baseline for measurements: holds nothing; each request draws its own bound.
class PerRequestPolicy {
public:
  base::Tokens target(const SizingInput &Input) const;
  base::Tokens refillBelow(const SizingInput &Input) const;
  base::Tokens returnAbove(const SizingInput &Input) const;
  base::Duration idleAfter() const;
  base::Tokens largestBound(base::Tokens Prepaid) const;
};

/// The policy of one budget, chosen by settings.
using Policy =
    std::variant<SmallSlicePolicy, LargeSlicePolicy, FixedSlicePolicy,
                 EvenSplitPolicy, PerRequestPolicy>;

/// Returns the policy of the setting \p Name, "careful" or "generous"; nullopt
/// for any other name.
std::optional<Policy> policyFromString(std::string_view Name);

} // namespace camphorwind::budget

#endif // CAMPHORWIND_BUDGET_POLICY_H
