#include "direct-router.h"

#include "../common/refusals.h"
#include "forwarded-request.h"
#include "forwarding.h"
#include "token-loans.h"

#include "camphorwind/net/http-server.h"
#include "camphorwind/observe/log.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace camphorwind::direct {

namespace {

using observe::LogLevel;
using std::chrono::milliseconds;
using namespace std::chrono_literals;

/// Interval between checks of deadlines, stalled attempts and grace periods.
constexpr auto TickInterval = 50ms;
constexpr auto SweepInterval = 1s;
/// Fraction of an endpoint's connection limit that all routers use together.
/// The remainder is for routers that overlap with their replacements.
constexpr double MaxConnectionShare = 0.8;
/// Minimum number of connections of one router to one endpoint.
constexpr std::size_t MinConnections = 4;
/// A process that does not begin two turns of its loop within this time has
/// paused.
constexpr auto MaxTurn = 300ms;
/// Time for which requests that had arrived when the router stopped accepting
/// are read.
constexpr auto FinalReadTime = 100ms;
/// Time before the end of the process at which requests that are still open are
/// answered.
constexpr auto FinalAnswerTime = 200ms;
/// Interval at which the same malformed header of an endpoint is logged again.
constexpr auto MalformedLogInterval = 60s;
/// Hosts with a smaller share of a processor core refuse requests while they
/// lag. Larger ones catch up by themselves.
constexpr double SmallCpuShare = 0.15;
/// Retry-After of a host that lags: callers repeat a request at another router.
constexpr auto LagRetryAfter = 50ms;
constexpr std::uint32_t MaxReadinessHeaderBytes = 8U * 1024;
/// Longest request line, which counts beside the limit on headers.
constexpr std::size_t MaxRequestLineBytes = 8UL * 1024;

/// Retry-After of a request that was refused for lack of memory. Unfinished
/// requests that stall make room for others at once.
constexpr auto MemoryRetryAfter = 250ms;
/// Part of the memory for requests that is reserved for small ones, as a
/// divisor.
constexpr std::size_t SmallReserveDivisor = 8;
/// Memory that the largest legal header section takes once it is parsed: fields
/// and arguments of a few bytes take many times their length.
constexpr std::size_t MaxParsedHeadBytes = 2UL * 1024 * 1024;

/// Returns the limits on the memory for requests. One request of the largest
/// legal size always fits.
net::RequestMemoryLimits memoryLimits(const DirectSettings &Settings,
                                      std::size_t BodyBytes) {
  net::RequestMemoryLimits Limits;
  if (Settings.MaxRequestBytes_ == 0)
    return Limits;
  std::size_t Largest = BodyBytes + MaxParsedHeadBytes;
  Limits.Bytes_ = std::max(Settings.MaxRequestBytes_,
                           Largest + Largest / (SmallReserveDivisor - 1) + 1);
  Limits.SmallReserve_ = Limits.Bytes_ / SmallReserveDivisor;
  return Limits;
}

/// Returns the limits of the callers' server before the first configuration.
net::HttpServerLimits serverLimits(const DirectSettings &Settings) {
  net::HttpServerLimits Limits;
  Limits.Connections_ = Settings.MaxCallerConnections_;
  Limits.RequestMemory_ = memoryLimits(Settings, Limits.BodyBytes_);
  return Limits;
}

/// Returns the limits of the callers' server under a configuration.
net::HttpServerLimits serverLimits(const DirectSettings &Settings,
                                   const RequestLimits &Stated) {
  net::HttpServerLimits Limits = serverLimits(Settings);
  Limits.RequestMemory_ = memoryLimits(Settings, Stated.BodyBytes_);
  Limits.BodyBytes_ = Stated.BodyBytes_;
  Limits.HeaderBytes_ = std::max(
      Limits.HeaderBytes_,
      static_cast<std::uint32_t>(Stated.HeaderBytes_ + MaxRequestLineBytes));
  Limits.HeadTimeout_ = Stated.HeadTimeout_;
  Limits.IdleTimeout_ = Stated.IdleTimeout_;
  return Limits;
}

} // namespace

ForwardingContext::~ForwardingContext() = default;

