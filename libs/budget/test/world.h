#ifndef CAMPHORWIND_BUDGET_TEST_WORLD_H
#define CAMPHORWIND_BUDGET_TEST_WORLD_H

#include "camphorwind/base/memory-table.h"
#include "camphorwind/base/random.h"
#include "camphorwind/budget/committer.h"
#include "camphorwind/budget/ledger.h"
#include "camphorwind/budget/reclaimer.h"
#include "camphorwind/budget/witness.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <vector>

/// Simulation in virtual time of routers, agents, reclaimers and a table,
/// joined by fake links that delay, lose and repeat messages.
namespace camphorwind::budget::test {

struct WorldSettings {
  std::uint64_t Seed_ = 1;
  std::size_t Routers_ = 2;
  std::size_t Agents_ = 3;
  base::Duration TableDelay_ = std::chrono::milliseconds(5);
  base::Duration LinkDelay_ = std::chrono::milliseconds(1);
  /// Fraction of the table's replies that are lost, from 0 to 1.
  double LostTableReplyRate_ = 0;
  /// Fraction of the transactions with a lost reply that take effect 3 s late.
  double LateWriteRate_ = 0;
  /// Fraction of the messages between routers and agents that are lost.
  double LostMessageRate_ = 0;
  /// Fraction of the messages that are delivered a second time, later.
  double RepeatedMessageRate_ = 0;
  LedgerSettings Ledger_;
  CommitterSettings Committer_;
  /// A router that has not run for this long is reclaimed.
  base::Duration SuspectAfter_ = std::chrono::seconds(15);
};

/// One request of a caller.
struct Call {
  base::AttemptId Attempt_;
  base::BudgetId Budget_;
  base::Tokens Bound_;
  base::Tokens Used_;
  base::Duration RunTime_ = std::chrono::milliseconds(200);
  bool NonIdempotent_ = false;
};

enum class CallEnd {
  Delivered, ///< The caller has the last event.
  Unknown,   ///< No last event: may or may not be billed.
  NotRun,    ///< Refused before it ran.
};

struct CallResult {
  CallEnd End_ = CallEnd::NotRun;
  std::optional<ReserveError> Refusal_;
};

class World {
public:
  using OnEnd = std::function<void(const Call &, const CallResult &)>;

  explicit World(WorldSettings Settings);

  base::TimePoint now() const { return Now_; }
  base::MemoryTable &table() { return Table_; }
  std::uint64_t tableWrites() const { return TableWrites_; }

  void addBudget(const base::BudgetId &Budget, Policy Sizing);
  void topUp(const base::BudgetId &Budget, base::Tokens Amount);
  BudgetRow budget(const base::BudgetId &Budget) const;

  /// Runs a request at one router. \p Ended is called once, unless the router
  /// dies.
  void call(std::size_t Router, Call Request, OnEnd Ended);
  void advance(base::Duration Step);
  /// Calls \p Callback after \p Delay.
  void schedule(base::Duration Delay, std::function<void()> Callback);

  /// Cuts or restores the router's access to the table.
  void cutTable(std::size_t Router, bool Cut);
  /// Cuts or restores the link between a router and an agent.
  void cutLink(std::size_t Router, std::size_t Agent, bool Cut);
  /// Ends the router's incarnation and starts a new one at once.
  void killRouter(std::size_t Router);
  /// Pauses or resumes a router.
  void pauseRouter(std::size_t Router, bool Paused);
  /// Ends the agent's incarnation and starts a new one at once.
  void killAgent(std::size_t Agent);
  /// Starts a reclaimer of \p Suspect at router \p Router.
  void reclaim(std::size_t Router, const base::Incarnation &Suspect);
  /// Ends the losses of messages and replies, restores all cut links and access
  /// to the table, and resumes paused routers.
  void heal();
  /// Starts the orderly shutdown of every router.
  void close();

