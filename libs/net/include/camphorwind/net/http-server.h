#ifndef CAMPHORWIND_NET_HTTP_SERVER_H
#define CAMPHORWIND_NET_HTTP_SERVER_H

#include "camphorwind/base/result.h"
#include "camphorwind/base/time.h"
#include "camphorwind/net/http.h"
#include "camphorwind/net/loop.h"
#include "camphorwind/net/request-memory.h"
#include "camphorwind/net/socket.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

/// HTTP/1.1 server on the process's loop. Messages are parsed by Boost.Beast.
namespace camphorwind::net {

/// Limits of one server.
struct HttpServerLimits {
  /// A larger request body is answered 413, after it was read if it is not
  /// very much larger.
  std::size_t BodyBytes_ = 4UL * 1024 * 1024;
  /// A larger header section is answered 431.
  std::uint32_t HeaderBytes_ = 32U * 1024;
  /// Beyond it, or when the system has no room for more, the connection that
  /// is idle for longest makes room for a new one. With a limit on the memory
  /// for requests, so do unfinished requests without progress, which are
  /// answered 503.
  unsigned Connections_ = 4096;
  /// Bytes held for requests: unfinished ones, and whole ones until the
  /// application has destroyed them. Beyond it, unfinished requests are
  /// answered 503; the application never sees them.
  RequestMemoryLimits RequestMemory_;
  /// An idle connection is closed after this time.
  std::chrono::milliseconds IdleTimeout_{75000};
  /// A request whose header section is not whole after this time is answered
  /// 408.
  std::chrono::milliseconds HeadTimeout_{75000};
  /// A caller that takes nothing of its answer for this time is disconnected;
  /// one that sends nothing of its body, without a BodyTimeLimit, is answered
  /// 408.
  std::chrono::milliseconds StallTimeout_{75000};
  /// A caller that has not taken an aborted stream after this time is
  /// disconnected with a reset.
  std::chrono::milliseconds AbortGrace_{250};
};

/// How a caller's connection ended.
enum class ConnectionEnd {
  CallerClosed,  ///< The caller closed it, or at least its sending side.
  CallerReset,   ///< The caller reset it, or it was lost.
  Answered,      ///< It was closed behind an answer, as announced.
  Aborted,       ///< The application called HttpExchange::abortStream().
  AnswerFailed,  ///< This server could not send the answer.
  TimedOut,      ///< A time limit of this server passed.
  Evicted,       ///< It was idle, and made room for a new one.
  ServerStopped, ///< The server was destroyed.
};

/// Returns the name used in logs and metrics, such as "caller_closed".
std::string_view toString(ConnectionEnd End);

/// Whether the caller, or the way to it, ended the connection.
bool isCallersOwn(ConnectionEnd End);

/// One request in progress and its answer. Shared by the server and the
/// application; safe to use after the caller has hung up.
class HttpExchange {
public:
  virtual ~HttpExchange() = default;

  /// Sends a whole answer. Later calls have no effect.
  virtual void respond(HttpAnswer Answer) = 0;
  /// Starts a streamed answer.
  virtual void startStream(unsigned Status, HttpHeaders Headers) = 0;
  /// Appends to a streamed answer.
  virtual void write(std::string_view Data) = 0;
  /// Ends a streamed answer after all that was written.
  virtual void endStream() = 0;
  /// Cuts a streamed answer off after all that was written, so that the caller
  /// sees it is not whole. See HttpServerLimits::AbortGrace_.
  virtual void abortStream() = 0;
  /// Bytes written that the caller's connection has not taken yet.
  virtual std::size_t buffered() const = 0;
  /// True once the caller is gone or the answer is out.
  virtual bool closed() const = 0;
  /// Looks whether the caller has left although the loop has not read that yet,
  /// and ends the connection in that case, as if it had been read. Returns
  /// whether the connection has ended.
  virtual bool endIfCallerLeft() = 0;
  /// \p Callback runs once if the connection ends before the answer is out.
  virtual void onHangup(std::function<void(ConnectionEnd)> Callback) = 0;
  /// \p Callback runs whenever the connection has taken buffered bytes.
  virtual void onDrain(std::function<void()> Callback) = 0;
};

using HttpHandler =
    std::function<void(HttpRequest, std::shared_ptr<HttpExchange>)>;

/// Makes the answers that the server gives by itself; \p Status is 400, 408,
/// 413, 431 or 503.
using HttpErrorAnswer = std::function<HttpAnswer(unsigned Status)>;

/// Returns how long the caller may take to send the body that belongs to
/// \p Head, counted from `Head.arrivedAt()`; nothing for no limit. Called once
/// for each request whose body did not arrive with its header section.
using BodyTimeLimit =
    std::function<std::optional<base::Duration>(const HttpRequest &Head)>;

/// A listening server.
class HttpServer {
public:
  /// Fails with IoErrorKind::InvalidArgument, AddressInUse or Library.
  static base::Result<std::unique_ptr<HttpServer>, base::IoError>
  create(Loop &Owner, const Address &Local, HttpServerLimits Limits,
         HttpHandler Handler, HttpErrorAnswer ErrorAnswer = nullptr);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// The address bound to, with the port that the system chose.
  const Address &address() const;
  /// Closes every connection after its next answer; new ones are accepted.
  void closeAfterAnswers();
  /// Stops accepting connections; requests in progress go on, and their
  /// connections close after the answer. Idle ones close within seconds.
  void stopAccepting();
  /// Changes the limits for requests and connections that begin from now on.
  /// A connection that is idle keeps the longer idle timeout, which its caller
  /// may still count on.
  void setLimits(const HttpServerLimits &Limits);
  /// \p Callback runs for each connection that ends, whether or not a request
  /// is in progress.
  void onConnectionEnd(std::function<void(ConnectionEnd)> Callback);
  /// Sets the limit after which a request without its whole body is answered
  /// 408. The handler never sees such a request.
  void setBodyTimeLimit(BodyTimeLimit Limit);
  /// Number of requests whose answer is not out, or behind which a connection
  /// is still being closed.
  std::size_t inProgress() const;
  /// Bytes held for requests; see HttpServerLimits::RequestMemory_.
  std::size_t requestBytes() const;

private:
  struct Impl;
  explicit HttpServer(std::unique_ptr<Impl> Inner);

  std::unique_ptr<Impl> Inner_;
};

} // namespace camphorwind::net

#endif // CAMPHORWIND_NET_HTTP_SERVER_H
