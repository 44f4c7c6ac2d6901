#ifndef CAMPHORWIND_BASE_REASONS_H
#define CAMPHORWIND_BASE_REASONS_H

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

/// Closed lists of why something was refused or tried again. Each value has a
/// counter; its name is the metric label and the `code` in answers to callers.
namespace camphorwind::base {

/// What is known about a request's effect when it gets no whole answer.
enum class Ran {
  No,      ///< No attempt ever reached an endpoint; proved.
  Unknown, ///< An attempt may have run.
  Yes,     ///< An attempt ran.
};

/// Why a request was refused or ended without a whole answer.
enum class RefusalReason {
  MalformedRequest,
  BodyTooLarge,
  BodyTooLate,
  HeadersTooLarge,
  UnknownKey,
  UnknownModel,
  UnknownService,
  NotFound,
  MethodNotAllowed,
  TooManyConnections,
  QueueFull,
  Overloaded,
  DeadlineUnreachable,
  DeadlineExceeded,
  Quarantined,
  BudgetSpent,
  NoSliceTableUnreachable,
  BoundTooLarge,
  NoEndpoint,
  /// All endpoints are in failure domains that the operator has evacuated.
  Evacuated,
  /// This host is too far behind to serve the request in time.
  HostOverloaded,
  /// Requests that are being read or forwarded fill this host's memory.
  MemoryLimit,
  StreamUnknown,
  /// A new stream can't be recorded, so that it could not be taken up safely.
  StreamTableUnreachable,
  EndpointFailed,
  EndpointStalled,
  TicketLapsed,
  AgentLeaving,
  RouterSealed,
  LinkLost,
  CommitUnconfirmed,
  IntentTableUnreachable,
  IntentHeldElsewhere,
  AnswerNotKept,
  KeyReused,
  CallerGone,
  ShuttingDown,
  NotReady,
  ClaimUnreachable,
  ClaimLost,
  RetryBudgetSpent,
  Internal,
};

/// Why a request was tried at another endpoint or a message sent again.
enum class RetryReason {
  TicketLapsed,
  AgentLeaving,
  AgentRefused,
  LinkLost,
  LinkSilent,
  EndpointRefused,
  EndpointFailed,
  EndpointStalled,
  TableConflict,
  TableUnavailable,
  ReplyLost,
  CommitReplyLost,
};

inline constexpr auto RefusalReasonCount =
    static_cast<std::size_t>(RefusalReason::Internal) + 1;
inline constexpr auto RetryReasonCount =
    static_cast<std::size_t>(RetryReason::CommitReplyLost) + 1;

/// Return the names as used in metrics and answers, such as "budget_spent".
std::string_view toString(Ran Value);
std::string_view toString(RefusalReason Reason);
std::string_view toString(RetryReason Reason);

/// Every value in declaration order, for registering counters at start.
extern const std::array<RefusalReason, RefusalReasonCount> AllRefusalReasons;
extern const std::array<RetryReason, RetryReasonCount> AllRetryReasons;

/// Returns the reason with the name \p Name, if there is one.
std::optional<RefusalReason> refusalReasonFromString(std::string_view Name);

} // namespace camphorwind::base

#endif // CAMPHORWIND_BASE_REASONS_H
