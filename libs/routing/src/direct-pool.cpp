#include "camphorwind/routing/direct-pool.h"

#include "camphorwind/routing/slow-start.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <set>
#include <utility>

namespace camphorwind::routing {

namespace {

using Milliseconds = std::chrono::duration<double, std::milli>;

/// Weight of one observation in exponentially smoothed values.
constexpr double SampleWeight = 0.15;
/// Estimates of slowness, failure rate and reported load decay with this
/// half-life, so that an avoided endpoint is eventually tried again.
constexpr Milliseconds EstimateHalfLife{4000};
/// Time constant for averaging this router's backlog at an endpoint, from which
/// the backlog of other routers is estimated.
constexpr Milliseconds BacklogAveragingTime{1000};
/// The expected time to the first byte, divided by its objective
/// (`FirstByteObjective_`), up to which the risk of a late answer is 0.
constexpr double NoRiskShare = 0.5;
/// The expected time to the first byte, divided by its objective, from which an
/// answer counts as certain to be late: risk 1, plus a small excess that grows
/// with the delay.
constexpr double FullRiskShare = 1.1;
constexpr double MinSlowness = 0.5;
constexpr double MaxSlowness = 10;
/// Share of an engine's cache assumed to hold this router's prompts; running
/// requests and prompts of other routers use the remainder.
constexpr double CacheMemoryShare = 0.6;
/// Prompt tokens assumed for each request that an engine reports as waiting.
constexpr double AssumedWaitingPromptTokens = 1500;
/// While no answer has begun, the silence of an endpoint is measured only after
/// this many times the expected time to the first byte.
constexpr int OverdueFactor = 3;
/// Cost of sending to an endpoint whose slots are all occupied; every occupied
/// slot slows down the others.
constexpr double OccupancyCost = 0.1;
/// Time constant for averaging the work times that endpoints state. They change
/// many times a second; the latest one alone would send the requests of all
/// routers to the same endpoint.
constexpr Milliseconds WorkTimeAveragingTime{1000};
/// Bounds of the weight of one stated work time. The upper one holds for
/// routers that hear of an endpoint only every few seconds.
constexpr double MinWorkTimeWeight = 0.05;
constexpr double MaxWorkTimeWeight = 0.3;
constexpr double MinWorkTime = 0.2;
constexpr double MaxWorkTime = 20;
/// Part of an endpoint's memory that the requests of all routers may fill, with
/// an estimate for the other routers.
constexpr double HeldTokensShare = 0.9;
/// Tokens of one request until the first one is sent.
constexpr double InitialRequestTokens = 4000;
/// Refused requests may come back after this time if all endpoints are full.
constexpr std::chrono::milliseconds FullRetryDelay{250};
/// Refused requests may come back after this time if all endpoints are
/// evacuated: evacuations last for seconds at least.
constexpr std::chrono::milliseconds EvacuatedRetryDelay{1500};

/// Returns \p Value moved towards \p Normal by the decay over \p Age.
double decay(double Value, double Normal, base::Duration Age) {
  return Normal +
         (Value - Normal) * std::exp2(-Milliseconds(Age) / EstimateHalfLife);
}

/// Returns the cost of the risk of a late answer; 1 is the value of a request.
/// \p ObjectiveShare is the expected time to the first byte divided by the
/// objective.
double lateRisk(double ObjectiveShare) {
  double Risk = (ObjectiveShare - NoRiskShare) / (FullRiskShare - NoRiskShare);
  // Among answers that are all late, the earliest is still preferred.
  constexpr double ExcessSlope = 0.1;
  double Excess = ExcessSlope * std::max(0.0, ObjectiveShare - FullRiskShare);
  return std::clamp(Risk, 0.0, 1.0) + Excess;
}

} // namespace

struct DirectPool::Impl {
  struct Endpoint {
    DirectEndpoint Traits_;
    PromptCache Cache_{0};
    std::uint64_t NameHash_ = 0;
    EndpointIndex Index_ = 0;
    std::uint32_t InFlight_ = 0;
    /// Uncached prompt tokens of this router's unanswered requests.
    double BacklogTokens_ = 0;
    /// BacklogTokens_ averaged over time; the estimate for each other router.
    double MeanBacklogTokens_ = 0;
    base::TimePoint BacklogUpdatedAt_{};
    /// Requests of other routers in the last load report.
    std::uint32_t OtherRequests_ = 0;
    /// Waiting requests of all routers in the last load report.
    std::uint32_t WaitingRequests_ = 0;
    base::TimePoint LoadReportedAt_{};
    /// Smoothed ratio of observed times to the first byte to those predicted
    /// for an endpoint of normal speed.
    double Slowness_ = 1;
    base::TimePoint SlownessUpdatedAt_{};
    double FailureRate_ = 0;
    base::TimePoint FailureRateUpdatedAt_{};
    base::TimePoint LastProgress_{};
    /// Attempts without a first byte, ordered by send time.
    std::set<std::pair<base::TimePoint, DirectAttemptId>> Unanswered_;
    /// Number of attempts whose answer has begun.
    std::uint32_t Streaming_ = 0;
    /// Prompt and maximum output of this router's requests in flight.
    std::uint64_t HeldTokens_ = 0;
    /// Smoothed work time that the endpoint states, 1 as usual.
    double WorkTime_ = 1;
    base::TimePoint WorkTimeAt_{};
    SlowStart SlowStart_;
  };

