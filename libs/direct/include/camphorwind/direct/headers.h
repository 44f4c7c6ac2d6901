#ifndef CAMPHORWIND_DIRECT_HEADERS_H
#define CAMPHORWIND_DIRECT_HEADERS_H

#include "camphorwind/base/address.h"
#include "camphorwind/base/ids.h"
#include "camphorwind/base/tokens.h"
#include "camphorwind/net/http.h"
#include "camphorwind/routing/prompt-cache.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Parses and builds the headers of forwarded requests and responses. Header
/// names are configurable, so that a deployment can use its own.
namespace camphorwind::direct {

/// Names of the headers exchanged with callers and endpoints.
struct HeaderNames {
  std::string AttemptId_ = "X-Attempt-Id";
  /// Time that the caller will still wait, in milliseconds.
  std::string TimeLeft_ = "X-Time-Left-Ms";
  std::string Model_ = "X-Model";
  /// Number of prompt tokens and maximum number of output tokens, such as
  /// `1460,80`.
  std::string TokenBounds_ = "X-Token-Bounds";
  /// Parts of the prompt as a comma-separated list of `ID:TOKENS`.
  std::string PromptParts_ = "X-Prompt-Parts";
  std::string LastEventId_ = "Last-Event-ID";
  /// Id of the caller's attempt that brought the first event of the stream that
  /// this request goes on with.
  std::string ResumedAttempt_ = "X-Resumed-Attempt";
  std::string Account_ = "X-Account";
  /// Id of the endpoint that the request is for; any other instance refuses the
  /// request.
  std::string ExpectedInstance_ = "X-Expect-Instance";
  /// Priority from 0, the most urgent, to 9.
  std::string Urgency_ = "X-Priority";
  /// Address of an engine to copy cached prompt parts from.
  std::string FetchCacheFrom_ = "X-Cache-From";
  /// Signature by which an endpoint marks its responses. Only the presence of
  /// the header is checked.
  std::string Signature_ = "X-Signature";
  /// Present if the endpoint did not run the request.
  std::string NotExecuted_ = "X-Not-Executed";
  /// Running requests, waiting requests, slots, and optionally how long work
  /// takes in percent of the usual time, such as `3,0,8` or `3,0,8,130`.
  std::string Load_ = "X-Load";
  /// `1` in all responses of an endpoint that is about to shut down.
  std::string Leaving_ = "X-Leaving";
  /// Requests per second that an endpoint in need takes from all routers
  /// together, such as `2.5`; in all its responses while that holds.
  std::string RequestLimit_ = "X-Request-Limit";
  /// Further headers that only routers may set; they are removed from callers'
  /// requests.
  std::vector<std::string> Reserved_;
};

/// Values from the headers of a caller's request.
struct RequestMetadata {
  std::string AttemptId_;
  std::optional<std::chrono::milliseconds> TimeLeft_;
  std::string Host_;
  /// Bearer token of the Authorization header; empty if there is none.
  std::string ApiKey_;
  std::string Model_;
  std::optional<std::uint64_t> LastEventId_;
  /// Empty if absent.
  std::string ResumedAttempt_;
  /// Whether PromptTokens_ and MaxOutputTokens_ were sent.
  bool HasTokenBounds_ = false;
  base::Tokens PromptTokens_;
  base::Tokens MaxOutputTokens_;
  std::vector<routing::PromptPart> PromptParts_;
};

/// Parses the headers of a caller's request. Missing and malformed headers
/// leave their values unset; malformed prompt parts are skipped.
RequestMetadata parseRequestHeaders(const net::HttpHeaders &Headers,
                                    const HeaderNames &Names);

/// Values that a router adds to the headers of a forwarded request.
struct AttemptMetadata {
  std::chrono::milliseconds TimeLeft_{0};
  std::string ExpectedInstance_;
  /// Empty if the request has no account.
  std::string Account_;
  std::optional<int> Urgency_;
  std::optional<std::uint64_t> LastEventId_;
  std::optional<base::Address> FetchCacheFrom_;
};

/// Returns the headers to forward to an endpoint: the caller's, without
/// hop-by-hop headers, headers that only routers set and the Authorization
/// header, plus those of \p Metadata.
net::HttpHeaders makeAttemptHeaders(const net::HttpHeaders &FromCaller,
                                    const AttemptMetadata &Metadata,
                                    const HeaderNames &Names);

/// Load that an endpoint reports in a response, in requests.
struct EndpointLoad {
  std::uint32_t Running_ = 0;
  std::uint32_t Waiting_ = 0;
  std::uint32_t Slots_ = 0;
  /// How long work takes at the moment, in percent of the usual time.
  std::optional<std::uint32_t> WorkTimePercent_;
};

/// Values from the headers of an endpoint's response.
struct ResponseMetadata {
  /// Whether the response has a signature header.
  bool Signed_ = false;
  bool NotExecuted_ = false;
  /// Empty if absent.
  std::string AttemptId_;
  std::optional<EndpointLoad> Load_;
  /// The endpoint is about to shut down and accepts no new requests.
  bool Leaving_ = false;
  /// Time for which the endpoint wants no more requests from this router, at
  /// most MaxHoldOff. Only read from a response with status 503.
  std::optional<std::chrono::milliseconds> HoldOff_;
  /// Requests per second that the endpoint takes from all routers together, not
  /// negative; unset if it states no limit or an unreadable one.
  std::optional<double> RequestLimit_;
  bool RequestLimitUnreadable_ = false;
  /// Names of the headers above whose value can't be parsed.
  std::vector<std::string> Malformed_;
};

/// Upper bound of `ResponseMetadata::HoldOff_`, so that an endpoint that states
/// an absurd time is eventually used again.
inline constexpr std::chrono::milliseconds MaxHoldOff = std::chrono::minutes(5);

/// Parses the headers of an endpoint's response with status \p Status. Absent
/// and malformed headers leave their values unset.
ResponseMetadata parseResponseHeaders(unsigned Status,
                                      const net::HttpHeaders &Headers,
                                      const HeaderNames &Names);

/// Returns the response headers to forward to the caller: the endpoint's,
/// without hop-by-hop headers.
net::HttpHeaders makeResponseHeaders(const net::HttpHeaders &FromEndpoint);

} // namespace camphorwind::direct

#endif // CAMPHORWIND_DIRECT_HEADERS_H
