#include "ledger-impl.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace camphorwind::budget {

using base::Tokens;
using detail::BudgetChange;
using detail::BudgetState;
using detail::LeaseTransaction;
using detail::Urgency;

namespace {

/// Maximum number of budgets that one transaction changes.
constexpr std::size_t MaxChanges = 64;
/// A budget is low if its ungranted tokens are fewer than its prepaid tokens
/// divided by this number. The rows of low budgets are read more often.
constexpr std::int64_t LowBudgetDivisor = 5;
/// Multiple of the refresh interval at which the row of a budget that is not
/// low is read.
constexpr int UsualRefreshFactor = 10;
/// Time between reads of a budget row that was never read or on which a
/// reservation waits.
constexpr base::Duration WaitingRefreshInterval =
    std::chrono::milliseconds(400);
/// Without waiting reservations, a draw is not worth a transaction if it is no
/// more than the missing tokens divided by this number.
constexpr std::int64_t MinDrawDivisor = 8;
/// Range of the upper bound of the pause after a conflict. The bound doubles
/// with each conflict in a row, and the pause is a pseudo-random fraction of
/// it, so that routers that draw at the same time stop conflicting.
constexpr base::Duration MinConflictBackoff = std::chrono::milliseconds(100);
constexpr base::Duration MaxConflictBackoff = std::chrono::milliseconds(1600);
/// Number of different pauses within the bound.
constexpr std::size_t BackoffSteps = 64;

/// Calls \p Visit with the budget's sizing policy.
template <class Visitor>
auto visitPolicy(const BudgetState &Budget, Visitor Visit) {
  return std::visit(Visit, Budget.Sizing_);
}

bool isLow(const BudgetRow &Row) {
  return Row.ungranted().count() < Row.Prepaid_.count() / LowBudgetDivisor;
}

} // namespace

void Ledger::onTransaction(const base::TransactionResult &Result,
                           base::TimePoint Now) {
  Impl &State = *Impl_;
  State.Now_ = Now;
  State.ScanRequested_ = true;
  if (!State.InFlight_ || State.Phase_ == Impl::Phase::Sealed)
    return;
  LeaseTransaction Done = std::move(*State.InFlight_);
  State.InFlight_.reset();
  switch (Result.Status_) {
  case base::TransactionStatus::Committed:
    State.onTableSuccess();
    State.apply(Done, Result.Version_);
    return;
  case base::TransactionStatus::Conflict:
    State.onTableSuccess();
    State.discard(Done);
    State.onConflict(Result);
    return;
  case base::TransactionStatus::NotSent:
  case base::TransactionStatus::Unavailable:
    State.discard(Done);
    State.onTableFailure();
    return;
  case base::TransactionStatus::Unknown:
    ++State.Counters_.RepliesLost_;
    for (const BudgetChange &Change : Done.Changes_)
      State.markUnsettled(*Change.Budget_);
    State.Undecided_.push_back(std::move(Done));
    State.MustReadLease_ = true;
    return;
  }
}

void Ledger::onRead(const std::string &Key, const base::ReadResult &Result,
                    base::TimePoint Now) {
  Impl &State = *Impl_;
  State.Now_ = Now;
  State.ScanRequested_ = true;
  const bool Ok = Result.Status_ == base::ReadStatus::Ok;
  base::Row Found{Key, 0, {}};
  if (Ok && !Result.Rows_.empty())
    Found = Result.Rows_.front();
  const auto Budget = State.BudgetsByRowKey_.find(Key);
  if (Budget != State.BudgetsByRowKey_.end())
    Budget->second->ReadInProgress_ = false;
  else
    State.ReadingLease_ = false;
  if (State.Phase_ == Impl::Phase::Sealed)
    return;
  if (!Ok) {
    State.onTableFailure();
    return;
  }
  State.onTableSuccess();
  if (Budget != State.BudgetsByRowKey_.end())
    State.onBudgetRow(*Budget->second, Found);
  else
    State.onLease(Found);
}

