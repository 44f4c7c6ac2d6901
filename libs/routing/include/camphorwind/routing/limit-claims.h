#ifndef CAMPHORWIND_ROUTING_LIMIT_CLAIMS_H
#define CAMPHORWIND_ROUTING_LIMIT_CLAIMS_H

#include "camphorwind/base/time.h"
#include "camphorwind/routing/request-limits.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace camphorwind::routing {

/// Which routers want to send to endpoints with request limits.
///
/// Each router publishes its claims in a table that all of them read. A claim
/// counts for its own router only once every other router has read it, or is
/// cut off from the table and uses no claim: so that two routers that begin to
/// claim at once do not both take what is left. No call does I/O.
class LimitClaims {
public:
  /// Age of the last read from which nothing in it counts.
  static constexpr std::chrono::milliseconds MaxReadAge{2000};
  /// Time from the first read with an own claim until it counts. Longer than
  /// MaxReadAge, as reads take time.
  static constexpr std::chrono::milliseconds EstablishTime{2500};
  /// Most claims that one router publishes.
  static constexpr std::size_t MaxClaims = 32;

  /// Returns the text in which a router publishes its claims, which are names
  /// without spaces.
  static std::string encode(const std::vector<std::string> &Claims);

  /// Takes over the texts of all routers, by the router's name. \p Self is the
  /// name of this one.
  void read(const std::map<std::string, std::string> &Texts,
            const std::string &Self, base::TimePoint Now);
  /// Returns the place of this router among those that claim \p Claim, or
  /// nothing while its own claim does not count.
  std::optional<FleetPlace> place(const std::string &Claim,
                                  base::TimePoint Now) const;

private:
  std::string Self_;
  std::optional<base::TimePoint> ReadAt_;
  /// Routers by claim, in ascending order.
  std::map<std::string, std::vector<std::string>> Claimants_;
  /// When each own claim was first read, in reads without a gap.
  std::map<std::string, base::TimePoint> OwnSince_;
};

} // namespace camphorwind::routing

#endif // CAMPHORWIND_ROUTING_LIMIT_CLAIMS_H
