#include "camphorwind/routing/cold-limits.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <string>

namespace camphorwind::routing {

namespace {

using namespace std::chrono_literals;

/// The window in which an endpoint's requests are counted.
constexpr auto Window = 1s;
/// Limit above which it does not bind.
constexpr double MaxLimit = 1e6;

} // namespace

void FleetCount::add(base::TimePoint CountedAt) {
  if (!CountedAt_ || CountedAt - *CountedAt_ > MaxReadAge)
    CountedSince_ = CountedAt;
  CountedAt_ = CountedAt;
  WasCounted_ = WasCounted_ || CountedAt - CountedSince_ >= EstablishTime;
}

bool FleetCount::isCounted(base::TimePoint Now) const {
  return CountedAt_ && Now - *CountedAt_ <= MaxReadAge &&
         *CountedAt_ - CountedSince_ >= EstablishTime;
}

void ColdLimits::setLimit(double Requests, base::Duration ColdTime) {
  Limit_ =
      static_cast<std::size_t>(std::floor(std::clamp(Requests, 0.0, MaxLimit)));
  ColdTime_ = ColdTime;
}

void ColdLimits::setPlace(FleetPlace Place, FleetTime ClockOffset,
                          const FleetCount &Count) {
  Place_ = Place;
  ClockOffset_ = ClockOffset;
  Count_ = Count;
}

void ColdLimits::setColdUntil(const base::EndpointId &Endpoint,
                              base::TimePoint Until) {
  Endpoints_[Endpoint].ColdUntil_ = Until;
}

void ColdLimits::setUnknown(const base::EndpointId &Endpoint,
                            base::TimePoint Since) {
  Endpoints_[Endpoint].UnknownSince_ = Since;
}

bool ColdLimits::isCold(const base::EndpointId &Endpoint,
                        base::TimePoint Now) const {
  auto Found = Endpoints_.find(Endpoint);
  if (Limit_ == 0 || Found == Endpoints_.end())
    return false;
  const auto &Since = Found->second.UnknownSince_;
  return Now < Found->second.ColdUntil_ || (Since && Now < *Since + ColdTime_);
}

base::Duration ColdLimits::wait(const base::EndpointId &Endpoint,
                                base::TimePoint Now) const {
  if (!isCold(Endpoint, Now))
    return base::Duration::zero();
  // The others may not count this router yet, and it may not know them all.
  if (!Count_.wasCounted())
    return TurnTime;
  auto Uncounted =
      static_cast<std::size_t>(UncountedShare * static_cast<double>(Limit_));
  std::size_t Part = Count_.isCounted(Now) ? Limit_ - Uncounted : Uncounted;
  if (Part < Place_.Routers_)
    return waitForTurn(Endpoint, Part, Now);
  std::size_t Own =
      Part / Place_.Routers_ + (Place_.Index_ < Part % Place_.Routers_ ? 1 : 0);
  const auto &Sent = Endpoints_.at(Endpoint).Sent_;
  if (Sent.size() < Own)
    return base::Duration::zero();
  return std::max<base::Duration>(base::Duration::zero(),
                                  Sent[Sent.size() - Own] + Window - Now);
}

base::Duration ColdLimits::waitForTurn(const base::EndpointId &Id,
                                       std::size_t Part,
                                       base::TimePoint Now) const {
  if (Part == 0)
    return TurnTime;
  // Two turns may fall into one window. A part of one request takes only every
  // second turn.
  std::size_t Takers = std::max<std::size_t>(1, Part / 2);
  std::int64_t Stride = Part == 1 ? 2 : 1;
  const std::string &Name = Id.str();
  std::uint64_t Phase = XXH3_64bits(Name.data(), Name.size());
  FleetTime Time = Now.time_since_epoch() + ClockOffset_;
  std::int64_t Current = Time / FleetTime(TurnTime);
  const auto &Sent = Endpoints_.at(Id).Sent_;
  auto TurnOf = [&](base::TimePoint At) {
    return (At.time_since_epoch() + ClockOffset_) / FleetTime(TurnTime);
  };
  auto Turns = static_cast<std::int64_t>(2 + Place_.Routers_ / Takers) * Stride;
  for (std::int64_t Turn = Current; Turn <= Current + Turns; ++Turn) {
    if (Turn % Stride != 0 || (!Sent.empty() && TurnOf(Sent.back()) == Turn))
      continue;
    std::uint64_t First =
        Phase + static_cast<std::uint64_t>(Turn / Stride) * Takers;
    if ((Place_.Index_ + First) % Place_.Routers_ >= Takers)
      continue;
    base::Duration Start = FleetTime(TurnTime) * Turn - Time;
    return std::max(Start, base::Duration::zero());
  }
  return TurnTime * Turns;
}

void ColdLimits::sent(const base::EndpointId &Endpoint, base::TimePoint Now) {
  if (!isCold(Endpoint, Now))
    return;
  auto &Sent = Endpoints_[Endpoint].Sent_;
  while (!Sent.empty() && Now - Sent.front() >= 2 * TurnTime)
    Sent.pop_front();
  Sent.push_back(Now);
}

void ColdLimits::sweep(base::TimePoint Now) {
  // Without a limit, whether an endpoint is cold is not known yet.
  if (Limit_ > 0)
    std::erase_if(Endpoints_,
                  [&](const auto &Each) { return !isCold(Each.first, Now); });
}

} // namespace camphorwind::routing
