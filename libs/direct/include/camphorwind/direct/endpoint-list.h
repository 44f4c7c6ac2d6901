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

/// Which endpoints may be sent to, from the platform's list of them.
namespace camphorwind::direct {

/// An endpoint as it registered itself.
struct ListedEndpoint {
  base::EndpointId Endpoint_;
  base::PoolId Pool_;
  base::Address Address_;
  base::FailureDomainId Domain_;
  std::uint32_t Slots_ = 1;
  /// Takes no new requests, and ends soon.
  bool Draining_ = false;
  /// Tells starts of an endpoint apart that keeps its id; empty if unknown.
  std::string StartId_;

  friend bool operator==(const ListedEndpoint &,
                         const ListedEndpoint &) = default;
};

/// Why an endpoint became unusable.
enum class DepartureReason {
  Draining,
  Unlisted,
  /// It started again, so what was known of it no longer holds.
  Restarted,
};

/// Returns the name used in logs, such as "draining".
std::string_view toString(DepartureReason Reason);

/// A change of the usable endpoints.
struct EndpointChange {
  ListedEndpoint Endpoint_;
  /// Unset for one that became usable.
  std::optional<DepartureReason> DepartureReason_;
};

/// Follows the platform's list. Registrations that lapsed while the list could
/// not be written are back soon after its return, so an entry that is missing
/// then counts as gone only after a grace time.
class EndpointList {
public:
  /// From the platform: entries are back within about two seconds.
  static constexpr std::chrono::milliseconds ReregistrationGrace{2000};

  /// An entry was written.
  void put(const ListedEndpoint &Entry, base::TimePoint Now);
  /// An entry is missing, or can't be read.
  void remove(const base::EndpointId &Endpoint, base::TimePoint Now);
  /// The whole list was read.
  void replace(const std::vector<ListedEndpoint> &Entries, base::TimePoint Now);
  /// The list can, or can't, be read.
  void setReachable(bool Reachable, base::TimePoint Now);
  /// Drops entries whose grace time is over; call every 100 ms or so.
  void tick(base::TimePoint Now);

  /// Returns what changed since the last call.
  std::vector<EndpointChange> takeChanges();
  /// Returns a usable endpoint, or null.
  const ListedEndpoint *find(const base::EndpointId &Endpoint) const;
  std::size_t size() const { return Usable_.size(); }
  /// Whether the list was read at least once.
  bool loaded() const { return Loaded_; }

private:
  void markUnusable(const base::EndpointId &Endpoint, DepartureReason Reason);

  std::map<base::EndpointId, ListedEndpoint> Usable_;
  /// Missing entries that still count, until these moments.
  std::map<base::EndpointId, base::TimePoint> MissingUntil_;
  std::vector<EndpointChange> Changes_;
  bool Loaded_ = false;
  bool Reachable_ = true;
  std::optional<base::TimePoint> ReachableAgainAt_;
};

} // namespace camphorwind::direct

#endif // CAMPHORWIND_DIRECT_ENDPOINT_LIST_H