void Ledger::Impl::scan() {
  if (Phase_ == Phase::Idle || Phase_ >= Phase::Closed)
    return;
  for (BudgetState *Budget : ActiveBudgets_)
    serveWaiters(*Budget);
  if (Now_ < PausedUntil_)
    return;
  for (BudgetState *Budget : ActiveBudgets_)
    refreshRow(*Budget);
  plan();
}

void Ledger::Impl::refreshRow(BudgetState &Budget) {
  if (Budget.ReadInProgress_ || !needsRead(Budget))
    return;
  Budget.ReadInProgress_ = true;
  Budget.ReadStartedAt_ = Now_;
  Actions_.emplace_back(ReadRow{budgetKey(Budget.Budget_)});
}

bool Ledger::Impl::needsRead(const BudgetState &Budget) const {
  const base::Duration Age =
      Now_ - std::max(Budget.RowSeenAt_, Budget.ReadStartedAt_);
  if (!Budget.Row_ || !Budget.Waiters_.empty())
    return Age >= WaitingRefreshInterval;
  const bool HoldsTokens = Budget.available() > Tokens();
  if (!HoldsTokens && !std::holds_alternative<EvenSplitPolicy>(Budget.Sizing_))
    return false;
  const int Factor = isLow(*Budget.Row_) ? 1 : UsualRefreshFactor;
  return Age >= Settings_.RefreshInterval_ * Factor;
}

void Ledger::Impl::plan() {
  if (InFlight_ || ReadingLease_)
    return;
  if (MustReadLease_) {
    ReadingLease_ = true;
    Actions_.emplace_back(ReadRow{leaseKey(Settings_.Incarnation_)});
    return;
  }
  const bool NeverWritten = LeaseVersion_ == 0 && Undecided_.empty();
  if (isFinishing() && NeverWritten) {
    Phase_ = Phase::Closed;
    Actions_.emplace_back(Closed{});
    return;
  }
  LeaseTransaction Next;
  bool AllSettled = true;
  Urgency Need = Urgency::None;
  if (LeaseVersion_ != 0)
    Need = planBudgets(Next, AllSettled);
  Next.Witnesses_ = nextWitnesses(AllSettled);
  const bool Renews = Now_ - LastWriteAt_ >= Settings_.RenewInterval_;
  if (Renews || Next.Witnesses_ != ListedWitnesses_)
    Need = std::max(Need, Urgency::Due);
  Next.DeletesLease_ = isFinishing() && AllSettled;
  if (isFinishing() || Phase_ == Phase::Starting)
    Need = Urgency::Urgent;
  if (admitWrite(Need))
    send(std::move(Next));
}

Urgency Ledger::Impl::planBudgets(LeaseTransaction &Next, bool &AllSettled) {
  Urgency Need = Urgency::None;
  for (BudgetState *Budget : ActiveBudgets_) {
    BudgetChange Change;
    const Urgency Each = planBudget(*Budget, Change);
    if (Change.empty())
      continue;
    if (Next.Changes_.size() == MaxChanges) {
      AllSettled = false;
      break;
    }
    Need = std::max(Need, Each);
    Next.Changes_.push_back(Change);
  }
  return Need;
}

bool Ledger::Impl::isFinishing() const {
  return Phase_ == Phase::Closing && Reservations_.empty();
}

Urgency Ledger::Impl::planBudget(BudgetState &Budget, BudgetChange &Change) {
  Change.Budget_ = &Budget;
  if (isFinishing()) {
    Change.Deletes_ = Budget.SliceVersion_ != 0;
    return Urgency::Urgent;
  }
  Change.Settles_ = Budget.Dirty_;
  Urgency Need = Urgency::None;
  if (Budget.Dirty_ && Now_ - Budget.DirtySince_ >= Settings_.SettleInterval_)
    Need = Urgency::Due;
  if (!Budget.Row_ || Phase_ == Phase::Closing)
    return Need;
  const SizingInput Input = sizingInput(Budget);
  const Tokens RefillBelow = visitPolicy(
      Budget, [&](const auto &Sizing) { return Sizing.refillBelow(Input); });
  const bool Low = Input.Available_ < RefillBelow;
  const Urgency MoveUrgency = Low || !Budget.Waiters_.empty()
                                  ? planDraw(Budget, Input, Change)
                                  : planReturn(Budget, Input, Change);
  return std::max(Need, MoveUrgency);
}

