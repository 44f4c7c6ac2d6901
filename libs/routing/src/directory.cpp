#include "camphorwind/routing/directory.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace camphorwind::routing {

namespace {

constexpr base::Duration SweepEvery = std::chrono::milliseconds(100);
/// Requests kept waiting at an endpoint so that no slot stands empty.
constexpr std::uint32_t Lookahead = 1;
/// An endpoint this many times slower than its pool's median is ejected.
constexpr double SlowFactor = 3;
/// Speeds needed before a median means anything.
constexpr std::size_t MinSpeeds = 3;
/// An endpoint is silent when an answer is overdue by this much.
constexpr base::Duration SilentAfter = std::chrono::seconds(1);

/// How much slower than described an endpoint works.
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
  for (std::unique_ptr<PoolState> &Known : Pools_)
    if (Known->Pool_ == Id)
      return *Known;
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

bool Directory::hasWarmMember(const PoolState &In, base::TimePoint Now) const {
  return std::any_of(In.Members_.begin(), In.Members_.end(),
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
  EndpointState &Its = *Endpoints_[Index];
  bool Resized = Its.Traits_.Slots_ != Traits.Slots_;
  Its.Traits_ = Traits;
  if (Resized) {
    Its.Load_.setSlots(Traits.Slots_);
    Its.FairWindow_ = Traits.Slots_;
    Its.RefusalCap_ = maxWindow(Its);
  }
  refresh(Index, Now);
}

void Directory::add(const EndpointTraits &Traits, base::TimePoint Now) {
  if (std::optional<EndpointIndex> Known = find(Traits.Endpoint_)) {
    EndpointState &Its = *Endpoints_[*Known];
    bool SamePlace = Its.Traits_.Pool_ == Traits.Pool_ &&
                     Its.Traits_.Models_ == Traits.Models_ && !Its.Leaving_;
    if (SamePlace)
      return update(*Known, Traits, Now);
    remove(Traits.Endpoint_, Now);
  }
  EndpointIndex Index = claimIndex();
  std::uint32_t Epoch = Endpoints_[Index] ? Endpoints_[Index]->Epoch_ + 1 : 1;
  PoolState &In = pool(Traits.Pool_);
  bool SlowStart = hasWarmMember(In, Now);
  Endpoints_[Index] = std::make_unique<EndpointState>(
      EndpointState{Traits, LoadView(Traits), &In, {}, Epoch, Now});
  EndpointState &Its = *Endpoints_[Index];
  Its.Known_ = true;
  Its.FairWindow_ = Traits.Slots_;
  Its.RefusalCap_ = maxWindow(Its);
  ByName_[Traits.Endpoint_] = Index;
  In.Members_.push_back(Index);
  In.Ejector_.add(Index, Now, SlowStart);
  In.Ejector_.setServing(Index, true);
  Windows_.open(Index, Traits.Slots_);
  for (std::unique_ptr<Lane> &Candidate : Lanes_)
    if (Candidate->servedBy(Traits))
      join(Index, *Candidate);
  refresh(Index, Now);
}

void Directory::join(EndpointIndex Index, Lane &To) {
  To.addMember(Index, Endpoints_[Index]->Traits_);
  Endpoints_[Index]->Lanes_.push_back(&To);
}

void Directory::remove(const base::EndpointId &Endpoint, base::TimePoint Now) {
  std::optional<EndpointIndex> Index = find(Endpoint);
  if (!Index)
    return;
  EndpointState &Its = *Endpoints_[*Index];
  Its.Known_ = false;
  Its.Pool_->Ejector_.remove(*Index);
  std::erase(Its.Pool_->Members_, *Index);
  for (Lane *Left : Its.Lanes_) {
    Left->removeMember(*Index);
    refreshLane(*Left, Now);
  }
  Its.Lanes_.clear();
  Windows_.close(*Index);
  ByName_.erase(Endpoint);
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
  EndpointState &Its = *Endpoints_[*Index];
  Its.Load_.report(Report, Now);
  // Rounding at random gives each router its fraction of a slot in the mean.
  double Rounding = std::uniform_real_distribution<>(0, 1)(Random_);
  double Fair = std::floor(Its.Load_.fairWindow() + Rounding);
  Its.FairWindow_ = static_cast<std::uint32_t>(
      std::clamp(Fair, 0.0, static_cast<double>(maxWindow(Its))));
  refresh(*Index, Now);
}

Lane &Directory::lane(const base::PoolId &Pool, const ServedModel &Model,
                      base::TimePoint Now) {
  auto [Found, New] = LaneByKey_.try_emplace(LaneKey{Pool, Model}, nullptr);
  if (!New)
    return *Found->second;
  Lanes_.push_back(std::make_unique<Lane>(Pool, Model));
  Lane &Made = *Lanes_.back();
  Found->second = &Made;
  for (std::size_t Index = 0; Index < Endpoints_.size(); ++Index)
    if (Endpoints_[Index]->Known_ && Made.servedBy(Endpoints_[Index]->Traits_))
      join(static_cast<EndpointIndex>(Index), Made);
  refreshLane(Made, Now);
  return Made;
}

std::optional<EndpointIndex>
Directory::find(const base::EndpointId &Endpoint) const {
  auto Found = ByName_.find(Endpoint);
  if (Found == ByName_.end())
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
  const EndpointState &Its = *Endpoints_[Endpoint];
  return serving(Its) && !Its.Pool_->Ejector_.ejected(Endpoint);
}

bool Directory::isCurrent(const SentAttempt &Attempt) const {
  const EndpointState &Its = *Endpoints_[Attempt.Endpoint_];
  return Its.Known_ && Its.Epoch_ == Attempt.Epoch_;
}

bool Directory::serving(const EndpointState &Its) const {
  return Its.Known_ && Its.Reachable_ && !Its.Leaving_;
}

std::uint32_t Directory::maxWindow(const EndpointState &Its) const {
  return std::max(1U, Its.Traits_.Slots_) + Lookahead;
}

void Directory::setWindow(EndpointIndex Index, base::TimePoint Now) {
  EndpointState &Its = *Endpoints_[Index];
  const Ejector &Health = Its.Pool_->Ejector_;
  double Ramped = std::ceil(Health.slowStartShare(Index, Now) * maxWindow(Its));
  std::uint32_t Limit =
      std::min({Its.FairWindow_, Its.RefusalCap_,
                static_cast<std::uint32_t>(std::max(1.0, Ramped))});
  // Probes are limited by their number; the shares of others don't matter.
  if (Health.ejected(Index))
    Limit = maxWindow(Its);
  Windows_.setLimit(Index, Limit);
}

void Directory::refresh(EndpointIndex Index, base::TimePoint Now) {
  EndpointState &Its = *Endpoints_[Index];
  setWindow(Index, Now);
  const Ejector &Health = Its.Pool_->Ejector_;
  bool Able = serving(Its) && Windows_.hasRoom(Index);
  for (Lane *Which : Its.Lanes_)
    Which->setReady(Index,
                    Able && (Health.admits(Index, Now) || Which->AllEjected_));
}

void Directory::refreshLane(Lane &Which, base::TimePoint Now) {
  bool Served = false;
  Which.AllEjected_ = true;
  for (EndpointIndex Index : Which.members()) {
    const EndpointState &Member = *Endpoints_[Index];
    Served = Served || serving(Member);
    if (serving(Member) && !Member.Pool_->Ejector_.ejected(Index))
      Which.AllEjected_ = false;
  }
  if (Served)
    Which.NoServingMemberSince_.reset();
  else if (!Which.NoServingMemberSince_)
    Which.NoServingMemberSince_ = Now;
  for (EndpointIndex Index : Which.members())
    refresh(Index, Now);
}

void Directory::refreshServing(EndpointIndex Index, base::TimePoint Now) {
  EndpointState &Its = *Endpoints_[Index];
  Its.Pool_->Ejector_.setServing(Index, serving(Its));
  for (Lane *Which : Its.Lanes_)
    refreshLane(*Which, Now);
}

SentAttempt Directory::send(EndpointIndex Index, std::uint64_t Uncached,
                            base::TimePoint Now) {
  EndpointState &Its = *Endpoints_[Index];
  base::Duration Expected =
      Its.Load_.expectedFirstToken(Now, static_cast<double>(Uncached));
  bool Probe = Its.Pool_->Ejector_.ejected(Index);
  Probes_ += Probe ? 1 : 0;
  Windows_.acquire(Index);
  Its.Load_.dispatched(Now, Uncached, Expected);
  Its.Pool_->Ejector_.sent(Index);
  refresh(Index, Now);
  return {Index, Its.Epoch_, Now, Uncached, Expected, false, {}, Probe};
}

bool Directory::tooSlow(const SentAttempt &Attempt, base::TimePoint Now) const {
  constexpr base::Duration Allowed = std::chrono::milliseconds(200);
  const EndpointState &Its = *Endpoints_[Attempt.Endpoint_];
  using Seconds = std::chrono::duration<double>;
  double Prefill = static_cast<double>(Attempt.UncachedTokens_) /
                   Its.Load_.promptTokensPerSecond();
  Seconds Usual = Seconds(Prefill) + 2 * Its.Traits_.TokenInterval_ + Allowed;
  return Seconds(Now - Attempt.SentAt_) > SlowFactor * Usual;
}

void Directory::firstToken(SentAttempt &Attempt, base::TimePoint Now) {
  if (Attempt.Answered_ || !isCurrent(Attempt))
    return;
  Attempt.Answered_ = true;
  Attempt.FirstTokenAt_ = Now;
  EndpointState &Its = *Endpoints_[Attempt.Endpoint_];
  Its.Load_.firstToken(Now, Attempt.SentAt_, Attempt.UncachedTokens_);
  Ejector &Health = Its.Pool_->Ejector_;
  if (Attempt.Probe_ && tooSlow(Attempt, Now)) {
    Health.failed(Attempt.Endpoint_, FailureKind::Stalled, Now);
    return;
  }
  bool WasEjected = Health.ejected(Attempt.Endpoint_);
  if (WasEjected && !Attempt.Probe_)
    return;
  Health.succeeded(Attempt.Endpoint_, Now);
  if (!WasEjected || Health.ejected(Attempt.Endpoint_))
    return;
  Its.Load_.resetSpeedEstimates(Its.Traits_);
  for (Lane *Which : Its.Lanes_)
    refreshLane(*Which, Now);
}

void Directory::finished(const SentAttempt &Attempt,
                         base::Duration TokenInterval, base::TimePoint Now) {
  if (!isCurrent(Attempt))
    return;
  EndpointState &Its = *Endpoints_[Attempt.Endpoint_];
  Its.Load_.finished(Now - Attempt.SentAt_, TokenInterval);
  Its.Load_.ended(Now, Attempt.SentAt_, Attempt.UncachedTokens_,
                  Attempt.Answered_);
  Windows_.release(Attempt.Endpoint_);
  refresh(Attempt.Endpoint_, Now);
}

void Directory::failed(const SentAttempt &Attempt, FailureKind Kind,
                       base::TimePoint Now) {
  if (!isCurrent(Attempt))
    return;
  EndpointIndex Index = Attempt.Endpoint_;
  EndpointState &Its = *Endpoints_[Index];
  Its.Load_.ended(Now, Attempt.SentAt_, Attempt.UncachedTokens_,
                  Attempt.Answered_);
  Windows_.release(Index);
  if (Kind == FailureKind::Refused)
    Its.RefusalCap_ = std::max(1U, Windows_.inFlight(Index));
  std::optional<EjectionReason> Ejected =
      Its.Pool_->Ejector_.failed(Index, Kind, Now);
  if (Ejected)
    noteEjection(Index, *Ejected, Now);
  if (Kind == FailureKind::NotServing)
    setReachable(Its.Traits_.Endpoint_, false, Now);
  refresh(Index, Now);
}

void Directory::noteEjection(EndpointIndex Index, EjectionReason Reason,
                             base::TimePoint Now) {
  ++Ejections_[static_cast<std::size_t>(Reason)];
  for (Lane *Which : Endpoints_[Index]->Lanes_)
    refreshLane(*Which, Now);
}

void Directory::ejectSlowAndSilent(PoolState &In, base::TimePoint Now) {
  std::vector<double> Speeds;
  for (EndpointIndex Index : In.Members_)
    if (serving(*Endpoints_[Index]) && !In.Ejector_.ejected(Index))
      Speeds.push_back(
          slownessOf(Endpoints_[Index]->Traits_, Endpoints_[Index]->Load_));
  bool Comparable = Speeds.size() >= MinSpeeds;
  double Median = Comparable ? medianOf(Speeds) : 0;
  for (EndpointIndex Index : In.Members_) {
    const EndpointState &Its = *Endpoints_[Index];
    if (!serving(Its) || In.Ejector_.ejected(Index))
      continue;
    bool Silent = Its.Load_.overdue(Now) > SilentAfter;
    bool Slow =
        Comparable && slownessOf(Its.Traits_, Its.Load_) > SlowFactor * Median;
    if (!Silent && !Slow)
      continue;
    EjectionReason Reason =
        Silent ? EjectionReason::Silent : EjectionReason::Slow;
    if (In.Ejector_.eject(Index, Reason, Now))
      noteEjection(Index, Reason, Now);
  }
}

void Directory::sweep(base::TimePoint Now) {
  if (Now < NextSweep_)
    return;
  NextSweep_ = Now + SweepEvery;
  for (std::unique_ptr<PoolState> &Each : Pools_)
    ejectSlowAndSilent(*Each, Now);
  for (std::size_t Index = 0; Index < Endpoints_.size(); ++Index) {
    EndpointState &Its = *Endpoints_[Index];
    if (!Its.Known_)
      continue;
    Its.RefusalCap_ = std::min(Its.RefusalCap_ + 1, maxWindow(Its));
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
    PoolStatus Shown{Each->Pool_, 0, {}};
    for (const std::unique_ptr<Lane> &Which : Lanes_)
      if (Which->pool() == Each->Pool_)
        Shown.Queued_ += Which->Queue_.size();
    for (EndpointIndex Index : Each->Members_) {
      const EndpointState &Its = *Endpoints_[Index];
      std::optional<EjectionReason> Why = Each->Ejector_.reason(Index);
      EndpointStatus Status{Its.Traits_.Endpoint_, Each->Pool_};
      Status.Leaving_ = Its.Leaving_;
      Status.Reachable_ = Its.Reachable_;
      Status.Ejected_ = Why.has_value();
      Status.EjectionReason_ =
          Why.value_or(EjectionReason::ConsecutiveFailures);
      if (Why)
        Status.ProbeIn_ = std::max(base::Duration::zero(),
                                   Each->Ejector_.probeAt(Index) - Now);
      Status.InFlight_ = Windows_.inFlight(Index);
      Status.Window_ = Windows_.limit(Index);
      Status.ExpectedFirstToken_ = Its.Load_.expectedFirstToken(Now, 0);
      Shown.Endpoints_.push_back(std::move(Status));
    }
    Pools.push_back(std::move(Shown));
  }
  return Pools;
}

} // namespace camphorwind::routing
