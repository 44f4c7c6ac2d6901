#ifndef CAMPHORWIND_BASE_TIME_H
#define CAMPHORWIND_BASE_TIME_H

#include <chrono>
#include <concepts>

namespace camphorwind::base {

/// Span of time; all of the project's durations convert to it.
using Duration = std::chrono::nanoseconds;

/// Point on a monotonic clock of one process; never compared across processes.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// A source of monotonic time.
template <class T>
concept Clock = requires(const T &C) {
  { C.now() } -> std::same_as<TimePoint>;
};

/// The machine's monotonic clock.
struct SteadyClock {
  TimePoint now() const { return std::chrono::steady_clock::now(); }
};

/// A clock that tests and virtual-time measurements move by hand.
class ManualClock {
public:
  TimePoint now() const { return Now_; }
  void advance(Duration Step) { Now_ += Step; }
  void set(TimePoint Now) { Now_ = Now; }

private:
  TimePoint Now_{};
};

} // namespace camphorwind::base

#endif // CAMPHORWIND_BASE_TIME_H
