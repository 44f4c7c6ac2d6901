#ifndef CAMPHORWIND_DAEMONS_DIRECT_SETTINGS_H
#define CAMPHORWIND_DAEMONS_DIRECT_SETTINGS_H

#include "camphorwind/base/address.h"
#include "camphorwind/base/ids.h"
#include "camphorwind/direct/headers.h"
#include "camphorwind/routing/retry-window.h"

#include <chrono>

namespace camphorwind::direct {

/// Settings of a router that calls endpoints itself.
struct DirectSettings {
  base::RouterId Router_;
  base::FailureDomainId Domain_;
  /// Where callers connect.
  base::Address Listen_;
  /// Where the balancer asks `GET /ready`, and `GET /metrics` is served.
  base::Address ReadinessListen_;
  HeaderNames Headers_;
  routing::RetryWindowOptions Retries_;
  /// After SIGTERM requests are taken for this long, until the balancer has
  /// noticed: two missed questions, a second apart. Later ones could not end
  /// before the process has to.
  std::chrono::milliseconds DrainDelay_{3000};
  /// Time from SIGTERM to the end of the process.
  std::chrono::milliseconds ShutdownTimeout_{7200};
};

} // namespace camphorwind::direct

#endif // CAMPHORWIND_DAEMONS_DIRECT_SETTINGS_H
