#ifndef CAMPHORWIND_REQUEST_LINKS_H
#define CAMPHORWIND_REQUEST_LINKS_H

#include "camphorwind/base/ids.h"
#include "camphorwind/base/time.h"
#include "camphorwind/request/messages.h"

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

/// Heartbeats of a router towards one agent.
namespace camphorwind::request {

/// Names one connection of a router; never used twice.
using ConnectionNumber = std::uint64_t;

/// Intervals of a link.
struct LinkSettings {
  base::Duration HeartbeatInterval_ = std::chrono::milliseconds(500);
  /// A connection that answers nothing for this long is silent.
  base::Duration SilenceTimeout_ = std::chrono::milliseconds(1500);
  /// A connection attempt that takes longer is given up.
  base::Duration DialTimeout_ = std::chrono::seconds(1);
  /// Pause between failed connection attempts.
  base::Duration RedialDelay_ = std::chrono::milliseconds(250);
};

/// Opens a connection; answered by onConnected or onClosed.
struct Dial {
  ConnectionNumber Connection_ = 0;
};

/// Closes a connection for good.
struct CloseConnection {
  ConnectionNumber Connection_ = 0;
};

/// Sends a heartbeat on one connection.
struct SendHeartbeat {
  ConnectionNumber Connection_ = 0;
  Heartbeat Message_;
};

/// The connection to use has changed: ask for every attempt in flight there.
struct UseConnection {
  ConnectionNumber Connection_ = 0;
};

/// No connection answers.
struct LinkSilent {};

using LinkAction = std::variant<Dial, CloseConnection, SendHeartbeat,
                                UseConnection, LinkSilent>;

/// Keeps one answering connection to one agent.
///
/// A connection that goes silent stays open while a second one is dialled
/// beside it; the first one to answer a heartbeat is used and the other closed.
class LinkMonitor {
public:
  LinkMonitor(base::Incarnation Router, LinkSettings Settings)
      : Router_(std::move(Router)), Settings_(Settings) {}

  void start(base::TimePoint Now);
  void onConnected(ConnectionNumber Connection, base::TimePoint Now);
  void onClosed(ConnectionNumber Connection, base::TimePoint Now);
  /// Any message arrived on the connection.
  void onHeard(ConnectionNumber Connection, base::TimePoint Now);
  void onTick(base::TimePoint Now);
  base::TimePoint nextTimer() const;

  /// Returns the connection to send on, if one answers.
  std::optional<ConnectionNumber> current() const;

  std::vector<LinkAction> takeActions();

private:
  struct OpenConnection {
    ConnectionNumber Number_ = 0;
    bool Connected_ = false;
    base::TimePoint DialledAt_;
    base::TimePoint LastHeard_;
    base::TimePoint NextBeat_;
  };

  OpenConnection *find(ConnectionNumber Number);
  const OpenConnection *find(ConnectionNumber Number) const;
  bool dialling() const;
  void use(ConnectionNumber Number);
  void dial(base::TimePoint Now);
  void hangup(ConnectionNumber Number);
  void forget(ConnectionNumber Number);
  void dropUnanswered(base::TimePoint Now);
  void reportSilence();
  bool silent(const OpenConnection &Open, base::TimePoint Now) const;
  void beat(OpenConnection &Open, base::TimePoint Now);

  base::Incarnation Router_;
  LinkSettings Settings_;
  ConnectionNumber NextNumber_ = 1;
  std::uint64_t NextSequence_ = 1;
  std::vector<OpenConnection> Open_;
  ConnectionNumber Current_ = 0;
  bool Silent_ = true;
  base::TimePoint NextDial_;
  std::vector<LinkAction> Actions_;
};

} // namespace camphorwind::request

#endif // CAMPHORWIND_REQUEST_LINKS_H
