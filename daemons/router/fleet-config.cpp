#include "fleet-config.h"

#include "camphorwind/config/parse.h"
#include "camphorwind/observe/log.h"

#include <algorithm>
#include <utility>

namespace camphorwind::router {

using namespace std::chrono_literals;

namespace {

constexpr base::Duration LongestSleep = 1s;

} // namespace

base::Result<std::unique_ptr<FleetConfig>, config::SpreadError>
FleetConfig::create(net::Loop &Owner, platform::PlatformClient &Platform,
                    std::chrono::milliseconds Poll, FleetConfigEvents Events) {
  config::SpreadSettings Settings;
  Settings.Poll_ = Poll;
  BOOST_OUTCOME_TRY(Spread, config::Spread::create(Settings, Owner.now()));
  return std::unique_ptr<FleetConfig>(
      new FleetConfig(Owner, Platform, std::move(Spread), std::move(Events)));
}

FleetConfig::FleetConfig(net::Loop &Owner, platform::PlatformClient &Platform,
                         config::Spread Spread, FleetConfigEvents Events)
    : Owner_(Owner), Platform_(Platform), Spread_(std::move(Spread)),
      Events_(std::move(Events)),
      Timer_(Owner, [this] { perform(Spread_.onTimer(Owner_.now())); }) {
  Timer_.start(0s);
}

void FleetConfig::perform(const config::SpreadActions &Actions) {
  for (const config::SpreadAction &Action : Actions)
    std::visit([&](const auto &Value) { perform(Value); }, Action);
  wakeLater();
}

void FleetConfig::perform(const config::PollCurrent &) {
  Platform_.read(std::string(config::CurrentKey),
                 [this](base::ReadResult Read) {
                   perform(Spread_.onRow(Owner_.now(), Read));
                 });
}

void FleetConfig::perform(const config::FetchObject &Action) {
  Platform_.getObject(Action.Name_, [this, Name = Action.Name_](auto Got) {
    std::optional<std::string> Bytes;
    if (Got)
      Bytes = std::move(Got).value();
    perform(Spread_.onObject(Owner_.now(), Name, Bytes));
  });
}

void FleetConfig::perform(const config::PutInForce &Action) {
  auto Parsed = config::parse(Action.Text_, toString(Action.Revision_));
  if (!Parsed) {
    observe::log(observe::LogLevel::Error, "configuration_not_applied",
                 {{"revision", toString(Action.Revision_)},
                  {"fault", toString(Parsed.error().front())}});
    return;
  }
  auto Next = std::make_shared<FleetView>();
  Next->Revision_ = Action.Revision_;
  Next->Configuration_ = std::move(Parsed).value();
  Next->Keys_ = config::KeyRing::fromConfiguration(Next->Configuration_);
  View_ = std::move(Next);
  observe::log(observe::LogLevel::Info, "configuration_in_force",
               {{"revision", toString(Action.Revision_)}});
  Events_.OnChange_();
}

void FleetConfig::onAgentUp(const base::Incarnation &Agent) {
  onAgentDown(Agent);
  config::PeerNumber Number = NextNumber_++;
  Numbers_[Agent] = Number;
  Agents_[Number] = Agent;
  perform(Spread_.onPeerUp(Owner_.now(), Number));
}

void FleetConfig::onAgentDown(const base::Incarnation &Agent) {
  auto Number = numberOf(Agent);
  if (!Number)
    return;
  Numbers_.erase(Agent);
  Agents_.erase(*Number);
  perform(Spread_.onPeerDown(Owner_.now(), *Number));
}

void FleetConfig::onMessage(const base::Incarnation &Agent,
                            const config::Announce &Value) {
  if (auto Number = numberOf(Agent))
    perform(Spread_.onAnnounce(Owner_.now(), *Number, Value));
}

void FleetConfig::onMessage(const base::Incarnation &Agent,
                            const config::ContentRequest &Value) {
  if (auto Number = numberOf(Agent))
    perform(Spread_.onRequest(*Number, Value));
}

void FleetConfig::onMessage(const base::Incarnation &,
                            const config::Content &Value) {
  perform(Spread_.onContent(Owner_.now(), Value));
}

std::optional<config::PeerNumber>
FleetConfig::numberOf(const base::Incarnation &Agent) const {
  auto Found = Numbers_.find(Agent);
  if (Found == Numbers_.end())
    return std::nullopt;
  return Found->second;
}

template <class Message>
void FleetConfig::sendTo(config::PeerNumber Peer, const Message &Value) {
  auto Found = Agents_.find(Peer);
  if (Found != Agents_.end())
    Events_.Send_(Found->second, Value);
}

void FleetConfig::perform(const config::SendAnnounce &Action) {
  sendTo(Action.Peer_, Action.Message_);
}

void FleetConfig::perform(const config::SendRequest &Action) {
  sendTo(Action.Peer_, Action.Message_);
}

void FleetConfig::perform(const config::SendContent &Action) {
  sendTo(Action.Peer_, Action.Message_);
}

void FleetConfig::wakeLater() {
  base::TimePoint At = Spread_.wakeAt();
  base::TimePoint Now = Owner_.now();
  base::Duration Wait = At <= Now                 ? base::Duration(1ms)
                        : At - Now > LongestSleep ? LongestSleep
                                                  : At - Now;
  Timer_.start(Wait);
}

} // namespace camphorwind::router
