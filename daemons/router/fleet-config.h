#ifndef CAMPHORWIND_DAEMONS_ROUTER_FLEET_CONFIG_H
#define CAMPHORWIND_DAEMONS_ROUTER_FLEET_CONFIG_H

#include "camphorwind/config/configuration.h"
#include "camphorwind/config/keys.h"
#include "camphorwind/config/spread.h"
#include "camphorwind/net/loop.h"
#include "camphorwind/platform/platform-client.h"
#include "camphorwind/wire/protocol.h"

#include <functional>
#include <memory>
#include <unordered_map>

namespace camphorwind::router {

/// A configuration in force, as requests keep it from their start.
struct FleetView {
  config::Revision Revision_;
  config::Configuration Configuration_;
  config::KeyRing Keys_;
};

struct FleetConfigEvents {
  /// Another configuration is in force.
  std::function<void()> OnChange_;
  /// Sends to an agent; a message that can't be sent is dropped.
  std::function<void(const base::Incarnation &, const wire::ToAgent &)> Send_;
};

/// Brings the accepted configuration into force in this router, and exchanges
/// what is known of it with the agents it is linked to.
class FleetConfig {
public:
  /// Fails with config::SpreadError for intervals that are not positive.
  static base::Result<std::unique_ptr<FleetConfig>, config::SpreadError>
  create(net::Loop &Owner, platform::PlatformClient &Platform,
         std::chrono::milliseconds Poll, FleetConfigEvents Events);

  /// A link to an agent answers, or no longer does.
  void onAgentUp(const base::Incarnation &Agent);
  void onAgentDown(const base::Incarnation &Agent);
  void onMessage(const base::Incarnation &Agent, const config::Announce &Value);
  void onMessage(const base::Incarnation &Agent,
                 const config::ContentRequest &Value);
  void onMessage(const base::Incarnation &Agent, const config::Content &Value);

  /// Null until a configuration is in force.
  const std::shared_ptr<const FleetView> &view() const { return View_; }
  const config::SpreadCounters &counters() const { return Spread_.counters(); }

private:
  FleetConfig(net::Loop &Owner, platform::PlatformClient &Platform,
              config::Spread Spread, FleetConfigEvents Events);
  void perform(const config::SpreadActions &Actions);
  void perform(const config::PollCurrent &Action);
  void perform(const config::FetchObject &Action);
  void perform(const config::PutInForce &Action);
  void perform(const config::SendAnnounce &Action);
  void perform(const config::SendRequest &Action);
  void perform(const config::SendContent &Action);
  template <class Message>
  void sendTo(config::PeerNumber Peer, const Message &Value);
  std::optional<config::PeerNumber>
  numberOf(const base::Incarnation &Agent) const;
  void wakeLater();

  net::Loop &Owner_;
  platform::PlatformClient &Platform_;
  config::Spread Spread_;
  FleetConfigEvents Events_;
  net::Timer Timer_;
  std::shared_ptr<const FleetView> View_;
  std::unordered_map<base::Incarnation, config::PeerNumber> Numbers_;
  std::unordered_map<config::PeerNumber, base::Incarnation> Agents_;
  config::PeerNumber NextNumber_ = 1;
};

} // namespace camphorwind::router

#endif // CAMPHORWIND_DAEMONS_ROUTER_FLEET_CONFIG_H
