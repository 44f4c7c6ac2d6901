#include "camphorwind/routing/directory.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace camphorwind::routing {

namespace {

constexpr base::Duration SweepInterval = std::chrono::milliseconds(100);
/// Requests queued at an endpoint beyond its slots, so that a freed slot is
/// filled without waiting for a router.
constexpr std::uint32_t Lookahead = 1;
/// An endpoint is ejected when it is this many times slower than the median of
/// its pool, and stays ejected when a probe is this many times slower than
/// expected.
constexpr double SlowFactor = 3;
/// Endpoints needed to compare slowness with the median.
constexpr std::size_t MinEndpointsForMedian = 3;
/// An endpoint is silent when an answer is overdue by more than this.
constexpr base::Duration SilenceTimeout = std::chrono::seconds(1);

/// Returns how many times slower an endpoint works than its settings state.
double slownessOf(const EndpointTraits &Traits, const LoadView &Load) {
  using Seconds = std::chrono::duration<double>;
  double Interval = Seconds(Load.tokenInterval()) /
                    std::max(Seconds(Traits.TokenInterval_), Seconds(1e-6));
  return std::max(Load.slowness(), Interval);
}

double medianOf(std::vector<double> &Values) {
  auto Middle = Values.begin() + static_cast<std::ptrdiff_t>(Values.size() / 2);
  std::nth_element(Values.begin(), Middle, Values.end());
  return *Middle;
}

} // namespace

std::size_t Directory::LaneKeyHash::operator()(const LaneKey &Key) const {
  constexpr std::size_t Factor = 1099511628211ULL;
  std::hash<std::string> Hash;
  std::size_t Value = Hash(Key.Pool_.str());
  for (const std::string *Part :
       {&Key.Model_.Model_, &Key.Model_.Version_, &Key.Model_.Adapter_})
    Value = Value * Factor ^ Hash(*Part);
  return Value;
}

Directory::Directory(EjectorOptions Options, std::uint64_t Seed)
    : Options_(Options), Random_(Seed) {}

Directory::PoolState &Directory::pool(const base::PoolId &Id) {
  for (std::unique_ptr<PoolState> &Existing : Pools_)
    if (Existing->Pool_ == Id)
      return *Existing;
  Pools_.push_back(
      std::make_unique<PoolState>(PoolState{Id, Ejector(Options_), {}}));
  return *Pools_.back();
}

EndpointIndex Directory::claimIndex() {
  if (FreeIndices_.empty()) {
    Endpoints_.push_back(nullptr);
    return static_cast<EndpointIndex>(Endpoints_.size() - 1);
  }
  EndpointIndex Index = FreeIndices_.back();
  FreeIndices_.pop_back();
  return Index;
}

bool Directory::hasWarmMember(const PoolState &Pool,
                              base::TimePoint Now) const {
  return std::any_of(Pool.Members_.begin(), Pool.Members_.end(),
                     [&](EndpointIndex Index) {
                       const EndpointState &Member = *Endpoints_[Index];
                       return serving(Member) &&
                              Now - Member.AddedAt_ > Options_.SlowStartTime_;
                     });
}

void Directory::setSlowStart(base::Duration Time) {
  Options_.SlowStartTime_ = Time;
  for (std::unique_ptr<PoolState> &Each : Pools_)
    Each->Ejector_.setSlowStart(Time);
}

void Directory::update(EndpointIndex Index, const EndpointTraits &Traits,
                       base::TimePoint Now) {
  EndpointState &State = *Endpoints_[Index];
  bool Resized = State.Traits_.Slots_ != Traits.Slots_;
  State.Traits_ = Traits;
  if (Resized) {
    State.Load_.setSlots(Traits.Slots_);
    State.FairWindow_ = Traits.Slots_;
    State.RefusalCap_ = maxWindow(State);
  }
  refresh(Index, Now);
}

