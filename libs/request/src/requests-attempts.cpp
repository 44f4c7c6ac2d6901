#include "camphorwind/request/detail/record.h"

#include <algorithm>
#include <string>
#include <utility>

namespace camphorwind::request {

using detail::Evidence;
using detail::Phase;

namespace {

/// Maximum number of times that a request switches to the attempt that was
/// chosen for billing.
constexpr std::size_t MaxAttemptSwitches = 3;

base::RetryReason retryReason(base::RefusalReason Reason) {
  switch (Reason) {
  case base::RefusalReason::TicketLapsed:
    return base::RetryReason::TicketLapsed;
  case base::RefusalReason::AgentLeaving:
    return base::RetryReason::AgentLeaving;
  case base::RefusalReason::EndpointFailed:
    return base::RetryReason::EndpointRefused;
  case base::RefusalReason::LinkLost:
    return base::RetryReason::LinkLost;
  default:
    return base::RetryReason::AgentRefused;
  }
}

} // namespace

void Requests::requestAttempt(Record &R,
                              std::optional<base::RetryReason> Retry) {
  R.Phase_ = Phase::Preparing;
  R.NextAttempt_ =
      base::AttemptId(Router_.str() + '.' + std::to_string(R.RecordNumber_) +
                      '.' + std::to_string(++R.AttemptsStarted_));
  PrepareAttempt Action{R.Submitted_.Request_, R.NextAttempt_, {}, Retry};
  for (const Tried &Attempt : R.Tried_)
    if (Attempt.StartedByRequest_)
      Action.Tried_.push_back(Attempt.Endpoint_);
  if (Retry)
    ++Counters_.Retries_[static_cast<std::size_t>(*Retry)];
  Actions_.emplace_back(std::move(Action));
}

void Requests::onPrepared(const base::RequestId &Request,
                          PreparedAttempt Prepared, base::TimePoint Now) {
  Record *R = find(Request);
  if (R == nullptr || R->Phase_ != Phase::Preparing) {
    Actions_.emplace_back(
        AttemptClosed{Request, Prepared.Endpoint_, {}, AttemptResult::GivenUp});
    return;
  }
  R->Prepared_ = std::move(Prepared);
  R->PreparedRef_ = preparedRef(*R);
  if (R->keyed() && R->nonIdempotent())
    writeIntent(*R);
  else
    dispatch(*R, Now);
}

void Requests::onNotPrepared(const base::RequestId &Request,
                             base::RefusalReason Reason, base::TimePoint Now) {
  Record *R = find(Request);
  if (R != nullptr && R->Phase_ == Phase::Preparing)
    fail(*R, Reason, Now);
}

AttemptRef Requests::preparedRef(Record &R) {
  return {R.NextAttempt_, R.Prepared_->Agent_, R.Prepared_->Ticket_.GrantedAt_};
}

void Requests::dispatch(Record &R, base::TimePoint Now) {
  PreparedAttempt Prepared = std::move(*R.Prepared_);
  R.Prepared_.reset();
  AttemptRef Ref = R.PreparedRef_;
  R.Tried_.push_back({Ref, Prepared.Endpoint_, true});
  reportAttemptToHolders(R, Ref);
  Actions_.emplace_back(SendToAgent{
      Ref.Agent_,
      StartAttempt{
          Ref, R.Submitted_.Request_, Router_, R.Submitted_.Account_,
          Prepared.Budget_, Prepared.Slice_, Prepared.Bound_,
          std::chrono::floor<std::chrono::milliseconds>(R.Deadline_ - Now),
          R.nonIdempotent(), R.Submitted_.Call_}});
  watchAttempt(R, Ref, Now);
}

void Requests::followAttempt(Record &R, const AttemptRef &Attempt,
                             bool Confirmed, base::TimePoint Now) {
  ++Counters_.Attached_;
  R.FollowsConfirmed_ = Confirmed;
  R.Tried_.push_back({Attempt});
  watchAttempt(R, Attempt, Now);
  queryCurrent(R, Now);
}

void Requests::watchAttempt(Record &R, const AttemptRef &Attempt,
                            base::TimePoint Now) {
  R.Phase_ = Phase::Running;
  R.PhaseEndsAt_ = base::TimePoint::max();
  R.Current_ = R.Tried_.size() - 1;
  R.LastHeard_ = Now;
  R.LinkDownSince_.reset();
  if (!Linked_.contains(Attempt.Agent_))
    R.LinkDownSince_ = Now;
  auto [First, Last] = ByAttempt_.equal_range(Attempt.Attempt_);
  bool Listed = std::any_of(First, Last, [&](const auto &Entry) {
    return Entry.second == R.RecordNumber_;
  });
  if (!Listed)
    ByAttempt_.emplace(Attempt.Attempt_, R.RecordNumber_);
  RunningByAgent_[Attempt.Agent_].insert(R.RecordNumber_);
  wakeAt(R, Now + Settings_.SilenceBeforeQuery_);
}

void Requests::queryCurrent(Record &R, base::TimePoint Now) {
  const AttemptRef &Ref = R.current().Ref_;
  if (!Linked_.contains(Ref.Agent_))
    return;
  R.LastQuery_ = Now;
  Actions_.emplace_back(
      SendToAgent{Ref.Agent_, QueryAttempt{Router_, Ref, R.Received_}});
}

void Requests::releasePrepared(Record &R) {
  if (!R.Prepared_)
    return;
  Actions_.emplace_back(AttemptClosed{R.Submitted_.Request_,
                                      R.Prepared_->Endpoint_, R.PreparedRef_,
                                      AttemptResult::GivenUp});
  R.Prepared_.reset();
}

void Requests::closeCurrent(Record &R, AttemptResult Result) {
  if (R.Tried_.empty() || R.current().Closed_)
    return;
  Tried &Attempt = R.current();
  Attempt.Closed_ = true;
  auto Watching = RunningByAgent_.find(Attempt.Ref_.Agent_);
  if (Watching != RunningByAgent_.end()) {
    Watching->second.erase(R.RecordNumber_);
    if (Watching->second.empty())
      RunningByAgent_.erase(Watching);
  }
  if (Attempt.StartedByRequest_)
    Actions_.emplace_back(AttemptClosed{
        R.Submitted_.Request_, Attempt.Endpoint_, Attempt.Ref_, Result});
}

void Requests::cancelCurrent(Record &R) {
  const AttemptRef &Ref = R.current().Ref_;
  if (ByAttempt_.count(Ref.Attempt_) > 1)
    return;
  Actions_.emplace_back(SendToAgent{Ref.Agent_, Cancel{Router_, Ref}});
}

void Requests::onNotSent(const AttemptRef &Attempt, base::TimePoint Now) {
  forEachRequestOf(Attempt, [&](Record &R, Tried &Found) {
    if (Found.StartedByRequest_)
      onNeverRan(R, Found, base::RefusalReason::LinkLost, Now);
  });
}

void Requests::onMessage(const Accepted &Message, base::TimePoint Now) {
  forEachRequestOf(Message.Attempt_,
                   [&](Record &R, Tried & /*Found*/) { R.LastHeard_ = Now; });
}

void Requests::onMessage(const Refused &Message, base::TimePoint Now) {
  forEachRequestOf(Message.Attempt_, [&](Record &R, Tried &Found) {
    onNeverRan(R, Found, Message.Reason_, Now);
  });
}

void Requests::onMessage(const Chunk &Message, base::TimePoint Now) {
  bool Known = false;
  forEachRequestOf(Message.Attempt_, [&](Record &R, Tried &Found) {
    if (&Found != &R.current() || R.Phase_ != Phase::Running)
      return;
    Known = true;
    onCurrentChunk(R, Message, Now);
  });
  if (!Known)
    countDropped(DropReason::NotCurrent);
}

void Requests::onMessage(const Finished &Message, base::TimePoint Now) {
  bool Known = false;
  forEachRequestOf(Message.Attempt_, [&](Record &R, Tried &Found) {
    if (&Found != &R.current() || R.Phase_ != Phase::Running)
      return;
    Known = true;
    onCurrentFinished(R, Message, Now);
  });
  if (!Known)
    countDropped(DropReason::NotCurrent);
}

void Requests::onMessage(const AttemptStatus &Message, base::TimePoint Now) {
  forEachRequestOf(Message.Attempt_, [&](Record &R, Tried &Found) {
    if (Message.State_ == AttemptState::NeverRan)
      return onNeverRan(R, Found, base::RefusalReason::LinkLost, Now);
    if (&Found == &R.current() && R.Phase_ == Phase::Running)
      onCurrentStatus(R, Message.State_, Now);
  });
}

void Requests::onNeverRan(Record &R, Tried &Attempt, base::RefusalReason Reason,
                          base::TimePoint Now) {
  if (Attempt.Evidence_ == Evidence::Ran)
    return;
  Attempt.Evidence_ = Evidence::NeverRan;
  if (&Attempt != &R.current() || R.Phase_ != Phase::Running)
    return;
  onAttemptFailed(R, Reason, retryReason(Reason), AttemptResult::Refused, Now);
}

void Requests::onAttemptFailed(Record &R, base::RefusalReason Reason,
                               base::RetryReason Retry, AttemptResult Result,
                               base::TimePoint Now) {
  bool NeverRan = R.current().Evidence_ == Evidence::NeverRan;
  bool MayRepeat = NeverRan || (!R.nonIdempotent() && !R.deliveryStarted());
  bool AnswerWanted = !R.CallerGone_ || R.keyed();
  closeCurrent(R, Result);
  if (!AnswerWanted)
    return fail(R, base::RefusalReason::CallerGone, Now);
  if (R.FollowsConfirmed_ || !MayRepeat ||
      R.AttemptsStarted_ >= Settings_.MaxAttempts_)
    return fail(R, Reason, Now);
  R.Head_.reset();
  R.Undelivered_.clear();
  R.Received_ = 0;
  requestAttempt(R, Retry);
}

void Requests::checkSilence(Record &R, base::TimePoint Now) {
  if (R.LinkDownSince_ &&
      Now - *R.LinkDownSince_ >= Settings_.LinkResumeTimeout_) {
    bool MayMove =
        !R.nonIdempotent() && !R.deliveryStarted() && !R.FollowsConfirmed_;
    if (MayMove || !R.current().StartedByRequest_) {
      cancelCurrent(R);
      return onAttemptFailed(R, base::RefusalReason::LinkLost,
                             base::RetryReason::LinkLost, AttemptResult::Lost,
                             Now);
    }
  }
  base::TimePoint NextQueryAt =
      std::max(R.LastHeard_, R.LastQuery_) + Settings_.SilenceBeforeQuery_;
  if (NextQueryAt <= Now) {
    queryCurrent(R, Now);
    NextQueryAt = Now + Settings_.SilenceBeforeQuery_;
  }
  if (R.LinkDownSince_)
    NextQueryAt = std::min(
        NextQueryAt, std::max(*R.LinkDownSince_ + Settings_.LinkResumeTimeout_,
                              Now + Settings_.TableRetryDelay_));
  wakeAt(R, NextQueryAt);
}

void Requests::onCurrentChunk(Record &R, const Chunk &Part,
                              base::TimePoint Now) {
  if (Part.Offset_ > R.Received_) {
    countDropped(DropReason::OutOfOrder);
    if (Now - R.LastQuery_ >= Settings_.MinQueryInterval_)
      queryCurrent(R, Now);
    return;
  }
  std::uint64_t Repeated = R.Received_ - Part.Offset_;
  bool NewHead = Part.Head_ && !R.Head_;
  if (Repeated >= Part.Bytes_.size() && !NewHead)
    return countDropped(DropReason::Repeated);
  R.LastHeard_ = Now;
  R.current().Evidence_ = Evidence::Ran;
  if (NewHead)
    R.Head_ = Part.Head_;
  if (Repeated > Part.Bytes_.size())
    return;
  R.Received_ += Part.Bytes_.size() - Repeated;
  R.Undelivered_.append(Part.Bytes_, Repeated);
  if (R.Submitted_.Streaming_ && !R.BufferAnswer_)
    deliver(R, std::exchange(R.Undelivered_, {}));
}

void Requests::onCurrentFinished(Record &R, const Finished &End,
                                 base::TimePoint Now) {
  R.LastHeard_ = Now;
  R.Usage_ = End.Usage_;
  switch (End.End_) {
  case AttemptEnd::Complete:
    R.current().Evidence_ = Evidence::Ran;
    if (R.Received_ < End.Length_) {
      countDropped(DropReason::OutOfOrder);
      if (Now - R.LastQuery_ >= Settings_.MinQueryInterval_)
        queryCurrent(R, Now);
      return;
    }
    return onWholeAnswer(R, End.Committed_, Now);
  case AttemptEnd::Cancelled:
    if (R.CallerGone_ && !R.keyed() && R.Delivered_ > 0)
      return commit(R, Now);
    [[fallthrough]];
  case AttemptEnd::EndpointFailed:
    return onAttemptFailed(R, base::RefusalReason::EndpointFailed,
                           base::RetryReason::EndpointFailed,
                           AttemptResult::Failed, Now);
  case AttemptEnd::EndpointStalled:
    return onAttemptFailed(R, base::RefusalReason::EndpointStalled,
                           base::RetryReason::EndpointStalled,
                           AttemptResult::Failed, Now);
  case AttemptEnd::DeadlineExceeded:
    if (R.current().StartedByRequest_)
      return fail(R, base::RefusalReason::DeadlineExceeded, Now);
    return onAttemptFailed(R, base::RefusalReason::DeadlineExceeded,
                           base::RetryReason::EndpointFailed,
                           AttemptResult::Failed, Now);
  }
}

void Requests::onCurrentStatus(Record &R, AttemptState State,
                               base::TimePoint Now) {
  R.LastHeard_ = Now;
  switch (State) {
  case AttemptState::NeverRan:
  case AttemptState::Running:
  case AttemptState::Finished:
    return;
  case AttemptState::Dropped:
    R.current().Evidence_ = Evidence::Ran;
    [[fallthrough]];
  case AttemptState::Forgotten:
    return onAttemptFailed(R, base::RefusalReason::AnswerNotKept,
                           base::RetryReason::EndpointFailed,
                           AttemptResult::Lost, Now);
  }
}

void Requests::onWholeAnswer(Record &R, bool Billed, base::TimePoint Now) {
  if (Billed)
    return finish(R);
  if (R.keyed() && !R.nonIdempotent())
    return requestConfirmation(R, Now);
  commit(R, Now);
}

void Requests::switchToWinner(Record &R, const AttemptRef &Winner,
                              base::TimePoint Now) {
  closeCurrent(R, AttemptResult::GivenUp);
  if (R.deliveryStarted() || ++R.AttemptSwitches_ > MaxAttemptSwitches)
    return fail(R, base::RefusalReason::ClaimLost, Now);
  R.Head_.reset();
  R.Undelivered_.clear();
  R.Received_ = 0;
  followAttempt(R, Winner, true, Now);
}

void Requests::commit(Record &R, base::TimePoint Now) {
  R.Phase_ = Phase::Committing;
  if (!R.current().StartedByRequest_)
    return sendJoinCommit(R, Now);
  Actions_.emplace_back(CommitAttempt{
      R.Submitted_.Request_, R.current().Ref_, R.Usage_,
      R.Delivered_ + (R.CallerGone_ ? 0 : R.Undelivered_.size())});
}

void Requests::sendJoinCommit(Record &R, base::TimePoint Now) {
  const AttemptRef &Ref = R.current().Ref_;
  Actions_.emplace_back(
      SendToAgent{Ref.Agent_, JoinCommit{Router_, R.Submitted_.Request_, Ref}});
  R.PhaseEndsAt_ = Now + Settings_.ClaimTimeout_;
  wakeAt(R, R.PhaseEndsAt_);
}

void Requests::onMessage(const JoinCommitReply &Message, base::TimePoint Now) {
  onCommit(Message.Request_, Message.Attempt_,
           Message.Committed_ ? CommitStatus::Committed : CommitStatus::Refused,
           Now);
}

void Requests::deliver(Record &R, std::string Bytes) {
  if (R.CallerGone_)
    return;
  Deliver Part{R.Submitted_.Request_, std::nullopt, std::move(Bytes)};
  if (!R.HeadDelivered_)
    Part.Head_ = R.Head_;
  if (!Part.Head_ && Part.Bytes_.empty())
    return;
  R.HeadDelivered_ = R.HeadDelivered_ || Part.Head_;
  R.Delivered_ += Part.Bytes_.size();
  Actions_.emplace_back(std::move(Part));
}

template <class Visit>
void Requests::forEachRequestOf(const AttemptRef &Attempt, const Visit &Apply) {
  std::vector<std::uint64_t> Numbers;
  auto [First, Last] = ByAttempt_.equal_range(Attempt.Attempt_);
  for (auto Entry = First; Entry != Last; ++Entry)
    Numbers.push_back(Entry->second);
  for (std::uint64_t Number : Numbers) {
    auto Found = Records_.find(Number);
    if (Found == Records_.end())
      continue;
    Record &R = *Found->second;
    // Search from the newest entry, as an attempt may be followed twice.
    auto Match =
        std::find_if(R.Tried_.rbegin(), R.Tried_.rend(),
                     [&](const Tried &A) { return A.Ref_ == Attempt; });
    if (Match != R.Tried_.rend())
      Apply(R, *Match);
  }
}

void Requests::countDropped(DropReason Reason) {
  ++Counters_.Dropped_[static_cast<std::size_t>(Reason)];
}

} // namespace camphorwind::request
