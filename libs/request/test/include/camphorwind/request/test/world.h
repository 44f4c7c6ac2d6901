#ifndef CAMPHORWIND_REQUEST_TEST_WORLD_H
#define CAMPHORWIND_REQUEST_TEST_WORLD_H

#include "camphorwind/base/random.h"
#include "camphorwind/request/attempts.h"
#include "camphorwind/request/claims.h"
#include "camphorwind/request/requests.h"
#include "camphorwind/request/tickets.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <tuple>
#include <vector>

/// Simulates routers, agents, a table and lossy links in virtual time, and
/// checks the results of all requests.
namespace camphorwind::request::test {

using namespace std::chrono_literals;

/// Kinds of events in a simulation script.
enum class StepKind {
  Call,             ///< A caller sends a new request.
  KillRouter,       ///< A router dies and a new incarnation starts.
  KillAgent,        ///< An agent dies and a new incarnation starts.
  LeaveAgent,       ///< An agent leaves and is replaced after 15 s.
  PauseRouter,      ///< A router processes nothing for a while.
  SilenceLink,      ///< A link drops all messages for a while.
  TableOutage,      ///< The table is unavailable for a while.
  DisconnectCaller, ///< The caller of the newest request disconnects.
};

/// One step of a script.
struct Step {
  StepKind Kind_ = StepKind::Call;
  /// Index of the router, modulo the number of routers.
  unsigned RouterChoice_ = 0;
  /// Selects the agent, the duration of the fault or the kind of request.
  unsigned Variation_ = 0;
  /// Time to simulate after the step.
  std::chrono::milliseconds RunFor_{0};
};

/// Numbers of processes, and probabilities of faults per operation.
struct WorldSettings {
  std::size_t Routers_ = 3;
  std::size_t Agents_ = 5;
  double DropRate_ = 0.01;
  double DuplicateRate_ = 0.02;
  double DelayRate_ = 0.01;
  double TableReplyLossRate_ = 0.05;
  double EndpointFailureRate_ = 0.05;
};

/// Counts of outcomes and of violated guarantees.
struct Tally {
  std::uint64_t Requests_ = 0;
  /// Calls made by callers, including retries and duplicates.
  std::uint64_t Calls_ = 0;
  std::uint64_t Answered_ = 0;
  /// Calls that ended with base::Ran::No.
  std::uint64_t Refused_ = 0;
  /// Calls that ended with base::Ran::Unknown.
  std::uint64_t Unknown_ = 0;
  /// Calls that ended with base::Ran::Unknown or lost the link of an attempt. A
  /// router without proof from agents would report all of them as unknown.
  std::uint64_t UnknownWithoutProof_ = 0;
  /// Repeated executions of non-idempotent requests.
  std::uint64_t DoubleRuns_ = 0;
  /// Calls reported as not run whose request ran before, or that ran after.
  std::uint64_t FalseNotRun_ = 0;
  /// Answers to another request or from an attempt other than the one reported.
  std::uint64_t WrongAnswers_ = 0;
  std::uint64_t Truncated_ = 0;
  std::uint64_t DoubleBilled_ = 0;
  std::uint64_t Unbilled_ = 0;
  /// Calls that ended never or more than once.
  std::uint64_t Unanswered_ = 0;
  /// Requests whose prepared attempts were not each closed once, and routers
  /// that still had requests in flight at the end.
  std::uint64_t Leaks_ = 0;
  std::uint64_t Attached_ = 0;
  std::uint64_t BillRowWrites_ = 0;
  /// Failures by base::Ran and refusal reason.
  std::map<std::string, std::uint64_t> Reasons_;
  std::vector<std::string> Faults_;

  std::uint64_t violations() const {
    return DoubleRuns_ + FalseNotRun_ + WrongAnswers_ + Truncated_ +
           DoubleBilled_ + Unbilled_ + Unanswered_ + Leaks_;
  }
};

/// Runs scripts; the result depends only on the seed, settings and script.
class World {
public:
  World(std::uint64_t Seed, WorldSettings Settings);

