#include "config-relay.h"

#include "camphorwind/observe/log.h"

#include <algorithm>
#include <utility>

namespace camphorwind::agent {

using namespace std::chrono_literals;

base::Result<std::unique_ptr<ConfigRelay>, config::SpreadError>
ConfigRelay::create(net::Loop &Owner, Send OnSend) {
  config::SpreadSettings Settings;
  Settings.Poll_ = base::Duration::zero();
  BOOST_OUTCOME_TRY(Spread, config::Spread::create(Settings, Owner.now()));
  return std::unique_ptr<ConfigRelay>(
      new ConfigRelay(Owner, std::move(Spread), std::move(OnSend)));
}

ConfigRelay::ConfigRelay(net::Loop &Owner, config::Spread Spread, Send OnSend)
    : Owner_(Owner), Spread_(std::move(Spread)), Send_(std::move(OnSend)),
      Timer_(Owner, [this] { perform(Spread_.onTimer(Owner_.now())); }) {
  wakeLater();
}

void ConfigRelay::onHeartbeat(StreamRef Control) {
  if (!Controls_.emplace(Control.Link_, Control).second)
    return;
  perform(Spread_.onPeerUp(Owner_.now(), Control.Link_));
}

void ConfigRelay::onStreamClosed(StreamRef Stream) {
  auto Found = Controls_.find(Stream.Link_);
  if (Found == Controls_.end() || Found->second != Stream)
    return;
  Controls_.erase(Found);
  perform(Spread_.onPeerDown(Owner_.now(), Stream.Link_));
}

void ConfigRelay::onMessage(StreamRef Control, const config::Announce &Value) {
  onHeartbeat(Control);
  perform(Spread_.onAnnounce(Owner_.now(), Control.Link_, Value));
}

void ConfigRelay::onMessage(StreamRef Control,
                            const config::ContentRequest &Value) {
  onHeartbeat(Control);
  perform(Spread_.onRequest(Control.Link_, Value));
}

void ConfigRelay::onMessage(StreamRef, const config::Content &Value) {
  perform(Spread_.onContent(Owner_.now(), Value));
}

void ConfigRelay::perform(const config::SpreadActions &Actions) {
  for (const config::SpreadAction &Action : Actions)
    std::visit([&](const auto &Value) { perform(Value); }, Action);
  wakeLater();
}

template <class Message>
void ConfigRelay::sendTo(config::PeerNumber Peer, const Message &Value) {
  auto Found = Controls_.find(Peer);
  if (Found != Controls_.end())
    Send_(Found->second, Value);
}

void ConfigRelay::perform(const config::SendAnnounce &Action) {
  sendTo(Action.Peer_, Action.Message_);
}

void ConfigRelay::perform(const config::SendRequest &Action) {
  sendTo(Action.Peer_, Action.Message_);
}

void ConfigRelay::perform(const config::SendContent &Action) {
  sendTo(Action.Peer_, Action.Message_);
}

void ConfigRelay::perform(const config::PutInForce &Action) {
  observe::log(observe::LogLevel::Info, "configuration_in_force",
               {{"revision", toString(Action.Revision_)}});
}

void ConfigRelay::wakeLater() {
  constexpr base::Duration LongestSleep = 1s;
  base::TimePoint Now = Owner_.now();
  base::TimePoint At = std::min(Spread_.wakeAt(), Now + LongestSleep);
  Timer_.start(std::max<base::Duration>(At - Now, 1ms));
}

} // namespace camphorwind::agent