void Directory::add(const EndpointTraits &Traits, base::TimePoint Now) {
  if (std::optional<EndpointIndex> Existing = find(Traits.Endpoint_)) {
    EndpointState &State = *Endpoints_[*Existing];
    bool SameMembership = State.Traits_.Pool_ == Traits.Pool_ &&
                          State.Traits_.Models_ == Traits.Models_ &&
                          !State.Leaving_;
    if (SameMembership)
      return update(*Existing, Traits, Now);
    remove(Traits.Endpoint_, Now);
  }
  EndpointIndex Index = claimIndex();
  std::uint32_t Epoch = Endpoints_[Index] ? Endpoints_[Index]->Epoch_ + 1 : 1;
  PoolState &Pool = pool(Traits.Pool_);
  bool SlowStart = hasWarmMember(Pool, Now);
  Endpoints_[Index] = std::make_unique<EndpointState>(
      EndpointState{Traits, LoadView(Traits), &Pool, {}, Epoch, Now});
  EndpointState &State = *Endpoints_[Index];
  State.Present_ = true;
  State.FairWindow_ = Traits.Slots_;
  State.RefusalCap_ = maxWindow(State);
  IndexById_[Traits.Endpoint_] = Index;
  Pool.Members_.push_back(Index);
  Pool.Ejector_.add(Index, Now, SlowStart);
  Pool.Ejector_.setServing(Index, true);
  Windows_.open(Index, Traits.Slots_);
  for (std::unique_ptr<Lane> &Candidate : Lanes_)
    if (Candidate->servedBy(Traits))
      join(Index, *Candidate);
  refresh(Index, Now);
}

void Directory::join(EndpointIndex Index, Lane &Target) {
  Target.addMember(Index, Endpoints_[Index]->Traits_);
  Endpoints_[Index]->Lanes_.push_back(&Target);
}

void Directory::remove(const base::EndpointId &Endpoint, base::TimePoint Now) {
  std::optional<EndpointIndex> Index = find(Endpoint);
  if (!Index)
    return;
  EndpointState &State = *Endpoints_[*Index];
  State.Present_ = false;
  State.Pool_->Ejector_.remove(*Index);
  std::erase(State.Pool_->Members_, *Index);
  for (Lane *EachLane : State.Lanes_) {
    EachLane->removeMember(*Index);
    refreshLane(*EachLane, Now);
  }
  State.Lanes_.clear();
  Windows_.close(*Index);
  IndexById_.erase(Endpoint);
  FreeIndices_.push_back(*Index);
}

void Directory::setLeaving(const base::EndpointId &Endpoint,
                           base::TimePoint Now) {
  std::optional<EndpointIndex> Index = find(Endpoint);
  if (!Index)
    return;
  Endpoints_[*Index]->Leaving_ = true;
  refreshServing(*Index, Now);
}

void Directory::setReachable(const base::EndpointId &Endpoint, bool Reachable,
                             base::TimePoint Now) {
  std::optional<EndpointIndex> Index = find(Endpoint);
  if (!Index || Endpoints_[*Index]->Reachable_ == Reachable)
    return;
  Endpoints_[*Index]->Reachable_ = Reachable;
  refreshServing(*Index, Now);
}

void Directory::report(const LoadReport &Report, base::TimePoint Now) {
  std::optional<EndpointIndex> Index = find(Report.Endpoint_);
  if (!Index)
    return;
  EndpointState &State = *Endpoints_[*Index];
  State.Load_.report(Report, Now);
  // Random rounding gives each router its fraction of a slot on average.
  double Rounding = std::uniform_real_distribution<>(0, 1)(Random_);
  double Fair = std::floor(State.Load_.fairWindow() + Rounding);
  State.FairWindow_ = static_cast<std::uint32_t>(
      std::clamp(Fair, 0.0, static_cast<double>(maxWindow(State))));
  refresh(*Index, Now);
}

