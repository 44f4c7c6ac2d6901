#ifndef CAMPHORWIND_ROUTING_LOAD_VIEW_H
#define CAMPHORWIND_ROUTING_LOAD_VIEW_H

#include "camphorwind/base/time.h"
#include "camphorwind/routing/types.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>

namespace camphorwind::routing {

/// Estimates the current load and speed of one endpoint. Load reports are
/// already old when they arrive; the estimate adds the changes that this router
/// made since the report was sampled.
class LoadView {
public:
  explicit LoadView(const EndpointTraits &Traits);

  /// Sets the number of slots, at least 1; keeps all estimates.
  void setSlots(std::uint32_t Slots) { Slots_ = std::max(1U, Slots); }

  /// Records that this router sent a request with \p Uncached prompt tokens to
  /// process and expects its first token after \p Expected.
  void dispatched(base::TimePoint Now, std::uint64_t Uncached,
                  base::Duration Expected);
  /// Records that the first token of the attempt sent at \p SentAt arrived.
  void firstToken(base::TimePoint Now, base::TimePoint SentAt,
                  std::uint64_t Uncached);
  /// Records that the attempt sent at \p SentAt ended; \p Answered says whether
  /// its first token had arrived.
  void ended(base::TimePoint Now, base::TimePoint SentAt,
             std::uint64_t Uncached, bool Answered);
  /// Updates the estimates of the duration of an attempt and of the time
  /// between generated tokens; a \p TokenInterval of 0 is ignored.
  void finished(base::Duration Service, base::Duration TokenInterval);
  /// Applies a load report; ignores one sampled before the last applied report.
  void report(const LoadReport &Report, base::TimePoint Now);

  /// Returns the requests at the endpoint in the last report, uncorrected.
  std::uint32_t reportedRequests() const { return ReportedRequests_; }
  /// Estimates the requests at the endpoint now, from all routers.
  std::uint32_t requests() const;
  /// Returns the requests of this router at the endpoint.
  std::uint32_t ownRequests() const { return OwnLoad_.Requests_; }
  /// Estimates the unprocessed prompt tokens at \p Now, from all routers.
  double waitingPromptTokens(base::TimePoint Now) const;
  /// Estimates the time from dispatch to the first token of a request with
  /// \p Uncached prompt tokens to process.
  base::Duration expectedFirstToken(base::TimePoint Now, double Uncached) const;
  base::Duration tokenInterval() const { return TokenInterval_; }
  /// Returns the smoothed duration of an attempt from dispatch to its end.
  base::Duration meanService() const { return MeanService_; }
  /// Returns the smoothed ratio of observed times to the first token to those
  /// predicted from the endpoint's speed; 1 if they agree.
  double slowness() const { return Slowness_; }
  double promptTokensPerSecond() const { return PromptTokensPerSecond_; }

  /// Returns how many requests this router may have in flight at the endpoint:
  /// those it had when the last report was sampled, plus its share of the slots
  /// free at that time, plus a small step towards an even split among routers.
  /// One request more than there are slots is allowed for all routers together.
  /// Returns the number of slots before the first report.
  double fairWindow() const;
  /// Resets the slowness, the time between tokens and the duration of an
  /// attempt to their initial estimates for \p Traits.
  void resetSpeedEstimates(const EndpointTraits &Traits);
  /// Returns by how much the oldest attempt without a first token exceeds three
  /// times its expected time, or zero. Time before the last first token of any
  /// attempt does not count.
  base::Duration overdue(base::TimePoint Now) const;

private:
  /// Requests and their unprocessed prompt tokens, or the change of both.
  struct Load {
    std::int32_t Requests_ = 0;
    std::int64_t PromptTokens_ = 0;
  };
  struct Change {
    base::TimePoint At_;
    Load Load_;
  };

  void applyChange(base::TimePoint Now, Load Delta);
  void dropChanges(base::TimePoint Until);
  void updateSlowness(base::Duration Expected, base::Duration Observed);

  double PromptTokensPerSecond_;
  base::Duration TokenInterval_;
  base::Duration NetworkDelay_;
  std::uint32_t Slots_;
  base::Duration MeanService_;
  double Slowness_ = 1;

  /// This router's requests and the prompt tokens not yet processed for them.
  Load OwnLoad_;
  /// Sum of ChangeHistory_: changes of OwnLoad_ that the last report does not
  /// include.
  Load LoadSinceSample_;
  std::deque<Change> ChangeHistory_;
  /// OwnLoad_ as it was when the last report was sampled.
  Load OwnLoadAtSample_;
  /// Load of other routers in the last report.
  Load OtherLoad_;
  std::uint32_t ReportedRequests_ = 0;
  std::uint32_t Routers_ = 1;
  bool HasReport_ = false;
  base::TimePoint SampledAt_{};
  /// Attempts without a first token: expected time to it, by dispatch time.
  std::multimap<base::TimePoint, base::Duration> AwaitingFirstToken_;
  base::TimePoint LastFirstTokenAt_{};
};

} // namespace camphorwind::routing

#endif // CAMPHORWIND_ROUTING_LOAD_VIEW_H