PoolState &ForwardingContext::poolState(const base::PoolId &Id) {
  auto Found = Pools_.find(Id);
  if (Found != Pools_.end())
    return Found->second;
  routing::DirectPoolOptions Options;
  Options.Domain_ = Settings_.Domain_;
  PoolState State{
      routing::DirectPool(std::move(Options)),
      routing::RetryWindow(Settings_.Retries_, Escrow_.routerCount())};
  PoolState &Created = Pools_.emplace(Id, std::move(State)).first->second;
  setPlace(Created);
  applyPoolLimits(Id, Created);
  base::TimePoint Now = Loop_.now();
  for (const base::FailureDomainId &Each : Evacuations_.domains())
    Created.Selector_.evacuate(Each, Now);
  return Created;
}

void ForwardingContext::applyPoolLimits(const base::PoolId &Id,
                                        PoolState &Pool) const {
  const auto *Config = findPoolConfig(Id);
  if (!Config)
    return;
  const std::optional<ColdBounds> &Bounds = Settings_.Cold_;
  bool HasColdLimit = Bounds && Config->ColdRequestsPerSecond_ > 0;
  bool MayBeCold = Bounds && Config->ColdTime_ > 0ms;
  double Requests =
      HasColdLimit
          ? Bounds->Factor_ * Config->ColdRequestsPerSecond_ + Bounds->Slack_
          : 0;
  Pool.Selector_.coldLimits().setLimit(Requests, Config->ColdTime_);
  Pool.Selector_.setProtection(MayBeCold || Settings_.EndpointsHaveMemoryLimit_,
                               Settings_.EndpointsHaveMemoryLimit_);
}

void ForwardingContext::applyPoolLimits() {
  for (auto &[Id, Pool] : Pools_)
    applyPoolLimits(Id, Pool);
}

void ForwardingContext::setPlace(PoolState &Pool) {
  base::TimePoint Now = Loop_.now();
  routing::FleetPlace Place{Escrow_.routerCount(), Escrow_.routerIndex()};
  routing::FleetTime Offset = Escrow_.tableTime(Now) - Now.time_since_epoch();
  Pool.Selector_.setPlace(Place, Offset, Now);
  Pool.Selector_.coldLimits().setPlace(Place, Offset, Count_);
}

void ForwardingContext::updateClaims() {
  base::TimePoint Now = Loop_.now();
  std::vector<std::string> Names;
  for (auto &[Id, Pool] : Pools_) {
    routing::RequestLimits &Limits = Pool.Selector_.requestLimits();
    for (const base::EndpointId &Each : Limits.limited()) {
      const ListedEndpoint *Listed = Endpoints_.find(Each);
      if (!Listed || !Limits.isWanted(Each, Now)) {
        Limits.setClaimants(Each, std::nullopt, Now);
        continue;
      }
      Names.push_back(startName(*Listed));
      Limits.setClaimants(Each, Claims_.place(Names.back(), Now), Now);
    }
  }
  Escrow_.setNote(routing::LimitClaims::encode(Names));
}

void ForwardingContext::updateStreamVersions() {
  base::TimePoint Now = Loop_.now();
  for (const auto &[Id, Each] : Endpoints_.usable())
    Streams_.markListed(Each.Pool_, Each.SoftwareVersion_, Now);
  Streams_.sweep(Now);
}

void ForwardingContext::limitResponseBytes() {
  while (ResponseBytes_->exceeded()) {
    std::shared_ptr<ForwardedRequest> Largest;
    for (const auto &Each : OpenRequests_)
      if (Each->collectedBytes() >
          (Largest ? Largest->collectedBytes() : std::size_t{0}))
        Largest = Each;
    if (!Largest)
      return;
    Largest->onOversized();
  }
}

void ForwardingContext::endpointLeaving(const base::EndpointId &Id) {
  Endpoints_.markLeaving(Id);
  applyEndpointChanges();
}

void ForwardingContext::endpointCrashed(const ListedEndpoint &Endpoint,
                                        const routing::CrashReport &Report) {
  observe::log(LogLevel::Warning, "endpoint_crashed",
               {{"endpoint", Endpoint.Endpoint_.str()},
                {"suspects", Report.Suspects_.size()}});
  if (Report.Suspects_.empty())
    return;
  Quarantine_.addCrash(Report, Loop_.now());
  Reports_.Crashes_.push_back(Report);
  quarantineChanged();
}

