#include "world.h"

#include <algorithm>
#include <utility>

namespace camphorwind::budget::test {

namespace {

constexpr base::Duration TickInterval = std::chrono::milliseconds(100);

template <class... Cases> struct Overloaded : Cases... {
  using Cases::operator()...;
};
template <class... Cases> Overloaded(Cases...) -> Overloaded<Cases...>;

} // namespace

World::World(WorldSettings Settings)
    : Settings_(std::move(Settings)), Random_(Settings_.Seed_) {
  Routers_.resize(Settings_.Routers_);
  Agents_.resize(Settings_.Agents_);
  for (std::size_t Index = 0; Index < Agents_.size(); ++Index)
    bootAgent(Index);
  for (std::size_t Index = 0; Index < Routers_.size(); ++Index)
    bootRouter(Index);
}

bool World::chance(double Probability) {
  return std::uniform_real_distribution<>()(Random_) < Probability;
}

base::Duration World::jitter(base::Duration Mean) {
  return std::uniform_int_distribution<base::Duration::rep>(
             Mean.count() / 2, Mean.count() * 3 / 2)(Random_) *
         base::Duration(1);
}

void World::addBudget(const base::BudgetId &Budget, Policy Sizing) {
  Budgets_.insert_or_assign(Budget, Sizing);
  for (SimulatedRouter &Each : Routers_)
    Each.Ledger_->addBudget(Budget, Sizing);
}

void World::topUp(const base::BudgetId &Budget, base::Tokens Amount) {
  BudgetRow Row = budget(Budget);
  Row.Prepaid_ += Amount;
  const std::string Key = budgetKey(Budget);
  Table_.transact({{}, {{Key, encode(Row)}}});
}

BudgetRow World::budget(const base::BudgetId &Budget) const {
  const base::Row Found = Table_.at(budgetKey(Budget));
  if (Found.Version_ == 0)
    return {};
  return decodeBudget(Found.Value_).value();
}

void World::bootRouter(std::size_t Index) {
  std::erase_if(Reclaims_,
                [&](const auto &Each) { return Each->Router_ == Index; });
  SimulatedRouter &Each = Routers_[Index];
  Each.Id_ = base::RouterId("router-" + std::to_string(Index));
  Each.Incarnation_ = base::Incarnation("r" + std::to_string(Index) + "." +
                                        std::to_string(++LastIncarnation_));
  Each.Running_.clear();
  Each.Backlog_.clear();
  Each.LastAlive_ = Now_;
  Each.Paused_ = false;
  Each.Closed_ = false;
  LedgerSettings Config = Settings_.Ledger_;
  Config.Router_ = Each.Id_;
  Config.Incarnation_ = Each.Incarnation_;
  Each.Committer_.reset();
  Each.Ledger_ =
      std::make_unique<Ledger>(std::move(Ledger::create(Config).value()));
  Each.Committer_ =
      std::make_unique<Committer>(Settings_.Committer_, *Each.Ledger_);
  Each.Ledger_->setRouterCount(Settings_.Routers_);
  for (const auto &[Budget, Sizing] : Budgets_)
    Each.Ledger_->addBudget(Budget, Sizing);
  updateWitnesses(Index);
  Each.Ledger_->start(Now_);
}

void World::bootAgent(std::size_t Index) {
  SimulatedAgent &Each = Agents_[Index];
  Each.Incarnation_ = base::Incarnation("a" + std::to_string(Index) + "." +
                                        std::to_string(++LastIncarnation_));
  WitnessSettings Config;
  Config.Agent_ = Each.Incarnation_;
  Each.Witness_ =
      std::make_unique<Witness>(std::move(Witness::create(Config).value()));
}

void World::updateWitnesses(std::size_t Index) {
  SimulatedRouter &Each = Routers_[Index];
  for (const WitnessEntry &Known : std::vector(Each.Ledger_->witnesses())) {
    const bool Gone = Dead_.contains(Known.Agent_);
    if (!Gone || !Each.Ledger_->isUsableWitness(Known.Agent_))
      continue;
    std::vector<base::AttemptId> Lost;
    for (const auto &[Attempt, State] : Each.Running_)
      if (State.Incarnation_ == Known.Agent_ && !State.Committing_)
        Lost.push_back(Attempt);
    for (const base::AttemptId &Attempt : Lost) {
      Each.Ledger_->release(Attempt, {});
      end(Index, Attempt, {CallEnd::Unknown, {}});
    }
    Each.Committer_->onAgentGone(Known.Agent_, Now_);
    Each.Ledger_->retireWitness(Known.Agent_);
  }
  for (std::size_t Agent = 0; Agent < Agents_.size(); ++Agent)
    if (!Each.CutAgents_.contains(Agent))
      Each.Ledger_->addWitness({Agents_[Agent].Incarnation_,
                                base::EndpointId(std::to_string(Agent)),
                                base::HostId(std::to_string(Agent)), ""});
}

void World::schedule(base::Duration Delay, std::function<void()> Callback) {
  Events_.push({Now_ + Delay, ++EventNumber_, std::move(Callback)});
}

void World::advance(base::Duration Step) {
  const base::TimePoint End = Now_ + Step;
  while (true) {
    const bool EventIsNext = !Events_.empty() && Events_.top().At_ <= NextTick_;
    const base::TimePoint Next = EventIsNext ? Events_.top().At_ : NextTick_;
    if (Next > End)
      break;
    Now_ = Next;
    if (EventIsNext) {
      const std::function<void()> Callback = Events_.top().Callback_;
      Events_.pop();
      Callback();
    } else {
      tick();
      NextTick_ = Now_ + TickInterval;
    }
  }
  Now_ = End;
}

void World::tick() {
  for (std::size_t Index = 0; Index < Routers_.size(); ++Index)
    if (!Routers_[Index].Paused_)
      tickRouter(Index);
  startReclaims();
  for (std::size_t Index = 0; Index < Reclaims_.size(); ++Index) {
    RunningReclaim &Each = *Reclaims_[Index];
    if (Routers_[Each.Router_].Paused_)
      continue;
    Each.Reclaimer_->tick(Now_);
    performReclaimActions(Each);
  }
  std::erase_if(Reclaims_,
                [](const auto &Each) { return Each->Reclaimer_->ended(); });
}

void World::tickRouter(std::size_t Index) {
  SimulatedRouter &Each = Routers_[Index];
  for (std::size_t Agent = 0; Agent < Agents_.size(); ++Agent)
    if (!Each.CutAgents_.contains(Agent))
      Agents_[Agent].Witness_->recordContact(Each.Incarnation_, Now_);
  Each.LastAlive_ = Now_;
  updateWitnesses(Index);
  Each.Committer_->tick(Now_);
  Each.Ledger_->tick(Now_);
  performActions(Index);
}

void World::startReclaims() {
  for (std::size_t Index = 0; Index < Routers_.size(); ++Index)
    if (Now_ - Routers_[Index].LastAlive_ > Settings_.SuspectAfter_)
      Suspects_.try_emplace(Routers_[Index].Incarnation_, base::TimePoint());
  for (auto &Entry : Suspects_) {
    const base::Incarnation &Suspect = Entry.first;
    base::TimePoint &LastStarted = Entry.second;
    const bool NeedsReclaim =
        Table_.at(leaseKey(Suspect)).Version_ != 0 &&
        std::none_of(Reclaims_.begin(), Reclaims_.end(), [&](const auto &Each) {
          return Each->Reclaimer_->router() == Suspect;
        });
    if (!NeedsReclaim || Now_ - LastStarted < Settings_.SuspectAfter_)
      continue;
    LastStarted = Now_;
    for (std::size_t Router = 0; Router < Routers_.size(); ++Router)
      if (!Routers_[Router].TableCut_ && !Routers_[Router].Paused_)
        reclaim(Router, Suspect);
  }
}

void World::runOnRouter(std::size_t Index, base::Duration Delay,
                        std::function<void()> Callback) {
  const base::Incarnation Addressee = Routers_[Index].Incarnation_;
  schedule(Delay, [this, Index, Addressee, Callback = std::move(Callback)] {
    SimulatedRouter &Each = Routers_[Index];
    if (Each.Incarnation_ != Addressee)
      return;
    if (Each.Paused_) {
      Each.Backlog_.push_back(Callback);
      return;
    }
    Callback();
    performActions(Index);
  });
}

void World::sendToAgent(std::size_t From, const base::Incarnation &To,
                        std::function<void(std::size_t)> Callback) {
  const auto Target = std::find_if(
      Agents_.begin(), Agents_.end(),
      [&](const SimulatedAgent &Each) { return Each.Incarnation_ == To; });
  if (Target == Agents_.end())
    return;
  const auto Index = static_cast<std::size_t>(Target - Agents_.begin());
  const auto Deliver = [this, From, Index, To, Callback] {
    const bool Cut = Routers_[From].CutAgents_.contains(Index);
    if (!Cut && Agents_[Index].Incarnation_ == To)
      Callback(Index);
  };
  if (!chance(Settings_.LostMessageRate_))
    schedule(jitter(Settings_.LinkDelay_), Deliver);
  if (chance(Settings_.RepeatedMessageRate_))
    schedule(jitter(Settings_.LinkDelay_ * 500), Deliver);
}

void World::sendCommitReply(std::size_t Agent, std::size_t To,
                            CommitReply Reply) {
  if (Routers_[To].CutAgents_.contains(Agent) ||
      chance(Settings_.LostMessageRate_))
    return;
  const base::Incarnation Addressee = Routers_[To].Incarnation_;
  const auto Deliver = [=, this, Reply = std::move(Reply)] {
    if (Routers_[To].Incarnation_ != Addressee)
      return;
    Routers_[To].Committer_->onReply(Reply, Now_);
  };
  if (chance(Settings_.RepeatedMessageRate_))
    runOnRouter(To, jitter(Settings_.LinkDelay_ * 500), Deliver);
  runOnRouter(To, jitter(Settings_.LinkDelay_), Deliver);
}

void World::transact(std::size_t Router, base::Transaction Change,
                     std::function<void(base::TransactionResult)> Done) {
  base::TransactionResult NoReply;
  NoReply.Status_ = base::TransactionStatus::NotSent;
  if (Routers_[Router].TableCut_) {
    runOnRouter(Router, Settings_.TableDelay_,
                [Done, NoReply] { Done(NoReply); });
    return;
  }
  ++TableWrites_;
  NoReply.Status_ = base::TransactionStatus::Unknown;
  const bool ReplyLost = chance(Settings_.LostTableReplyRate_);
  const bool Late = ReplyLost && chance(Settings_.LateWriteRate_);
  const base::Duration Delay =
      jitter(Settings_.TableDelay_) +
      (Late ? std::chrono::seconds(3) : std::chrono::seconds(0));
  const base::Incarnation From = Routers_[Router].Incarnation_;
  schedule(Delay, [=, this, Change = std::move(Change)] {
    const base::TransactionResult Result = Table_.transact(Change);
    if (!ReplyLost && Routers_[Router].Incarnation_ == From)
      runOnRouter(Router, jitter(Settings_.TableDelay_), [=] { Done(Result); });
  });
  if (ReplyLost)
    runOnRouter(Router, std::chrono::seconds(1), [=] { Done(NoReply); });
}

void World::performActions(std::size_t Index) {
  SimulatedRouter &Each = Routers_[Index];
  const auto Read = [&](const std::string &Key) {
    const bool Cut = Each.TableCut_;
    runOnRouter(Index, Settings_.TableDelay_, [this, Index, Key, Cut] {
      const base::ReadResult Result =
          Cut ? base::ReadResult() : Table_.read(Key);
      Routers_[Index].Ledger_->onRead(Key, Result, Now_);
      Routers_[Index].Ledger_->tick(Now_);
    });
  };
  for (LedgerAction &Next : Each.Ledger_->takeActions())
    std::visit(
        Overloaded{
            [&](Transact &Action) {
              transact(Index, std::move(Action.Change_),
                       [this, Index](const base::TransactionResult &Result) {
                         Routers_[Index].Ledger_->onTransaction(Result, Now_);
                         Routers_[Index].Ledger_->tick(Now_);
                       });
            },
            [&](ReadRow &Action) { Read(Action.Key_); },
            [&](ReserveEnded &Action) {
              if (Action.Error_)
                end(Index, Action.Attempt_, {CallEnd::NotRun, Action.Error_});
              else
                dispatch(Index, Action.Attempt_);
            },
            [](WitnessesChanged &) {},
            [&](Revoked &) {
              Dead_.insert(Each.Incarnation_);
              Suspects_.try_emplace(Each.Incarnation_, base::TimePoint());
              schedule(std::chrono::seconds(1),
                       [this, Index, Old = Each.Incarnation_] {
                         if (Routers_[Index].Incarnation_ == Old)
                           bootRouter(Index);
                       });
            },
            [&](Closed &) { Each.Closed_ = true; },
        },
        Next);
  for (CommitterAction &Next : Each.Committer_->takeActions())
    std::visit(
        Overloaded{
            [&](SendCommit &Action) {
              sendToAgent(Index, Action.Agent_, [=, this](std::size_t Agent) {
                Witness &Target = *Agents_[Agent].Witness_;
                sendCommitReply(Agent, Index, Target.onCommit(Action.Request_));
              });
            },
            [&](SendFallbackCommit &Action) {
              sendToAgent(Index, Action.Agent_, [=, this](std::size_t Agent) {
                Witness &Target = *Agents_[Agent].Witness_;
                sendCommitReply(Agent, Index,
                                Target.onFallbackCommit(Action.Request_));
              });
            },
            [&](CommitEnded &Action) {
              const bool Billed = Action.Outcome_ == CommitOutcome::Billed;
              end(Index, Action.Attempt_,
                  {Billed ? CallEnd::Delivered : CallEnd::Unknown, {}});
            },
        },
        Next);
}

void World::call(std::size_t Router, Call Request, OnEnd Ended) {
  const base::AttemptId Attempt = Request.Attempt_;
  runOnRouter(Router, base::Duration::zero(), [=, this] {
    Routers_[Router].Running_[Attempt] = {Request, Ended, 0, {}};
    const auto Result = Routers_[Router].Ledger_->reserve(
        Attempt, Request.Budget_, Request.Bound_, Now_);
    if (!Result)
      end(Router, Attempt, {CallEnd::NotRun, Result.error()});
    else if (Result.value() == ReserveOutcome::Reserved)
      dispatch(Router, Attempt);
    else
      Routers_[Router].Ledger_->tick(Now_);
  });
}

void World::dispatch(std::size_t Index, const base::AttemptId &Attempt) {
  SimulatedRouter &Each = Routers_[Index];
  Running &State = Each.Running_.at(Attempt);
  std::vector<std::size_t> Usable;
  for (std::size_t Agent = 0; Agent < Agents_.size(); ++Agent)
    if (!Each.CutAgents_.contains(Agent) &&
        Each.Ledger_->isUsableWitness(Agents_[Agent].Incarnation_))
      Usable.push_back(Agent);
  if (Usable.empty()) {
    Each.Ledger_->release(Attempt, {});
    end(Index, Attempt, {CallEnd::NotRun, {}});
    return;
  }
  State.Agent_ = Usable[std::uniform_int_distribution<std::size_t>(
      0, Usable.size() - 1)(Random_)];
  State.Incarnation_ = Agents_[State.Agent_].Incarnation_;
  open(Index, State);
}

void World::open(std::size_t Index, const Running &State) {
  SimulatedRouter &Each = Routers_[Index];
  const Call Request = State.Call_;
  const OpenAttempt Open{
      Request.Attempt_, *Each.Ledger_->sliceOf(Request.Attempt_),
      Each.Incarnation_, Request.Bound_, Request.NonIdempotent_};
  // The link resumes after any cut, so the request is retried until it arrives.
  const auto TryOpen = [=, this, Agent = State.Agent_,
                        To = State.Incarnation_] {
    if (Agents_[Agent].Incarnation_ != To)
      return true;
    if (Routers_[Index].CutAgents_.contains(Agent))
      return false;
    openAt(Agent, Index, Open, Request);
    return true;
  };
  retry(jitter(Settings_.LinkDelay_), TryOpen);
}

void World::openAt(std::size_t Agent, std::size_t Index,
                   const OpenAttempt &Open, const Call &Request) {
  const auto Accepted = Agents_[Agent].Witness_->open(Open);
  if (Accepted) {
    schedule(Request.RunTime_, [=, this, On = Agents_[Agent].Incarnation_] {
      if (Agents_[Agent].Incarnation_ == On)
        finish(Agent, Index, Request);
    });
    return;
  }
  const bool Gone = Routers_[Index].Incarnation_ != Open.Router_;
  if (Accepted.error() != OpenError::Sealed || Gone)
    return;
  runOnRouter(Index, jitter(Settings_.LinkDelay_), [=, this] {
    Routers_[Index].Ledger_->seal();
    Routers_[Index].Ledger_->release(Open.Attempt_, {});
    end(Index, Open.Attempt_, {CallEnd::NotRun, ReserveError::Sealed});
  });
}

void World::retry(base::Duration Delay, std::function<bool()> Try) {
  schedule(Delay, [=, this] {
    if (!Try())
      retry(std::chrono::seconds(1), Try);
  });
}

void World::finish(std::size_t Agent, std::size_t Index, const Call &Request) {
  Agents_[Agent].Witness_->finish(Request.Attempt_, Request.Used_);
  const base::Incarnation From = Agents_[Agent].Incarnation_;
  const base::Incarnation To = Routers_[Index].Incarnation_;
  const auto Deliver = [=, this] {
    SimulatedRouter &Each = Routers_[Index];
    const auto Found = Each.Running_.find(Request.Attempt_);
    if (Found == Each.Running_.end() || Found->second.Committing_)
      return;
    Found->second.Committing_ = true;
    Each.Committer_->commit(Request.Attempt_, From, Request.Used_, Now_);
  };
  retry(base::Duration::zero(), [=, this] {
    const bool Gone = Agents_[Agent].Incarnation_ != From ||
                      Routers_[Index].Incarnation_ != To;
    if (!Gone && Routers_[Index].CutAgents_.contains(Agent))
      return false;
    if (!Gone)
      runOnRouter(Index, jitter(Settings_.LinkDelay_), Deliver);
    return true;
  });
}

void World::end(std::size_t Index, const base::AttemptId &Attempt,
                CallResult Result) {
  const auto Node = Routers_[Index].Running_.extract(Attempt);
  if (!Node.empty() && Node.mapped().Ended_)
    Node.mapped().Ended_(Node.mapped().Call_, Result);
}

void World::reclaim(std::size_t Router, const base::Incarnation &Suspect) {
  const bool AlreadyRunning =
      std::any_of(Reclaims_.begin(), Reclaims_.end(), [&](const auto &Each) {
        return Each->Router_ == Router && Each->Reclaimer_->router() == Suspect;
      });
  if (AlreadyRunning)
    return;
  auto &Each = *Reclaims_.emplace_back(std::make_unique<RunningReclaim>());
  Each.Router_ = Router;
  Each.Reclaimer_ = std::make_unique<Reclaimer>(ReclaimerSettings(), Suspect,
                                                ReclaimCounters_);
  Each.Reclaimer_->start(Now_);
  performReclaimActions(Each);
}

void World::performReclaimActions(RunningReclaim &Each) {
  const std::size_t Router = Each.Router_;
  const base::Incarnation Suspect = Each.Reclaimer_->router();
  // The router that runs the reclaimer may restart before an answer arrives, so
  // the reclaimer is looked up again then.
  const auto WithReclaimer = [this, Router, Suspect](auto Handler) {
    return [this, Router, Suspect, Handler](const auto &...Arguments) {
      for (std::size_t Index = 0; Index < Reclaims_.size(); ++Index) {
        RunningReclaim &Found = *Reclaims_[Index];
        if (Found.Router_ != Router || Found.Reclaimer_->router() != Suspect)
          continue;
        Handler(*Found.Reclaimer_, Arguments...);
        performReclaimActions(Found);
        return;
      }
    };
  };
  const auto OnRead = WithReclaimer(
      [this](Reclaimer &To, const base::ReadResult &R) { To.onRead(R, Now_); });
  const auto OnLiveness =
      WithReclaimer([this](Reclaimer &To, const LivenessReply &Reply) {
        To.onLivenessReply(Reply, Now_);
      });
  const auto OnSeal =
      WithReclaimer([this](Reclaimer &To, const SealReply &Reply) {
        To.onSealReply(Reply, Now_);
      });
  const bool Cut = Routers_[Router].TableCut_;
  for (ReclaimerAction &Next : Each.Reclaimer_->takeActions())
    std::visit(
        Overloaded{
            [&](Transact &Action) {
              transact(
                  Router, std::move(Action.Change_),
                  WithReclaimer([this](Reclaimer &To,
                                       const base::TransactionResult &Result) {
                    To.onTransaction(Result, Now_);
                  }));
            },
            [&](ReadRow &Action) {
              runOnRouter(Router, Settings_.TableDelay_, [=, this] {
                OnRead(Cut ? base::ReadResult() : Table_.read(Action.Key_));
              });
            },
            [&](ScanRows &Action) {
              runOnRouter(Router, Settings_.TableDelay_, [=, this] {
                OnRead(Cut ? base::ReadResult() : Table_.scan(Action.Prefix_));
              });
            },
            [&](AskLiveness &Action) {
              sendToAgent(Router, Action.Witness_.Agent_,
                          [=, this](std::size_t Agent) {
                            const Witness &Target = *Agents_[Agent].Witness_;
                            const LivenessReply Reply =
                                Target.onLivenessRequest(Action.Request_, Now_);
                            runOnRouter(Router, Settings_.LinkDelay_,
                                        [=] { OnLiveness(Reply); });
                          });
            },
            [&](AskSeal &Action) {
              sendToAgent(
                  Router, Action.Witness_.Agent_, [=, this](std::size_t Agent) {
                    Witness &Target = *Agents_[Agent].Witness_;
                    const SealReply Reply = Target.onSeal(Action.Request_);
                    Target.takeCancelled();
                    runOnRouter(Router, Settings_.LinkDelay_,
                                [=] { OnSeal(Reply); });
                  });
            },
            [](ReclaimEnded &) {},
        },
        Next);
}

void World::cutTable(std::size_t Router, bool Cut) {
  Routers_[Router].TableCut_ = Cut;
}

void World::cutLink(std::size_t Router, std::size_t Agent, bool Cut) {
  if (Cut)
    Routers_[Router].CutAgents_.insert(Agent);
  else
    Routers_[Router].CutAgents_.erase(Agent);
}

void World::killRouter(std::size_t Router) {
  Dead_.insert(Routers_[Router].Incarnation_);
  Suspects_.try_emplace(Routers_[Router].Incarnation_, Now_);
  bootRouter(Router);
}

void World::pauseRouter(std::size_t Router, bool Paused) {
  Routers_[Router].Paused_ = Paused;
  if (Paused)
    return;
  for (const auto &Callback : std::exchange(Routers_[Router].Backlog_, {})) {
    Callback();
    performActions(Router);
  }
}

void World::killAgent(std::size_t Agent) {
  Dead_.insert(Agents_[Agent].Incarnation_);
  bootAgent(Agent);
}

void World::heal() {
  Settings_.LostTableReplyRate_ = 0;
  Settings_.LostMessageRate_ = 0;
  for (std::size_t Index = 0; Index < Routers_.size(); ++Index) {
    Routers_[Index].CutAgents_.clear();
    Routers_[Index].TableCut_ = false;
    if (Routers_[Index].Paused_)
      pauseRouter(Index, false);
  }
}

void World::close() {
  for (SimulatedRouter &Each : Routers_)
    Each.Ledger_->close();
}

base::Tokens World::heldInTable() const {
  base::Tokens Sum;
  for (const base::Row &Found : Table_.scan(SlicePrefix).Rows_)
    Sum += decodeSlice(Found.Value_).value().held();
  return Sum;
}

} // namespace camphorwind::budget::test
