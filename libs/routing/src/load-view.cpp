#include "camphorwind/routing/load-view.h"

#include <algorithm>
#include <cmath>

namespace camphorwind::routing {

namespace {

using Seconds = std::chrono::duration<double>;

/// Weight of a new observation in exponentially smoothed values.
constexpr double SmoothingFactor = 0.2;
constexpr double MinSlowness = 0.25;
constexpr double MaxSlowness = 32;
/// Largest change of slowness by one observation, as a factor.
constexpr double MaxSlownessStep = 4;
/// Added to expected and observed times before they are compared, so that noise
/// in short times does not look like a change of speed.
constexpr base::Duration LatencyNoise = std::chrono::milliseconds(20);
/// How long changes of this router's own load are kept to correct late reports.
constexpr base::Duration HistoryLimit = std::chrono::seconds(10);
/// Requests allowed at an endpoint beyond its slots, for all routers together.
constexpr double ExtraRequests = 1;
/// Fraction of the difference from an even split by which one report moves a
/// window. A larger step leaves slots empty when only some routers have work.
constexpr double FairnessStep = 0.02;
/// A first token is overdue after this many times its expected time.
constexpr int OverdueFactor = 3;
/// Generated tokens assumed per answer in the initial estimate of an attempt's
/// duration.
constexpr int AssumedOutputTokens = 100;

double smooth(double Old, double New) {
  return Old + SmoothingFactor * (New - Old);
}

base::Duration smooth(base::Duration Old, base::Duration New) {
  return std::chrono::duration_cast<base::Duration>(
      Seconds(smooth(Seconds(Old).count(), Seconds(New).count())));
}

} // namespace

LoadView::LoadView(const EndpointTraits &Traits)
    : PromptTokensPerSecond_(std::max(1.0, Traits.PromptTokensPerSecond_)),
      TokenInterval_(Traits.TokenInterval_),
      NetworkDelay_(Traits.NetworkDelay_), Slots_(std::max(1U, Traits.Slots_)),
      MeanService_(Traits.TokenInterval_ * AssumedOutputTokens) {}

void LoadView::applyChange(base::TimePoint Now, Load Delta) {
  OwnLoad_.Requests_ += Delta.Requests_;
  OwnLoad_.PromptTokens_ += Delta.PromptTokens_;
  LoadSinceSample_.Requests_ += Delta.Requests_;
  LoadSinceSample_.PromptTokens_ += Delta.PromptTokens_;
  ChangeHistory_.push_back({Now, Delta});
  dropChanges(Now - HistoryLimit);
}

void LoadView::dropChanges(base::TimePoint Until) {
  while (!ChangeHistory_.empty() && ChangeHistory_.front().At_ <= Until) {
    LoadSinceSample_.Requests_ -= ChangeHistory_.front().Load_.Requests_;
    LoadSinceSample_.PromptTokens_ -=
        ChangeHistory_.front().Load_.PromptTokens_;
    ChangeHistory_.pop_front();
  }
}

void LoadView::dispatched(base::TimePoint Now, std::uint64_t Uncached,
                          base::Duration Expected) {
  applyChange(Now, {1, static_cast<std::int64_t>(Uncached)});
  AwaitingFirstToken_.emplace(Now, Expected);
}

void LoadView::firstToken(base::TimePoint Now, base::TimePoint SentAt,
                          std::uint64_t Uncached) {
  applyChange(Now, {0, -static_cast<std::int64_t>(Uncached)});
  LastFirstTokenAt_ = Now;
  auto Found = AwaitingFirstToken_.find(SentAt);
  if (Found == AwaitingFirstToken_.end())
    return;
  updateSlowness(Found->second, Now - SentAt);
  AwaitingFirstToken_.erase(Found);
}

void LoadView::ended(base::TimePoint Now, base::TimePoint SentAt,
                     std::uint64_t Uncached, bool Answered) {
  if (Answered) {
    applyChange(Now, {-1, 0});
    return;
  }
  applyChange(Now, {-1, -static_cast<std::int64_t>(Uncached)});
  auto Found = AwaitingFirstToken_.find(SentAt);
  if (Found != AwaitingFirstToken_.end())
    AwaitingFirstToken_.erase(Found);
}

void LoadView::finished(base::Duration Service, base::Duration TokenInterval) {
  MeanService_ = smooth(MeanService_, Service);
  if (TokenInterval > base::Duration::zero())
    TokenInterval_ = smooth(TokenInterval_, TokenInterval);
}

void LoadView::updateSlowness(base::Duration Expected,
                              base::Duration Observed) {
  double Ratio = Seconds(Observed + LatencyNoise).count() /
                 Seconds(Expected + LatencyNoise).count();
  Ratio = std::clamp(Ratio, 1 / MaxSlownessStep, MaxSlownessStep);
  Slowness_ = std::clamp(Slowness_ * std::pow(Ratio, SmoothingFactor),
                         MinSlowness, MaxSlowness);
}

void LoadView::report(const LoadReport &Report, base::TimePoint Now) {
  base::TimePoint SampledAt = Now - Report.Age_ - NetworkDelay_;
  if (HasReport_ && SampledAt < SampledAt_)
    return;
  HasReport_ = true;
  SampledAt_ = SampledAt;
  // A request sent within one network delay before the sample reached the
  // endpoint only after it, so the report does not include that request.
  dropChanges(SampledAt - NetworkDelay_);
  OwnLoadAtSample_ = {OwnLoad_.Requests_ - LoadSinceSample_.Requests_,
                      OwnLoad_.PromptTokens_ - LoadSinceSample_.PromptTokens_};
  ReportedRequests_ = Report.Running_ + Report.Waiting_;
  auto Reported = static_cast<std::int32_t>(ReportedRequests_);
  auto ReportedTokens = static_cast<std::int64_t>(Report.WaitingPromptTokens_);
  OtherLoad_ = {std::max(0, Reported - OwnLoadAtSample_.Requests_),
                std::max<std::int64_t>(0, ReportedTokens -
                                              OwnLoadAtSample_.PromptTokens_)};
  Routers_ = std::max(1U, Report.Routers_);
}

std::uint32_t LoadView::requests() const {
  return static_cast<std::uint32_t>(OwnLoad_.Requests_ + OtherLoad_.Requests_);
}

double LoadView::waitingPromptTokens(base::TimePoint Now) const {
  double Processed = Seconds(Now - SampledAt_).count() * PromptTokensPerSecond_;
  double OtherTokens =
      static_cast<double>(OtherLoad_.PromptTokens_) - Processed;
  return static_cast<double>(OwnLoad_.PromptTokens_) +
         std::max(0.0, OtherTokens);
}

base::Duration LoadView::expectedFirstToken(base::TimePoint Now,
                                            double Uncached) const {
  double Tokens = waitingPromptTokens(Now) + Uncached;
  double Prefill = Tokens / PromptTokensPerSecond_;
  double Occupancy = static_cast<double>(requests()) / Slots_;
  double DecodeTime = Seconds(TokenInterval_).count() * (1 + Occupancy);
  double Queueing =
      std::max(0.0, Occupancy - 1) * Seconds(MeanService_).count();
  auto Expected = std::chrono::duration_cast<base::Duration>(
      Seconds((Prefill + DecodeTime + Queueing) * Slowness_));
  return std::max(Expected, overdue(Now)) + 2 * NetworkDelay_;
}

double LoadView::fairWindow() const {
  if (!HasReport_)
    return Slots_;
  double Capacity = Slots_ + ExtraRequests;
  double FreeCapacity = Capacity - static_cast<double>(ReportedRequests_);
  double Imbalance = Capacity / Routers_ - OwnLoadAtSample_.Requests_;
  return OwnLoadAtSample_.Requests_ + FreeCapacity / Routers_ +
         FairnessStep * Imbalance;
}

void LoadView::resetSpeedEstimates(const EndpointTraits &Traits) {
  Slowness_ = 1;
  TokenInterval_ = Traits.TokenInterval_;
  MeanService_ = Traits.TokenInterval_ * AssumedOutputTokens;
}

base::Duration LoadView::overdue(base::TimePoint Now) const {
  if (AwaitingFirstToken_.empty())
    return base::Duration::zero();
  const auto &[SentAt, Expected] = *AwaitingFirstToken_.begin();
  base::Duration Waited = Now - std::max(SentAt, LastFirstTokenAt_);
  return std::max(base::Duration::zero(), Waited - OverdueFactor * Expected);
}

} // namespace camphorwind::routing
