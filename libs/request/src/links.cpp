#include "camphorwind/request/links.h"

#include <algorithm>
#include <utility>

namespace camphorwind::request {

void LinkMonitor::start(base::TimePoint Now) { dial(Now); }

void LinkMonitor::onConnected(ConnectionNumber Connection,
                              base::TimePoint Now) {
  auto *State = find(Connection);
  if (State == nullptr)
    return;
  State->Connected_ = true;
  State->LastHeard_ = Now;
  sendHeartbeat(*State, Now);
}

void LinkMonitor::onClosed(ConnectionNumber Connection, base::TimePoint Now) {
  if (find(Connection) == nullptr)
    return;
  removeConnection(Connection);
  NextDial_ = Now + Settings_.RedialDelay_;
  if (Connection == CurrentNumber_)
    reportSilence();
}

void LinkMonitor::onHeard(ConnectionNumber Connection, base::TimePoint Now) {
  auto *State = find(Connection);
  if (State == nullptr)
    return;
  State->LastHeard_ = Now;
  if (LinkSilent_)
    useConnection(Connection);
}

void LinkMonitor::onTick(base::TimePoint Now) {
  closeUnresponsive(Now);
  for (auto &State : Connections_)
    if (State.Connected_ && State.NextHeartbeat_ <= Now)
      sendHeartbeat(State, Now);
  const auto *InUse = find(CurrentNumber_);
  if (InUse != nullptr && !isSilent(*InUse, Now))
    return;
  reportSilence();
  if (!isDialling() && NextDial_ <= Now)
    dial(Now);
}

base::TimePoint LinkMonitor::nextTimer() const {
  base::TimePoint Next = base::TimePoint::max();
  for (const auto &State : Connections_) {
    if (!State.Connected_) {
      Next = std::min(Next, State.DialledAt_ + Settings_.DialTimeout_);
      continue;
    }
    Next = std::min(Next, State.NextHeartbeat_);
    if (State.Number_ != CurrentNumber_ || !LinkSilent_)
      Next = std::min(Next, State.LastHeard_ + Settings_.SilenceTimeout_);
  }
  if (LinkSilent_ && !isDialling())
    Next = std::min(Next, NextDial_);
  return Next;
}

std::optional<ConnectionNumber> LinkMonitor::current() const {
  if (LinkSilent_ || find(CurrentNumber_) == nullptr)
    return std::nullopt;
  return CurrentNumber_;
}

std::vector<LinkAction> LinkMonitor::takeActions() {
  return std::exchange(Actions_, {});
}

const LinkMonitor::ConnectionState *
LinkMonitor::find(ConnectionNumber Number) const {
  auto Found = std::find_if(
      Connections_.begin(), Connections_.end(),
      [&](const ConnectionState &State) { return State.Number_ == Number; });
  return Found == Connections_.end() ? nullptr : &*Found;
}

LinkMonitor::ConnectionState *LinkMonitor::find(ConnectionNumber Number) {
  return const_cast<ConnectionState *>(std::as_const(*this).find(Number));
}

bool LinkMonitor::isDialling() const {
  return std::any_of(Connections_.begin(), Connections_.end(),
                     [&](const ConnectionState &State) {
                       return State.Number_ != CurrentNumber_;
                     });
}

void LinkMonitor::useConnection(ConnectionNumber Number) {
  std::vector<ConnectionNumber> Others;
  for (const ConnectionState &State : Connections_)
    if (State.Number_ != Number)
      Others.push_back(State.Number_);
  for (ConnectionNumber Other : Others)
    closeConnection(Other);
  CurrentNumber_ = Number;
  LinkSilent_ = false;
  Actions_.emplace_back(UseConnection{Number});
}

void LinkMonitor::dial(base::TimePoint Now) {
  ConnectionState Added;
  Added.Number_ = NextNumber_++;
  Added.DialledAt_ = Now;
  Connections_.push_back(Added);
  NextDial_ = Now + Settings_.RedialDelay_;
  Actions_.emplace_back(Dial{Added.Number_});
}

void LinkMonitor::closeConnection(ConnectionNumber Number) {
  removeConnection(Number);
  Actions_.emplace_back(CloseConnection{Number});
}

void LinkMonitor::removeConnection(ConnectionNumber Number) {
  std::erase_if(Connections_, [&](const ConnectionState &State) {
    return State.Number_ == Number;
  });
}

void LinkMonitor::closeUnresponsive(base::TimePoint Now) {
  std::vector<ConnectionNumber> ToClose;
  for (const ConnectionState &State : Connections_) {
    bool DialTimedOut =
        !State.Connected_ && Now - State.DialledAt_ >= Settings_.DialTimeout_;
    bool Unresponsive = State.Connected_ && State.Number_ != CurrentNumber_ &&
                        isSilent(State, Now);
    if (DialTimedOut || Unresponsive)
      ToClose.push_back(State.Number_);
  }
  for (ConnectionNumber Number : ToClose)
    closeConnection(Number);
}

void LinkMonitor::reportSilence() {
  if (LinkSilent_)
    return;
  LinkSilent_ = true;
  Actions_.emplace_back(LinkSilent{});
}

bool LinkMonitor::isSilent(const ConnectionState &State,
                           base::TimePoint Now) const {
  return Now - State.LastHeard_ >= Settings_.SilenceTimeout_;
}

void LinkMonitor::sendHeartbeat(ConnectionState &State, base::TimePoint Now) {
  State.NextHeartbeat_ = Now + Settings_.HeartbeatInterval_;
  Actions_.emplace_back(
      SendHeartbeat{State.Number_, Heartbeat{Router_, NextSequence_++}});
}

} // namespace camphorwind::request
