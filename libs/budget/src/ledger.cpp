#include "camphorwind/budget/ledger.h"

#include "ledger-impl.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace camphorwind::budget {
namespace detail {
namespace {

/// Time constant of the smoothed rate.
constexpr std::chrono::duration<double> RateWindow = std::chrono::minutes(2);
/// Lower bound of the time by which the decayed sum of billed tokens is
/// divided.
constexpr std::chrono::duration<double> MinRateAge = std::chrono::seconds(10);

} // namespace

void UseRate::add(base::Tokens Used, base::TimePoint Now) {
  if (FirstAt_ == base::TimePoint())
    FirstAt_ = Now;
  Sum_ = decayedSum(Now) + static_cast<double>(Used.count());
  LastAt_ = Now;
}

double UseRate::perSecond(base::TimePoint Now) const {
  const std::chrono::duration<double> Age = Now - FirstAt_;
  return decayedSum(Now) / std::clamp(Age, MinRateAge, RateWindow).count();
}

double UseRate::decayedSum(base::TimePoint Now) const {
  const std::chrono::duration<double> Since = Now - LastAt_;
  return Sum_ * std::exp(-Since / RateWindow);
}

} // namespace detail

namespace {

/// Multiple of `MaxWait_` that a reservation waits while the budget row could
/// cover it: then only conflicting draws of other routers delay it.
constexpr int CoverableWaitFactor = 3;

} // namespace

using base::Tokens;
using detail::BudgetState;
using detail::Reservation;
using detail::Waiter;

std::string_view toString(ReserveError Error) {
  switch (Error) {
  case ReserveError::UnknownBudget:
    return "unknown_budget";
  case ReserveError::DuplicateAttempt:
    return "duplicate_attempt";
  case ReserveError::BoundTooLarge:
    return "bound_too_large";
  case ReserveError::BudgetSpent:
    return "budget_spent";
  case ReserveError::NoSliceTableUnreachable:
    return "no_slice_table_unreachable";
  case ReserveError::Sealed:
    return "router_sealed";
  case ReserveError::ShuttingDown:
    return "shutting_down";
  }
  return "unknown";
}

base::RefusalReason refusalReason(ReserveError Error) {
  switch (Error) {
  case ReserveError::BoundTooLarge:
    return base::RefusalReason::BoundTooLarge;
  case ReserveError::BudgetSpent:
    return base::RefusalReason::BudgetSpent;
  case ReserveError::NoSliceTableUnreachable:
    return base::RefusalReason::NoSliceTableUnreachable;
  case ReserveError::Sealed:
    return base::RefusalReason::RouterSealed;
  case ReserveError::ShuttingDown:
    return base::RefusalReason::ShuttingDown;
  case ReserveError::UnknownBudget:
  case ReserveError::DuplicateAttempt:
    break;
  }
  return base::RefusalReason::Internal;
}

base::Result<Ledger, LedgerError> Ledger::create(LedgerSettings Settings) {
  if (Settings.Router_.empty())
    return base::failure(LedgerError::EmptyRouter);
  if (Settings.Incarnation_.empty())
    return base::failure(LedgerError::EmptyIncarnation);
  const bool Negative = Settings.WriteInterval_ < base::Duration::zero() ||
                        Settings.SettleInterval_ < base::Duration::zero();
  if (Negative || Settings.InitialRetryDelay_ <= base::Duration::zero() ||
      Settings.WriteBurst_ == 0)
    return base::failure(LedgerError::BadSetting);
  auto State = std::make_unique<Impl>();
  State->Settings_ = std::move(Settings);
  return Ledger(std::move(State));
}

Ledger::Ledger(std::unique_ptr<Impl> State) : Impl_(std::move(State)) {}
Ledger::Ledger(Ledger &&) noexcept = default;
Ledger &Ledger::operator=(Ledger &&) noexcept = default;
Ledger::~Ledger() = default;

