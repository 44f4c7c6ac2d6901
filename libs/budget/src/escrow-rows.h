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

/// Tokens that a router has used by a given table time, and a ceiling on what
/// it may use later: a burst at once and, after a delay, a rate plus a spread.
/// The spread grows with the square root of time, like the standard deviation
/// of a sum of independent requests. The tokens granted to the router limit its
/// use as well.
struct Checkpoint {
  /// Tokens spent or reserved.
  std::int64_t Used_ = 0;
  /// Tokens that may be used at once.
  std::int64_t Burst_ = 0;
  /// Tokens per second that may be used after the delay.
  std::int64_t RatePerSecond_ = 0;
  /// Tokens added to the ceiling one second after the delay; after t seconds it
  /// is sqrt(t) times as many.
  std::int64_t Spread_ = 0;
  /// Time from `At_` until rate and spread apply.
  std::chrono::milliseconds Delay_{0};
  /// Table time of the checkpoint. No later than the time at which `Used_` was
  /// determined.
  std::chrono::milliseconds At_{0};

  /// Maximum number of tokens used by \p TableTime.
  std::int64_t ceiling(std::chrono::milliseconds TableTime) const;
  /// Whether the ceiling allows no use beyond `Used_` at any time.
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
  /// The router's demand: tokens spent per second, plus a part for refused
  /// requests. Other routers compute their shares from it.
  std::int64_t TokensPerSecond_ = 0;
  /// Tokens among `Checkpoint_.Used_` that were only reserved.
  std::int64_t Reserved_ = 0;
  /// Tokens among `Checkpoint_.Used_` that count as spent only because a
  /// previous process might have spent them.
  std::int64_t Stranded_ = 0;
  /// Bound of a typical request of the router's callers; 0 if it had none.
  std::int64_t TypicalBound_ = 0;
  /// Tokens that the router's callers lack and that it has yet to draw; 0 if it
  /// lacks none.
  std::int64_t Wanted_ = 0;

  /// Granted tokens above the ceiling at \p TableTime, which are certainly
  /// unspent.
  std::int64_t unspent(std::chrono::milliseconds TableTime) const;
};

std::string sliceKey(const base::AccountId &Account,
                     const base::RouterId &Router);
std::string totalKey(const base::AccountId &Account);
std::string routerKey(const base::RouterId &Router);

/// Account and router named by a slice row's key.
struct SliceName {
  base::AccountId Account_;
  base::RouterId Router_;
};
/// Returns nothing if \p Key is not the key of a slice row.
std::optional<SliceName> sliceNameFromKey(std::string_view Key);

std::string encodeSlice(const SliceRow &Value);
std::optional<SliceRow> decodeSlice(std::string_view Text);
std::string encodeTotal(std::int64_t Granted);
std::optional<std::int64_t> decodeTotal(std::string_view Text);

/// Heartbeat row of a router.
struct Presence {
  /// Table time of the heartbeat.
  std::chrono::milliseconds At_{0};
  /// Address for other routers; empty if they cannot reach this one.
  std::string Address_;
  /// Address for requests for loans; empty if the router lends nothing.
  std::string LoanAddress_;
  /// See Escrow::setNote().
  std::string Note_;
};
std::string encodePresence(const Presence &Value);
std::optional<Presence> decodePresence(std::string_view Text);

} // namespace camphorwind::budget::detail

#endif // CAMPHORWIND_BUDGET_ESCROW_ROWS_H
