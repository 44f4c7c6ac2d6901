#include "refusals.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace camphorwind::daemons {

namespace {

using base::RefusalReason;

struct ReasonText {
  unsigned Status_;
  const char *Message_;
};

ReasonText describe(RefusalReason Reason) {
  switch (Reason) {
  case RefusalReason::MalformedRequest:
    return {400, "The request could not be read."};
  case RefusalReason::BoundTooLarge:
    return {400, "The request may cost more than its budget can ever cover."};
  case RefusalReason::UnknownKey:
    return {401, "The key is missing or not known."};
  case RefusalReason::BudgetSpent:
    return {402, "The prepaid budget does not cover this request."};
  case RefusalReason::UnknownModel:
    return {404, "There is no such model for this account."};
  case RefusalReason::UnknownService:
    return {404, "There is no such service call for this account."};
  case RefusalReason::NotFound:
    return {404, "There is nothing at this path."};
  case RefusalReason::MethodNotAllowed:
    return {405, "This path does not take that method."};
  case RefusalReason::BodyTooLate:
    return {408, "The request was not whole in time."};
  case RefusalReason::AnswerNotKept:
    return {410, "The request has been answered; the answer is not kept."};
  case RefusalReason::BodyTooLarge:
    return {413, "The request body is too large."};
  case RefusalReason::KeyReused:
    return {422, "The idempotency key was used for another request."};
  case RefusalReason::TooManyConnections:
  case RefusalReason::QueueFull:
    return {429, "Too many requests are waiting."};
  case RefusalReason::HeadersTooLarge:
    return {431, "The request headers are too large."};
  case RefusalReason::ClaimLost:
  case RefusalReason::IntentHeldElsewhere:
    return {409, "The same call is in progress or may have run."};
  case RefusalReason::CallerGone:
    return {499, "The caller hung up."};
  case RefusalReason::Internal:
    return {500, "The router failed."};
  case RefusalReason::EndpointFailed:
    return {502, "The endpoint failed."};
  case RefusalReason::LinkLost:
    return {502, "The connection to the endpoint was lost."};
  case RefusalReason::CommitUnconfirmed:
    return {502, "It is not known whether the request was billed."};
  case RefusalReason::Overloaded:
    return {503, "The endpoints are overloaded."};
  case RefusalReason::RetryBudgetSpent:
    return {503, "Too many requests are being retried."};
  case RefusalReason::DeadlineUnreachable:
    return {503, "No answer can be expected before the deadline."};
  case RefusalReason::Quarantined:
    return {503, "This request, or a part of its prompt, has crashed several "
                 "endpoints."};
  case RefusalReason::NoSliceTableUnreachable:
    return {503, "The budget can't be drawn on at the moment."};
  case RefusalReason::StreamUnknown:
    return {503, "It is not known which software version began the stream."};
  case RefusalReason::StreamTableUnreachable:
    return {503, "The stream can't be recorded at the moment."};
  case RefusalReason::NoEndpoint:
    return {503, "No endpoint is available."};
  case RefusalReason::Evacuated:
    return {503, "All endpoints are evacuated at the moment."};
  case RefusalReason::HostOverloaded:
    return {503, "This router is overloaded."};
  case RefusalReason::MemoryLimit:
    return {503, "This router holds too many requests."};
  case RefusalReason::TicketLapsed:
  case RefusalReason::AgentLeaving:
    return {503, "The endpoint takes no work at the moment."};
  case RefusalReason::RouterSealed:
    return {503, "This router may not bill any more."};
  case RefusalReason::ClaimUnreachable:
  case RefusalReason::IntentTableUnreachable:
    return {503, "The call can't be recorded at the moment."};
  case RefusalReason::ShuttingDown:
    return {503, "The router is shutting down."};
  case RefusalReason::NotReady:
    return {503, "The router is not ready yet."};
  case RefusalReason::DeadlineExceeded:
    return {504, "The deadline has passed."};
  case RefusalReason::EndpointStalled:
    return {504, "The endpoint went silent."};
  default:
    return {502, "The request got no whole answer."};
  }
}

/// Whole seconds stay whole; other spans are written with a fraction.
std::string secondsText(std::chrono::milliseconds Span) {
  constexpr auto PerSecond = 1000;
  if (Span.count() % PerSecond == 0)
    return fmt::format("{}", Span.count() / PerSecond);
  return fmt::format("{}.{:03}", Span.count() / PerSecond,
                     Span.count() % PerSecond);
}

const char *typeOf(unsigned Status) {
  constexpr unsigned FirstServerError = 500;
  if (Status == 401)
    return "authentication_error";
  if (Status == 402)
    return "insufficient_quota";
  if (Status == 429)
    return "rate_limit_error";
  return Status < FirstServerError ? "invalid_request_error" : "server_error";
}

} // namespace

unsigned httpStatusOf(RefusalReason Reason) { return describe(Reason).Status_; }

bool isNotExecutedStatus(unsigned Status) {
  constexpr std::array<unsigned, 4> Statuses{408, 421, 429, 503};
  return std::find(Statuses.begin(), Statuses.end(), Status) != Statuses.end();
}

RefusalReason reasonOfUnread(unsigned Status) {
  constexpr unsigned BadRequest = 400;
  constexpr unsigned RequestTimeout = 408;
  constexpr unsigned HeadersTooLarge = 431;
  constexpr unsigned ServiceUnavailable = 503;
  switch (Status) {
  case BadRequest:
    return RefusalReason::MalformedRequest;
  case RequestTimeout:
    return RefusalReason::BodyTooLate;
  case HeadersTooLarge:
    return RefusalReason::HeadersTooLarge;
  case ServiceUnavailable:
    return RefusalReason::MemoryLimit;
  default:
    return RefusalReason::BodyTooLarge;
  }
}

unsigned httpStatusOf(const CallerError &Error) {
  constexpr unsigned BadGateway = 502;
  unsigned Status = httpStatusOf(Error.Reason_);
  return Error.Ran_ != base::Ran::No && isNotExecutedStatus(Status) ? BadGateway
                                                                    : Status;
}

std::string errorBody(const CallerError &Error) {
  std::string Message = describe(Error.Reason_).Message_;
  if (!Error.Detail_.empty())
    Message += " " + Error.Detail_;
  nlohmann::ordered_json Body{{"error",
                               {{"message", Message},
                                {"type", typeOf(httpStatusOf(Error))},
                                {"param", nullptr},
                                {"code", toString(Error.Reason_)},
                                {"ran", toString(Error.Ran_)}}}};
  return Body.dump(-1, ' ', false,
                   nlohmann::ordered_json::error_handler_t::replace);
}

net::HttpAnswer errorAnswer(const CallerError &Error) {
  net::HttpAnswer Answer =
      net::jsonAnswer(httpStatusOf(Error), errorBody(Error));
  if (Error.RetryAfter_)
    Answer.Headers_.add("Retry-After", secondsText(*Error.RetryAfter_));
  // The OpenAI client libraries repeat many failed calls unless told not to.
  if (Error.NonIdempotent_ && Error.Ran_ != base::Ran::No)
    Answer.Headers_.add("x-should-retry", "false");
  return Answer;
}

} // namespace camphorwind::daemons
