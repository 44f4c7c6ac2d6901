#ifndef CAMPHORWIND_REQUEST_LINKS_H
#define CAMPHORWIND_REQUEST_LINKS_H

#include "camphorwind/base/ids.h"
#include "camphorwind/base/time.h"
#include "camphorwind/request/messages.h"

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

/// Supervises the connections of a router to one agent by heartbeats.
namespace camphorwind::request {

/// Identifies a connection of a LinkMonitor; never reused.
using ConnectionNumber = std::uint64_t;

/// Intervals and timeouts of a link.
struct LinkSettings {
  /// Interval between heartbeats on a connection.
  base::Duration HeartbeatInterval_ = std::chrono::milliseconds(500);
  /// A connection on which nothing arrives for this long is silent.
  base::Duration SilenceTimeout_ = std::chrono::milliseconds(1500);
  /// Timeout of a connection attempt.
  base::Duration DialTimeout_ = std::chrono::seconds(1);
  /// Minimum time from a connection attempt, or from a connection that failed
  /// or was closed by the peer, to the next connection attempt.
  base::Duration RedialDelay_ = std::chrono::milliseconds(250);
};

/// Opens a connection. The caller reports the result with
/// LinkMonitor::onConnected or LinkMonitor::onClosed.
struct Dial {
  ConnectionNumber Connection_ = 0;
};

/// Closes a connection. Its number is not used again.
struct CloseConnection {
  ConnectionNumber Connection_ = 0;
};

/// Sends a heartbeat on one connection.
struct SendHeartbeat {
  ConnectionNumber Connection_ = 0;
  Heartbeat Message_;
};

/// Reports the connection to use from now on; after a silence it may be the
/// connection used before. The caller must query every attempt in flight at the
/// agent.
struct UseConnection {
  ConnectionNumber Connection_ = 0;
};

/// Reports that the connection in use went silent or was closed.
struct LinkSilent {};

using LinkAction = std::variant<Dial, CloseConnection, SendHeartbeat,
                                UseConnection, LinkSilent>;

/// Keeps one responsive connection to an agent.
///
/// A connection that goes silent stays open while a second one is dialled. The
/// first of them on which a message arrives is used, the other is closed.
class LinkMonitor {
public:
  LinkMonitor(base::Incarnation Router, LinkSettings Settings)
      : Router_(std::move(Router)), Settings_(Settings) {}

  /// Opens the first connection.
  void start(base::TimePoint Now);
  /// Handles an established connection: sends a heartbeat on it.
  void onConnected(ConnectionNumber Connection, base::TimePoint Now);
  /// Handles a connection that failed or was closed by the peer.
  void onClosed(ConnectionNumber Connection, base::TimePoint Now);
  /// Handles the arrival of any message on the connection.
  void onHeard(ConnectionNumber Connection, base::TimePoint Now);
  /// Sends due heartbeats, reports silence, closes unused connections that
  /// timed out and dials again if needed.
  void onTick(base::TimePoint Now);
  /// Returns when onTick() must be called next.
  base::TimePoint nextTimer() const;

  /// Returns the connection to send on, or nothing while the link is silent.
  std::optional<ConnectionNumber> current() const;

  /// Returns the queued actions and clears the queue.
  std::vector<LinkAction> takeActions();

private:
  struct ConnectionState {
    ConnectionNumber Number_ = 0;
    bool Connected_ = false;
    base::TimePoint DialledAt_;
    base::TimePoint LastHeard_;
    base::TimePoint NextHeartbeat_;
  };

  ConnectionState *find(ConnectionNumber Number);
  const ConnectionState *find(ConnectionNumber Number) const;
  /// Returns whether a connection besides the current one is open or being
  /// opened.
  bool isDialling() const;
  void useConnection(ConnectionNumber Number);
  void dial(base::TimePoint Now);
  void closeConnection(ConnectionNumber Number);
  void removeConnection(ConnectionNumber Number);
  void closeUnresponsive(base::TimePoint Now);
  void reportSilence();
  bool isSilent(const ConnectionState &State, base::TimePoint Now) const;
  void sendHeartbeat(ConnectionState &State, base::TimePoint Now);

  base::Incarnation Router_;
  LinkSettings Settings_;
  ConnectionNumber NextNumber_ = 1;
  std::uint64_t NextSequence_ = 1;
  std::vector<ConnectionState> Connections_;
  ConnectionNumber CurrentNumber_ = 0;
  bool LinkSilent_ = true;
  base::TimePoint NextDial_;
  std::vector<LinkAction> Actions_;
};

} // namespace camphorwind::request

#endif // CAMPHORWIND_REQUEST_LINKS_H
