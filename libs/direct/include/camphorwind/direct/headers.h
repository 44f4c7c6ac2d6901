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

/// What the headers of forwarded messages say. The names are data, so that a
/// deployment with other names needs no code of its own here.
namespace camphorwind::direct {

/// Header names towards callers and endpoints; the defaults are the product's
/// own.
struct HeaderNames {
  std::string AttemptId_ = "X-Attempt-Id";
  /// Milliseconds that the caller still waits.
  std::string TimeLeft_ = "X-Time-Left-Ms";
  std::string Model_ = "X-Model";
  /// Prompt tokens and largest number of output tokens, `1460,80`.
  std::string TokenBounds_ = "X-Token-Bounds";
  /// Parts of the prompt as `ID:TOKENS`, separated by commas.
  std::string PromptParts_ = "X-Prompt-Parts";
  std::string LastEventId_ = "Last-Event-ID";
  std::string Account_ = "X-Account";
  /// The endpoint refuses a request for another instance.
  std::string ExpectedInstance_ = "X-Expect-Instance";
  /// Urgency, 0 to 9; 0 is the most urgent.
  std::string Urgency_ = "X-Priority";
  /// Address of an engine to copy cached parts of the prompt from.
  std::string FetchCacheFrom_ = "X-Cache-From";
  /// Proves that an endpoint made the answer.
  std::string Signature_ = "X-Signature";
  /// Present where the endpoint did not run the request.
  std::string NotExecuted_ = "X-Not-Executed";
  /// Running requests, waiting requests and slots: `3,0,8`.
  std::string Load_ = "X-Load";
  /// Set by routers only; a caller's own are removed.
  std::vector<std::string> Reserved_;
};

/// What a caller's request says of itself.
struct RequestMetadata {
  std::string AttemptId_;
  std::optional<std::chrono::milliseconds> TimeLeft_;
  std::string Host_;
  /// Empty if there is none.
  std::string ApiKey_;
  std::string Model_;
  std::optional<std::uint64_t> LastEventId_;
  bool HasTokenBounds_ = false;
  base::Tokens PromptTokens_;
  base::Tokens MaxOutputTokens_;
  std::vector<routing::PromptPart> PromptParts_;
};

/// Reads the headers of a caller's request.
RequestMetadata parseRequestHeaders(const net::HttpHeaders &Headers,
                                    const HeaderNames &Names);

/// What a router adds to the request that it sends on.
struct AttemptMetadata {
  std::chrono::milliseconds TimeLeft_{0};
  std::string ExpectedInstance_;
  /// Empty where the request needs no key.
  std::string Account_;
  std::optional<int> Urgency_;
  std::optional<std::uint64_t> LastEventId_;
  std::optional<base::Address> FetchCacheFrom_;
};

/// Returns the headers to send on: the caller's, without those that concern
/// one connection, that only routers set or that hold the key.
net::HttpHeaders makeAttemptHeaders(const net::HttpHeaders &FromCaller,
                                    const AttemptMetadata &Metadata,
                                    const HeaderNames &Names);

/// Load of an endpoint as it states it in an answer.
struct EndpointLoad {
  std::uint32_t Running_ = 0;
  std::uint32_t Waiting_ = 0;
  std::uint32_t Slots_ = 0;
};

/// What an endpoint's answer says of itself.
struct ResponseMetadata {
  bool Signed_ = false;
  bool NotExecuted_ = false;
  /// Empty if absent.
  std::string AttemptId_;
  std::optional<EndpointLoad> Load_;
};

ResponseMetadata parseResponseHeaders(const net::HttpHeaders &Headers,
                                      const HeaderNames &Names);

/// Returns the answer's headers as the caller gets them.
net::HttpHeaders makeResponseHeaders(const net::HttpHeaders &FromEndpoint);

} // namespace camphorwind::direct

#endif // CAMPHORWIND_DIRECT_HEADERS_H
