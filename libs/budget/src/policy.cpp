#include "camphorwind/budget/policy.h"

#include <algorithm>
#include <cmath>

namespace camphorwind::budget {
namespace {

using base::Duration;
using base::Tokens;
using std::chrono::minutes;
using std::chrono::seconds;

static_assert(SizingPolicy<SmallSlicePolicy> &&
              SizingPolicy<LargeSlicePolicy> &&
              SizingPolicy<FixedSlicePolicy> && SizingPolicy<EvenSplitPolicy> &&
              SizingPolicy<PerRequestPolicy>);

/// Fraction of the target below which a slice is refilled.
constexpr double RefillFraction = 0.8;

/// Time for which a small slice should last at the present rate.
constexpr Duration SmallSliceHorizon = minutes(20);
constexpr Duration SmallSliceIdleTime = seconds(20);
/// The reachable tokens are divided into this many shares per router; a small
/// slice is at most one share.
constexpr double SmallSliceSharesPerRouter = 1;
/// Multiple of the target above which the excess is returned.
constexpr double SmallSliceReturnFactor = 1.5;
/// One request may reserve at most the prepaid tokens divided by this.
constexpr std::int64_t SmallSliceMaxBoundDivisor = 4;

/// Time for which a large slice should last at the present rate.
constexpr Duration LargeSliceHorizon = minutes(26);
constexpr Duration LargeSliceIdleTime = minutes(3);
/// Maximum fraction of the reachable tokens in one large slice.
constexpr double LargeSliceMaxShare = 0.34;
/// Multiple of the target above which the excess is returned.
constexpr double LargeSliceReturnFactor = 1.4;

/// Minimum expected demand, as a multiple of the bounds of the waiting
/// requests. While the rate is not known yet, each of them stands for further
/// requests of its kind.
constexpr double DemandPerWaitingRequest = 16;

Tokens scaled(Tokens Amount, double Factor) {
  return Tokens(
      static_cast<std::int64_t>(static_cast<double>(Amount.count()) * Factor));
}

/// Returns the tokens that the router bills within \p Horizon at its present
/// rate, capped so that the conversion to an integer cannot overflow.
Tokens expectedUse(const SizingInput &Input, Duration Horizon) {
  const double Seconds = std::chrono::duration<double>(Horizon).count();
  return Tokens(static_cast<std::int64_t>(
      std::min(Input.TokensPerSecond_ * Seconds, 9e15)));
}

/// Returns the tokens that this router has available or may draw.
Tokens reachable(const SizingInput &Input) {
  return Input.Ungranted_ + Input.Available_;
}

/// Returns the demand expected within \p Horizon, but at most the fraction \p
/// MaxShare of the reachable tokens, so that slices shrink geometrically as the
/// budget runs out. The expected demand is at least `DemandPerWaitingRequest`
/// times the bounds of the waiting requests. The target always covers these
/// bounds.
Tokens demandTarget(const SizingInput &Input, Duration Horizon,
                    double MaxShare) {
  const Tokens Cap = scaled(reachable(Input), MaxShare);
  const Tokens Expected = scaled(Input.Waiting_, DemandPerWaitingRequest);
  const Tokens Demand = std::max(expectedUse(Input, Horizon), Expected);
  return std::max(Input.Waiting_, std::min(Demand, Cap));
}

} // namespace

Tokens SmallSlicePolicy::target(const SizingInput &Input) const {
  const double Shares =
      SmallSliceSharesPerRouter * static_cast<double>(Input.Routers_);
  return demandTarget(Input, SmallSliceHorizon, 1 / Shares);
}
Tokens SmallSlicePolicy::refillBelow(const SizingInput &Input) const {
  return scaled(target(Input), RefillFraction);
}
Tokens SmallSlicePolicy::returnAbove(const SizingInput &Input) const {
  return scaled(target(Input), SmallSliceReturnFactor);
}
Duration SmallSlicePolicy::idleAfter() const { return SmallSliceIdleTime; }
Tokens SmallSlicePolicy::largestBound(Tokens Prepaid) const {
  return Tokens(Prepaid.count() / SmallSliceMaxBoundDivisor);
}

Tokens LargeSlicePolicy::target(const SizingInput &Input) const {
  return demandTarget(Input, LargeSliceHorizon, LargeSliceMaxShare);
}
Tokens LargeSlicePolicy::refillBelow(const SizingInput &Input) const {
  return scaled(target(Input), RefillFraction);
}
Tokens LargeSlicePolicy::returnAbove(const SizingInput &Input) const {
  return scaled(target(Input), LargeSliceReturnFactor);
}
Duration LargeSlicePolicy::idleAfter() const { return LargeSliceIdleTime; }
Tokens LargeSlicePolicy::largestBound(Tokens Prepaid) const { return Prepaid; }

Tokens FixedSlicePolicy::target(const SizingInput &Input) const {
  return std::max(Size_, Input.Waiting_);
}
Tokens FixedSlicePolicy::refillBelow(const SizingInput &Input) const {
  return Input.Waiting_;
}
Tokens FixedSlicePolicy::returnAbove(const SizingInput &) const {
  return Tokens::max();
}
Duration FixedSlicePolicy::idleAfter() const { return Duration::max(); }
Tokens FixedSlicePolicy::largestBound(Tokens Prepaid) const { return Prepaid; }

Tokens EvenSplitPolicy::target(const SizingInput &Input) const {
  const auto Routers = static_cast<std::int64_t>(Input.Routers_);
  const Tokens EqualShare(Input.Prepaid_.count() / Routers);
  return Input.Available_ + std::max(Tokens(), EqualShare - Input.Granted_);
}
Tokens EvenSplitPolicy::refillBelow(const SizingInput &Input) const {
  return target(Input);
}
Tokens EvenSplitPolicy::returnAbove(const SizingInput &) const {
  return Tokens::max();
}
Duration EvenSplitPolicy::idleAfter() const { return Duration::max(); }
Tokens EvenSplitPolicy::largestBound(Tokens Prepaid) const { return Prepaid; }

Tokens PerRequestPolicy::target(const SizingInput &Input) const {
  return Input.Waiting_;
}
Tokens PerRequestPolicy::refillBelow(const SizingInput &Input) const {
  return Input.Waiting_;
}
Tokens PerRequestPolicy::returnAbove(const SizingInput &Input) const {
  return Input.Waiting_;
}
Duration PerRequestPolicy::idleAfter() const { return Duration::zero(); }
Tokens PerRequestPolicy::largestBound(Tokens Prepaid) const { return Prepaid; }

std::optional<Policy> policyFromString(std::string_view Name) {
  if (Name == "careful")
    return SmallSlicePolicy();
  if (Name == "generous")
    return LargeSlicePolicy();
  return std::nullopt;
}

} // namespace camphorwind::budget
