#ifndef CAMPHORWIND_REQUEST_MESSAGES_H
#define CAMPHORWIND_REQUEST_MESSAGES_H

#include "camphorwind/base/codec.h"
#include "camphorwind/base/ids.h"
#include "camphorwind/base/reasons.h"
#include "camphorwind/base/tokens.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>

/// Messages about requests between routers and agents. Links may drop, delay,
/// repeat and reorder any of them.
namespace camphorwind::request {

/// Permits one router to start attempts at one agent incarnation. The ticket
/// lapses TicketLifetime after it was granted, by the agent's clock.
struct Ticket {
  base::Incarnation Agent_;
  /// Time of the agent's monotonic clock at which the ticket was granted.
  std::chrono::microseconds GrantedAt_{0};
  friend bool operator==(const Ticket &, const Ticket &) = default;
  MSGPACK_DEFINE(Agent_, GrantedAt_)
};

/// Sent by a router to an agent at a fixed interval on every link.
struct Heartbeat {
  base::Incarnation Router_;
  std::uint64_t Sequence_ = 0;
  MSGPACK_DEFINE(Router_, Sequence_)
};

/// Answers a Heartbeat. If it carries no ticket, the agent is leaving or has
/// sealed the router, and the router must not start attempts there.
struct HeartbeatReply {
  base::Incarnation Agent_;
  std::uint64_t Sequence_ = 0;
  std::optional<Ticket> Ticket_;
  /// The agent is shutting down and grants no more tickets.
  bool Leaving_ = false;
  MSGPACK_DEFINE(Agent_, Sequence_, Ticket_, Leaving_)
};

/// An attempt and the agent incarnation it was sent to. An attempt id is never
/// sent to a second agent.
struct AttemptRef {
  base::AttemptId Attempt_;
  base::Incarnation Agent_;
  /// Time at which the ticket for the attempt was granted, by the agent's
  /// monotonic clock. From its age the agent knows whether it would still
  /// remember the attempt.
  std::chrono::microseconds TicketGrantedAt_{0};
  friend bool operator==(const AttemptRef &, const AttemptRef &) = default;
  MSGPACK_DEFINE(Attempt_, Agent_, TicketGrantedAt_)
};

/// The HTTP call that an agent makes to its endpoint.
struct EndpointCall {
  std::string Path_;
  std::string ContentType_;
  std::string Body_;
  MSGPACK_DEFINE(Path_, ContentType_, Body_)
};

/// Starts an attempt. Sent at most once per attempt id.
struct StartAttempt {
  AttemptRef Attempt_;
  base::RequestId Request_;
  base::Incarnation Router_;
  base::AccountId Account_;
  base::BudgetId Budget_;
  base::SliceId Slice_;
  /// Maximum number of tokens that the attempt may cost, prompt included.
  base::Tokens Bound_;
  /// Time until the caller's deadline, counted from receipt of the message.
  std::chrono::milliseconds TimeLeft_{0};
  bool NonIdempotent_ = false;
  EndpointCall Call_;
  MSGPACK_DEFINE(Attempt_, Request_, Router_, Account_, Budget_, Slice_, Bound_,
                 TimeLeft_, NonIdempotent_, Call_)
};

/// The agent has accepted the attempt. The call may already have reached the
/// endpoint.
struct Accepted {
  AttemptRef Attempt_;
  MSGPACK_DEFINE(Attempt_)
};

/// Proof that the attempt never reached the endpoint and never will. Valid
/// only from the incarnation that the attempt was sent to.
struct Refused {
  AttemptRef Attempt_;
  base::RefusalReason Reason_ = base::RefusalReason::Internal;
  MSGPACK_DEFINE(Attempt_, Reason_)
};

/// Status and content type of the endpoint's answer.
struct AnswerHead {
  std::uint16_t HttpStatus_ = 200;
  std::string ContentType_;
  friend bool operator==(const AnswerHead &, const AnswerHead &) = default;
  MSGPACK_DEFINE(HttpStatus_, ContentType_)
};

/// Part of an answer.
struct Chunk {
  AttemptRef Attempt_;
  /// Offset of the first byte of Bytes_ within the answer, in bytes.
  std::uint64_t Offset_ = 0;
  /// Present only at offset 0.
  std::optional<AnswerHead> Head_;
  std::string Bytes_;
  MSGPACK_DEFINE(Attempt_, Offset_, Head_, Bytes_)
};

/// Tokens that an attempt used.
struct Usage {
  base::Tokens Prompt_;
  base::Tokens Output_;
  base::Tokens total() const { return Prompt_ + Output_; }
  friend bool operator==(const Usage &, const Usage &) = default;
  MSGPACK_DEFINE(Prompt_, Output_)
};

/// How an accepted attempt ended.
enum class AttemptEnd {
  Complete,        ///< The endpoint gave its whole answer.
  EndpointFailed,  ///< The endpoint failed or its answer was too long.
  EndpointStalled, ///< The endpoint sent nothing for the stall limit.
  DeadlineExceeded,
  Cancelled,
};

/// Reports the end of an accepted attempt. Sent, when it ends, to the routers
/// that receive its answer, and again in answer to each query until its answer
/// is dropped. The answer goes to the router that started the attempt and to
/// those that queried it while it ran. A router that cancels is left out unless
/// it is the last one; the attempt is then stopped.
struct Finished {
  AttemptRef Attempt_;
  AttemptEnd End_ = AttemptEnd::Complete;
  /// Length of the whole answer in bytes. A complete answer counts as received
  /// only after that many bytes.
  std::uint64_t Length_ = 0;
  Usage Usage_;
  /// The attempt is already billed and needs no commit.
  bool Committed_ = false;
  MSGPACK_DEFINE(Attempt_, End_, Length_, Usage_, Committed_)
};

/// The router no longer needs the attempt. The agent stops the attempt when no
/// router needs it.
struct Cancel {
  base::Incarnation Router_;
  AttemptRef Attempt_;
  MSGPACK_DEFINE(Router_, Attempt_)
};

/// Queries an attempt. The agent answers with AttemptStatus, and sends a
/// running or kept answer to the querying router from Offset_ on. A query for
/// an unknown attempt refuses that attempt permanently, unless its ticket is so
/// old that the agent may have forgotten the attempt.
struct QueryAttempt {
  base::Incarnation Router_;
  AttemptRef Attempt_;
  std::uint64_t Offset_ = 0;
  MSGPACK_DEFINE(Router_, Attempt_, Offset_)
};

/// What an agent knows about an attempt.
enum class AttemptState {
  NeverRan, ///< Refused: before, or by this query for an unseen attempt.
  Running,
  Finished,  ///< Ended, successfully or not.
  Dropped,   ///< Ran, but its answer is no longer kept.
  Forgotten, ///< Too old to be remembered; the attempt may have run.
};

/// Answers a QueryAttempt.
struct AttemptStatus {
  AttemptRef Attempt_;
  AttemptState State_ = AttemptState::Forgotten;
  MSGPACK_DEFINE(Attempt_, State_)
};

/// An Idempotency-Key, unique within the caller's account.
struct ClaimKey {
  base::AccountId Account_;
  std::string Key_;
  friend bool operator==(const ClaimKey &, const ClaimKey &) = default;
  MSGPACK_DEFINE(Account_, Key_)
};

/// Asks a claim holder to record the key for this request, or to report the
/// request that already uses the key.
struct ClaimRequest {
  base::Incarnation Holder_;
  ClaimKey Key_;
  base::RequestId Request_;
  /// Hash of the request's content. The same key with different content is
  /// refused.
  std::uint64_t Fingerprint_ = 0;
  MSGPACK_DEFINE(Holder_, Key_, Request_, Fingerprint_)
};

/// What a claim holder knows about a key.
enum class ClaimState {
  Fresh,     ///< The key is recorded for the asking request.
  Held,      ///< An earlier request with the same content has the key.
  KeyReused, ///< An earlier request with different content has the key.
  Full,      ///< The holder can record no more keys.
};

/// Answers a ClaimRequest.
struct ClaimReply {
  base::Incarnation Holder_;
  ClaimKey Key_;
  base::RequestId Request_;
  ClaimState State_ = ClaimState::Full;
  /// If Held: the confirmed attempt, else the last one reported, if any.
  std::optional<AttemptRef> Attempt_;
  /// If Held: Attempt_ is confirmed, so it is the one to be billed.
  bool Confirmed_ = false;
  MSGPACK_DEFINE(Holder_, Key_, Request_, State_, Attempt_, Confirmed_)
};

/// Tells a claim holder which attempt now runs for a key.
struct ClaimUpdate {
  base::Incarnation Holder_;
  ClaimKey Key_;
  AttemptRef Attempt_;
  MSGPACK_DEFINE(Holder_, Key_, Attempt_)
};

/// Asks a claim holder to confirm this attempt as the only one to be billed for
/// the key.
struct ClaimConfirm {
  base::Incarnation Holder_;
  ClaimKey Key_;
  base::RequestId Request_;
  std::uint64_t Fingerprint_ = 0;
  AttemptRef Attempt_;
  MSGPACK_DEFINE(Holder_, Key_, Request_, Fingerprint_, Attempt_)
};

/// Answers a ClaimConfirm. The holder confirms the first attempt that it is
/// asked to confirm, and reports that one from then on.
struct ClaimConfirmReply {
  base::Incarnation Holder_;
  ClaimKey Key_;
  base::RequestId Request_;
  /// The attempt that the ClaimConfirm named.
  AttemptRef RequestedAttempt_;
  /// The confirmed attempt. Absent if the holder can record no more keys.
  std::optional<AttemptRef> Confirmed_;
  MSGPACK_DEFINE(Holder_, Key_, Request_, RequestedAttempt_, Confirmed_)
};

/// Asks a claim holder to release the claim of a request that has not run.
struct ClaimRelease {
  base::Incarnation Holder_;
  ClaimKey Key_;
  base::RequestId Request_;
  MSGPACK_DEFINE(Holder_, Key_, Request_)
};

/// Answers a ClaimRelease.
struct ClaimReleaseReply {
  base::Incarnation Holder_;
  ClaimKey Key_;
  base::RequestId Request_;
  /// The claim is removed: no other request with the same content had asked for
  /// the key, and no attempt was confirmed.
  bool Released_ = false;
  MSGPACK_DEFINE(Holder_, Key_, Request_, Released_)
};

/// Asks an agent to bill an attempt that was started by another request, from
/// the slice that the attempt was started with.
struct JoinCommit {
  base::Incarnation Router_;
  base::RequestId Request_;
  AttemptRef Attempt_;
  MSGPACK_DEFINE(Router_, Request_, Attempt_)
};

/// Answers a JoinCommit. The result is final.
struct JoinCommitReply {
  base::RequestId Request_;
  AttemptRef Attempt_;
  /// The attempt is billed; otherwise it never will be.
  bool Committed_ = false;
  MSGPACK_DEFINE(Request_, Attempt_, Committed_)
};

/// Every message of this library from a router to an agent.
using ToAgent =
    std::variant<Heartbeat, StartAttempt, Cancel, QueryAttempt, ClaimRequest,
                 ClaimUpdate, ClaimConfirm, ClaimRelease, JoinCommit>;

/// Every message of this library from an agent to a router.
using ToRouter =
    std::variant<HeartbeatReply, Accepted, Refused, Chunk, Finished,
                 AttemptStatus, ClaimReply, ClaimConfirmReply,
                 ClaimReleaseReply, JoinCommitReply>;

} // namespace camphorwind::request

MSGPACK_ADD_ENUM(camphorwind::request::AttemptEnd)
MSGPACK_ADD_ENUM(camphorwind::request::AttemptState)
MSGPACK_ADD_ENUM(camphorwind::request::ClaimState)

#endif // CAMPHORWIND_REQUEST_MESSAGES_H
