#ifndef CAMPHORWIND_DAEMONS_ROUTER_AGENT_LINKS_H
#define CAMPHORWIND_DAEMONS_ROUTER_AGENT_LINKS_H

#include "camphorwind/base/address.h"
#include "camphorwind/base/ids.h"
#include "camphorwind/net/loop.h"
#include "camphorwind/request/links.h"
#include "camphorwind/wire/link.h"
#include "camphorwind/wire/protocol.h"

#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace camphorwind::router {

/// Where the agent of an endpoint is reached.
struct AgentAddress {
  base::EndpointId Endpoint_;
  base::Address Address_;
};

struct AgentLinksEvents {
  /// A connection to the agent answers, for the first time or again.
  std::function<void(const base::EndpointId &, const base::Incarnation &)>
      OnUp_;
  /// No connection to the agent answers.
  std::function<void(const base::EndpointId &, const base::Incarnation &)>
      OnDown_;
  /// Another incarnation of the agent answers: the earlier one is gone.
  std::function<void(const base::Incarnation &)> OnGone_;
  /// The agent's latest heartbeat reply brought a ticket, or none.
  std::function<void(const base::EndpointId &)> OnTicket_;
  std::function<void(const base::EndpointId &, const wire::ToRouter &)>
      OnMessage_;
};

/// Keeps one answering connection to the agent of each endpoint, and sends on
/// it.
class AgentLinks {
public:
  AgentLinks(net::Loop &Owner, base::Incarnation Router,
             request::LinkSettings Settings, AgentLinksEvents Events);
  ~AgentLinks();

  /// Links to exactly these agents. A link that is no longer wanted is closed
  /// once no attempt uses it.
  void setAgents(const std::vector<AgentAddress> &Wanted);

  /// Returns the agent's ticket, while the link answers.
  std::optional<request::Ticket> ticket(const base::EndpointId &Endpoint) const;
  /// Returns the agent's incarnation, if it was ever heard.
  base::Incarnation incarnation(const base::EndpointId &Endpoint) const;
  std::optional<base::EndpointId>
  endpointOf(const base::Incarnation &Agent) const;

  /// Sends a message; one that starts or asks about an attempt gets a stream
  /// of its own. Returns false if it never left.
  bool send(const base::Incarnation &Agent, const wire::ToAgent &Message);
  /// Holds back, or lets go on, the answer of an attempt.
  void hold(const base::AttemptId &Attempt);
  void release(const base::AttemptId &Attempt);

  void tick();
  std::size_t linked() const;
  /// Bytes moved over all links since the start.
  wire::LinkTraffic traffic() const;

private:
  struct Connection {
    std::unique_ptr<wire::Link> Link_;
    wire::StreamId Control_ = 0;
    std::unordered_map<wire::StreamId, base::AttemptId> Attempts_;
  };
  struct Peer {
    AgentAddress Where_;
    request::LinkMonitor Monitor_;
    base::Incarnation Agent_;
    std::optional<request::Ticket> Ticket_;
    std::unordered_map<request::ConnectionNumber, Connection> Connections_;
    std::size_t Streams_ = 0;
    bool Up_ = false;
    bool Wanted_ = true;
  };
  struct AttemptStream {
    base::EndpointId Endpoint_;
    request::ConnectionNumber Connection_ = 0;
    wire::StreamId Stream_ = 0;
  };

  Peer *find(const base::EndpointId &Endpoint);
  const Peer *find(const base::EndpointId &Endpoint) const;
  Connection *connectionOf(Peer &Target, request::ConnectionNumber Number);
  wire::Link *linkOf(const AttemptStream &Stream);
  void perform(Peer &Target);
  void dial(Peer &Target, request::ConnectionNumber Number);
  void hangup(Peer &Target, request::ConnectionNumber Number);
  void use(Peer &Target);
  void goDown(Peer &Target);
  void onConnected(const base::EndpointId &Endpoint,
                   request::ConnectionNumber Number);
  void onObject(const base::EndpointId &Endpoint,
                request::ConnectionNumber Number, wire::StreamId Stream,
                const msgpack::object &Object);
  void onHeartbeat(Peer &Target, request::ConnectionNumber Number,
                   const request::HeartbeatReply &Reply);
  void onStreamClosed(const base::EndpointId &Endpoint,
                      request::ConnectionNumber Number, wire::StreamId Stream);
  void onClosed(const base::EndpointId &Endpoint,
                request::ConnectionNumber Number);

  net::Loop &Owner_;
  base::Incarnation Router_;
  request::LinkSettings Settings_;
  AgentLinksEvents Events_;
  std::unordered_map<base::EndpointId, std::unique_ptr<Peer>> Peers_;
  std::unordered_map<base::Incarnation, base::EndpointId> ByAgent_;
  std::unordered_map<base::AttemptId, AttemptStream> Streams_;
  /// Bytes moved over links that are closed.
  wire::LinkTraffic ClosedTraffic_;
};

} // namespace camphorwind::router

#endif // CAMPHORWIND_DAEMONS_ROUTER_AGENT_LINKS_H
