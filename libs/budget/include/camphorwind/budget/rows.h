#ifndef CAMPHORWIND_BUDGET_ROWS_H
#define CAMPHORWIND_BUDGET_ROWS_H

#include "camphorwind/base/result.h"
#include "camphorwind/base/table.h"
#include "camphorwind/budget/tally.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// Table rows of budgets, slices and leases, stored as JSON text.
namespace camphorwind::budget {

/// Why the text of a row cannot be decoded.
enum class RowError { NotJson, MissingField, WrongType, OutOfRange };

/// Returns the name used in logs, such as "missing_field".
std::string_view toString(RowError Error);

/// Row `budget/<budget>`. `Billed_ <= Granted_ <= Prepaid_` at all times.
struct BudgetRow {
  /// All tokens ever paid for; only grows.
  base::Tokens Prepaid_;
  /// Tokens granted to slices and not returned, whether billed or still held.
  base::Tokens Granted_;
  /// Tokens billed by closed slices; an open slice counts its own in
  /// `SliceRow::Tally_`.
  base::Tokens Billed_;

  base::Tokens ungranted() const { return Prepaid_ - Granted_; }
};

/// Row `slice/<router incarnation>/<budget>`: the tokens that one router
/// incarnation holds of one budget.
struct SliceRow {
  base::BudgetId Budget_;
  base::RouterId Router_;
  base::Incarnation Incarnation_;
  /// Tokens granted less tokens returned.
  base::Tokens Granted_;
  /// Commits settled so far.
  Tally Tally_;

  /// Tokens granted and not yet billed.
  base::Tokens held() const { return Granted_ - Tally_.total(); }
};

/// One agent incarnation that a router may use as a witness, and its address.
struct WitnessEntry {
  base::Incarnation Agent_;
  base::EndpointId Endpoint_;
  /// Host the agent runs on, as the platform's host list names it.
  base::HostId Host_;
  /// Numeric address and port of the agent, `address:port`.
  std::string Address_;
  friend bool operator==(const WitnessEntry &, const WitnessEntry &) = default;
};

enum class LeaseState {
  Live,
  Revoked, ///< Permanently fences off the incarnation's transactions.
};

/// Row `lease/<router incarnation>`. Every transaction of a router requires
/// the version that the router wrote last and writes the row again.
struct LeaseRow {
  base::RouterId Router_;
  base::Incarnation Incarnation_;
  LeaseState State_ = LeaseState::Live;
  /// Number of the router's transaction that wrote the row. After a lost reply
  /// it shows which transaction took effect.
  std::uint64_t Transaction_ = 0;
  /// Every agent incarnation that may hold commits of this router.
  std::vector<WitnessEntry> Witnesses_;
};

inline constexpr std::string_view BudgetPrefix = "budget/";
inline constexpr std::string_view SlicePrefix = "slice/";
inline constexpr std::string_view LeasePrefix = "lease/";

std::string budgetKey(const base::BudgetId &Budget);
std::string leaseKey(const base::Incarnation &Router);
/// Prefix of the keys of all slices of one router incarnation.
std::string slicesPrefix(const base::Incarnation &Router);
std::string sliceKey(const base::SliceId &Slice);
/// Returns the id of the slice that \p Router holds of \p Budget; a router
/// incarnation holds at most one slice of a budget.
base::SliceId sliceId(const base::Incarnation &Router,
                      const base::BudgetId &Budget);

std::string encode(const BudgetRow &Row);
std::string encode(const SliceRow &Row);
std::string encode(const LeaseRow &Row);
base::Result<BudgetRow, RowError> decodeBudget(std::string_view Text);
base::Result<SliceRow, RowError> decodeSlice(std::string_view Text);
base::Result<LeaseRow, RowError> decodeLease(std::string_view Text);

} // namespace camphorwind::budget

#endif // CAMPHORWIND_BUDGET_ROWS_H
