#include "camphorwind/bench/routing-simulation.h"

#include "camphorwind/routing/balancer.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <numeric>
#include <queue>
#include <unordered_map>

namespace camphorwind::bench {

namespace {

using base::TimePoint;
using routing::Assignment;
using routing::Balancer;
using routing::FailureKind;

constexpr std::size_t Engines = 12;
constexpr std::size_t PlainEndpoints = 4;
constexpr std::size_t Endpoints = Engines + PlainEndpoints;
constexpr std::size_t Domains = 4;
constexpr std::uint32_t Routers = 4;
constexpr base::Duration WarmUp = 15s;
constexpr base::Duration RunTime = 60s;
/// When the scenario's fault begins.
constexpr base::Duration FaultAt = 25s;
constexpr base::Duration BurstFor = 15s;
constexpr base::Duration ReportEvery = 250ms;
constexpr std::chrono::milliseconds ReportLag = 500ms;
constexpr base::Duration EventLag = 1s;
constexpr double EventLoss = 0.05;
/// An attempt that makes no progress for this long is given up.
constexpr base::Duration StallLimit = 2s;
/// Heartbeats show this long after the fault that a host is gone.
constexpr base::Duration LinkTimeout = 1s;
/// Tickets of a leaving endpoint are gone by then.
constexpr base::Duration LeavingSpread = 2s;
constexpr std::uint32_t MaxAttempts = 3;
constexpr std::size_t BurstAccount = 0;
constexpr std::size_t Victim = 3;

using Milliseconds = std::chrono::duration<double, std::milli>;

double milliseconds(base::Duration Span) { return Milliseconds(Span).count(); }

double offeredShare(Scenario Case) {
  return Case == Scenario::Overload ? 1.5 : 0.9;
}

EngineShape plainShape() { return {8, 0, 20ms, 0us, 0us, 1000}; }

/// Work in generated tokens, as fair shares count it.
double workOf(const Call &Which) {
  constexpr double PromptTokensPerOutputToken = 16;
  return Which.Job_.OutputTokens_ +
         Which.Job_.PromptTokens_ / PromptTokensPerOutputToken;
}

struct Flight {
  Call Call_;
  std::size_t Router_ = 0;
  TimePoint ArrivedAt_{};
  TimePoint ProgressAt_{};
  bool Answered_ = false;
  std::uint32_t Attempt_ = 0;
  std::size_t At_ = Endpoints;
  std::vector<base::EndpointId> Avoid_;
};

class Simulation {
public:
  Simulation(Workload Kind, Scenario Case, routing::PolicyKind Policy,
             double Capacity, std::uint64_t Seed);
  Outcome run();

private:
  void at(TimePoint When, std::function<void()> What);
  void addEndpoints();
  routing::EndpointTraits traitsOf(std::size_t Endpoint) const;
  void arrive();
  void scheduleArrival();
  void submit(const Call &Made);
  void enqueue(Flight &Which);
  void pump(std::size_t Router);
  void start(std::size_t Router, const Assignment &To);
  void step(std::size_t Endpoint);
  void produced(std::size_t Endpoint, const Produced &Token);
  void finish(Flight &Which);
  void giveUp(std::uint64_t Id, FailureKind Kind);
  void checkStalls();
  void report();
  void publish();
  void beginFault();
  void silence(std::size_t Endpoint);
  void failDomain();
  bool measured(const Flight &Which) const;
  void refused(std::uint64_t Id);
  void fairness();

