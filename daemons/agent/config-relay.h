#ifndef CAMPHORWIND_DAEMONS_AGENT_CONFIG_RELAY_H
#define CAMPHORWIND_DAEMONS_AGENT_CONFIG_RELAY_H

#include "router-links.h"

#include "camphorwind/config/spread.h"
#include "camphorwind/net/loop.h"

#include <functional>
#include <memory>
#include <unordered_map>

namespace camphorwind::agent {

/// Learns the accepted configuration from the routers linked to this agent and
/// keeps it for those that start while the table can't be reached.
class ConfigRelay {
public:
  /// Sends on a control stream; a message that can't be sent is dropped.
  using Send = std::function<void(StreamRef, const wire::ToRouter &)>;

  /// Fails with config::SpreadError for intervals that are not positive.
  static base::Result<std::unique_ptr<ConfigRelay>, config::SpreadError>
  create(net::Loop &Owner, Send OnSend);

  /// A heartbeat came on this stream: it is a router's control stream.
  void onHeartbeat(StreamRef Control);
  void onStreamClosed(StreamRef Stream);
  void onMessage(StreamRef Control, const config::Announce &Value);
  void onMessage(StreamRef Control, const config::ContentRequest &Value);
  void onMessage(StreamRef Control, const config::Content &Value);

  const config::Spread &spread() const { return Spread_; }

private:
  ConfigRelay(net::Loop &Owner, config::Spread Spread, Send OnSend);
  void perform(const config::SpreadActions &Actions);
  void perform(const config::SendAnnounce &Action);
  void perform(const config::SendRequest &Action);
  void perform(const config::SendContent &Action);
  void perform(const config::PutInForce &Action);
  /// An agent reads neither table nor objects.
  void perform(const config::PollCurrent &) {}
  void perform(const config::FetchObject &) {}
  template <class Message>
  void sendTo(config::PeerNumber Peer, const Message &Value);
  void wakeLater();

  net::Loop &Owner_;
  config::Spread Spread_;
  Send Send_;
  net::Timer Timer_;
  /// Control streams by the number of their link.
  std::unordered_map<config::PeerNumber, StreamRef> Controls_;
};

} // namespace camphorwind::agent

#endif // CAMPHORWIND_DAEMONS_AGENT_CONFIG_RELAY_H
