#include "camphorwind/routing/direct-pool.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <set>
#include <utility>

namespace camphorwind::routing {

namespace {

using Milliseconds = std::chrono::duration<double, std::milli>;

/// Weight of one observation in smoothed figures.
constexpr double SampleWeight = 0.15;
/// Estimates of speed and failure return to normal at this half-life, so that
/// an endpoint that is avoided gets tried again.
constexpr Milliseconds EstimateHalfLife{4000};
/// Time over which an endpoint's backlog from other routers is averaged.
constexpr Milliseconds BacklogAverage{1000};
/// Part of the objective within which an answer is surely in time, and the
/// part at which it surely is not.
constexpr double SafeShare = 0.5;
constexpr double LateShare = 1.1;
constexpr double LeastSlowness = 0.5;
constexpr double MostSlowness = 10;
/// Part of an engine's memory that cached prompts may take; running requests
/// and other routers' prompts use the rest.
constexpr double CacheShare = 0.6;
/// Prompt tokens assumed for a request that waits at an engine unseen.
constexpr double UnseenPromptTokens = 1500;
/// A silent endpoint that never answered is given this many expected times.
constexpr int OverdueFactor = 3;
/// Costs of an occupied slot, which slows all others down.
constexpr double OccupancyCost = 0.1;

double decay(double Value, double Normal, base::Duration Age) {
  return Normal +
         (Value - Normal) * std::exp2(-Milliseconds(Age) / EstimateHalfLife);
}

/// Risk of a late answer, in shares of the request's value.
double lateRisk(double ObjectiveShare) {
  double Risk = (ObjectiveShare - SafeShare) / (LateShare - SafeShare);
  constexpr double BeyondSlope = 0.1;
  double Beyond = BeyondSlope * std::max(0.0, ObjectiveShare - LateShare);
  return std::clamp(Risk, 0.0, 1.0) + Beyond;
}

} // namespace

struct DirectPool::Impl {
  struct Endpoint {
    DirectEndpoint Traits_;
    PromptCache Cache_{0};
    std::uint64_t NameHash_ = 0;
    EndpointIndex Index_ = 0;
    std::uint32_t InFlight_ = 0;
    /// Prompt tokens of this router's requests without a first token.
    double Backlog_ = 0;
    /// The same averaged over time; stands for each other router's.
    double MeanBacklog_ = 0;
    base::TimePoint BacklogAt_{};
    /// Requests of other routers when load was last stated.
    std::uint32_t Others_ = 0;
    std::uint32_t Waiting_ = 0;
    base::TimePoint LoadAt_{};
    /// Observed over expected time to the first byte, smoothed.
    double Slowness_ = 1;
    base::TimePoint SlownessAt_{};
    double FailureRate_ = 0;
    base::TimePoint FailureAt_{};
    base::TimePoint LastProgress_{};
    /// Requests without a first byte: when sent, when expected.
    std::set<std::pair<base::TimePoint, DirectAttemptId>> Unanswered_;
    /// Requests whose answer has begun.
    std::uint32_t Streaming_ = 0;
  };

  struct Attempt {
    base::EndpointId Endpoint_;
    std::uint64_t Generation_ = 0;
    base::TimePoint SentAt_{};
    base::Duration Expected_{0};
    double Uncached_ = 0;
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

  double slowness(const Endpoint &Of, base::TimePoint Now) const {
    return decay(Of.Slowness_, 1, Now - Of.SlownessAt_);
  }
  double failureRate(const Endpoint &Of, base::TimePoint Now) const {
    return decay(Of.FailureRate_, 0, Now - Of.FailureAt_);
  }
  double meanBacklog(const Endpoint &Of, base::TimePoint Now) const {
    double Weight =
        1 - std::exp(-Milliseconds(Now - Of.BacklogAt_) / BacklogAverage);
    return Of.MeanBacklog_ + Weight * (Of.Backlog_ - Of.MeanBacklog_);
  }
  void changeBacklog(Endpoint &Of, double Tokens, base::TimePoint Now) const {
    Of.MeanBacklog_ = meanBacklog(Of, Now);
    Of.BacklogAt_ = Now;
    Of.Backlog_ = std::max(0.0, Of.Backlog_ + Tokens);
  }

  double requests(const Endpoint &Of, base::TimePoint Now) const {
    double Others = decay(Of.Others_, 0, Now - Of.LoadAt_);
    return Of.InFlight_ + Others;
  }

