#ifndef CAMPHORWIND_BUDGET_POLICY_H
#define CAMPHORWIND_BUDGET_POLICY_H

#include "camphorwind/base/time.h"
#include "camphorwind/base/tokens.h"

#include <concepts>
#include <cstddef>
#include <optional>
#include <string_view>
#include <variant>

/// How much of a budget a router holds. A policy decides only who may refuse
/// when; no policy can make tokens that the budget row did not grant.
namespace camphorwind::budget {

/// What a router knows when it sizes its slice of one budget.
struct SizingInput {
  /// Tokens the router bills a second from this budget, smoothed.
  double TokensPerSecond_ = 0;
  /// Tokens granted to this router and not returned, billed ones included.
  base::Tokens Granted_;
  /// Held tokens that nothing is reserved against.
  base::Tokens Available_;
  /// Bounds of requests that wait for a larger slice.
  base::Tokens Waiting_;
  /// As of the latest sight of the budget row.
  base::Tokens Prepaid_;
  base::Tokens Uncommitted_;
  /// Routers that may draw on the budget, this one included.
  std::size_t Routers_ = 1;
};

/// Sizes slices. All amounts are of available, that is unreserved, tokens.
template <class T>
concept SizingPolicy = requires(const T &Policy, const SizingInput &Now) {
  /// Available tokens to aim at when drawing from the budget.
  { Policy.target(Now) } -> std::same_as<base::Tokens>;
  /// Draw when fewer than this are available.
  { Policy.refillBelow(Now) } -> std::same_as<base::Tokens>;
  /// Return what exceeds the target when more than this are available.
  { Policy.returnAbove(Now) } -> std::same_as<base::Tokens>;
  /// Return everything unreserved after this long without a reservation.
  { Policy.idleAfter() } -> std::same_as<base::Duration>;
  /// Largest bound of one request, given what was prepaid.
  { Policy.largestBound(base::Tokens()) } -> std::same_as<base::Tokens>;
};

/// Small slices, quick return: little is held by a router that dies.
class SmallSlicePolicy {
public:
  base::Tokens target(const SizingInput &Now) const;
  base::Tokens refillBelow(const SizingInput &Now) const;
  base::Tokens returnAbove(const SizingInput &Now) const;
  base::Duration idleAfter() const;
  base::Tokens largestBound(base::Tokens Prepaid) const;
};

/// Slices that outlast a long table outage, rebalanced near the limit.
class LargeSlicePolicy {
public:
  base::Tokens target(const SizingInput &Now) const;
  base::Tokens refillBelow(const SizingInput &Now) const;
  base::Tokens returnAbove(const SizingInput &Now) const;
  base::Duration idleAfter() const;
  base::Tokens largestBound(base::Tokens Prepaid) const;
};

/// Baseline: slices of one size, drawn when used up.
class FixedSlicePolicy {
public:
  explicit FixedSlicePolicy(base::Tokens Size) : Size_(Size) {}
  base::Tokens target(const SizingInput &Now) const;
  base::Tokens refillBelow(const SizingInput &Now) const;
  base::Tokens returnAbove(const SizingInput &Now) const;
  base::Duration idleAfter() const;
  base::Tokens largestBound(base::Tokens Prepaid) const;

private:
  base::Tokens Size_;
};

/// Baseline: every router takes its equal part of all that is prepaid.
class EvenSplitPolicy {
public:
  base::Tokens target(const SizingInput &Now) const;
  base::Tokens refillBelow(const SizingInput &Now) const;
  base::Tokens returnAbove(const SizingInput &Now) const;
  base::Duration idleAfter() const;
  base::Tokens largestBound(base::Tokens Prepaid) const;
};

/// Baseline: holds nothing; each request draws its own bound.
class PerRequestPolicy {
public:
  base::Tokens target(const SizingInput &Now) const;
  base::Tokens refillBelow(const SizingInput &Now) const;
  base::Tokens returnAbove(const SizingInput &Now) const;
  base::Duration idleAfter() const;
  base::Tokens largestBound(base::Tokens Prepaid) const;
};

/// The policy of one budget, chosen by settings.
using Policy =
    std::variant<SmallSlicePolicy, LargeSlicePolicy, FixedSlicePolicy,
                 EvenSplitPolicy, PerRequestPolicy>;

/// Returns the shipped policy with the name \p Name: "careful" or "generous".
std::optional<Policy> policyFromString(std::string_view Name);

} // namespace camphorwind::budget

#endif // CAMPHORWIND_BUDGET_POLICY_H
