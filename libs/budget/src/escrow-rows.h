#ifndef CAMPHORWIND_BUDGET_ESCROW_ROWS_H
#define CAMPHORWIND_BUDGET_ESCROW_ROWS_H

#include "camphorwind/base/ids.h"
#include "camphorwind/base/tokens.h"
#include "camphorwind/budget/escrow.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace camphorwind::budget::detail {

/// What a router has spent at a moment of the table's clock, and how much more
/// it may spend after it: a burst and, once a delay is over, a rate and a
/// spread that grows with the root of the time, as the sum of independent
/// requests varies. Never more than was granted.
struct Checkpoint {
  std::int64_t Used_ = 0;
  std::int64_t Burst_ = 0;
  std::int64_t RatePerSecond_ = 0;
  /// Tokens for the first second, twice as many for the first four.
  std::int64_t Spread_ = 0;
  /// Time from `At_` until rate and spread count.
  std::chrono::milliseconds Delay_{0};
  /// Not after the moment at which `Used_` was true.
  std::chrono::milliseconds At_{0};

  /// Most that can have been spent by \p TableTime.
  std::int64_t ceiling(std::chrono::milliseconds TableTime) const;
  /// Whether what was spent is also the most that ever will be.
  bool isFinal() const {
    return Burst_ == 0 && RatePerSecond_ == 0 && Spread_ == 0;
  }

  friend bool operator==(const Checkpoint &, const Checkpoint &) = default;
};

/// One router's slice of one account's budget.
struct SliceRow {
  std::string Incarnation_;
  std::int64_t Granted_ = 0;
  Checkpoint Checkpoint_;
  /// How fast the router spends, for the others to judge their own shares by.
  std::int64_t TokensPerSecond_ = 0;

  /// Granted tokens that the ceiling rules out to be spent by \p TableTime.
  std::int64_t unspent(std::chrono::milliseconds TableTime) const;
};

std::string sliceKey(const base::AccountId &Account,
                     const base::RouterId &Router);
std::string totalKey(const base::AccountId &Account);
std::string routerKey(const base::RouterId &Router);

/// Account and router in a slice's key.
struct SliceName {
  base::AccountId Account_;
  base::RouterId Router_;
};
std::optional<SliceName> sliceNameFromKey(std::string_view Key);

std::string encodeSlice(const SliceRow &Value);
std::optional<SliceRow> decodeSlice(std::string_view Text);
std::string encodeTotal(std::int64_t Granted);
std::optional<std::int64_t> decodeTotal(std::string_view Text);

/// A router's sign of life.
struct Presence {
  std::chrono::milliseconds At_{0};
  /// Where other routers reach it; empty for nowhere.
  std::string Address_;
};
std::string encodePresence(const Presence &Value);
std::optional<Presence> decodePresence(std::string_view Text);

} // namespace camphorwind::budget::detail

#endif // CAMPHORWIND_BUDGET_ESCROW_ROWS_H
