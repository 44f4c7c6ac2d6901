#include "camphorwind/budget/witness.h"

#include <algorithm>

#include <utility>

namespace camphorwind::budget {

base::Result<Witness, WitnessError> Witness::create(WitnessSettings Settings) {
  if (Settings.Agent_.empty())
    return base::failure(WitnessError::EmptyIncarnation);
  return Witness(std::move(Settings));
}

void Witness::recordContact(const base::Incarnation &Router,
                            base::TimePoint Now) {
  RouterState &State = Routers_[Router];
  State.Heard_ = true;
  State.LastHeard_ = Now;
}

base::Result<void, OpenError> Witness::open(const OpenAttempt &Attempt) {
  RouterState &Router = Routers_[Attempt.Router_];
  if (Router.Sealed_) {
    ++Counters_.RefusedSealed_;
    return base::failure(OpenError::Sealed);
  }
  const bool Known =
      OpenAttempts_.contains(Attempt.Attempt_) ||
      EndedIds_.contains(Attempt.Attempt_) ||
      Router.Slices_[Attempt.Slice_].Unacknowledged_.contains(Attempt.Attempt_);
  if (Known)
    return base::failure(OpenError::DuplicateAttempt);
  OpenAttempts_[Attempt.Attempt_] = {Attempt.Slice_, Attempt.Router_,
                                     Attempt.Bound_, Attempt.NonIdempotent_};
  Router.OpenIds_.insert(Attempt.Attempt_);
  return base::success();
}

void Witness::tighten(const base::AttemptId &Attempt, base::Tokens Bound) {
  const auto Found = OpenAttempts_.find(Attempt);
  if (Found != OpenAttempts_.end() && Bound < Found->second.Bound_)
    Found->second.Bound_ = Bound;
}

void Witness::finish(const base::AttemptId &Attempt, base::Tokens Used) {
  const auto Found = OpenAttempts_.find(Attempt);
  if (Found == OpenAttempts_.end())
    return;
  OpenState &State = Found->second;
  State.Finished_ = true;
  State.Used_ = std::min(Used, State.Bound_);
  if (Routers_[State.Router_].Sealed_)
    recordCommit(Attempt, State.Used_);
}

void Witness::drop(const base::AttemptId &Attempt) { close(Attempt); }

CommitReply Witness::onCommit(const CommitRequest &Request) {
  RouterState &Router = Routers_[Request.Router_];
  SliceCount &Count = Router.Slices_[Request.Slice_];
  acknowledge(Router, Count, Request.Acknowledged_);
  const auto Answer = [&](CommitStatus Status) {
    return reply(Request.Attempt_, Request.Slice_, Request.Router_, Status);
  };
  if (Count.Unacknowledged_.contains(Request.Attempt_)) {
    ++Counters_.Repeats_;
    return Answer(CommitStatus::Committed);
  }
  if (Router.Sealed_) {
    ++Counters_.RefusedSealed_;
    return Answer(CommitStatus::Sealed);
  }
  const auto Found = OpenAttempts_.find(Request.Attempt_);
  if (Found == OpenAttempts_.end() || Found->second.Slice_ != Request.Slice_) {
    ++Counters_.RefusedUnknown_;
    return Answer(CommitStatus::UnknownAttempt);
  }
  if (Request.Used_ > Found->second.Bound_ || Request.Used_ < base::Tokens()) {
    ++Counters_.RefusedOverBound_;
    return Answer(CommitStatus::OverBound);
  }
  recordCommit(Request.Attempt_, Request.Used_);
  return Answer(CommitStatus::Committed);
}

CommitReply Witness::onFallbackCommit(const FallbackCommitRequest &Request) {
  RouterState &Router = Routers_[Request.Router_];
  const auto Answer = [&](CommitStatus Status) {
    return reply(Request.Attempt_, Request.Slice_, Request.Router_, Status);
  };
  SliceCount &Count = Router.Slices_[Request.Slice_];
  if (Count.FallbackCommits_.contains(Request.Attempt_)) {
    ++Counters_.Repeats_;
    return Answer(CommitStatus::Committed);
  }
  if (Router.Sealed_) {
    ++Counters_.RefusedSealed_;
    return Answer(CommitStatus::Sealed);
  }
  Count.FallbackCommits_[Request.Attempt_] = Request.Used_;
  ++Counters_.FallbackCommits_;
  return Answer(CommitStatus::Committed);
}

LivenessReply Witness::onLivenessRequest(const LivenessRequest &Request,
                                         base::TimePoint Now) const {
  LivenessReply Reply{Request.Router_, Settings_.Agent_, false};
  const auto Found = Routers_.find(Request.Router_);
  if (Found == Routers_.end())
    return Reply;
  const RouterState &Router = Found->second;
  Reply.RouterAlive_ = Router.Heard_ && !Router.Sealed_ &&
                       Now - Router.LastHeard_ <= Settings_.LivenessWindow_;
  return Reply;
}

SealReply Witness::onSeal(const SealRequest &Request) {
  RouterState &Router = Routers_[Request.Router_];
  if (!Router.Sealed_) {
    Router.Sealed_ = true;
    ++Counters_.SealedRouters_;
    const std::set<base::AttemptId> Open = Router.OpenIds_;
    for (const base::AttemptId &Attempt : Open) {
      const OpenState &State = OpenAttempts_.at(Attempt);
      if (State.NonIdempotent_ && State.Finished_) {
        recordCommit(Attempt, State.Used_);
      } else if (!State.NonIdempotent_) {
        close(Attempt);
        Cancelled_.push_back(Attempt);
      }
    }
  }
  SealReply Reply{Request.Router_, Settings_.Agent_, SealState::Sealing, {}};
  if (Router.OpenIds_.empty())
    Reply.State_ = SealState::Sealed;
  Reply.Reports_ = reports(Request.Router_);
  return Reply;
}

bool Witness::isSealed(const base::Incarnation &Router) const {
  const auto Found = Routers_.find(Router);
  return Found != Routers_.end() && Found->second.Sealed_;
}

std::vector<WitnessReport>
Witness::reports(const base::Incarnation &Router) const {
  std::vector<WitnessReport> Reports;
  const auto Found = Routers_.find(Router);
  if (Found == Routers_.end())
    return Reports;
  for (const auto &[Slice, Count] : Found->second.Slices_)
    Reports.push_back(report(Slice, Count));
  return Reports;
}

std::vector<base::AttemptId> Witness::takeCancelled() {
  return std::exchange(Cancelled_, {});
}

void Witness::forgetRouter(const base::Incarnation &Router) {
  const auto Found = Routers_.find(Router);
  if (Found == Routers_.end())
    return;
  for (const base::AttemptId &Attempt : Found->second.OpenIds_)
    OpenAttempts_.erase(Attempt);
  Routers_.erase(Found);
}

CommitReply Witness::reply(const base::AttemptId &Attempt,
                           const base::SliceId &Slice,
                           const base::Incarnation &Router,
                           CommitStatus Status) const {
  return {Attempt, Status,
          report(Slice, Routers_.at(Router).Slices_.at(Slice))};
}

WitnessReport Witness::report(const base::SliceId &Slice,
                              const SliceCount &Count) const {
  WitnessReport Report{Settings_.Agent_, Slice, Count.Counter_, {}, {}};
  for (const auto &[Attempt, Used] : Count.Unacknowledged_)
    Report.Unacknowledged_.push_back({Attempt, Used});
  for (const auto &[Attempt, Used] : Count.FallbackCommits_)
    Report.FallbackCommits_.push_back({Attempt, Used});
  return Report;
}

void Witness::recordCommit(const base::AttemptId &Attempt, base::Tokens Used) {
  const OpenState &State = OpenAttempts_.at(Attempt);
  SliceCount &Count = Routers_[State.Router_].Slices_[State.Slice_];
  ++Count.Counter_.Sequence_;
  Count.Counter_.Cumulative_ += Used;
  Count.Unacknowledged_[Attempt] = Used;
  ++Counters_.Commits_;
  Routers_[State.Router_].OpenIds_.erase(Attempt);
  OpenAttempts_.erase(Attempt);
}

void Witness::close(const base::AttemptId &Attempt) {
  const auto Found = OpenAttempts_.find(Attempt);
  if (Found == OpenAttempts_.end())
    return;
  Routers_[Found->second.Router_].OpenIds_.erase(Attempt);
  OpenAttempts_.erase(Found);
  rememberEnded(Attempt);
}

void Witness::acknowledge(RouterState &Router, SliceCount &Count,
                          const std::vector<base::AttemptId> &Attempts) {
  for (const base::AttemptId &Attempt : Attempts) {
    bool Erased = Count.Unacknowledged_.erase(Attempt) > 0;
    if (!Erased)
      for (auto &[Slice, OtherCount] : Router.Slices_)
        Erased = Erased || OtherCount.Unacknowledged_.erase(Attempt) > 0;
    if (Erased)
      rememberEnded(Attempt);
  }
}

void Witness::rememberEnded(const base::AttemptId &Attempt) {
  if (!EndedIds_.insert(Attempt).second)
    return;
  EndedIdsInOrder_.push_back(Attempt);
  if (EndedIdsInOrder_.size() <= Settings_.MaxEndedIds_)
    return;
  EndedIds_.erase(EndedIdsInOrder_.front());
  EndedIdsInOrder_.pop_front();
}

} // namespace camphorwind::budget
