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
  /// Expected engine work, in generated tokens.
  double Cost_ = 1;
  base::TimePoint EnqueuedAt_{};
  /// Latest dispatch at which the request can still meet its deadline.
  base::TimePoint LatestStart_{};
};

/// Start-time fair queue over client accounts. Accounts whose waiting requests
/// have the same priority get equal shares of the endpoints' work. Within an
/// account, requests of higher priority go first. Between accounts, a request
/// is charged its cost divided by a weight that grows with its priority, so
/// that accounts with urgent requests get larger shares.
class Queue {
public:
  bool empty() const { return Positions_.empty(); }
  std::size_t size() const { return Positions_.size(); }
  bool contains(const base::RequestId &Request) const;

  /// Adds a request; its id must not be waiting already.
  void push(QueuedRequest Request);
  /// Returns the next request in fair order, or null if the queue is empty.
  const QueuedRequest *front() const;
  /// Removes and returns the front request and charges its account. The queue
  /// must not be empty.
  QueuedRequest pop(base::TimePoint Now);
  /// Removes a request without charging its account; nothing if not queued.
  std::optional<QueuedRequest> remove(const base::RequestId &Request);
  /// Removes every request whose latest start is before \p Now.
  std::vector<QueuedRequest> expire(base::TimePoint Now);
  /// Removes the newest request of the lowest priority of the account with the
  /// most work waiting. Returns nothing if that account is \p Excluded.
  std::optional<QueuedRequest> evict(const base::AccountId &Excluded);

  /// Earliest latest start of the queued requests; expire() removes that
  /// request after this time.
  std::optional<base::TimePoint> nextExpiry() const;
  /// Sum of the costs of all queued requests.
  double totalCost() const { return TotalCost_; }
  /// Expected wait of a new request of this account and priority, from the
  /// recent drain rate of the account if known, else of the whole queue. Zero
  /// while neither rate is known.
  base::Duration expectedWait(const base::AccountId &Account,
                              Priority RequestPriority) const;

private:
  using Entries = std::list<QueuedRequest>;
  /// The requests of one account.
  struct Flow {
    std::array<Entries, PriorityCount> Waiting_;
    /// Sum of the waiting costs, by priority.
    std::array<double, PriorityCount> Cost_{};
    /// Virtual start time (start tag) of the flow's next request.
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
  /// Removes and returns the request at a position.
  QueuedRequest take(const Position &At);
  double meanCost() const;
  void dropIdleFlows();

  Flows Flows_;
  /// Flows with waiting requests, by virtual start time, then by account.
  std::set<std::pair<double, base::AccountId>> Active_;
  std::unordered_map<base::RequestId, Position> Positions_;
  std::set<std::pair<base::TimePoint, base::RequestId>> Expiries_;
  /// Greatest virtual start time of the requests popped so far.
  double VirtualTime_ = 0;
  double TotalCost_ = 0;
  DrainRate DrainRate_;
};

} // namespace camphorwind::routing

#endif // CAMPHORWIND_ROUTING_QUEUE_H
