#include "camphorwind/budget/committer.h"

#include <algorithm>
#include <utility>

namespace camphorwind::budget {

void Committer::commit(const base::AttemptId &Attempt,
                       const base::Incarnation &Agent, base::Tokens Used,
                       base::TimePoint Now) {
  const base::SliceId *Slice = Ledger_->sliceOf(Attempt);
  if (!Slice) {
    Actions_.emplace_back(CommitEnded{Attempt, CommitOutcome::Refused});
    return;
  }
  const auto [Entry, Inserted] = Pending_.try_emplace(Attempt);
  if (!Inserted)
    return;
  Pending &Commit = Entry->second;
  Commit.Slice_ = *Slice;
  Commit.Agent_ = Agent;
  Commit.Used_ = Used;
  Commit.Started_ = Now;
  Commit.AgentGone_ = GoneAgents_.contains(Agent);
  ++Counters_.Commits_;
  sendCommit(Attempt, Commit, Now);
}

void Committer::onReply(const CommitReply &Reply, base::TimePoint Now) {
  const auto Entry = Pending_.find(Reply.Attempt_);
  if (Entry == Pending_.end()) {
    onReport(Reply.Report_);
    return;
  }
  Pending &Commit = Entry->second;
  const bool FromExecutingAgent = Reply.Report_.Agent_ == Commit.Agent_;
  switch (Reply.Status_) {
  case CommitStatus::Committed:
    reportOutcome(Reply.Attempt_, Commit, CommitOutcome::Billed);
    Ledger_->bill(Reply.Attempt_, Reply.Report_);
    Pending_.erase(Entry);
    acknowledge(Reply.Report_);
    return;
  case CommitStatus::Sealed:
    ++Counters_.RefusedSealed_;
    reportOutcome(Reply.Attempt_, Commit, CommitOutcome::Refused);
    Pending_.erase(Entry);
    Ledger_->seal();
    return;
  case CommitStatus::UnknownAttempt:
  case CommitStatus::OverBound:
    break;
  }
  onReport(Reply.Report_);
  if (!FromExecutingAgent)
    return;
  reportOutcome(Reply.Attempt_, Commit, CommitOutcome::Refused);
  // A fallback witness may have recorded the commit; then only a reply of a
  // fallback witness, or the end of all of them, decides it.
  Commit.AgentGone_ = true;
  Commit.LastSent_ = Now;
  if (!Commit.FallbackWitnesses_.empty())
    return;
  Ledger_->release(Reply.Attempt_, Commit.Used_);
  Pending_.erase(Entry);
}

void Committer::onReport(const WitnessReport &Report) {
  Ledger_->merge(Report);
  acknowledge(Report);
}

void Committer::acknowledge(const WitnessReport &Report) {
  for (const CommittedAttempt &Commit : Report.Unacknowledged_) {
    const bool StillPending = Pending_.contains(Commit.Attempt_);
    if (StillPending || FallbackAttempts_.contains(Commit.Attempt_))
      continue;
    Acknowledged_[Report.Agent_].insert(Commit.Attempt_);
    Ledger_->forget(Report.Slice_, Commit.Attempt_);
  }
}

void Committer::onAgentGone(const base::Incarnation &Agent,
                            base::TimePoint Now) {
  GoneAgents_.insert(Agent);
  Acknowledged_.erase(Agent);
  for (auto &[Attempt, Commit] : Pending_) {
    if (Commit.Agent_ == Agent)
      Commit.AgentGone_ = true;
    Commit.LastSent_ =
        std::min(Commit.LastSent_, Now - Settings_.RetryInterval_);
  }
}

bool Committer::hasPendingCommits(const base::Incarnation &Agent) const {
  return std::any_of(Pending_.begin(), Pending_.end(), [&](const auto &Entry) {
    return Entry.second.Agent_ == Agent && !Entry.second.AgentGone_;
  });
}

void Committer::tick(base::TimePoint Now) {
  for (auto Entry = Pending_.begin(); Entry != Pending_.end();) {
    const base::AttemptId &Attempt = Entry->first;
    Pending &Commit = Entry->second;
    const base::Duration Age = Now - Commit.Started_;
    if (Age >= Settings_.WithholdAfter_ && !Commit.OutcomeReported_) {
      reportOutcome(Attempt, Commit, CommitOutcome::Withheld);
      Ledger_->setUnconfirmed(Attempt);
    }
    if (Commit.AgentGone_ && Commit.OutcomeReported_ &&
        allFallbacksGone(Commit)) {
      Ledger_->release(Attempt, Commit.Used_);
      Entry = Pending_.erase(Entry);
      continue;
    }
    if (Now - Commit.LastSent_ >= Settings_.RetryInterval_) {
      ++Counters_.Repeats_;
      sendCommit(Attempt, Commit, Now);
      if (Age >= Settings_.FallbackAfter_ || Commit.AgentGone_)
        sendFallbackCommits(Attempt, Commit, Now);
    }
    ++Entry;
  }
}

std::vector<CommitterAction> Committer::takeActions() {
  return std::exchange(Actions_, {});
}

void Committer::sendCommit(const base::AttemptId &Attempt, Pending &Commit,
                           base::TimePoint Now) {
  Commit.LastSent_ = Now;
  if (Commit.AgentGone_)
    return;
  CommitRequest Request{
      Attempt, Commit.Slice_, base::Incarnation(), Commit.Used_, {}};
  Request.Router_ = Ledger_->incarnation();
  const auto Ids = Acknowledged_.find(Commit.Agent_);
  if (Ids != Acknowledged_.end()) {
    Request.Acknowledged_.assign(Ids->second.begin(), Ids->second.end());
    Acknowledged_.erase(Ids);
  }
  Actions_.emplace_back(SendCommit{Commit.Agent_, std::move(Request)});
}

void Committer::sendFallbackCommits(const base::AttemptId &Attempt,
                                    Pending &Commit, base::TimePoint Now) {
  Commit.LastSent_ = Now;
  // Once the outcome was reported, no further witness is asked.
  if (!Commit.OutcomeReported_)
    addFallbackWitness(Attempt, Commit);
  for (const base::Incarnation &Agent : Commit.FallbackWitnesses_) {
    if (GoneAgents_.contains(Agent))
      continue;
    Actions_.emplace_back(SendFallbackCommit{
        Agent, {Attempt, Commit.Slice_, Ledger_->incarnation(), Commit.Used_}});
  }
}

void Committer::addFallbackWitness(const base::AttemptId &Attempt,
                                   Pending &Commit) {
  for (const WitnessEntry &Candidate : Ledger_->witnesses()) {
    const bool AlreadyAsked =
        std::find(Commit.FallbackWitnesses_.begin(),
                  Commit.FallbackWitnesses_.end(),
                  Candidate.Agent_) != Commit.FallbackWitnesses_.end();
    const bool Usable = Candidate.Agent_ != Commit.Agent_ &&
                        !GoneAgents_.contains(Candidate.Agent_) &&
                        Ledger_->isUsableWitness(Candidate.Agent_);
    if (AlreadyAsked || !Usable)
      continue;
    Commit.FallbackWitnesses_.push_back(Candidate.Agent_);
    FallbackAttempts_.insert(Attempt);
    ++Counters_.FallbackCommits_;
    return;
  }
}

void Committer::reportOutcome(const base::AttemptId &Attempt, Pending &Commit,
                              CommitOutcome Outcome) {
  if (std::exchange(Commit.OutcomeReported_, true))
    return;
  if (Outcome == CommitOutcome::Withheld)
    ++Counters_.Withheld_;
  Actions_.emplace_back(CommitEnded{Attempt, Outcome});
}

bool Committer::allFallbacksGone(const Pending &Commit) const {
  return std::all_of(Commit.FallbackWitnesses_.begin(),
                     Commit.FallbackWitnesses_.end(),
                     [&](const base::Incarnation &Agent) {
                       return GoneAgents_.contains(Agent);
                     });
}

} // namespace camphorwind::budget
