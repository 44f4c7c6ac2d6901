#include "direct-router.h"

#include "forwarded-request.h"
#include "forwarding.h"

#include "camphorwind/net/http-server.h"
#include "camphorwind/observe/log.h"

#include <algorithm>
#include <utility>

namespace camphorwind::direct {

namespace {

using observe::LogLevel;
using namespace std::chrono_literals;

/// How often deadlines, silence and grace times are looked at.
constexpr auto TickInterval = 50ms;
/// Part of an endpoint's connections that the routers use together; the rest
/// covers routers that are being replaced.
constexpr double ConnectionShare = 0.8;
constexpr std::size_t LeastConnections = 4;
/// Callers' idle connections are kept for longer than any configuration lets
/// them stay idle.
constexpr auto CallerIdleTimeout = 75s;
constexpr std::size_t HeaderBytes = 32UL * 1024;
constexpr std::size_t ReadinessHeaderBytes = 8UL * 1024;

} // namespace

PoolState &Forwarding::pool(const base::PoolId &Id) {
  auto Found = Pools_.find(Id);
  if (Found != Pools_.end())
    return Found->second;
  routing::DirectPoolOptions Options;
  Options.Domain_ = Settings_.Domain_;
  Options.Routers_ = Escrow_.routerCount();
  PoolState Made{
      routing::DirectPool(std::move(Options)),
      routing::RetryWindow(Settings_.Retries_, Escrow_.routerCount())};
  return Pools_.emplace(Id, std::move(Made)).first->second;
}

struct DirectRouter::Impl {
  Impl(net::Loop &Owner, DirectSettings Settings, budget::Escrow Held)
      : Shared_(Owner, std::move(Settings), std::move(Held)),
        Tick_(Owner, [this] { tick(); }) {}

  void handle(net::HttpRequest Request,
              const std::shared_ptr<net::HttpExchange> &Out) {
    auto Taken =
        std::make_shared<ForwardedRequest>(Shared_, std::move(Request), Out);
    Taken->start();
  }

  void answerQuestion(const net::HttpRequest &Request,
                      const std::shared_ptr<net::HttpExchange> &Out) {
    if (Request.Path_ == "/metrics")
      Out->respond(
          {200, {{"Content-Type", "text/plain"}}, Shared_.Metrics_.text()});
    else if (Request.Path_ == "/ready")
      Out->respond({ready() ? 200U : 503U, {}, ""});
    else
      Out->respond({404, {}, ""});
  }

  bool ready() const {
    return !Shared_.Stopping_ && Shared_.View_.current() != nullptr &&
           Shared_.Endpoints_.loaded() && Shared_.Escrow_.loaded();
  }

  void noteReadiness() {
    if (ready() == WasReady_)
      return;
    WasReady_ = ready();
    observe::log(LogLevel::Info, WasReady_ ? "ready" : "not_ready",
                 {{"endpoints", Shared_.Endpoints_.size()},
                  {"stopping", Shared_.Stopping_}});
  }

  void tick() {
    base::TimePoint Now = Shared_.Owner_.now();
    Shared_.Endpoints_.tick(Now);
    applyEndpointChanges();
    for (auto &[Id, Pool] : Shared_.Pools_)
      for (const base::EndpointId &Each : Pool.Choice_.sweep(Now))
        observe::log(LogLevel::Warning, "endpoint_ejected",
                     {{"endpoint", Each.str()}, {"reason", "silent"}});
    for (const auto &Each : Shared_.liveRequests())
      Each->tick(Now);
    noteReadiness();
    if (Shared_.Stopping_)
      advanceStop(Now);
  }

  void applyEndpointChanges() {
    base::TimePoint Now = Shared_.Owner_.now();
    for (const EndpointChange &Each : Shared_.Endpoints_.takeChanges()) {
      const ListedEndpoint &Entry = Each.Endpoint_;
      auto &Choice = Shared_.pool(Entry.Pool_).Choice_;
      if (Each.Left_) {
        Choice.remove(Entry.Endpoint_);
        Shared_.Origins_.dropIdle(Entry.Address_);
        observe::log(LogLevel::Info, "endpoint_left",
                     {{"endpoint", Entry.Endpoint_.str()},
                      {"reason", toString(*Each.Left_)}});
        continue;
      }
      Choice.addOrUpdate({Entry.Endpoint_, Entry.Domain_, Entry.Slots_,
                          cacheTokens(Entry.Pool_)},
                         Now);
      limitConnections(Entry);
      observe::log(LogLevel::Info, "endpoint_usable",
                   {{"endpoint", Entry.Endpoint_.str()},
                    {"pool", Entry.Pool_.str()},
                    {"address", base::toString(Entry.Address_)},
                    {"slots", Entry.Slots_}});
    }
  }

  const Pool *traitsOf(const base::PoolId &Id) const {
    const ViewPtr &View = Shared_.View_.current();
    return View ? View->findPool(Id) : nullptr;
  }

  std::uint64_t cacheTokens(const base::PoolId &Id) const {
    const Pool *Traits = traitsOf(Id);
    return Traits && Traits->HasEngines_
               ? static_cast<std::uint64_t>(Traits->EngineCacheTokens_.count())
               : 0;
  }

  void limitConnections(const ListedEndpoint &Entry) {
    const Pool *Traits = traitsOf(Entry.Pool_);
    if (!Traits)
      return;
    double Share = ConnectionShare *
                   static_cast<double>(Traits->ConnectionLimit_) /
                   static_cast<double>(Shared_.Escrow_.routerCount());
    Shared_.Origins_.setConnectionsPerEndpoint(
        Entry.Address_,
        std::max(LeastConnections, static_cast<std::size_t>(Share)));
  }