void Ledger::start(base::TimePoint Now) {
  if (Impl_->Phase_ != Impl::Phase::Idle)
    return;
  Impl_->Phase_ = Impl::Phase::Starting;
  Impl_->Now_ = Now;
  Impl_->WriteAllowanceAt_ = Now;
  Impl_->WriteAllowance_ = static_cast<double>(Impl_->Settings_.WriteBurst_);
  Impl_->ScanRequested_ = true;
}

void Ledger::addBudget(const base::BudgetId &Budget, Policy Sizing) {
  auto &Slot = Impl_->Budgets_[Budget];
  if (!Slot) {
    Slot = std::make_unique<BudgetState>();
    Slot->Budget_ = Budget;
    Slot->Slice_ = sliceId(Impl_->Settings_.Incarnation_, Budget);
    Impl_->BudgetsBySlice_[Slot->Slice_] = Slot.get();
    Impl_->BudgetsByRowKey_[budgetKey(Budget)] = Slot.get();
  }
  Slot->Sizing_ = Sizing;
  if (std::holds_alternative<EvenSplitPolicy>(Sizing))
    Impl_->activate(*Slot);
}

void Ledger::setRouterCount(std::size_t Count) {
  Impl_->Routers_ = std::max<std::size_t>(Count, 1);
}

base::Result<ReserveOutcome, ReserveError>
Ledger::reserve(const base::AttemptId &Attempt, const base::BudgetId &Budget,
                Tokens Bound, base::TimePoint Now) {
  Impl &State = *Impl_;
  State.Now_ = Now;
  const auto Refuse = [&](ReserveError Error) {
    State.countRefusal(Error);
    return base::failure(Error);
  };
  if (State.Phase_ == Impl::Phase::Sealed)
    return Refuse(ReserveError::Sealed);
  if (State.Phase_ >= Impl::Phase::Closing)
    return Refuse(ReserveError::ShuttingDown);
  BudgetState *Found = State.find(Budget);
  if (!Found)
    return Refuse(ReserveError::UnknownBudget);
  if (State.Reservations_.contains(Attempt) ||
      State.WaitingBudgets_.contains(Attempt))
    return Refuse(ReserveError::DuplicateAttempt);
  if (Found->Row_) {
    const Tokens Largest = std::visit(
        [&](const auto &Sizing) {
          return Sizing.largestBound(Found->Row_->Prepaid_);
        },
        Found->Sizing_);
    if (Bound > Largest)
      return Refuse(ReserveError::BoundTooLarge);
  }
  Found->LastUseAt_ = Now;
  if (Bound <= Found->available()) {
    State.reserveNow(*Found, Attempt, Bound);
    return ReserveOutcome::Reserved;
  }
  State.activate(*Found);
  State.ScanRequested_ = true;
  if (State.isUnreachable())
    return Refuse(ReserveError::NoSliceTableUnreachable);
  if (Now < Found->RefuseUntil_ && Bound >= Found->RefusedBound_)
    return Refuse(ReserveError::BudgetSpent);
  Found->Waiters_.push_back({Attempt, Bound, Now});
  Found->WaitingTokens_ += Bound;
  State.WaitingBudgets_[Attempt] = Found;
  return ReserveOutcome::Waiting;
}

void Ledger::tighten(const base::AttemptId &Attempt, Tokens Bound) {
  const auto Found = Impl_->Reservations_.find(Attempt);
  if (Found == Impl_->Reservations_.end() || Bound >= Found->second.Bound_)
    return;
  Found->second.Budget_->Reserved_ -= Found->second.Bound_ - Bound;
  if (Found->second.Unconfirmed_)
    Found->second.Budget_->Unconfirmed_ -= Found->second.Bound_ - Bound;
  Found->second.Bound_ = Bound;
}

