#ifndef CAMPHORWIND_NET_HTTP_CLIENT_H
#define CAMPHORWIND_NET_HTTP_CLIENT_H

#include "camphorwind/base/result.h"
#include "camphorwind/base/time.h"
#include "camphorwind/net/http.h"
#include "camphorwind/net/loop.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

/// HTTP/1.1 client by libcurl's multi interface on the process's loop.
namespace camphorwind::net {

/// One call to make.
struct HttpCall {
  std::string Method_ = "GET";
  std::string Url_;
  HttpHeaders Headers_;
  std::string Body_;
  std::chrono::milliseconds ConnectTimeout_{2000};
  /// Limit for the whole call; zero for none.
  std::chrono::milliseconds Timeout_{0};
  /// Longest silence of the peer once connected; zero for none.
  std::chrono::milliseconds StallTimeout_{0};
  /// Uses a connection of its own. If a kept connection turns out dead, libcurl
  /// sends a call without a body again, and one with a body ends as Lost.
  bool FreshConnection_ = false;
};

/// Why a call got no whole answer.
enum class HttpCallErrorKind {
  NotSent,   ///< No connection was made: the request never left.
  Lost,      ///< The connection broke after the request may have left.
  TimedOut,  ///< The limit for the whole call passed.
  Stalled,   ///< The peer was silent for too long.
  Malformed, ///< The answer is not valid HTTP.
};

/// A call without a whole answer.
struct HttpCallError {
  HttpCallErrorKind Kind_ = HttpCallErrorKind::Lost;
  /// The library's message.
  std::string Detail_;
};

/// Whether more of the body may be delivered now.
enum class BodyFlow { Continue, Pause };

/// Callbacks of one call. Exactly one OnEnd_ follows, unless cancelled.
struct HttpCallEvents {
  /// All header fields, before OnHead_. May be empty.
  std::function<void(HttpHeaders Headers)> OnHeaders_;
  /// Status and content type, before the first byte of the body.
  std::function<void(unsigned Status, std::string_view ContentType)> OnHead_;
  /// Returning Pause delivers the same bytes again after resume().
  std::function<BodyFlow(std::string_view Data)> OnBody_;
  /// Gets the status once the body is whole.
  std::function<void(base::Result<unsigned, HttpCallError>)> OnEnd_;
};

/// Identifies a call while it is in progress.
using HttpCallId = std::uint64_t;

/// Makes calls; keeps connections for reuse.
class HttpClient {
public:
  /// Fails with IoErrorKind::ResourceLimit.
  static base::Result<std::unique_ptr<HttpClient>, base::IoError>
  create(Loop &Owner);
  ~HttpClient();
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  /// Starts a call; callbacks come later from the loop.
  HttpCallId start(HttpCall Call, HttpCallEvents Events);
  /// Starts a call and collects the whole body.
  HttpCallId
  fetch(HttpCall Call,
        std::function<void(base::Result<HttpAnswer, HttpCallError>)> OnEnd);
  /// Ends a call without further callbacks; closes its connection.
  void cancel(HttpCallId Id);
  /// Continues a call paused by BodyFlow::Pause.
  void resume(HttpCallId Id);
  std::size_t inProgress() const;

private:
  struct Impl;
  explicit HttpClient(std::unique_ptr<Impl> Inner);

  std::unique_ptr<Impl> Inner_;
};

} // namespace camphorwind::net

#endif // CAMPHORWIND_NET_HTTP_CLIENT_H
