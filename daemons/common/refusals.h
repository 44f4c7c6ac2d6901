#ifndef CAMPHORWIND_DAEMONS_COMMON_REFUSALS_H
#define CAMPHORWIND_DAEMONS_COMMON_REFUSALS_H

#include "camphorwind/base/reasons.h"
#include "camphorwind/net/http.h"

#include <chrono>
#include <optional>
#include <string>

/// How callers are told that they get no whole answer.
namespace camphorwind::daemons {

/// A request that ends without a whole answer.
struct CallerError {
  base::RefusalReason Reason_ = base::RefusalReason::Internal;
  base::Ran Ran_ = base::Ran::No;
  /// When the caller may come back, if that helps.
  std::optional<std::chrono::milliseconds> RetryAfter_;
  /// What is wrong with the request, for reasons that the caller can mend.
  std::string Detail_;
  /// The call may not be repeated unless it is known not to have run.
  bool NonIdempotent_ = false;
};

/// Returns the HTTP status for \p Reason if the request has not run.
unsigned httpStatusOf(base::RefusalReason Reason);

/// Returns the HTTP status for \p Error: that of its reason, or 502 if the
/// request may have run and that status would deny it.
unsigned httpStatusOf(const CallerError &Error);

/// Whether a final response with \p Status tells callers that the request has
/// not run and never will: 408, 421, 429 or 503.
bool isNotExecutedStatus(unsigned Status);

/// Returns the reason for \p Status if a server refuses a request with it that
/// it has not read whole: 400, 408, 413, 431 or 503.
base::RefusalReason reasonOfUnread(unsigned Status);

/// Returns the OpenAI error object, with `code` and `ran`, as JSON text.
std::string errorBody(const CallerError &Error);

/// Returns the answer that tells the caller.
net::HttpAnswer errorAnswer(const CallerError &Error);

} // namespace camphorwind::daemons

#endif // CAMPHORWIND_DAEMONS_COMMON_REFUSALS_H