void ForwardingContext::quarantineChanged() {
  for (const routing::QuarantineChange &Each : Quarantine_.takeChanges())
    observe::log(LogLevel::Warning,
                 Each.Quarantined_ ? "suspect_quarantined" : "suspect_released",
                 {{"kind", routing::toString(Each.Suspect_.Kind_)},
                  {"id", fmt::format("{:x}", Each.Suspect_.Id_)},
                  {"crashes", Each.Crashes_},
                  {"quarantined", Quarantine_.size()}});
  for (const routing::SoundReport &Each : Quarantine_.takeSoundReports())
    Reports_.Sound_.push_back(Each);
  if (!OnReports_)
    Reports_ = {};
  else if (!Reports_.empty())
    OnReports_();
}

void ForwardingContext::applyEvacuationChanges() {
  base::TimePoint Now = Loop_.now();
  for (const EvacuationChange &Each : Evacuations_.takeChanges()) {
    // Half of the time that is left for requests on their way: prompts of the
    // domain are copied to others while requests already stay away.
    base::TimePoint CopyUntil = Now + Settings_.EvacuationTime_ / 2;
    for (auto &[Id, Pool] : Pools_) {
      if (Each.Evacuated_)
        Pool.Selector_.evacuate(Each.Domain_, CopyUntil);
      else
        Pool.Selector_.endEvacuation(Each.Domain_, Now);
    }
    std::size_t Affected = 0;
    for (const auto &[Id, Endpoint] : Endpoints_.usable()) {
      if (Endpoint.Domain_ != Each.Domain_)
        continue;
      ++Affected;
      Origins_.dropIdle(Endpoint.Address_);
    }
    Metrics_.gauge("evacuated_domains",
                   static_cast<double>(Evacuations_.size()));
    observe::log(LogLevel::Warning,
                 Each.Evacuated_ ? "evacuation_began" : "evacuation_ended",
                 {{"domain", Each.Domain_.str()},
                  {"endpoints", Affected},
                  {"evacuated_domains", Evacuations_.size()}});
  }
}

void ForwardingContext::updateCold(routing::DirectPool &Selector,
                                   const ListedEndpoint &Entry,
                                   bool WasUsable) {
  if (!Settings_.Cold_)
    return;
  base::TimePoint Now = Loop_.now();
  bool WasCold = Selector.coldLimits().isCold(Entry.Endpoint_, Now);
  if (Entry.ColdLeft_)
    Selector.coldLimits().setColdUntil(Entry.Endpoint_, Now + *Entry.ColdLeft_);
  else if (!WasUsable)
    Selector.coldLimits().setUnknown(Entry.Endpoint_, Now);
  if (WasCold || !Selector.coldLimits().isCold(Entry.Endpoint_, Now))
    return;
  Selector.becameCold(Entry.Endpoint_);
  observe::log(LogLevel::Info, "endpoint_cold",
               {{"endpoint", Entry.Endpoint_.str()},
                {"left_ms", Entry.ColdLeft_ ? Entry.ColdLeft_->count() : -1},
                {"was_usable", WasUsable}});
}

void ForwardingContext::logMalformedHeader(const base::EndpointId &Endpoint,
                                           std::string_view Header,
                                           std::string_view Request) {
  base::TimePoint Now = Loop_.now();
  auto [Found, New] =
      MalformedLoggedAt_.try_emplace({Endpoint, std::string(Header)}, Now);
  if (!New)
    return;
  observe::log(
      LogLevel::Warning, "answer_header_malformed",
      {{"request", Request}, {"endpoint", Endpoint.str()}, {"header", Header}});
}

void ForwardingContext::applyEndpointChanges() {
  base::TimePoint Now = Loop_.now();
  for (const EndpointChange &Each : Endpoints_.takeChanges()) {
    const ListedEndpoint &Entry = Each.Endpoint_;
    auto &Selector = poolState(Entry.Pool_).Selector_;
    if (Each.DepartureReason_) {
      Selector.remove(Entry.Endpoint_);
      if (*Each.DepartureReason_ == DepartureReason::Restarted)
        Selector.restarted(Entry.Endpoint_);
      Origins_.dropIdle(Entry.Address_);
      observe::log(LogLevel::Info, "endpoint_left",
                   {{"endpoint", Entry.Endpoint_.str()},
                    {"reason", toString(*Each.DepartureReason_)}});
      continue;
    }
    Selector.addOrUpdate({Entry.Endpoint_, Entry.Domain_, Entry.Slots_,
                          cacheTokens(Entry.Pool_)},
                         Now);
    updateCold(Selector, Entry, Each.WasUsable_);
    limitConnections(Entry);
    Streams_.markListed(Entry.Pool_, Entry.SoftwareVersion_, Now);
    observe::log(LogLevel::Info, "endpoint_usable",
                 {{"endpoint", Entry.Endpoint_.str()},
                  {"pool", Entry.Pool_.str()},
                  {"address", base::toString(Entry.Address_)},
                  {"software", Entry.SoftwareVersion_},
                  {"slots", Entry.Slots_}});
  }
}

