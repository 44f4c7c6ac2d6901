#ifndef CAMPHORWIND_ROUTING_PAUSE_H
#define CAMPHORWIND_ROUTING_PAUSE_H

#include "camphorwind/base/time.h"

#include <algorithm>

namespace camphorwind::routing {

/// The last time in which this process did not run its event loop.
///
/// A process that has paused has not read what arrived meanwhile, so that its
/// pause says nothing about others.
struct Pause {
  base::TimePoint End_{};
  base::Duration Length_{0};

  /// Returns the time from \p From to \p Now less the pause.
  base::Duration awake(base::TimePoint From, base::TimePoint Now) const {
    return Now - From -
           std::clamp<base::Duration>(End_ - From, base::Duration(0), Length_);
  }
};

} // namespace camphorwind::routing

#endif // CAMPHORWIND_ROUTING_PAUSE_H
