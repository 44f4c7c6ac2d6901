#ifndef CAMPHORWIND_MEMBERSHIP_HOST_VIEW_H
#define CAMPHORWIND_MEMBERSHIP_HOST_VIEW_H

#include "camphorwind/base/ids.h"
#include "camphorwind/base/time.h"

#include <chrono>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace camphorwind::membership {

/// How the platform's list shows a host.
enum class HostState : std::uint8_t { Live, Leaving };

/// One line of the platform's list.
struct HostEntry {
  base::HostId Host_;
  base::FailureDomainId Domain_;
  HostState State_ = HostState::Live;
};

/// What is known of the hosts from the platform's list, which lags, and from
/// their own words, which do not. Leaving sticks, whichever says it first. A
/// host that one of the two still shows is not gone.
class HostView {
public:
  /// \p Lag is the longest that the list is behind, and that a host which
  /// works goes unheard.
  explicit HostView(base::Duration Lag = std::chrono::seconds(30))
      : Lag_(Lag) {}

  /// The list was read at \p Now. A read that failed is no call.
  void listed(const std::vector<HostEntry> &Hosts, base::TimePoint Now);
  /// The host answered on a link.
  void heard(const base::HostId &Host, base::TimePoint Now);
  /// The host said that it is leaving.
  void leaving(const base::HostId &Host, base::TimePoint Now);

  /// Whether new work may go there: known, not leaving, not gone.
  bool usable(const base::HostId &Host, base::TimePoint Now) const;
  /// Whether the host was neither listed nor heard for the whole lag, while
  /// the list could be read.
  bool gone(const base::HostId &Host, base::TimePoint Now) const;
  /// Hosts that new work may go to, by id.
  std::vector<HostEntry> usableHosts(base::TimePoint Now) const;
  /// Drops hosts that are gone.
  void forgetGone(base::TimePoint Now);

private:
  struct Known {
    HostEntry Entry_;
    base::TimePoint ListedAt_{};
    base::TimePoint HeardAt_{};
  };

  Known &know(const base::HostId &Host, base::TimePoint Now);
  bool goneAt(const Known &Host, base::TimePoint Now) const;

  base::Duration Lag_;
  std::unordered_map<base::HostId, Known> Hosts_;
  /// When the list was last read; absence before then proves nothing.
  base::TimePoint LastListAt_{};
};

} // namespace camphorwind::membership

#endif // CAMPHORWIND_MEMBERSHIP_HOST_VIEW_H