Lane &Directory::lane(const base::PoolId &Pool, const ServedModel &Model,
                      base::TimePoint Now) {
  auto [Found, Inserted] =
      LaneByKey_.try_emplace(LaneKey{Pool, Model}, nullptr);
  if (!Inserted)
    return *Found->second;
  Lanes_.push_back(std::make_unique<Lane>(Pool, Model));
  Lane &Created = *Lanes_.back();
  Found->second = &Created;
  for (std::size_t Index = 0; Index < Endpoints_.size(); ++Index)
    if (Endpoints_[Index]->Present_ &&
        Created.servedBy(Endpoints_[Index]->Traits_))
      join(static_cast<EndpointIndex>(Index), Created);
  refreshLane(Created, Now);
  return Created;
}

std::optional<EndpointIndex>
Directory::find(const base::EndpointId &Endpoint) const {
  auto Found = IndexById_.find(Endpoint);
  if (Found == IndexById_.end())
    return std::nullopt;
  return Found->second;
}

const EndpointTraits &Directory::traits(EndpointIndex Endpoint) const {
  return Endpoints_[Endpoint]->Traits_;
}

const LoadView &Directory::load(EndpointIndex Endpoint) const {
  return Endpoints_[Endpoint]->Load_;
}

bool Directory::usable(EndpointIndex Endpoint) const {
  const EndpointState &State = *Endpoints_[Endpoint];
  return serving(State) && !State.Pool_->Ejector_.ejected(Endpoint);
}

bool Directory::isCurrent(const SentAttempt &Attempt) const {
  const EndpointState &State = *Endpoints_[Attempt.Endpoint_];
  return State.Present_ && State.Epoch_ == Attempt.Epoch_;
}

bool Directory::serving(const EndpointState &State) const {
  return State.Present_ && State.Reachable_ && !State.Leaving_;
}

std::uint32_t Directory::maxWindow(const EndpointState &State) const {
  return std::max(1U, State.Traits_.Slots_) + Lookahead;
}

void Directory::setWindow(EndpointIndex Index, base::TimePoint Now) {
  EndpointState &State = *Endpoints_[Index];
  const Ejector &Health = State.Pool_->Ejector_;
  double SlowStartLimit =
      std::ceil(Health.slowStartShare(Index, Now) * maxWindow(State));
  std::uint32_t Limit =
      std::min({State.FairWindow_, State.RefusalCap_,
                static_cast<std::uint32_t>(std::max(1.0, SlowStartLimit))});
  // The ejector admits one probe at a time, so probes need no limit by load,
  // refusals or slow start.
  if (Health.ejected(Index))
    Limit = maxWindow(State);
  Windows_.setLimit(Index, Limit);
}

void Directory::refresh(EndpointIndex Index, base::TimePoint Now) {
  EndpointState &State = *Endpoints_[Index];
  setWindow(Index, Now);
  const Ejector &Health = State.Pool_->Ejector_;
  bool CanServe = serving(State) && Windows_.hasRoom(Index);
  for (Lane *EachLane : State.Lanes_)
    EachLane->setReady(Index, CanServe && (Health.admits(Index, Now) ||
                                           EachLane->AllEjected_));
}

void Directory::refreshLane(Lane &Target, base::TimePoint Now) {
  bool HasServingMember = false;
  Target.AllEjected_ = true;
  for (EndpointIndex Index : Target.members()) {
    const EndpointState &Member = *Endpoints_[Index];
    HasServingMember = HasServingMember || serving(Member);
    if (serving(Member) && !Member.Pool_->Ejector_.ejected(Index))
      Target.AllEjected_ = false;
  }
  if (HasServingMember)
    Target.NoServingMemberSince_.reset();
  else if (!Target.NoServingMemberSince_)
    Target.NoServingMemberSince_ = Now;
  for (EndpointIndex Index : Target.members())
    refresh(Index, Now);
}

void Directory::refreshServing(EndpointIndex Index, base::TimePoint Now) {
  EndpointState &State = *Endpoints_[Index];
  State.Pool_->Ejector_.setServing(Index, serving(State));
  for (Lane *EachLane : State.Lanes_)
    refreshLane(*EachLane, Now);
}

