#include "camphorwind/routing/load-view.h"

#include <algorithm>
#include <cmath>

namespace camphorwind::routing {

namespace {

using Seconds = std::chrono::duration<double>;

/// Share of a new observation in a smoothed value.
constexpr double SmoothingShare = 0.2;
constexpr double MinSlowness = 0.25;
constexpr double MaxSlowness = 32;
/// Largest change of slowness by one observation, as a factor.
constexpr double MaxSlownessStep = 4;
/// Differences below this say nothing of an endpoint's speed.
constexpr base::Duration LatencyNoise = std::chrono::milliseconds(20);
/// Own work is remembered this long for comparison with late reports.
constexpr base::Duration HistoryLimit = std::chrono::seconds(10);
/// Requests kept ready at an endpoint beyond its slots.
constexpr double Lookahead = 1;
/// Part of the way to an even split that one report moves a window. A larger
/// step leaves slots empty when only some routers have work.
constexpr double EvenStep = 0.02;
constexpr int OverdueFactor = 3;
/// Generated tokens assumed for an answer before the first is seen.
constexpr int AssumedOutputTokens = 100;

double smooth(double Old, double New) {
  return Old + SmoothingShare * (New - Old);
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

void LoadView::change(base::TimePoint Now, Work Delta) {
  Own_.Requests_ += Delta.Requests_;
  Own_.PromptTokens_ += Delta.PromptTokens_;
  Since_.Requests_ += Delta.Requests_;
  Since_.PromptTokens_ += Delta.PromptTokens_;
  Changes_.push_back({Now, Delta});
  forget(Now - HistoryLimit);
}

void LoadView::forget(base::TimePoint Until) {
  while (!Changes_.empty() && Changes_.front().At_ <= Until) {
    Since_.Requests_ -= Changes_.front().Delta_.Requests_;
    Since_.PromptTokens_ -= Changes_.front().Delta_.PromptTokens_;
    Changes_.pop_front();
  }
}

void LoadView::dispatched(base::TimePoint Now, std::uint64_t Uncached,
                          base::Duration Expected) {
  change(Now, {1, static_cast<std::int64_t>(Uncached)});
  Unanswered_.emplace(Now, Expected);
}

void LoadView::firstToken(base::TimePoint Now, base::TimePoint SentAt,
                          std::uint64_t Uncached) {
  change(Now, {0, -static_cast<std::int64_t>(Uncached)});
  LastAnswer_ = Now;
  auto Found = Unanswered_.find(SentAt);
  if (Found == Unanswered_.end())
    return;
  learnSlowness(Found->second, Now - SentAt);
  Unanswered_.erase(Found);
}

void LoadView::ended(base::TimePoint Now, base::TimePoint SentAt,
                     std::uint64_t Uncached, bool Answered) {
  if (Answered) {
    change(Now, {-1, 0});
    return;
  }
  change(Now, {-1, -static_cast<std::int64_t>(Uncached)});
  auto Found = Unanswered_.find(SentAt);
  if (Found != Unanswered_.end())
    Unanswered_.erase(Found);
}

void LoadView::finished(base::Duration Service, base::Duration TokenInterval) {
  MeanService_ = smooth(MeanService_, Service);
  if (TokenInterval > base::Duration::zero())
    TokenInterval_ = smooth(TokenInterval_, TokenInterval);
}

void LoadView::learnSlowness(base::Duration Expected, base::Duration Observed) {
  double Ratio = Seconds(Observed + LatencyNoise).count() /
                 Seconds(Expected + LatencyNoise).count();
  Ratio = std::clamp(Ratio, 1 / MaxSlownessStep, MaxSlownessStep);
  Slowness_ = std::clamp(Slowness_ * std::pow(Ratio, SmoothingShare),
                         MinSlowness, MaxSlowness);
}

void LoadView::report(const LoadReport &Report, base::TimePoint Now) {
  base::TimePoint SampledAt = Now - Report.Age_ - NetworkDelay_;
  if (HasReport_ && SampledAt < SampledAt_)
    return;
  HasReport_ = true;
  SampledAt_ = SampledAt;
  // Work sent less than the network delay before the sample was not in it.
  forget(SampledAt - NetworkDelay_);
  OwnAtSample_ = {Own_.Requests_ - Since_.Requests_,
                  Own_.PromptTokens_ - Since_.PromptTokens_};
  ReportedRequests_ = Report.Running_ + Report.Waiting_;
  auto Reported = static_cast<std::int32_t>(ReportedRequests_);
  auto ReportedTokens = static_cast<std::int64_t>(Report.WaitingPromptTokens_);
  Others_ = {
      std::max(0, Reported - OwnAtSample_.Requests_),
      std::max<std::int64_t>(0, ReportedTokens - OwnAtSample_.PromptTokens_)};
  Routers_ = std::max(1U, Report.Routers_);
}

std::uint32_t LoadView::requests() const {
  return static_cast<std::uint32_t>(Own_.Requests_ + Others_.Requests_);
}

double LoadView::waitingPromptTokens(base::TimePoint Now) const {
  double Processed = Seconds(Now - SampledAt_).count() * PromptTokensPerSecond_;
  double Others = static_cast<double>(Others_.PromptTokens_) - Processed;
  return static_cast<double>(Own_.PromptTokens_) + std::max(0.0, Others);
}

base::Duration LoadView::expectedFirstToken(base::TimePoint Now,
                                            double Uncached) const {
  double Tokens = waitingPromptTokens(Now) + Uncached;
  double Prefill = Tokens / PromptTokensPerSecond_;
  double Occupancy = static_cast<double>(requests()) / Slots_;
  double Step = Seconds(TokenInterval_).count() * (1 + Occupancy);
  double Queueing =
      std::max(0.0, Occupancy - 1) * Seconds(MeanService_).count();
  auto Expected = std::chrono::duration_cast<base::Duration>(
      Seconds((Prefill + Step + Queueing) * Slowness_));
  return std::max(Expected, overdue(Now)) + 2 * NetworkDelay_;
}

double LoadView::fairWindow() const {
  if (!HasReport_)
    return Slots_;
  double Room = Slots_ + Lookahead;
  double Free = Room - static_cast<double>(ReportedRequests_);
  double Uneven = Room / Routers_ - OwnAtSample_.Requests_;
  return OwnAtSample_.Requests_ + Free / Routers_ + EvenStep * Uneven;
}

void LoadView::resetSpeedEstimates(const EndpointTraits &Traits) {
  Slowness_ = 1;
  TokenInterval_ = Traits.TokenInterval_;
  MeanService_ = Traits.TokenInterval_ * AssumedOutputTokens;
}

base::Duration LoadView::overdue(base::TimePoint Now) const {
  if (Unanswered_.empty())
    return base::Duration::zero();
  const auto &[SentAt, Expected] = *Unanswered_.begin();
  base::Duration Waited = Now - std::max(SentAt, LastAnswer_);
  return std::max(base::Duration::zero(), Waited - OverdueFactor * Expected);
}

} // namespace camphorwind::routing
