#ifndef CAMPHORWIND_DAEMONS_AGENT_ROUTER_LINKS_H
#define CAMPHORWIND_DAEMONS_AGENT_ROUTER_LINKS_H

#include "camphorwind/base/address.h"
#include "camphorwind/base/result.h"
#include "camphorwind/wire/link.h"
#include "camphorwind/wire/protocol.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>
#include <unordered_map>

namespace camphorwind::agent {

/// A stream of one of the links; stays unique after both are gone.
struct StreamRef {
  std::uint64_t Link_ = 0;
  wire::StreamId Stream_ = 0;
  friend bool operator==(const StreamRef &, const StreamRef &) = default;
};

struct RouterLinksEvents {
  std::function<void(StreamRef, wire::ToAgent)> OnMessage_;
  std::function<void(StreamRef)> OnDrain_;
  std::function<void(StreamRef)> OnStreamClosed_;
};

/// Accepts links from routers and exchanges messages on their streams.
class RouterLinks {
public:
  /// Fails with IoErrorKind::AddressInUse or InvalidArgument.
  static base::Result<std::unique_ptr<RouterLinks>, base::IoError>
  create(net::Loop &Owner, const base::Address &Local,
         RouterLinksEvents Events);

  const base::Address &address() const { return Address_; }
  /// Returns false, and sends nothing, if the stream is over.
  bool send(StreamRef Stream, std::string_view Packed);
  void finish(StreamRef Stream);
  std::size_t buffered(StreamRef Stream) const;
  std::size_t count() const { return Links_.size(); }
  /// Bytes moved over all links since the start.
  wire::LinkTraffic traffic() const;
  /// Messages that were not understood.
  std::uint64_t malformed() const { return Malformed_; }

private:
  RouterLinks(net::Loop &Owner, net::Socket Listening, base::Address Local,
              RouterLinksEvents Events);
  void acceptAll();
  void add(net::Socket Accepted);
  void remove(std::uint64_t Number);

  net::Loop &Owner_;
  net::Socket Listening_;
  base::Address Address_;
  RouterLinksEvents Events_;
  net::FdWatcher Acceptor_;
  std::unordered_map<std::uint64_t, std::unique_ptr<wire::Link>> Links_;
  std::uint64_t NextNumber_ = 1;
  std::uint64_t Malformed_ = 0;
  /// Bytes moved over links that are closed.
  wire::LinkTraffic ClosedTraffic_;
};

} // namespace camphorwind::agent

template <> struct std::hash<camphorwind::agent::StreamRef> {
  std::size_t operator()(const camphorwind::agent::StreamRef &Value) const {
    constexpr unsigned StreamBits = 32;
    return std::hash<std::uint64_t>()(
        (Value.Link_ << StreamBits) ^
        static_cast<std::uint64_t>(Value.Stream_));
  }
};

#endif // CAMPHORWIND_DAEMONS_AGENT_ROUTER_LINKS_H