Urgency Ledger::Impl::planDraw(const BudgetState &Budget,
                               const SizingInput &Input, BudgetChange &Change) {
  const Tokens Target = visitPolicy(
      Budget, [&](const auto &Sizing) { return Sizing.target(Input); });
  const Tokens Missing = std::max(Tokens(), Target - Input.Available_);
  const Tokens Draw = std::min(Missing, Input.Ungranted_);
  if (Draw == Tokens())
    return Urgency::None;
  if (Budget.Waiters_.empty()) {
    if (Draw.count() <= Missing.count() / MinDrawDivisor)
      return Urgency::None;
    Change.Draw_ = Draw;
    return Urgency::Due;
  }
  const bool Covers =
      std::any_of(Budget.Waiters_.begin(), Budget.Waiters_.end(),
                  [&](const detail::Waiter &Each) {
                    return Each.Bound_ <= Input.Available_ + Draw;
                  });
  if (!Covers)
    return Urgency::None;
  Change.Draw_ = Draw;
  return Urgency::Urgent;
}

Urgency Ledger::Impl::planReturn(const BudgetState &Budget,
                                 const SizingInput &Input,
                                 BudgetChange &Change) {
  const base::Duration IdleAfter = visitPolicy(
      Budget, [](const auto &Sizing) { return Sizing.idleAfter(); });
  const bool Idle = Now_ - Budget.LastUseAt_ >= IdleAfter;
  const Tokens Kept =
      Idle ? Tokens() : visitPolicy(Budget, [&](const auto &Sizing) {
        return Sizing.target(Input);
      });
  const Tokens ReturnThreshold = visitPolicy(
      Budget, [&](const auto &Sizing) { return Sizing.returnAbove(Input); });
  const bool AboveThreshold = Input.Available_ > ReturnThreshold;
  if (!(Idle || AboveThreshold) || Input.Available_ <= Kept)
    return Urgency::None;
  Change.Return_ = Input.Available_ - Kept;
  return Urgency::Due;
}

std::vector<WitnessEntry> Ledger::Impl::nextWitnesses(bool AllSettled) const {
  std::vector<WitnessEntry> Next = RequestedWitnesses_;
  if (AllSettled)
    return Next;
  for (const WitnessEntry &Entry : ListedWitnesses_)
    if (RetiredAgents_.contains(Entry.Agent_))
      Next.push_back(Entry);
  return Next;
}

bool Ledger::Impl::admitWrite(Urgency Need) {
  if (Need == Urgency::None)
    return false;
  if (Settings_.WriteInterval_ == base::Duration::zero())
    return true;
  const std::chrono::duration<double> Since = Now_ - WriteAllowanceAt_;
  const std::chrono::duration<double> Interval = Settings_.WriteInterval_;
  WriteAllowance_ = std::min(WriteAllowance_ + Since / Interval,
                             static_cast<double>(Settings_.WriteBurst_));
  WriteAllowanceAt_ = Now_;
  if (Phase_ == Phase::Closing)
    return true;
  if (Need == Urgency::Due && Now_ - LastWriteAt_ < Settings_.WriteInterval_)
    return false;
  return WriteAllowance_ >= 1;
}

void Ledger::Impl::send(LeaseTransaction Next) {
  Next.Number_ = NextNumber_++;
  base::Transaction Change;
  const std::string Key = leaseKey(Settings_.Incarnation_);
  Change.Conditions_.push_back({Key, LeaseVersion_});
  for (BudgetChange &Each : Next.Changes_)
    addSliceChange(Each, Change);
  if (Next.DeletesLease_) {
    Change.Writes_.push_back({Key, std::nullopt});
  } else {
    const LeaseRow Lease{Settings_.Router_, Settings_.Incarnation_,
                         LeaseState::Live, Next.Number_, Next.Witnesses_};
    Change.Writes_.push_back({Key, encode(Lease)});
  }
  WriteAllowance_ -= 1;
  LastWriteAt_ = Now_;
  ++Counters_.Transactions_;
  InFlight_ = std::move(Next);
  Actions_.emplace_back(Transact{std::move(Change)});
}

