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
/// pools, and within which limits.
namespace camphorwind::direct {

/// What may be repeated.
enum class RequestKind {
  Idempotent,
  NonIdempotent,
  /// An answer made of events; repeated only where the route can resume it.
  Stream,
};

/// Returns the name used in configuration and logs, such as "non_idempotent".
std::string_view toString(RequestKind Kind);
std::optional<RequestKind> requestKindFromString(std::string_view Name);

/// One of the pools among which a route's requests are divided.
struct RouteTarget {
  base::PoolId Pool_;
  /// Relative to the sum of the route's weights.
  unsigned Weight_ = 1;
};

/// Requests of one host below one path.
struct Route {
  std::string Name_;
  std::string Host_;
  /// Begins and ends with a slash.
  std::string PathPrefix_;
  RequestKind Kind_ = RequestKind::NonIdempotent;
  std::vector<RouteTarget> Targets_;
  /// Endpoints that one request may run on.
  unsigned MaxAttempts_ = 1;
  /// Longest time until the answer is whole.
  std::chrono::milliseconds Timeout_{30000};
  /// Time to the first byte that callers find good.
  std::chrono::milliseconds FirstByteObjective_{500};
  /// Longest pause between events that callers find good.
  std::chrono::milliseconds EventGapObjective_{200};
  /// 0 is the most urgent.
  int Priority_ = 0;
  /// Needs no key.
  bool Public_ = false;
  /// A broken stream may go on at another endpoint.
  bool Resumable_ = false;
  /// Requests carry a prompt, and go where its beginning is cached.
  bool HasPrompt_ = false;

  /// Whether a second run does no harm.
  bool repeatable() const {
    return Kind_ == RequestKind::Idempotent ||
           (Kind_ == RequestKind::Stream && Resumable_);
  }
};

/// A pool of model engines or plain hosts.
struct Pool {
  base::PoolId Pool_;
  /// Connections that one endpoint accepts from all routers together.
  std::size_t ConnectionLimit_ = 64;
  /// Set for model engines.
  bool HasEngines_ = false;
  std::uint32_t EngineSlots_ = 1;
  base::Tokens EngineCacheTokens_;
  /// Tokens that one event of a stream holds at most.
  unsigned TokensPerEvent_ = 1;
};

/// A client account with its keys.
struct Account {
  base::AccountId Account_;
  /// Goes before the route's, if set.
  std::optional<int> Priority_;
  /// Most tokens that it may use; none for no limit.
  std::optional<base::Tokens> Prepaid_;
};

/// Bounds of what a caller may send.
struct RequestLimits {
  std::size_t HeaderBytes_ = 16UL * 1024;
  std::size_t BodyBytes_ = 4UL * 1024 * 1024;
  std::chrono::milliseconds IdleTimeout_{15000};
};

/// One version of the configuration; never changes once it is in force.
class View {
public:
  std::uint64_t Version_ = 0;
  std::unordered_map<base::PoolId, Pool> Pools_;
  RequestLimits Limits_;

  void addRoute(Route NewRoute);
  void addAccount(Account NewAccount, const std::vector<std::string> &Keys);

  /// Returns the route of \p Host with the longest prefix of \p Path, or null.
  const Route *findRoute(std::string_view Host, std::string_view Path) const;
  /// Returns the pool, or null.
  const Pool *findPool(const base::PoolId &Id) const;
  /// Returns the account that holds \p Key, or null.
  const Account *findAccount(std::string_view Key) const;
  /// Whether requests need keys at all.
  bool hasAccounts() const { return !Accounts_.empty(); }
  const std::vector<Account> &accounts() const { return Accounts_; }
  std::size_t routeCount() const { return RouteCount_; }

private:
  /// Routes by host, then by prefix.
  std::map<std::string, std::map<std::string, Route, std::less<>>, std::less<>>
      Routes_;
  std::size_t RouteCount_ = 0;
  std::vector<Account> Accounts_;
  std::map<std::string, std::size_t, std::less<>> AccountByKey_;
};

using ViewPtr = std::shared_ptr<const View>;

/// Keeps the newest configuration; versions never fall.
class ViewHolder {
public:
  /// Returns whether \p Candidate is newer and now in force.
  bool offer(ViewPtr Candidate);
  /// Null before the first.
  const ViewPtr &current() const { return Current_; }

private:
  ViewPtr Current_;
};

/// Picks one of the route's targets by weight; \p Draw is uniform in [0, 1).
const RouteTarget *pickTarget(const Route &ForRoute, double Draw);

} // namespace camphorwind::direct

#endif // CAMPHORWIND_DIRECT_VIEW_H
