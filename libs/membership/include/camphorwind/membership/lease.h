#ifndef CAMPHORWIND_MEMBERSHIP_LEASE_H
#define CAMPHORWIND_MEMBERSHIP_LEASE_H

#include "camphorwind/base/ids.h"
#include "camphorwind/base/result.h"
#include "camphorwind/base/table.h"
#include "camphorwind/base/time.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// Who is there and who may act: leases, the host list and subsets.
namespace camphorwind::membership {

/// Grows by one whenever a lease changes hands, never otherwise. Whoever acts
/// under a lease sends it along; a receiver refuses a lower one.
using FencingNumber = std::uint64_t;

/// What a lease needs to know.
struct LeaseOptions {
  /// Key of the lease's row in the table.
  std::string Key_;
  base::Incarnation Holder_;
  /// A lease not renewed for this long may be taken over.
  std::chrono::milliseconds Duration_{10000};
  std::chrono::milliseconds RenewEvery_{3000};
  /// Allowance for clocks that run at different speeds: the holder stops this
  /// much before the duration is over.
  std::chrono::milliseconds Margin_{1000};
};

/// Which option has no usable value.
enum class LeaseOptionError : std::uint8_t { Key, Holder, Duration, Renewal };

/// Read this row and hand the result to Lease::readDone().
struct ReadRow {
  std::string Key_;
};

/// What the driver has to do: at most one is under way at any time.
using LeaseAction = std::variant<ReadRow, base::Transaction>;

/// How a lease stands for its would-be holder.
enum class LeaseState : std::uint8_t {
  Waiting,  ///< Somebody else holds it, or the table has not answered yet.
  Held,     ///< Held, until it lapses or is released.
  Released, ///< Given back; never asked for again.
};

/// One process's view of one lease. The row changes only by transactions on
/// its version. A holder counts its lease from the moment it *sent* the last
/// renewal that took effect; a taker waits until it has seen the row unchanged
/// for the whole duration on its own clock. So no two clocks are compared.
/// A holder that was paused may act after it lapsed; the fencing number that
/// it sends along is then refused.
class Lease {
public:
  static base::Result<Lease, LeaseOptionError> create(LeaseOptions Options);

  /// Returns the next action, if one is due and none is under way.
  std::optional<LeaseAction> tick(base::TimePoint Now);
  void readDone(const base::ReadResult &Result, base::TimePoint Now);
  void transactionDone(const base::TransactionResult &Result,
                       base::TimePoint Now);
  /// Gives the lease back as soon as the table allows; it is not held from
  /// this moment on.
  void release();

  /// Whether work may start under the lease at \p Now.
  bool heldAt(base::TimePoint Now) const;
  /// The number to send along; present only while held at \p Now.
  std::optional<FencingNumber> fencingAt(base::TimePoint Now) const;
  LeaseState state(base::TimePoint Now) const;
  /// The holder named by the row as last seen; empty if there is none.
  const base::Incarnation &lastHolder() const { return Seen_.Holder_; }

private:
  struct RowView {
    base::RowVersion Version_ = 0;
    base::Incarnation Holder_;
    FencingNumber Fencing_ = 0;
    /// The holder's own count of its writes.
    std::uint64_t Write_ = 0;
  };
  enum class Pending : std::uint8_t { None, Read, Renew, Take, Release };

  explicit Lease(LeaseOptions Options);
  LeaseAction startRead();
  LeaseAction startWrite(Pending Kind, FencingNumber Fencing,
                         base::TimePoint Now);
  void see(const base::Row &Row, base::TimePoint Now);
  void lose();

  LeaseOptions Options_;
  RowView Seen_;
  /// When the row was first seen at its present version.
  base::TimePoint SeenAt_{};
  bool Known_ = false;
  bool MustRead_ = true;
  bool Releasing_ = false;
  bool Done_ = false;
  Pending Pending_ = Pending::None;
  base::TimePoint SentAt_{};
  base::TimePoint NextAt_{};
  FencingNumber SentFencing_ = 0;
  std::uint64_t Writes_ = 0;
  std::optional<base::TimePoint> HeldUntil_;
  FencingNumber Fencing_ = 0;
};

} // namespace camphorwind::membership

#endif // CAMPHORWIND_MEMBERSHIP_LEASE_H