  Milliseconds expectedFirst(const Endpoint &Of, double Uncached,
                             base::TimePoint Now) const {
    double Slow = slowness(Of, Now);
    double Busy = requests(Of, Now);
    double Slots = std::max(1U, Of.Traits_.Slots_);
    if (Of.Traits_.CacheTokens_ == 0) {
      double Ahead = std::max(0.0, Busy + 1 - Slots) / Slots;
      return Milliseconds(CallTime_) * Slow * (1 + Ahead);
    }
    double Unseen = std::max(
        meanBacklog(Of, Now) * static_cast<double>(Options_.Routers_ - 1),
        decay(Of.Waiting_, 0, Now - Of.LoadAt_) * UnseenPromptTokens);
    double Tokens = Of.Backlog_ + Unseen + Uncached;
    Milliseconds Prefill(Tokens / Options_.PromptTokensPerMillisecond_);
    double Queue = std::max(0.0, Busy + 1 - Slots) / Slots;
    return Slow * (Milliseconds(Options_.BaseLatency_) * (1 + Queue) + Prefill);
  }

  /// The engine to which all routers send requests with this beginning.
  const Endpoint *homeOf(std::span<const PromptPart> Prompt) const {
    // The last part belongs to the request alone.
    if (Prompt.size() < 2)
      return nullptr;
    std::uint64_t Key = Prompt[Prompt.size() - 2].Id_;
    const Endpoint *Best = nullptr;
    std::uint64_t BestScore = 0;
    for (const auto &[Id, Each] : Endpoints_) {
      std::uint64_t Score =
          XXH3_64bits_withSeed(&Key, sizeof(Key), Each->NameHash_);
      if (!Best || Score > BestScore) {
        Best = Each.get();
        BestScore = Score;
      }
    }
    return Best;
  }

  struct Holder {
    const Endpoint *Engine_ = nullptr;
    std::uint32_t Tokens_ = 0;
  };

  /// The usable engine believed to hold most of a prompt.
  Holder bestHolder(std::span<const PromptPart> Prompt,
                    base::TimePoint Now) const {
    Holder Best;
    for (const auto &[Id, Each] : Endpoints_) {
      std::uint32_t Tokens = Each->Cache_.cachedTokens(Prompt);
      if (Tokens > Best.Tokens_ && !Ejector_.ejected(Each->Index_) &&
          !silent(*Each, Now))
        Best = {Each.get(), Tokens};
    }
    return Best;
  }

  bool avoided(const PlacementRequest &Wanted, const Endpoint &Of) const {
    return std::find(Wanted.Excluded_.begin(), Wanted.Excluded_.end(),
                     Of.Traits_.Endpoint_) != Wanted.Excluded_.end();
  }

  /// Tokens of all parts but the last.
  static std::uint32_t sharedTokens(std::span<const PromptPart> Prompt) {
    std::uint32_t Shared = 0;
    for (const PromptPart &Part : Prompt.first(Prompt.size() - 1))
      Shared += Part.Tokens_;
    return Shared;
  }

  std::uint32_t assumedAtHome(std::span<const PromptPart> Prompt) const {
    return static_cast<std::uint32_t>(Options_.AssumedCachedFraction_ *
                                      sharedTokens(Prompt));
  }

  struct Offer {
    Endpoint *To_ = nullptr;
    double Cost_ = 0;
    Milliseconds First_{0};
    std::uint32_t Cached_ = 0;
    const Endpoint *FetchFrom_ = nullptr;
  };

