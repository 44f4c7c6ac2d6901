#ifndef CAMPHORWIND_ROUTING_RETRY_WINDOW_H
#define CAMPHORWIND_ROUTING_RETRY_WINDOW_H

#include "camphorwind/base/time.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>

namespace camphorwind::routing {

/// Limit on the retries of the whole fleet in a sliding window.
struct RetryWindowOptions {
  /// Retries allowed for each request that arrived in the window.
  double Share_ = 0.2;
  /// Retries per window that the whole fleet may make beyond Share_ of its
  /// requests. A router uses only UsableSlackShare of its part.
  double Slack_ = 50;
  std::chrono::milliseconds Window_{10000};
};

/// One router's part of the fleet's retry limit: the share of its own requests
/// plus an equal part of the slack.
class RetryWindow {
public:
  /// Share of its slack that a router uses. The remainder covers routers that
  /// are replaced within a window, as a new process starts with no retries
  /// counted.
  static constexpr double UsableSlackShare = 0.5;

  /// \p Routers is the number of routers that share the slack, including this
  /// one.
  RetryWindow(RetryWindowOptions Options, std::size_t Routers)
      : Options_(Options) {
    setRouterCount(Routers);
  }

  /// Changes the number of routers that share the slack; 0 counts as 1.
  void setRouterCount(std::size_t Count) { Routers_ = Count > 0 ? Count : 1; }
  /// Counts an arrived request, whether or not it is forwarded.
  void addRequest(base::TimePoint Now);
  /// Counts one retry if the window that ends at \p Now allows it. Returns
  /// false, without counting, if it does not.
  bool trySpend(base::TimePoint Now);
  /// Whether trySpend() would succeed.
  bool available(base::TimePoint Now);

private:
  /// Requests and retries counted in 1/BucketsPerWindow of the window.
  struct Bucket {
    std::int64_t Index_ = 0;
    std::uint32_t Requests_ = 0;
    std::uint32_t Retries_ = 0;
  };
  static constexpr std::int64_t BucketsPerWindow = 40;

  Bucket &bucketAt(base::TimePoint Now);
  void dropOldBuckets(std::int64_t NewestIndex);

  RetryWindowOptions Options_;
  std::size_t Routers_ = 1;
  std::deque<Bucket> Buckets_;
};

} // namespace camphorwind::routing

#endif // CAMPHORWIND_ROUTING_RETRY_WINDOW_H
