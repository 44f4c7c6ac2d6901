#ifndef CAMPHORWIND_DAEMONS_ROUTER_RECLAIMS_H
#define CAMPHORWIND_DAEMONS_ROUTER_RECLAIMS_H

#include "camphorwind/budget/reclaimer.h"
#include "camphorwind/net/loop.h"
#include "camphorwind/observe/metrics.h"
#include "camphorwind/platform/platform-client.h"
#include "camphorwind/wire/protocol.h"

#include <functional>
#include <map>
#include <memory>

namespace camphorwind::router {

/// Watches the lease rows of the other routers and takes back what those that
/// no longer renew theirs hold.
class Reclaims {
public:
  /// Sends to an agent over this router's link; may fail silently.
  using Send = std::function<void(const base::Incarnation &Agent,
                                  const wire::ToAgent &Message)>;

  Reclaims(net::Loop &Owner, platform::PlatformClient &Platform,
           base::Incarnation Self, Send ToAgent);

  /// Call every 100 ms.
  void tick();
  void onLivenessReply(const budget::LivenessReply &Reply);
  void onSealReply(const budget::SealReply &Reply);
  void publish(observe::Metrics &Target) const;

private:
  /// A lease row and since when it has this version.
  struct Watched {
    base::RowVersion Version_ = 0;
    base::TimePoint Since_{};
  };
  using ReclaimerPtr = std::unique_ptr<budget::Reclaimer>;

  void readLeases();
  void onLeases(const base::ReadResult &Found);
  void start(const base::Incarnation &Router);
  void pump(const base::Incarnation &Router);
  /// Runs \p Do on the reclaimer of \p Router if there still is one.
  void with(const base::Incarnation &Router,
            const std::function<void(budget::Reclaimer &)> &Do);
  void perform(const base::Incarnation &Router, const budget::Transact &Do);
  void perform(const base::Incarnation &Router, const budget::ReadRow &Do);
  void perform(const base::Incarnation &Router, const budget::ScanRows &Do);
  void perform(const base::Incarnation &Router, const budget::AskLiveness &Do);
  void perform(const base::Incarnation &Router, const budget::AskSeal &Do);
  void perform(const base::Incarnation &Router, const budget::ReclaimEnded &Do);

  net::Loop &Owner_;
  platform::PlatformClient &Platform_;
  base::Incarnation Self_;
  Send Send_;
  std::map<base::Incarnation, Watched> Watched_;
  std::map<base::Incarnation, ReclaimerPtr> Running_;
  budget::ReclaimerCounters Counters_;
  base::TimePoint NextRead_{};
  bool Reading_ = false;
};

} // namespace camphorwind::router

#endif // CAMPHORWIND_DAEMONS_ROUTER_RECLAIMS_H
