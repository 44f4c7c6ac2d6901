#include "camphorwind/budget/reclaimer.h"

#include <algorithm>
#include <utility>

namespace camphorwind::budget {

using base::Tokens;

namespace {

/// Maximum number of slices that one transaction settles.
constexpr std::size_t MaxSlicesPerTransaction = 64;

} // namespace

std::string_view toString(ReclaimOutcome Outcome) {
  switch (Outcome) {
  case ReclaimOutcome::StillAlive:
    return "still_alive";
  case ReclaimOutcome::Reclaimed:
    return "reclaimed";
  case ReclaimOutcome::NoLease:
    return "no_lease";
  }
  return "unknown";
}

Reclaimer::Reclaimer(ReclaimerSettings Settings, base::Incarnation Router,
                     ReclaimerCounters &Counters)
    : Settings_(Settings), Router_(std::move(Router)), Counters_(&Counters),
      RetryDelay_(Settings.RetryDelay_) {}

void Reclaimer::start(base::TimePoint Now) {
  ++Counters_->Started_;
  enter(Stage::ReadLease, Now);
}

std::vector<ReclaimerAction> Reclaimer::takeActions() {
  return std::exchange(Actions_, {});
}

void Reclaimer::tick(base::TimePoint Now) {
  if (Paused_) {
    if (Now < PauseUntil_)
      return;
    Paused_ = false;
    enter(Stage_, Now);
    return;
  }
  if (Stage_ == Stage::AskWitnesses &&
      Now - AskedAt_ >= Settings_.LivenessTimeout_)
    enter(Stage::Revoke, Now);
  else if (Stage_ == Stage::Seal && Now - AskedAt_ >= RetryDelay_)
    enter(Stage::ScanSlices, Now);
}

void Reclaimer::enter(Stage Next, base::TimePoint Now) {
  Stage_ = Next;
  switch (Next) {
  case Stage::ReadLease:
    Actions_.emplace_back(ReadRow{leaseKey(Router_)});
    return;
  case Stage::AskWitnesses:
    AskedAt_ = Now;
    NotHeard_.clear();
    for (const WitnessEntry &Witness : Lease_.Witnesses_)
      Actions_.emplace_back(AskLiveness{Witness, {Router_}});
    return;
  case Stage::Revoke:
    writeLease(LeaseState::Revoked, Lease_.Witnesses_);
    return;
  case Stage::Seal:
    AskedAt_ = Now;
    for (const WitnessEntry &Witness : Lease_.Witnesses_)
      if (!Sealed_.contains(Witness.Agent_))
        Actions_.emplace_back(AskSeal{Witness, {Router_}});
    return;
  case Stage::ScanSlices:
    Actions_.emplace_back(ScanRows{slicesPrefix(Router_)});
    return;
  case Stage::Settle:
    settle();
    return;
  case Stage::ReadBudget:
    Actions_.emplace_back(ReadRow{budgetKey(Slices_.front().Row_.Budget_)});
    return;
  case Stage::Unlist: {
    std::vector<WitnessEntry> Remaining = Lease_.Witnesses_;
    std::erase_if(Remaining, [&](const WitnessEntry &Each) {
      return Sealed_.contains(Each.Agent_);
    });
    writeLease(LeaseState::Revoked, std::move(Remaining));
    return;
  }
  case Stage::DeleteLease: {
    const std::string Key = leaseKey(Router_);
    Actions_.emplace_back(
        Transact{{{{Key, LeaseVersion_}}, {{Key, std::nullopt}}}});
    return;
  }
  case Stage::Idle:
  case Stage::Return:
  case Stage::Ended:
    return;
  }
}

void Reclaimer::pause(base::TimePoint Now) {
  Paused_ = true;
  PauseUntil_ = Now + Settings_.TableRetryDelay_;
}

void Reclaimer::end(ReclaimOutcome Outcome) {
  Stage_ = Stage::Ended;
  Stranded_ = Tokens();
  if (Outcome == ReclaimOutcome::StillAlive)
    ++Counters_->StillAlive_;
  Actions_.emplace_back(ReclaimEnded{Router_, Outcome});
}

void Reclaimer::onTransaction(const base::TransactionResult &Result,
                              base::TimePoint Now) {
  const bool Committed = Result.Status_ == base::TransactionStatus::Committed;
  const bool Conflict = Result.Status_ == base::TransactionStatus::Conflict;
  // Each stage starts from freshly read rows, so a conflict or an unknown
  // result needs no handling beyond reading them again.
  switch (Stage_) {
  case Stage::Revoke:
    Counters_->Revoked_ += Committed ? 1 : 0;
    Stage_ = Stage::ReadLease;
    break;
  case Stage::Settle:
    Stage_ = Stage::ScanSlices;
    break;
  case Stage::Return:
    if (Committed) {
      ++Counters_->SlicesReturned_;
      Counters_->TokensReturned_ += Returning_;
    }
    Stage_ = Stage::ScanSlices;
    break;
  case Stage::DeleteLease:
    if (Committed) {
      end(ReclaimOutcome::Reclaimed);
      return;
    }
    Stage_ = Stage::ReadLease;
    break;
  case Stage::Unlist:
    Stage_ = Stage::ReadLease;
    break;
  default:
    return;
  }
  if (Committed || Conflict)
    enter(Stage_, Now);
  else
    pause(Now);
}

void Reclaimer::onRead(const base::ReadResult &Result, base::TimePoint Now) {
  if (Result.Status_ != base::ReadStatus::Ok) {
    pause(Now);
    return;
  }
  if (Stage_ == Stage::ReadLease)
    onLease(Result.Rows_, Now);
  else if (Stage_ == Stage::ScanSlices)
    onSlices(Result.Rows_, Now);
  else if (Stage_ == Stage::ReadBudget)
    onBudget(Result.Rows_, Now);
}

void Reclaimer::onLease(const std::vector<base::Row> &Rows,
                        base::TimePoint Now) {
  const bool ReadBefore = LeaseVersion_ != 0;
  if (Rows.empty() || Rows.front().Version_ == 0) {
    end(ReclaimOutcome::NoLease);
    return;
  }
  const auto Row = decodeLease(Rows.front().Value_);
  if (!Row) {
    pause(Now);
    return;
  }
  const bool Rewritten = Row.value().Transaction_ != Lease_.Transaction_;
  Lease_ = Row.value();
  LeaseVersion_ = Rows.front().Version_;
  if (Lease_.State_ == LeaseState::Revoked)
    enter(Stage::Seal, Now);
  else if (ReadBefore && Rewritten)
    end(ReclaimOutcome::StillAlive);
  else
    enter(Stage::AskWitnesses, Now);
}

void Reclaimer::onLivenessReply(const LivenessReply &Reply,
                                base::TimePoint Now) {
  if (Stage_ != Stage::AskWitnesses || Reply.Router_ != Router_)
    return;
  if (Reply.RouterAlive_) {
    end(ReclaimOutcome::StillAlive);
    return;
  }
  NotHeard_.insert(Reply.Agent_);
  const bool AllAnswered =
      std::all_of(Lease_.Witnesses_.begin(), Lease_.Witnesses_.end(),
                  [&](const WitnessEntry &Each) {
                    return NotHeard_.contains(Each.Agent_);
                  });
  if (AllAnswered)
    enter(Stage::Revoke, Now);
}

void Reclaimer::onSealReply(const SealReply &Reply, base::TimePoint Now) {
  if (Reply.Router_ != Router_ || Reply.State_ != SealState::Sealed)
    return;
  const bool Revoked = Lease_.State_ == LeaseState::Revoked;
  if (!Revoked || Stage_ == Stage::Ended)
    return;
  Sealed_[Reply.Agent_] = Reply;
  if (Stage_ == Stage::Seal && !Paused_ && allSealed())
    enter(Stage::ScanSlices, Now);
}

bool Reclaimer::allSealed() const {
  return std::all_of(
      Lease_.Witnesses_.begin(), Lease_.Witnesses_.end(),
      [&](const WitnessEntry &Each) { return Sealed_.contains(Each.Agent_); });
}

void Reclaimer::mergeReports(Slice &Target) const {
  const base::SliceId Id = sliceId(Router_, Target.Row_.Budget_);
  for (const WitnessEntry &Witness : Lease_.Witnesses_) {
    const auto Reply = Sealed_.find(Witness.Agent_);
    if (Reply == Sealed_.end())
      continue;
    for (const WitnessReport &Report : Reply->second.Reports_)
      if (Report.Slice_ == Id && Target.Row_.Tally_.merge(Report))
        Target.Changed_ = true;
  }
}

void Reclaimer::onSlices(const std::vector<base::Row> &Rows,
                         base::TimePoint Now) {
  Slices_.clear();
  Stranded_ = Tokens();
  bool Changed = false;
  for (const base::Row &Found : Rows) {
    const auto Row = decodeSlice(Found.Value_);
    if (!Row) {
      pause(Now);
      return;
    }
    Slice &Added = Slices_.emplace_back(Slice{Found, Row.value()});
    mergeReports(Added);
    Changed = Changed || Added.Changed_;
    Stranded_ += Added.Row_.held();
  }
  const bool AnySealed = std::any_of(
      Lease_.Witnesses_.begin(), Lease_.Witnesses_.end(),
      [&](const WitnessEntry &Each) { return Sealed_.contains(Each.Agent_); });
  if (allSealed()) {
    enter(Slices_.empty() ? Stage::DeleteLease : Stage::ReadBudget, Now);
    return;
  }
  RetryDelay_ = std::min(RetryDelay_ * 2, Settings_.MaxRetryDelay_);
  if (Changed)
    enter(Stage::Settle, Now);
  else
    enter(AnySealed ? Stage::Unlist : Stage::Seal, Now);
}

void Reclaimer::settle() {
  base::Transaction Change;
  for (const Slice &Each : Slices_) {
    if (!Each.Changed_ || Change.Writes_.size() == MaxSlicesPerTransaction)
      continue;
    Change.Conditions_.push_back(
        {Each.TableRow_.Key_, Each.TableRow_.Version_});
    Change.Writes_.push_back({Each.TableRow_.Key_, encode(Each.Row_)});
  }
  Actions_.emplace_back(Transact{std::move(Change)});
}

void Reclaimer::onBudget(const std::vector<base::Row> &Rows,
                         base::TimePoint Now) {
  const Slice &Returned = Slices_.front();
  if (Rows.empty() || Rows.front().Version_ == 0) {
    pause(Now);
    return;
  }
  const auto Row = decodeBudget(Rows.front().Value_);
  if (!Row) {
    pause(Now);
    return;
  }
  BudgetRow Budget = Row.value();
  Returning_ = Returned.Row_.held();
  Budget.Granted_ -= Returning_;
  Budget.Billed_ += Returned.Row_.Tally_.total();
  const std::string Key = Rows.front().Key_;
  base::Transaction Change;
  Change.Conditions_ = {{Returned.TableRow_.Key_, Returned.TableRow_.Version_},
                        {Key, Rows.front().Version_}};
  Change.Writes_ = {{Returned.TableRow_.Key_, std::nullopt},
                    {Key, encode(Budget)}};
  Stage_ = Stage::Return;
  Actions_.emplace_back(Transact{std::move(Change)});
}

void Reclaimer::writeLease(LeaseState State,
                           std::vector<WitnessEntry> Witnesses) {
  LeaseRow Row = Lease_;
  Row.State_ = State;
  Row.Witnesses_ = std::move(Witnesses);
  const std::string Key = leaseKey(Router_);
  Actions_.emplace_back(
      Transact{{{{Key, LeaseVersion_}}, {{Key, encode(Row)}}}});
}

} // namespace camphorwind::budget