const Pool *ForwardingContext::findPoolConfig(const base::PoolId &Id) const {
  const ViewPtr &Current = View_.current();
  return Current ? Current->findPool(Id) : nullptr;
}

std::uint64_t ForwardingContext::cacheTokens(const base::PoolId &Id) const {
  const Pool *Config = findPoolConfig(Id);
  return Config && Config->HasEngines_
             ? static_cast<std::uint64_t>(Config->EngineCacheTokens_.count())
             : 0;
}

void ForwardingContext::limitConnections(const ListedEndpoint &Entry) {
  const Pool *Config = findPoolConfig(Entry.Pool_);
  if (!Config)
    return;
  double Share = MaxConnectionShare *
                 static_cast<double>(Config->ConnectionLimit_) /
                 static_cast<double>(Escrow_.routerCount());
  Origins_.setConnectionsPerEndpoint(
      Entry.Address_,
      std::max(MinConnections, static_cast<std::size_t>(Share)));
}

struct DirectRouter::Impl {
  Impl(net::Loop &EventLoop, DirectSettings Settings, budget::Escrow Escrow)
      : Context_(EventLoop, std::move(Settings), std::move(Escrow)),
        Tick_(EventLoop, [this] { tick(); }),
        Turns_(EventLoop, [this] { onTurn(); }) {}

  void handle(net::HttpRequest Request,
              const std::shared_ptr<net::HttpExchange> &Exchange) {
    if (!Request.Pipelined_)
      Context_.Load_.observe(Request.SocketWait_, Context_.Loop_.now());
    if (Context_.lags(Context_.Loop_.now()) && Exchange->endIfCallerLeft()) {
      Context_.Metrics_.count("direct_requests", "outcome", "caller_gone");
      return;
    }
    if (mustShed(Request)) {
      ++ShedRequests_;
      Context_.Metrics_.count("direct_requests", "outcome", "host_overloaded");
      Exchange->respond(overloadAnswer());
      return;
    }
    auto Forwarded = std::make_shared<ForwardedRequest>(
        Context_, std::move(Request), Exchange);
    Forwarded->start();
  }

  /// Whether the request is refused because this host lags. Cheap, so that a
  /// burst of requests does not add to the lag.
  bool mustShed(const net::HttpRequest &Request) const {
    const ViewPtr &Current = Context_.View_.current();
    if (!Context_.Load_.overloaded() || !Current ||
        Context_.Settings_.CpuShare_ >= SmallCpuShare)
      return false;
    const Route *Found = Current->findRouteOfHost(
        Request.Headers_.find("Host").value_or(""), Request.Path_);
    return Found && Context_.Load_.mustRefuse(
                        {Request.Pipelined_ ? 0ms : Request.SocketWait_,
                         Found->FirstByteObjective_, Found->Priority_},
                        Context_.Loop_.now());
  }

  net::HttpAnswer overloadAnswer() {
    daemons::CallerError Error;
    Error.Reason_ = base::RefusalReason::HostOverloaded;
    // With jitter, so that callers refused together do not return together.
    constexpr std::uint32_t JitterMs = 50;
    Error.RetryAfter_ =
        LagRetryAfter + milliseconds(Context_.Random_(JitterMs));
    Context_.Metrics_.countRefusal(Error.Reason_, Error.Ran_);
    return daemons::errorAnswer(Error);
  }

  void updateLoad(base::TimePoint Now) {
    budget::Escrow &Escrow = Context_.Escrow_;
    Context_.Load_.tick({Escrow.routerCount(), Escrow.routerIndex()},
                        Escrow.tableTime(Now), Now);
    bool IsOverloaded = Context_.Load_.overloaded();
    if (IsOverloaded == LoggedOverload_ ||
        Context_.Settings_.CpuShare_ >= SmallCpuShare)
      return;
    LoggedOverload_ = IsOverloaded;
    Context_.Metrics_.gauge("host_overloaded", IsOverloaded ? 1 : 0);
    auto Lag =
        std::chrono::duration_cast<milliseconds>(Context_.Load_.lag(Now));
    observe::log(LogLevel::Warning,
                 IsOverloaded ? "host_overloaded" : "host_recovered",
                 {{"lag_ms", Lag.count()},
                  {"in_progress", Context_.OpenRequests_.size()},
                  {"refused", std::exchange(ShedRequests_, 0)}});
  }

