#ifndef CAMPHORWIND_BUDGET_TALLY_H
#define CAMPHORWIND_BUDGET_TALLY_H

#include "camphorwind/budget/messages.h"

#include <map>

namespace camphorwind::budget {

/// A commit recorded by attempt id.
struct ListedCommit {
  base::Tokens Used_;
  /// Whether a counter of the tally contains it already.
  bool Counted_ = false;
  friend bool operator==(const ListedCommit &, const ListedCommit &) = default;
};

/// What one slice has been billed, merged from reports of its witnesses.
///
/// `merge` is commutative, associative and idempotent: counters by highest
/// sequence, listed commits by attempt id. Any writer may therefore merge any
/// reports in any order, repeatedly, and ends at the same total.
class Tally {
public:
  using Counters = std::map<base::Incarnation, Counter>;
  using Listed = std::map<base::AttemptId, ListedCommit>;

  Tally() = default;
  Tally(base::Tokens Folded, Counters ByAgent, Listed ByAttempt);

  /// Adds what \p Report knows; returns whether anything was new.
  bool merge(const WitnessReport &Report);

  /// Forgets the id of a commit that a counter contains and that was never put
  /// to a stand-in.
  void forget(const base::AttemptId &Attempt);

  /// Adds the counter of \p Agent to the folded sum and forgets the agent. Only
  /// for an agent whose reports will not be merged again.
  void fold(const base::Incarnation &Agent);

  /// Returns the tokens billed to the slice.
  base::Tokens total() const { return Total_; }

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