  Workload Kind_;
  Scenario Case_;
  double Capacity_;
  base::Random Random_;
  Caller Caller_;
  std::vector<EngineModel> Models_;
  std::vector<bool> Stepping_ = std::vector<bool>(Endpoints);
  std::vector<bool> Silent_ = std::vector<bool>(Endpoints);
  std::vector<std::string> Names_;
  std::vector<Balancer> Routers_;
  std::unordered_map<std::uint64_t, Flight> Flights_;
  struct Event {
    TimePoint When_;
    std::uint64_t Order_;
    std::function<void()> What_;
    bool operator>(const Event &Other) const {
      return std::tie(When_, Order_) > std::tie(Other.When_, Other.Order_);
    }
  };
  std::priority_queue<Event, std::vector<Event>, std::greater<>> Events_;
  std::uint64_t NextOrder_ = 0;
  TimePoint Start_{std::chrono::hours(1)};
  TimePoint Now_ = Start_;
  Outcome Out_;
  std::vector<double> Offered_;
  std::vector<double> Served_;
  std::uint64_t PromptAtWarmUp_ = 0;
  std::uint64_t CachedAtWarmUp_ = 0;
};

Simulation::Simulation(Workload Kind, Scenario Case, routing::PolicyKind Policy,
                       double Capacity, std::uint64_t Seed)
    : Kind_(Kind), Case_(Case), Capacity_(Capacity), Random_(Seed),
      Caller_(Kind, Seed + 1), Offered_(Kind.Accounts_.size()),
      Served_(Kind.Accounts_.size()) {
  for (std::size_t Index = 0; Index < Endpoints; ++Index) {
    Models_.emplace_back(Index < Engines ? EngineShape() : plainShape());
    Names_.push_back("e");
    Names_.back() += std::to_string(Index);
  }
  for (std::uint32_t Index = 0; Index < Routers; ++Index) {
    routing::BalancerOptions Options;
    Options.Policy_ = Policy;
    Options.Seed_ = Seed * Routers + Index;
    Options.TokensPerBlock_ = TokensPerBlock;
    Routers_.push_back(std::move(Balancer::create(Options).value()));
  }
  addEndpoints();
}

routing::EndpointTraits Simulation::traitsOf(std::size_t Endpoint) const {
  bool Engine = Endpoint < Engines;
  EngineShape Shape = Engine ? EngineShape() : plainShape();
  routing::EndpointTraits Traits;
  Traits.Endpoint_ = base::EndpointId(Names_[Endpoint]);
  Traits.Pool_ = base::PoolId(Engine ? "models" : "plain");
  Traits.Domain_ = base::FailureDomainId(std::to_string(Endpoint % Domains));
  Traits.Slots_ = Shape.Slots_;
  Traits.PromptTokensPerSecond_ = Engine ? 15000 : 1e9;
  Traits.TokenInterval_ = Engine ? 20ms : 50ms;
  Traits.NetworkDelay_ = 500us;
  return Traits;
}

void Simulation::addEndpoints() {
  for (Balancer &Each : Routers_)
    for (std::size_t Index = 0; Index < Endpoints; ++Index)
      Each.addEndpoint(traitsOf(Index), Now_);
}

void Simulation::at(TimePoint When, std::function<void()> What) {
  Events_.push({When, ++NextOrder_, std::move(What)});
}

bool Simulation::measured(const Flight &Which) const {
  return Which.ArrivedAt_ >= Start_ + WarmUp &&
         Which.ArrivedAt_ < Start_ + RunTime;
}

void Simulation::scheduleArrival() {
  double Rate = Capacity_ * offeredShare(Case_);
  double Gap = std::exponential_distribution<>(Rate)(Random_);
  at(Now_ + std::chrono::duration_cast<base::Duration>(
                std::chrono::duration<double>(Gap)),
     [this] { arrive(); });
}

void Simulation::arrive() {
  submit(Caller_.next());
  bool Bursting = Case_ == Scenario::Burst && Now_ >= Start_ + FaultAt &&
                  Now_ < Start_ + FaultAt + BurstFor;
  if (Bursting)
    submit(Caller_.next(BurstAccount));
  if (Now_ < Start_ + RunTime)
    scheduleArrival();
}

void Simulation::submit(const Call &Made) {
  Flight &Which = Flights_[Made.Id_];
  Which.Call_ = Made;
  Which.Router_ = Random_(Routers);
  Which.ArrivedAt_ = Now_;
  if (measured(Which)) {
    ++Out_.Offered_;
    Out_.OthersOffered_ += Made.Account_ != BurstAccount ? 1 : 0;
    Offered_[Made.Account_] += workOf(Made);
  }
  enqueue(Which);
}

void Simulation::enqueue(Flight &Which) {
  const Call &Made = Which.Call_;
  routing::RequestTraits Request;
  Request.Request_ = base::RequestId(std::to_string(Made.Id_));
  Request.Account_ = base::AccountId(std::to_string(Made.Account_));
  Request.Pool_ = base::PoolId(Made.Plain_ ? "plain" : "models");
  Request.Deadline_ = Which.ArrivedAt_ + Kind_.Deadline_;
  Request.PromptTokens_ = base::Tokens(Made.Job_.PromptTokens_);
  Request.MaxOutputTokens_ = base::Tokens(Made.OutputBound_);
  Request.Blocks_ = Made.Job_.Blocks_;
  Request.Attempt_ = Which.Attempt_ + 1;
  Request.Avoid_ = Which.Avoid_;
  std::size_t Router = Which.Router_;
  if (Routers_[Router].enqueue(std::move(Request), Now_))
    refused(Made.Id_);
  pump(Router);
}

void Simulation::refused(std::uint64_t Id) { Flights_.erase(Id); }

void Simulation::pump(std::size_t Router) {
  routing::Decisions Made = Routers_[Router].dispatch(Now_);
  for (const routing::Refusal &Each : Made.Refusals_)
    refused(std::stoull(Each.Request_.str()));
  for (const Assignment &Each : Made.Assignments_)
    start(Router, Each);
  for (const base::EndpointId &Each : Made.Resyncs_) {
    std::size_t Index = std::stoull(Each.str().substr(1));
    at(Now_ + EventLag, [this, Router, Index] {
      if (!Silent_[Index])
        Routers_[Router].cacheSnapshot(Models_[Index].snapshot(Names_[Index]));
    });
  }
}

void Simulation::start(std::size_t, const Assignment &To) {
  std::size_t Endpoint = std::stoull(To.Endpoint_.str().substr(1));
  Flight &Which = Flights_.at(std::stoull(To.Request_.str()));
  ++Which.Attempt_;
  Which.At_ = Endpoint;
  Which.ProgressAt_ = Now_;
  if (measured(Which)) {
    ++Out_.Attempts_;
    Out_.Tried_ += Which.Attempt_ == 1 ? 1 : 0;
  }
  if (Case_ == Scenario::Leaving && Endpoint == Victim &&
      Now_ >= Start_ + FaultAt + 3s)
    ++Out_.NewAfterLeaving_;
  Job Work = Which.Call_.Job_;
  // Ids at engines are by attempt, so that a late token is no one else's.
  Work.Id_ = Work.Id_ * MaxAttempts + (Which.Attempt_ - 1);
  Models_[Endpoint].submit(std::move(Work));
  if (!Stepping_[Endpoint] && !Silent_[Endpoint])
    step(Endpoint);
}

void Simulation::step(std::size_t Endpoint) {
  Stepping_[Endpoint] = true;
  at(Now_ + Models_[Endpoint].startStep(), [this, Endpoint] {
    Stepping_[Endpoint] = false;
    if (Silent_[Endpoint])
      return;
    for (const Produced &Token : Models_[Endpoint].endStep())
      produced(Endpoint, Token);
    if (!Stepping_[Endpoint] && !Models_[Endpoint].idle())
      step(Endpoint);
  });
}

void Simulation::produced(std::size_t Endpoint, const Produced &Token) {
  auto Found = Flights_.find(Token.Id_ / MaxAttempts);
  if (Found == Flights_.end())
    return;
  Flight &Which = Found->second;
  bool Current =
      Which.At_ == Endpoint && Token.Id_ % MaxAttempts == Which.Attempt_ - 1;
  if (!Current)
    return;
  bool Shown = measured(Which) && !Which.Call_.Plain_;
  if (Token.First_) {
    base::RequestId Id(std::to_string(Which.Call_.Id_));
    Routers_[Which.Router_].firstToken(Id, Now_);
    if (Shown && !Which.Answered_)
      Out_.FirstTokenMs_.push_back(milliseconds(Now_ - Which.ArrivedAt_));
    Which.Answered_ = true;
  } else if (Shown) {
    Out_.InterTokenMs_.push_back(milliseconds(Now_ - Which.ProgressAt_));
  }
  Which.ProgressAt_ = Now_;
  if (Token.Last_)
    finish(Which);
}

void Simulation::finish(Flight &Which) {
  std::size_t Router = Which.Router_;
  Routers_[Router].finished(base::RequestId(std::to_string(Which.Call_.Id_)),
                            base::Tokens(Which.Call_.Job_.OutputTokens_), Now_);
  Caller_.answered(Which.Call_);
  bool InTime = Now_ <= Which.ArrivedAt_ + Kind_.Deadline_;
  if (measured(Which) && InTime) {
    ++Out_.InDeadline_;
    Out_.OthersInDeadline_ += Which.Call_.Account_ != BurstAccount ? 1 : 0;
    Served_[Which.Call_.Account_] += workOf(Which.Call_);
  }
  Flights_.erase(Which.Call_.Id_);
  pump(Router);
}

void Simulation::giveUp(std::uint64_t Id, FailureKind Kind) {
  Flight &Which = Flights_.at(Id);
  std::size_t Router = Which.Router_;
  Models_[Which.At_].cancel(Id * MaxAttempts + (Which.Attempt_ - 1));
  Routers_[Router].failed(base::RequestId(std::to_string(Id)), Kind, Now_);
  Which.Avoid_.emplace_back(Names_[Which.At_]);
  Which.At_ = Endpoints;
  if (Which.Attempt_ >= MaxAttempts) {
    Flights_.erase(Id);
    return;
  }
  enqueue(Which);
}

void Simulation::checkStalls() {
  std::vector<std::uint64_t> Stalled;
  for (const auto &[Id, Which] : Flights_)
    if (Which.At_ < Endpoints && Now_ - Which.ProgressAt_ > StallLimit)
      Stalled.push_back(Id);
  std::sort(Stalled.begin(), Stalled.end());
  for (std::uint64_t Id : Stalled)
    giveUp(Id, FailureKind::Stalled);
  for (std::size_t Router = 0; Router < Routers; ++Router)
    pump(Router);
  at(Now_ + 100ms, [this] { checkStalls(); });
}

void Simulation::report() {
  for (std::size_t Index = 0; Index < Endpoints; ++Index) {
    if (Silent_[Index])
      continue;
    routing::LoadReport Sample =
        Models_[Index].report(Names_[Index], Routers, ReportLag);
    at(Now_ + ReportLag, [this, Sample] {
      for (std::size_t Router = 0; Router < Routers; ++Router) {
        Routers_[Router].loadReport(Sample, Now_);
        pump(Router);
      }
    });
  }
  at(Now_ + ReportEvery, [this] { report(); });
}

void Simulation::publish() {
  for (std::size_t Index = 0; Index < Engines; ++Index) {
    if (Silent_[Index])
      continue;
    routing::CacheEvent Changes = Models_[Index].takeEvent(Names_[Index]);
    for (std::size_t Router = 0; Router < Routers; ++Router) {
      if (std::uniform_real_distribution<>(0, 1)(Random_) < EventLoss)
        continue;
      at(Now_ + EventLag, [this, Router, Changes] {
        Routers_[Router].cacheEvent(Changes, Now_);
      });
    }
  }
  at(Now_ + 250ms, [this] { publish(); });
}

void Simulation::silence(std::size_t Endpoint) { Silent_[Endpoint] = true; }

void Simulation::failDomain() {
  for (std::size_t Index = 0; Index < Endpoints; ++Index)
    if (Index % Domains == Victim % Domains)
      silence(Index);
  at(Now_ + LinkTimeout, [this] {
    std::vector<std::uint64_t> Lost;
    for (const auto &[Id, Which] : Flights_)
      if (Which.At_ < Endpoints && Silent_[Which.At_])
        Lost.push_back(Id);
    std::sort(Lost.begin(), Lost.end());
    for (Balancer &Each : Routers_)
      for (std::size_t Index = 0; Index < Endpoints; ++Index)
        if (Silent_[Index])
          Each.setReachable(base::EndpointId(Names_[Index]), false, Now_);
    for (std::uint64_t Id : Lost)
      giveUp(Id, FailureKind::LinkLost);
  });
}

void Simulation::beginFault() {
  switch (Case_) {
  case Scenario::SlowEngine:
    Models_[Victim].setSlowFactor(5);
    return;
  case Scenario::SilentEngine:
    silence(Victim);
    return;
  case Scenario::Leaving:
    for (std::uint32_t Router = 0; Router < Routers; ++Router)
      at(Now_ + LeavingSpread * (Router + 1) / Routers, [this, Router] {
        Routers_[Router].markLeaving(base::EndpointId(Names_[Victim]), Now_);
      });
    return;
  case Scenario::DomainGone:
    failDomain();
    return;
  case Scenario::Steady:
  case Scenario::Overload:
  case Scenario::Burst:
    return;
  }
}

/// Divides what was served as evenly as the accounts' demands allow and
/// compares each account's part with that.
void Simulation::fairness() {
  double Left = std::accumulate(Served_.begin(), Served_.end(), 0.0);
  std::vector<double> Fair(Offered_.size());
  std::vector<std::size_t> Order(Offered_.size());
  std::iota(Order.begin(), Order.end(), 0);
  std::sort(Order.begin(), Order.end(), [this](std::size_t A, std::size_t B) {
    return Offered_[A] < Offered_[B];
  });
  double Sum = 0;
  double Squares = 0;
  for (std::size_t Place = 0; Place < Order.size(); ++Place) {
    std::size_t Account = Order[Place];
    double Even = Left / static_cast<double>(Order.size() - Place);
    Fair[Account] = std::min(Offered_[Account], Even);
    Left -= Fair[Account];
    double Part = Served_[Account] / std::max(Fair[Account], 1.0);
    Sum += Part;
    Squares += Part * Part;
  }
  Out_.Jain_ = Squares > 0
                   ? Sum * Sum / (static_cast<double>(Order.size()) * Squares)
                   : 1;
}

Outcome Simulation::run() {
  scheduleArrival();
  at(Now_ + ReportEvery, [this] { report(); });
  at(Now_ + 250ms, [this] { publish(); });
  at(Now_ + 100ms, [this] { checkStalls(); });
  at(Start_ + FaultAt, [this] { beginFault(); });
  at(Start_ + WarmUp, [this] {
    for (const EngineModel &Each : Models_) {
      PromptAtWarmUp_ += Each.promptTokens();
      CachedAtWarmUp_ += Each.cachedTokens();
    }
  });
  TimePoint End = Start_ + RunTime + Kind_.Deadline_ + 5s;
  while (!Events_.empty() && Events_.top().When_ < End) {
    Event Next = Events_.top();
    Events_.pop();
    Now_ = Next.When_;
    Next.What_();
  }
  for (std::size_t Index = 0; Index < Engines; ++Index) {
    Out_.PromptTokens_ += Models_[Index].promptTokens();
    Out_.CachedTokens_ += Models_[Index].cachedTokens();
  }
  Out_.PromptTokens_ -= PromptAtWarmUp_;
  Out_.CachedTokens_ -= CachedAtWarmUp_;
  for (const Balancer &Each : Routers_)
    for (std::uint64_t Count : Each.counters().Ejections_)
      Out_.Ejections_ += Count;
  std::chrono::duration<double> Measured = RunTime - WarmUp;
  Out_.OfCapacity_ =
      static_cast<double>(Out_.InDeadline_) / (Capacity_ * Measured.count());
  fairness();
  return std::move(Out_);
}

} // namespace

std::string toString(Scenario Case) {
  constexpr std::array<const char *, ScenarioCount> Names{
      "steady",  "overload",    "slow_engine", "silent_engine",
      "leaving", "domain_gone", "burst"};
  return Names[static_cast<std::size_t>(Case)];
}

double capacityOf(const Workload &Kind, std::uint64_t Seed) {
  constexpr std::uint32_t Ahead = 40;
  Caller Calls(Kind, Seed);
  std::vector<EngineModel> Models(Engines, EngineModel(EngineShape()));
  std::vector<TimePoint> Ends(Engines);
  std::vector<std::uint32_t> Present(Engines);
  std::unordered_map<std::uint64_t, Call> Open;
  std::uint64_t Answered = 0;
  std::uint64_t Plain = 0;
  TimePoint Now{};
  // The engine whose step ends first goes on, until all have had their time.
  while (Now < TimePoint() + RunTime) {
    std::size_t Next = static_cast<std::size_t>(
        std::min_element(Ends.begin(), Ends.end()) - Ends.begin());
    Now = Ends[Next];
    bool Counts = Now >= TimePoint() + WarmUp;
    for (const Produced &Token : Models[Next].endStep()) {
      if (!Token.Last_)
        continue;
      --Present[Next];
      Answered += Counts ? 1 : 0;
      Calls.answered(Open.at(Token.Id_));
      Open.erase(Token.Id_);
    }
    while (Present[Next] < Ahead) {
      Call Made = Calls.next();
      if (Made.Plain_) {
        Plain += Counts ? 1 : 0;
        continue;
      }
      ++Present[Next];
      Models[Next].submit(Made.Job_);
      Open.emplace(Made.Id_, std::move(Made));
    }
    Ends[Next] = Now + Models[Next].startStep();
  }
  std::chrono::duration<double> Measured = RunTime - WarmUp;
  return static_cast<double>(Answered + Plain) / Measured.count();
}

Outcome simulate(const Workload &Kind, Scenario Case,
                 routing::PolicyKind Policy, double Capacity,
                 std::uint64_t Seed) {
  return Simulation(Kind, Case, Policy, Capacity, Seed).run();
}

} // namespace camphorwind::bench