  struct Attempt {
    base::EndpointId Endpoint_;
    std::uint64_t Generation_ = 0;
    base::TimePoint SentAt_{};
    base::Duration ExpectedFirstByte_{0};
    base::Duration FirstByteObjective_{0};
    double UncachedTokens_ = 0;
    std::uint64_t HeldTokens_ = 0;
    bool Answered_ = false;
  };

  explicit Impl(DirectPoolOptions Options)
      : Options_(std::move(Options)), Ejector_(Options_.Ejector_) {}

  Endpoint *find(const base::EndpointId &Id) {
    auto Found = Endpoints_.find(Id);
    return Found == Endpoints_.end() ? nullptr : Found->second.get();
  }

  EndpointIndex claimIndex() {
    if (FreeIndices_.empty())
      return NextIndex_++;
    EndpointIndex Index = FreeIndices_.back();
    FreeIndices_.pop_back();
    return Index;
  }

  double slowness(const Endpoint &Target, base::TimePoint Now) const {
    return decay(Target.Slowness_, 1, Now - Target.SlownessUpdatedAt_);
  }
  double failureRate(const Endpoint &Target, base::TimePoint Now) const {
    return decay(Target.FailureRate_, 0, Now - Target.FailureRateUpdatedAt_);
  }
  double meanBacklog(const Endpoint &Target, base::TimePoint Now) const {
    double Weight = 1 - std::exp(-Milliseconds(Now - Target.BacklogUpdatedAt_) /
                                 BacklogAveragingTime);
    return Target.MeanBacklogTokens_ +
           Weight * (Target.BacklogTokens_ - Target.MeanBacklogTokens_);
  }
  void changeBacklog(Endpoint &Target, double Tokens,
                     base::TimePoint Now) const {
    Target.MeanBacklogTokens_ = meanBacklog(Target, Now);
    Target.BacklogUpdatedAt_ = Now;
    Target.BacklogTokens_ = std::max(0.0, Target.BacklogTokens_ + Tokens);
  }

  /// Estimates the requests at the endpoint from all routers.
  double requests(const Endpoint &Target, base::TimePoint Now) const {
    double Others =
        decay(Target.OtherRequests_, 0, Now - Target.LoadReportedAt_);
    return Target.InFlight_ + Others;
  }

  double workTime(const Endpoint &Target, base::TimePoint Now) const {
    return decay(Target.WorkTime_, 1, Now - Target.WorkTimeAt_);
  }

  bool isEvacuated(const Endpoint &Target) const {
    return Evacuated_.contains(Target.Traits_.Domain_);
  }
  /// Whether prompt parts may be copied from the endpoint.
  bool isCopySource(const Endpoint &Target, base::TimePoint Now) const {
    auto Found = Evacuated_.find(Target.Traits_.Domain_);
    return Found == Evacuated_.end() || Now < Found->second;
  }

  bool usesSlowStart() const { return Options_.SlowStart_ || StatesWorkTime_; }
  void beginSlowStart(Endpoint &Target) const {
    if (usesSlowStart())
      Target.SlowStart_.begin(Target.Traits_.Slots_);
  }

