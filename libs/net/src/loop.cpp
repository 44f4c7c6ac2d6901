#include "camphorwind/net/loop.h"

#include <chrono>
#include <utility>

namespace camphorwind::net {

namespace {

ev_tstamp seconds(base::Duration Span) {
  return std::chrono::duration<ev_tstamp>(Span).count();
}

int eventsOf(Interest Wanted) {
  switch (Wanted) {
  case Interest::None:
    return 0;
  case Interest::Read:
    return EV_READ;
  case Interest::Write:
    return EV_WRITE;
  case Interest::ReadWrite:
    return EV_READ | EV_WRITE;
  }
  return 0;
}

} // namespace

base::Result<std::unique_ptr<Loop>, base::IoError> Loop::create() {
  struct ev_loop *Raw = ev_loop_new(EVFLAG_AUTO);
  if (!Raw)
    return base::failure(base::IoError{base::IoErrorKind::ResourceLimit,
                                       "creating the event loop"});
  return std::unique_ptr<Loop>(new Loop(Raw));
}

Loop::Loop(struct ev_loop *Raw) : Raw_(Raw) {
  ev_async_init(&Async_, onAsync);
  Async_.data = this;
  ev_async_start(Raw_, &Async_);
  // The wake-up watcher alone does not keep the loop running.
  ev_unref(Raw_);
}

Loop::~Loop() {
  Posted_.clear();
  ev_ref(Raw_);
  ev_async_stop(Raw_, &Async_);
  ev_loop_destroy(Raw_);
}

void Loop::run() { ev_run(Raw_, 0); }

void Loop::stop() { ev_break(Raw_, EVBREAK_ALL); }

void Loop::post(std::function<void()> Task) {
  Posted_.push_back(std::move(Task));
  ev_async_send(Raw_, &Async_);
}

void Loop::onAsync(struct ev_loop *, ev_async *Watcher, int) {
  static_cast<Loop *>(Watcher->data)->runPosted();
}

void Loop::runPosted() {
  std::deque<std::function<void()>> Tasks;
  Tasks.swap(Posted_);
  for (auto &Task : Tasks)
    Task();
}

Timer::Timer(Loop &Owner, std::function<void()> Callback)
    : Owner_(Owner), Callback_(std::move(Callback)) {
  ev_timer_init(&Watcher_, onTimer, 0., 0.);
  // After a pause of the process, what has arrived is read before a timer tells
  // that it has not.
  ev_set_priority(&Watcher_, EV_MINPRI);
  Watcher_.data = this;
}

void Timer::start(base::Duration Delay) {
  stop();
  // libev counts from the time the loop last woke, which may be long ago.
  ev_now_update(Owner_.raw());
  ev_timer_set(&Watcher_, std::max(0., seconds(Delay)), 0.);
  ev_timer_start(Owner_.raw(), &Watcher_);
}

void Timer::startRepeating(base::Duration Interval) {
  stop();
  ev_now_update(Owner_.raw());
  ev_timer_set(&Watcher_, seconds(Interval), seconds(Interval));
  ev_timer_start(Owner_.raw(), &Watcher_);
}

void Timer::stop() { ev_timer_stop(Owner_.raw(), &Watcher_); }

void Timer::onTimer(struct ev_loop *, ev_timer *Watcher, int) {
  static_cast<Timer *>(Watcher->data)->Callback_();
}

FdWatcher::FdWatcher(Loop &Owner, Callback OnReady)
    : Owner_(Owner), OnReady_(std::move(OnReady)) {
  ev_io_init(&Watcher_, onIo, -1, 0);
  Watcher_.data = this;
}

void FdWatcher::start(int Fd, Interest Wanted) {
  if (ev_is_active(&Watcher_) && Watcher_.fd == Fd && Wanted_ == Wanted)
    return;
  stop();
  Wanted_ = Wanted;
  if (Wanted == Interest::None)
    return;
  ev_io_set(&Watcher_, Fd, eventsOf(Wanted));
  ev_io_start(Owner_.raw(), &Watcher_);
}

void FdWatcher::stop() {
  if (ev_is_active(&Watcher_))
    ev_io_stop(Owner_.raw(), &Watcher_);
  Wanted_ = Interest::None;
}

void FdWatcher::onIo(struct ev_loop *, ev_io *Watcher, int Events) {
  auto *Self = static_cast<FdWatcher *>(Watcher->data);
  Self->OnReady_((Events & EV_READ) != 0, (Events & EV_WRITE) != 0);
}

TurnWatcher::TurnWatcher(Loop &Owner, std::function<void()> Callback)
    : Owner_(Owner), Callback_(std::move(Callback)) {
  ev_check_init(&Watcher_, onTurn);
  Watcher_.data = this;
  ev_set_priority(&Watcher_, EV_MAXPRI);
  ev_check_start(Owner.raw(), &Watcher_);
  // Watching turns alone does not keep the loop running.
  ev_unref(Owner.raw());
}

TurnWatcher::~TurnWatcher() {
  ev_ref(Owner_.raw());
  ev_check_stop(Owner_.raw(), &Watcher_);
}

void TurnWatcher::onTurn(struct ev_loop *, ev_check *Watcher, int) {
  static_cast<TurnWatcher *>(Watcher->data)->Callback_();
}

SignalWatcher::SignalWatcher(Loop &Owner, int Signal,
                             std::function<void()> Callback)
    : Owner_(Owner), Callback_(std::move(Callback)) {
  ev_signal_init(&Watcher_, onSignal, Signal);
  Watcher_.data = this;
  ev_signal_start(Owner_.raw(), &Watcher_);
}

SignalWatcher::~SignalWatcher() { ev_signal_stop(Owner_.raw(), &Watcher_); }

void SignalWatcher::onSignal(struct ev_loop *, ev_signal *Watcher, int) {
  static_cast<SignalWatcher *>(Watcher->data)->Callback_();
}

} // namespace camphorwind::net
