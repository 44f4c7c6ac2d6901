#ifndef CAMPHORWIND_DIRECT_ENDPOINT_LIST_H
#define CAMPHORWIND_DIRECT_ENDPOINT_LIST_H

#include "camphorwind/base/address.h"
#include "camphorwind/base/ids.h"
#include "camphorwind/base/time.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// Tracks which endpoints may receive requests, based on the platform's
/// endpoint list.
namespace camphorwind::direct {

/// An entry of the endpoint list, as registered by the endpoint.
struct ListedEndpoint {
  base::EndpointId Endpoint_;
  base::PoolId Pool_;
  base::Address Address_;
  base::FailureDomainId Domain_;
  std::uint32_t Slots_ = 1;
  /// The endpoint accepts no new requests and is about to shut down.
  bool Draining_ = false;
  /// Identifies one start of an endpoint, since the endpoint id survives
  /// restarts; empty if unknown.
  std::string StartId_;
  /// Version of the endpoint's software. What two versions write for one
  /// request does not fit together.
  std::string SoftwareVersion_;
  /// How much longer the endpoint takes few requests after its start; unset if
  /// it does not say.
  std::optional<std::chrono::milliseconds> ColdLeft_;

  friend bool operator==(const ListedEndpoint &,
                         const ListedEndpoint &) = default;
};

/// Why an endpoint became unusable.
enum class DepartureReason {
  Draining,
  /// It stated in a response that it is about to shut down.
  Leaving,
  /// Its entry is missing from the list.
  Unlisted,
  /// It restarted or moved to another address or pool, so that its known
  /// state is out of date.
  Restarted,
};

/// Returns the name used in logs, such as "draining".
std::string_view toString(DepartureReason Reason);

/// An endpoint that became usable, was updated or became unusable.
struct EndpointChange {
  ListedEndpoint Endpoint_;
  /// Whether the endpoint was usable before.
  bool WasUsable_ = false;
  /// Set only if the endpoint became unusable.
  std::optional<DepartureReason> DepartureReason_;
};

/// The usable endpoints of the platform's list.
///
/// Registrations expire while the list can't be written, and are renewed soon
/// after it is reachable again. An entry that is found missing right after such
/// an outage therefore stays usable for a grace period.
class EndpointList {
public:
  /// Grace period, counted from when the list is reachable again; the platform
  /// renews expired registrations within about 2 s.
  static constexpr std::chrono::milliseconds ReregistrationGrace{2000};

  /// Adds or updates an entry; removes it if it is draining.
  void put(const ListedEndpoint &Entry, base::TimePoint Now);
  /// Removes an entry that was deleted or can't be parsed. In the grace period
  /// after the list becomes readable again, the entry stays usable until tick()
  /// finds that period over.
  void remove(const base::EndpointId &Endpoint, base::TimePoint Now);
  /// Removes an endpoint that stated in a response that it is about to shut
  /// down. Later entries of the same start are ignored, even if they say
  /// otherwise: the list may lag behind the endpoint.
  void markLeaving(const base::EndpointId &Endpoint);
  /// Replaces all entries by a complete read of the list.
  void replace(const std::vector<ListedEndpoint> &Entries, base::TimePoint Now);
  /// Prepares for a complete read of a list that was restored from a copy some
  /// seconds old. Entries that the copy lacks stay usable for the grace period.
  /// Entries that were removed since the copy was made are ignored until they
  /// are written again.
  void markRestored(base::TimePoint Now);
  /// Sets whether the list can be read.
  void setReachable(bool Reachable, base::TimePoint Now);
  /// Removes missing entries whose grace period has ended; call about every
  /// 100 ms. Does nothing while the list is unreachable.
  void tick(base::TimePoint Now);

  /// Returns the changes since the last call, oldest first.
  std::vector<EndpointChange> takeChanges();
  /// Returns the endpoint if it is usable, otherwise null.
  const ListedEndpoint *find(const base::EndpointId &Endpoint) const;
  std::size_t size() const { return Usable_.size(); }
  const std::map<base::EndpointId, ListedEndpoint> &usable() const {
    return Usable_;
  }
  /// Whether replace() was called at least once.
  bool loaded() const { return Loaded_; }

private:
  void markUnusable(const base::EndpointId &Endpoint, DepartureReason Reason);
  /// Whether the entry was missing from the list before it was restored.
  bool wasUnlisted(const ListedEndpoint &Entry) const;
  /// Whether the endpoint has begun to shut down since the start that \p Entry
  /// is about.
  bool hasDeparted(const ListedEndpoint &Entry) const;

  std::map<base::EndpointId, ListedEndpoint> Usable_;
  /// Latest start of each endpoint that is known to be shutting down, which is
  /// final for that start. Kept after the entry is gone, because an outdated
  /// entry may appear later; a few dozen bytes for each departed endpoint.
  std::map<base::EndpointId, ListedEndpoint> Departed_;
  /// Missing entries that are still usable, with the end of the grace period.
  std::map<base::EndpointId, base::TimePoint> MissingUntil_;
  /// Latest start of each endpoint whose entry was removed; like Departed_, but
  /// the endpoint may register again.
  std::map<base::EndpointId, ListedEndpoint> Unlisted_;
  /// Whether the next complete read is that of a restored list.
  bool Restored_ = false;
  std::vector<EndpointChange> Changes_;
  bool Loaded_ = false;
  bool Reachable_ = true;
  std::optional<base::TimePoint> ReachableAgainAt_;
};

} // namespace camphorwind::direct

#endif // CAMPHORWIND_DIRECT_ENDPOINT_LIST_H