  /// Returns how long a caller may take to send its request: no longer than it
  /// may be kept waiting for the answer.
  std::optional<base::Duration>
  bodyTimeLimit(const net::HttpRequest &Head) const {
    const ViewPtr &Current = Context_.View_.current();
    RequestMetadata Metadata =
        parseRequestHeaders(Head.Headers_, Context_.Settings_.Headers_);
    const Route *Found =
        Current ? Current->findRouteOfHost(Metadata.Host_, Head.Path_)
                : nullptr;
    if (!Found)
      return Metadata.TimeLeft_;
    return std::min(Metadata.TimeLeft_.value_or(Found->Timeout_),
                    Found->Timeout_);
  }

  /// Makes the answer to a request that was not read whole.
  net::HttpAnswer unreadErrorAnswer(unsigned Status) {
    daemons::CallerError Error;
    Error.Reason_ = daemons::reasonOfUnread(Status);
    Context_.Metrics_.countRefusal(Error.Reason_, Error.Ran_);
    if (Error.Reason_ == base::RefusalReason::MemoryLimit) {
      // A line for each would add to the load of many such callers.
      ++MemoryRefusals_;
      Error.RetryAfter_ = MemoryRetryAfter;
      return daemons::errorAnswer(Error);
    }
    observe::log(LogLevel::Info, "request_body_refused",
                 {{"reason", base::toString(Error.Reason_)}});
    return daemons::errorAnswer(Error);
  }

  void
  handleReadinessRequest(const net::HttpRequest &Request,
                         const std::shared_ptr<net::HttpExchange> &Exchange) {
    if (Request.Path_ == "/metrics")
      Exchange->respond(
          {200, {{"Content-Type", "text/plain"}}, Context_.Metrics_.text()});
    else if (Request.Path_ == "/ready")
      Exchange->respond({ready() ? 200U : 503U, {}, ""});
    else
      Exchange->respond({404, {}, ""});
  }

  bool ready() const {
    bool HasRoom =
        Context_.Settings_.CpuShare_ >= SmallCpuShare || Context_.Load_.ready();
    return HasRoom && !Context_.Stopping_ &&
           Context_.View_.current() != nullptr &&
           Context_.Endpoints_.loaded() && Context_.Escrow_.loaded();
  }

  void logReadinessChange() {
    if (ready() == LoggedReady_)
      return;
    LoggedReady_ = ready();
    observe::log(LogLevel::Info, LoggedReady_ ? "ready" : "not_ready",
                 {{"endpoints", Context_.Endpoints_.size()},
                  {"overloaded", Context_.Load_.overloaded()},
                  {"stopping", Context_.Stopping_}});
  }

  /// Notes a pause of the process that has just ended, if there was one. The
  /// ticks keep the loop from waiting for long.
  void onTurn() {
    base::TimePoint Now = Context_.Loop_.now();
    base::Duration Length = Now - std::exchange(TurnedAt_, Now);
    Context_.Load_.observe(std::max<base::Duration>(Length - TickInterval, 0ms),
                           Now);
    if (Length <= MaxTurn)
      return;
    Context_.Pause_ = {Now, Length};
    for (auto &[Id, Pool] : Context_.Pools_)
      Pool.Selector_.setPause(Context_.Pause_);
    Context_.Metrics_.observe("pause_seconds", Length);
    observe::log(
        LogLevel::Warning, "process_paused",
        {{"for_ms", std::chrono::duration_cast<milliseconds>(Length).count()},
         {"in_progress", Context_.OpenRequests_.size()}});
  }

