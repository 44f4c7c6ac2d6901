#include "router.h"

#include "routing-view.h"

#include "camphorwind/base/random.h"
#include "camphorwind/observe/log.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace camphorwind::router {

using namespace std::chrono_literals;

namespace {

constexpr auto TickInterval = 50ms;
/// Time kept for giving budgets back at the end of the drain limit.
constexpr auto CloseTime = 5s;

routing::FailureKind failureOf(request::AttemptResult Result) {
  switch (Result) {
  case request::AttemptResult::Refused:
    return routing::FailureKind::Refused;
  case request::AttemptResult::Failed:
    return routing::FailureKind::Failed;
  case request::AttemptResult::Lost:
    return routing::FailureKind::LinkLost;
  case request::AttemptResult::Answered:
  case request::AttemptResult::GivenUp:
    break;
  }
  return routing::FailureKind::Cancelled;
}

request::CommitStatus statusOf(budget::CommitOutcome Outcome) {
  switch (Outcome) {
  case budget::CommitOutcome::Billed:
    return request::CommitStatus::Committed;
  case budget::CommitOutcome::Withheld:
    return request::CommitStatus::Unconfirmed;
  case budget::CommitOutcome::Refused:
    break;
  }
  return request::CommitStatus::Refused;
}

} // namespace

Router::Router(net::Loop &Owner, RouterSettings Settings,
               std::unique_ptr<net::HttpClient> Http,
               base::Incarnation Incarnation, budget::Ledger Held,
               routing::Balancer Choice)
    : Owner_(Owner), Settings_(std::move(Settings)), Http_(std::move(Http)),
      Platform_(*Http_, Settings_.Platform_),
      Incarnation_(std::move(Incarnation)), Requests_(Incarnation_, {}),
      Balancer_(std::move(Choice)),
      Money_(std::make_unique<Money>(Owner, Platform_, std::move(Held),
                                     moneyEvents())),
      Links_(std::make_unique<AgentLinks>(
          Owner, Incarnation_, request::LinkSettings{}, linkEvents())),
      Reclaims_(std::make_unique<Reclaims>(
          Owner, Platform_, Incarnation_,
          [this](const base::Incarnation &Agent, const wire::ToAgent &Message) {
            Links_->send(Agent, Message);
          })),
      Tick_(Owner, [this] { onTick(); }),
      HostListTimer_(Owner, [this] { readHostList(); }) {}

base::Result<std::unique_ptr<Router>, base::IoError>
Router::create(net::Loop &Owner, RouterSettings Settings) {
  const auto Failed = [](const char *Doing) {
    return base::failure(base::IoError{base::IoErrorKind::Library, Doing});
  };
  BOOST_OUTCOME_TRY(Http, net::HttpClient::create(Owner));
  base::Random Bits = base::systemRandom();
  base::Incarnation Incarnation(Settings.Router_.str() + "." +
                                base::uniqueText(Bits));
  budget::LedgerSettings LedgerSettings;
  LedgerSettings.Router_ = Settings.Router_;
  LedgerSettings.Incarnation_ = Incarnation;
  auto Held = budget::Ledger::create(LedgerSettings);
  if (!Held)
    return Failed("starting the ledger");
  routing::BalancerOptions Options;
  Options.Seed_ = Bits();
  auto Choice = routing::Balancer::create(Options);
  if (!Choice)
    return Failed("starting the balancer");
  std::unique_ptr<Router> Created(new Router(
      Owner, std::move(Settings), std::move(Http), std::move(Incarnation),
      std::move(Held).value(), std::move(Choice).value()));
  auto Config = FleetConfig::create(Owner, Created->Platform_,
                                    Created->Settings_.ConfigurationPoll_,
                                    Created->configEvents());
  if (!Config)
    return Failed("starting to follow the configuration");
  Created->Config_ = std::move(Config).value();
  std::vector<AgentAddress> FirstAgents;
  for (const auto &[Endpoint, Address] : Created->Settings_.FirstAgents_)
    FirstAgents.push_back({Endpoint, Address});
  Created->Links_->setAgents(FirstAgents);
  Created->ClaimViews_ = std::make_unique<ClaimViewKeeper>(
      Owner, Created->Platform_, Created->claimViewsEvents());
  Created->Money_->start();
  Created->Tick_.startRepeating(TickInterval);
  Created->HostListTimer_.start(Created->Settings_.HostListPoll_);
  return Created;
}

