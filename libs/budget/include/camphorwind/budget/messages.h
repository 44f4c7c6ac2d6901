#ifndef CAMPHORWIND_BUDGET_MESSAGES_H
#define CAMPHORWIND_BUDGET_MESSAGES_H

#include "camphorwind/base/codec.h"
#include "camphorwind/base/ids.h"
#include "camphorwind/base/tokens.h"

#include <cstdint>
#include <vector>

/// Messages between routers and agents about billing. Any message may be lost,
/// repeated or reordered; every handler is idempotent.
namespace camphorwind::budget {

/// How an agent answers a request to record a commit.
enum class CommitStatus {
  Committed, ///< Recorded now or by an earlier copy of the request.
  /// The router's incarnation is sealed at this agent; the request is not
  /// recorded.
  Sealed,
  UnknownAttempt, ///< The attempt is not open at this agent; not recorded.
  OverBound,      ///< More tokens than the attempt reserved; not recorded.
};

/// Progress of sealing a router's incarnation at one agent.
enum class SealState {
  /// Attempts and commits are refused, but an open non-idempotent attempt still
  /// runs.
  Sealing,
  Sealed, ///< No attempt is open; the reports are final.
};

/// Total tokens committed at one agent from one slice, as of the commit
/// numbered `Sequence_`.
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

/// All commits that one agent incarnation has recorded for one slice.
struct WitnessReport {
  base::Incarnation Agent_;
  base::SliceId Slice_;
  Counter Counter_;
  /// Attempts counted in `Counter_` whose reply no router has acknowledged.
  std::vector<CommittedAttempt> Unacknowledged_;
  /// Attempts that ran at other agents and that this agent recorded as a
  /// fallback witness; not counted in `Counter_`.
  std::vector<CommittedAttempt> FallbackCommits_;
  MSGPACK_DEFINE(Agent_, Slice_, Counter_, Unacknowledged_, FallbackCommits_)
};

/// Router to the agent that ran the attempt: record the commit.
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

/// Router to another agent on its witness list, when the agent that ran the
/// attempt does not reply: record the commit by attempt id.
struct FallbackCommitRequest {
  base::AttemptId Attempt_;
  base::SliceId Slice_;
  base::Incarnation Router_;
  base::Tokens Used_;
  MSGPACK_DEFINE(Attempt_, Slice_, Router_, Used_)
};

/// Reclaimer to a witness: asks whether the router is alive.
struct LivenessRequest {
  base::Incarnation Router_;
  MSGPACK_DEFINE(Router_)
};

/// Answer to LivenessRequest.
struct LivenessReply {
  base::Incarnation Router_;
  base::Incarnation Agent_;
  /// Whether the witness heard from the router recently and it is not sealed.
  bool RouterAlive_ = false;
  MSGPACK_DEFINE(Router_, Agent_, RouterAlive_)
};

/// Reclaimer to a witness, once the lease row is revoked: accept nothing more
/// from the router's incarnation and report all recorded commits.
struct SealRequest {
  base::Incarnation Router_;
  MSGPACK_DEFINE(Router_)
};

/// Answer to SealRequest.
struct SealReply {
  base::Incarnation Router_;
  base::Incarnation Agent_;
  SealState State_ = SealState::Sealing;
  /// One report per slice; final only in state `Sealed`.
  std::vector<WitnessReport> Reports_;
  MSGPACK_DEFINE(Router_, Agent_, State_, Reports_)
};

} // namespace camphorwind::budget

MSGPACK_ADD_ENUM(camphorwind::budget::CommitStatus)
MSGPACK_ADD_ENUM(camphorwind::budget::SealState)

#endif // CAMPHORWIND_BUDGET_MESSAGES_H
