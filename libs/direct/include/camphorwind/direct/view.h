#ifndef CAMPHORWIND_DIRECT_VIEW_H
#define CAMPHORWIND_DIRECT_VIEW_H

#include "camphorwind/base/ids.h"
#include "camphorwind/base/time.h"
#include "camphorwind/base/tokens.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

/// The configuration of direct access: which requests are forwarded, to which
/// pools, and with which limits.
namespace camphorwind::direct {

/// Whether and how a failed request may be retried.
enum class RequestKind {
  Idempotent,
  NonIdempotent,
  /// The response is a stream of server-sent events; a broken stream is retried
  /// only if the route is resumable.
  Stream,
};

/// Returns the name used in configuration and logs, such as "non_idempotent".
std::string_view toString(RequestKind Kind);
/// Inverse of toString(); returns nothing for an unknown name.
std::optional<RequestKind> requestKindFromString(std::string_view Name);

/// A pool that receives a share of a route's requests.
struct RouteTarget {
  base::PoolId Pool_;
  /// Relative to the sum of the route's weights.
  unsigned Weight_ = 1;
};

/// How requests for one host and path prefix are forwarded.
struct Route {
  std::string Name_;
  std::string Host_;
  /// Starts and ends with a slash.
  std::string PathPrefix_;
  RequestKind Kind_ = RequestKind::NonIdempotent;
  std::vector<RouteTarget> Targets_;
  /// Maximum number of endpoints that one request may run on.
  unsigned MaxAttempts_ = 1;
  /// Longest time until the response is complete.
  std::chrono::milliseconds Timeout_{30000};
  /// Objective for the time to the first byte.
  std::chrono::milliseconds FirstByteObjective_{500};
  /// Objective for the longest gap between two events of a stream.
  std::chrono::milliseconds EventGapObjective_{200};
  /// 0 is the most urgent.
  int Priority_ = 0;
  /// Requests need no API key.
  bool Public_ = false;
  /// A broken stream may be resumed at another endpoint.
  bool Resumable_ = false;
  /// Requests carry a prompt and are preferably sent to an engine that has its
  /// beginning cached.
  bool HasPrompt_ = false;

  /// Whether a request that may have run may be sent to another endpoint.
  bool repeatable() const {
    return Kind_ == RequestKind::Idempotent ||
           (Kind_ == RequestKind::Stream && Resumable_);
  }
};

/// A pool of model engines or plain hosts.
struct Pool {
  base::PoolId Pool_;
  /// Maximum number of connections to one endpoint, over all routers.
  std::size_t ConnectionLimit_ = 64;
  /// Whether the endpoints are model engines.
  bool HasEngines_ = false;
  std::uint32_t EngineSlots_ = 1;
  /// Size of an engine's prompt cache.
  base::Tokens EngineCacheTokens_;
  /// Maximum number of tokens in one event of a stream.
  unsigned TokensPerEvent_ = 1;
  /// Requests per second that an endpoint takes while it is cold; 0 if
  /// endpoints take all requests from their start.
  double ColdRequestsPerSecond_ = 0;
  /// How long an endpoint stays cold after its start.
  std::chrono::milliseconds ColdTime_{0};
};

/// A client account.
struct Account {
  base::AccountId Account_;
  /// Overrides the route's priority if set.
  std::optional<int> Priority_;
  /// Maximum number of tokens that the account may use; unset for no limit.
  std::optional<base::Tokens> Prepaid_;
};

/// Limits for callers' requests and connections.
struct RequestLimits {
  std::size_t HeaderBytes_ = 16UL * 1024;
  std::size_t BodyBytes_ = 4UL * 1024 * 1024;
  /// Time for a whole header section, from its first byte.
  std::chrono::milliseconds HeadTimeout_{5000};
  /// Time for which callers may leave a connection without a request.
  std::chrono::milliseconds IdleTimeout_{15000};
};

/// One version of the configuration; immutable once it is in force.
class View {
public:
  std::uint64_t Version_ = 0;
  std::unordered_map<base::PoolId, Pool> Pools_;
  RequestLimits Limits_;

  /// Adds a route; replaces one with the same host and path prefix.
  void addRoute(Route NewRoute);
  /// Adds an account; a key that is already known moves to \p NewAccount.
  void addAccount(Account NewAccount, const std::vector<std::string> &Keys);

  /// Returns the route of \p Host with the longest matching prefix of \p Path,
  /// or null.
  const Route *findRoute(std::string_view Host, std::string_view Path) const;
  /// Returns the route for the value of a Host header, which may contain a
  /// port, or null.
  const Route *findRouteOfHost(std::string_view HostAndPort,
                               std::string_view Path) const;
  /// Returns the pool, or null.
  const Pool *findPool(const base::PoolId &Id) const;
  /// Returns the account that holds \p Key, or null.
  const Account *findAccount(std::string_view Key) const;
  /// Whether any accounts exist; without them, no request needs a key.
  bool hasAccounts() const { return !Accounts_.empty(); }
  const std::vector<Account> &accounts() const { return Accounts_; }
  std::size_t routeCount() const { return RouteCount_; }

private:
  /// Routes by host, then by path prefix.
  std::map<std::string, std::map<std::string, Route, std::less<>>, std::less<>>
      Routes_;
  std::size_t RouteCount_ = 0;
  std::vector<Account> Accounts_;
  /// Index into Accounts_ by API key.
  std::map<std::string, std::size_t, std::less<>> AccountByKey_;
};

using ViewPtr = std::shared_ptr<const View>;

/// Holds the newest configuration; ignores older versions.
class ViewHolder {
public:
  /// Replaces the current configuration if \p Candidate has a higher version;
  /// returns whether it was replaced.
  bool offer(ViewPtr Candidate);
  /// Null before the first configuration.
  const ViewPtr &current() const { return Current_; }

private:
  ViewPtr Current_;
};

/// Picks one of the route's targets at random by weight, or null if it has
/// none; \p Draw is uniformly distributed in [0, 1).
const RouteTarget *pickTarget(const Route &ForRoute, double Draw);

} // namespace camphorwind::direct

#endif // CAMPHORWIND_DIRECT_VIEW_H
