#include "camphorwind/base/reasons.h"

#include <algorithm>

namespace camphorwind::base {

std::string_view toString(Ran Value) {
  switch (Value) {
  case Ran::No:
    return "no";
  case Ran::Unknown:
    return "unknown";
  case Ran::Yes:
    return "yes";
  }
  return "invalid";
}

std::string_view toString(RefusalReason Reason) {
  switch (Reason) {
  case RefusalReason::MalformedRequest:
    return "malformed_request";
  case RefusalReason::BodyTooLarge:
    return "body_too_large";
  case RefusalReason::BodyTooLate:
    return "body_too_late";
  case RefusalReason::HeadersTooLarge:
    return "headers_too_large";
  case RefusalReason::UnknownKey:
    return "unknown_key";
  case RefusalReason::UnknownModel:
    return "unknown_model";
  case RefusalReason::UnknownService:
    return "unknown_service";
  case RefusalReason::NotFound:
    return "not_found";
  case RefusalReason::MethodNotAllowed:
    return "method_not_allowed";
  case RefusalReason::TooManyConnections:
    return "too_many_connections";
  case RefusalReason::QueueFull:
    return "queue_full";
  case RefusalReason::Overloaded:
    return "overloaded";
  case RefusalReason::DeadlineUnreachable:
    return "deadline_unreachable";
  case RefusalReason::DeadlineExceeded:
    return "deadline_exceeded";
  case RefusalReason::Quarantined:
    return "quarantined";
  case RefusalReason::BudgetSpent:
    return "budget_spent";
  case RefusalReason::NoSliceTableUnreachable:
    return "no_slice_table_unreachable";
  case RefusalReason::BoundTooLarge:
    return "bound_too_large";
  case RefusalReason::StreamUnknown:
    return "stream_unknown";
  case RefusalReason::StreamTableUnreachable:
    return "stream_table_unreachable";
  case RefusalReason::NoEndpoint:
    return "no_endpoint";
  case RefusalReason::Evacuated:
    return "evacuated";
  case RefusalReason::HostOverloaded:
    return "host_overloaded";
  case RefusalReason::MemoryLimit:
    return "memory_limit";
  case RefusalReason::EndpointFailed:
    return "endpoint_failed";
  case RefusalReason::EndpointStalled:
    return "endpoint_stalled";
  case RefusalReason::TicketLapsed:
    return "ticket_lapsed";
  case RefusalReason::AgentLeaving:
    return "agent_leaving";
  case RefusalReason::RouterSealed:
    return "router_sealed";
  case RefusalReason::LinkLost:
    return "link_lost";
  case RefusalReason::CommitUnconfirmed:
    return "commit_unconfirmed";
  case RefusalReason::IntentTableUnreachable:
    return "intent_table_unreachable";
  case RefusalReason::IntentHeldElsewhere:
    return "intent_held_elsewhere";
  case RefusalReason::AnswerNotKept:
    return "answer_not_kept";
  case RefusalReason::KeyReused:
    return "key_reused";
  case RefusalReason::CallerGone:
    return "caller_gone";
  case RefusalReason::ShuttingDown:
    return "shutting_down";
  case RefusalReason::NotReady:
    return "not_ready";
  case RefusalReason::ClaimUnreachable:
    return "claim_unreachable";
  case RefusalReason::ClaimLost:
    return "claim_lost";
  case RefusalReason::RetryBudgetSpent:
    return "retry_budget_spent";
  case RefusalReason::Internal:
    return "internal";
  }
  return "invalid";
}

std::string_view toString(RetryReason Reason) {
  switch (Reason) {
  case RetryReason::TicketLapsed:
    return "ticket_lapsed";
  case RetryReason::AgentLeaving:
    return "agent_leaving";
  case RetryReason::AgentRefused:
    return "agent_refused";
  case RetryReason::LinkLost:
    return "link_lost";
  case RetryReason::LinkSilent:
    return "link_silent";
  case RetryReason::EndpointRefused:
    return "endpoint_refused";
  case RetryReason::EndpointFailed:
    return "endpoint_failed";
  case RetryReason::EndpointStalled:
    return "endpoint_stalled";
  case RetryReason::TableConflict:
    return "table_conflict";
  case RetryReason::TableUnavailable:
    return "table_unavailable";
  case RetryReason::ReplyLost:
    return "reply_lost";
  case RetryReason::CommitReplyLost:
    return "commit_reply_lost";
  }
  return "invalid";
}

namespace {

template <class Enum, std::size_t Size>
constexpr std::array<Enum, Size> enumerate() {
  std::array<Enum, Size> Values{};
  for (std::size_t Index = 0; Index < Size; ++Index)
    Values[Index] = static_cast<Enum>(Index);
  return Values;
}

} // namespace

const std::array<RefusalReason, RefusalReasonCount> AllRefusalReasons =
    enumerate<RefusalReason, RefusalReasonCount>();
const std::array<RetryReason, RetryReasonCount> AllRetryReasons =
    enumerate<RetryReason, RetryReasonCount>();

std::optional<RefusalReason> refusalReasonFromString(std::string_view Name) {
  const auto *Found = std::find_if(
      AllRefusalReasons.begin(), AllRefusalReasons.end(),
      [&](RefusalReason Reason) { return toString(Reason) == Name; });
  if (Found == AllRefusalReasons.end())
    return std::nullopt;
  return *Found;
}

} // namespace camphorwind::base
