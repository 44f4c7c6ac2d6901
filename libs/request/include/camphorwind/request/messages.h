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

/// What routers and agents say to each other about requests. Links may drop,
/// delay, repeat and reorder all of it.
namespace camphorwind::request {

/// Permission of one agent incarnation for one router to start attempts. It
/// lapses by the agent's clock; see Tickets.
struct Ticket {
  base::Incarnation Agent_;
  /// By the agent's monotonic clock.
  std::chrono::microseconds GrantedAt_{0};
  friend bool operator==(const Ticket &, const Ticket &) = default;
  MSGPACK_DEFINE(Agent_, GrantedAt_)
};

/// Router to agent, at a fixed interval on every link.
struct Heartbeat {
  base::Incarnation Router_;
  std::uint64_t Sequence_ = 0;
  MSGPACK_DEFINE(Router_, Sequence_)
};

/// The agent's answer to a Heartbeat. Without a ticket the router must not
/// start attempts there: the agent is leaving or has sealed the router.
struct HeartbeatReply {
  base::Incarnation Agent_;
  std::uint64_t Sequence_ = 0;
  std::optional<Ticket> Ticket_;
  bool Leaving_ = false;
  MSGPACK_DEFINE(Agent_, Sequence_, Ticket_, Leaving_)
};

/// An attempt together with the agent incarnation it was sent to. An id is
/// never used for a second agent.
struct AttemptRef {
  base::AttemptId Attempt_;
  base::Incarnation Agent_;
  /// When the ticket that permits it was granted, by the agent's clock. Tells
  /// the agent whether it would still remember the attempt.
  std::chrono::microseconds TicketGrantedAt_{0};
  friend bool operator==(const AttemptRef &, const AttemptRef &) = default;
  MSGPACK_DEFINE(Attempt_, Agent_, TicketGrantedAt_)
};

/// What the endpoint is asked to do.
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
  /// Most tokens that the attempt may cost, prompt included.
  base::Tokens Bound_;
  /// Time left until the caller's deadline, from receipt.
  std::chrono::milliseconds TimeLeft_{0};
  bool NonIdempotent_ = false;
  EndpointCall Call_;
  MSGPACK_DEFINE(Attempt_, Request_, Router_, Account_, Budget_, Slice_, Bound_,
                 TimeLeft_, NonIdempotent_, Call_)
};

/// The agent has taken the attempt and may already have reached its endpoint.
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

/// Start of the endpoint's answer.
struct AnswerHead {
  std::uint16_t HttpStatus_ = 200;
  std::string ContentType_;
  friend bool operator==(const AnswerHead &, const AnswerHead &) = default;
  MSGPACK_DEFINE(HttpStatus_, ContentType_)
};

/// Part of an answer.
struct Chunk {
  AttemptRef Attempt_;
  /// Position of the first byte in the whole answer.
  std::uint64_t Offset_ = 0;
  /// Present at offset 0.
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
  EndpointFailed,  ///< The endpoint broke off.
  EndpointStalled, ///< The endpoint went silent for the stall limit.
  DeadlineExceeded,
  Cancelled,
};

/// Last message of an accepted attempt.
struct Finished {
  AttemptRef Attempt_;
  AttemptEnd End_ = AttemptEnd::Complete;
  /// Bytes of the whole answer; the receiver must hold that many.
  std::uint64_t Length_ = 0;
  Usage Usage_;
  /// The attempt is already billed: nothing is left to commit.
  bool Committed_ = false;
  MSGPACK_DEFINE(Attempt_, End_, Length_, Usage_, Committed_)
};

/// The router no longer wants the attempt. It is stopped once no router does.
struct Cancel {
  base::Incarnation Router_;
  AttemptRef Attempt_;
  MSGPACK_DEFINE(Router_, Attempt_)
};

/// Asks about an attempt. The agent answers with AttemptStatus, and sends a
/// running or kept answer to the asking router from Offset_ on. An attempt
/// that the agent has not seen is refused for good.
struct QueryAttempt {
  base::Incarnation Router_;
  AttemptRef Attempt_;
  std::uint64_t Offset_ = 0;
  MSGPACK_DEFINE(Router_, Attempt_, Offset_)
};

/// What an agent knows about an attempt.
enum class AttemptState {
  NeverRan, ///< Refused, or never seen and from now on refused.
  Running,
  Finished,
  Dropped,   ///< Ran, but its answer is no longer kept.
  Forgotten, ///< Too old to be known; it may have run.
};

/// Answers a QueryAttempt.
struct AttemptStatus {
  AttemptRef Attempt_;
  AttemptState State_ = AttemptState::Forgotten;
  MSGPACK_DEFINE(Attempt_, State_)
};

/// A caller's Idempotency-Key within its account.
struct ClaimKey {
  base::AccountId Account_;
  std::string Key_;
  friend bool operator==(const ClaimKey &, const ClaimKey &) = default;
  MSGPACK_DEFINE(Account_, Key_)
};

/// Asks a claim holder for the request with this key.
struct ClaimRequest {
  base::Incarnation Holder_;
  ClaimKey Key_;
  base::RequestId Request_;
  /// Hash of the request's content; the same key with other content is refused.
  std::uint64_t Fingerprint_ = 0;
  MSGPACK_DEFINE(Holder_, Key_, Request_, Fingerprint_)
};

/// What a claim holder knows about a key.
enum class ClaimState {
  Fresh,     ///< Seen for the first time; now recorded for the asking request.
  Held,      ///< Another request with this key came before.
  KeyReused, ///< Another request with this key had other content.
  Full,      ///< The holder can record no more keys.
};

/// Answers a ClaimRequest.
struct ClaimReply {
  base::Incarnation Holder_;
  ClaimKey Key_;
  base::RequestId Request_;
  ClaimState State_ = ClaimState::Full;
  /// With Held: the newest attempt reported, if any.
  std::optional<AttemptRef> Attempt_;
  /// With Held: the attempt is the one to be billed.
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

/// Asks a claim holder to let this attempt, and no other, be billed.
struct ClaimConfirm {
  base::Incarnation Holder_;
  ClaimKey Key_;
  base::RequestId Request_;
  std::uint64_t Fingerprint_ = 0;
  AttemptRef Attempt_;
  MSGPACK_DEFINE(Holder_, Key_, Request_, Fingerprint_, Attempt_)
};

/// Answers a ClaimConfirm with the attempt that the holder has confirmed: the
/// first one it was asked for.
struct ClaimConfirmReply {
  base::Incarnation Holder_;
  ClaimKey Key_;
  base::RequestId Request_;
  AttemptRef RequestedAttempt_;
  /// Absent when the holder can record no more keys.
  std::optional<AttemptRef> Confirmed_;
  MSGPACK_DEFINE(Holder_, Key_, Request_, RequestedAttempt_, Confirmed_)
};

/// Takes back the claim of a request that has not run.
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
  /// No other request ever asked for the key; the claim is forgotten.
  bool Released_ = false;
  MSGPACK_DEFINE(Holder_, Key_, Request_, Released_)
};

/// Bills an attempt that another request started, under the slice that the
/// attempt was started with.
struct JoinCommit {
  base::Incarnation Router_;
  base::RequestId Request_;
  AttemptRef Attempt_;
  MSGPACK_DEFINE(Router_, Request_, Attempt_)
};

/// Answers a JoinCommit: the attempt is billed, or never will be.
struct JoinCommitReply {
  base::RequestId Request_;
  AttemptRef Attempt_;
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