  void tick() {
    base::TimePoint Now = Context_.Loop_.now();
    // What arrived during a long turn is read in the next one.
    bool Unread = Now - TurnedAt_ > MaxTurn;
    if (Unread && !std::exchange(TickSkipped_, true))
      return;
    TickSkipped_ = false;
    PreviousTickAt_ = std::exchange(TickedAt_, Now);
    Context_.Endpoints_.tick(Now);
    Context_.applyEndpointChanges();
    Context_.Evacuations_.tick(Now);
    Context_.applyEvacuationChanges();
    for (auto &[Id, Pool] : Context_.Pools_)
      for (const base::EndpointId &Each : Pool.Selector_.sweep(Now))
        observe::log(LogLevel::Warning, "endpoint_ejected",
                     {{"endpoint", Each.str()}, {"reason", "silent"}});
    for (const auto &Each : Context_.openRequests())
      Each->tick(Now);
    if (Context_.Loans_)
      Context_.Loans_->tick();
    if (Now - SweptAt_ >= SweepInterval) {
      SweptAt_ = Now;
      Context_.Quarantine_.sweep(Now);
      std::erase_if(Context_.MalformedLoggedAt_, [Now](const auto &Each) {
        return Now - Each.second >= MalformedLogInterval;
      });
      Context_.updateStreamVersions();
      Context_.Metrics_.gauge(
          "request_bytes", static_cast<double>(CallerServer_->requestBytes()));
      if (MemoryRefusals_ > 0)
        observe::log(
            LogLevel::Warning, "unfinished_requests_refused",
            {{"reason", base::toString(base::RefusalReason::MemoryLimit)},
             {"refused", std::exchange(MemoryRefusals_, 0)},
             {"request_bytes", CallerServer_->requestBytes()}});
      publishOriginCounters();
    }
    Context_.quarantineChanged();
    Context_.updateClaims();
    updateLoad(Now);
    logReadinessChange();
    if (Context_.Stopping_)
      continueStop(Now);
  }

  /// Publishes what the connections to endpoints have counted since the last
  /// call, and logs what endpoints sent where no answer was due.
  void publishOriginCounters() {
    using net::OriginCounters;
    const OriginCounters Counted = Context_.Origins_.counters();
    const OriginCounters Before = std::exchange(PublishedOrigins_, Counted);
    auto Publish = [&](const char *Event, std::uint64_t OriginCounters::*Of) {
      std::uint64_t Added = Counted.*Of - Before.*Of;
      if (Added > 0)
        Context_.Metrics_.count("endpoint_connections", "event", Event,
                                static_cast<double>(Added));
      return Added;
    };
    Publish("made", &OriginCounters::Connects_);
    Publish("not_made", &OriginCounters::ConnectFailures_);
    Publish("reused", &OriginCounters::Reuses_);
    std::uint64_t PassedOver =
        Publish("id_carried", &OriginCounters::RepeatedIds_);
    std::uint64_t AfterAnswer =
        Publish("extra_bytes", &OriginCounters::ExtraBytes_);
    std::uint64_t WhileIdle =
        Publish("idle_bytes", &OriginCounters::IdleBytes_);
    if (AfterAnswer + WhileIdle > 0)
      observe::log(LogLevel::Warning, "unsolicited_bytes",
                   {{"after_answer", AfterAnswer}, {"while_idle", WhileIdle}});
    if (PassedOver > 0)
      observe::log(LogLevel::Info, "connections_passed_over",
                   {{"id_carried", PassedOver}});
  }

  void offerView(ViewPtr Candidate) {
    std::uint64_t PreviousVersion =
        Context_.View_.current() ? Context_.View_.current()->Version_ : 0;
    if (!Context_.View_.offer(std::move(Candidate)))
      return;
    const View &Current = *Context_.View_.current();
    for (const Account &Each : Current.accounts())
      if (Each.Prepaid_)
        Context_.Escrow_.setBudget(Each.Account_, *Each.Prepaid_);
    Context_.applyPoolLimits();
    if (CallerServer_)
      CallerServer_->setLimits(
          serverLimits(Context_.Settings_, Current.Limits_));
    observe::log(LogLevel::Info, "configuration_in_force",
                 {{"version", Current.Version_},
                  {"before", PreviousVersion},
                  {"routes", Current.routeCount()},
                  {"accounts", Current.accounts().size()}});
    logReadinessChange();
  }

  void escrowChanged() {
    if (Context_.Escrow_.routerCount() != Routers_) {
      Routers_ = Context_.Escrow_.routerCount();
      for (auto &[Id, Pool] : Context_.Pools_)
        Pool.Retries_.setRouterCount(Routers_);
      observe::log(LogLevel::Info, "routers_counted", {{"routers", Routers_}});
    }
    if (auto CountedAt = Context_.Escrow_.countedAt())
      Context_.Count_.add(*CountedAt);
    for (auto &[Id, Pool] : Context_.Pools_)
      Context_.setPlace(Pool);
    if (auto ReadAt = Context_.Escrow_.countedAt(); ReadAt != ClaimsReadAt_) {
      ClaimsReadAt_ = ReadAt;
      Context_.Claims_.read(Context_.Escrow_.notes(),
                            Context_.Settings_.Router_.str(), *ReadAt);
    }
    for (const auto &Each : Context_.openRequests())
      Each->retryReservation();
    logReadinessChange();
  }