SentAttempt Directory::send(EndpointIndex Index, std::uint64_t Uncached,
                            base::TimePoint Now) {
  EndpointState &State = *Endpoints_[Index];
  base::Duration Expected =
      State.Load_.expectedFirstToken(Now, static_cast<double>(Uncached));
  bool Probe = State.Pool_->Ejector_.ejected(Index);
  Probes_ += Probe ? 1 : 0;
  Windows_.acquire(Index);
  State.Load_.dispatched(Now, Uncached, Expected);
  State.Pool_->Ejector_.sent(Index);
  refresh(Index, Now);
  return {Index, State.Epoch_, Now, Uncached, Expected, false, {}, Probe};
}

bool Directory::tooSlow(const SentAttempt &Attempt, base::TimePoint Now) const {
  constexpr base::Duration Tolerance = std::chrono::milliseconds(200);
  const EndpointState &State = *Endpoints_[Attempt.Endpoint_];
  using Seconds = std::chrono::duration<double>;
  double Prefill = static_cast<double>(Attempt.UncachedTokens_) /
                   State.Load_.promptTokensPerSecond();
  Seconds Expected =
      Seconds(Prefill) + 2 * State.Traits_.TokenInterval_ + Tolerance;
  return Seconds(Now - Attempt.SentAt_) > SlowFactor * Expected;
}

void Directory::firstToken(SentAttempt &Attempt, base::TimePoint Now) {
  if (Attempt.Answered_ || !isCurrent(Attempt))
    return;
  Attempt.Answered_ = true;
  Attempt.FirstTokenAt_ = Now;
  EndpointState &State = *Endpoints_[Attempt.Endpoint_];
  State.Load_.firstToken(Now, Attempt.SentAt_, Attempt.UncachedTokens_);
  Ejector &Health = State.Pool_->Ejector_;
  if (Attempt.IsProbe_ && tooSlow(Attempt, Now)) {
    Health.failed(Attempt.Endpoint_, FailureKind::Stalled, Now);
    return;
  }
  bool WasEjected = Health.ejected(Attempt.Endpoint_);
  if (WasEjected && !Attempt.IsProbe_)
    return;
  Health.succeeded(Attempt.Endpoint_, Now);
  if (!WasEjected || Health.ejected(Attempt.Endpoint_))
    return;
  State.Load_.resetSpeedEstimates(State.Traits_);
  for (Lane *EachLane : State.Lanes_)
    refreshLane(*EachLane, Now);
}

void Directory::finished(const SentAttempt &Attempt,
                         base::Duration TokenInterval, base::TimePoint Now) {
  if (!isCurrent(Attempt))
    return;
  EndpointState &State = *Endpoints_[Attempt.Endpoint_];
  State.Load_.finished(Now - Attempt.SentAt_, TokenInterval);
  State.Load_.ended(Now, Attempt.SentAt_, Attempt.UncachedTokens_,
                    Attempt.Answered_);
  Windows_.release(Attempt.Endpoint_);
  refresh(Attempt.Endpoint_, Now);
}

void Directory::failed(const SentAttempt &Attempt, FailureKind Kind,
                       base::TimePoint Now) {
  if (!isCurrent(Attempt))
    return;
  EndpointIndex Index = Attempt.Endpoint_;
  EndpointState &State = *Endpoints_[Index];
  State.Load_.ended(Now, Attempt.SentAt_, Attempt.UncachedTokens_,
                    Attempt.Answered_);
  Windows_.release(Index);
  if (Kind == FailureKind::Refused)
    State.RefusalCap_ = std::max(1U, Windows_.inFlight(Index));
  std::optional<EjectionReason> Ejected =
      State.Pool_->Ejector_.failed(Index, Kind, Now);
  if (Ejected)
    recordEjection(Index, *Ejected, Now);
  if (Kind == FailureKind::NotServing)
    setReachable(State.Traits_.Endpoint_, false, Now);
  refresh(Index, Now);
}

