#ifndef CAMPHORWIND_ROUTING_DETAIL_BALANCER_IMPL_H
#define CAMPHORWIND_ROUTING_DETAIL_BALANCER_IMPL_H

#include "camphorwind/routing/balancer.h"

#include <algorithm>
#include <chrono>

namespace camphorwind::routing {

namespace detail {

/// How long requests stay queued while their lane has no serving endpoint.
inline constexpr base::Duration NoEndpointGracePeriod = std::chrono::seconds(2);
inline constexpr std::chrono::seconds MaxRetryAfter{60};
/// Minimum time between two snapshot requests to one endpoint.
inline constexpr base::Duration ResyncInterval = std::chrono::seconds(2);

} // namespace detail

template <ChoicePolicy<Candidates> Policy>
base::Result<BasicBalancer<Policy>, BalancerOptionError>
BasicBalancer<Policy>::create(const BalancerOptions &Options,
                              Policy SelectedPolicy) {
  constexpr std::size_t MaxBlocks = 1 << 24;
  if (Options.MaxQueued_ == 0)
    return base::failure(BalancerOptionError::MaxQueued);
  if (Options.MaxQueueWait_ <= base::Duration::zero())
    return base::failure(BalancerOptionError::MaxQueueWait);
  if (!(Options.RetryShare_ >= 0 && Options.RetryShare_ <= 1))
    return base::failure(BalancerOptionError::RetryShare);
  if (Options.MaxBlocks_ == 0 || Options.MaxBlocks_ > MaxBlocks)
    return base::failure(BalancerOptionError::MaxBlocks);
  if (Options.TokensPerBlock_ == 0)
    return base::failure(BalancerOptionError::TokensPerBlock);
  return BasicBalancer(Options, std::move(SelectedPolicy));
}

template <ChoicePolicy<Candidates> Policy>
BasicBalancer<Policy>::BasicBalancer(const BalancerOptions &Options,
                                     Policy SelectedPolicy)
    : Options_(Options), Policy_(std::move(SelectedPolicy)),
      Random_(Options.Seed_), Directory_(Options.Ejector_, Options.Seed_),
      Prefixes_(Options.MaxBlocks_), Retries_(Options.RetryShare_) {}

template <ChoicePolicy<Candidates> Policy>
void BasicBalancer<Policy>::addEndpoint(const EndpointTraits &Traits,
                                        base::TimePoint Now) {
  bool IsNew = !Directory_.find(Traits.Endpoint_);
  Directory_.add(Traits, Now);
  if (IsNew)
    Prefixes_.clear(*Directory_.find(Traits.Endpoint_));
}

template <ChoicePolicy<Candidates> Policy>
void BasicBalancer<Policy>::removeEndpoint(const base::EndpointId &Endpoint,
                                           base::TimePoint Now) {
  Directory_.remove(Endpoint, Now);
  ResyncRequestedAt_.erase(Endpoint);
}

template <ChoicePolicy<Candidates> Policy>
void BasicBalancer<Policy>::markLeaving(const base::EndpointId &Endpoint,
                                        base::TimePoint Now) {
  Directory_.setLeaving(Endpoint, Now);
}

template <ChoicePolicy<Candidates> Policy>
void BasicBalancer<Policy>::setReachable(const base::EndpointId &Endpoint,
                                         bool Reachable, base::TimePoint Now) {
  Directory_.setReachable(Endpoint, Reachable, Now);
}

template <ChoicePolicy<Candidates> Policy>
Refusal BasicBalancer<Policy>::refuse(const base::RequestId &Request,
                                      base::RefusalReason Reason,
                                      base::Duration Wait) {
  ++Counters_.Refusals_[static_cast<std::size_t>(Reason)];
  // Adds up to 50% so that requests refused together do not return together.
  constexpr std::uint32_t JitterSteps = 1024;
  base::Duration Jitter = Wait / 2 / JitterSteps * Random_(JitterSteps);
  auto RetryAfter = std::chrono::ceil<std::chrono::seconds>(Wait + Jitter);
  return {
      Request, Reason,
      std::clamp(RetryAfter, std::chrono::seconds(1), detail::MaxRetryAfter)};
}

template <ChoicePolicy<Candidates> Policy>
base::Duration
BasicBalancer<Policy>::expectedWait(const Lane &RequestLane,
                                    const RequestTraits &Request) {
  return RequestLane.Queue_.expectedWait(Request.Account_, Request.Priority_);
}

template <ChoicePolicy<Candidates> Policy>
std::optional<Refusal>
BasicBalancer<Policy>::admit(Lane &RequestLane, const RequestTraits &Request,
                             base::Duration ServiceTime, base::TimePoint Now) {
  using base::RefusalReason;
  bool UnservedTooLong =
      RequestLane.NoServingMemberSince_ &&
      Now - *RequestLane.NoServingMemberSince_ >= detail::NoEndpointGracePeriod;
  if (RequestLane.members().empty() || UnservedTooLong)
    return refuse(Request.Request_, RefusalReason::NoEndpoint,
                  detail::NoEndpointGracePeriod);
  base::Duration Wait = expectedWait(RequestLane, Request);
  base::Duration Slack = Request.Deadline_ - Now - ServiceTime;
  if (Wait > Slack)
    return refuse(Request.Request_, RefusalReason::DeadlineUnreachable,
                  Wait - std::max(Slack, base::Duration::zero()));
  if (Wait > Options_.MaxQueueWait_)
    return refuse(Request.Request_, RefusalReason::Overloaded,
                  Wait - Options_.MaxQueueWait_);
  if (Request.Attempt_ > 1 && !Retries_.trySpend()) {
    ++Counters_.RetriesDenied_;
    return refuse(Request.Request_, RefusalReason::RetryBudgetSpent, Wait);
  }
  return makeRoom(RequestLane, Request);
}

template <ChoicePolicy<Candidates> Policy>
std::optional<Refusal>
BasicBalancer<Policy>::makeRoom(Lane &RequestLane,
                                const RequestTraits &Request) {
  if (RequestLane.Queue_.size() < Options_.MaxQueued_)
    return std::nullopt;
  base::Duration Wait = expectedWait(RequestLane, Request);
  std::optional<QueuedRequest> Evicted =
      RequestLane.Queue_.evict(Request.Account_);
  if (!Evicted)
    return refuse(Request.Request_, base::RefusalReason::QueueFull, Wait);
  Evicted_.push_back(
      refuse(Evicted->Traits_.Request_, base::RefusalReason::QueueFull, Wait));
  return std::nullopt;
}

template <ChoicePolicy<Candidates> Policy>
std::optional<Refusal> BasicBalancer<Policy>::enqueue(RequestTraits Request,
                                                      base::TimePoint Now) {
  ++Counters_.Enqueued_;
  if (Request.Attempt_ <= 1)
    Retries_.addRequest();
  Lane &RequestLane = Directory_.lane(Request.Pool_, Request.Model_, Now);
  if (RequestLane.Queue_.contains(Request.Request_) ||
      InFlight_.contains(Request.Request_))
    return refuse(Request.Request_, base::RefusalReason::Internal, {});
  base::Duration ServiceTime = RequestLane.expectedServiceTime(Request);
  if (std::optional<Refusal> Refused =
          admit(RequestLane, Request, ServiceTime, Now))
    return Refused;
  Counters_.Retries_ += Request.Attempt_ > 1 ? 1 : 0;
  double Cost = RequestLane.expectedCost(Request);
  base::TimePoint LatestStart = Request.Deadline_ - ServiceTime;
  RequestLane.Queue_.push({std::move(Request), Cost, Now, LatestStart});
  return std::nullopt;
}

template <ChoicePolicy<Candidates> Policy>
void BasicBalancer<Policy>::refuseUnservable(Lane &RequestLane,
                                             base::TimePoint Now,
                                             Decisions &Out) {
  for (QueuedRequest &ExpiredRequest : RequestLane.Queue_.expire(Now)) {
    base::Duration Wait = expectedWait(RequestLane, ExpiredRequest.Traits_);
    Out.Refusals_.push_back(refuse(ExpiredRequest.Traits_.Request_,
                                   base::RefusalReason::DeadlineUnreachable,
                                   Wait));
  }
  if (!RequestLane.NoServingMemberSince_ ||
      Now - *RequestLane.NoServingMemberSince_ < detail::NoEndpointGracePeriod)
    return;
  while (const QueuedRequest *Front = RequestLane.Queue_.front()) {
    Out.Refusals_.push_back(refuse(Front->Traits_.Request_,
                                   base::RefusalReason::NoEndpoint,
                                   detail::NoEndpointGracePeriod));
    RequestLane.Queue_.remove(Front->Traits_.Request_);
  }
}

template <ChoicePolicy<Candidates> Policy>
Assignment
BasicBalancer<Policy>::assign(Lane &RequestLane, const Candidates &Endpoints,
                              EndpointIndex Endpoint, base::TimePoint Now) {
  double CachedTokens = Endpoints.cachedTokens(Endpoint);
  QueuedRequest Queued = RequestLane.Queue_.pop(Now);
  ++Counters_.Dispatched_;
  double PromptTokens =
      static_cast<double>(Queued.Traits_.PromptTokens_.count());
  auto UncachedTokens =
      static_cast<std::uint64_t>(std::max(0.0, PromptTokens - CachedTokens));
  SentAttempt Attempt = Directory_.send(Endpoint, UncachedTokens, Now);
  Prefixes_.assume(Endpoint, Queued.Traits_.Blocks_);
  base::RequestId Request = Queued.Traits_.Request_;
  base::Duration Expected = Attempt.ExpectedFirstToken_;
  InFlight_.insert_or_assign(
      Request, InFlight{std::move(Queued.Traits_), &RequestLane, Attempt});
  return {std::move(Request), Directory_.traits(Endpoint).Endpoint_, Expected,
          base::Tokens(static_cast<std::int64_t>(CachedTokens))};
}

template <ChoicePolicy<Candidates> Policy>
void BasicBalancer<Policy>::dispatchLane(Lane &RequestLane, base::TimePoint Now,
                                         Decisions &Out) {
  refuseUnservable(RequestLane, Now, Out);
  // A retry for which only endpoints of its earlier attempts are ready must
  // not block the requests queued behind it.
  std::vector<QueuedRequest> DeferredRequests;
  while (const QueuedRequest *Front = RequestLane.Queue_.front()) {
    if (RequestLane.readyMembers().empty())
      break;
    Candidates Endpoints(Directory_, RequestLane, Prefixes_, Front->Traits_,
                         Options_.TokensPerBlock_, Now);
    if (std::optional<EndpointIndex> Chosen =
            Policy_.choose(Endpoints, Random_)) {
      Out.Assignments_.push_back(assign(RequestLane, Endpoints, *Chosen, Now));
      continue;
    }
    if (!Endpoints.anyReadyExcluded())
      break;
    DeferredRequests.push_back(
        *RequestLane.Queue_.remove(Front->Traits_.Request_));
  }
  for (QueuedRequest &Deferred : DeferredRequests)
    RequestLane.Queue_.push(std::move(Deferred));
}

template <ChoicePolicy<Candidates> Policy>
Decisions BasicBalancer<Policy>::dispatch(base::TimePoint Now) {
  Directory_.sweep(Now);
  Decisions Out;
  Out.Refusals_ = std::exchange(Evicted_, {});
  Out.Resyncs_ = std::exchange(Resyncs_, {});
  const auto &Lanes = Directory_.lanes();
  // Lanes may share endpoints; rotating the first lane keeps this fair.
  ++FirstLane_;
  for (std::size_t Step = 0; Step < Lanes.size(); ++Step) {
    Lane &CurrentLane = *Lanes[(FirstLane_ + Step) % Lanes.size()];
    if (!CurrentLane.Queue_.empty())
      dispatchLane(CurrentLane, Now, Out);
  }
  return Out;
}

template <ChoicePolicy<Candidates> Policy>
bool BasicBalancer<Policy>::cancel(const base::RequestId &Request) {
  const auto &Lanes = Directory_.lanes();
  return std::any_of(Lanes.begin(), Lanes.end(), [&](const auto &QueueLane) {
    return QueueLane->Queue_.remove(Request).has_value();
  });
}

template <ChoicePolicy<Candidates> Policy>
std::optional<base::TimePoint> BasicBalancer<Policy>::nextWake() const {
  bool HasQueuedRequests = std::any_of(
      Directory_.lanes().begin(), Directory_.lanes().end(),
      [](const auto &QueueLane) { return !QueueLane->Queue_.empty(); });
  if (!HasQueuedRequests && InFlight_.empty())
    return std::nullopt;
  return Directory_.nextSweep();
}

template <ChoicePolicy<Candidates> Policy>
void BasicBalancer<Policy>::firstToken(const base::RequestId &Request,
                                       base::TimePoint Now) {
  auto Found = InFlight_.find(Request);
  if (Found != InFlight_.end())
    Directory_.firstToken(Found->second.Sent_, Now);
}

template <ChoicePolicy<Candidates> Policy>
void BasicBalancer<Policy>::finished(const base::RequestId &Request,
                                     base::Tokens Output, base::TimePoint Now) {
  auto Found = InFlight_.find(Request);
  if (Found == InFlight_.end())
    return;
  InFlight &Attempt = Found->second;
  Directory_.firstToken(Attempt.Sent_, Now);
  base::Duration TokenInterval{0};
  base::Duration FirstTokenTime = Now - Attempt.Sent_.SentAt_;
  if (Attempt.Sent_.Answered_) {
    FirstTokenTime = Attempt.Sent_.FirstTokenAt_ - Attempt.Sent_.SentAt_;
    if (Output.count() > 1)
      TokenInterval =
          (Now - Attempt.Sent_.FirstTokenAt_) / (Output.count() - 1);
  }
  Directory_.finished(Attempt.Sent_, TokenInterval, Now);
  Attempt.Lane_->updateEstimates(Attempt.Traits_, Output, FirstTokenTime,
                                 TokenInterval);
  InFlight_.erase(Found);
}

template <ChoicePolicy<Candidates> Policy>
void BasicBalancer<Policy>::failed(const base::RequestId &Request,
                                   FailureKind Kind, base::TimePoint Now) {
  auto Found = InFlight_.find(Request);
  if (Found == InFlight_.end())
    return;
  ++Counters_.Failures_[static_cast<std::size_t>(Kind)];
  Directory_.failed(Found->second.Sent_, Kind, Now);
  InFlight_.erase(Found);
}

template <ChoicePolicy<Candidates> Policy>
void BasicBalancer<Policy>::loadReport(const LoadReport &Report,
                                       base::TimePoint Now) {
  Directory_.report(Report, Now);
}

template <ChoicePolicy<Candidates> Policy>
void BasicBalancer<Policy>::cacheEvent(const CacheEvent &Event,
                                       base::TimePoint Now) {
  std::optional<EndpointIndex> Index = Directory_.find(Event.Endpoint_);
  if (!Index)
    return;
  Prefixes_.apply(*Index, Event);
  if (!Prefixes_.mayBeStale(*Index))
    return;
  // Repeats the request if no snapshot arrives: the snapshot, too, may be lost.
  auto [LastRequest, IsFirst] =
      ResyncRequestedAt_.try_emplace(Event.Endpoint_, Now);
  if (!IsFirst && Now - LastRequest->second < detail::ResyncInterval)
    return;
  LastRequest->second = Now;
  Resyncs_.push_back(Event.Endpoint_);
}

template <ChoicePolicy<Candidates> Policy>
void BasicBalancer<Policy>::cacheSnapshot(const CacheSnapshot &Snapshot) {
  std::optional<EndpointIndex> Index = Directory_.find(Snapshot.Endpoint_);
  if (Index)
    Prefixes_.apply(*Index, Snapshot);
}

template <ChoicePolicy<Candidates> Policy>
Counters BasicBalancer<Policy>::counters() const {
  Counters Totals = Counters_;
  Directory_.count(Totals);
  return Totals;
}

template <ChoicePolicy<Candidates> Policy>
std::vector<PoolStatus>
BasicBalancer<Policy>::status(base::TimePoint Now) const {
  std::vector<PoolStatus> Pools = Directory_.status(Now);
  for (PoolStatus &Pool : Pools)
    for (EndpointStatus &Endpoint : Pool.Endpoints_)
      if (auto Index = Directory_.find(Endpoint.Endpoint_))
        Endpoint.CacheResyncPending_ = Prefixes_.mayBeStale(*Index);
  return Pools;
}

} // namespace camphorwind::routing

#endif // CAMPHORWIND_ROUTING_DETAIL_BALANCER_IMPL_H
