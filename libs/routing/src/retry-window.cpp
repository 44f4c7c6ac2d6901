#include "camphorwind/routing/retry-window.h"

namespace camphorwind::routing {

RetryWindow::Bucket &RetryWindow::bucketAt(base::TimePoint Now) {
  base::Duration Length = base::Duration(Options_.Window_) / BucketsPerWindow;
  std::int64_t Number = Now.time_since_epoch() / Length;
  if (Buckets_.empty() || Buckets_.back().Number_ < Number)
    Buckets_.push_back({Number, 0, 0});
  forget(Number);
  return Buckets_.back();
}

void RetryWindow::forget(std::int64_t Newest) {
  // One more than a window: the oldest bucket is only partly outside.
  while (Buckets_.front().Number_ < Newest - BucketsPerWindow)
    Buckets_.pop_front();
}

void RetryWindow::addRequest(base::TimePoint Now) { ++bucketAt(Now).Requests_; }

bool RetryWindow::available(base::TimePoint Now) {
  std::int64_t Newest = bucketAt(Now).Number_;
  std::uint32_t Requests = 0;
  std::uint32_t Retries = 0;
  for (const Bucket &Each : Buckets_) {
    Retries += Each.Retries_;
    if (Each.Number_ > Newest - BucketsPerWindow)
      Requests += Each.Requests_;
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
