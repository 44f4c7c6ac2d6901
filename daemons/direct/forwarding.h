#ifndef CAMPHORWIND_DAEMONS_DIRECT_FORWARDING_H
#define CAMPHORWIND_DAEMONS_DIRECT_FORWARDING_H

#include "crash-reports.h"
#include "crash-watch.h"
#include "direct-router.h"
#include "response-bytes.h"
#include "settings.h"

#include "camphorwind/base/random.h"
#include "camphorwind/budget/escrow.h"
#include "camphorwind/direct/endpoint-list.h"
#include "camphorwind/direct/evacuations.h"
#include "camphorwind/direct/stream-versions.h"
#include "camphorwind/direct/view.h"
#include "camphorwind/net/loop.h"
#include "camphorwind/net/origin-client.h"
#include "camphorwind/observe/metrics.h"
#include "camphorwind/routing/direct-pool.h"
#include "camphorwind/routing/host-load.h"
#include "camphorwind/routing/limit-claims.h"
#include "camphorwind/routing/pause.h"
#include "camphorwind/routing/quarantine.h"
#include "camphorwind/routing/retry-window.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

namespace camphorwind::direct {

class ForwardedRequest;
class TokenLoans;

/// A pool's endpoint selection and its limit on retries.
struct PoolState {
  routing::DirectPool Selector_;
  routing::RetryWindow Retries_;
};

/// State shared by all requests of one router.
struct ForwardingContext {
  ForwardingContext(net::Loop &EventLoop, DirectSettings Settings,
                    budget::Escrow Escrow)
      : Loop_(EventLoop), Settings_(std::move(Settings)),
        Streams_(EventLoop.now()), Origins_(EventLoop, {}),
        Escrow_(std::move(Escrow)),
        Crashes_(EventLoop, [this](const ListedEndpoint &Endpoint,
                                   const routing::CrashReport &Report) {
          endpointCrashed(Endpoint, Report);
        }) {}
  ~ForwardingContext();
  ForwardingContext(const ForwardingContext &) = delete;
  ForwardingContext &operator=(const ForwardingContext &) = delete;

  /// Returns the state of the pool; creates it on first use.
  PoolState &poolState(const base::PoolId &Id);
  /// Tells the pool this router's place in the fleet and the table's clock.
  void setPlace(PoolState &Pool);
  /// Publishes to which endpoints with request limits this router wants to
  /// send, and takes over what the others have published.
  void updateClaims();
  /// Sends no more requests to an endpoint that states that it is about to shut
  /// down. Requests that it has already received go on.
  void endpointLeaving(const base::EndpointId &Id);
  /// Takes over the report of a crash that this router noticed.
  void endpointCrashed(const ListedEndpoint &Endpoint,
                       const routing::CrashReport &Report);
  /// Logs the changes of Quarantine_, and has reports for other routers sent.
  void quarantineChanged();
  /// Notes which software versions serve, and forgets old ones.
  void updateStreamVersions();
  /// Ends the attempts with the largest responses until all responses are
  /// within the limit.
  void limitResponseBytes();
  /// Takes the changes of Endpoints_ over into the pools.
  void applyEndpointChanges();
  /// Closes idle connections to evacuated endpoints, and keeps requests away
  /// from them.
  void applyEvacuationChanges();
  /// Applies the configured cold limits and slow start to the pools.
  void applyPoolLimits();
  /// Logs a header that can't be parsed, at most once a minute for each
  /// endpoint and header.
  void logMalformedHeader(const base::EndpointId &Endpoint,
                          std::string_view Header, std::string_view Request);
  /// Whether the router may have missed what has happened to its callers.
  bool lags(base::TimePoint Now) const {
    constexpr std::chrono::milliseconds NoticeableLag{50};
    return Load_.lag(Now) >= NoticeableLag;
  }
  /// Whether a request that arrives now is refused because of a stop.
  bool refusesNew(base::TimePoint Now) const {
    return RefusesFrom_ && Now >= *RefusesFrom_;
  }
  /// Returns a copy of OpenRequests_, since requests may end during iteration.
  std::vector<std::shared_ptr<ForwardedRequest>> openRequests() const {
    return {OpenRequests_.begin(), OpenRequests_.end()};
  }

private:
  const Pool *findPoolConfig(const base::PoolId &Id) const;
  std::uint64_t cacheTokens(const base::PoolId &Id) const;
  void limitConnections(const ListedEndpoint &Entry);
  void applyPoolLimits(const base::PoolId &Id, PoolState &Pool) const;
  /// Notes how long an endpoint stays cold, as far as its entry says.
  void updateCold(routing::DirectPool &Selector, const ListedEndpoint &Entry,
                  bool WasUsable);

public:
  net::Loop &Loop_;
  DirectSettings Settings_;
  ViewHolder View_;
  EndpointList Endpoints_;
  Evacuations Evacuations_;
  StreamVersions Streams_;
  /// Looks a stream up in the table; may be empty.
  StreamLookup FindStream_;
  std::unordered_map<base::PoolId, PoolState> Pools_;
  net::OriginClient Origins_;
  budget::Escrow Escrow_;
  /// Null if this router takes part in no loans.
  std::unique_ptr<TokenLoans> Loans_;
  routing::LimitClaims Claims_;
  routing::Quarantine Quarantine_;
  CrashWatch Crashes_;
  /// Reports for other routers that nobody has taken yet.
  CrashReports Reports_;
  /// Called when Reports_ gets reports; may be empty.
  std::function<void()> OnReports_;
  observe::Metrics Metrics_;
  base::Random Random_ = base::systemRandom();
  std::shared_ptr<ResponseBytes> ResponseBytes_ =
      std::make_shared<ResponseBytes>(
          ResponseBytes{0, Settings_.MaxResponseBytes_});
  /// Requests without a final response.
  std::unordered_set<std::shared_ptr<ForwardedRequest>> OpenRequests_;
  /// When the configuration source became unreachable; unset while reachable.
  std::optional<base::TimePoint> SourceLostAt_;
  routing::Pause Pause_;
  routing::HostLoad Load_{Loop_.now()};
  /// Reads of the budget table, in which this router counts the others.
  routing::FleetCount Count_;
  /// When a malformed header was last logged, by endpoint and header.
  std::map<std::pair<base::EndpointId, std::string>, base::TimePoint>
      MalformedLoggedAt_;
  /// A stop was requested; new requests are still accepted for a while.
  bool Stopping_ = false;
  /// When new requests begin to be refused; unset if no stop was requested.
  std::optional<base::TimePoint> RefusesFrom_;
  /// When the process ends at the latest; unset if no stop was requested.
  std::optional<base::TimePoint> EndsAt_;
  /// Called when a request starts to wait for tokens; may be empty.
  std::function<void()> OnTokensNeeded_;
};

} // namespace camphorwind::direct

#endif // CAMPHORWIND_DAEMONS_DIRECT_FORWARDING_H
