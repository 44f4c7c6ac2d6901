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

/// Routers, agents, reclaimers and a table in virtual time, joined by fakes
/// that delay, lose and repeat what passes between them.
namespace camphorwind::budget::test {

struct WorldSettings {
  std::uint64_t Seed_ = 1;
  std::size_t Routers_ = 2;
  std::size_t Agents_ = 3;
  base::Duration TableDelay_ = std::chrono::milliseconds(5);
  base::Duration LinkDelay_ = std::chrono::milliseconds(1);
  /// Parts of one.
  double LostTableReplyRate_ = 0;
  /// Of the lost ones: how many are written late instead of at once.
  double LateWriteRate_ = 0;
  double LostMessageRate_ = 0;
  double RepeatedMessageRate_ = 0;
  LedgerSettings Ledger_;
  CommitterSettings Committer_;
  /// After this long without a sign of life a router is reclaimed.
  base::Duration SuspectAfter_ = std::chrono::seconds(15);
};

/// One request as the caller sees it.
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
  NotRun,    ///< Refused.
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

  /// Runs a request at one router; \p Ended is called once, unless the router
  /// dies.
  void call(std::size_t Router, Call Request, OnEnd Ended);
  void advance(base::Duration Step);
  /// Calls \p Do at a later time.
  void schedule(base::Duration Delay, std::function<void()> Do);

  // Faults.
  void cutTable(std::size_t Router, bool Cut);
  void cutLink(std::size_t Router, std::size_t Agent, bool Cut);
  void killRouter(std::size_t Router);
  void pauseRouter(std::size_t Router, bool Paused);
  void killAgent(std::size_t Agent);
  /// Starts a reclaimer of \p Suspect on the host of router \p Host.
  void reclaim(std::size_t Host, const base::Incarnation &Suspect);
  /// Ends all faults; paused and cut things go on.
  void heal();
  /// Closes every router in order.
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
  base::Tokens stranded() const;
  const ReclaimerCounters &reclaimCounters() const { return ReclaimCounters_; }

private:
  struct Running {
    Call Call_;
    OnEnd Ended_;
    std::size_t Agent_ = 0;
    base::Incarnation Incarnation_;
    bool Committing_ = false;
  };
  struct RouterHost {
    base::RouterId Id_;
    base::Incarnation Incarnation_;
    std::unique_ptr<Ledger> Ledger_;
    std::unique_ptr<Committer> Committer_;
    std::map<base::AttemptId, Running> Running_;
    std::vector<std::function<void()>> Backlog_;
    std::set<std::size_t> CutAgents_;
    base::TimePoint LastAlive_{};
    bool Paused_ = false;
    bool TableCut_ = false;
    bool Closed_ = false;
  };
  struct AgentHost {
    base::Incarnation Incarnation_;
    std::unique_ptr<Witness> Witness_;
  };
  struct Reclaim {
    std::size_t Host_ = 0;
    std::unique_ptr<Reclaimer> Reclaimer_;
  };
  struct Event {
    base::TimePoint At_;
    std::uint64_t Number_ = 0;
    std::function<void()> Do_;
    bool operator<(const Event &Other) const {
      return std::pair(Other.At_, Other.Number_) < std::pair(At_, Number_);
    }
  };

  bool chance(double Part);
  base::Duration jitter(base::Duration Mean);
  void bootRouter(std::size_t Index);
  void bootAgent(std::size_t Index);
  void tick();
  void tickRouter(std::size_t Index);
  void watchRouters();
  void learnWitnesses(std::size_t Index);
  void pumpRouter(std::size_t Index);
  void pumpReclaim(Reclaim &Each);
  /// Runs \p Do on the router's loop unless that incarnation is gone by then.
  void toRouter(std::size_t Index, base::Duration Delay,
                std::function<void()> Do);
  /// Carries a message to the agent, or not.
  void toAgent(std::size_t From, const base::Incarnation &To,
               std::function<void(std::size_t)> Do);
  void answer(std::size_t Agent, std::size_t To, CommitReply Reply);
  void transact(std::size_t Host, base::Transaction Change,
                std::function<void(base::TransactionResult)> Done);
  void dispatch(std::size_t Index, const base::AttemptId &Attempt);
  void open(std::size_t Index, const Running &State);
  void openAt(std::size_t Agent, std::size_t Index, const OpenAttempt &Open,
              const Call &Request);
  /// Calls \p Try after the delay and then every second until it succeeds.
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
  std::uint64_t Incarnations_ = 0;
  std::uint64_t TableWrites_ = 0;
  std::vector<RouterHost> Routers_;
  std::vector<AgentHost> Agents_;
  std::vector<std::unique_ptr<Reclaim>> Reclaims_;
  std::map<base::Incarnation, base::TimePoint> Suspects_;
  std::map<base::BudgetId, Policy> Budgets_;
  std::set<base::Incarnation> Dead_;
  ReclaimerCounters ReclaimCounters_;
};

} // namespace camphorwind::budget::test

#endif // CAMPHORWIND_BUDGET_TEST_WORLD_H
