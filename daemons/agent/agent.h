#ifndef CAMPHORWIND_DAEMONS_AGENT_AGENT_H
#define CAMPHORWIND_DAEMONS_AGENT_AGENT_H

#include "admin.h"
#include "config-relay.h"
#include "endpoint-caller.h"
#include "load-reader.h"
#include "router-links.h"
#include "settings.h"

#include "camphorwind/budget/witness.h"
#include "camphorwind/net/http-client.h"
#include "camphorwind/net/loop.h"
#include "camphorwind/observe/metrics.h"
#include "camphorwind/request/attempts.h"
#include "camphorwind/request/claims.h"
#include "camphorwind/request/tickets.h"

#include <functional>
#include <memory>
#include <unordered_map>

namespace camphorwind::agent {

/// The process beside one endpoint: takes attempts from routers, runs them at
/// the endpoint, and witnesses what is billed.
class Agent {
public:
  static base::Result<std::unique_ptr<Agent>, base::IoError>
  create(net::Loop &Owner, AgentSettings Settings);

  const base::Address &address() const { return Links_->address(); }
  const base::Address &adminAddress() const { return Admin_->address(); }
  const base::Incarnation &incarnation() const { return Incarnation_; }

  /// Takes no more work; calls back once the work in progress has ended and
  /// been billed, or after the drain limit.
  void leave(std::function<void()> OnDrained);

private:
  Agent(net::Loop &Owner, AgentSettings Settings,
        std::unique_ptr<net::HttpClient> Http, base::Incarnation Incarnation,
        budget::Witness Money);
  EndpointEvents endpointEvents();
  RouterLinksEvents linkEvents();
  std::string metricsText();

  void onMessage(StreamRef Stream, const wire::ToAgent &Message);
  void handle(StreamRef Stream, const request::Heartbeat &Beat);
  void handle(StreamRef Stream, const request::StartAttempt &Start);
  void handle(StreamRef Stream, const request::Cancel &Cancelled);
  void handle(StreamRef Stream, const request::QueryAttempt &Query);
  void handle(StreamRef Stream, const request::ClaimRequest &Asked);
  void handle(StreamRef Stream, const request::ClaimUpdate &Update);
  void handle(StreamRef Stream, const request::ClaimConfirm &Asked);
  void handle(StreamRef Stream, const request::ClaimRelease &Released);
  void handle(StreamRef Stream, const request::JoinCommit &Asked);
  void handle(StreamRef Stream, const budget::CommitRequest &Request);
  void handle(StreamRef Stream, const budget::FallbackCommitRequest &Request);
  void handle(StreamRef Stream, const budget::LivenessRequest &Request);
  void handle(StreamRef Stream, const budget::SealRequest &Request);
  void handle(StreamRef Stream, const config::Announce &News);
  void handle(StreamRef Stream, const config::ContentRequest &Asked);
  void handle(StreamRef Stream, const config::Content &Received);

  template <class Message> void send(StreamRef Stream, const Message &Value);
  void pump();
  void perform(const request::SendToRouter &Action);
  void perform(const request::RunAtEndpoint &Action);
  void perform(const request::StopAtEndpoint &Action);
  void onEndpointEnd(const base::AttemptId &Attempt, request::EndpointEnd End);
  bool hasRoom(const base::AttemptId &Attempt) const;
  void onDrain(StreamRef Stream);
  void onStreamClosed(StreamRef Stream);
  void onTick();
  void publishLoad(routing::LoadReport Report);
  bool drained() const;

  net::Loop &Owner_;
  AgentSettings Settings_;
  std::unique_ptr<net::HttpClient> Http_;
  base::Incarnation Incarnation_;
  request::Tickets Tickets_;
  request::Attempts Attempts_;
  request::ClaimHolder Claims_;
  budget::Witness Witness_;
  EndpointCaller Caller_;
  observe::Metrics Metrics_;
  std::unique_ptr<RouterLinks> Links_;
  std::unique_ptr<Admin> Admin_;
  std::unique_ptr<LoadReader> Load_;
  std::unique_ptr<ConfigRelay> Config_;
  /// The latest control stream of each router.
  std::unordered_map<base::Incarnation, StreamRef> Control_;
  /// Streams on which routers read an attempt's answer.
  struct Reader {
    base::Incarnation Router_;
    StreamRef Stream_;
  };
  std::unordered_map<base::AttemptId, std::vector<Reader>> Readers_;
  std::unordered_map<StreamRef, base::AttemptId> AttemptOf_;
  net::Timer Tick_;
  std::function<void()> OnDrained_;
  base::TimePoint DrainUntil_{};
};

} // namespace camphorwind::agent

#endif // CAMPHORWIND_DAEMONS_AGENT_AGENT_H