  /// Tokens that a request may fill of an endpoint's memory.
  static std::uint64_t tokensOf(const PlacementRequest &Request) {
    return std::uint64_t{Request.PromptTokens_} + Request.MaxOutputTokens_;
  }
  /// Whether the endpoint's memory may not take the request beside those that
  /// it holds.
  bool isFull(const Endpoint &Target, const PlacementRequest &Request,
              base::TimePoint Now) const {
    if (!Options_.LimitHeldTokens_ || Target.Traits_.CacheTokens_ == 0)
      return false;
    double Others =
        decay(Target.OtherRequests_, 0, Now - Target.LoadReportedAt_);
    double Held = static_cast<double>(Target.HeldTokens_) +
                  Others * MeanRequestTokens_ +
                  static_cast<double>(tokensOf(Request));
    // An idle endpoint rejects by itself what it can't run.
    constexpr double NoRequest = 0.5;
    if (Target.InFlight_ == 0 && Others < NoRequest)
      return false;
    return Held >
           HeldTokensShare * static_cast<double>(Target.Traits_.CacheTokens_);
  }

  Milliseconds expectedFirstByte(const Endpoint &Target, double Uncached,
                                 base::TimePoint Now) const {
    double Slowness = slowness(Target, Now) * workTime(Target, Now);
    double Requests = requests(Target, Now);
    double Slots = std::max(1U, Target.Traits_.Slots_);
    if (Target.Traits_.CacheTokens_ == 0) {
      double QueueDepth = std::max(0.0, Requests + 1 - Slots) / Slots;
      return Milliseconds(MeanCallDuration_) * Slowness * (1 + QueueDepth);
    }
    double OtherBacklog = std::max(
        meanBacklog(Target, Now) * static_cast<double>(Options_.Routers_ - 1),
        decay(Target.WaitingRequests_, 0, Now - Target.LoadReportedAt_) *
            AssumedWaitingPromptTokens);
    double Tokens = Target.BacklogTokens_ + OtherBacklog + Uncached;
    Milliseconds Prefill(Tokens / Options_.PromptTokensPerMillisecond_);
    double QueueDepth = std::max(0.0, Requests + 1 - Slots) / Slots;
    return Slowness *
           (Milliseconds(Options_.BaseLatency_) * (1 + QueueDepth) + Prefill);
  }

  /// Returns the engine to which all routers send requests with the shared
  /// prefix of \p Prompt by default, chosen by rendezvous hashing.
  const Endpoint *affinityTargetOf(std::span<const PromptPart> Prompt) const {
    // The last part is unique to the request, so a single part has no prefix to
    // share.
    if (Prompt.size() < 2)
      return nullptr;
    std::uint64_t Key = Prompt[Prompt.size() - 2].Id_;
    const Endpoint *Best = nullptr;
    std::uint64_t BestScore = 0;
    for (const auto &[Id, Each] : Endpoints_) {
      if (isEvacuated(*Each))
        continue;
      std::uint64_t Score =
          XXH3_64bits_withSeed(&Key, sizeof(Key), Each->NameHash_);
      if (!Best || Score > BestScore) {
        Best = Each.get();
        BestScore = Score;
      }
    }
    return Best;
  }

  struct PrefixHolder {
    const Endpoint *Engine_ = nullptr;
    std::uint32_t Tokens_ = 0;
  };

  /// Returns the usable engine believed to have the longest cached prefix of a
  /// prompt; Engine_ is null if there is none.
  PrefixHolder bestHolder(std::span<const PromptPart> Prompt,
                          base::TimePoint Now) const {
    PrefixHolder Best;
    for (const auto &[Id, Each] : Endpoints_) {
      std::uint32_t Tokens = Each->Cache_.cachedTokens(Prompt);
      if (Tokens > Best.Tokens_ && !Ejector_.ejected(Each->Index_) &&
          isCopySource(*Each, Now) && !silent(*Each, Now))
        Best = {Each.get(), Tokens};
    }
    return Best;
  }

  /// Returns when the endpoint takes requests of this router again, if it does
  /// not now.
  std::optional<base::TimePoint> heldOffUntil(const base::EndpointId &Id,
                                              base::TimePoint Now) const {
    base::TimePoint Until =
        Now + std::max(Limits_.wait(Id, Now), ColdLimits_.wait(Id, Now));
    auto Found = HeldOffUntil_.find(Id);
    if (Found != HeldOffUntil_.end())
      Until = std::max(Until, Found->second);
    if (Until <= Now)
      return std::nullopt;
    return Until;
  }

  bool isExcluded(const PlacementRequest &Request,
                  const Endpoint &Target) const {
    return std::find(Request.Excluded_.begin(), Request.Excluded_.end(),
                     Target.Traits_.Endpoint_) != Request.Excluded_.end();
  }

