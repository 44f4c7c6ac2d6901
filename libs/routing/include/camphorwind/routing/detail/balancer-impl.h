#ifndef CAMPHORWIND_ROUTING_DETAIL_BALANCER_IMPL_H
#define CAMPHORWIND_ROUTING_DETAIL_BALANCER_IMPL_H

#include "camphorwind/routing/balancer.h"

#include <algorithm>
#include <chrono>

namespace camphorwind::routing {

namespace detail {

/// How long requests wait for a pool that has no endpoint to serve it.
inline constexpr base::Duration UnservedGrace = std::chrono::seconds(2);
inline constexpr std::chrono::seconds LongestRetryAfter{60};
/// Time between two requests for an endpoint's cache snapshot.
inline constexpr base::Duration ResyncEvery = std::chrono::seconds(2);

} // namespace detail

template <ChoicePolicy<Candidates> Policy>
base::Result<BasicBalancer<Policy>, BalancerOptionError>
BasicBalancer<Policy>::create(const BalancerOptions &Options, Policy Choice) {
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
  return BasicBalancer(Options, std::move(Choice));
}

template <ChoicePolicy<Candidates> Policy>
BasicBalancer<Policy>::BasicBalancer(const BalancerOptions &Options,
                                     Policy Choice)
    : Options_(Options), Policy_(std::move(Choice)), Random_(Options.Seed_),
      Directory_(Options.Ejector_, Options.Seed_),
      Prefixes_(Options.MaxBlocks_), Retries_(Options.RetryShare_) {}

template <ChoicePolicy<Candidates> Policy>
void BasicBalancer<Policy>::addEndpoint(const EndpointTraits &Traits,
                                        base::TimePoint Now) {
  bool New = !Directory_.find(Traits.Endpoint_);
  Directory_.add(Traits, Now);
  if (New)
    Prefixes_.clear(*Directory_.find(Traits.Endpoint_));
}

template <ChoicePolicy<Candidates> Policy>
void BasicBalancer<Policy>::removeEndpoint(const base::EndpointId &Endpoint,
                                           base::TimePoint Now) {
  Directory_.remove(Endpoint, Now);
  ResyncAskedAt_.erase(Endpoint);
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
  // Up to half as long again, so that those refused together come back apart.
  constexpr std::uint32_t Steps = 1024;
  base::Duration Spread = Wait / 2 / Steps * Random_(Steps);
  auto After = std::chrono::ceil<std::chrono::seconds>(Wait + Spread);
  return {
      Request, Reason,
      std::clamp(After, std::chrono::seconds(1), detail::LongestRetryAfter)};
}

template <ChoicePolicy<Candidates> Policy>
base::Duration
BasicBalancer<Policy>::expectedWait(const Lane &In,
                                    const RequestTraits &Request) {
  return In.Queue_.expectedWait(Request.Account_, Request.Priority_);
}

template <ChoicePolicy<Candidates> Policy>
std::optional<Refusal>
BasicBalancer<Policy>::admit(Lane &Wanted, const RequestTraits &Request,
                             base::Duration Service, base::TimePoint Now) {
  using base::RefusalReason;
  bool Unserved = Wanted.NoServingMemberSince_ &&
                  Now - *Wanted.NoServingMemberSince_ >= detail::UnservedGrace;
  if (Wanted.members().empty() || Unserved)
    return refuse(Request.Request_, RefusalReason::NoEndpoint,
                  detail::UnservedGrace);
  base::Duration Wait = expectedWait(Wanted, Request);
  base::Duration Slack = Request.Deadline_ - Now - Service;
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
  return makeRoom(Wanted, Request);
}

template <ChoicePolicy<Candidates> Policy>
std::optional<Refusal>
BasicBalancer<Policy>::makeRoom(Lane &Wanted, const RequestTraits &Request) {
  if (Wanted.Queue_.size() < Options_.MaxQueued_)
    return std::nullopt;
  base::Duration Wait = expectedWait(Wanted, Request);
  std::optional<QueuedRequest> Evicted = Wanted.Queue_.evict(Request.Account_);
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
  Lane &Wanted = Directory_.lane(Request.Pool_, Request.Model_, Now);
  if (Wanted.Queue_.contains(Request.Request_) ||
      InFlight_.contains(Request.Request_))
    return refuse(Request.Request_, base::RefusalReason::Internal, {});
  base::Duration Service = Wanted.expectedServiceTime(Request);
  if (std::optional<Refusal> Refused = admit(Wanted, Request, Service, Now))
    return Refused;
  Counters_.Retries_ += Request.Attempt_ > 1 ? 1 : 0;
  double Cost = Wanted.expectedCost(Request);
  base::TimePoint LatestStart = Request.Deadline_ - Service;
  Wanted.Queue_.push({std::move(Request), Cost, Now, LatestStart});
  return std::nullopt;
}

template <ChoicePolicy<Candidates> Policy>
void BasicBalancer<Policy>::refuseHopeless(Lane &Waiting, base::TimePoint Now,
                                           Decisions &Out) {
  for (QueuedRequest &Late : Waiting.Queue_.expire(Now)) {
    base::Duration Wait = expectedWait(Waiting, Late.Traits_);
    Out.Refusals_.push_back(refuse(
        Late.Traits_.Request_, base::RefusalReason::DeadlineUnreachable, Wait));
  }
  if (!Waiting.NoServingMemberSince_ ||
      Now - *Waiting.NoServingMemberSince_ < detail::UnservedGrace)
    return;
  while (const QueuedRequest *Front = Waiting.Queue_.front()) {
    Out.Refusals_.push_back(refuse(Front->Traits_.Request_,
                                   base::RefusalReason::NoEndpoint,
                                   detail::UnservedGrace));
    Waiting.Queue_.remove(Front->Traits_.Request_);
  }
}

template <ChoicePolicy<Candidates> Policy>
Assignment BasicBalancer<Policy>::assign(Lane &From, const Candidates &Seen,
                                         EndpointIndex Endpoint,
                                         base::TimePoint Now) {
  double Cached = Seen.cachedTokens(Endpoint);
  QueuedRequest Taken = From.Queue_.pop(Now);
  ++Counters_.Dispatched_;
  double Prompt = static_cast<double>(Taken.Traits_.PromptTokens_.count());
  auto Uncached = static_cast<std::uint64_t>(std::max(0.0, Prompt - Cached));
  SentAttempt Attempt = Directory_.send(Endpoint, Uncached, Now);
  Prefixes_.assume(Endpoint, Taken.Traits_.Blocks_);
  base::RequestId Request = Taken.Traits_.Request_;
  base::Duration Expected = Attempt.ExpectedFirstToken_;
  InFlight_.insert_or_assign(
      Request, InFlight{std::move(Taken.Traits_), &From, Attempt});
  return {std::move(Request), Directory_.traits(Endpoint).Endpoint_, Expected,
          base::Tokens(static_cast<std::int64_t>(Cached))};
}

template <ChoicePolicy<Candidates> Policy>
void BasicBalancer<Policy>::dispatchLane(Lane &Waiting, base::TimePoint Now,
                                         Decisions &Out) {
  refuseHopeless(Waiting, Now, Out);
  // Retries for which only endpoints to avoid are ready must not hold up
  // the requests behind them.
  std::vector<QueuedRequest> SetAside;
  while (const QueuedRequest *Front = Waiting.Queue_.front()) {
    if (Waiting.readyMembers().empty())
      break;
    Candidates Seen(Directory_, Waiting, Prefixes_, Front->Traits_,
                    Options_.TokensPerBlock_, Now);
    if (std::optional<EndpointIndex> Chosen = Policy_.choose(Seen, Random_)) {
      Out.Assignments_.push_back(assign(Waiting, Seen, *Chosen, Now));
      continue;
    }
    if (!Seen.anyReadyExcluded())
      break;
    SetAside.push_back(*Waiting.Queue_.remove(Front->Traits_.Request_));
  }
  for (QueuedRequest &Kept : SetAside)
    Waiting.Queue_.push(std::move(Kept));
}

template <ChoicePolicy<Candidates> Policy>
Decisions BasicBalancer<Policy>::dispatch(base::TimePoint Now) {
  Directory_.sweep(Now);
  Decisions Out;
  Out.Refusals_ = std::exchange(Evicted_, {});
  Out.Resyncs_ = std::exchange(Resyncs_, {});
  const auto &Lanes = Directory_.lanes();
  // Lanes that share endpoints take the first turn by rotation.
  ++FirstLane_;
  for (std::size_t Step = 0; Step < Lanes.size(); ++Step) {
    Lane &Each = *Lanes[(FirstLane_ + Step) % Lanes.size()];
    if (!Each.Queue_.empty())
      dispatchLane(Each, Now, Out);
  }
  return Out;
}

template <ChoicePolicy<Candidates> Policy>
bool BasicBalancer<Policy>::cancel(const base::RequestId &Request) {
  const auto &Lanes = Directory_.lanes();
  return std::any_of(Lanes.begin(), Lanes.end(), [&](const auto &Each) {
    return Each->Queue_.remove(Request).has_value();
  });
}

template <ChoicePolicy<Candidates> Policy>
std::optional<base::TimePoint> BasicBalancer<Policy>::nextWake() const {
  bool Waiting =
      std::any_of(Directory_.lanes().begin(), Directory_.lanes().end(),
                  [](const auto &Each) { return !Each->Queue_.empty(); });
  if (!Waiting && InFlight_.empty())
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
  InFlight &Its = Found->second;
  Directory_.firstToken(Its.Sent_, Now);
  base::Duration Interval{0};
  base::Duration First = Now - Its.Sent_.SentAt_;
  if (Its.Sent_.Answered_) {
    First = Its.Sent_.FirstTokenAt_ - Its.Sent_.SentAt_;
    if (Output.count() > 1)
      Interval = (Now - Its.Sent_.FirstTokenAt_) / (Output.count() - 1);
  }
  Directory_.finished(Its.Sent_, Interval, Now);
  Its.Lane_->updateEstimates(Its.Traits_, Output, First, Interval);
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
  // Asks again when the snapshot does not come; it may be lost as well.
  auto [Asked, First] = ResyncAskedAt_.try_emplace(Event.Endpoint_, Now);
  if (!First && Now - Asked->second < detail::ResyncEvery)
    return;
  Asked->second = Now;
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
