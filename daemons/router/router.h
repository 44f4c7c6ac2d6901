#ifndef CAMPHORWIND_DAEMONS_ROUTER_ROUTER_H
#define CAMPHORWIND_DAEMONS_ROUTER_ROUTER_H

#include "../common/refusals.h"
#include "agent-links.h"
#include "claim-views.h"
#include "fleet-config.h"
#include "money.h"
#include "reclaims.h"
#include "settings.h"

#include "camphorwind/net/http-client.h"
#include "camphorwind/net/loop.h"
#include "camphorwind/observe/metrics.h"
#include "camphorwind/platform/platform-client.h"
#include "camphorwind/request/requests.h"
#include "camphorwind/routing/balancer.h"

#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>
#include <unordered_set>

namespace camphorwind::router {

using daemons::CallerError;

/// A caller's request with everything that its attempts need.
struct RoutedRequest {
  request::Submission Submission_;
  base::BudgetId Budget_;
  /// Most tokens that it may cost.
  base::Tokens Bound_;
  /// Request_, Account_, Deadline_, Attempt_ and Avoid_ are filled in.
  routing::RequestTraits Traits_;
  /// The configuration that it began with.
  std::shared_ptr<const FleetView> View_;
};

/// How a request's answer reaches its caller.
struct AnswerEvents {
  /// Part of the answer; the head comes with the first part.
  std::function<void(const std::optional<request::AnswerHead> &,
                     std::string_view Bytes)>
      OnPart_;
  /// The whole answer was delivered and is billed.
  std::function<void()> OnWhole_;
  /// There will be no whole answer.
  std::function<void(const CallerError &)> OnError_;
};

/// Carries requests from callers to endpoints: connects the decisions of
/// libs/request, libs/budget and libs/routing with each other and with links.
class Router {
public:
  static base::Result<std::unique_ptr<Router>, base::IoError>
  create(net::Loop &Owner, RouterSettings Settings);

  /// Takes a request; exactly one of OnWhole_ and OnError_ follows, later.
  void submit(RoutedRequest Wanted, AnswerEvents Events);
  void callerGone(const base::RequestId &Request);
  /// The caller can, or can't, take more of its answer.
  void setFlowing(const base::RequestId &Request, bool Flowing);

  /// The configuration in force, null before the first.
  std::shared_ptr<const FleetView> view() const { return Config_->view(); }
  /// True once requests can be answered.
  bool ready() const;
  bool stopping() const { return Stopping_; }
  const base::Incarnation &incarnation() const { return Incarnation_; }
  base::RequestId newRequestId();
  observe::Metrics &metrics() { return Metrics_; }
  std::string metricsText();
  std::string statusText();

  /// Takes no more requests, lets those in progress end, gives budgets back,
  /// then calls back; at the latest after the drain limit.
  void stop(std::function<void()> OnStopped);

private:
  /// A request in progress.
  struct Active {
    RoutedRequest Wanted_;
    AnswerEvents Events_;
    base::TimePoint Started_{};
    bool FirstPart_ = false;
    unsigned Attempts_ = 0;
    /// The attempt that is being prepared; empty otherwise.
    base::AttemptId Preparing_;
    base::AttemptId Current_;
    std::optional<std::chrono::seconds> RetryAfter_;
  };

  Router(net::Loop &Owner, RouterSettings Settings,
         std::unique_ptr<net::HttpClient> Http, base::Incarnation Incarnation,
         budget::Ledger Held, routing::Balancer Choice);
  FleetConfigEvents configEvents();
  AgentLinksEvents linkEvents();
  MoneyEvents moneyEvents();
  ClaimViewsEvents claimViewsEvents();

  void applyConfiguration();
  void readHostList();
  void updateAllReachable();
  void updateReachable(const base::EndpointId &Endpoint);
  void onAgentUp(const base::EndpointId &Endpoint,
                 const base::Incarnation &Agent);
  void onMessage(const base::EndpointId &Endpoint,
                 const wire::ToRouter &Message);
  void onTick();

  void pump();
  void perform(const request::PrepareAttempt &Action);
  void perform(const request::SendToAgent &Action);
  void perform(const request::WriteTable &Action);
  void perform(const request::ReadTable &Action);
  void perform(const request::CleanUpTable &Action);
  void perform(const request::CommitAttempt &Action);
  void perform(const request::Deliver &Action);
  void perform(const request::FinishRequest &Action);
  void perform(const request::FailRequest &Action);
  void perform(const request::AttemptClosed &Action);

  void onReserved(const base::AttemptId &Attempt,
                  std::optional<budget::ReserveError> Error);
  void enqueue(Active &Found);
  void dispatch();
  void assign(const routing::Assignment &Chosen);
  void refuse(const routing::Refusal &Refused);
  void notPrepared(const base::RequestId &Request, base::RefusalReason Reason);
  Active *find(const base::RequestId &Request);

  net::Loop &Owner_;
  RouterSettings Settings_;
  std::unique_ptr<net::HttpClient> Http_;
  platform::PlatformClient Platform_;
  base::Incarnation Incarnation_;
  observe::Metrics Metrics_;
  request::Requests Requests_;
  routing::Balancer Balancer_;
  std::unique_ptr<Money> Money_;
  std::unique_ptr<AgentLinks> Links_;
  std::unique_ptr<Reclaims> Reclaims_;
  std::unique_ptr<FleetConfig> Config_;
  std::unique_ptr<ClaimViewKeeper> ClaimViews_;
  std::unordered_map<base::RequestId, Active> Active_;
  /// Requests by the attempt that is being prepared for them.
  std::unordered_map<base::AttemptId, base::RequestId> ByAttempt_;
  /// Attempts sent to an agent that may not run twice. An agent bills one that
  /// it finished when this router is sealed, so its reservation must stand
  /// until it is known not to be running there any more.
  std::unordered_set<base::AttemptId> SentOnce_;
  /// Attempts whose reservation is the committer's to end.
  std::unordered_map<base::AttemptId, request::CommitAttempt> Committing_;
  std::unordered_set<base::HostId> LeavingHosts_;
  std::unordered_set<base::EndpointId> Endpoints_;
  base::Random Bits_ = base::systemRandom();
  std::uint64_t NextRequest_ = 1;
  net::Timer Tick_;
  net::Timer HostListTimer_;
  bool Pumping_ = false;
  bool Stopping_ = false;
  bool Closing_ = false;
  base::TimePoint StopBy_{};
  std::function<void()> OnStopped_;
};

} // namespace camphorwind::router

#endif // CAMPHORWIND_DAEMONS_ROUTER_ROUTER_H