  /// Performs one step and simulates the time that follows it.
  void run(const Step &Next);
  /// Stops all faults, runs until every request should have ended, and checks
  /// the outcomes.
  const Tally &runToEnd();
  const Tally &tally() const { return Tally_; }

private:
  /// A request of a caller, with all its calls.
  struct CallerRequest {
    std::string Name_;
    bool Keyed_ = false;
    bool NonIdempotent_ = false;
    bool Streaming_ = false;
    unsigned Calls_ = 0;
    bool CallerGone_ = false;
    bool AnsweredWhole_ = false;
    std::uint64_t Executions_ = 0;
    std::set<std::string> Billed_;
  };
  /// One submission of a CallerRequest to a router.
  struct Call {
    std::size_t CallerRequest_ = 0;
    std::size_t Router_ = 0;
    bool Ended_ = false;
    bool RouterDied_ = false;
    bool LostLink_ = false;
    bool Unknown_ = false;
    bool ReportedNotRun_ = false;
    std::string Received_;
    std::set<std::size_t> Agents_;
  };
  struct Link {
    Ticket Ticket_;
    bool HasTicket_ = false;
    bool Up_ = false;
    base::TimePoint LastHeard_;
    base::TimePoint SilentUntil_;
  };
  struct Router {
    base::Incarnation Incarnation_;
    std::unique_ptr<Requests> Requests_;
    std::vector<Link> Links_;
    base::TimePoint PausedUntil_;
  };
  struct Agent {
    base::Incarnation Incarnation_;
    std::unique_ptr<Attempts> Attempts_;
    std::unique_ptr<Tickets> Tickets_;
    std::unique_ptr<ClaimHolder> Claims_;
  };
  struct Event {
    base::TimePoint At_;
    std::uint64_t Sequence_ = 0;
    std::function<void()> Run_;
    friend bool operator>(const Event &A, const Event &B) {
      return std::tie(A.At_, A.Sequence_) > std::tie(B.At_, B.Sequence_);
    }
  };

  bool randomBool(double Probability);
  base::Duration randomDuration(base::Duration Low, base::Duration High);
  std::size_t pickIndex(std::size_t Count);
  void schedule(base::Duration Delay, std::function<void()> Run);
  void runFor(base::Duration Span);
  void recordFault(std::uint64_t &Counter, std::string What);

  void startRouter(std::size_t Index);
  void startAgent(std::size_t Index);
  void killRouter(std::size_t Index);
  void killAgent(std::size_t Index);
  void markLinkLost(std::size_t RouterIndex, std::size_t AgentIndex);
  void publishView();

  void addCallerRequest(const Step &Next);
  void submitCall(std::size_t RequestIndex, std::size_t RouterIndex);
  void scheduleRetry(std::size_t RequestIndex, std::size_t ExcludedRouter);

  /// Sends a message over a link that may drop, duplicate or delay it.
  template <class Deliver>
  void transmit(std::size_t RouterIndex, std::size_t AgentIndex,
                Deliver Arrive);
  /// Runs \p Body on the router, after any pause, unless the incarnation \p Run
  /// has died.
  void runOnRouter(std::size_t Index, const base::Incarnation &Run,
                   std::function<void(Requests &)> Body);
  void sendToAgent(std::size_t RouterIndex, const SendToAgent &Sent);
  void onAgentMessage(std::size_t AgentIndex,
                      const base::Incarnation &Addressee,
                      std::size_t RouterIndex, const ToAgent &Message);
  void reply(std::size_t AgentIndex, const base::Incarnation &RouterRun,
             const ToRouter &Message);
  void sendHeartbeats(std::size_t RouterIndex, base::Incarnation Run);
  void onHeartbeatReply(std::size_t RouterIndex, std::size_t AgentIndex,
                        const HeartbeatReply &Reply);

  void drainRouter(std::size_t Index);
  void perform(std::size_t RouterIndex, const RouterAction &Action);
  void drainAgent(std::size_t Index);
  void runEndpoint(std::size_t AgentIndex, const RunAtEndpoint &Action);
  void prepare(std::size_t RouterIndex, const PrepareAttempt &Action);
  void transact(std::size_t RouterIndex, const WriteTable &Action);
  void read(std::size_t RouterIndex, const ReadTable &Action);
  base::TransactionResult applyTransaction(const base::Transaction &Change);
  void commit(std::size_t RouterIndex, const CommitAttempt &Action,
              unsigned AttemptsLeft);
  /// Bills an attempt at the agent that ran it; returns false if the agent does
  /// not know the attempt or refused it.
  bool bill(Agent &Executor, const base::RequestId &Request,
            const AttemptRef &Attempt);
  void onRequestEnded(const base::RequestId &Request,
                      const FinishRequest *Finished, const FailRequest *Failed);

  WorldSettings Settings_;
  base::Random Random_;
  base::ManualClock Clock_;
  bool FaultsStopped_ = false;
  std::uint64_t NextSequence_ = 0;
  std::uint64_t NextIncarnation_ = 1;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> Events_;
  std::vector<Router> Routers_;
  std::vector<Agent> Agents_;
  std::vector<ClaimView> ViewHistory_;
  std::map<std::string, base::Row> Rows_;
  base::RowVersion NextVersion_ = 1;
  base::TimePoint TableDownUntil_;
  std::vector<CallerRequest> CallerRequests_;
  std::map<base::RequestId, Call> Calls_;
  std::map<base::RequestId, std::int64_t> UnclosedAttempts_;
  Tally Tally_;
};

} // namespace camphorwind::request::test

#endif // CAMPHORWIND_REQUEST_TEST_WORLD_H
