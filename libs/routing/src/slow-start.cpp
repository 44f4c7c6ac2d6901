#include "camphorwind/routing/slow-start.h"

#include <algorithm>

namespace camphorwind::routing {

void SlowStart::begin(std::uint32_t FullWindow) {
  FullWindow_ = FullWindow;
  InTime_ = 0;
  if (FullWindow > 1)
    Window_ = 1;
  else
    Window_.reset();
}

void SlowStart::answered(bool InTime) {
  if (!Window_)
    return;
  if (!InTime) {
    shrink();
    return;
  }
  if (++InTime_ < *Window_)
    return;
  InTime_ = 0;
  Window_ = 2 * *Window_;
  if (*Window_ >= FullWindow_)
    Window_.reset();
}

void SlowStart::failed() {
  if (Window_)
    shrink();
}

void SlowStart::shrink() {
  InTime_ = 0;
  Window_ = std::max(1U, *Window_ / 2);
}

} // namespace camphorwind::routing