void Ledger::release(const base::AttemptId &Attempt, Tokens Generated) {
  Impl &State = *Impl_;
  State.Counters_.Wasted_ += Generated;
  const auto Waiting = State.WaitingBudgets_.find(Attempt);
  if (Waiting == State.WaitingBudgets_.end()) {
    State.endReservation(Attempt);
    return;
  }
  BudgetState &Budget = *Waiting->second;
  const auto Entry = std::find_if(
      Budget.Waiters_.begin(), Budget.Waiters_.end(),
      [&](const Waiter &Each) { return Each.Attempt_ == Attempt; });
  Budget.WaitingTokens_ -= Entry->Bound_;
  Budget.Waiters_.erase(Entry);
  State.WaitingBudgets_.erase(Waiting);
}

void Ledger::bill(const base::AttemptId &Attempt, const WitnessReport &Report) {
  Impl &State = *Impl_;
  const auto Found = State.Reservations_.find(Attempt);
  if (Found == State.Reservations_.end()) {
    merge(Report);
    return;
  }
  State.mergeInto(*Found->second.Budget_, Report);
  State.endReservation(Attempt);
}

void Ledger::setUnconfirmed(const base::AttemptId &Attempt) {
  const auto Found = Impl_->Reservations_.find(Attempt);
  if (Found == Impl_->Reservations_.end() || Found->second.Unconfirmed_)
    return;
  Found->second.Unconfirmed_ = true;
  Found->second.Budget_->Unconfirmed_ += Found->second.Bound_;
}

void Ledger::merge(const WitnessReport &Report) {
  const auto Found = Impl_->BudgetsBySlice_.find(Report.Slice_);
  if (Found != Impl_->BudgetsBySlice_.end() &&
      Impl_->ListedAgents_.contains(Report.Agent_))
    Impl_->mergeInto(*Found->second, Report);
}

void Ledger::forget(const base::SliceId &Slice,
                    const base::AttemptId &Attempt) {
  const auto Found = Impl_->BudgetsBySlice_.find(Slice);
  if (Found != Impl_->BudgetsBySlice_.end())
    Found->second->Tally_.forget(Attempt);
}

const base::SliceId *Ledger::sliceOf(const base::AttemptId &Attempt) const {
  const auto Found = Impl_->Reservations_.find(Attempt);
  if (Found == Impl_->Reservations_.end())
    return nullptr;
  return &Found->second.Budget_->Slice_;
}

void Ledger::addWitness(WitnessEntry Agent) {
  if (Impl_->RetiredAgents_.contains(Agent.Agent_))
    return;
  auto &Requested = Impl_->RequestedWitnesses_;
  const auto Known = std::find_if(
      Requested.begin(), Requested.end(),
      [&](const WitnessEntry &Each) { return Each.Agent_ == Agent.Agent_; });
  if (Known == Requested.end())
    Requested.push_back(std::move(Agent));
  else
    *Known = std::move(Agent);
  Impl_->ScanRequested_ = true;
}

void Ledger::retireWitness(const base::Incarnation &Agent) {
  Impl_->RetiredAgents_.insert(Agent);
  std::erase_if(Impl_->RequestedWitnesses_,
                [&](const WitnessEntry &Each) { return Each.Agent_ == Agent; });
}

bool Ledger::isUsableWitness(const base::Incarnation &Agent) const {
  return Impl_->ListedAgents_.contains(Agent) &&
         !Impl_->RetiredAgents_.contains(Agent);
}

const std::vector<WitnessEntry> &Ledger::witnesses() const {
  return Impl_->ListedWitnesses_;
}

void Ledger::close() {
  if (Impl_->Phase_ >= Impl::Phase::Closing)
    return;
  for (auto &[Id, Budget] : Impl_->Budgets_)
    Impl_->refuseWaiters(*Budget, ReserveError::ShuttingDown);
  Impl_->Phase_ = Impl::Phase::Closing;
  Impl_->ScanRequested_ = true;
}

void Ledger::seal() { Impl_->seal(); }