void Directory::recordEjection(EndpointIndex Index, EjectionReason Reason,
                               base::TimePoint Now) {
  ++Ejections_[static_cast<std::size_t>(Reason)];
  for (Lane *EachLane : Endpoints_[Index]->Lanes_)
    refreshLane(*EachLane, Now);
}

void Directory::ejectSlowAndSilent(PoolState &Pool, base::TimePoint Now) {
  std::vector<double> SlownessValues;
  for (EndpointIndex Index : Pool.Members_)
    if (serving(*Endpoints_[Index]) && !Pool.Ejector_.ejected(Index))
      SlownessValues.push_back(
          slownessOf(Endpoints_[Index]->Traits_, Endpoints_[Index]->Load_));
  bool HasMedian = SlownessValues.size() >= MinEndpointsForMedian;
  double Median = HasMedian ? medianOf(SlownessValues) : 0;
  for (EndpointIndex Index : Pool.Members_) {
    const EndpointState &State = *Endpoints_[Index];
    if (!serving(State) || Pool.Ejector_.ejected(Index))
      continue;
    bool Silent = State.Load_.overdue(Now) > SilenceTimeout;
    bool Slow = HasMedian &&
                slownessOf(State.Traits_, State.Load_) > SlowFactor * Median;
    if (!Silent && !Slow)
      continue;
    EjectionReason Reason =
        Silent ? EjectionReason::Silent : EjectionReason::Slow;
    if (Pool.Ejector_.eject(Index, Reason, Now))
      recordEjection(Index, Reason, Now);
  }
}

void Directory::sweep(base::TimePoint Now) {
  if (Now < NextSweep_)
    return;
  NextSweep_ = Now + SweepInterval;
  for (std::unique_ptr<PoolState> &Each : Pools_)
    ejectSlowAndSilent(*Each, Now);
  for (std::size_t Index = 0; Index < Endpoints_.size(); ++Index) {
    EndpointState &State = *Endpoints_[Index];
    if (!State.Present_)
      continue;
    State.RefusalCap_ = std::min(State.RefusalCap_ + 1, maxWindow(State));
    refresh(static_cast<EndpointIndex>(Index), Now);
  }
}

void Directory::count(Counters &Totals) const {
  Totals.Ejections_ = Ejections_;
  Totals.Probes_ = Probes_;
  Totals.EjectionsPrevented_ = 0;
  for (const std::unique_ptr<PoolState> &Each : Pools_)
    Totals.EjectionsPrevented_ += Each->Ejector_.preventedEjections();
}

std::vector<PoolStatus> Directory::status(base::TimePoint Now) const {
  std::vector<PoolStatus> Pools;
  for (const std::unique_ptr<PoolState> &Each : Pools_) {
    PoolStatus Summary{Each->Pool_, 0, {}};
    for (const std::unique_ptr<Lane> &EachLane : Lanes_)
      if (EachLane->pool() == Each->Pool_)
        Summary.Queued_ += EachLane->Queue_.size();
    for (EndpointIndex Index : Each->Members_) {
      const EndpointState &State = *Endpoints_[Index];
      std::optional<EjectionReason> Reason = Each->Ejector_.reason(Index);
      EndpointStatus Status{State.Traits_.Endpoint_, Each->Pool_};
      Status.Leaving_ = State.Leaving_;
      Status.Reachable_ = State.Reachable_;
      Status.Ejected_ = Reason.has_value();
      Status.EjectionReason_ =
          Reason.value_or(EjectionReason::ConsecutiveFailures);
      if (Reason)
        Status.ProbeIn_ = std::max(base::Duration::zero(),
                                   Each->Ejector_.probeAt(Index) - Now);
      Status.InFlight_ = Windows_.inFlight(Index);
      Status.Window_ = Windows_.limit(Index);
      Status.ExpectedFirstToken_ = State.Load_.expectedFirstToken(Now, 0);
      Summary.Endpoints_.push_back(std::move(Status));
    }
    Pools.push_back(std::move(Summary));
  }
  return Pools;
}

} // namespace camphorwind::routing
