#ifndef CAMPHORWIND_WIRE_LINK_H
#define CAMPHORWIND_WIRE_LINK_H

#include "camphorwind/base/result.h"
#include "camphorwind/net/loop.h"
#include "camphorwind/net/socket.h"

#include <msgpack.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

/// Connections between the system's own processes: HTTP/2 by nghttp2, each
/// stream carrying msgpack objects one after another in both directions.
namespace camphorwind::wire {

/// A stream of one link; ids are never used again on that link.
using StreamId = std::int32_t;

/// What a link tells its owner. Callbacks run on the loop. A callback may
/// close the link but must not destroy it, except OnClosed_.
struct LinkEvents {
  /// The TCP connection stands (dialling side only).
  std::function<void()> OnConnected_;
  /// The peer has opened a stream (accepting side only).
  std::function<void(StreamId)> OnStream_;
  /// An object arrived; it is valid during the call only.
  std::function<void(StreamId, const msgpack::object &)> OnMessage_;
  /// The peer has taken buffered bytes of a stream.
  std::function<void(StreamId)> OnDrain_;
  /// A stream is over; `Whole` tells whether both sides had finished it.
  std::function<void(StreamId, bool Whole)> OnStreamClosed_;
  /// The link is over; every stream was reported closed before.
  std::function<void()> OnClosed_;
};

/// Bytes moved over one link since it was opened.
struct LinkTraffic {
  std::uint64_t SentBytes_ = 0;
  std::uint64_t ReceivedBytes_ = 0;

  LinkTraffic &operator+=(const LinkTraffic &Other) {
    SentBytes_ += Other.SentBytes_;
    ReceivedBytes_ += Other.ReceivedBytes_;
    return *this;
  }
};

/// One HTTP/2 connection. Destroying it closes it without callbacks.
class Link {
public:
  /// Starts to dial. Fails at once only for an address that is not one; every
  /// later failure is reported by OnClosed_.
  static base::Result<std::unique_ptr<Link>, base::IoError>
  connect(net::Loop &Owner, const net::Address &Remote, LinkEvents Events);
  /// Serves an accepted connection. Fails with IoErrorKind::Library.
  static base::Result<std::unique_ptr<Link>, base::IoError>
  accept(net::Loop &Owner, net::Socket Accepted, LinkEvents Events);
  ~Link();
  Link(const Link &) = delete;
  Link &operator=(const Link &) = delete;

  /// Opens a stream (dialling side only). Returns 0 if the link is closed.
  StreamId openStream();
  /// Queues one packed object. Returns false, and sends nothing ever, if the
  /// stream is over.
  bool send(StreamId Stream, std::string_view Packed);
  /// Says that nothing more will be sent on the stream.
  void finish(StreamId Stream);
  /// Ends a stream at once in both directions.
  void reset(StreamId Stream);
  /// Bytes queued on the stream that have not gone to the socket.
  std::size_t buffered(StreamId Stream) const;
  /// Stops granting the peer room to send on the stream; what is under way,
  /// at most StreamWindowBytes, still arrives.
  void hold(StreamId Stream);
  void release(StreamId Stream);

  bool open() const;
  /// Closes the connection; callbacks follow.
  void close();
  LinkTraffic traffic() const;

private:
  struct Impl;
  explicit Link(std::shared_ptr<Impl> Inner);

  std::shared_ptr<Impl> Inner_;
};

/// Bytes that a peer may send on one stream ahead of what was taken.
inline constexpr std::int32_t StreamWindowBytes = 256 * 1024;

} // namespace camphorwind::wire

#endif // CAMPHORWIND_WIRE_LINK_H