void Ledger::tick(base::TimePoint Now) {
  Impl_->Now_ = Now;
  constexpr base::Duration ScanInterval = std::chrono::milliseconds(500);
  if (!Impl_->ScanRequested_ && Now - Impl_->LastScanAt_ < ScanInterval)
    return;
  Impl_->LastScanAt_ = Now;
  Impl_->ScanRequested_ = false;
  Impl_->scan();
}

std::vector<LedgerAction> Ledger::takeActions() {
  return std::exchange(Impl_->Actions_, {});
}

const base::Incarnation &Ledger::incarnation() const {
  return Impl_->Settings_.Incarnation_;
}

bool Ledger::isSealed() const { return Impl_->Phase_ == Impl::Phase::Sealed; }

bool Ledger::tableUnreachable() const { return Impl_->isUnreachable(); }

Tokens Ledger::available(const base::BudgetId &Budget) const {
  const BudgetState *Found = Impl_->find(Budget);
  return Found ? Found->available() : Tokens();
}

Tokens Ledger::reserved(const base::BudgetId &Budget) const {
  const BudgetState *Found = Impl_->find(Budget);
  return Found ? Found->Reserved_ : Tokens();
}

const LedgerCounters &Ledger::counters() const { return Impl_->Counters_; }

LedgerGauges Ledger::gauges() const {
  LedgerGauges Sum;
  for (const BudgetState *Budget : Impl_->ActiveBudgets_) {
    Sum.Granted_ += Budget->Granted_;
    Sum.Held_ += Budget->Granted_ - Budget->Tally_.total();
    Sum.Reserved_ += Budget->Reserved_;
    Sum.Unconfirmed_ += Budget->Unconfirmed_;
    Sum.Unsettled_ += Budget->Tally_.total() - Budget->Settled_;
  }
  return Sum;
}

BudgetState *Ledger::Impl::find(const base::BudgetId &Budget) {
  const auto Found = Budgets_.find(Budget);
  return Found == Budgets_.end() ? nullptr : Found->second.get();
}

void Ledger::Impl::activate(BudgetState &Budget) {
  if (std::exchange(Budget.Active_, true))
    return;
  ActiveBudgets_.push_back(&Budget);
}

void Ledger::Impl::reserveNow(BudgetState &Budget,
                              const base::AttemptId &Attempt, Tokens Bound) {
  Reservations_.emplace(Attempt, Reservation{&Budget, Bound});
  Budget.Reserved_ += Bound;
}

void Ledger::Impl::endReservation(const base::AttemptId &Attempt) {
  const auto Found = Reservations_.find(Attempt);
  if (Found == Reservations_.end())
    return;
  BudgetState &Budget = *Found->second.Budget_;
  Budget.Reserved_ -= Found->second.Bound_;
  if (Found->second.Unconfirmed_)
    Budget.Unconfirmed_ -= Found->second.Bound_;
  Budget.LastUseAt_ = Now_;
  Reservations_.erase(Found);
  if (!Budget.Waiters_.empty() || Phase_ == Phase::Closing)
    ScanRequested_ = true;
}

void Ledger::Impl::endWait(const Waiter &Waiter,
                           std::optional<ReserveError> Error) {
  WaitingBudgets_.erase(Waiter.Attempt_);
  if (Error)
    countRefusal(*Error);
  Actions_.emplace_back(ReserveEnded{Waiter.Attempt_, Error});
}

