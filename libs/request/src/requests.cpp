#include "camphorwind/request/requests.h"

#include "camphorwind/request/detail/record.h"

#include <algorithm>
#include <utility>

namespace camphorwind::request {

using detail::Evidence;
using detail::Phase;

namespace {

/// Reserved capacity for actions, enough to avoid reallocation for most events.
constexpr std::size_t ExpectedActions = 8;

} // namespace

Requests::Requests(base::Incarnation Router, RequestsSettings Settings)
    : Router_(std::move(Router)), Settings_(Settings) {
  Actions_.reserve(ExpectedActions);
}

Requests::~Requests() = default;

void Requests::onSubmit(Submission Submitted, base::TimePoint Now) {
  std::uint64_t Number = NextRecord_++;
  if (!ByRequest_.emplace(Submitted.Request_, Number).second)
    return;
  auto &Slot = Records_[Number];
  Slot = std::make_unique<Record>();
  Record &R = *Slot;
  R.RecordNumber_ = Number;
  R.Deadline_ = Now + Submitted.Timeout_;
  R.Key_ = {Submitted.Account_, Submitted.IdempotencyKey_};
  R.Submitted_ = std::move(Submitted);
  wakeAt(R, R.Deadline_);
  if (R.keyed())
    requestClaims(R, Now);
  else
    requestAttempt(R, std::nullopt);
}

void Requests::onCallerGone(const base::RequestId &Request,
                            base::TimePoint Now) {
  Record *R = find(Request);
  if (R == nullptr || R->CallerGone_)
    return;
  R->CallerGone_ = true;
  // A caller with an Idempotency-Key may retry to get the answer, and a
  // non-idempotent request must not be cancelled after it has started.
  if (R->keyed() || R->nonIdempotent())
    return;
  if (R->Phase_ == Phase::Running)
    return cancelCurrent(*R);
  if (R->Phase_ == Phase::Preparing)
    fail(*R, base::RefusalReason::CallerGone, Now);
}

void Requests::onCommit(const base::RequestId &Request,
                        const AttemptRef &Attempt, CommitStatus Status,
                        base::TimePoint Now) {
  Record *R = find(Request);
  if (R == nullptr || R->Phase_ != Phase::Committing ||
      R->current().Ref_ != Attempt)
    return;
  switch (Status) {
  case CommitStatus::Committed:
    if (R->CallerGone_ && !R->keyed() && !R->nonIdempotent()) {
      closeCurrent(*R, AttemptResult::Answered);
      return fail(*R, base::RefusalReason::CallerGone, Now);
    }
    return finish(*R);
  case CommitStatus::Refused:
    return fail(*R,
                R->current().StartedByRequest_
                    ? base::RefusalReason::RouterSealed
                    : base::RefusalReason::AnswerNotKept,
                Now);
  case CommitStatus::Unconfirmed:
    return fail(*R, base::RefusalReason::CommitUnconfirmed, Now);
  }
}

void Requests::onLinkUp(const base::Incarnation &Agent, base::TimePoint Now) {
  Linked_.insert(Agent);
  for (std::uint64_t Number : recordsRunningAt(Agent)) {
    Record &R = *Records_.at(Number);
    if (R.LinkDownSince_)
      ++Counters_
            .Retries_[static_cast<std::size_t>(base::RetryReason::LinkLost)];
    R.LinkDownSince_.reset();
    if (R.CallerGone_ && !R.keyed() && !R.nonIdempotent())
      cancelCurrent(R);
    queryCurrent(R, Now);
  }
}

void Requests::onLinkDown(const base::Incarnation &Agent, base::TimePoint Now) {
  Linked_.erase(Agent);
  for (std::uint64_t Number : recordsRunningAt(Agent)) {
    Record &R = *Records_.at(Number);
    if (R.LinkDownSince_)
      continue;
    R.LinkDownSince_ = Now;
    wakeAt(R, Now + Settings_.LinkResumeTimeout_);
  }
}

void Requests::onAgentGone(const base::Incarnation &Agent,
                           base::TimePoint Now) {
  Linked_.erase(Agent);
  for (std::uint64_t Number : recordsRunningAt(Agent))
    onAttemptFailed(*Records_.at(Number), base::RefusalReason::LinkLost,
                    base::RetryReason::LinkLost, AttemptResult::Lost, Now);
}

void Requests::onClaimView(const ClaimView &View, base::TimePoint Now) {
  Views_.install(View, Now);
}

void Requests::onTick(base::TimePoint Now) {
  Views_.prune(Now);
  while (!Timers_.empty() && Timers_.top().At_ <= Now) {
    Timer Due = Timers_.top();
    Timers_.pop();
    auto Found = Records_.find(Due.Record_);
    if (Found == Records_.end() || Found->second->TimerAt_ != Due.At_)
      continue;
    Found->second->TimerAt_ = base::TimePoint::max();
    onTimer(*Found->second, Now);
  }
}

std::optional<base::TimePoint> Requests::nextTimer() const {
  if (Timers_.empty())
    return std::nullopt;
  return Timers_.top().At_;
}

std::vector<RouterAction> Requests::takeActions() {
  std::vector<RouterAction> Taken;
  Taken.reserve(ExpectedActions);
  Taken.swap(Actions_);
  return Taken;
}

void Requests::finish(Record &R) {
  deliver(R, std::exchange(R.Undelivered_, {}));
  ++Counters_.Answered_;
  Actions_.emplace_back(
      FinishRequest{R.Submitted_.Request_, R.current().Ref_, R.Usage_});
  closeCurrent(R, AttemptResult::Answered);
  erase(R);
}

void Requests::fail(Record &R, base::RefusalReason Reason,
                    base::TimePoint Now) {
  R.FailReason_ = Reason;
  auto HasEvidence = [&](Evidence Known) {
    return std::any_of(R.Tried_.begin(), R.Tried_.end(),
                       [&](const auto &A) { return A.Evidence_ == Known; });
  };
  if (HasEvidence(Evidence::Ran))
    return failWith(R, Reason, base::Ran::Yes);
  if (HasEvidence(Evidence::MayHaveRun) || R.EarlierMayHaveRun_)
    return failWith(R, Reason, base::Ran::Unknown);
  if (R.keyed())
    return requestRelease(R, Now);
  failWith(R, Reason, base::Ran::No);
}

void Requests::failWith(Record &R, base::RefusalReason Reason, base::Ran Ran) {
  ++Counters_.Ran_[static_cast<std::size_t>(Ran)];
  if (Ran == base::Ran::No && R.IntentWritten_)
    Actions_.emplace_back(
        CleanUpTable{{{{detail::intentRowKey(R.Key_), R.IntentVersion_}},
                      {{detail::intentRowKey(R.Key_), std::nullopt}}}});
  Actions_.emplace_back(
      FailRequest{R.Submitted_.Request_, Reason, Ran, R.deliveryStarted()});
  releasePrepared(R);
  closeCurrent(R, AttemptResult::GivenUp);
  erase(R);
}

void Requests::onDeadline(Record &R, base::TimePoint Now) {
  switch (R.Phase_) {
  case Phase::Confirming:
  case Phase::WritingBill:
  case Phase::ReadingBill:
  case Phase::Committing:
    return fail(R, base::RefusalReason::CommitUnconfirmed, Now);
  case Phase::Running:
    cancelCurrent(R);
    break;
  default:
    break;
  }
  fail(R, base::RefusalReason::DeadlineExceeded, Now);
}

void Requests::onTimer(Record &R, base::TimePoint Now) {
  if (R.Phase_ != Phase::Releasing && R.Deadline_ <= Now)
    return onDeadline(R, Now);
  std::uint64_t Number = R.RecordNumber_;
  if (R.PhaseEndsAt_ <= Now) {
    R.PhaseEndsAt_ = base::TimePoint::max();
    switch (R.Phase_) {
    case Phase::Claiming:
      evaluateClaims(R, Now);
      break;
    case Phase::WaitingToRetryClaim:
      requestClaims(R, Now);
      break;
    case Phase::Confirming:
      evaluateConfirmation(R, Now);
      break;
    case Phase::Releasing:
      evaluateRelease(R, Now);
      break;
    case Phase::Committing:
      sendJoinCommit(R, Now);
      break;
    default:
      retryTable(R);
      break;
    }
  } else if (R.Phase_ == Phase::Running) {
    checkSilence(R, Now);
  }
  // The calls above may have erased the record.
  auto Found = Records_.find(Number);
  if (Found == Records_.end())
    return;
  Record &Remaining = *Found->second;
  bool PastDeadline = Remaining.Phase_ == Phase::Releasing;
  wakeAt(Remaining,
         PastDeadline ? Remaining.PhaseEndsAt_
                      : std::min(Remaining.PhaseEndsAt_, Remaining.Deadline_));
}

void Requests::wakeAt(Record &R, base::TimePoint At) {
  if (At >= R.TimerAt_)
    return;
  R.TimerAt_ = At;
  Timers_.push({At, R.RecordNumber_});
}

void Requests::erase(Record &R) {
  for (const Tried &Attempt : R.Tried_) {
    auto [First, Last] = ByAttempt_.equal_range(Attempt.Ref_.Attempt_);
    for (auto Entry = First; Entry != Last; ++Entry)
      if (Entry->second == R.RecordNumber_) {
        ByAttempt_.erase(Entry);
        break;
      }
  }
  ByRequest_.erase(R.Submitted_.Request_);
  Records_.erase(R.RecordNumber_);
}

Requests::Record *Requests::find(const base::RequestId &Request) {
  auto Number = ByRequest_.find(Request);
  if (Number == ByRequest_.end())
    return nullptr;
  return Records_.at(Number->second).get();
}

std::vector<std::uint64_t>
Requests::recordsRunningAt(const base::Incarnation &Agent) const {
  auto Found = RunningByAgent_.find(Agent);
  if (Found == RunningByAgent_.end())
    return {};
  std::vector<std::uint64_t> Numbers(Found->second.begin(),
                                     Found->second.end());
  std::sort(Numbers.begin(), Numbers.end());
  std::erase_if(Numbers, [&](std::uint64_t Number) {
    return Records_.at(Number)->Phase_ != Phase::Running;
  });
  return Numbers;
}

} // namespace camphorwind::request
