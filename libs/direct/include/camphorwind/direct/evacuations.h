#ifndef CAMPHORWIND_DIRECT_EVACUATIONS_H
#define CAMPHORWIND_DIRECT_EVACUATIONS_H

#include "camphorwind/base/ids.h"
#include "camphorwind/base/time.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <vector>

/// Tracks which failure domains the operator has evacuated.
namespace camphorwind::direct {

/// A failure domain whose evacuation began or ended.
struct EvacuationChange {
  base::FailureDomainId Domain_;
  bool Evacuated_ = false;
};

/// The failure domains whose endpoints must get no requests.
///
/// What was read last stays in force while the operator's rows can't be read.
class Evacuations {
public:
  /// Time for which a domain stays evacuated that is missing from rows restored
  /// from a copy: the operator writes again what the copy lacks.
  static constexpr std::chrono::milliseconds RestoreGrace{5000};

  void begin(const base::FailureDomainId &Domain);
  /// Ends an evacuation. One that was never seen ends as well: it may have
  /// begun and ended between two reads.
  void end(const base::FailureDomainId &Domain);
  /// Replaces all domains by a complete read.
  void replace(const std::vector<base::FailureDomainId> &Domains,
               base::TimePoint Now);
  /// Prepares for a complete read of rows that were restored from a copy some
  /// seconds old.
  void markRestored() { Restored_ = true; }
  /// Ends evacuations whose grace period is over; call about every 100 ms.
  void tick(base::TimePoint Now);

  /// Returns the changes since the last call, oldest first.
  std::vector<EvacuationChange> takeChanges();
  bool contains(const base::FailureDomainId &Domain) const {
    return Domains_.contains(Domain);
  }
  std::vector<base::FailureDomainId> domains() const;
  std::size_t size() const { return Domains_.size(); }

private:
  /// Evacuated domains, each with the end of its grace period if the last
  /// complete read lacks it.
  std::map<base::FailureDomainId, std::optional<base::TimePoint>> Domains_;
  bool Restored_ = false;
  std::vector<EvacuationChange> Changes_;
};

} // namespace camphorwind::direct

#endif // CAMPHORWIND_DIRECT_EVACUATIONS_H