void Ledger::Impl::serveWaiters(BudgetState &Budget) {
  if (Budget.Waiters_.empty())
    return;
  std::deque<Waiter> Remaining;
  for (Waiter &Each : Budget.Waiters_) {
    const bool TooLarge =
        Budget.Row_ &&
        Each.Bound_ > std::visit(
                          [&](const auto &Sizing) {
                            return Sizing.largestBound(Budget.Row_->Prepaid_);
                          },
                          Budget.Sizing_);
    if (TooLarge) {
      endWait(Each, ReserveError::BoundTooLarge);
    } else if (Each.Bound_ <= Budget.available()) {
      reserveNow(Budget, Each.Attempt_, Each.Bound_);
      endWait(Each, std::nullopt);
    } else if (isUnreachable()) {
      endWait(Each, ReserveError::NoSliceTableUnreachable);
    } else if (isOverdue(Budget, Each)) {
      Budget.RefuseUntil_ = Now_ + Settings_.RefreshInterval_;
      Budget.RefusedBound_ = Each.Bound_;
      endWait(Each, ConsecutiveFailures_ > 0
                        ? ReserveError::NoSliceTableUnreachable
                        : ReserveError::BudgetSpent);
    } else {
      Remaining.push_back(std::move(Each));
      continue;
    }
  }
  Budget.Waiters_ = std::move(Remaining);
  Budget.WaitingTokens_ = Tokens();
  for (const Waiter &Each : Budget.Waiters_)
    Budget.WaitingTokens_ += Each.Bound_;
}

bool Ledger::Impl::isOverdue(const BudgetState &Budget,
                             const Waiter &Waiter) const {
  const base::Duration Age = Now_ - Waiter.Since_;
  const bool Coverable =
      Budget.Row_ &&
      Waiter.Bound_ <= Budget.available() + Budget.Row_->ungranted();
  return Age >= Settings_.MaxWait_ * (Coverable ? CoverableWaitFactor : 1);
}

void Ledger::Impl::refuseWaiters(BudgetState &Budget, ReserveError Error) {
  for (const Waiter &Each : std::exchange(Budget.Waiters_, {}))
    endWait(Each, Error);
  Budget.WaitingTokens_ = Tokens();
}

void Ledger::Impl::countRefusal(ReserveError Error) {
  switch (Error) {
  case ReserveError::BudgetSpent:
    ++Counters_.RefusedBudgetSpent_;
    return;
  case ReserveError::NoSliceTableUnreachable:
    ++Counters_.RefusedTableUnreachable_;
    return;
  case ReserveError::BoundTooLarge:
    ++Counters_.RefusedBoundTooLarge_;
    return;
  case ReserveError::Sealed:
    ++Counters_.RefusedSealed_;
    return;
  case ReserveError::ShuttingDown:
    ++Counters_.RefusedShuttingDown_;
    return;
  case ReserveError::UnknownBudget:
  case ReserveError::DuplicateAttempt:
    return;
  }
}

void Ledger::Impl::mergeInto(BudgetState &Budget, const WitnessReport &Report) {
  const Tokens Before = Budget.Tally_.total();
  if (!Budget.Tally_.merge(Report))
    return;
  const Tokens Billed = Budget.Tally_.total() - Before;
  Counters_.Billed_ += Billed;
  Budget.Rate_.add(Billed, Now_);
  if (!std::exchange(Budget.Dirty_, true))
    Budget.DirtySince_ = Now_;
}

SizingInput Ledger::Impl::sizingInput(const BudgetState &Budget) const {
  SizingInput Input;
  Input.TokensPerSecond_ = Budget.Rate_.perSecond(Now_);
  Input.Granted_ = Budget.Granted_ - Budget.Returning_;
  Input.Available_ = Budget.available();
  Input.Waiting_ = Budget.WaitingTokens_;
  if (Budget.Row_) {
    Input.Prepaid_ = Budget.Row_->Prepaid_;
    Input.Ungranted_ = Budget.Row_->ungranted();
  }
  Input.Routers_ = Routers_;
  return Input;
}

void Ledger::Impl::seal() {
  if (Phase_ == Phase::Sealed || Phase_ == Phase::Closed)
    return;
  for (BudgetState *Budget : ActiveBudgets_)
    refuseWaiters(*Budget, ReserveError::Sealed);
  Phase_ = Phase::Sealed;
  Actions_.emplace_back(Revoked{});
}

bool Ledger::Impl::isUnreachable() const {
  constexpr unsigned FailuresUntilUnreachable = 2;
  return ConsecutiveFailures_ >= FailuresUntilUnreachable;
}

} // namespace camphorwind::budget
