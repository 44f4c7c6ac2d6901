#include "camphorwind/routing/retry-window.h"

namespace camphorwind::routing {

RetryWindow::Bucket &RetryWindow::bucketAt(base::TimePoint Now) {
  base::Duration Length = base::Duration(Options_.Window_) / BucketsPerWindow;
  std::int64_t Index = Now.time_since_epoch() / Length;
  if (Buckets_.empty() || Buckets_.back().Index_ < Index)
    Buckets_.push_back({Index, 0, 0});
  dropOldBuckets(Index);
  return Buckets_.back();
}

void RetryWindow::dropOldBuckets(std::int64_t NewestIndex) {
  // Keeps one bucket more than a window has: the oldest one is only partly
  // outside the window, and its retries still count.
  while (Buckets_.front().Index_ < NewestIndex - BucketsPerWindow)
    Buckets_.pop_front();
}

void RetryWindow::addRequest(base::TimePoint Now) { ++bucketAt(Now).Requests_; }

bool RetryWindow::available(base::TimePoint Now) {
  std::int64_t NewestIndex = bucketAt(Now).Index_;
  std::uint32_t Requests = 0;
  std::uint32_t Retries = 0;
  for (const Bucket &Past : Buckets_) {
    Retries += Past.Retries_;
    if (Past.Index_ > NewestIndex - BucketsPerWindow)
      Requests += Past.Requests_;
  }
  double Allowed =
      Options_.Share_ * Requests +
      UsableSlackShare * Options_.Slack_ / static_cast<double>(Routers_);
  return Retries + 1 <= Allowed;
}

bool RetryWindow::trySpend(base::TimePoint Now) {
  if (!available(Now))
    return false;
  ++bucketAt(Now).Retries_;
  return true;
}

} // namespace camphorwind::routing
