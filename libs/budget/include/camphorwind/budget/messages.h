#ifndef CAMPHORWIND_BUDGET_MESSAGES_H
#define CAMPHORWIND_BUDGET_MESSAGES_H

#include "camphorwind/base/codec.h"
#include "camphorwind/base/ids.h"
#include "camphorwind/base/tokens.h"

#include <cstdint>
#include <vector>

/// What routers and agents say to each other about money. Every message may be
/// repeated, reordered or lost; all handlers are idempotent.
namespace camphorwind::budget {

/// How an agent answers a request to record a commit.
enum class CommitStatus {
  Committed,      ///< Recorded now or by an earlier copy of the request.
  Sealed,         ///< The router's incarnation is sealed here; never recorded.
  UnknownAttempt, ///< The attempt is not open here; not recorded.
  OverBound,      ///< More tokens than the attempt reserved; not recorded.
};

/// How far the sealing of a router's incarnation has come at one agent.
enum class SealState {
  Sealing, ///< Refuses all work and commits; a non-idempotent attempt runs on.
  Sealed,  ///< The reports are final.
};

/// Tokens committed at one agent from one slice, in total, after the commit
/// with number `Sequence_`.
struct Counter {
  std::uint64_t Sequence_ = 0;
  base::Tokens Cumulative_;
  MSGPACK_DEFINE(Sequence_, Cumulative_)
  friend bool operator==(const Counter &, const Counter &) = default;
};

/// One committed attempt and the tokens it is billed.
struct CommittedAttempt {
  base::AttemptId Attempt_;
  base::Tokens Used_;
  MSGPACK_DEFINE(Attempt_, Used_)
  friend bool operator==(const CommittedAttempt &,
                         const CommittedAttempt &) = default;
};

/// All that one agent incarnation knows of one slice.
struct WitnessReport {
  base::Incarnation Agent_;
  base::SliceId Slice_;
  Counter Counter_;
  /// Attempts counted in `Counter_` whose reply no router has acknowledged.
  std::vector<CommittedAttempt> Unacknowledged_;
  /// Attempts that ran at other agents; not counted in `Counter_`.
  std::vector<CommittedAttempt> FallbackCommits_;
  MSGPACK_DEFINE(Agent_, Slice_, Counter_, Unacknowledged_, FallbackCommits_)
};

/// Router to the agent that ran the attempt: bill it.
struct CommitRequest {
  base::AttemptId Attempt_;
  base::SliceId Slice_;
  base::Incarnation Router_;
  base::Tokens Used_;
  /// Earlier commits whose reply arrived; the agent may forget their ids.
  std::vector<base::AttemptId> Acknowledged_;
  MSGPACK_DEFINE(Attempt_, Slice_, Router_, Used_, Acknowledged_)
};

/// Answer to CommitRequest and FallbackCommitRequest.
struct CommitReply {
  base::AttemptId Attempt_;
  CommitStatus Status_ = CommitStatus::UnknownAttempt;
  WitnessReport Report_;
  MSGPACK_DEFINE(Attempt_, Status_, Report_)
};

/// Router to another agent of its witness list, when the one that ran the
/// attempt is silent: record the commit by attempt id.
struct FallbackCommitRequest {
  base::AttemptId Attempt_;
  base::SliceId Slice_;
  base::Incarnation Router_;
  base::Tokens Used_;
  MSGPACK_DEFINE(Attempt_, Slice_, Router_, Used_)
};

/// Reclaimer to a witness: has the router been heard lately?
struct LivenessRequest {
  base::Incarnation Router_;
  MSGPACK_DEFINE(Router_)
};

struct LivenessReply {
  base::Incarnation Router_;
  base::Incarnation Agent_;
  bool Heard_ = false;
  MSGPACK_DEFINE(Router_, Agent_, Heard_)
};

/// Reclaimer to a witness, after the lease row says revoked: accept nothing
/// more from the router's incarnation and report.
struct SealRequest {
  base::Incarnation Router_;
  MSGPACK_DEFINE(Router_)
};

struct SealReply {
  base::Incarnation Router_;
  base::Incarnation Agent_;
  SealState State_ = SealState::Sealing;
  /// One report a slice; final only once sealed.
  std::vector<WitnessReport> Reports_;
  MSGPACK_DEFINE(Router_, Agent_, State_, Reports_)
};

} // namespace camphorwind::budget

MSGPACK_ADD_ENUM(camphorwind::budget::CommitStatus)
MSGPACK_ADD_ENUM(camphorwind::budget::SealState)

#endif // CAMPHORWIND_BUDGET_MESSAGES_H