FleetConfigEvents Router::configEvents() {
  FleetConfigEvents Events;
  Events.OnChange_ = [this] { applyConfiguration(); };
  Events.Send_ = [this](const base::Incarnation &Agent,
                        const wire::ToAgent &Message) {
    Links_->send(Agent, Message);
  };
  return Events;
}

AgentLinksEvents Router::linkEvents() {
  AgentLinksEvents Events;
  Events.OnUp_ = [this](const base::EndpointId &Endpoint,
                        const base::Incarnation &Agent) {
    onAgentUp(Endpoint, Agent);
  };
  Events.OnDown_ = [this](const base::EndpointId &Endpoint,
                          const base::Incarnation &Agent) {
    observe::log(observe::LogLevel::Warning, "agent_down",
                 {{"endpoint", Endpoint.str()}});
    Config_->onAgentDown(Agent);
    Requests_.onLinkDown(Agent, Owner_.now());
    pump();
  };
  Events.OnGone_ = [this](const base::Incarnation &Agent) {
    Requests_.onAgentGone(Agent, Owner_.now());
    Money_->onAgentGone(Agent);
    Money_->ledger().retireWitness(Agent);
    pump();
  };
  Events.OnTicket_ = [this](const base::EndpointId &Endpoint) {
    updateReachable(Endpoint);
  };
  Events.OnMessage_ = [this](const base::EndpointId &Endpoint,
                             const wire::ToRouter &Message) {
    onMessage(Endpoint, Message);
  };
  return Events;
}

MoneyEvents Router::moneyEvents() {
  MoneyEvents Events;
  Events.OnReserveEnded_ = [this](const base::AttemptId &Attempt,
                                  std::optional<budget::ReserveError> Error) {
    onReserved(Attempt, Error);
    pump();
  };
  Events.OnCommitEnded_ = [this](const base::AttemptId &Attempt,
                                 budget::CommitOutcome Outcome) {
    auto Ended = Committing_.find(Attempt);
    if (Ended == Committing_.end())
      return;
    // Its reservation stays the committer's until the attempt is closed.
    request::CommitAttempt Commit = Ended->second;
    Requests_.onCommit(Commit.Request_, Commit.Attempt_, statusOf(Outcome),
                       Owner_.now());
    pump();
  };
  Events.Send_ = [this](const base::Incarnation &Agent,
                        const wire::ToAgent &Message) {
    Links_->send(Agent, Message);
  };
  Events.OnWitnessesChanged_ = [this] {
    updateAllReachable();
    pump();
  };
  Events.OnRevoked_ = [this] {
    observe::log(observe::LogLevel::Error, "router_revoked");
    stop([this] { Owner_.stop(); });
  };
  Events.OnClosed_ = [this] {
    if (OnStopped_)
      std::exchange(OnStopped_, nullptr)();
  };
  return Events;
}

ClaimViewsEvents Router::claimViewsEvents() {
  ClaimViewsEvents Events;
  Events.Configured_ = [this] {
    std::vector<request::ListedAgent> Agents;
    std::shared_ptr<const FleetView> View = Config_->view();
    if (!View)
      return Agents;
    for (const auto &[Unused, Pool] : View->Configuration_.Pools_)
      for (const config::Endpoint &Endpoint : Pool.Endpoints_)
        Agents.push_back({Endpoint.Id_, Endpoint.FailureDomain_,
                          Links_->ticket(Endpoint.Id_)
                              ? Links_->incarnation(Endpoint.Id_)
                              : base::Incarnation()});
    return Agents;
  };
  Events.OnView_ = [this](const request::ClaimView &View) {
    Requests_.onClaimView(View, Owner_.now());
    pump();
  };
  return Events;
}

base::RequestId Router::newRequestId() {
  return base::RequestId(Incarnation_.str() + "-" +
                         std::to_string(NextRequest_++));
}

void Router::submit(RoutedRequest Wanted, AnswerEvents Events) {
  base::RequestId Id = Wanted.Submission_.Request_;
  request::Submission Submitted = Wanted.Submission_;
  Wanted.Submission_.Call_ = {};
  Active &Added = Active_[Id];
  Added.Started_ = Owner_.now();
  Added.Wanted_ = std::move(Wanted);
  Added.Events_ = std::move(Events);
  routing::RequestTraits &Traits = Added.Wanted_.Traits_;
  Traits.Request_ = Id;
  Traits.Account_ = Submitted.Account_;
  Traits.Deadline_ = Added.Started_ + Submitted.Timeout_;
  Requests_.onSubmit(std::move(Submitted), Added.Started_);
  pump();
}