  std::size_t routers() const { return Routers_.size(); }
  std::size_t agents() const { return Agents_.size(); }
  Ledger &ledger(std::size_t Router) { return *Routers_[Router].Ledger_; }
  const base::Incarnation &incarnation(std::size_t Router) const {
    return Routers_[Router].Incarnation_;
  }
  bool isClosed(std::size_t Router) const { return Routers_[Router].Closed_; }
  /// Incarnations of agents that died, and of routers that died or were
  /// revoked.
  const std::set<base::Incarnation> &dead() const { return Dead_; }
  /// Returns the tokens held by all slices in the table, those of live routers
  /// included; called after all routers have ended to see what is stranded.
  base::Tokens heldInTable() const;
  const ReclaimerCounters &reclaimCounters() const { return ReclaimCounters_; }

private:
  struct Running {
    Call Call_;
    OnEnd Ended_;
    std::size_t Agent_ = 0;
    base::Incarnation Incarnation_;
    bool Committing_ = false;
  };
  struct SimulatedRouter {
    base::RouterId Id_;
    base::Incarnation Incarnation_;
    std::unique_ptr<Ledger> Ledger_;
    std::unique_ptr<Committer> Committer_;
    std::map<base::AttemptId, Running> Running_;
    /// Callbacks that arrived while the router was paused.
    std::vector<std::function<void()>> Backlog_;
    std::set<std::size_t> CutAgents_;
    base::TimePoint LastAlive_{};
    bool Paused_ = false;
    bool TableCut_ = false;
    bool Closed_ = false;
  };
  struct SimulatedAgent {
    base::Incarnation Incarnation_;
    std::unique_ptr<Witness> Witness_;
  };
  struct RunningReclaim {
    std::size_t Router_ = 0;
    std::unique_ptr<Reclaimer> Reclaimer_;
  };
  struct Event {
    base::TimePoint At_;
    std::uint64_t Number_ = 0;
    std::function<void()> Callback_;
    bool operator<(const Event &Other) const {
      return std::pair(Other.At_, Other.Number_) < std::pair(At_, Number_);
    }
  };

  bool chance(double Probability);
  base::Duration jitter(base::Duration Mean);
  void bootRouter(std::size_t Index);
  void bootAgent(std::size_t Index);
  void tick();
  void tickRouter(std::size_t Index);
  /// Starts reclaims of routers that have not run for `SuspectAfter_`.
  void startReclaims();
  /// Adds reachable agents to the router's witness list and retires dead ones.
  void updateWitnesses(std::size_t Index);
  /// Performs the actions of the router's ledger and committer.
  void performActions(std::size_t Index);
  void performReclaimActions(RunningReclaim &Each);
  /// Runs \p Callback at the router after \p Delay, unless its incarnation has
  /// ended by then. A paused router runs it when it resumes.
  void runOnRouter(std::size_t Index, base::Duration Delay,
                   std::function<void()> Callback);
  /// Sends a message to the agent; it may be lost, delayed or repeated.
  void sendToAgent(std::size_t From, const base::Incarnation &To,
                   std::function<void(std::size_t)> Callback);
  void sendCommitReply(std::size_t Agent, std::size_t To, CommitReply Reply);
  void transact(std::size_t Router, base::Transaction Change,
                std::function<void(base::TransactionResult)> Done);
  void dispatch(std::size_t Index, const base::AttemptId &Attempt);
  void open(std::size_t Index, const Running &State);
  void openAt(std::size_t Agent, std::size_t Index, const OpenAttempt &Open,
              const Call &Request);
  /// Calls \p Try after \p Delay and then every second until it returns true.
  void retry(base::Duration Delay, std::function<bool()> Try);
  void finish(std::size_t Agent, std::size_t Index, const Call &Request);
  void end(std::size_t Index, const base::AttemptId &Attempt,
           CallResult Result);

  WorldSettings Settings_;
  base::Random Random_;
  base::MemoryTable Table_;
  base::TimePoint Now_{std::chrono::seconds(1)};
  base::TimePoint NextTick_{std::chrono::seconds(1)};
  std::priority_queue<Event> Events_;
  std::uint64_t EventNumber_ = 0;
  /// Number of the last router or agent incarnation.
  std::uint64_t LastIncarnation_ = 0;
  std::uint64_t TableWrites_ = 0;
  std::vector<SimulatedRouter> Routers_;
  std::vector<SimulatedAgent> Agents_;
  std::vector<std::unique_ptr<RunningReclaim>> Reclaims_;
  /// Routers to reclaim, and when their reclaim was last started.
  std::map<base::Incarnation, base::TimePoint> Suspects_;
  std::map<base::BudgetId, Policy> Budgets_;
  std::set<base::Incarnation> Dead_;
  ReclaimerCounters ReclaimCounters_;
};

} // namespace camphorwind::budget::test

#endif // CAMPHORWIND_BUDGET_TEST_WORLD_H