  void stop(std::function<void()> OnStopped) {
    if (Context_.Stopping_)
      return;
    Context_.Stopping_ = true;
    // A process that stood still may read a signal long after it was sent.
    base::TimePoint Now = Context_.Loop_.now();
    StopRequestedAt_ = Now - PreviousTickAt_ > MaxTurn ? PreviousTickAt_ : Now;
    Context_.EndsAt_ = StopRequestedAt_ + Context_.Settings_.ShutdownTimeout_;
    Context_.RefusesFrom_ = StopRequestedAt_ + Context_.Settings_.DrainDelay_;
    OnStopped_ = std::move(OnStopped);
    CallerServer_->closeAfterAnswers();
    observe::log(LogLevel::Info, "stopping",
                 {{"in_progress", Context_.OpenRequests_.size()}});
    logReadinessChange();
  }

  void continueStop(base::TimePoint Now) {
    bool RefusesNew = Context_.refusesNew(Now);
    if (RefusesNew) {
      CallerServer_->stopAccepting();
      // Return the tokens that open requests do not need now instead of at the
      // end: the table may be unreachable when the last request has ended.
      Context_.Escrow_.close();
    }
    if (Now >= *Context_.EndsAt_ - FinalAnswerTime)
      for (const auto &Each : Context_.openRequests())
        Each->onProcessEnd();
    bool Idle = RefusesNew && Now >= *Context_.RefusesFrom_ + FinalReadTime &&
                Context_.OpenRequests_.empty() &&
                CallerServer_->inProgress() == 0;
    if ((Idle && Context_.Escrow_.closed()) || Now >= *Context_.EndsAt_) {
      if (auto Callback = std::exchange(OnStopped_, nullptr))
        Callback();
    }
  }

  ForwardingContext Context_;
  std::unique_ptr<net::HttpServer> CallerServer_;
  std::unique_ptr<net::HttpServer> ReadinessServer_;
  net::Timer Tick_;
  net::TurnWatcher Turns_;
  /// When the loop last began a turn.
  base::TimePoint TurnedAt_ = Context_.Loop_.now();
  bool TickSkipped_ = false;
  std::size_t Routers_ = 1;
  std::optional<base::TimePoint> ClaimsReadAt_;
  base::TimePoint SweptAt_{};
  /// Counters of the connections to endpoints that are in the metrics.
  net::OriginCounters PublishedOrigins_;
  bool LoggedReady_ = false;
  bool LoggedOverload_ = false;
  /// Requests refused because of the lag since the last line about it.
  std::uint64_t ShedRequests_ = 0;
  /// Requests refused with MemoryLimit since the last line about it.
  std::uint64_t MemoryRefusals_ = 0;
  base::TimePoint TickedAt_ = Context_.Loop_.now();
  base::TimePoint PreviousTickAt_ = TickedAt_;
  /// When the stop was requested, or the last time before it that the process
  /// is known to have run.
  base::TimePoint StopRequestedAt_{};
  std::function<void()> OnStopped_;
};

DirectRouter::DirectRouter(std::unique_ptr<Impl> Inner)
    : Inner_(std::move(Inner)) {}
DirectRouter::~DirectRouter() = default;

