#ifndef CAMPHORWIND_DAEMONS_DIRECT_SETTINGS_H
#define CAMPHORWIND_DAEMONS_DIRECT_SETTINGS_H

#include "camphorwind/base/address.h"
#include "camphorwind/base/ids.h"
#include "camphorwind/direct/headers.h"
#include "camphorwind/routing/retry-window.h"

#include <chrono>
#include <cstddef>
#include <optional>

namespace camphorwind::direct {

/// How far requests to a cold endpoint may exceed its stated rate, in any one
/// second and over all routers.
struct ColdBounds {
  /// Multiple of the stated requests per second.
  double Factor_ = 1;
  /// Requests in addition.
  double Slack_ = 0;
};

/// Settings of a router that calls endpoints directly, without agents.
struct DirectSettings {
  base::RouterId Router_;
  base::FailureDomainId Domain_;
  /// Address on which callers connect.
  base::Address Listen_;
  /// Address that serves `GET /ready` to the load balancer, and `GET /metrics`.
  base::Address ReadinessListen_;
  /// Address on which other routers ask for loans of tokens; unset if this
  /// router lends nothing.
  std::optional<base::Address> LoanListen_;
  HeaderNames Headers_;
  routing::RetryWindowOptions Retries_;
  /// Limits for cold endpoints; unset if the deployment states none.
  std::optional<ColdBounds> Cold_;
  /// Time within which an evacuated failure domain must get no more requests.
  std::chrono::milliseconds EvacuationTime_{0};
  /// Whether endpoints crash when the requests that they hold exceed their
  /// memory.
  bool EndpointsHaveMemoryLimit_ = false;
  /// Share of a processor core that the host has; 1 if it is not known.
  double CpuShare_ = 1;
  /// How long requests are accepted after SIGTERM, until the load balancer has
  /// noticed: it polls every second and needs two failed polls. Requests that
  /// arrive later could not finish within ShutdownTimeout_. A busy process
  /// notices SIGTERM late, and a caller may count from when it was sent.
  std::chrono::milliseconds DrainDelay_{2800};
  /// Longest time from SIGTERM to the end of the process.
  std::chrono::milliseconds ShutdownTimeout_{7200};
  /// Bytes of all responses together that are not whole yet, or that their
  /// callers have not taken.
  std::size_t MaxResponseBytes_ = 64UL * 1024 * 1024;
  /// Bytes held for the requests of all callers together, until they have
  /// ended; 0 for no limit. An eighth of them is for small requests.
  std::size_t MaxRequestBytes_ = 0;
  /// Largest number of callers' connections.
  unsigned MaxCallerConnections_ = 4096;
};

} // namespace camphorwind::direct

#endif // CAMPHORWIND_DAEMONS_DIRECT_SETTINGS_H
