#include "camphorwind/budget/tally.h"

#include <algorithm>
#include <utility>

namespace camphorwind::budget {

Tally::Tally(base::Tokens Folded, Counters ByAgent, Listed ByAttempt)
    : Total_(Folded), Folded_(Folded), Counters_(std::move(ByAgent)),
      Listed_(std::move(ByAttempt)) {
  for (const auto &[Agent, Count] : Counters_)
    Total_ += Count.Cumulative_;
  for (const auto &[Attempt, Commit] : Listed_)
    if (!Commit.Counted_)
      Total_ += Commit.Used_;
}

bool Tally::merge(const WitnessReport &Report) {
  const base::Tokens TotalBefore = Total_;
  bool Changed = false;
  if (Report.Counter_.Sequence_ > 0) {
    Counter &Known = Counters_[Report.Agent_];
    if (Report.Counter_.Sequence_ > Known.Sequence_) {
      Total_ += Report.Counter_.Cumulative_ - Known.Cumulative_;
      Known = Report.Counter_;
      Changed = true;
    }
  }
  for (const CommittedAttempt &Commit : Report.Unacknowledged_)
    addListed(Commit, true);
  for (const CommittedAttempt &Commit : Report.FallbackCommits_)
    addListed(Commit, false);
  return Changed || Total_ != TotalBefore;
}

void Tally::addListed(const CommittedAttempt &Commit, bool Counted) {
  const auto [Entry, Inserted] =
      Listed_.try_emplace(Commit.Attempt_, ListedCommit{Commit.Used_, Counted});
  ListedCommit &Known = Entry->second;
  if (Inserted) {
    if (!Counted)
      Total_ += Commit.Used_;
    return;
  }
  if (Known.Counted_)
    return;
  if (Counted) {
    Total_ -= Known.Used_;
    Known.Counted_ = true;
    return;
  }
  const base::Tokens Larger = std::max(Known.Used_, Commit.Used_);
  Total_ += Larger - Known.Used_;
  Known.Used_ = Larger;
}

void Tally::forget(const base::AttemptId &Attempt) {
  const auto Entry = Listed_.find(Attempt);
  if (Entry != Listed_.end() && Entry->second.Counted_)
    Listed_.erase(Entry);
}

void Tally::fold(const base::Incarnation &Agent) {
  const auto Entry = Counters_.find(Agent);
  if (Entry == Counters_.end())
    return;
  Folded_ += Entry->second.Cumulative_;
  Counters_.erase(Entry);
}

} // namespace camphorwind::budget
