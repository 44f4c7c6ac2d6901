#ifndef CAMPHORWIND_BUDGET_TALLY_H
#define CAMPHORWIND_BUDGET_TALLY_H

#include "camphorwind/budget/messages.h"

#include <map>

namespace camphorwind::budget {

/// A commit recorded by attempt id.
struct ListedCommit {
  base::Tokens Used_;
  /// Whether a counter of the tally already includes the commit.
  bool Counted_ = false;
  friend bool operator==(const ListedCommit &, const ListedCommit &) = default;
};

/// Tokens billed to one slice, merged from the reports of its witnesses.
///
/// `merge` is commutative, associative and idempotent: of the counters of one
/// agent the highest sequence number wins, and listed commits are merged by
/// attempt id. Any writer may therefore merge any reports in any order,
/// repeatedly, and reaches the same total.
class Tally {
public:
  using Counters = std::map<base::Incarnation, Counter>;
  using Listed = std::map<base::AttemptId, ListedCommit>;

  Tally() = default;
  Tally(base::Tokens Folded, Counters ByAgent, Listed ByAttempt);

  /// Merges \p Report; returns whether a counter or the total changed.
  bool merge(const WitnessReport &Report);

  /// Forgets the id of a commit that a counter includes; other ids stay. Only
  /// for a commit that was never sent to a fallback witness, whose report would
  /// otherwise count it again.
  void forget(const base::AttemptId &Attempt);

  /// Adds the counter of \p Agent to `folded()` and forgets the agent. Only for
  /// an agent whose reports will not be merged again.
  void fold(const base::Incarnation &Agent);

  /// Returns the tokens billed to the slice.
  base::Tokens total() const { return Total_; }

  /// Returns the sum of the counters of forgotten agents.
  base::Tokens folded() const { return Folded_; }
  const Counters &counters() const { return Counters_; }
  const Listed &listed() const { return Listed_; }

private:
  void addListed(const CommittedAttempt &Commit, bool Counted);

  base::Tokens Total_;
  base::Tokens Folded_;
  Counters Counters_;
  Listed Listed_;
};

} // namespace camphorwind::budget

#endif // CAMPHORWIND_BUDGET_TALLY_H