void Ledger::Impl::addSliceChange(BudgetChange &Change,
                                  base::Transaction &Target) {
  BudgetState &Budget = *Change.Budget_;
  const std::string Key = sliceKey(Budget.Slice_);
  Target.Conditions_.push_back({Key, Budget.SliceVersion_});
  for (const base::Incarnation &Agent : RetiredAgents_)
    if (!ListedAgents_.contains(Agent))
      Budget.Tally_.fold(Agent);
  Change.Total_ = Budget.Tally_.total();
  const Tokens Granted = Budget.Granted_ + Change.Draw_ - Change.Return_;
  if (Change.Deletes_) {
    Target.Writes_.push_back({Key, std::nullopt});
  } else {
    const SliceRow Row{Budget.Budget_, Settings_.Router_,
                       Settings_.Incarnation_, Granted, Budget.Tally_};
    Target.Writes_.push_back({Key, encode(Row)});
  }
  Budget.Dirty_ = false;
  Budget.Returning_ += Change.Return_;
  const bool ChangesBudgetRow =
      Change.Draw_ != Change.Return_ || Change.Deletes_;
  if (!ChangesBudgetRow)
    return;
  BudgetRow Row = *Budget.Row_;
  if (Change.Deletes_) {
    Row.Granted_ -= Granted - Change.Total_;
    Row.Billed_ += Change.Total_;
  } else {
    Row.Granted_ += Change.Draw_ - Change.Return_;
  }
  Change.Row_ = Row;
  const std::string BudgetRowKey = budgetKey(Budget.Budget_);
  Target.Conditions_.push_back({BudgetRowKey, Budget.RowVersion_});
  Target.Writes_.push_back({BudgetRowKey, encode(Row)});
}

void Ledger::Impl::apply(const LeaseTransaction &Done,
                         base::RowVersion Version) {
  LeaseVersion_ = Version;
  LastCommittedNumber_ = Done.Number_;
  ConflictBackoff_ = base::Duration::zero();
  if (Phase_ == Phase::Starting)
    Phase_ = Phase::Live;
  for (const BudgetChange &Change : Done.Changes_) {
    BudgetState &Budget = *Change.Budget_;
    Budget.Returning_ -= Change.Return_;
    Budget.Granted_ += Change.Draw_ - Change.Return_;
    Budget.Settled_ = Change.Total_;
    Budget.Dirty_ = Budget.Tally_.total() != Budget.Settled_;
    Budget.SliceVersion_ = Version;
    Counters_.Grants_ += Change.Draw_ > Tokens() ? 1 : 0;
    Counters_.Returns_ += Change.Return_ > Tokens() ? 1 : 0;
    if (Change.Row_ && Version > Budget.RowVersion_) {
      Budget.Row_ = Change.Row_;
      Budget.RowVersion_ = Version;
      Budget.RowSeenAt_ = Now_;
    }
    if (Change.Deletes_) {
      Budget.SliceVersion_ = 0;
      Budget.Granted_ = Tokens();
      Budget.Tally_ = Tally();
      Budget.Settled_ = Tokens();
    }
  }
  // The lease row has a new version: no earlier transaction can commit now.
  for (const LeaseTransaction &Older : std::exchange(Undecided_, {}))
    if (Older.Number_ != Done.Number_)
      discard(Older);
  MustReadLease_ = false;
  if (Done.DeletesLease_) {
    Phase_ = Phase::Closed;
    Actions_.emplace_back(Closed{});
    return;
  }
  const bool Changed = Done.Witnesses_ != ListedWitnesses_;
  ListedWitnesses_ = Done.Witnesses_;
  ListedAgents_.clear();
  for (const WitnessEntry &Entry : ListedWitnesses_)
    ListedAgents_.insert(Entry.Agent_);
  if (Changed)
    Actions_.emplace_back(WitnessesChanged{});
  for (BudgetState *Budget : ActiveBudgets_)
    serveWaiters(*Budget);
}

void Ledger::Impl::discard(const LeaseTransaction &Discarded) {
  for (const BudgetChange &Change : Discarded.Changes_) {
    BudgetState &Budget = *Change.Budget_;
    Budget.Returning_ -= Change.Return_;
    markUnsettled(Budget);
  }
}