  void offerView(ViewPtr Offered) {
    std::uint64_t Before =
        Shared_.View_.current() ? Shared_.View_.current()->Version_ : 0;
    if (!Shared_.View_.offer(std::move(Offered)))
      return;
    const View &Now = *Shared_.View_.current();
    for (const Account &Each : Now.accounts())
      if (Each.Prepaid_)
        Shared_.Escrow_.setBudget(Each.Account_, *Each.Prepaid_);
    if (Server_)
      Server_->setBodyLimit(Now.Limits_.BodyBytes_);
    observe::log(LogLevel::Info, "configuration_in_force",
                 {{"version", Now.Version_},
                  {"before", Before},
                  {"routes", Now.routeCount()},
                  {"accounts", Now.accounts().size()}});
    noteReadiness();
  }

  void escrowChanged() {
    if (Shared_.Escrow_.routerCount() != Routers_) {
      Routers_ = Shared_.Escrow_.routerCount();
      for (auto &[Id, Pool] : Shared_.Pools_) {
        Pool.Choice_.setRouters(Routers_);
        Pool.Retries_.setRouters(Routers_);
      }
      observe::log(LogLevel::Info, "routers_counted", {{"routers", Routers_}});
    }
    for (const auto &Each : Shared_.liveRequests())
      Each->retryReservation();
    noteReadiness();
  }

  void stop(std::function<void()> OnStopped) {
    if (Shared_.Stopping_)
      return;
    Shared_.Stopping_ = true;
    StoppingSince_ = Shared_.Owner_.now();
    OnStopped_ = std::move(OnStopped);
    Server_->closeAfterAnswers();
    observe::log(LogLevel::Info, "stopping",
                 {{"in_progress", Shared_.Live_.size()}});
    noteReadiness();
  }

  void advanceStop(base::TimePoint Now) {
    base::Duration Since = Now - StoppingSince_;
    if (Since >= Shared_.Settings_.DrainDelay_) {
      Shared_.Closed_ = true;
      Server_->stopAccepting();
      // What open requests do not need goes back at once: the table may be out
      // of reach by the time that the last of them has ended.
      Shared_.Escrow_.close();
    }
    bool Idle =
        Shared_.Closed_ && Shared_.Live_.empty() && Server_->inProgress() == 0;
    if ((Idle && Shared_.Escrow_.closed()) ||
        Since >= Shared_.Settings_.ShutdownTimeout_) {
      if (auto Callback = std::exchange(OnStopped_, nullptr))
        Callback();
    }
  }

  Forwarding Shared_;
  std::unique_ptr<net::HttpServer> Server_;
  std::unique_ptr<net::HttpServer> ReadinessServer_;
  net::Timer Tick_;
  std::size_t Routers_ = 1;
  bool WasReady_ = false;
  base::TimePoint StoppingSince_{};
  std::function<void()> OnStopped_;
};

DirectRouter::DirectRouter(std::unique_ptr<Impl> Inner)
    : Inner_(std::move(Inner)) {}
DirectRouter::~DirectRouter() = default;

base::Result<std::unique_ptr<DirectRouter>, base::IoError>
DirectRouter::create(net::Loop &Owner, DirectSettings Settings,
                     budget::Escrow Held) {
  auto Inner =
      std::make_unique<Impl>(Owner, std::move(Settings), std::move(Held));
  Impl *Raw = Inner.get();
  net::HttpServerLimits Limits;
  Limits.IdleTimeout_ = CallerIdleTimeout;
  Limits.HeaderBytes_ = HeaderBytes;
  BOOST_OUTCOME_TRY(Server,
                    net::HttpServer::create(
                        Owner, Raw->Shared_.Settings_.Listen_, Limits,
                        [Raw](net::HttpRequest Request,
                              const std::shared_ptr<net::HttpExchange> &Out) {
                          Raw->handle(std::move(Request), Out);
                        }));
  Raw->Server_ = std::move(Server);
  Limits.HeaderBytes_ = ReadinessHeaderBytes;
  BOOST_OUTCOME_TRY(Readiness,
                    net::HttpServer::create(
                        Owner, Raw->Shared_.Settings_.ReadinessListen_, Limits,
                        [Raw](const net::HttpRequest &Request,
                              const std::shared_ptr<net::HttpExchange> &Out) {
                          Raw->answerQuestion(Request, Out);
                        }));
  Raw->ReadinessServer_ = std::move(Readiness);
  Raw->Tick_.startRepeating(TickInterval);
  return std::unique_ptr<DirectRouter>(new DirectRouter(std::move(Inner)));
}

void DirectRouter::offerView(ViewPtr Offered) {
  Inner_->offerView(std::move(Offered));
}

void DirectRouter::setSourceReachable(bool Reachable) {
  auto &Lost = Inner_->Shared_.SourceLostAt_;
  if (Reachable)
    Lost.reset();
  else if (!Lost)
    Lost = Inner_->Shared_.Owner_.now();
}

EndpointList &DirectRouter::endpoints() { return Inner_->Shared_.Endpoints_; }
void DirectRouter::endpointsChanged() {
  Inner_->applyEndpointChanges();
  Inner_->noteReadiness();
}
budget::Escrow &DirectRouter::escrow() { return Inner_->Shared_.Escrow_; }
void DirectRouter::onTokensWanted(std::function<void()> Callback) {
  Inner_->Shared_.OnTokensWanted_ = std::move(Callback);
}
void DirectRouter::escrowChanged() { Inner_->escrowChanged(); }
observe::Metrics &DirectRouter::metrics() { return Inner_->Shared_.Metrics_; }
bool DirectRouter::ready() const { return Inner_->ready(); }
void DirectRouter::stop(std::function<void()> OnStopped) {
  Inner_->stop(std::move(OnStopped));
}

} // namespace camphorwind::direct