void Router::callerGone(const base::RequestId &Request) {
  Requests_.onCallerGone(Request, Owner_.now());
  pump();
}

void Router::setFlowing(const base::RequestId &Request, bool Flowing) {
  Active *Found = find(Request);
  if (!Found || Found->Current_.empty())
    return;
  if (Flowing)
    Links_->release(Found->Current_);
  else
    Links_->hold(Found->Current_);
}

bool Router::ready() const {
  return Config_->view() && Links_->linked() > 0 && ClaimViews_->known() &&
         !Stopping_ && !Money_->ledger().isSealed();
}

void Router::applyConfiguration() {
  std::shared_ptr<const FleetView> View = Config_->view();
  base::TimePoint Now = Owner_.now();
  const config::Configuration &InForce = View->Configuration_;
  std::vector<AgentAddress> Agents;
  for (const auto &[Unused, Pool] : InForce.Pools_)
    for (const config::Endpoint &Endpoint : Pool.Endpoints_)
      Agents.push_back({Endpoint.Id_, Endpoint.Agent_});
  std::unordered_set<base::EndpointId> Present;
  for (const routing::EndpointTraits &Traits :
       routedEndpoints(InForce, Settings_.Router_)) {
    Balancer_.addEndpoint(Traits, Now);
    Present.insert(Traits.Endpoint_);
  }
  Balancer_.setRetryShare(InForce.Routing_.RetryShare_);
  Balancer_.setSlowStart(InForce.Routing_.SlowStart_);
  for (const base::EndpointId &Endpoint : Endpoints_)
    if (!Present.contains(Endpoint))
      Balancer_.removeEndpoint(Endpoint, Now);
  Endpoints_ = std::move(Present);
  for (const auto &[Budget, Unused] : View->Configuration_.Budgets_)
    Money_->ledger().addBudget(
        Budget, sizingPolicy(View->Configuration_.Slices_.Cover_));
  Links_->setAgents(Agents);
  updateAllReachable();
  pump();
}

void Router::readHostList() {
  Platform_.listHosts([this](auto Got) {
    HostListTimer_.start(Settings_.HostListPoll_);
    if (!Got)
      return;
    LeavingHosts_.clear();
    for (const platform::Host &Listed : Got.value())
      if (Listed.State_ == platform::HostState::Leaving)
        LeavingHosts_.insert(Listed.Host_);
    updateAllReachable();
    pump();
  });
}

void Router::updateAllReachable() {
  for (const base::EndpointId &Endpoint : Endpoints_)
    updateReachable(Endpoint);
}

void Router::updateReachable(const base::EndpointId &Endpoint) {
  std::shared_ptr<const FleetView> View = Config_ ? Config_->view() : nullptr;
  const config::Endpoint *Known =
      View ? View->Configuration_.findEndpoint(Endpoint) : nullptr;
  if (!Known)
    return;
  bool Reachable =
      Links_->ticket(Endpoint).has_value() &&
      Money_->ledger().isUsableWitness(Links_->incarnation(Endpoint)) &&
      !LeavingHosts_.contains(Known->Host_);
  Balancer_.setReachable(Endpoint, Reachable, Owner_.now());
}

void Router::onAgentUp(const base::EndpointId &Endpoint,
                       const base::Incarnation &Agent) {
  observe::log(observe::LogLevel::Info, "agent_up",
               {{"endpoint", Endpoint.str()}, {"incarnation", Agent.str()}});
  std::shared_ptr<const FleetView> View = Config_->view();
  const config::Endpoint *Known =
      View ? View->Configuration_.findEndpoint(Endpoint) : nullptr;
  if (Known)
    Money_->ledger().addWitness(
        {Agent, Endpoint, Known->Host_, toString(Known->Agent_)});
  Config_->onAgentUp(Agent);
  Requests_.onLinkUp(Agent, Owner_.now());
  pump();
}

