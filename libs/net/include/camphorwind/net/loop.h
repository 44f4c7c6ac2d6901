#ifndef CAMPHORWIND_NET_LOOP_H
#define CAMPHORWIND_NET_LOOP_H

#include "camphorwind/base/result.h"
#include "camphorwind/base/time.h"

#include <ev.h>

#include <deque>
#include <functional>
#include <memory>

/// One libev loop per process, and watchers that stop when destroyed. All
/// callbacks run on the thread that calls Loop::run.
namespace camphorwind::net {

/// An event loop.
class Loop {
public:
  /// Fails with IoErrorKind::ResourceLimit when the kernel gives no poller.
  static base::Result<std::unique_ptr<Loop>, base::IoError> create();
  ~Loop();
  Loop(const Loop &) = delete;
  Loop &operator=(const Loop &) = delete;

  /// Runs until stop() is called.
  void run();
  void stop();

  /// Runs \p Task on the loop, after the callback now running has returned.
  void post(std::function<void()> Task);

  base::TimePoint now() const { return base::SteadyClock().now(); }
  struct ev_loop *raw() {
    return Raw_;
  }

private:
  explicit Loop(struct ev_loop *Raw);
  static void onAsync(struct ev_loop *, ev_async *Watcher, int);
  void runPosted();

  struct ev_loop *Raw_;
  ev_async Async_{};
  std::deque<std::function<void()>> Posted_;
};

/// Calls back after a delay, once or repeatedly. Files that are ready come
/// first.
class Timer {
public:
  Timer(Loop &Owner, std::function<void()> Callback);
  ~Timer() { stop(); }
  Timer(const Timer &) = delete;
  Timer &operator=(const Timer &) = delete;

  /// Starts or restarts the timer; it fires once.
  void start(base::Duration Delay);
  /// Starts or restarts the timer; it fires every \p Interval.
  void startRepeating(base::Duration Interval);
  void stop();
  bool active() const { return ev_is_active(&Watcher_); }

private:
  static void onTimer(struct ev_loop *, ev_timer *Watcher, int);

  Loop &Owner_;
  std::function<void()> Callback_;
  ev_timer Watcher_{};
};

/// Which readiness a watcher waits for.
enum class Interest { None, Read, Write, ReadWrite };

/// Calls back when a file descriptor is ready. Does not own the descriptor.
class FdWatcher {
public:
  using Callback = std::function<void(bool Readable, bool Writable)>;

  FdWatcher(Loop &Owner, Callback OnReady);
  ~FdWatcher() { stop(); }
  FdWatcher(const FdWatcher &) = delete;
  FdWatcher &operator=(const FdWatcher &) = delete;

  void start(int Fd, Interest Wanted);
  void stop();

private:
  static void onIo(struct ev_loop *, ev_io *Watcher, int Events);

  Loop &Owner_;
  Callback OnReady_;
  ev_io Watcher_{};
  Interest Wanted_ = Interest::None;
};

/// Calls back at the start of each turn of the loop, before anything else that
/// is due.
class TurnWatcher {
public:
  TurnWatcher(Loop &Owner, std::function<void()> Callback);
  ~TurnWatcher();
  TurnWatcher(const TurnWatcher &) = delete;
  TurnWatcher &operator=(const TurnWatcher &) = delete;

private:
  static void onTurn(struct ev_loop *, ev_check *Watcher, int);

  Loop &Owner_;
  std::function<void()> Callback_;
  ev_check Watcher_{};
};

/// Calls back when the process receives a signal.
class SignalWatcher {
public:
  SignalWatcher(Loop &Owner, int Signal, std::function<void()> Callback);
  ~SignalWatcher();
  SignalWatcher(const SignalWatcher &) = delete;
  SignalWatcher &operator=(const SignalWatcher &) = delete;

private:
  static void onSignal(struct ev_loop *, ev_signal *Watcher, int);

  Loop &Owner_;
  std::function<void()> Callback_;
  ev_signal Watcher_{};
};

} // namespace camphorwind::net

#endif // CAMPHORWIND_NET_LOOP_H