  /// Returns the tokens of all parts but the last, which no other request
  /// shares.
  static std::uint32_t sharedTokens(std::span<const PromptPart> Prompt) {
    std::uint32_t Shared = 0;
    for (const PromptPart &Part : Prompt.first(Prompt.size() - 1))
      Shared += Part.Tokens_;
    return Shared;
  }

  std::uint32_t assumedCachedTokens(std::span<const PromptPart> Prompt) const {
    return static_cast<std::uint32_t>(Options_.AssumedCachedFraction_ *
                                      sharedTokens(Prompt));
  }

  struct Candidate {
    Endpoint *Endpoint_ = nullptr;
    double Cost_ = 0;
    Milliseconds ExpectedFirstByte_{0};
    std::uint32_t CachedTokens_ = 0;
    const Endpoint *FetchFrom_ = nullptr;
  };

  Candidate evaluate(Endpoint &Target, const PlacementRequest &Request,
                     const Endpoint *AffinityTarget, const PrefixHolder &Holder,
                     base::TimePoint Now) const {
    Candidate Result{&Target};
    Result.CachedTokens_ = Target.Cache_.cachedTokens(Request.Prompt_);
    if (&Target == AffinityTarget && Result.CachedTokens_ == 0)
      Result.CachedTokens_ = assumedCachedTokens(Request.Prompt_);
    double Cost = 0;
    if (Holder.Engine_ && Holder.Engine_ != &Target &&
        Holder.Tokens_ >= Result.CachedTokens_ + Options_.MinFetchTokens_) {
      Result.FetchFrom_ = Holder.Engine_;
      Cost += Options_.FetchCostPer1000Tokens_ *
              (Holder.Tokens_ - Result.CachedTokens_) / 1000;
      Result.CachedTokens_ = Holder.Tokens_;
    } else if (AffinityTarget && AffinityTarget != &Target &&
               sharedTokens(Request.Prompt_) >=
                   Result.CachedTokens_ + Options_.MinFetchTokens_) {
      // Other routers also send to the affinity target, so it may have cached
      // more than this router knows.
      Result.FetchFrom_ = AffinityTarget;
    }
    double Uncached = Request.PromptTokens_ -
                      std::min(Request.PromptTokens_, Result.CachedTokens_);
    Result.ExpectedFirstByte_ = expectedFirstByte(Target, Uncached, Now);
    Cost += Options_.PrefillCostPer1000Tokens_ * Uncached / 1000;
    if (&Target == AffinityTarget)
      Cost -= Options_.AffinityBonus_;
    if (Target.Traits_.Domain_ != Options_.Domain_)
      Cost += Options_.CrossDomainCostPer1000Bytes_ *
              (static_cast<double>(Request.BodyBytes_) / 1000 + 1);
    Cost += failureRate(Target, Now);
    Cost += OccupancyCost * requests(Target, Now) /
            std::max(1U, Target.Traits_.Slots_);
    double Objective =
        std::max(1.0, Milliseconds(Request.FirstByteObjective_).count());
    Cost += lateRisk(Result.ExpectedFirstByte_.count() / Objective);
    Result.Cost_ = Cost;
    return Result;
  }

  static bool better(const std::optional<Candidate> &Best,
                     const Candidate &Next) {
    return !Best || Next.Cost_ < Best->Cost_;
  }

  bool silent(const Endpoint &Target, base::TimePoint Now) const {
    if (Target.InFlight_ == 0)
      return false;
    base::TimePoint LastActivity = Target.LastProgress_;
    if (Target.Streaming_ == 0) {
      if (Target.Unanswered_.empty())
        return false;
      auto Oldest = Attempts_.find(Target.Unanswered_.begin()->second);
      LastActivity = std::max(
          LastActivity, Oldest->second.SentAt_ +
                            OverdueFactor * Oldest->second.ExpectedFirstByte_);
    }
    return Pause_.awake(LastActivity, Now) > Options_.SilenceTimeout_;
  }

  /// Returns the attempt's endpoint, or null if it has been removed since.
  Endpoint *endpointOf(const Attempt &Record) {
    Endpoint *Found = find(Record.Endpoint_);
    return Found && generation(*Found) == Record.Generation_ ? Found : nullptr;
  }
  std::uint64_t generation(const Endpoint &Target) const {
    return Generations_[Target.Index_];
  }

