#ifndef CAMPHORWIND_ROUTING_RETRY_WINDOW_H
#define CAMPHORWIND_ROUTING_RETRY_WINDOW_H

#include "camphorwind/base/time.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>

namespace camphorwind::routing {

/// Bound of a fleet on its retries in any sliding window.
struct RetryWindowOptions {
  /// Retries for each first attempt of the window.
  double Share_ = 0.2;
  /// Retries allowed besides, for the whole fleet.
  double Slack_ = 50;
  std::chrono::milliseconds Window_{10000};
};

/// One router's part of the fleet's retry bound: its own requests earn their
/// share, and the slack is divided among the routers.
class RetryWindow {
public:
  /// Part of its slack that a router uses. The rest covers routers that were
  /// replaced within a window, whose successors start with nothing spent.
  static constexpr double UsableSlackShare = 0.5;

  /// \p Routers share the slack, this one included.
  RetryWindow(RetryWindowOptions Options, std::size_t Routers)
      : Options_(Options) {
    setRouters(Routers);
  }

  void setRouters(std::size_t Count) { Routers_ = Count > 0 ? Count : 1; }
  /// A request arrived, whether or not it was sent on.
  void addRequest(base::TimePoint Now);
  /// Takes one retry, if the bound allows it in every window that ends later.
  bool trySpend(base::TimePoint Now);
  /// Whether trySpend() would succeed.
  bool available(base::TimePoint Now);

private:
  /// Events within a fraction of the window.
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