void Ledger::Impl::onConflict(const base::TransactionResult &Result) {
  ++Counters_.Conflicts_;
  const std::string Lease = leaseKey(Settings_.Incarnation_);
  const std::uint64_t NumberBefore = LastCommittedNumber_;
  for (const base::Row &Found : Result.Current_)
    if (Found.Key_ == Lease)
      onLease(Found);
  if (Phase_ == Phase::Sealed || Phase_ == Phase::Closed)
    return;
  const bool OlderTookEffect = LastCommittedNumber_ != NumberBefore;
  for (const base::Row &Found : Result.Current_) {
    const auto Budget = BudgetsByRowKey_.find(Found.Key_);
    if (Budget != BudgetsByRowKey_.end())
      onBudgetRow(*Budget->second, Found);
    else if (Found.Key_ != Lease && !OlderTookEffect)
      seal();
  }
  // Nothing was written: restore the allowance and increase the pause.
  WriteAllowance_ += 1;
  ConflictBackoff_ =
      std::clamp(ConflictBackoff_ * 2, MinConflictBackoff, MaxConflictBackoff);
  const std::size_t Hash = std::hash<std::string>()(
      Settings_.Incarnation_.str() + std::to_string(NextNumber_));
  PausedUntil_ = Now_ + ConflictBackoff_ *
                            static_cast<std::int64_t>(Hash % BackoffSteps) /
                            static_cast<std::int64_t>(BackoffSteps);
}

void Ledger::Impl::onLease(const base::Row &Found) {
  if (Found.Version_ == 0) {
    const bool Deleting = std::any_of(
        Undecided_.begin(), Undecided_.end(),
        [](const LeaseTransaction &Each) { return Each.DeletesLease_; });
    if (LeaseVersion_ == 0) {
      MustReadLease_ = false;
    } else if (Deleting) {
      Phase_ = Phase::Closed;
      Actions_.emplace_back(Closed{});
    } else {
      seal();
    }
    return;
  }
  const auto Lease = decodeLease(Found.Value_);
  if (!Lease || Lease.value().State_ == LeaseState::Revoked) {
    seal();
    return;
  }
  const std::uint64_t Number = Lease.value().Transaction_;
  if (Number == LastCommittedNumber_) {
    MustReadLease_ = false;
    return;
  }
  const auto Older = std::find_if(
      Undecided_.begin(), Undecided_.end(),
      [&](const LeaseTransaction &Each) { return Each.Number_ == Number; });
  if (Older == Undecided_.end()) {
    seal();
    return;
  }
  const LeaseTransaction Done = *Older;
  apply(Done, Found.Version_);
}

void Ledger::Impl::onBudgetRow(BudgetState &Budget, const base::Row &Found) {
  Budget.RowSeenAt_ = Now_;
  if (Budget.Row_ && Found.Version_ < Budget.RowVersion_)
    return;
  if (Found.Version_ == 0) {
    Budget.Row_ = BudgetRow();
    Budget.RowVersion_ = 0;
    return;
  }
  const auto Row = decodeBudget(Found.Value_);
  if (!Row) {
    ++Counters_.BadRows_;
    return;
  }
  Budget.Row_ = Row.value();
  Budget.RowVersion_ = Found.Version_;
}

void Ledger::Impl::markUnsettled(BudgetState &Budget) {
  const bool Unsettled = Budget.Tally_.total() != Budget.Settled_;
  if (Unsettled && !std::exchange(Budget.Dirty_, true))
    Budget.DirtySince_ = Now_;
}

void Ledger::Impl::onTableFailure() {
  ++ConsecutiveFailures_;
  RetryDelay_ = RetryDelay_ == base::Duration::zero()
                    ? Settings_.InitialRetryDelay_
                    : std::min(RetryDelay_ * 2, Settings_.MaxRetryDelay_);
  PausedUntil_ = Now_ + RetryDelay_;
}

void Ledger::Impl::onTableSuccess() {
  ConsecutiveFailures_ = 0;
  RetryDelay_ = base::Duration::zero();
}

} // namespace camphorwind::budget
