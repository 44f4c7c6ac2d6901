#ifndef CAMPHORWIND_ROUTING_SLOW_START_H
#define CAMPHORWIND_ROUTING_SLOW_START_H

#include <cstdint>
#include <optional>

namespace camphorwind::routing {

/// How many requests one router has in flight at an endpoint that has just
/// started or recovered.
///
/// The window follows the endpoint's answers instead of a time: it doubles with
/// each full window of answers in time, and halves with each late answer or
/// failure. An endpoint that is soon fast is soon used in full, and one that is
/// still loading is not flooded. It never falls below one request, so that the
/// endpoint can always show that it has recovered.
class SlowStart {
public:
  /// Starts with a window of one request. The slow start is over once the
  /// window reaches \p FullWindow.
  void begin(std::uint32_t FullWindow);
  bool active() const { return Window_.has_value(); }
  /// Whether another request may be sent beside \p InFlight others.
  bool admits(std::uint32_t InFlight) const {
    return !Window_ || InFlight < *Window_;
  }
  /// Records the first byte of an answer, and whether it met its objective.
  void answered(bool InTime);
  void failed();

private:
  void shrink();

  /// Unset while no slow start is in progress.
  std::optional<std::uint32_t> Window_;
  std::uint32_t FullWindow_ = 1;
  /// Answers in time since the window last changed.
  std::uint32_t InTime_ = 0;
};

} // namespace camphorwind::routing

#endif // CAMPHORWIND_ROUTING_SLOW_START_H
