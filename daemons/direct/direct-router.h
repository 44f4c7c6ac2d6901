#ifndef CAMPHORWIND_DAEMONS_DIRECT_DIRECT_ROUTER_H
#define CAMPHORWIND_DAEMONS_DIRECT_DIRECT_ROUTER_H

#include "crash-reports.h"
#include "settings.h"

#include "camphorwind/base/result.h"
#include "camphorwind/budget/escrow.h"
#include "camphorwind/direct/endpoint-list.h"
#include "camphorwind/direct/evacuations.h"
#include "camphorwind/direct/stream-versions.h"
#include "camphorwind/direct/view.h"
#include "camphorwind/net/loop.h"
#include "camphorwind/observe/metrics.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace camphorwind::direct {

/// Adds the stream whose first event an attempt brought to the router's
/// streams, if the table has it, and calls back. The callback receives whether
/// the table was read; the read begins after the call.
using StreamLookup = std::function<void(const std::string &Attempt,
                                        std::function<void(bool TableRead)>)>;

/// Forwards callers' requests to endpoints. The owner supplies the
/// configuration, the list of endpoints and the rows of the budget table.
class DirectRouter {
public:
  /// Starts listening. Fails with IoErrorKind::AddressInUse, InvalidArgument or
  /// ResourceLimit.
  static base::Result<std::unique_ptr<DirectRouter>, base::IoError>
  create(net::Loop &EventLoop, DirectSettings Settings, budget::Escrow Escrow);
  ~DirectRouter();
  DirectRouter(const DirectRouter &) = delete;
  DirectRouter &operator=(const DirectRouter &) = delete;

  /// Applies a configuration if its version is higher than the current one.
  void offerView(ViewPtr Candidate);
  /// Sets whether the source of the configuration and the endpoint list is
  /// reachable. Calls that repeat the last state have no effect.
  void setSourceReachable(bool Reachable);

  /// The endpoint list. Call endpointsChanged() after modifying it.
  EndpointList &endpoints();
  void endpointsChanged();

  /// The failure domains whose endpoints get no requests. Call
  /// evacuationsChanged() after modifying them, and before the first
  /// configuration is offered: a router is not ready without one.
  Evacuations &evacuations();
  void evacuationsChanged();

  /// The router's budget slices. Call escrowChanged() after passing rows or
  /// transaction results to them.
  budget::Escrow &escrow();
  /// Sets the function that is called when a request starts to wait for tokens
  /// to be drawn from the budget table.
  void onTokensNeeded(std::function<void()> Callback);
  void escrowChanged();

  /// Exchanges what routers know of requests and prompt parts that crash
  /// engines. The callback says that there are reports to take and to pass on
  /// to the other routers. Reports that come back have no effect.
  void onCrashReports(std::function<void()> Callback);
  CrashReports takeCrashReports();
  void addCrashReports(const CrashReports &Reports);

  /// Which software versions began streams. The owner exchanges it with other
  /// routers and later processes.
  StreamVersions &streams();
  /// Notes that the table holds these streams, and passes on what was held back
  /// until then.
  void streamsWritten(const std::vector<StreamOrigin> &Written);
  /// Sets how streams are found that this router did not begin.
  void onStreamLookup(StreamLookup Lookup);

  /// Returns the bytes of responses that count for
  /// DirectSettings::MaxResponseBytes_.
  std::size_t responseBytes() const;
  observe::Metrics &metrics();
  /// Whether the configuration, the endpoint list and the budget table are
  /// loaded and no stop was requested.
  bool ready() const;

  /// Shuts down: stops accepting requests after DrainDelay_, waits for open
  /// requests and for unused tokens to be returned, but no longer than
  /// ShutdownTimeout_, then calls \p OnStopped once.
  void stop(std::function<void()> OnStopped);

private:
  struct Impl;
  explicit DirectRouter(std::unique_ptr<Impl> Inner);

  std::unique_ptr<Impl> Inner_;
};

} // namespace camphorwind::direct

#endif // CAMPHORWIND_DAEMONS_DIRECT_DIRECT_ROUTER_H