void Router::onMessage(const base::EndpointId &Endpoint,
                       const wire::ToRouter &Message) {
  base::TimePoint Now = Owner_.now();
  base::Incarnation Agent = Links_->incarnation(Endpoint);
  std::visit(
      [&](const auto &Value) {
        if constexpr (requires { Config_->onMessage(Agent, Value); })
          Config_->onMessage(Agent, Value);
        else if constexpr (requires { Requests_.onMessage(Value, Now); })
          Requests_.onMessage(Value, Now);
        else if constexpr (requires { Money_->onReply(Value); })
          Money_->onReply(Value);
        else if constexpr (requires { Money_->onReport(Value); })
          Money_->onReport(Value);
        else if constexpr (requires { Reclaims_->onLivenessReply(Value); })
          Reclaims_->onLivenessReply(Value);
        else if constexpr (requires { Reclaims_->onSealReply(Value); })
          Reclaims_->onSealReply(Value);
        else if constexpr (requires { Balancer_.loadReport(Value, Now); })
          Balancer_.loadReport(Value, Now);
        else if constexpr (requires { Balancer_.cacheEvent(Value, Now); })
          Balancer_.cacheEvent(Value, Now);
        else if constexpr (requires { Balancer_.cacheSnapshot(Value); })
          Balancer_.cacheSnapshot(Value);
      },
      Message);
  pump();
}

void Router::onTick() {
  Links_->tick();
  Money_->tick();
  Reclaims_->tick();
  Requests_.onTick(Owner_.now());
  pump();
  if (!Stopping_ || !OnStopped_)
    return;
  base::TimePoint Now = Owner_.now();
  bool Drained = Active_.empty();
  if ((Drained || Now + CloseTime >= StopBy_) &&
      !std::exchange(Closing_, true)) {
    Money_->ledger().close();
    Money_->pump();
  }
  if (Now >= StopBy_ && OnStopped_)
    std::exchange(OnStopped_, nullptr)();
}

void Router::pump() {
  if (std::exchange(Pumping_, true))
    return;
  for (;;) {
    dispatch();
    Money_->pump();
    std::vector<request::RouterAction> Actions = Requests_.takeActions();
    if (Actions.empty())
      break;
    for (const request::RouterAction &Action : Actions)
      std::visit([&](const auto &Value) { perform(Value); }, Action);
  }
  Pumping_ = false;
}

void Router::perform(const request::PrepareAttempt &Action) {
  Active *Found = find(Action.Request_);
  if (!Found)
    return;
  if (Action.Retry_)
    Metrics_.countRetry(*Action.Retry_);
  Found->Preparing_ = Action.Attempt_;
  Found->Wanted_.Traits_.Attempt_ = ++Found->Attempts_;
  Found->Wanted_.Traits_.Avoid_ = Action.Tried_;
  ByAttempt_[Action.Attempt_] = Action.Request_;
  auto Reserved =
      Money_->ledger().reserve(Action.Attempt_, Found->Wanted_.Budget_,
                               Found->Wanted_.Bound_, Owner_.now());
  if (!Reserved)
    return onReserved(Action.Attempt_, Reserved.error());
  if (Reserved.value() == budget::ReserveOutcome::Reserved)
    enqueue(*Found);
}

void Router::onReserved(const base::AttemptId &Attempt,
                        std::optional<budget::ReserveError> Error) {
  auto Request = ByAttempt_.find(Attempt);
  Active *Found = Request == ByAttempt_.end() ? nullptr : find(Request->second);
  if (!Found || Found->Preparing_ != Attempt) {
    Money_->ledger().release(Attempt, base::Tokens(0));
    return;
  }
  if (!Error)
    return enqueue(*Found);
  base::RequestId Id = Request->second;
  ByAttempt_.erase(Request);
  Found->Preparing_ = {};
  Requests_.onNotPrepared(Id, budget::refusalReason(*Error), Owner_.now());
}

void Router::enqueue(Active &Found) {
  auto Refused = Balancer_.enqueue(Found.Wanted_.Traits_, Owner_.now());
  if (Refused)
    refuse(*Refused);
}

void Router::dispatch() {
  routing::Decisions Decided = Balancer_.dispatch(Owner_.now());
  for (const routing::Refusal &Refused : Decided.Refusals_)
    refuse(Refused);
  for (const routing::Assignment &Chosen : Decided.Assignments_)
    assign(Chosen);
}