  Offer weigh(Endpoint &Each, const PlacementRequest &Wanted,
              const Endpoint *Home, const Holder &Held,
              base::TimePoint Now) const {
    Offer Made{&Each};
    Made.Cached_ = Each.Cache_.cachedTokens(Wanted.Prompt_);
    if (&Each == Home && Made.Cached_ == 0)
      Made.Cached_ = assumedAtHome(Wanted.Prompt_);
    double Cost = 0;
    if (Held.Engine_ && Held.Engine_ != &Each &&
        Held.Tokens_ >= Made.Cached_ + Options_.MinFetchTokens_) {
      Made.FetchFrom_ = Held.Engine_;
      Cost += Options_.FetchCostPer1000Tokens_ * (Held.Tokens_ - Made.Cached_) /
              1000;
      Made.Cached_ = Held.Tokens_;
    } else if (Home && Home != &Each &&
               sharedTokens(Wanted.Prompt_) >=
                   Made.Cached_ + Options_.MinFetchTokens_) {
      // Other routers send to the home, so it may have more than is known here.
      Made.FetchFrom_ = Home;
    }
    double Uncached =
        Wanted.PromptTokens_ - std::min(Wanted.PromptTokens_, Made.Cached_);
    Made.First_ = expectedFirst(Each, Uncached, Now);
    Cost += Options_.PrefillCostPer1000Tokens_ * Uncached / 1000;
    if (&Each == Home)
      Cost -= Options_.AffinityBonus_;
    if (Each.Traits_.Domain_ != Options_.Domain_)
      Cost += Options_.CrossDomainCostPer1000Bytes_ *
              (static_cast<double>(Wanted.BodyBytes_) / 1000 + 1);
    Cost += failureRate(Each, Now);
    Cost +=
        OccupancyCost * requests(Each, Now) / std::max(1U, Each.Traits_.Slots_);
    double Objective =
        std::max(1.0, Milliseconds(Wanted.FirstByteObjective_).count());
    Cost += lateRisk(Made.First_.count() / Objective);
    Made.Cost_ = Cost;
    return Made;
  }

  static bool better(const std::optional<Offer> &Best, const Offer &Next) {
    return !Best || Next.Cost_ < Best->Cost_;
  }

  bool silent(const Endpoint &Of, base::TimePoint Now) const {
    if (Of.InFlight_ == 0)
      return false;
    base::TimePoint Since = Of.LastProgress_;
    if (Of.Streaming_ == 0) {
      if (Of.Unanswered_.empty())
        return false;
      auto Oldest = Attempts_.find(Of.Unanswered_.begin()->second);
      Since = std::max(Since, Oldest->second.SentAt_ +
                                  OverdueFactor * Oldest->second.Expected_);
    }
    return Now - Since > Options_.SilenceTimeout_;
  }

  /// Returns the attempt's endpoint unless it was removed since.
  Endpoint *endpointOf(const Attempt &Of) {
    Endpoint *Found = find(Of.Endpoint_);
    return Found && generation(*Found) == Of.Generation_ ? Found : nullptr;
  }
  std::uint64_t generation(const Endpoint &Of) const {
    return Generations_[Of.Index_];
  }

  void closeAttempt(Endpoint &Of, DirectAttemptId Id, const Attempt &Its,
                    base::TimePoint Now) {
    if (Of.InFlight_ > 0)
      --Of.InFlight_;
    if (Its.Answered_) {
      if (Of.Streaming_ > 0)
        --Of.Streaming_;
      return;
    }
    Of.Unanswered_.erase({Its.SentAt_, Id});
    changeBacklog(Of, -Its.Uncached_, Now);
  }

