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

constexpr Duration CarefulHorizon = minutes(20);
constexpr Duration CarefulIdle = seconds(20);
/// Of what is left, a careful router holds at most one part in this many for
/// each router.
constexpr double CarefulPartsPerRouter = 1;
constexpr std::int64_t CarefulLargestBoundDivisor = 4;

constexpr Duration GenerousHorizon = minutes(26);
constexpr Duration GenerousIdle = minutes(3);
/// Of what is left, a generous router holds at most this share.
constexpr double GenerousLargestShare = 0.34;

/// Requests expected for each that waits.
constexpr double WaitingFactor = 16;

Tokens scaled(Tokens Amount, double Factor) {
  return Tokens(
      static_cast<std::int64_t>(static_cast<double>(Amount.count()) * Factor));
}

/// What the router uses in \p Horizon at its present rate.
Tokens usedIn(const SizingInput &Now, Duration Horizon) {
  const double Seconds = std::chrono::duration<double>(Horizon).count();
  return Tokens(static_cast<std::int64_t>(
      std::min(Now.TokensPerSecond_ * Seconds, 9e15)));
}

/// Tokens that this router may hold or draw.
Tokens reachable(const SizingInput &Now) {
  return Now.Uncommitted_ + Now.Available_;
}

/// Aims at the use of \p Horizon but at no more than \p Share of what is
/// reachable, so that slices shrink geometrically near the limit. Waiting
/// requests are always served; where the rate is not known yet they stand for
/// more of their kind.
Tokens demandTarget(const SizingInput &Now, Duration Horizon, double Share) {
  const Tokens Cap = scaled(reachable(Now), Share);
  const Tokens Expected = scaled(Now.Waiting_, WaitingFactor);
  const Tokens Wanted = std::max(usedIn(Now, Horizon), Expected);
  return std::max(Now.Waiting_, std::min(Wanted, Cap));
}

} // namespace

Tokens SmallSlicePolicy::target(const SizingInput &Now) const {
  const double Parts =
      CarefulPartsPerRouter * static_cast<double>(Now.Routers_);
  return demandTarget(Now, CarefulHorizon, 1 / Parts);
}
Tokens SmallSlicePolicy::refillBelow(const SizingInput &Now) const {
  return scaled(target(Now), 0.8);
}
Tokens SmallSlicePolicy::returnAbove(const SizingInput &Now) const {
  return scaled(target(Now), 1.5);
}
Duration SmallSlicePolicy::idleAfter() const { return CarefulIdle; }
Tokens SmallSlicePolicy::largestBound(Tokens Prepaid) const {
  return Tokens(Prepaid.count() / CarefulLargestBoundDivisor);
}

Tokens LargeSlicePolicy::target(const SizingInput &Now) const {
  return demandTarget(Now, GenerousHorizon, GenerousLargestShare);
}
Tokens LargeSlicePolicy::refillBelow(const SizingInput &Now) const {
  return scaled(target(Now), 0.8);
}
Tokens LargeSlicePolicy::returnAbove(const SizingInput &Now) const {
  return scaled(target(Now), 1.4);
}
Duration LargeSlicePolicy::idleAfter() const { return GenerousIdle; }
Tokens LargeSlicePolicy::largestBound(Tokens Prepaid) const { return Prepaid; }

Tokens FixedSlicePolicy::target(const SizingInput &Now) const {
  return std::max(Size_, Now.Waiting_);
}
Tokens FixedSlicePolicy::refillBelow(const SizingInput &Now) const {
  return Now.Waiting_;
}
Tokens FixedSlicePolicy::returnAbove(const SizingInput &) const {
  return Tokens::max();
}
Duration FixedSlicePolicy::idleAfter() const { return Duration::max(); }
Tokens FixedSlicePolicy::largestBound(Tokens Prepaid) const { return Prepaid; }

Tokens EvenSplitPolicy::target(const SizingInput &Now) const {
  const auto Routers = static_cast<std::int64_t>(Now.Routers_);
  const Tokens Part(Now.Prepaid_.count() / Routers);
  return Now.Available_ + std::max(Tokens(), Part - Now.Granted_);
}
Tokens EvenSplitPolicy::refillBelow(const SizingInput &Now) const {
  return target(Now);
}
Tokens EvenSplitPolicy::returnAbove(const SizingInput &) const {
  return Tokens::max();
}
Duration EvenSplitPolicy::idleAfter() const { return Duration::max(); }
Tokens EvenSplitPolicy::largestBound(Tokens Prepaid) const { return Prepaid; }

Tokens PerRequestPolicy::target(const SizingInput &Now) const {
  return Now.Waiting_;
}
Tokens PerRequestPolicy::refillBelow(const SizingInput &Now) const {
  return Now.Waiting_;
}
Tokens PerRequestPolicy::returnAbove(const SizingInput &Now) const {
  return Now.Waiting_;
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
