#include "camphorwind/routing/request-limits.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <limits>
#include <string>
#include <utility>

namespace camphorwind::routing {

namespace {

using Seconds = std::chrono::duration<double>;

/// Rate above which a limit does not bind, which keeps turns apart in time.
constexpr double MaxPerSecond = 1e6;

/// Returns a number from 0 to 1 that is the same on all routers.
double phaseOf(const base::EndpointId &Endpoint) {
  const std::string &Name = Endpoint.str();
  return static_cast<double>(XXH3_64bits(Name.data(), Name.size())) /
         static_cast<double>(std::numeric_limits<std::uint64_t>::max());
}

} // namespace

void TurnSchedule::set(double PerSecond, FleetPlace Place, double Phase,
                       FleetTime Now) {
  if (PerSecond == PerSecond_ && Place == Place_ && Phase == Phase_)
    return;
  PerSecond_ = PerSecond;
  Place_ = Place;
  Phase_ = Phase;
  Period_ = static_cast<double>(Place.Routers_) / PerSecond;
  DoneUntil_ = Seconds(Now).count();
  // Without the distance, a limit that changes with each answer would let a
  // router send at twice its rate.
  if (LastTaken_)
    DoneUntil_ = std::max(DoneUntil_, *LastTaken_ + Period_ / 2);
}

double TurnSchedule::nextTurn(FleetTime Now) const {
  double Oldest = Seconds(Now - TurnLifetime).count();
  double After = std::max(DoneUntil_, Oldest);
  double Share = static_cast<double>(Place_.Index_) /
                     static_cast<double>(Place_.Routers_) +
                 Phase_;
  double Turn = std::floor(After / Period_ - Share) + 1;
  double Start = (Turn + Share) * Period_;
  // Rounding may give the turn that was taken last.
  return Start > After ? Start : Start + Period_;
}

base::Duration TurnSchedule::wait(FleetTime Now) const {
  Seconds Left(nextTurn(Now) - Seconds(Now).count());
  return std::chrono::duration_cast<base::Duration>(
      std::max(Left, Seconds::zero()));
}

void TurnSchedule::take(FleetTime Now) {
  LastTaken_ = nextTurn(Now);
  DoneUntil_ = *LastTaken_;
}

void RequestLimits::setPlace(FleetPlace Place, FleetTime ClockOffset,
                             base::TimePoint Now) {
  ClockOffset_ = ClockOffset;
  Place_ = Place;
  for (auto &[Endpoint, Stated] : Limits_)
    schedule(Endpoint, Stated, Now);
}

void RequestLimits::schedule(const base::EndpointId &Endpoint, Limit &Stated,
                             base::TimePoint Now) const {
  double PerSecond = std::clamp(Stated.PerSecond_, MinPerSecond, MaxPerSecond);
  FleetTime Time = fleetTime(Now);
  Stated.Turns_.set(PerSecond, Place_, phaseOf(Endpoint), Time);
  Stated.IsAdopting_ =
      Stated.Claimants_ && Stated.Claimants_->Routers_ < Place_.Routers_;
  if (!Stated.IsAdopting_)
    return;
  auto Idle =
      static_cast<double>(Place_.Routers_ - Stated.Claimants_->Routers_) /
      static_cast<double>(Place_.Routers_);
  Stated.Adopted_.set(AdoptedShare * Idle * PerSecond, *Stated.Claimants_,
                      phaseOf(Endpoint), Time);
}

bool RequestLimits::state(const base::EndpointId &Endpoint, double PerSecond,
                          base::TimePoint Now) {
  auto [Found, New] = Limits_.try_emplace(Endpoint);
  Limit &Stated = Found->second;
  Stated.StatedAt_ = Now;
  bool Changed = std::exchange(Stated.PerSecond_, PerSecond) != PerSecond;
  schedule(Endpoint, Stated, Now);
  return Changed || New;
}

bool RequestLimits::end(const base::EndpointId &Endpoint,
                        base::TimePoint SentAt) {
  auto Found = Limits_.find(Endpoint);
  if (Found == Limits_.end() || SentAt < Found->second.StatedAt_)
    return false;
  Limits_.erase(Found);
  return true;
}

base::Duration RequestLimits::wait(const base::EndpointId &Endpoint,
                                   base::TimePoint Now) const {
  auto Found = Limits_.find(Endpoint);
  if (Found == Limits_.end())
    return base::Duration::zero();
  const Limit &Stated = Found->second;
  base::Duration Wait = Stated.Turns_.wait(fleetTime(Now));
  if (Stated.IsAdopting_)
    Wait = std::min(Wait, Stated.Adopted_.wait(fleetTime(Now)));
  return Wait;
}

void RequestLimits::want(const base::EndpointId &Endpoint,
                         base::TimePoint Now) {
  auto Found = Limits_.find(Endpoint);
  if (Found != Limits_.end())
    Found->second.WantedAt_ = Now;
}

std::vector<base::EndpointId> RequestLimits::limited() const {
  std::vector<base::EndpointId> Found;
  for (const auto &[Endpoint, Stated] : Limits_)
    Found.push_back(Endpoint);
  std::sort(Found.begin(), Found.end());
  return Found;
}

bool RequestLimits::isWanted(const base::EndpointId &Endpoint,
                             base::TimePoint Now) const {
  auto Found = Limits_.find(Endpoint);
  return Found != Limits_.end() && Found->second.WantedAt_ &&
         Now - *Found->second.WantedAt_ < WantTime;
}

void RequestLimits::setClaimants(const base::EndpointId &Endpoint,
                                 std::optional<FleetPlace> Claimants,
                                 base::TimePoint Now) {
  auto Found = Limits_.find(Endpoint);
  if (Found == Limits_.end() || Found->second.Claimants_ == Claimants)
    return;
  Found->second.Claimants_ = Claimants;
  schedule(Endpoint, Found->second, Now);
}

void RequestLimits::sent(const base::EndpointId &Endpoint,
                         base::TimePoint Now) {
  auto Found = Limits_.find(Endpoint);
  if (Found == Limits_.end())
    return;
  Limit &Stated = Found->second;
  FleetTime Time = fleetTime(Now);
  bool IsOwnTurn = Stated.Turns_.wait(Time) == base::Duration::zero();
  if (!IsOwnTurn && Stated.IsAdopting_ &&
      Stated.Adopted_.wait(Time) == base::Duration::zero())
    Stated.Adopted_.take(Time);
  else
    Stated.Turns_.take(Time);
}

} // namespace camphorwind::routing
