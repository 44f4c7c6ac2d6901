#ifndef CAMPHORWIND_BUDGET_SRC_ROSTER_H
#define CAMPHORWIND_BUDGET_SRC_ROSTER_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

/// Which routers have written their slices again after the table was restored
/// from a copy.
namespace camphorwind::budget::detail {

/// What is known about a router's slices in a restored table.
enum class RosterState {
  /// The router ran before the restore and has not written its slices again.
  Expected,
  /// The rows hold what the router holds.
  Restated,
  /// The process that knew the slices has ended, or does not answer. It may
  /// have drawn and spent any tokens that were undrawn in the copy.
  Lost,
};

/// The routers that ran when the table was restored, by name. One row holds the
/// roster of an era; each change is conditional on the row's version.
class Roster {
public:
  /// Adds a router as expected unless it is listed.
  void expect(const std::string &Router) {
    States_.try_emplace(Router, RosterState::Expected);
  }
  void set(const std::string &Router, RosterState State) {
    States_.insert_or_assign(Router, State);
  }
  /// Gives up all routers that are still expected.
  void loseExpected();

  std::optional<RosterState> find(const std::string &Router) const;
  bool contains(const std::string &Router) const {
    return States_.contains(Router);
  }
  bool has(RosterState State) const;
  const std::map<std::string, RosterState> &states() const { return States_; }

  friend bool operator==(const Roster &, const Roster &) = default;

private:
  std::map<std::string, RosterState> States_;
};

/// Entry that stands for routers lost after an earlier restore. No router has
/// this name.
inline constexpr std::string_view LostEarlier = "(lost earlier)";

std::string encodeRoster(const Roster &Value);
/// Entries with an unknown state count as expected, which is the most careful
/// reading. Fails if \p Text is no JSON object.
std::optional<Roster> decodeRoster(std::string_view Text);

/// A row key without its era. Rows written before a restore have an older era
/// than the table and do not count; the era in the key keeps transactions from
/// before the restore from changing rows written after it.
struct EraKey {
  std::uint64_t Era_ = 0;
  std::string Key_;
};

/// Returns \p Key for the given era; keys of era 0 are unchanged.
std::string withEra(std::uint64_t Era, std::string_view Key);
EraKey splitEra(std::string_view Key);

/// Key of the roster, without its era. Sorts before the keys of slices and
/// totals, so that a read in several pages finds the roster no newer than them.
inline constexpr std::string_view RosterKey = "roster";

} // namespace camphorwind::budget::detail

#endif // CAMPHORWIND_BUDGET_SRC_ROSTER_H
