#ifndef CAMPHORWIND_NET_ORIGIN_CLIENT_H
#define CAMPHORWIND_NET_ORIGIN_CLIENT_H

#include "camphorwind/base/address.h"
#include "camphorwind/base/result.h"
#include "camphorwind/base/time.h"
#include "camphorwind/net/http.h"
#include "camphorwind/net/loop.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

/// HTTP/1.1 client for calls that may run only once.
///
/// libcurl sends a call again by itself when a kept connection turns out dead,
/// and does not tell whether a byte of it had left. This client never repeats
/// a request that may have reached the peer and says so in every error.
/// Messages are parsed by Boost.Beast.
namespace camphorwind::net {

/// One request to an endpoint, by address; names are never resolved.
struct OriginRequest {
  base::Address Endpoint_;
  /// Id that the peer repeats in its answer; empty for none. A connection
  /// carries each id at most once: a late copy of the answer to an earlier
  /// request with the same id could not be told from the answer to this one.
  std::string Id_;
  std::string Method_ = "GET";
  /// Path with query, as it goes into the request line.
  std::string Target_ = "/";
  /// Complete but for Content-Length, which is derived from the body.
  HttpHeaders Headers_;
  /// Shared by the attempts of one request; null for no body.
  std::shared_ptr<const std::string> Body_;
  /// Limit for a new connection to stand.
  std::chrono::milliseconds ConnectTimeout_{1000};
  /// Longest idle time of a kept connection that this request may use. A peer
  /// may have dropped an older one without notice, and the request with it.
  std::chrono::milliseconds MaxIdle_{60000};
};

/// Head of an answer.
struct OriginHead {
  unsigned Status_ = 0;
  std::string Reason_;
  HttpHeaders Headers_;
  /// The body ends with the connection: its length is not announced.
  bool EndsByClose_ = false;
  /// The connection has carried other requests before: an answer that does not
  /// say which request it belongs to may be a late one to them.
  bool ConnectionReused_ = false;
  /// Number of the connection among those that this client has made, from 1.
  std::uint64_t Connection_ = 0;
};

/// What to do with an answer whose head has arrived.
enum class HeadVerdict {
  Accept,
  /// The answer belongs to another request: drop it and wait for the next.
  Skip,
};

/// Why a request got no whole answer.
enum class OriginErrorKind {
  NotConnected,       ///< No connection could be made.
  TooManyConnections, ///< The limit for this endpoint is reached.
  Reset,              ///< The peer reset the connection.
  Closed,             ///< The connection ended before the answer did.
  Malformed,          ///< The bytes received are no HTTP answer, or are
                      ///< endless answers to other requests.
};

/// Returns the name used in logs and metrics, such as "not_connected".
std::string_view toString(OriginErrorKind Kind);

struct OriginError {
  OriginErrorKind Kind_ = OriginErrorKind::Reset;
  /// False proves that the peer received no byte of the request.
  bool MayHaveReached_ = true;
  std::string Detail_;
};

/// Callbacks of one request; none comes after OnEnd_ or cancel().
struct OriginEvents {
  std::function<HeadVerdict(const OriginHead &Head)> OnHead_;
  std::function<void(std::string_view Data)> OnBody_;
  /// Success once the answer is whole.
  std::function<void(base::Result<void, OriginError>)> OnEnd_;
  /// Asked right before the first byte of the request is sent, which may be
  /// long after start() if the process has paused. Unless it returns true, the
  /// request ends as if no connection could be made. May cancel the request.
  std::function<bool()> MaySend_;
};

struct OriginClientLimits {
  /// Connections to one endpoint, idle ones included.
  std::size_t ConnectionsPerEndpoint_ = 64;
  /// Idle connections kept to one endpoint.
  std::size_t IdlePerEndpoint_ = 32;
  /// Requests with an id that one connection carries before it is closed, which
  /// bounds the memory for their ids.
  std::size_t IdsPerConnection_ = 1000;
  /// A connection idle for longer is closed.
  std::chrono::milliseconds IdleTimeout_{30000};
  /// Largest header section, trailer or line of an answer, in bytes.
  std::uint32_t HeaderBytes_ = 64 * 1024;
};

/// Totals since the start.
struct OriginCounters {
  std::uint64_t Connects_ = 0;
  std::uint64_t ConnectFailures_ = 0;
  std::uint64_t Reuses_ = 0;
  /// Idle connections not used because they had carried the request's id.
  std::uint64_t RepeatedIds_ = 0;
  /// Answers dropped because they belonged to other requests.
  std::uint64_t ForeignAnswers_ = 0;
  /// Connections closed because bytes followed a complete answer.
  std::uint64_t ExtraBytes_ = 0;
  /// Connections closed because bytes arrived while they were idle, such as
  /// those of a late copy of an answer.
  std::uint64_t IdleBytes_ = 0;
};

using OriginCallId = std::uint64_t;

/// Sends requests and keeps connections for reuse. One loop, one thread.
class OriginClient {
public:
  OriginClient(Loop &Owner, OriginClientLimits Limits);
  ~OriginClient();
  OriginClient(const OriginClient &) = delete;
  OriginClient &operator=(const OriginClient &) = delete;

  /// Starts a request; callbacks come later, from the loop.
  OriginCallId start(OriginRequest Request, OriginEvents Events);
  /// Ends a request without further callbacks and closes its connection, which
  /// tells the peer to stop.
  void cancel(OriginCallId Id);
  /// Stops reading the answer, or goes on.
  void setReading(OriginCallId Id, bool Reading);
  /// Closes the idle connections to an endpoint.
  void dropIdle(const base::Address &Endpoint);
  /// Changes the limits for connections made from now on.
  void setConnectionsPerEndpoint(const base::Address &Endpoint,
                                 std::size_t Limit);
  const OriginCounters &counters() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Inner_;
};

} // namespace camphorwind::net

#endif // CAMPHORWIND_NET_ORIGIN_CLIENT_H
