#include "camphorwind/routing/ejector.h"

#include <algorithm>

namespace camphorwind::routing {

namespace {

/// Weight of one attempt in the smoothed failure rate.
constexpr double RateShare = 0.1;
/// A slow start begins with this share of the window.
constexpr double FirstRamp = 0.1;

bool blamesEndpoint(FailureKind Kind) {
  switch (Kind) {
  case FailureKind::Failed:
  case FailureKind::Stalled:
  case FailureKind::LinkLost:
    return true;
  case FailureKind::Refused:
  case FailureKind::NotServing:
  case FailureKind::Cancelled:
    return false;
  }
  return false;
}

} // namespace

void Ejector::add(EndpointIndex Endpoint, base::TimePoint Now, bool SlowStart) {
  if (Endpoint >= States_.size())
    States_.resize(Endpoint + 1);
  remove(Endpoint);
  State &Added = States_[Endpoint];
  Added.Known_ = true;
  Added.StartedAt_ = Now;
  Added.SlowStart_ = SlowStart;
}

void Ejector::remove(EndpointIndex Endpoint) {
  setServing(Endpoint, false);
  States_[Endpoint] = State();
}

void Ejector::setServing(EndpointIndex Endpoint, bool Serving) {
  State &Its = States_[Endpoint];
  if (Its.Serving_ == Serving)
    return;
  Its.Serving_ = Serving;
  std::size_t &Ejected = EjectedServing_;
  if (Serving) {
    ++Serving_;
    Ejected += Its.Ejected_.has_value();
  } else {
    --Serving_;
    Ejected -= Its.Ejected_.has_value();
  }
}

void Ejector::sent(EndpointIndex Endpoint) {
  State &Its = States_[Endpoint];
  Its.Probing_ = Its.Ejected_.has_value();
}

void Ejector::count(State &Endpoint, bool Failure) {
  ++Endpoint.Attempts_;
  Endpoint.FailureRate_ +=
      RateShare * ((Failure ? 1.0 : 0.0) - Endpoint.FailureRate_);
  Endpoint.Failures_ = Failure ? Endpoint.Failures_ + 1 : 0;
}

void Ejector::succeeded(EndpointIndex Endpoint, base::TimePoint Now) {
  State &Its = States_[Endpoint];
  count(Its, false);
  if (!Its.Ejected_ || !Its.Probing_ || Now < Its.ProbeAt_)
    return;
  if (Its.Serving_)
    --EjectedServing_;
  Its.Ejected_.reset();
  Its.Probing_ = false;
  Its.FailureRate_ = 0;
  Its.Attempts_ = 0;
  Its.StartedAt_ = Now;
  Its.SlowStart_ = true;
}

std::optional<EjectionReason>
Ejector::failed(EndpointIndex Endpoint, FailureKind Kind, base::TimePoint Now) {
  State &Its = States_[Endpoint];
  if (!blamesEndpoint(Kind)) {
    Its.Probing_ = false;
    return std::nullopt;
  }
  count(Its, true);
  if (Its.Ejected_) {
    if (!Its.Probing_ || Now < Its.ProbeAt_)
      return std::nullopt;
    Its.Probing_ = false;
    Its.ProbeAt_ = Now + ejectionTime(++Its.InARow_);
    return std::nullopt;
  }
  EjectionReason Reason = EjectionReason::ConsecutiveFailures;
  bool Rate = Its.Attempts_ >= Options_.MinAttempts_ &&
              Its.FailureRate_ > Options_.FailureRateLimit_;
  if (Its.Failures_ < Options_.ConsecutiveFailureLimit_) {
    if (!Rate)
      return std::nullopt;
    Reason = EjectionReason::FailureRate;
  }
  if (!eject(Endpoint, Reason, Now))
    return std::nullopt;
  return Reason;
}

bool Ejector::canSpareOne() const {
  auto Allowed = static_cast<std::size_t>(static_cast<double>(Serving_) *
                                          Options_.MaxEjectedShare_);
  return EjectedServing_ + 1 <= Allowed && healthyCount() > 1;
}

base::Duration Ejector::ejectionTime(unsigned InARow) const {
  constexpr unsigned MaxDoublings = 16;
  unsigned Doublings = std::min(InARow - 1, MaxDoublings);
  return std::min(Options_.MaxEjectionTime_,
                  Options_.FirstEjectionTime_ * (1U << Doublings));
}

bool Ejector::eject(EndpointIndex Endpoint, EjectionReason Reason,
                    base::TimePoint Now) {
  State &Its = States_[Endpoint];
  if (!Its.Known_ || Its.Ejected_)
    return false;
  if (Its.Serving_ && !canSpareOne()) {
    ++Prevented_;
    return false;
  }
  // An endpoint that worked well for long starts again at the short time.
  if (Now - Its.StartedAt_ > Options_.MaxEjectionTime_)
    Its.InARow_ = 0;
  Its.Ejected_ = Reason;
  Its.Probing_ = false;
  Its.ProbeAt_ = Now + ejectionTime(++Its.InARow_);
  if (Its.Serving_)
    ++EjectedServing_;
  return true;
}

bool Ejector::ejected(EndpointIndex Endpoint) const {
  return States_[Endpoint].Ejected_.has_value();
}

bool Ejector::admits(EndpointIndex Endpoint, base::TimePoint Now) const {
  const State &Its = States_[Endpoint];
  if (!Its.Ejected_)
    return true;
  return Now >= Its.ProbeAt_ && !Its.Probing_;
}

double Ejector::slowStartShare(EndpointIndex Endpoint,
                               base::TimePoint Now) const {
  const State &Its = States_[Endpoint];
  if (!Its.SlowStart_ || Options_.SlowStartTime_ <= base::Duration::zero())
    return 1;
  using Seconds = std::chrono::duration<double>;
  double Part =
      Seconds(Now - Its.StartedAt_) / Seconds(Options_.SlowStartTime_);
  return std::clamp(Part, FirstRamp, 1.0);
}

std::optional<EjectionReason> Ejector::reason(EndpointIndex Endpoint) const {
  return States_[Endpoint].Ejected_;
}

base::TimePoint Ejector::probeAt(EndpointIndex Endpoint) const {
  return States_[Endpoint].ProbeAt_;
}

} // namespace camphorwind::routing
