#include "camphorwind/request/links.h"

#include <algorithm>
#include <utility>

namespace camphorwind::request {

void LinkMonitor::start(base::TimePoint Now) { dial(Now); }

void LinkMonitor::onConnected(ConnectionNumber Connection,
                              base::TimePoint Now) {
  auto *Open = find(Connection);
  if (Open == nullptr)
    return;
  Open->Connected_ = true;
  Open->LastHeard_ = Now;
  beat(*Open, Now);
}

void LinkMonitor::onClosed(ConnectionNumber Connection, base::TimePoint Now) {
  if (find(Connection) == nullptr)
    return;
  forget(Connection);
  NextDial_ = Now + Settings_.RedialDelay_;
  if (Connection == Current_)
    reportSilence();
}

void LinkMonitor::onHeard(ConnectionNumber Connection, base::TimePoint Now) {
  auto *Open = find(Connection);
  if (Open == nullptr)
    return;
  Open->LastHeard_ = Now;
  if (Silent_)
    use(Connection);
}

void LinkMonitor::onTick(base::TimePoint Now) {
  dropUnanswered(Now);
  for (auto &Open : Open_)
    if (Open.Connected_ && Open.NextBeat_ <= Now)
      beat(Open, Now);
  const auto *InUse = find(Current_);
  if (InUse != nullptr && !silent(*InUse, Now))
    return;
  reportSilence();
  if (!dialling() && NextDial_ <= Now)
    dial(Now);
}

base::TimePoint LinkMonitor::nextTimer() const {
  base::TimePoint Next = base::TimePoint::max();
  for (const auto &Open : Open_) {
    if (!Open.Connected_) {
      Next = std::min(Next, Open.DialledAt_ + Settings_.DialTimeout_);
      continue;
    }
    Next = std::min(Next, Open.NextBeat_);
    if (Open.Number_ != Current_ || !Silent_)
      Next = std::min(Next, Open.LastHeard_ + Settings_.SilenceTimeout_);
  }
  if (Silent_ && !dialling())
    Next = std::min(Next, NextDial_);
  return Next;
}

std::optional<ConnectionNumber> LinkMonitor::current() const {
  if (Silent_ || find(Current_) == nullptr)
    return std::nullopt;
  return Current_;
}

std::vector<LinkAction> LinkMonitor::takeActions() {
  return std::exchange(Actions_, {});
}

const LinkMonitor::OpenConnection *
LinkMonitor::find(ConnectionNumber Number) const {
  auto Found =
      std::find_if(Open_.begin(), Open_.end(), [&](const OpenConnection &Open) {
        return Open.Number_ == Number;
      });
  return Found == Open_.end() ? nullptr : &*Found;
}

LinkMonitor::OpenConnection *LinkMonitor::find(ConnectionNumber Number) {
  return const_cast<OpenConnection *>(std::as_const(*this).find(Number));
}

bool LinkMonitor::dialling() const {
  return std::any_of(
      Open_.begin(), Open_.end(),
      [&](const OpenConnection &Open) { return Open.Number_ != Current_; });
}

void LinkMonitor::use(ConnectionNumber Number) {
  std::vector<ConnectionNumber> Others;
  for (const OpenConnection &Open : Open_)
    if (Open.Number_ != Number)
      Others.push_back(Open.Number_);
  for (ConnectionNumber Other : Others)
    hangup(Other);
  Current_ = Number;
  Silent_ = false;
  Actions_.emplace_back(UseConnection{Number});
}

void LinkMonitor::dial(base::TimePoint Now) {
  OpenConnection Added;
  Added.Number_ = NextNumber_++;
  Added.DialledAt_ = Now;
  Open_.push_back(Added);
  NextDial_ = Now + Settings_.RedialDelay_;
  Actions_.emplace_back(Dial{Added.Number_});
}

void LinkMonitor::hangup(ConnectionNumber Number) {
  forget(Number);
  Actions_.emplace_back(CloseConnection{Number});
}

void LinkMonitor::forget(ConnectionNumber Number) {
  std::erase_if(Open_, [&](const OpenConnection &Open) {
    return Open.Number_ == Number;
  });
}

void LinkMonitor::dropUnanswered(base::TimePoint Now) {
  std::vector<ConnectionNumber> Unanswered;
  for (const OpenConnection &Open : Open_) {
    bool DialLate =
        !Open.Connected_ && Now - Open.DialledAt_ >= Settings_.DialTimeout_;
    bool Mute =
        Open.Connected_ && Open.Number_ != Current_ && silent(Open, Now);
    if (DialLate || Mute)
      Unanswered.push_back(Open.Number_);
  }
  for (ConnectionNumber Number : Unanswered)
    hangup(Number);
}

void LinkMonitor::reportSilence() {
  if (Silent_)
    return;
  Silent_ = true;
  Actions_.emplace_back(LinkSilent{});
}

bool LinkMonitor::silent(const OpenConnection &Open,
                         base::TimePoint Now) const {
  return Now - Open.LastHeard_ >= Settings_.SilenceTimeout_;
}

void LinkMonitor::beat(OpenConnection &Open, base::TimePoint Now) {
  Open.NextBeat_ = Now + Settings_.HeartbeatInterval_;
  Actions_.emplace_back(
      SendHeartbeat{Open.Number_, Heartbeat{Router_, NextSequence_++}});
}

} // namespace camphorwind::request