void Router::assign(const routing::Assignment &Chosen) {
  Active *Found = find(Chosen.Request_);
  auto Ticket = Links_->ticket(Chosen.Endpoint_);
  const base::SliceId *Slice =
      Found ? Money_->ledger().sliceOf(Found->Preparing_) : nullptr;
  if (!Found || !Ticket || !Slice) {
    Balancer_.failed(Chosen.Request_, routing::FailureKind::NotServing,
                     Owner_.now());
    if (Found)
      notPrepared(Chosen.Request_, base::RefusalReason::NoEndpoint);
    return;
  }
  ByAttempt_.erase(Found->Preparing_);
  Found->Current_ = std::exchange(Found->Preparing_, {});
  Requests_.onPrepared(Chosen.Request_,
                       {Chosen.Endpoint_, Ticket->Agent_, *Ticket,
                        Found->Wanted_.Budget_, *Slice, Found->Wanted_.Bound_},
                       Owner_.now());
}

void Router::refuse(const routing::Refusal &Refused) {
  if (Active *Found = find(Refused.Request_))
    Found->RetryAfter_ = Refused.RetryAfter_;
  notPrepared(Refused.Request_, Refused.Reason_);
}

void Router::notPrepared(const base::RequestId &Request,
                         base::RefusalReason Reason) {
  Active *Found = find(Request);
  if (!Found)
    return;
  base::AttemptId Attempt = std::exchange(Found->Preparing_, {});
  ByAttempt_.erase(Attempt);
  Money_->ledger().release(Attempt, base::Tokens(0));
  Requests_.onNotPrepared(Request, Reason, Owner_.now());
}

void Router::perform(const request::SendToAgent &Action) {
  std::visit(
      [&](const auto &Message) {
        bool Sent = Links_->send(Action.Agent_, Message);
        if constexpr (requires { Message.Call_; }) {
          if (!Sent)
            Requests_.onNotSent(Message.Attempt_, Owner_.now());
          else if (Message.NonIdempotent_)
            SentOnce_.insert(Message.Attempt_.Attempt_);
        }
      },
      Action.Message_);
}

void Router::perform(const request::WriteTable &Action) {
  Platform_.transact(Action.Change_, [this, Request = Action.Request_](
                                         base::TransactionResult Result) {
    Requests_.onWriteResult(Request, Result, Owner_.now());
    pump();
  });
}

void Router::perform(const request::ReadTable &Action) {
  Platform_.read(Action.Key_,
                 [this, Request = Action.Request_](base::ReadResult Result) {
                   Requests_.onReadResult(Request, Result, Owner_.now());
                   pump();
                 });
}

void Router::perform(const request::CleanUpTable &Action) {
  Platform_.transact(Action.Change_, [](base::TransactionResult) {});
}

void Router::perform(const request::CommitAttempt &Action) {
  Committing_.emplace(Action.Attempt_.Attempt_, Action);
  Money_->commit(Action.Attempt_.Attempt_, Action.Attempt_.Agent_,
                 Action.Usage_.total());
}

void Router::perform(const request::Deliver &Action) {
  Active *Found = find(Action.Request_);
  if (!Found)
    return;
  if (!std::exchange(Found->FirstPart_, true)) {
    Balancer_.firstToken(Action.Request_, Owner_.now());
    Metrics_.observe("first_part_seconds", Owner_.now() - Found->Started_);
  }
  Found->Events_.OnPart_(Action.Head_, Action.Bytes_);
}

void Router::perform(const request::FinishRequest &Action) {
  auto Found = Active_.find(Action.Request_);
  if (Found == Active_.end())
    return;
  Metrics_.count("requests_answered_total");
  Metrics_.count("tokens_billed_total", "account",
                 Found->second.Wanted_.Submission_.Account_.str(),
                 static_cast<double>(Action.Usage_.total().count()));
  Metrics_.observe("request_seconds", Owner_.now() - Found->second.Started_);
  AnswerEvents Events = std::move(Found->second.Events_);
  Balancer_.finished(Action.Request_, Action.Usage_.Output_, Owner_.now());
  Active_.erase(Found);
  Events.OnWhole_();
}

void Router::perform(const request::FailRequest &Action) {
  auto Found = Active_.find(Action.Request_);
  if (Found == Active_.end())
    return;
  CallerError Error{Action.Reason_, Action.Ran_, Found->second.RetryAfter_, "",
                    Found->second.Wanted_.Submission_.NonIdempotent_};
  if (!Found->second.Preparing_.empty()) {
    Balancer_.cancel(Action.Request_);
    ByAttempt_.erase(Found->second.Preparing_);
    Money_->ledger().release(Found->second.Preparing_, base::Tokens(0));
  }
  AnswerEvents Events = std::move(Found->second.Events_);
  Active_.erase(Found);
  Events.OnError_(Error);
}

