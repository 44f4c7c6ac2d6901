#include "agent-links.h"

#include "camphorwind/wire/envelope.h"

#include <algorithm>
#include <utility>

namespace camphorwind::router {

namespace {

/// The attempt whose own stream a message is sent on; none for the others.
base::AttemptId ownStreamOf(const wire::ToAgent &Message) {
  if (const auto *Start = std::get_if<request::StartAttempt>(&Message))
    return Start->Attempt_.Attempt_;
  if (const auto *Query = std::get_if<request::QueryAttempt>(&Message))
    return Query->Attempt_.Attempt_;
  return {};
}

bool endsStream(const wire::ToRouter &Message) {
  return std::holds_alternative<request::Finished>(Message) ||
         std::holds_alternative<request::Refused>(Message);
}

} // namespace

AgentLinks::AgentLinks(net::Loop &Owner, base::Incarnation Router,
                       request::LinkSettings Settings, AgentLinksEvents Events)
    : Owner_(Owner), Router_(std::move(Router)), Settings_(Settings),
      Events_(std::move(Events)) {}

AgentLinks::~AgentLinks() = default;

void AgentLinks::setAgents(const std::vector<AgentAddress> &Wanted) {
  for (auto &[Endpoint, Known] : Peers_)
    Known->Wanted_ = false;
  for (const AgentAddress &Where : Wanted) {
    auto &Slot = Peers_[Where.Endpoint_];
    if (Slot && Slot->Where_.Address_ == Where.Address_) {
      Slot->Wanted_ = true;
      continue;
    }
    if (Slot)
      goDown(*Slot);
    Slot = std::make_unique<Peer>(
        Peer{Where, request::LinkMonitor(Router_, Settings_)});
    Slot->Monitor_.start(Owner_.now());
    perform(*Slot);
  }
  tick();
}

std::optional<request::Ticket>
AgentLinks::ticket(const base::EndpointId &Endpoint) const {
  const Peer *Known = find(Endpoint);
  if (!Known || !Known->Up_ || !Known->Wanted_)
    return std::nullopt;
  return Known->Ticket_;
}

base::Incarnation
AgentLinks::incarnation(const base::EndpointId &Endpoint) const {
  const Peer *Known = find(Endpoint);
  return Known ? Known->Agent_ : base::Incarnation();
}

std::optional<base::EndpointId>
AgentLinks::endpointOf(const base::Incarnation &Agent) const {
  auto Found = ByAgent_.find(Agent);
  if (Found == ByAgent_.end())
    return std::nullopt;
  return Found->second;
}

bool AgentLinks::send(const base::Incarnation &Agent,
                      const wire::ToAgent &Message) {
  auto Endpoint = endpointOf(Agent);
  Peer *Target = Endpoint ? find(*Endpoint) : nullptr;
  if (!Target || Target->Agent_ != Agent)
    return false;
  auto Number = Target->Monitor_.current();
  Connection *Open = Number ? connectionOf(*Target, *Number) : nullptr;
  if (!Open)
    return false;
  std::string Packed = wire::packAny<wire::ToAgent>(Message);
  base::AttemptId Attempt = ownStreamOf(Message);
  if (Attempt.empty())
    return Open->Link_->send(Open->Control_, Packed);
  wire::StreamId Stream = Open->Link_->openStream();
  if (Stream == 0)
    return false;
  ++Target->Streams_;
  Open->Attempts_[Stream] = Attempt;
  Streams_[Attempt] = {*Endpoint, *Number, Stream};
  return Open->Link_->send(Stream, Packed);
}

void AgentLinks::hold(const base::AttemptId &Attempt) {
  auto Found = Streams_.find(Attempt);
  if (Found == Streams_.end())
    return;
  if (wire::Link *Link = linkOf(Found->second))
    Link->hold(Found->second.Stream_);
}

void AgentLinks::release(const base::AttemptId &Attempt) {
  auto Found = Streams_.find(Attempt);
  if (Found == Streams_.end())
    return;
  if (wire::Link *Link = linkOf(Found->second))
    Link->release(Found->second.Stream_);
}

void AgentLinks::tick() {
  std::vector<base::EndpointId> Unwanted;
  for (auto &[Endpoint, Known] : Peers_) {
    if (!Known->Wanted_ && Known->Streams_ == 0) {
      Unwanted.push_back(Endpoint);
      continue;
    }
    Known->Monitor_.onTick(Owner_.now());
    perform(*Known);
  }
  for (const base::EndpointId &Endpoint : Unwanted) {
    goDown(*Peers_[Endpoint]);
    Peers_.erase(Endpoint);
  }
}

std::size_t AgentLinks::linked() const {
  return static_cast<std::size_t>(
      std::count_if(Peers_.begin(), Peers_.end(),
                    [](const auto &Entry) { return Entry.second->Up_; }));
}

wire::LinkTraffic AgentLinks::traffic() const {
  wire::LinkTraffic Sum = ClosedTraffic_;
  for (const auto &[Endpoint, Known] : Peers_)
    for (const auto &[Number, Open] : Known->Connections_)
      Sum += Open.Link_->traffic();
  return Sum;
}

AgentLinks::Peer *AgentLinks::find(const base::EndpointId &Endpoint) {
  return const_cast<Peer *>(std::as_const(*this).find(Endpoint));
}

const AgentLinks::Peer *
AgentLinks::find(const base::EndpointId &Endpoint) const {
  auto Found = Peers_.find(Endpoint);
  return Found == Peers_.end() ? nullptr : Found->second.get();
}

AgentLinks::Connection *
AgentLinks::connectionOf(Peer &Target, request::ConnectionNumber Number) {
  auto Found = Target.Connections_.find(Number);
  return Found == Target.Connections_.end() ? nullptr : &Found->second;
}

wire::Link *AgentLinks::linkOf(const AttemptStream &Stream) {
  Peer *Target = find(Stream.Endpoint_);
  Connection *Open =
      Target ? connectionOf(*Target, Stream.Connection_) : nullptr;
  return Open ? Open->Link_.get() : nullptr;
}

void AgentLinks::perform(Peer &Target) {
  for (const request::LinkAction &Action : Target.Monitor_.takeActions()) {
    if (const auto *Dial = std::get_if<request::Dial>(&Action))
      dial(Target, Dial->Connection_);
    else if (const auto *Close = std::get_if<request::CloseConnection>(&Action))
      hangup(Target, Close->Connection_);
    else if (const auto *Beat = std::get_if<request::SendHeartbeat>(&Action)) {
      if (Connection *Open = connectionOf(Target, Beat->Connection_))
        Open->Link_->send(Open->Control_,
                          wire::packAs<wire::ToAgent>(Beat->Message_));
    } else if (std::holds_alternative<request::UseConnection>(Action))
      use(Target);
    else
      goDown(Target);
  }
}

void AgentLinks::dial(Peer &Target, request::ConnectionNumber Number) {
  wire::LinkEvents Events;
  const base::EndpointId &Endpoint = Target.Where_.Endpoint_;
  Events.OnConnected_ = [this, Endpoint, Number] {
    onConnected(Endpoint, Number);
  };
  Events.OnMessage_ = [this, Endpoint, Number](wire::StreamId Stream,
                                               const msgpack::object &Object) {
    onObject(Endpoint, Number, Stream, Object);
  };
  Events.OnStreamClosed_ = [this, Endpoint, Number](wire::StreamId Stream,
                                                    bool) {
    onStreamClosed(Endpoint, Number, Stream);
  };
  Events.OnClosed_ = [this, Endpoint, Number] { onClosed(Endpoint, Number); };
  auto Link =
      wire::Link::connect(Owner_, Target.Where_.Address_, std::move(Events));
  if (!Link) {
    Owner_.post([this, Endpoint, Number] { onClosed(Endpoint, Number); });
    return;
  }
  Target.Connections_[Number] = {std::move(Link).value(), 0, {}};
}

void AgentLinks::hangup(Peer &Target, request::ConnectionNumber Number) {
  Connection *Open = connectionOf(Target, Number);
  if (!Open)
    return;
  // A callback of the link may be running.
  Open->Link_->close();
}

void AgentLinks::use(Peer &Target) {
  Target.Up_ = true;
  Events_.OnUp_(Target.Where_.Endpoint_, Target.Agent_);
}

void AgentLinks::goDown(Peer &Target) {
  Target.Ticket_.reset();
  if (!std::exchange(Target.Up_, false))
    return;
  Events_.OnTicket_(Target.Where_.Endpoint_);
  Events_.OnDown_(Target.Where_.Endpoint_, Target.Agent_);
}

void AgentLinks::onConnected(const base::EndpointId &Endpoint,
                             request::ConnectionNumber Number) {
  Peer *Target = find(Endpoint);
  Connection *Open = Target ? connectionOf(*Target, Number) : nullptr;
  if (!Open)
    return;
  Open->Control_ = Open->Link_->openStream();
  Target->Monitor_.onConnected(Number, Owner_.now());
  perform(*Target);
}

void AgentLinks::onObject(const base::EndpointId &Endpoint,
                          request::ConnectionNumber Number,
                          wire::StreamId Stream,
                          const msgpack::object &Object) {
  auto Message = wire::unpackAny<wire::ToRouter>(Object);
  Peer *Target = find(Endpoint);
  if (!Message || !Target)
    return;
  if (const auto *Reply =
          std::get_if<request::HeartbeatReply>(&Message.value()))
    return onHeartbeat(*Target, Number, *Reply);
  Target->Monitor_.onHeard(Number, Owner_.now());
  perform(*Target);
  if (endsStream(Message.value()))
    if (Connection *Open = connectionOf(*Target, Number))
      Open->Link_->finish(Stream);
  Events_.OnMessage_(Endpoint, Message.value());
}

void AgentLinks::onHeartbeat(Peer &Target, request::ConnectionNumber Number,
                             const request::HeartbeatReply &Reply) {
  if (Target.Agent_ != Reply.Agent_) {
    base::Incarnation Earlier = std::exchange(Target.Agent_, Reply.Agent_);
    ByAgent_[Reply.Agent_] = Target.Where_.Endpoint_;
    if (!Earlier.empty()) {
      ByAgent_.erase(Earlier);
      Events_.OnGone_(Earlier);
    }
  }
  Target.Ticket_ = Reply.Ticket_;
  Target.Monitor_.onHeard(Number, Owner_.now());
  perform(Target);
  Events_.OnTicket_(Target.Where_.Endpoint_);
}

void AgentLinks::onStreamClosed(const base::EndpointId &Endpoint,
                                request::ConnectionNumber Number,
                                wire::StreamId Stream) {
  Peer *Target = find(Endpoint);
  Connection *Open = Target ? connectionOf(*Target, Number) : nullptr;
  if (!Open)
    return;
  auto Closed = Open->Attempts_.find(Stream);
  if (Closed == Open->Attempts_.end())
    return;
  --Target->Streams_;
  // The attempt may have been asked about on a newer stream since.
  auto Known = Streams_.find(Closed->second);
  if (Known != Streams_.end() && Known->second.Connection_ == Number &&
      Known->second.Stream_ == Stream)
    Streams_.erase(Known);
  Open->Attempts_.erase(Closed);
}

void AgentLinks::onClosed(const base::EndpointId &Endpoint,
                          request::ConnectionNumber Number) {
  Peer *Target = find(Endpoint);
  if (!Target)
    return;
  if (Connection *Closed = connectionOf(*Target, Number))
    ClosedTraffic_ += Closed->Link_->traffic();
  Target->Connections_.erase(Number);
  Target->Monitor_.onClosed(Number, Owner_.now());
  perform(*Target);
}

} // namespace camphorwind::router
