#ifndef CAMPHORWIND_CONFIG_CONFIGURATION_H
#define CAMPHORWIND_CONFIG_CONFIGURATION_H

#include "camphorwind/base/address.h"
#include "camphorwind/base/ids.h"
#include "camphorwind/base/time.h"
#include "camphorwind/base/tokens.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// The configuration of a whole fleet, as one file that operators accept and
/// every process has in force. docs/configuration.md names every key.
namespace camphorwind::config {

/// A model's or service's name, as callers write it.
using ModelId = base::Id<struct ModelTag>;
using ServiceId = base::Id<struct ServiceTag>;
/// A version of a model's weights.
using ModelVersionId = base::Id<struct ModelVersionTag>;
/// A small set of weights that changes a model for a purpose.
using AdapterId = base::Id<struct AdapterTag>;
using RouteId = base::Id<struct RouteTag>;
/// The part of a key that may be shown and logged.
using KeyId = base::Id<struct KeyTag>;

/// How a caller's key is kept: never the key itself.
struct KeyRecord {
  KeyId Id_;
  /// 16 bytes as lower-case hexadecimal digits.
  std::string Salt_;
  /// Salted hash of the secret, 32 bytes as lower-case hexadecimal digits.
  std::string Hash_;
};

/// A client account. Several keys at once let it change keys without a gap.
struct Account {
  base::AccountId Id_;
  std::vector<KeyRecord> Keys_;
  /// Charged where a request names no budget.
  base::BudgetId DefaultBudget_;
  /// From 0 (most urgent) to 9.
  int Priority_ = 5;
  /// Requests in progress in one router.
  int MaxRequests_ = 0;
};

/// A prepaid budget. Its amount is not configuration: top-ups add to it.
struct Budget {
  base::BudgetId Id_;
  base::AccountId Account_;
  /// `status` shows the budget as low below this amount.
  base::Tokens LowMark_;
};

/// A region with its failure domains.
struct Region {
  base::RegionId Id_;
  std::vector<base::FailureDomainId> FailureDomains_;
};

/// Weights in the weight store.
struct Weights {
  /// Key of the object in the weight store.
  std::string Object_;
  std::int64_t Bytes_ = 0;
};

/// A model that callers may name.
struct Model {
  ModelId Id_;
  /// Longest prompt and answer together.
  base::Tokens Context_;
  /// Output limit of a request that names none, and the highest allowed.
  base::Tokens DefaultOutput_;
  base::Tokens MaxOutput_;
  std::map<ModelVersionId, Weights> Versions_;
  /// The version that endpoints should run.
  ModelVersionId Version_;
  std::map<AdapterId, Weights> Adapters_;
};

/// One kind of call that a plain service takes.
struct ServiceCall {
  /// Such as `POST`.
  std::string Method_;
  /// Path prefix, such as `/orders`.
  std::string Path_;
  /// Whether the call may be repeated; if not, it runs at most once.
  bool Idempotent_ = false;
  /// Charged for each call.
  base::Tokens Price_;
};

/// A plain service beside the model engines.
struct Service {
  ServiceId Id_;
  std::vector<ServiceCall> Calls_;
};

/// What an endpoint can do, besides answering.
struct Capabilities {
  /// Refuses an order with an older fencing number than it has seen.
  bool ChecksFencing_ = false;
  bool HonoursPriorities_ = false;
  bool ResumesStreams_ = false;
  bool CancelsStreams_ = false;
  bool MovesCache_ = false;
  bool PublishesCacheEvents_ = false;
  bool ReportsLoad_ = false;

  friend bool operator==(const Capabilities &, const Capabilities &) = default;
};

/// An endpoint, reached through the agent beside it.
struct Endpoint {
  base::EndpointId Id_;
  base::PoolId Pool_;
  /// Where routers reach its agent.
  base::Address Agent_;
  base::HostId Host_;
  base::FailureDomainId FailureDomain_;
  base::RegionId Region_;
  Capabilities Capabilities_;
};

/// What the endpoints of a pool are.
enum class PoolKind { ModelEngine, PlainService };

/// A set of interchangeable endpoints.
struct Pool {
  base::PoolId Id_;
  PoolKind Kind_ = PoolKind::ModelEngine;
  /// Models that its engines run, or services that its hosts answer.
  std::vector<ModelId> Models_;
  std::vector<ServiceId> Services_;
  std::vector<Endpoint> Endpoints_;
  /// Requests in progress at one endpoint.
  int MaxRequestsPerEndpoint_ = 0;
};

/// Lets accounts reach a model or a service through pools, first pool first.
struct Route {
  RouteId Id_;
  /// Exactly one of the two.
  std::optional<ModelId> Model_;
  std::optional<ServiceId> Service_;
  std::vector<base::PoolId> Pools_;
  /// Empty: every account.
  std::vector<base::AccountId> Accounts_;
};

/// Bounds of one router.
struct Limits {
  int Connections_ = 0;
  int RequestsInProgress_ = 0;
  int QueuedRequests_ = 0;
  std::size_t BodyBytes_ = 0;
  std::size_t HeaderBytes_ = 0;
};

/// Spans of time that every process keeps to.
struct Timeouts {
  /// Longest life of a request that names no deadline.
  base::Duration Request_{};
  /// Silence of a stream after which its endpoint counts as stalled.
  base::Duration Stall_{};
  base::Duration Connect_{};
  /// How long a leaving process lets its requests end.
  base::Duration Drain_{};
  base::Duration Heartbeat_{};
  /// Life of a ticket, by the agent's clock.
  base::Duration Ticket_{};
  /// How often a router looks for a newer configuration.
  base::Duration ConfigurationPoll_{};
};

/// How slices of budgets are sized.
struct SlicePolicy {
  /// Use that a slice should cover while the table is unreachable.
  base::Duration Cover_{};
  base::Tokens Smallest_;
  /// Largest share of what is left that one grant may take.
  double LargestShare_ = 0;
  /// Idle time after which the unspent rest is handed back.
  base::Duration IdleReturn_{};
};

/// How endpoints are chosen and tried.
struct RoutingPolicy {
  /// Endpoints of a pool that one router uses.
  int SubsetSize_ = 0;
  /// Endpoints compared for each request.
  int Candidates_ = 0;
  /// Retries as a share of requests.
  double RetryShare_ = 0;
  base::Duration SlowStart_{};
};

/// A checked configuration: every name in it refers to something in it.
struct Configuration {
  /// Name of the fleet, such as `viti-central`.
  std::string Fleet_;
  std::map<base::RegionId, Region> Regions_;
  std::map<base::AccountId, Account> Accounts_;
  std::map<base::BudgetId, Budget> Budgets_;
  std::map<ModelId, Model> Models_;
  std::map<ServiceId, Service> Services_;
  std::map<base::PoolId, Pool> Pools_;
  std::map<RouteId, Route> Routes_;
  Limits Limits_;
  Timeouts Timeouts_;
  SlicePolicy Slices_;
  RoutingPolicy Routing_;

  /// Returns the endpoint \p Id of any pool, or null.
  const Endpoint *findEndpoint(const base::EndpointId &Id) const;

  /// Return the route that lets \p Account reach a model or service, or null.
  const Route *findRoute(const base::AccountId &Account,
                         const ModelId &Model) const;
  const Route *findRoute(const base::AccountId &Account,
                         const ServiceId &Service) const;

  /// Returns the first call of \p Service that matches, or null.
  const ServiceCall *findCall(const ServiceId &Service, std::string_view Method,
                              std::string_view Path) const;
};

} // namespace camphorwind::config

#endif // CAMPHORWIND_CONFIG_CONFIGURATION_H