void Router::perform(const request::AttemptClosed &Action) {
  const base::AttemptId &Attempt = Action.Attempt_.Attempt_;
  bool Committed = Committing_.erase(Attempt) > 0;
  if (Action.Result_ == request::AttemptResult::Answered) {
    SentOnce_.erase(Attempt);
    return;
  }
  Balancer_.failed(Action.Request_, failureOf(Action.Result_), Owner_.now());
  bool MayBeRunning = SentOnce_.erase(Attempt) > 0 &&
                      (Action.Result_ == request::AttemptResult::Lost ||
                       Action.Result_ == request::AttemptResult::GivenUp);
  // A commit that was asked for may still be counted.
  if (MayBeRunning)
    Money_->ledger().setUnconfirmed(Attempt);
  else if (!Committed)
    Money_->ledger().release(Attempt, base::Tokens(0));
}

Router::Active *Router::find(const base::RequestId &Request) {
  auto Found = Active_.find(Request);
  return Found == Active_.end() ? nullptr : &Found->second;
}

std::string Router::metricsText() {
  Money_->publish(Metrics_);
  Reclaims_->publish(Metrics_);
  Metrics_.gauge("requests_in_progress", static_cast<double>(Active_.size()));
  wire::LinkTraffic Traffic = Links_->traffic();
  Metrics_.gauge("link_sent_bytes", static_cast<double>(Traffic.SentBytes_));
  Metrics_.gauge("link_received_bytes",
                 static_cast<double>(Traffic.ReceivedBytes_));
  Metrics_.gauge("agents_linked", static_cast<double>(Links_->linked()));
  if (Config_->view())
    Metrics_.gauge("configuration_version",
                   static_cast<double>(Config_->view()->Revision_.Version_));
  publishRouting(Metrics_, Balancer_.counters());
  const request::RequestCounters &Counted = Requests_.counters();
  Metrics_.gauge("requests_attached", static_cast<double>(Counted.Attached_));
  for (std::size_t Index = 0; Index < Counted.Ran_.size(); ++Index)
    Metrics_.gauge("requests_failed", "ran",
                   std::string(toString(static_cast<base::Ran>(Index))),
                   static_cast<double>(Counted.Ran_[Index]));
  return Metrics_.text();
}

std::string Router::statusText() {
  nlohmann::ordered_json Status{
      {"router", Settings_.Router_.str()},
      {"incarnation", Incarnation_.str()},
      {"ready", ready()},
      {"stopping", Stopping_},
      {"table_unreachable", Money_->ledger().tableUnreachable()},
      {"configuration",
       Config_->view() ? toString(Config_->view()->Revision_) : "none"},
      {"requests_in_progress", Active_.size()},
      {"pools", nlohmann::ordered_json::array()}};
  for (const routing::PoolStatus &Pool : Balancer_.status(Owner_.now())) {
    nlohmann::ordered_json Shown{
        {"pool", Pool.Pool_.str()},
        {"queued", Pool.Queued_},
        {"endpoints", nlohmann::ordered_json::array()}};
    for (const routing::EndpointStatus &Endpoint : Pool.Endpoints_)
      Shown["endpoints"].push_back(
          {{"endpoint", Endpoint.Endpoint_.str()},
           {"reachable", Endpoint.Reachable_},
           {"leaving", Endpoint.Leaving_},
           {"ejected", Endpoint.Ejected_},
           {"why", Endpoint.Ejected_ ? toString(Endpoint.EjectionReason_) : ""},
           {"in_flight", Endpoint.InFlight_},
           {"window", Endpoint.Window_}});
    Status["pools"].push_back(std::move(Shown));
  }
  return Status.dump();
}

void Router::stop(std::function<void()> OnStopped) {
  if (std::exchange(Stopping_, true))
    return;
  OnStopped_ = std::move(OnStopped);
  StopBy_ = Owner_.now() + Settings_.Drain_ + CloseTime;
  observe::log(observe::LogLevel::Info, "stopping",
               {{"requests_in_progress", Active_.size()}});
}

} // namespace camphorwind::router