  DirectPoolOptions Options_;
  Ejector Ejector_;
  std::unordered_map<base::EndpointId, std::unique_ptr<Endpoint>> Endpoints_;
  std::vector<EndpointIndex> FreeIndices_;
  EndpointIndex NextIndex_ = 0;
  std::vector<std::uint64_t> Generations_;
  std::uint64_t NextGeneration_ = 1;
  std::unordered_map<DirectAttemptId, Attempt> Attempts_;
  DirectAttemptId NextAttempt_ = 1;
  /// Mean duration of a plain call, smoothed.
  base::Duration CallTime_ = Options_.InitialCallDuration_;
};

DirectPool::DirectPool(DirectPoolOptions Options)
    : Inner_(std::make_unique<Impl>(std::move(Options))) {}
DirectPool::~DirectPool() = default;
DirectPool::DirectPool(DirectPool &&) noexcept = default;
DirectPool &DirectPool::operator=(DirectPool &&) noexcept = default;

void DirectPool::addOrUpdate(const DirectEndpoint &Added, base::TimePoint Now) {
  if (Impl::Endpoint *Known = Inner_->find(Added.Endpoint_)) {
    Known->Traits_ = Added;
    return;
  }
  auto Made = std::make_unique<Impl::Endpoint>();
  Made->Traits_ = Added;
  Made->Cache_ = PromptCache(static_cast<std::uint64_t>(
      CacheShare * static_cast<double>(Added.CacheTokens_)));
  const std::string &Name = Added.Endpoint_.str();
  Made->NameHash_ = XXH3_64bits(Name.data(), Name.size());
  Made->Index_ = Inner_->claimIndex();
  if (Inner_->Generations_.size() <= Made->Index_)
    Inner_->Generations_.resize(Made->Index_ + 1);
  Inner_->Generations_[Made->Index_] = Inner_->NextGeneration_++;
  Made->LastProgress_ = Now;
  Inner_->Ejector_.add(Made->Index_, Now, false);
  Inner_->Ejector_.setServing(Made->Index_, true);
  Inner_->Endpoints_.emplace(Added.Endpoint_, std::move(Made));
}

void DirectPool::remove(const base::EndpointId &Endpoint) {
  auto Found = Inner_->Endpoints_.find(Endpoint);
  if (Found == Inner_->Endpoints_.end())
    return;
  Inner_->Ejector_.remove(Found->second->Index_);
  Inner_->FreeIndices_.push_back(Found->second->Index_);
  Inner_->Endpoints_.erase(Found);
}

void DirectPool::setRouters(std::size_t Count) {
  Inner_->Options_.Routers_ = std::max<std::size_t>(1, Count);
}

base::Result<Placement, PlacementFailure>
DirectPool::choose(const PlacementRequest &Wanted, base::TimePoint Now) {
  const Impl::Endpoint *Home = Inner_->homeOf(Wanted.Prompt_);
  Impl::Holder Held;
  if (!Wanted.Prompt_.empty())
    Held = Inner_->bestHolder(Wanted.Prompt_, Now);
  std::optional<Impl::Offer> Best;
  std::optional<Impl::Offer> BestEjected;
  for (auto &[Id, Each] : Inner_->Endpoints_) {
    if (Inner_->avoided(Wanted, *Each))
      continue;
    Impl::Offer Made = Inner_->weigh(*Each, Wanted, Home, Held, Now);
    bool Usable = Inner_->Ejector_.admits(Each->Index_, Now) &&
                  !Inner_->silent(*Each, Now);
    std::optional<Impl::Offer> &Among = Usable ? Best : BestEjected;
    if (Impl::better(Among, Made))
      Among = Made;
  }
  if (!Best)
    Best = BestEjected;
  if (!Best) {
    constexpr std::chrono::milliseconds NoEndpointWait{1000};
    return base::failure(
        PlacementFailure{PlacementError::NoEndpoint, NoEndpointWait});
  }
  auto First = std::chrono::duration_cast<base::Duration>(Best->First_);
  if (Now + First > Wanted.Deadline_)
    return base::failure(PlacementFailure{PlacementError::TooLate,
                                          Now + First - Wanted.Deadline_});
  Placement Where{Best->To_->Traits_.Endpoint_, First, Best->Cached_, {}};
  if (Best->FetchFrom_)
    Where.FetchFrom_ = Best->FetchFrom_->Traits_.Endpoint_;
  return Where;
}

DirectAttemptId DirectPool::sent(const Placement &Where,
                                 const PlacementRequest &Wanted,
                                 base::TimePoint Now) {
  DirectAttemptId Id = Inner_->NextAttempt_++;
  Impl::Endpoint *To = Inner_->find(Where.Endpoint_);
  if (!To)
    return Id;
  double Uncached = Wanted.PromptTokens_ -
                    std::min(Wanted.PromptTokens_, Where.CachedTokens_);
  // An idle endpoint's silence starts with the request.
  if (To->InFlight_ == 0)
    To->LastProgress_ = Now;
  ++To->InFlight_;
  Inner_->changeBacklog(*To, Uncached, Now);
  To->Unanswered_.insert({Now, Id});
  if (!Wanted.Prompt_.empty())
    To->Cache_.add(Wanted.Prompt_);
  Inner_->Ejector_.sent(To->Index_);
  Inner_->Attempts_.emplace(
      Id, Impl::Attempt{Where.Endpoint_, Inner_->generation(*To), Now,
                        Where.ExpectedFirstByte_, Uncached, false});
  return Id;
}

void DirectPool::loadReported(DirectAttemptId Attempt, std::uint32_t Running,
                              std::uint32_t Waiting, base::TimePoint Now) {
  auto Found = Inner_->Attempts_.find(Attempt);
  if (Found == Inner_->Attempts_.end())
    return;
  Impl::Endpoint *Of = Inner_->endpointOf(Found->second);
  if (!Of)
    return;
  std::uint32_t All = Running + Waiting;
  Of->Others_ = All - std::min(All, Of->InFlight_);
  Of->Waiting_ = Waiting;
  Of->LoadAt_ = Now;
}

void DirectPool::answered(DirectAttemptId Attempt, base::TimePoint Now) {
  auto Found = Inner_->Attempts_.find(Attempt);
  if (Found == Inner_->Attempts_.end() || Found->second.Answered_)
    return;
  Impl::Attempt &Its = Found->second;
  Impl::Endpoint *Of = Inner_->endpointOf(Its);
  if (!Of)
    return;
  Its.Answered_ = true;
  Of->LastProgress_ = Now;
  Of->Unanswered_.erase({Its.SentAt_, Attempt});
  ++Of->Streaming_;
  Inner_->changeBacklog(*Of, -Its.Uncached_, Now);
  double Known = Inner_->slowness(*Of, Now);
  double Observed = Milliseconds(Now - Its.SentAt_) /
                    std::max(Milliseconds(1), Milliseconds(Its.Expected_));
  double Sample = std::clamp(Known * Observed, LeastSlowness, MostSlowness);
  Of->Slowness_ = Known + SampleWeight * (Sample - Known);
  Of->SlownessAt_ = Now;
}

void DirectPool::progressed(DirectAttemptId Attempt, base::TimePoint Now) {
  auto Found = Inner_->Attempts_.find(Attempt);
  if (Found == Inner_->Attempts_.end())
    return;
  if (Impl::Endpoint *Of = Inner_->endpointOf(Found->second))
    Of->LastProgress_ = Now;
}

void DirectPool::finished(DirectAttemptId Attempt, base::TimePoint Now) {
  answered(Attempt, Now);
  auto Found = Inner_->Attempts_.find(Attempt);
  if (Found == Inner_->Attempts_.end())
    return;
  if (Impl::Endpoint *Of = Inner_->endpointOf(Found->second)) {
    Of->LastProgress_ = Now;
    Inner_->closeAttempt(*Of, Attempt, Found->second, Now);
    Inner_->Ejector_.succeeded(Of->Index_, Now);
    Of->FailureRate_ = Inner_->failureRate(*Of, Now) * (1 - SampleWeight);
    Of->FailureAt_ = Now;
    if (Of->Traits_.CacheTokens_ == 0) {
      base::Duration Took = Now - Found->second.SentAt_;
      Inner_->CallTime_ += std::chrono::duration_cast<base::Duration>(
          SampleWeight * Milliseconds(Took - Inner_->CallTime_));
    }
  }
  Inner_->Attempts_.erase(Found);
}

std::optional<EjectionReason> DirectPool::failed(DirectAttemptId Attempt,
                                                 FailureKind Kind,
                                                 base::TimePoint Now) {
  auto Found = Inner_->Attempts_.find(Attempt);
  if (Found == Inner_->Attempts_.end())
    return std::nullopt;
  std::optional<EjectionReason> Ejected;
  if (Impl::Endpoint *Of = Inner_->endpointOf(Found->second)) {
    Inner_->closeAttempt(*Of, Attempt, Found->second, Now);
    Ejected = Inner_->Ejector_.failed(Of->Index_, Kind, Now);
    if (Kind != FailureKind::Cancelled) {
      double Known = Inner_->failureRate(*Of, Now);
      Of->FailureRate_ = Known + SampleWeight * (1 - Known);
      Of->FailureAt_ = Now;
    }
  }
  Inner_->Attempts_.erase(Found);
  return Ejected;
}

bool DirectPool::silent(const base::EndpointId &Endpoint,
                        base::TimePoint Now) const {
  Impl::Endpoint *Found = Inner_->find(Endpoint);
  return Found && Inner_->silent(*Found, Now);
}

std::vector<base::EndpointId> DirectPool::sweep(base::TimePoint Now) {
  std::vector<base::EndpointId> Ejected;
  for (auto &[Id, Each] : Inner_->Endpoints_)
    if (Inner_->silent(*Each, Now) &&
        Inner_->Ejector_.eject(Each->Index_, EjectionReason::Silent, Now))
      Ejected.push_back(Id);
  return Ejected;
}

std::size_t DirectPool::size() const { return Inner_->Endpoints_.size(); }

std::uint32_t DirectPool::inFlight(const base::EndpointId &Endpoint) const {
  Impl::Endpoint *Found = Inner_->find(Endpoint);
  return Found ? Found->InFlight_ : 0;
}

} // namespace camphorwind::routing