base::Result<std::unique_ptr<DirectRouter>, base::IoError>
DirectRouter::create(net::Loop &EventLoop, DirectSettings Settings,
                     budget::Escrow Escrow) {
  auto Inner =
      std::make_unique<Impl>(EventLoop, std::move(Settings), std::move(Escrow));
  Impl *Implementation = Inner.get();
  BOOST_OUTCOME_TRY(
      Server,
      net::HttpServer::create(
          EventLoop, Implementation->Context_.Settings_.Listen_,
          serverLimits(Implementation->Context_.Settings_),
          [Implementation](net::HttpRequest Request,
                           const std::shared_ptr<net::HttpExchange> &Exchange) {
            Implementation->handle(std::move(Request), Exchange);
          },
          [Implementation](unsigned Status) {
            return Implementation->unreadErrorAnswer(Status);
          }));
  Implementation->CallerServer_ = std::move(Server);
  Implementation->CallerServer_->onConnectionEnd(
      [Implementation](net::ConnectionEnd End) {
        Implementation->Context_.Metrics_.count("caller_connections_ended",
                                                "connection_end",
                                                std::string(toString(End)));
      });
  Implementation->CallerServer_->setBodyTimeLimit(
      [Implementation](const net::HttpRequest &Head) {
        return Implementation->bodyTimeLimit(Head);
      });
  net::HttpServerLimits Limits;
  Limits.HeaderBytes_ = MaxReadinessHeaderBytes;
  BOOST_OUTCOME_TRY(
      Readiness,
      net::HttpServer::create(
          EventLoop, Implementation->Context_.Settings_.ReadinessListen_,
          Limits,
          [Implementation](const net::HttpRequest &Request,
                           const std::shared_ptr<net::HttpExchange> &Exchange) {
            Implementation->handleReadinessRequest(Request, Exchange);
          }));
  Implementation->ReadinessServer_ = std::move(Readiness);
  ForwardingContext &Context = Implementation->Context_;
  if (Context.Settings_.LoanListen_) {
    BOOST_OUTCOME_TRY(
        Loans, TokenLoans::create(EventLoop, Context.Escrow_, Context.Metrics_,
                                  *Context.Settings_.LoanListen_));
    Context.Loans_ = std::move(Loans);
  }
  Implementation->Tick_.startRepeating(TickInterval);
  return std::unique_ptr<DirectRouter>(new DirectRouter(std::move(Inner)));
}

void DirectRouter::offerView(ViewPtr Candidate) {
  Inner_->offerView(std::move(Candidate));
}

void DirectRouter::setSourceReachable(bool Reachable) {
  auto &LostAt = Inner_->Context_.SourceLostAt_;
  if (Reachable)
    LostAt.reset();
  else if (!LostAt)
    LostAt = Inner_->Context_.Loop_.now();
}

EndpointList &DirectRouter::endpoints() { return Inner_->Context_.Endpoints_; }
void DirectRouter::endpointsChanged() {
  Inner_->Context_.applyEndpointChanges();
  Inner_->logReadinessChange();
}
Evacuations &DirectRouter::evacuations() {
  return Inner_->Context_.Evacuations_;
}
void DirectRouter::evacuationsChanged() {
  Inner_->Context_.applyEvacuationChanges();
}
budget::Escrow &DirectRouter::escrow() { return Inner_->Context_.Escrow_; }
void DirectRouter::onTokensNeeded(std::function<void()> Callback) {
  Inner_->Context_.OnTokensNeeded_ = std::move(Callback);
}
void DirectRouter::escrowChanged() { Inner_->escrowChanged(); }
void DirectRouter::onCrashReports(std::function<void()> Callback) {
  Inner_->Context_.OnReports_ = std::move(Callback);
}
CrashReports DirectRouter::takeCrashReports() {
  return std::exchange(Inner_->Context_.Reports_, {});
}
void DirectRouter::addCrashReports(const CrashReports &Reports) {
  ForwardingContext &Context = Inner_->Context_;
  base::TimePoint Now = Context.Loop_.now();
  for (const routing::CrashReport &Each : Reports.Crashes_)
    Context.Quarantine_.addCrash(Each, Now);
  for (const routing::SoundReport &Each : Reports.Sound_)
    Context.Quarantine_.addSound(Each, Now);
  Context.quarantineChanged();
}
StreamVersions &DirectRouter::streams() { return Inner_->Context_.Streams_; }
void DirectRouter::streamsWritten(const std::vector<StreamOrigin> &Written) {
  Inner_->Context_.Streams_.markWritten(Written);
  for (const auto &Each : Inner_->Context_.openRequests())
    Each->passOnHeldEvents();
}
void DirectRouter::onStreamLookup(StreamLookup Lookup) {
  Inner_->Context_.FindStream_ = std::move(Lookup);
}
std::size_t DirectRouter::responseBytes() const {
  return Inner_->Context_.ResponseBytes_->Held_;
}
observe::Metrics &DirectRouter::metrics() { return Inner_->Context_.Metrics_; }
bool DirectRouter::ready() const { return Inner_->ready(); }
void DirectRouter::stop(std::function<void()> OnStopped) {
  Inner_->stop(std::move(OnStopped));
}

} // namespace camphorwind::direct