  void closeAttempt(Endpoint &Target, DirectAttemptId Id, const Attempt &Record,
                    base::TimePoint Now) {
    if (Target.InFlight_ > 0)
      --Target.InFlight_;
    Target.HeldTokens_ -= std::min(Target.HeldTokens_, Record.HeldTokens_);
    if (Record.Answered_) {
      if (Target.Streaming_ > 0)
        --Target.Streaming_;
      return;
    }
    Target.Unanswered_.erase({Record.SentAt_, Id});
    changeBacklog(Target, -Record.UncachedTokens_, Now);
  }

  DirectPoolOptions Options_;
  Pause Pause_;
  Ejector Ejector_;
  std::unordered_map<base::EndpointId, std::unique_ptr<Endpoint>> Endpoints_;
  /// End of the hold-off of each endpoint that has asked for one.
  std::unordered_map<base::EndpointId, base::TimePoint> HeldOffUntil_;
  RequestLimits Limits_;
  ColdLimits ColdLimits_;
  /// Evacuated failure domains, each with the time until which prompt parts may
  /// be copied from it.
  std::unordered_map<base::FailureDomainId, base::TimePoint> Evacuated_;
  /// When the last evacuation of a failure domain ended.
  std::unordered_map<base::FailureDomainId, base::TimePoint> EvacuationEndedAt_;
  /// Whether an endpoint of the pool has stated how long work takes.
  bool StatesWorkTime_ = false;
  /// Whether an answer of the pool was whole, so that endpoints which are added
  /// have started, and not this router.
  bool HasServed_ = false;
  /// Tokens of one request, smoothed over all requests.
  double MeanRequestTokens_ = InitialRequestTokens;
  std::vector<EndpointIndex> FreeIndices_;
  EndpointIndex NextIndex_ = 0;
  std::vector<std::uint64_t> Generations_;
  std::uint64_t NextGeneration_ = 1;
  std::unordered_map<DirectAttemptId, Attempt> Attempts_;
  DirectAttemptId NextAttempt_ = 1;
  /// Duration of a plain call, smoothed over all endpoints.
  base::Duration MeanCallDuration_ = Options_.InitialCallDuration_;
};

DirectPool::DirectPool(DirectPoolOptions Options)
    : Impl_(std::make_unique<Impl>(std::move(Options))) {}
DirectPool::~DirectPool() = default;
DirectPool::DirectPool(DirectPool &&) noexcept = default;
DirectPool &DirectPool::operator=(DirectPool &&) noexcept = default;

void DirectPool::addOrUpdate(const DirectEndpoint &Settings,
                             base::TimePoint Now) {
  if (Impl::Endpoint *Existing = Impl_->find(Settings.Endpoint_)) {
    Existing->Traits_ = Settings;
    return;
  }
  auto Created = std::make_unique<Impl::Endpoint>();
  Created->Traits_ = Settings;
  Created->Cache_ = PromptCache(static_cast<std::uint64_t>(
      CacheMemoryShare * static_cast<double>(Settings.CacheTokens_)));
  const std::string &Name = Settings.Endpoint_.str();
  Created->NameHash_ = XXH3_64bits(Name.data(), Name.size());
  Created->Index_ = Impl_->claimIndex();
  if (Impl_->Generations_.size() <= Created->Index_)
    Impl_->Generations_.resize(Created->Index_ + 1);
  Impl_->Generations_[Created->Index_] = Impl_->NextGeneration_++;
  Created->LastProgress_ = Now;
  Impl_->Ejector_.add(Created->Index_, Now, false);
  Impl_->Ejector_.setServing(Created->Index_, true);
  if (Impl_->HasServed_)
    Impl_->beginSlowStart(*Created);
  if (auto Ended = Impl_->EvacuationEndedAt_.find(Settings.Domain_);
      Ended != Impl_->EvacuationEndedAt_.end())
    Impl_->ColdLimits_.setUnknown(Settings.Endpoint_, Ended->second);
  Impl_->Endpoints_.emplace(Settings.Endpoint_, std::move(Created));
}

void DirectPool::remove(const base::EndpointId &Endpoint) {
  auto Found = Impl_->Endpoints_.find(Endpoint);
  if (Found == Impl_->Endpoints_.end())
    return;
  Impl_->Ejector_.remove(Found->second->Index_);
  Impl_->FreeIndices_.push_back(Found->second->Index_);
  Impl_->Endpoints_.erase(Found);
}

void DirectPool::setPause(Pause Last) { Impl_->Pause_ = Last; }

void DirectPool::holdOff(const base::EndpointId &Endpoint,
                         base::TimePoint Until) {
  base::TimePoint &Current = Impl_->HeldOffUntil_[Endpoint];
  Current = std::max(Current, Until);
}

void DirectPool::evacuate(const base::FailureDomainId &Domain,
                          base::TimePoint CopyUntil) {
  Impl_->Evacuated_.emplace(Domain, CopyUntil);
}

void DirectPool::endEvacuation(const base::FailureDomainId &Domain,
                               base::TimePoint Now) {
  Impl_->Evacuated_.erase(Domain);
  Impl_->EvacuationEndedAt_.insert_or_assign(Domain, Now);
  for (auto &[Id, Each] : Impl_->Endpoints_) {
    if (Each->Traits_.Domain_ != Domain)
      continue;
    Impl_->ColdLimits_.setUnknown(Id, Now);
    Impl_->beginSlowStart(*Each);
  }
}

void DirectPool::becameCold(const base::EndpointId &Endpoint) {
  if (Impl::Endpoint *Found = Impl_->find(Endpoint))
    Impl_->beginSlowStart(*Found);
}

void DirectPool::restarted(const base::EndpointId &Endpoint) {
  Impl_->HeldOffUntil_.erase(Endpoint);
  Impl_->Limits_.forget(Endpoint);
  Impl_->ColdLimits_.forget(Endpoint);
}

RequestLimits &DirectPool::requestLimits() { return Impl_->Limits_; }

ColdLimits &DirectPool::coldLimits() { return Impl_->ColdLimits_; }

void DirectPool::setProtection(bool SlowStart, bool LimitHeldTokens) {
  Impl_->Options_.SlowStart_ = SlowStart;
  Impl_->Options_.LimitHeldTokens_ = LimitHeldTokens;
}

void DirectPool::setPlace(FleetPlace Place, FleetTime ClockOffset,
                          base::TimePoint Now) {
  Impl_->Options_.Routers_ = Place.Routers_;
  Impl_->Limits_.setPlace(Place, ClockOffset, Now);
}

base::Result<Placement, PlacementFailure>
DirectPool::choose(const PlacementRequest &Request, base::TimePoint Now) {
  const Impl::Endpoint *AffinityTarget =
      Impl_->affinityTargetOf(Request.Prompt_);
  Impl::PrefixHolder Holder;
  if (!Request.Prompt_.empty())
    Holder = Impl_->bestHolder(Request.Prompt_, Now);
  std::optional<Impl::Candidate> Best;
  std::optional<Impl::Candidate> BestUnusable;
  std::optional<base::TimePoint> HeldOffUntil;
  bool SkippedEvacuated = false;
  for (auto &[Id, Each] : Impl_->Endpoints_) {
    if (Impl_->isEvacuated(*Each)) {
      SkippedEvacuated = true;
      continue;
    }
    Impl_->Limits_.want(Id, Now);
    if (auto Until = Impl_->heldOffUntil(Id, Now)) {
      HeldOffUntil = std::min(HeldOffUntil.value_or(*Until), *Until);
      continue;
    }
    if (Impl_->isExcluded(Request, *Each))
      continue;
    if (Impl_->isFull(*Each, Request, Now)) {
      base::TimePoint Until = Now + FullRetryDelay;
      HeldOffUntil = std::min(HeldOffUntil.value_or(Until), Until);
      continue;
    }
    Impl::Candidate Evaluated =
        Impl_->evaluate(*Each, Request, AffinityTarget, Holder, Now);
    bool Usable = Impl_->Ejector_.admits(Each->Index_, Now) &&
                  Each->SlowStart_.admits(Each->InFlight_) &&
                  !Impl_->silent(*Each, Now);
    std::optional<Impl::Candidate> &Selected = Usable ? Best : BestUnusable;
    if (Impl::better(Selected, Evaluated))
      Selected = Evaluated;
  }
  if (!Best)
    Best = BestUnusable;
  if (!Best && HeldOffUntil)
    return base::failure(
        PlacementFailure{PlacementError::HeldOff, *HeldOffUntil - Now});
  if (!Best && SkippedEvacuated)
    return base::failure(
        PlacementFailure{PlacementError::Evacuated, EvacuatedRetryDelay});
  if (!Best) {
    constexpr std::chrono::milliseconds NoEndpointWait{1000};
    return base::failure(
        PlacementFailure{PlacementError::NoEndpoint, NoEndpointWait});
  }
  auto ExpectedFirstByte =
      std::chrono::duration_cast<base::Duration>(Best->ExpectedFirstByte_);
  if (Now + ExpectedFirstByte > Request.Deadline_)
    return base::failure(PlacementFailure{
        PlacementError::TooLate, Now + ExpectedFirstByte - Request.Deadline_});
  Placement Placed{Best->Endpoint_->Traits_.Endpoint_,
                   ExpectedFirstByte,
                   Best->CachedTokens_,
                   {}};
  if (Best->FetchFrom_)
    Placed.FetchFrom_ = Best->FetchFrom_->Traits_.Endpoint_;
  return Placed;
}

DirectAttemptId DirectPool::sent(const Placement &Placed,
                                 const PlacementRequest &Request,
                                 base::TimePoint Now) {
  DirectAttemptId Id = Impl_->NextAttempt_++;
  Impl::Endpoint *Target = Impl_->find(Placed.Endpoint_);
  if (!Target)
    return Id;
  double Uncached = Request.PromptTokens_ -
                    std::min(Request.PromptTokens_, Placed.CachedTokens_);
  // An idle endpoint sends nothing; measure its silence from this request.
  if (Target->InFlight_ == 0)
    Target->LastProgress_ = Now;
  ++Target->InFlight_;
  Impl_->Limits_.sent(Placed.Endpoint_, Now);
  Impl_->ColdLimits_.sent(Placed.Endpoint_, Now);
  std::uint64_t Tokens = Impl::tokensOf(Request);
  Target->HeldTokens_ += Tokens;
  Impl_->MeanRequestTokens_ +=
      SampleWeight * (static_cast<double>(Tokens) - Impl_->MeanRequestTokens_);
  Impl_->changeBacklog(*Target, Uncached, Now);
  Target->Unanswered_.insert({Now, Id});
  if (!Request.Prompt_.empty())
    Target->Cache_.add(Request.Prompt_);
  Impl_->Ejector_.sent(Target->Index_);
  Impl_->Attempts_.emplace(
      Id, Impl::Attempt{Placed.Endpoint_, Impl_->generation(*Target), Now,
                        Placed.ExpectedFirstByte_, Request.FirstByteObjective_,
                        Uncached, Tokens, false});
  return Id;
}

void DirectPool::loadReported(DirectAttemptId Attempt, const ReportedLoad &Load,
                              base::TimePoint Now) {
  auto Found = Impl_->Attempts_.find(Attempt);
  if (Found == Impl_->Attempts_.end())
    return;
  Impl::Endpoint *Target = Impl_->endpointOf(Found->second);
  if (!Target)
    return;
  std::uint32_t All = Load.Running_ + Load.Waiting_;
  Target->OtherRequests_ = All - std::min(All, Target->InFlight_);
  Target->WaitingRequests_ = Load.Waiting_;
  Target->LoadReportedAt_ = Now;
  if (!Load.WorkTime_)
    return;
  Impl_->StatesWorkTime_ = true;
  double Previous = Impl_->workTime(*Target, Now);
  double Weight =
      std::clamp(1 - std::exp(-Milliseconds(Now - Target->WorkTimeAt_) /
                              WorkTimeAveragingTime),
                 MinWorkTimeWeight, MaxWorkTimeWeight);
  double Stated = std::clamp(*Load.WorkTime_, MinWorkTime, MaxWorkTime);
  Target->WorkTime_ = Previous + Weight * (Stated - Previous);
  Target->WorkTimeAt_ = Now;
}

void DirectPool::answered(DirectAttemptId Attempt, base::TimePoint Now) {
  auto Found = Impl_->Attempts_.find(Attempt);
  if (Found == Impl_->Attempts_.end() || Found->second.Answered_)
    return;
  Impl::Attempt &Record = Found->second;
  Impl::Endpoint *Target = Impl_->endpointOf(Record);
  if (!Target)
    return;
  Record.Answered_ = true;
  Target->LastProgress_ = Now;
  Target->Unanswered_.erase({Record.SentAt_, Attempt});
  ++Target->Streaming_;
  Impl_->changeBacklog(*Target, -Record.UncachedTokens_, Now);
  double Previous = Impl_->slowness(*Target, Now);
  base::Duration Elapsed = Impl_->Pause_.awake(Record.SentAt_, Now);
  Target->SlowStart_.answered(Elapsed <= Record.FirstByteObjective_);
  double Observed =
      Milliseconds(Elapsed) /
      std::max(Milliseconds(1), Milliseconds(Record.ExpectedFirstByte_));
  double Sample = std::clamp(Previous * Observed, MinSlowness, MaxSlowness);
  Target->Slowness_ = Previous + SampleWeight * (Sample - Previous);
  Target->SlownessUpdatedAt_ = Now;
}

void DirectPool::progressed(DirectAttemptId Attempt, base::TimePoint Now) {
  auto Found = Impl_->Attempts_.find(Attempt);
  if (Found == Impl_->Attempts_.end())
    return;
  if (Impl::Endpoint *Target = Impl_->endpointOf(Found->second))
    Target->LastProgress_ = Now;
}

void DirectPool::finished(DirectAttemptId Attempt, base::TimePoint Now) {
  answered(Attempt, Now);
  auto Found = Impl_->Attempts_.find(Attempt);
  if (Found == Impl_->Attempts_.end())
    return;
  if (Impl::Endpoint *Target = Impl_->endpointOf(Found->second)) {
    Target->LastProgress_ = Now;
    Impl_->closeAttempt(*Target, Attempt, Found->second, Now);
    bool WasEjected = Impl_->Ejector_.ejected(Target->Index_);
    Impl_->Ejector_.succeeded(Target->Index_, Now);
    if (WasEjected && !Impl_->Ejector_.ejected(Target->Index_))
      Impl_->beginSlowStart(*Target);
    Impl_->HasServed_ = true;
    Target->FailureRate_ =
        Impl_->failureRate(*Target, Now) * (1 - SampleWeight);
    Target->FailureRateUpdatedAt_ = Now;
    if (Target->Traits_.CacheTokens_ == 0) {
      base::Duration Duration = Impl_->Pause_.awake(Found->second.SentAt_, Now);
      Impl_->MeanCallDuration_ += std::chrono::duration_cast<base::Duration>(
          SampleWeight * Milliseconds(Duration - Impl_->MeanCallDuration_));
    }
  }
  Impl_->Attempts_.erase(Found);
}

std::optional<EjectionReason> DirectPool::failed(DirectAttemptId Attempt,
                                                 FailureKind Kind,
                                                 base::TimePoint Now) {
  auto Found = Impl_->Attempts_.find(Attempt);
  if (Found == Impl_->Attempts_.end())
    return std::nullopt;
  std::optional<EjectionReason> Ejected;
  if (Impl::Endpoint *Target = Impl_->endpointOf(Found->second)) {
    Impl_->closeAttempt(*Target, Attempt, Found->second, Now);
    Ejected = Impl_->Ejector_.failed(Target->Index_, Kind, Now);
    if (Kind != FailureKind::Cancelled) {
      Target->SlowStart_.failed();
      double Previous = Impl_->failureRate(*Target, Now);
      Target->FailureRate_ = Previous + SampleWeight * (1 - Previous);
      Target->FailureRateUpdatedAt_ = Now;
    }
  }
  Impl_->Attempts_.erase(Found);
  return Ejected;
}

bool DirectPool::silent(const base::EndpointId &Endpoint,
                        base::TimePoint Now) const {
  Impl::Endpoint *Found = Impl_->find(Endpoint);
  return Found && Impl_->silent(*Found, Now);
}

std::vector<base::EndpointId> DirectPool::sweep(base::TimePoint Now) {
  std::erase_if(Impl_->HeldOffUntil_,
                [Now](const auto &Each) { return Now >= Each.second; });
  Impl_->ColdLimits_.sweep(Now);
  std::vector<base::EndpointId> Ejected;
  for (auto &[Id, Each] : Impl_->Endpoints_)
    if (Impl_->silent(*Each, Now) &&
        Impl_->Ejector_.eject(Each->Index_, EjectionReason::Silent, Now))
      Ejected.push_back(Id);
  return Ejected;
}

std::size_t DirectPool::size() const { return Impl_->Endpoints_.size(); }

std::uint32_t DirectPool::inFlight(const base::EndpointId &Endpoint) const {
  Impl::Endpoint *Found = Impl_->find(Endpoint);
  return Found ? Found->InFlight_ : 0;
}

} // namespace camphorwind::routing
