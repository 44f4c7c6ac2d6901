#ifndef CAMPHORWIND_ROUTING_LOAD_VIEW_H
#define CAMPHORWIND_ROUTING_LOAD_VIEW_H

#include "camphorwind/base/time.h"
#include "camphorwind/routing/types.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>

namespace camphorwind::routing {

/// Estimates the present load and speed of one endpoint from reports that are
/// old on arrival, corrected by what this router has sent there since.
class LoadView {
public:
  explicit LoadView(const EndpointTraits &Traits);

  /// Follows a change of the endpoint's settings; keeps what was learned.
  void setSlots(std::uint32_t Slots) { Slots_ = std::max(1U, Slots); }

  /// This router sent a request with \p Uncached prompt tokens to process,
  /// and expects the first token \p Expected later.
  void dispatched(base::TimePoint Now, std::uint64_t Uncached,
                  base::Duration Expected);
  /// The first token of the attempt sent at \p SentAt arrived.
  void firstToken(base::TimePoint Now, base::TimePoint SentAt,
                  std::uint64_t Uncached);
  /// The attempt sent at \p SentAt ended; \p Answered says whether its first
  /// token had come.
  void ended(base::TimePoint Now, base::TimePoint SentAt,
             std::uint64_t Uncached, bool Answered);
  /// Learns how long a whole attempt takes, and each generated token.
  void finished(base::Duration Service, base::Duration TokenInterval);
  /// Takes a report; one sampled before the last is ignored.
  void report(const LoadReport &Report, base::TimePoint Now);

  /// Requests at the endpoint as last reported, without any correction.
  std::uint32_t reportedRequests() const { return ReportedRequests_; }
  /// Requests at the endpoint now, from all routers.
  std::uint32_t requests() const;
  /// Requests of this router at the endpoint.
  std::uint32_t ownRequests() const { return OwnLoad_.Requests_; }
  /// Prompt tokens not yet processed at \p Now, from all routers.
  double waitingPromptTokens(base::TimePoint Now) const;
  /// Expected time from dispatch to first token for a request with
  /// \p Uncached prompt tokens to process.
  base::Duration expectedFirstToken(base::TimePoint Now, double Uncached) const;
  base::Duration tokenInterval() const { return TokenInterval_; }
  base::Duration meanService() const { return MeanService_; }
  /// Observed over predicted time to first token, smoothed; 1 as described.
  double slowness() const { return Slowness_; }
  double promptTokensPerSecond() const { return PromptTokensPerSecond_; }

  /// Requests this router may have there: what it had when the last report was
  /// sampled, its share of the slots that were free then, and a small step
  /// towards an even split between routers.
  double fairWindow() const;
  /// Starts the estimates of speed again from \p Traits.
  void resetSpeedEstimates(const EndpointTraits &Traits);
  /// How far the oldest attempt without a first token is over three times its
  /// expected time while nothing else arrived either; zero if it is not.
  base::Duration overdue(base::TimePoint Now) const;

private:
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

  Load OwnLoad_;
  /// Sum of the changes since the last report was sampled.
  Load LoadSinceSample_;
  std::deque<Change> ChangeHistory_;
  Load OwnLoadAtSample_;
  Load OtherLoad_;
  std::uint32_t ReportedRequests_ = 0;
  std::uint32_t Routers_ = 1;
  bool HasReport_ = false;
  base::TimePoint SampledAt_{};
  /// Expected time to first token by time of dispatch, of unanswered attempts.
  std::multimap<base::TimePoint, base::Duration> AwaitingFirstToken_;
  base::TimePoint LastFirstTokenAt_{};
};

} // namespace camphorwind::routing

#endif // CAMPHORWIND_ROUTING_LOAD_VIEW_H
