#include "camphorwind/routing/ejector.h"

#include <algorithm>

namespace camphorwind::routing {

namespace {

/// Weight of one attempt in the smoothed failure rate.
constexpr double FailureRateSmoothing = 0.1;
/// Share of the window at the beginning of a slow start.
constexpr double MinSlowStartShare = 0.1;

bool isEndpointFailure(FailureKind Kind) {
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
  if (Endpoint >= Endpoints_.size())
    Endpoints_.resize(Endpoint + 1);
  remove(Endpoint);
  EndpointHealth &Added = Endpoints_[Endpoint];
  Added.Known_ = true;
  Added.InServiceSince_ = Now;
  Added.SlowStart_ = SlowStart;
}

void Ejector::remove(EndpointIndex Endpoint) {
  setServing(Endpoint, false);
  Endpoints_[Endpoint] = EndpointHealth();
}

void Ejector::setServing(EndpointIndex Endpoint, bool Serving) {
  EndpointHealth &Health = Endpoints_[Endpoint];
  if (Health.Serving_ == Serving)
    return;
  Health.Serving_ = Serving;
  std::size_t &EjectedCount = EjectedServingCount_;
  if (Serving) {
    ++ServingCount_;
    EjectedCount += Health.EjectionReason_.has_value();
  } else {
    --ServingCount_;
    EjectedCount -= Health.EjectionReason_.has_value();
  }
}

void Ejector::sent(EndpointIndex Endpoint) {
  EndpointHealth &Health = Endpoints_[Endpoint];
  Health.Probing_ = Health.EjectionReason_.has_value();
}

void Ejector::recordAttempt(EndpointHealth &Health, bool Failed) {
  ++Health.Attempts_;
  Health.FailureRate_ +=
      FailureRateSmoothing * ((Failed ? 1.0 : 0.0) - Health.FailureRate_);
  Health.ConsecutiveFailures_ = Failed ? Health.ConsecutiveFailures_ + 1 : 0;
}

void Ejector::succeeded(EndpointIndex Endpoint, base::TimePoint Now) {
  EndpointHealth &Health = Endpoints_[Endpoint];
  recordAttempt(Health, false);
  if (!Health.EjectionReason_ || !Health.Probing_ || Now < Health.ProbeAt_)
    return;
  if (Health.Serving_)
    --EjectedServingCount_;
  Health.EjectionReason_.reset();
  Health.Probing_ = false;
  Health.FailureRate_ = 0;
  Health.Attempts_ = 0;
  Health.InServiceSince_ = Now;
  Health.SlowStart_ = true;
}

std::optional<EjectionReason>
Ejector::failed(EndpointIndex Endpoint, FailureKind Kind, base::TimePoint Now) {
  EndpointHealth &Health = Endpoints_[Endpoint];
  if (!isEndpointFailure(Kind)) {
    Health.Probing_ = false;
    return std::nullopt;
  }
  recordAttempt(Health, true);
  if (Health.EjectionReason_) {
    if (!Health.Probing_ || Now < Health.ProbeAt_)
      return std::nullopt;
    Health.Probing_ = false;
    Health.ProbeAt_ = Now + ejectionTime(++Health.ConsecutiveEjections_);
    return std::nullopt;
  }
  EjectionReason Reason = EjectionReason::ConsecutiveFailures;
  bool RateExceeded = Health.Attempts_ >= Options_.MinAttempts_ &&
                      Health.FailureRate_ > Options_.FailureRateLimit_;
  if (Health.ConsecutiveFailures_ < Options_.ConsecutiveFailureLimit_) {
    if (!RateExceeded)
      return std::nullopt;
    Reason = EjectionReason::FailureRate;
  }
  if (!eject(Endpoint, Reason, Now))
    return std::nullopt;
  return Reason;
}

bool Ejector::canEjectOne() const {
  auto Allowed = static_cast<std::size_t>(static_cast<double>(ServingCount_) *
                                          Options_.MaxEjectedShare_);
  return EjectedServingCount_ + 1 <= Allowed && healthyCount() > 1;
}

base::Duration Ejector::ejectionTime(unsigned ConsecutiveEjections) const {
  constexpr unsigned MaxDoublings = 16;
  unsigned Doublings = std::min(ConsecutiveEjections - 1, MaxDoublings);
  return std::min(Options_.MaxEjectionTime_,
                  Options_.FirstEjectionTime_ * (1U << Doublings));
}

bool Ejector::eject(EndpointIndex Endpoint, EjectionReason Reason,
                    base::TimePoint Now) {
  EndpointHealth &Health = Endpoints_[Endpoint];
  if (!Health.Known_ || Health.EjectionReason_)
    return false;
  if (Health.Serving_ && !canEjectOne()) {
    ++PreventedEjections_;
    return false;
  }
  // After more than MaxEjectionTime_ in service the ejection times start over.
  if (Now - Health.InServiceSince_ > Options_.MaxEjectionTime_)
    Health.ConsecutiveEjections_ = 0;
  Health.EjectionReason_ = Reason;
  Health.Probing_ = false;
  Health.ProbeAt_ = Now + ejectionTime(++Health.ConsecutiveEjections_);
  if (Health.Serving_)
    ++EjectedServingCount_;
  return true;
}

bool Ejector::ejected(EndpointIndex Endpoint) const {
  return Endpoints_[Endpoint].EjectionReason_.has_value();
}

bool Ejector::admits(EndpointIndex Endpoint, base::TimePoint Now) const {
  const EndpointHealth &Health = Endpoints_[Endpoint];
  if (!Health.EjectionReason_)
    return true;
  return Now >= Health.ProbeAt_ && !Health.Probing_;
}

double Ejector::slowStartShare(EndpointIndex Endpoint,
                               base::TimePoint Now) const {
  const EndpointHealth &Health = Endpoints_[Endpoint];
  if (!Health.SlowStart_ || Options_.SlowStartTime_ <= base::Duration::zero())
    return 1;
  using Seconds = std::chrono::duration<double>;
  double Share =
      Seconds(Now - Health.InServiceSince_) / Seconds(Options_.SlowStartTime_);
  return std::clamp(Share, MinSlowStartShare, 1.0);
}

std::optional<EjectionReason> Ejector::reason(EndpointIndex Endpoint) const {
  return Endpoints_[Endpoint].EjectionReason_;
}

base::TimePoint Ejector::probeAt(EndpointIndex Endpoint) const {
  return Endpoints_[Endpoint].ProbeAt_;
}

} // namespace camphorwind::routing
