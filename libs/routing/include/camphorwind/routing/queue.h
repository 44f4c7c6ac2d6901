#ifndef CAMPHORWIND_ROUTING_QUEUE_H
#define CAMPHORWIND_ROUTING_QUEUE_H

#include "camphorwind/base/time.h"
#include "camphorwind/routing/drain-rate.h"
#include "camphorwind/routing/types.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace camphorwind::routing {

/// A request that waits for an endpoint.
struct QueuedRequest {
  RequestTraits Traits_;
  /// Engine work it is expected to cause, in generated tokens.
  double Cost_ = 1;
  base::TimePoint EnqueuedAt_{};
  /// Dispatched later than this, it could not end by its deadline.
  base::TimePoint LatestStart_{};
};

/// Start-time fair queueing between client accounts. Each account's share of
/// the endpoints' work is equal while it has requests waiting. Within an
/// account, urgent requests go first; between accounts, an urgent request
/// counts for less than its cost, so that its account is served sooner.
class Queue {
public:
  bool empty() const { return Positions_.empty(); }
  std::size_t size() const { return Positions_.size(); }
  bool contains(const base::RequestId &Request) const;

  /// Adds a request; its id must not be waiting already.
  void push(QueuedRequest Request);
  /// Returns the next request in fair order, or null.
  const QueuedRequest *front() const;
  /// Takes the request that front() shows; the queue must not be empty.
  QueuedRequest pop(base::TimePoint Now);
  /// Takes a request out of turn; its account is not charged.
  std::optional<QueuedRequest> remove(const base::RequestId &Request);
  /// Takes every request whose latest start is before \p Now.
  std::vector<QueuedRequest> expire(base::TimePoint Now);
  /// Takes the newest and least urgent request of the account with the most
  /// work waiting, unless that account is \p Except.
  std::optional<QueuedRequest> evict(const base::AccountId &Excluded);

  /// When expire() next has something to take.
  std::optional<base::TimePoint> nextExpiry() const;
  /// Work waiting in total.
  double totalCost() const { return TotalCost_; }
  /// How long a new request of this account and priority would wait, by the
  /// rate at which its account's work, or else all work, went lately. Zero
  /// while nothing is known.
  base::Duration expectedWait(const base::AccountId &Account,
                              Priority RequestPriority) const;

private:
  using Entries = std::list<QueuedRequest>;
  struct Flow {
    std::array<Entries, PriorityCount> Waiting_;
    std::array<double, PriorityCount> Cost_{};
    /// Virtual time at which the flow's next request may start.
    double VirtualStart_ = 0;
    std::size_t Size_ = 0;
    DrainRate DrainRate_;
  };
  using Flows = std::unordered_map<base::AccountId, Flow>;
  struct Position {
    Flows::iterator Flow_;
    Entries::iterator Entry_;
  };

  static std::size_t mostUrgentClass(const Flow &AccountFlow);
  static double weightOf(std::size_t Class);
  void activate(Flows::iterator FlowIt);
  void deactivate(Flows::iterator FlowIt);
  QueuedRequest take(const Position &At);
  double meanCost() const;
  void dropIdleFlows();

  Flows Flows_;
  /// Flows with waiting requests by start time, then by account.
  std::set<std::pair<double, base::AccountId>> Active_;
  std::unordered_map<base::RequestId, Position> Positions_;
  std::set<std::pair<base::TimePoint, base::RequestId>> Expiries_;
  double VirtualTime_ = 0;
  double TotalCost_ = 0;
  DrainRate DrainRate_;
};

} // namespace camphorwind::routing

#endif // CAMPHORWIND_ROUTING_QUEUE_H
