#ifndef CAMPHORWIND_DAEMONS_DIRECT_DIRECT_ROUTER_H
#define CAMPHORWIND_DAEMONS_DIRECT_DIRECT_ROUTER_H

#include "settings.h"

#include "camphorwind/base/result.h"
#include "camphorwind/budget/escrow.h"
#include "camphorwind/direct/endpoint-list.h"
#include "camphorwind/direct/view.h"
#include "camphorwind/net/loop.h"
#include "camphorwind/observe/metrics.h"

#include <functional>
#include <memory>

namespace camphorwind::direct {

/// Forwards callers' requests to endpoints. Configuration, the list of
/// endpoints and the rows of the budgets come from outside; every decision
/// about a request is made here and in the libraries below.
class DirectRouter {
public:
  /// Fails with IoErrorKind::AddressInUse, InvalidArgument or ResourceLimit.
  static base::Result<std::unique_ptr<DirectRouter>, base::IoError>
  create(net::Loop &EventLoop, DirectSettings Settings, budget::Escrow Escrow);
  ~DirectRouter();
  DirectRouter(const DirectRouter &) = delete;
  DirectRouter &operator=(const DirectRouter &) = delete;

  /// Brings a configuration into force, unless it is older than the present
  /// one.
  void offerView(ViewPtr Offered);
  /// Whether the source of configuration and endpoints answers.
  void setSourceReachable(bool Reachable);

  /// Call endpointsChanged() after changing the list.
  EndpointList &endpoints();
  void endpointsChanged();

  /// Call escrowChanged() after giving rows or results to it.
  budget::Escrow &escrow();
  /// \p Callback runs when a request waits for tokens to be drawn.
  void onTokensNeeded(std::function<void()> Callback);
  void escrowChanged();

  observe::Metrics &metrics();
  /// True once requests can be answered.
  bool ready() const;

  /// Takes no more callers, lets requests in progress end, then calls back.
  void stop(std::function<void()> OnStopped);

private:
  struct Impl;
  explicit DirectRouter(std::unique_ptr<Impl> Inner);

  std::unique_ptr<Impl> Inner_;
};

} // namespace camphorwind::direct

#endif // CAMPHORWIND_DAEMONS_DIRECT_DIRECT_ROUTER_H
