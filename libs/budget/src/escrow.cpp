#include "camphorwind/budget/escrow.h"

#include "escrow-rows.h"
#include "roster.h"
#include "slice-cache.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace camphorwind::budget {

namespace {

using detail::Checkpoint;
using detail::RosterState;
using detail::SliceRow;
using std::chrono::milliseconds;

/// Maximum number of accounts in one transaction. A transaction is limited to
/// 100 entries and each account takes up to four of them.
constexpr std::size_t MaxAccountsPerTransaction = 20;
/// Fraction of all unspent tokens that the routers hold together. The remaining
/// tokens stay in the table, so that a router that gets an account's first
/// request can draw them within one transaction.
constexpr double HeldShare = 0.85;
/// A router draws when it holds less than this multiple of its target.
constexpr double RefillRatio = 0.8;
/// A router returns tokens when it holds more than this multiple of its target.
constexpr double ReturnRatio = 1.4;
/// Multiple of its target that a router keeps when it returns tokens.
constexpr double ReturnTargetRatio = 1.1;
/// Fraction of a budget reserved for urgent requests, which bring the most
/// value per token. The reserve stays in the table, where no killed router
/// strands it.
constexpr double UrgentReserveShare = 0.012;
/// Largest urgent reserve, as a fraction of the budget, when kills of routers
/// have stranded tokens.
constexpr double MaxUrgentReserveShare = 0.05;
/// Time over which the urgent reserve is spent, so that some urgent requests
/// are served throughout.
constexpr std::chrono::duration<double> UrgentSpendTime{30.0};
/// Maximum number of tokens that a router accumulates of its share of the
/// urgent reserve.
constexpr double UrgentBurstTokens = 6000;
/// Smallest draw or return worth a transaction, as a fraction of the budget,
/// divided by the number of routers: at the end of a budget, each router may
/// still hold that much.
constexpr double MinGrantChangeShare = 0.005;
/// Time for which a refused request keeps a draw wanted, and for which other
/// routers know of it from the checkpoint that says so. Covers a few turns of a
/// slow host.
constexpr milliseconds WantedTime{3000};
/// Minimum time between two routine draws or returns of one account.
constexpr milliseconds GrantInterval{1000};
/// Baseline demand credited to all routers together: the budget divided by this
/// number of seconds.
constexpr double BaselineDemandSeconds = 4000;
/// Between checkpoints a router may spend this multiple of its expected demand.
/// A higher factor refuses fewer requests while the table is unreachable; a
/// lower one strands fewer tokens if the router is killed then.
constexpr double CeilingFactor = 1.1;
/// Standard deviations of the demand of randomly arriving requests that a
/// router may spend in addition. The trade-off is that of `CeilingFactor`.
constexpr double SpreadFactor = 1.3;
/// Weight of one request in the mean request size.
constexpr double SizeWeight = 0.1;
/// From this number of routers on, an even part of a slice may be smaller than
/// one request, so that bursts and changes of grants follow the size of
/// requests.
constexpr std::size_t LargeFleet = 16;
/// Minimum burst in a large fleet, in typical requests.
constexpr double MinBurstRequests = 2;
/// Replaces MinBurstShare in a large fleet. The callers of an account use few
/// routers, and kills of all of them at once are rare.
constexpr double LargeFleetBurstShare = 0.12;
/// Replaces MinRateDrainSeconds in a large fleet. Routers without callers of an
/// account hold a part of it to lend while the table is away.
constexpr double LargeFleetDrainSeconds = 100;
/// Smallest routine draw or return in a large fleet, in typical requests. With
/// smaller ones, most transactions conflict on the rows that all routers share.
constexpr double MinGrantChangeRequests = 0.5;
/// Transactions per second with routine draws and returns, of all routers of a
/// large fleet together. The table runs transactions one after another, and
/// those of refused requests must not queue behind routine ones.
constexpr double RoutineGrantsPerSecond = 100;
/// Lower bound of the ceiling's rate: the tokens that the router holds, divided
/// by this number of seconds.
constexpr double MinRateDrainSeconds = 400;
/// Minimum burst of an account that is not scarce, as far as `MinBurstShare`
/// and the slice allow; enough for a few typical requests.
constexpr double MinBurstTokens = 6000;
/// Limit of the minimum bursts (`MinBurstTokens`) of all routers together, as a
/// fraction of all unspent tokens.
constexpr double MinBurstShare = 0.04;
/// An account is scarce if its unspent tokens last for less than this at the
/// current demand. Scarce accounts get tighter ceilings, because the account
/// may run out before the tokens that a kill strands are recovered.
constexpr std::chrono::duration<double> ScarceTime{8.0};
/// Fraction of the prepaid tokens of a scarce account that all routers together
/// may spend after a checkpoint until `ScarceCeilingDelay` is over, unless a
/// refused bound is larger. A kill strands no more than that and the open
/// reservations if the routers restart within the delay.
constexpr double ScarceBurstShare = 0.01;
/// Replaces CeilingFactor for a scarce budget. The higher factor makes up for
/// ScarceCeilingDelay over a table outage of the usual 8 s.
constexpr double ScarceCeilingFactor = 1.3;
/// Delay of a scarce budget's rate and spread. Exceeds the longest restart
/// after a crash or a power loss: restarts take 0.5 to 2.1 s.
constexpr milliseconds ScarceCeilingDelay{2200};
/// An account is limited if its unspent tokens last for less than this at the
/// current demand: it will run out soon enough for stranded tokens to be
/// missed.
constexpr std::chrono::duration<double> LimitedTime{20.0};
/// Minimum time for which the burst of a limited account covers the expected
/// demand: about the usual interval between two checkpoints.
constexpr std::chrono::duration<double> LimitedBurstTime{0.5};
/// Maximum time for which a burst covers the expected demand. A kill strands
/// what the burst allows.
constexpr std::chrono::duration<double> MaxBurstTime{1.5};
/// Weight of one transaction in the mean duration of transactions.
constexpr double TransactionTimeWeight = 0.25;
/// Replaces SpreadFactor in the burst of a limited account. It is lower because
/// a request beyond the burst causes a checkpoint, for which it can wait.
constexpr double LimitedSpreadFactor = 0.5;
/// Replaces CeilingFactor for a limited account. The higher factor makes up for
/// LimitedCeilingDelay over a table outage of the usual 8 s.
constexpr double LimitedCeilingFactor = 1.4;
/// Delay of a limited account's rate and spread. Exceeds the time in which
/// routers are usually back after a crash or a power loss, so that the time in
/// the dark strands nothing.
constexpr milliseconds LimitedCeilingDelay{2500};
/// Longest wait for a ceiling that timeUntilCovered() states.
constexpr milliseconds MaxCeilingWait{10000};
/// Weight of the mean demand of all routers in a router's demand estimate, as
/// observation time: a router without requests so far may soon receive some.
constexpr std::chrono::duration<double> PriorTime{1.5};
/// Routers without a heartbeat for this long are not counted.
constexpr milliseconds PresenceTimeout{6000};
/// A router that writes nothing else writes its heartbeat row at this interval.
constexpr milliseconds PresenceInterval{2500};
/// Time between two reads of all rows.
constexpr milliseconds RowsInterval{700};
/// Time between two reads of all rows while an account has a refused bound.
constexpr milliseconds RefusalRowsInterval{300};
/// The table counts as unreachable when a transaction takes longer than this,
/// and than twice the mean. The usual duration is 10 ms.
constexpr milliseconds LateTransactionAge{150};
/// The table counts as unreachable when a transaction takes longer than this,
/// whatever the mean.
constexpr milliseconds MaxTransactionAge{1000};
/// Maximum age of the last read of all rows for a refusal that depends on what
/// other routers hold.
constexpr milliseconds MaxRowsAge{1500};
/// A checkpoint without new spending is rewritten at this age if its ceiling
/// has grown by more than the minimum grant change, because a kill would strand
/// the difference.
constexpr milliseconds StaleCheckpointAge{2000};
/// Time constant of the exponentially smoothed demand.
constexpr std::chrono::duration<double> DemandSmoothingTime{6.0};
/// Lower bound of the age of a demand average.
constexpr std::chrono::duration<double> MinAverageAge{1.0};
/// Age of a demand average inherited from the previous process: much longer
/// than the smoothing time, so the average counts as fully observed.
constexpr std::chrono::seconds InheritedAverageAge{60};
/// A router whose last heartbeat was older than this when the table was
/// restored has written nothing since the copy was made: copies are a few
/// seconds old. Its rows in the copy are up to date.
constexpr milliseconds MaxCopyAge{30000};
/// After a restore, a router that has not written its slices again within this
/// time is given up. A router that is only cut off may do so later.
constexpr milliseconds RestateTimeout{10000};
/// After a restore, a process that has just started waits this long for routers
/// that know more than the copy.
constexpr milliseconds KnowingRoutersGrace{3000};
/// Fraction of what the copy shows as unspent that counts as spent if no router
/// knows what was spent since.
constexpr double AssumedSpentSinceCopy = 0.5;

/// What this router knows and holds of one account's budget.
struct AccountState {
  std::int64_t Prepaid_ = 0;
  /// Whether setBudget() was called for the account.
  bool HasBudget_ = false;

  base::RowVersion TotalVersion_ = 0;
  std::int64_t GrantedToAll_ = 0;

  base::RowVersion SliceVersion_ = 0;
  std::int64_t Granted_ = 0;
  /// Tokens counted as spent by previous processes on this host.
  std::int64_t Inherited_ = 0;
  /// Tokens among `Inherited_` that may not have been spent.
  std::int64_t Stranded_ = 0;
  std::int64_t Spent_ = 0;
  std::int64_t Reserved_ = 0;
  /// Checkpoint that the table is known to hold.
  std::optional<Checkpoint> ConfirmedCheckpoint_;
  /// Checkpoint of the transaction in progress, which the table may hold.
  std::optional<Checkpoint> PendingCheckpoint_;
  /// Tokens that the transaction in progress draws (positive) or returns
  /// (negative).
  std::int64_t PendingGrant_ = 0;
  /// Change of the total row by the transaction in progress.
  std::int64_t PendingTotalChange_ = 0;

  /// Whether the slice is to be written again after a restore of the table.
  bool NeedsRestate_ = false;
  /// Whether the account existed when the table was restored, as far as this
  /// router knows.
  bool ExistedBeforeRestore_ = false;
  /// The account's rows of the latest era before the table's.
  std::int64_t CopiedTotal_ = 0;
  std::map<std::string, SliceRow> CopiedSlices_;
  /// Slices of other routers in the table's era, by router, from the last read.
  std::vector<std::pair<std::string, SliceRow>> OtherSlices_;
  /// Tokens granted to all other routers in the table's era.
  std::int64_t GrantedToOthers_ = 0;

  /// Largest bound refused since the account's last committed transaction or
  /// the last read of all rows, whichever was later.
  std::int64_t RefusedBound_ = 0;
  /// Largest refused bound of urgent requests that may draw on the urgent
  /// reserve. Reset together with `RefusedBound_`.
  std::int64_t RefusedUrgentBound_ = 0;
  /// Largest bound that a loan was refused for although the slice covers it.
  /// Reset together with `RefusedBound_`.
  std::int64_t RefusedLoan_ = 0;
  /// Largest bound that the slice did not cover since the last draw, and when
  /// it was last refused.
  std::int64_t WantedBound_ = 0;
  base::TimePoint WantedAt_{};
  /// Tokens that other routers have yet to draw for refused requests, from the
  /// last read.
  std::int64_t WantedByOthers_ = 0;
  /// Tokens of the urgent reserve that this router may draw now.
  double UrgentAllowance_ = UrgentBurstTokens;
  base::TimePoint UrgentAllowanceAt_{};
  /// Tokens used by all other routers as of their checkpoints, from the last
  /// read.
  std::int64_t UsedByOthers_ = 0;
  /// Tokens that count as spent since a restore of the table but are in no
  /// slice, from the last read.
  std::int64_t WrittenOff_ = 0;
  /// Sum of the demands published by all other routers, in tokens per second,
  /// each decayed since its checkpoint; from the last read.
  double DemandOfOthers_ = 0;
  /// Mean bound of reservations.
  double MeanSize_ = 0;
  /// Largest typical bound that another router has published, from the last
  /// read.
  double TypicalBoundOfOthers_ = 0;
  /// Mean of the squared bound of reservations.
  double MeanSquaredSize_ = 0;
  /// Smoothed tokens reserved per second, as of `DemandAt_`. settle() subtracts
  /// the tokens that were not spent.
  double Demand_ = 0;
  base::TimePoint DemandAt_{};
  std::optional<base::TimePoint> FirstUseAt_;
  base::TimePoint CheckpointAt_{};
  base::TimePoint GrantAt_{};

  /// Tokens spent, counted as spent, or reserved.
  std::int64_t used() const { return Inherited_ + Spent_ + Reserved_; }
};

} // namespace

std::string_view toString(EscrowRefusal Refusal) {
  switch (Refusal) {
  case EscrowRefusal::Spent:
    return "spent";
  case EscrowRefusal::NotYetDrawn:
    return "not_here";
  case EscrowRefusal::HeldByOthers:
    return "elsewhere";
  case EscrowRefusal::KeptForUrgent:
    return "kept_back";
  case EscrowRefusal::NotLoaded:
    return "not_loaded";
  case EscrowRefusal::TableUnreachable:
    return "unreachable";
  }
  return "unknown";
}

std::string_view toString(EscrowRecovery Recovery) {
  switch (Recovery) {
  case EscrowRecovery::None:
    return "none";
  case EscrowRecovery::Restating:
    return "restating";
  case EscrowRecovery::AwaitingOthers:
    return "awaiting_others";
  }
  return "unknown";
}

struct Escrow::Impl {
  explicit Impl(EscrowSettings Settings) : Settings_(std::move(Settings)) {}

  /// Returns a lower bound of the table's time at \p Now. The local clock may
  /// stop while the host is suspended but never runs ahead.
  milliseconds tableTime(base::TimePoint Now) const {
    return TableTime_ +
           std::chrono::duration_cast<milliseconds>(Now - TableTimeAt_);
  }

  void updateTableTime(std::optional<milliseconds> Stated,
                       base::TimePoint Now) {
    if (!Stated)
      return;
    if (HasTableTime_ && *Stated <= tableTime(Now))
      return;
    HasTableTime_ = true;
    TableTime_ = *Stated;
    TableTimeAt_ = Now;
  }

  /// Lowers the upper bound of the table's time at the start of this process.
  /// When the read was sent at \p AskedAt, the table's clock showed at most the
  /// time \p Stated in the answer.
  void boundStartTime(std::optional<milliseconds> Stated,
                      base::TimePoint AskedAt) {
    if (!Stated)
      return;
    milliseconds Bound = *Stated - std::chrono::duration_cast<milliseconds>(
                                       AskedAt - Settings_.StartedAt_);
    MaxStartTime_ = MaxStartTime_ ? std::min(*MaxStartTime_, Bound) : Bound;
  }

  /// Whether the transaction in progress takes longer than usual here. On a
  /// slow host, answers wait for its turns.
  bool isTransactionLate(base::TimePoint Now) const {
    std::chrono::duration<double> Usual =
        std::min<std::chrono::duration<double>>(2 * TransactionTime_,
                                                MaxTransactionAge);
    return Running_ &&
           Now - RunningSince_ > std::max<std::chrono::duration<double>>(
                                     LateTransactionAge, Usual);
  }

  std::int64_t ceiling(const AccountState &State, base::TimePoint Now) const {
    if (!State.ConfirmedCheckpoint_)
      return 0;
    milliseconds Time = tableTime(Now);
    std::int64_t Ceiling =
        std::min(State.Granted_, State.ConfirmedCheckpoint_->ceiling(Time));
    if (State.PendingCheckpoint_)
      Ceiling = std::min(Ceiling, State.PendingCheckpoint_->ceiling(Time));
    // A budget cut below what is granted limits every slice in proportion.
    if (State.GrantedToAll_ > State.Prepaid_ && State.GrantedToAll_ > 0) {
      double Fraction = static_cast<double>(State.Prepaid_) /
                        static_cast<double>(State.GrantedToAll_);
      Ceiling = std::min(Ceiling,
                         static_cast<std::int64_t>(
                             Fraction * static_cast<double>(State.Granted_)));
    }
    return Ceiling;
  }

  std::int64_t available(const AccountState &State, base::TimePoint Now) const {
    return std::max<std::int64_t>(0, ceiling(State, Now) - State.used());
  }

  static std::int64_t undrawn(const AccountState &State) {
    return State.Prepaid_ - State.GrantedToAll_;
  }

  /// Tokens that only urgent requests may draw. What kills of routers stranded
  /// is missing from the end of the budget; urgent requests go short last.
  std::int64_t urgentReserve(const AccountState &State) const {
    auto Prepaid = static_cast<double>(State.Prepaid_);
    double Stranded =
        static_cast<double>(State.Stranded_) * static_cast<double>(Routers_);
    return static_cast<std::int64_t>(
        std::min(UrgentReserveShare * Prepaid + Stranded,
                 MaxUrgentReserveShare * Prepaid));
  }

  static void addReservation(AccountState &State, std::int64_t Tokens,
                             base::TimePoint Now) {
    State.Reserved_ += Tokens;
    addRequest(State, Tokens, Now);
  }

  /// Counts a request of this router's callers as demand.
  static void addRequest(AccountState &State, std::int64_t Tokens,
                         base::TimePoint Now) {
    if (!State.FirstUseAt_)
      State.FirstUseAt_ = Now;
    updateSizeMeans(State, Tokens);
    addDemand(State, Tokens, Now);
  }

  bool isLargeFleet() const { return Routers_ >= LargeFleet; }

  /// Whether routers of a large fleet can raise ceilings now for refused
  /// requests and loans, as far as this router sees of the table.
  bool canRaiseCeilings(base::TimePoint Now) const {
    return isLargeFleet() && !TableUnreachable_ && !isTransactionLate(Now);
  }

  /// Root mean square of the bounds of this router's requests, which covers
  /// most requests where sizes vary much; 0 if it had none.
  static double ownTypicalBound(const AccountState &State) {
    return std::sqrt(std::max(0.0, State.MeanSquaredSize_));
  }
  /// Bound of a typical request of the account; 0 if none is known.
  static double typicalBound(const AccountState &State) {
    double Own = ownTypicalBound(State);
    return Own > 0 ? Own : State.TypicalBoundOfOthers_;
  }

  /// Takes tokens from this router's share of the urgent reserve, if it has
  /// enough.
  bool takeUrgentAllowance(AccountState &State, std::int64_t Tokens,
                           base::TimePoint Now) const {
    std::chrono::duration<double> Since = Now - State.UrgentAllowanceAt_;
    double Least = UrgentReserveShare * static_cast<double>(State.Prepaid_);
    auto Left =
        static_cast<double>(std::min(undrawn(State), urgentReserve(State)));
    double Rate = std::max(Least, Left) /
                  (UrgentSpendTime.count() * static_cast<double>(Routers_));
    State.UrgentAllowance_ = std::min(
        UrgentBurstTokens, State.UrgentAllowance_ + Rate * Since.count());
    State.UrgentAllowanceAt_ = Now;
    if (static_cast<double>(Tokens) > State.UrgentAllowance_)
      return false;
    State.UrgentAllowance_ -= static_cast<double>(Tokens);
    return true;
  }

  /// Tokens that no router has spent, as far as this router knows.
  static std::int64_t unspent(const AccountState &State) {
    return std::max<std::int64_t>(0, State.Prepaid_ - State.UsedByOthers_ -
                                         State.WrittenOff_ - State.used());
  }

  /// The part of all unspent tokens that this router should hold.
  double targetTokens(const AccountState &State, base::TimePoint Now) const {
    std::int64_t Spendable =
        std::max<std::int64_t>(0, unspent(State) - urgentReserve(State));
    return HeldShare * static_cast<double>(Spendable) * demandShare(State, Now);
  }

  /// This router's share of all routers' demand. Never zero: every router is
  /// credited a baseline demand.
  double demandShare(const AccountState &State, base::TimePoint Now) const {
    auto Routers = static_cast<double>(Routers_);
    double Baseline = static_cast<double>(State.Prepaid_) /
                          (BaselineDemandSeconds * Routers) +
                      PriorTime / DemandSmoothingTime * meanDemand(State, Now);
    double OwnDemand =
        static_cast<double>(publishedDemand(State, Now)) + Baseline;
    double DemandOfAll =
        OwnDemand + State.DemandOfOthers_ + Baseline * (Routers - 1);
    return OwnDemand / DemandOfAll;
  }

  /// Mean demand per router, in tokens per second.
  double meanDemand(const AccountState &State, base::TimePoint Now) const {
    return (demand(State, Now) + State.DemandOfOthers_) /
           static_cast<double>(Routers_);
  }

  /// Expected tokens per second: a weighted mean of this router's demand and
  /// the mean demand over all routers. The weight of this router's demand grows
  /// with the observed fraction.
  double expectedDemand(const AccountState &State, base::TimePoint Now) const {
    double Seen = observedFraction(State, Now) * DemandSmoothingTime.count();
    return (Seen * demand(State, Now) +
            PriorTime.count() * meanDemand(State, Now)) /
           (Seen + PriorTime.count());
  }

  std::string key(std::string_view Suffix) const {
    return detail::withEra(Era_, Suffix);
  }

  /// Whether tokens can be drawn and returned. After a restore, the total row
  /// is written again only when it is known what all routers hold.
  bool isOpen(const AccountState &State) const {
    return !Restored_ || State.TotalVersion_ != 0 || CanOpen_;
  }

  /// Handles that the table was restored: its rows are older than what this
  /// router knows, so none of them counts.
  void beginEra(std::uint64_t Era, base::TimePoint Now) {
    Era_ = Era;
    OtherRows_.clear();
    OutcomeUnknown_ = false;
    LastTransaction_.reset();
    PendingAccounts_.clear();
    PendingRoster_.reset();
    RosterVersion_ = 0;
    CanOpen_ = false;
    RowsInEra_ = false;
    if (!KnowsSlices_)
      return;
    EraSince_ = Now;
    Restored_ = true;
    Restating_ = true;
    for (const auto &[Name, State] : Roster_.states())
      LiveRouters_.insert(Name);
    Roster_ = {};
    for (auto &[Account, State] : Accounts_) {
      State.NeedsRestate_ = true;
      State.ExistedBeforeRestore_ = true;
      State.SliceVersion_ = 0;
      State.TotalVersion_ = 0;
      State.GrantedToAll_ = State.Prepaid_;
      // A pending draw is not received. A pending return may have taken effect
      // and stays subtracted from what this router holds.
      State.PendingCheckpoint_.reset();
      State.PendingGrant_ = 0;
      State.PendingTotalChange_ = 0;
    }
  }

  /// Decides at the first read of an era whether the table was restored and
  /// what this process has to write again.
  void beginFirstRead(bool HasOlderRows, base::TimePoint Now) {
    RowsInEra_ = true;
    if (KnowsSlices_)
      return;
    EraSince_ = Now;
    Restored_ = HasOlderRows || RosterVersion_ != 0;
    // The previous process on this host may have known more than the copy. If
    // it wrote its slices again, this process takes them over as usual.
    Restating_ = Restored_ && !isRestated();
    KnowsSlices_ = !Restating_;
  }

  bool isRestated() const {
    return Roster_.find(Settings_.Router_.str()) == RosterState::Restated;
  }

  void adoptRoster(const base::Row &Found) {
    if (Found.Version_ <= RosterVersion_)
      return;
    RosterVersion_ = Found.Version_;
    CanOpen_ = false;
    if (auto Decoded = detail::decodeRoster(Found.Value_)) {
      Roster_ = std::move(*Decoded);
      KnowsLost_ = KnowsLost_ || Roster_.has(RosterState::Lost);
      return;
    }
    // A router that never answers: nothing is drawn before it is given up.
    Roster_ = {};
    Roster_.expect("unreadable");
  }

  /// Recomputes, from the rows just read, what was granted to all routers in
  /// accounts whose total row is not written again yet.
  void updateUnopenedTotals(base::TimePoint Now) {
    CanOpen_ = Restored_ && !Restating_ && RosterVersion_ != 0 &&
               !Roster_.has(RosterState::Expected);
    if (!Restored_)
      return;
    for (auto &[Account, State] : Accounts_) {
      if (State.TotalVersion_ == 0)
        State.GrantedToAll_ =
            CanOpen_ ? grantedAtOpening(State, Now) : State.Prepaid_;
      State.WrittenOff_ = std::max<std::int64_t>(
          0, State.GrantedToAll_ - State.Granted_ - State.GrantedToOthers_);
    }
  }

  std::int64_t grantedAtOpening(const AccountState &State,
                                base::TimePoint Now) const {
    std::int64_t Granted = State.Granted_ + State.GrantedToOthers_;
    // Routers that had long been silent wrote nothing that the copy lacks.
    for (const auto &[Router, Slice] : State.CopiedSlices_)
      if (!Roster_.contains(Router))
        Granted += Slice.Granted_;
    bool Existed = State.ExistedBeforeRestore_ || State.CopiedTotal_ > 0 ||
                   !State.CopiedSlices_.empty();
    if (!Existed || !Roster_.has(RosterState::Lost))
      return Granted;
    if (Roster_.has(RosterState::Restated))
      return std::max(Granted, State.Prepaid_);
    std::int64_t Unspent =
        State.Prepaid_ - State.Granted_ - State.GrantedToOthers_;
    for (const auto &[Router, Slice] : State.CopiedSlices_)
      Unspent -=
          std::min(Slice.Granted_, Slice.Checkpoint_.ceiling(tableTime(Now)));
    return State.Prepaid_ -
           static_cast<std::int64_t>(
               (1 - AssumedSpentSinceCopy) *
               static_cast<double>(std::max<std::int64_t>(0, Unspent)));
  }

  /// Builds what has to be written after a restore before anything else: this
  /// router's entry in the roster, its slices, and the roster once more.
  std::optional<base::Transaction> buildRestate(base::TimePoint Now) {
    base::Transaction Change;
    const std::string &Self = Settings_.Router_.str();
    if (!KnowsSlices_) {
      if (RosterVersion_ == 0 && Now - EraSince_ < KnowingRoutersGrace)
        return heartbeatIfDue(Now);
      auto OwnState = Roster_.find(Self);
      if (OwnState && *OwnState != RosterState::Expected) {
        endRestating();
        return std::nullopt;
      }
      // A process whose host no router knew has no predecessor that matters.
      if (RosterVersion_ != 0 && !OwnState) {
        if (Roster_.has(RosterState::Expected) &&
            Now - EraSince_ < RestateTimeout)
          return heartbeatIfDue(Now);
        endRestating();
        return std::nullopt;
      }
      detail::Roster Next = rosterWithLiveRouters();
      Next.set(Self, RosterState::Lost);
      return rosterChange(std::move(Next), Now);
    }
    if (RosterVersion_ == 0 || !Roster_.contains(Self))
      return rosterChange(rosterWithLiveRouters(), Now);
    for (auto &[Account, State] : Accounts_) {
      if (PendingAccounts_.size() >= MaxAccountsPerTransaction)
        break;
      if (!State.NeedsRestate_)
        continue;
      if (State.Granted_ == 0)
        State.NeedsRestate_ = false;
      else
        addAccount(Account, State, Change, 0, Now);
    }
    if (!PendingAccounts_.empty()) {
      addHeartbeat(Change, Now);
      return Change;
    }
    if (Roster_.find(Self) == RosterState::Expected) {
      detail::Roster Next = Roster_;
      Next.set(Self, RosterState::Restated);
      return rosterChange(std::move(Next), Now);
    }
    endRestating();
    return std::nullopt;
  }

  void endRestating() {
    Restating_ = false;
    KnowsSlices_ = true;
    RowsInEra_ = false;
  }

  /// The roster with all routers that ran at the restore, as far as this one
  /// knows, and itself.
  detail::Roster rosterWithLiveRouters() const {
    detail::Roster Next = RosterVersion_ == 0 ? detail::Roster() : Roster_;
    for (const std::string &Each : LiveRouters_)
      Next.expect(Each);
    Next.expect(Settings_.Router_.str());
    // What was counted as spent after an earlier restore is in no router's
    // slice, and the copy may lack it.
    if (KnowsLost_)
      Next.set(std::string(detail::LostEarlier), RosterState::Lost);
    return Next;
  }

  base::Transaction rosterChange(detail::Roster Next, base::TimePoint Now) {
    base::Transaction Change;
    std::string Key = key(detail::RosterKey);
    Change.Conditions_.push_back({Key, RosterVersion_});
    Change.Writes_.push_back({std::move(Key), detail::encodeRoster(Next)});
    PendingRoster_ = std::move(Next);
    addHeartbeat(Change, Now);
    return Change;
  }

  /// Tokens by which writing this router's slice again raises the total row, if
  /// another router has opened the account without it.
  std::int64_t missingInTotal(const AccountState &State) const {
    const std::string &Self = Settings_.Router_.str();
    // A lost router's tokens are part of a total that was raised to the whole
    // budget.
    if (!State.NeedsRestate_ || State.TotalVersion_ == 0 ||
        Roster_.find(Self) == RosterState::Lost)
      return 0;
    auto Copied = State.CopiedSlices_.find(Self);
    std::int64_t Counted =
        Copied == State.CopiedSlices_.end() ? 0 : Copied->second.Granted_;
    return std::max<std::int64_t>(0, State.Granted_ - Counted);
  }

  void addHeartbeat(base::Transaction &Change, base::TimePoint Now) {
    LastWriteAt_ = Now;
    std::string Presence = detail::routerKey(Settings_.Router_);
    if (Closing_)
      Change.Writes_.push_back({std::move(Presence), std::nullopt});
    else
      Change.Writes_.push_back(
          {std::move(Presence),
           detail::encodePresence({tableTime(Now), Settings_.PeerAddress_,
                                   Settings_.LoanAddress_, Note_})});
    SentNote_ = Note_;
  }

  bool isHeartbeatDue(base::TimePoint Now) const {
    return !Closing_ &&
           (Now - LastWriteAt_ >= PresenceInterval || Note_ != SentNote_);
  }

  std::optional<base::Transaction> heartbeatIfDue(base::TimePoint Now) {
    if (!isHeartbeatDue(Now))
      return std::nullopt;
    base::Transaction Change;
    addHeartbeat(Change, Now);
    return Change;
  }

  /// Tokens to draw (positive) or to return (negative) now.
  std::int64_t grantDelta(const AccountState &State,
                          base::TimePoint Now) const {
    std::int64_t Remaining = State.Granted_ - State.used();
    if (Closing_)
      return -Remaining;
    std::int64_t Drawable = undrawn(State);
    if (Drawable < 0)
      return -std::min(Remaining, surplusAfterCut(State));
    if (State.RefusedUrgentBound_ > Remaining &&
        State.RefusedUrgentBound_ - Remaining <= Drawable)
      return State.RefusedUrgentBound_ - Remaining;
    Drawable = std::max<std::int64_t>(0, Drawable - urgentReserve(State));
    // Don't draw less than the refused request needs: those tokens would serve
    // no request at this router and be missing at others.
    if (State.RefusedBound_ > Remaining &&
        State.RefusedBound_ - Remaining <= Drawable)
      return std::min(Drawable, std::max(State.RefusedBound_ - Remaining,
                                         static_cast<std::int64_t>(
                                             targetTokens(State, Now)) -
                                             Remaining));
    if (Now - State.GrantAt_ < GrantInterval && State.ConfirmedCheckpoint_)
      return 0;
    double Target = targetTokens(State, Now);
    auto Held = static_cast<double>(Remaining);
    double MinDelta = minGrantChange(State);
    // Less than one request serves nobody here, and is missing elsewhere.
    if (double Typical = typicalBound(State);
        isLargeFleet() && Target < Typical) {
      if (!isInUse(State, Now))
        return -Remaining;
      return Held > 2 * Typical ? -static_cast<std::int64_t>(Held - Typical)
                                : 0;
    }
    if (Held < RefillRatio * Target && Target - Held > MinDelta)
      return std::min(Drawable, static_cast<std::int64_t>(Target - Held));
    if (Held > ReturnRatio * Target &&
        Held - ReturnTargetRatio * Target > MinDelta)
      return -static_cast<std::int64_t>(Held - ReturnTargetRatio * Target);
    return 0;
  }

  /// Whether callers of this router use the account.
  static bool isInUse(const AccountState &State, base::TimePoint Now) {
    return State.Reserved_ > 0 ||
           (State.FirstUseAt_ && Now - State.DemandAt_ < DemandSmoothingTime);
  }

  /// This router's share of the tokens granted in excess of a budget that was
  /// cut.
  std::int64_t surplusAfterCut(const AccountState &State) const {
    double Fraction = static_cast<double>(State.Granted_) /
                      std::max(1.0, static_cast<double>(State.GrantedToAll_));
    return static_cast<std::int64_t>(
        std::ceil(Fraction * static_cast<double>(-undrawn(State))));
  }

  /// Demand published to other routers, in tokens per second: demand() plus the
  /// largest refused bound divided by `DemandSmoothingTime`.
  static std::int64_t publishedDemand(const AccountState &State,
                                      base::TimePoint Now) {
    return static_cast<std::int64_t>(demand(State, Now) +
                                     static_cast<double>(State.RefusedBound_) /
                                         DemandSmoothingTime.count());
  }

  /// Smoothed tokens per second that this router reserves. settle() subtracts
  /// the tokens that were not spent.
  static double demand(const AccountState &State, base::TimePoint Now) {
    std::chrono::duration<double> Idle = Now - State.DemandAt_;
    // The sum may be negative: settle() subtracts unused tokens undiminished
    // after the reservation's addition has decayed.
    double Smoothed =
        std::max(0.0, State.Demand_ * std::exp(-Idle / DemandSmoothingTime));
    return Smoothed / observedFraction(State, Now);
  }

  /// Fraction of the smoothing time observed so far, 0 to 1.
  static double observedFraction(const AccountState &State,
                                 base::TimePoint Now) {
    std::chrono::duration<double> Age = MinAverageAge;
    if (State.FirstUseAt_)
      Age = std::max<std::chrono::duration<double>>(MinAverageAge,
                                                    Now - *State.FirstUseAt_);
    return 1 - std::exp(-Age / DemandSmoothingTime);
  }

  /// Takes over the demand last published by the previous process.
  static void inheritDemand(AccountState &State, std::int64_t TokensPerSecond,
                            base::TimePoint Now) {
    if (State.FirstUseAt_ || TokensPerSecond <= 0)
      return;
    State.Demand_ = static_cast<double>(TokensPerSecond);
    State.DemandAt_ = Now;
    State.FirstUseAt_ = Now - InheritedAverageAge;
  }

  static void addDemand(AccountState &State, std::int64_t Tokens,
                        base::TimePoint Now) {
    std::chrono::duration<double> Idle = Now - State.DemandAt_;
    State.Demand_ = State.Demand_ * std::exp(-Idle / DemandSmoothingTime) +
                    static_cast<double>(Tokens) / DemandSmoothingTime.count();
    State.DemandAt_ = Now;
  }

  /// Variance of the tokens that independent requests spend per second, divided
  /// by their mean.
  static double varianceRatio(const AccountState &State) {
    return State.MeanSize_ > 0 ? State.MeanSquaredSize_ / State.MeanSize_
                               : MinBurstTokens;
  }

  static void updateSizeMeans(AccountState &State, std::int64_t Tokens) {
    auto Size = static_cast<double>(Tokens);
    State.MeanSize_ += SizeWeight * (Size - State.MeanSize_);
    State.MeanSquaredSize_ +=
        SizeWeight * (Size * Size - State.MeanSquaredSize_);
  }

  /// How much a router may spend between two checkpoints, apart from the bounds
  /// that the slice and refused requests set.
  struct CeilingPolicy {
    double MinBurst_ = 0;
    /// Multiple of the expected demand that may be spent after the delay.
    double Factor_ = CeilingFactor;
    milliseconds Delay_{0};
  };

  /// Returns what a router may spend at once of an account that is not scarce.
  double minBurst(const AccountState &State) const {
    double Tokens = MinBurstTokens;
    double Share = MinBurstShare;
    if (isLargeFleet()) {
      Tokens = std::max(Tokens, MinBurstRequests * typicalBound(State));
      Share = LargeFleetBurstShare;
    }
    return std::min(Tokens, Share / static_cast<double>(Routers_) *
                                static_cast<double>(unspent(State)));
  }

  /// Returns how long the ceiling of a checkpoint has to last if the table or
  /// this host is slow: from the time at which it is built until the next one
  /// has been committed. 0 if transactions take the usual time.
  std::chrono::duration<double> slowCheckpointTime() const {
    if (TransactionTime_ < LateTransactionAge)
      return std::chrono::duration<double>::zero();
    return std::min<std::chrono::duration<double>>(
        checkpointInterval() + 2 * TransactionTime_, MaxBurstTime);
  }

  /// The less is left of an account, the less may its ceilings strand.
  CeilingPolicy ceilingPolicy(const AccountState &State, double Demand,
                              base::TimePoint Now) const {
    std::chrono::duration<double> SlowTime = slowCheckpointTime();
    if (lastsLessThan(ScarceTime, State, Now))
      return {std::max(ScarceBurstShare * static_cast<double>(State.Prepaid_) *
                           demandShare(State, Now),
                       ScarceCeilingFactor * Demand * SlowTime.count()),
              ScarceCeilingFactor, ScarceCeilingDelay};
    double MinBurst = minBurst(State);
    if (!lastsLessThan(LimitedTime, State, Now))
      return {MinBurst};
    double Expected = Demand * std::max(LimitedBurstTime, SlowTime).count();
    double Deviation = std::sqrt(Expected * varianceRatio(State));
    return {MinBurst + CeilingFactor * Expected +
                LimitedSpreadFactor * Deviation,
            LimitedCeilingFactor, LimitedCeilingDelay};
  }

  /// Returns the checkpoint to write when \p Granted tokens are granted.
  Checkpoint nextCheckpoint(const AccountState &State, std::int64_t Granted,
                            base::TimePoint Now) const {
    std::int64_t Remaining = std::max<std::int64_t>(0, Granted - State.used());
    Checkpoint Next;
    Next.Used_ = State.used();
    Next.At_ = tableTime(Now);
    // A closing escrow reserves no more tokens.
    if (Closing_)
      return Next;
    double Demand = expectedDemand(State, Now);
    CeilingPolicy Policy = ceilingPolicy(State, Demand, Now);
    Next.Burst_ = std::min(
        Remaining, std::max({static_cast<std::int64_t>(Policy.MinBurst_),
                             State.RefusedBound_, State.RefusedLoan_}));
    double DrainSeconds =
        isLargeFleet() ? LargeFleetDrainSeconds : MinRateDrainSeconds;
    Next.RatePerSecond_ = static_cast<std::int64_t>(
        std::ceil(std::max(Policy.Factor_ * Demand,
                           static_cast<double>(Remaining) / DrainSeconds)));
    Next.Spread_ = static_cast<std::int64_t>(
        std::ceil(SpreadFactor * std::sqrt(Demand * varianceRatio(State))));
    Next.Delay_ = Policy.Delay_;
    return Next;
  }

  /// Whether the budget ends within \p Span at the current demand.
  static bool lastsLessThan(std::chrono::duration<double> Span,
                            const AccountState &State, base::TimePoint Now) {
    double DemandOfAll = demand(State, Now) + State.DemandOfOthers_;
    return static_cast<double>(unspent(State)) < Span.count() * DemandOfAll;
  }

  base::Duration checkpointInterval() const {
    std::chrono::duration<double> FairInterval(static_cast<double>(Routers_) /
                                               Settings_.CheckpointsPerSecond_);
    return std::max(Settings_.CheckpointInterval_,
                    std::chrono::duration_cast<base::Duration>(FairInterval));
  }

  /// Whether tokens should be drawn for the account or returned.
  bool needsGrant(const AccountState &State, base::TimePoint Now) const {
    return State.HasBudget_ && isOpen(State) && grantDelta(State, Now) != 0;
  }

  bool needsCheckpoint(const AccountState &State, base::TimePoint Now) const {
    if (!State.HasBudget_)
      return false;
    std::int64_t Remaining = State.Granted_ - State.used();
    if (!State.ConfirmedCheckpoint_)
      return Remaining > 0 && !Closing_;
    // A return may conflict repeatedly on the total row. A final checkpoint
    // writes only this router's rows and does not conflict.
    if (Closing_)
      return State.Granted_ > 0 && !State.ConfirmedCheckpoint_->isFinal();
    // The slice covers a refused request, but the ceiling does not.
    for (std::int64_t Refused : {State.RefusedBound_, State.RefusedLoan_})
      if (Refused > 0 && Refused <= Remaining &&
          Refused > available(State, Now))
        return true;
    base::Duration Age = Now - State.CheckpointAt_;
    if (State.used() != State.ConfirmedCheckpoint_->Used_ ||
        State.RefusedBound_ > 0)
      return Age >= checkpointInterval();
    return Age >= StaleCheckpointAge &&
           static_cast<double>(ceiling(State, Now) - State.used() -
                               State.ConfirmedCheckpoint_->Burst_) >
               minGrantChange(State);
  }

  double minGrantChange(const AccountState &State) const {
    double Share = MinGrantChangeShare * static_cast<double>(State.Prepaid_) /
                   static_cast<double>(Routers_);
    return isLargeFleet()
               ? std::max(Share, MinGrantChangeRequests * typicalBound(State))
               : Share;
  }

  /// Notes a refused request that the slice does not cover.
  static void addWanted(AccountState &State, std::int64_t Bound,
                        base::TimePoint Now) {
    if (State.Granted_ - State.used() >= Bound)
      return;
    bool IsOld = Now - State.WantedAt_ >= WantedTime;
    State.WantedBound_ = IsOld ? Bound : std::max(State.WantedBound_, Bound);
    State.WantedAt_ = Now;
  }

  /// Tokens that this router has yet to draw for refused requests.
  static std::int64_t wanted(const AccountState &State, base::TimePoint Now) {
    if (State.WantedBound_ == 0 || Now - State.WantedAt_ >= WantedTime)
      return 0;
    return std::max<std::int64_t>(0, State.WantedBound_ -
                                         (State.Granted_ - State.used()));
  }

  /// Whether a routine draw or return should wait, since another router lacks
  /// tokens: each change of the total makes that router's draw conflict, and a
  /// slow host would never get through. Returns go on while the table lacks
  /// what is wanted.
  bool yieldsGrant(const AccountState &State, base::TimePoint Now) const {
    if (State.WantedByOthers_ == 0 || State.RefusedBound_ > 0 || Closing_ ||
        undrawn(State) < 0)
      return false;
    return grantDelta(State, Now) > 0 ||
           undrawn(State) - urgentReserve(State) >= State.WantedByOthers_;
  }

  /// Builds draws and returns, or checkpoints, in turns. Draws and returns
  /// change total rows, which routers share, so they may conflict repeatedly;
  /// taking turns keeps them from delaying checkpoints.
  std::optional<base::Transaction> buildTransaction(base::TimePoint Now) {
    if (!RowsInEra_)
      return std::nullopt;
    if (Restating_)
      return buildRestate(Now);
    if (Restored_ && Roster_.has(RosterState::Expected) &&
        RosterVersion_ != 0 && Now - EraSince_ >= RestateTimeout) {
      detail::Roster Next = Roster_;
      Next.loseExpected();
      return rosterChange(std::move(Next), Now);
    }
    for (int Kind = 0; Kind < 2; ++Kind) {
      LastBuiltGrants_ = !LastBuiltGrants_;
      if (auto Change = buildGrantsOrCheckpoints(LastBuiltGrants_, Now))
        return Change;
    }
    return std::nullopt;
  }

  std::optional<base::Transaction>
  buildGrantsOrCheckpoints(bool Grants, base::TimePoint Now) {
    base::Transaction Change;
    PendingAccounts_.clear();
    OpensAccount_ = false;
    if (Grants)
      addGrants(Change, Now);
    for (auto &[Account, State] : Accounts_) {
      if (Grants || PendingAccounts_.size() >= MaxAccountsPerTransaction)
        break;
      if (needsCheckpoint(State, Now))
        addAccount(Account, State, Change, 0, Now);
    }
    if (PendingAccounts_.empty() && (Grants || !isHeartbeatDue(Now)))
      return std::nullopt;
    addHeartbeat(Change, Now);
    return Change;
  }

  /// Adds the draws and returns that matter most: first those of refused
  /// requests, then those furthest from their target.
  void addGrants(base::Transaction &Change, base::TimePoint Now) {
    struct Wanted {
      bool Refused_;
      double Importance_;
      std::map<base::AccountId, AccountState>::iterator Account_;
    };
    std::vector<Wanted> All;
    bool RoutineDue = !isLargeFleet() || Closing_ || Now >= NextRoutineGrantAt_;
    for (auto Each = Accounts_.begin(); Each != Accounts_.end(); ++Each) {
      AccountState &State = Each->second;
      if (!(RoutineDue || State.RefusedBound_ > 0) || !needsGrant(State, Now) ||
          yieldsGrant(State, Now))
        continue;
      double Size = std::max(1.0, static_cast<double>(State.Prepaid_));
      All.push_back(
          {State.RefusedBound_ > 0,
           std::abs(static_cast<double>(grantDelta(State, Now))) / Size, Each});
    }
    std::size_t Count = std::min(All.size(), GrantAccounts_);
    std::partial_sort(All.begin(),
                      All.begin() + static_cast<std::ptrdiff_t>(Count),
                      All.end(), [](const Wanted &Left, const Wanted &Right) {
                        return std::pair(Left.Refused_, Left.Importance_) >
                               std::pair(Right.Refused_, Right.Importance_);
                      });
    for (std::size_t Index = 0; Index < Count; ++Index) {
      auto &[Account, State] = *All[Index].Account_;
      addAccount(Account, State, Change, grantDelta(State, Now), Now);
    }
    if (RoutineDue && Count > 0)
      NextRoutineGrantAt_ =
          Now +
          std::chrono::duration_cast<base::Duration>(
              std::chrono::duration<double>(static_cast<double>(Routers_) /
                                            RoutineGrantsPerSecond));
  }

  bool changesTotals() const {
    return std::any_of(PendingAccounts_.begin(), PendingAccounts_.end(),
                       [this](const base::AccountId &Each) {
                         return Accounts_.at(Each).PendingTotalChange_ != 0;
                       });
  }

  /// Counts the transaction in progress if it draws or returns tokens.
  void countGrant(bool Committed) {
    if (!changesTotals())
      return;
    ++(Committed ? GrantCounters_.Committed_ : GrantCounters_.Conflicted_);
    GrantCounters_.ConflictsInARow_ =
        Committed ? 0 : GrantCounters_.ConflictsInARow_ + 1;
  }

  void addAccount(const base::AccountId &Account, AccountState &State,
                  base::Transaction &Change, std::int64_t Grant,
                  base::TimePoint Now) {
    std::int64_t Granted = State.Granted_ + Grant;
    std::string Key = key(detail::sliceKey(Account, Settings_.Router_));
    std::int64_t TotalChange = Grant + missingInTotal(State);
    State.PendingTotalChange_ = TotalChange;
    State.PendingCheckpoint_ = nextCheckpoint(State, Granted, Now);
    State.PendingGrant_ = Grant;
    Change.Conditions_.push_back({Key, State.SliceVersion_});
    Change.Writes_.push_back(
        {std::move(Key),
         detail::encodeSlice(
             {Settings_.Incarnation_.str(), Granted, *State.PendingCheckpoint_,
              publishedDemand(State, Now), State.Reserved_, State.Stranded_,
              static_cast<std::int64_t>(ownTypicalBound(State)),
              wanted(State, Now)})});
    std::string Total = key(detail::totalKey(Account));
    // Routers that open the account must not miss a slice that is being written
    // again.
    if (TotalChange != 0 || (State.NeedsRestate_ && State.TotalVersion_ == 0))
      Change.Conditions_.push_back({Total, State.TotalVersion_});
    if (TotalChange != 0)
      Change.Writes_.push_back(
          {std::move(Total),
           detail::encodeTotal(State.GrantedToAll_ + TotalChange)});
    // The account is opened with what the routers in this roster hold.
    bool Opens = Restored_ && TotalChange != 0 && State.TotalVersion_ == 0;
    if (Opens && !OpensAccount_) {
      OpensAccount_ = true;
      Change.Conditions_.push_back({key(detail::RosterKey), RosterVersion_});
    }
    // Returned tokens must not be spent while the transaction is in progress.
    if (Grant < 0)
      State.Granted_ = Granted;
    PendingAccounts_.push_back(Account);
  }

  void applyCommitted(base::RowVersion Version, base::TimePoint Now) {
    TransactionTime_ +=
        TransactionTimeWeight * (Now - RunningSince_ - TransactionTime_);
    if (changesTotals())
      GrantAccounts_ = std::min(MaxAccountsPerTransaction, GrantAccounts_ + 1);
    for (const base::AccountId &Account : PendingAccounts_) {
      AccountState &State = Accounts_[Account];
      State.SliceVersion_ = Version;
      if (State.PendingGrant_ > 0) {
        State.Granted_ += State.PendingGrant_;
        State.WantedBound_ = 0;
      }
      if (State.PendingTotalChange_ != 0) {
        State.TotalVersion_ = Version;
        State.GrantedToAll_ += State.PendingTotalChange_;
      }
      if (State.PendingGrant_ != 0)
        State.GrantAt_ = Now;
      State.NeedsRestate_ = false;
      State.RefusedBound_ = 0;
      State.RefusedLoan_ = 0;
      State.RefusedUrgentBound_ = 0;
      State.CheckpointAt_ = Now;
      State.ConfirmedCheckpoint_ =
          std::exchange(State.PendingCheckpoint_, std::nullopt);
      State.PendingGrant_ = 0;
      State.PendingTotalChange_ = 0;
    }
    PendingAccounts_.clear();
    if (PendingRoster_) {
      Roster_ = *std::exchange(PendingRoster_, std::nullopt);
      RosterVersion_ = Version;
      KnowsLost_ = KnowsLost_ || Roster_.has(RosterState::Lost);
      // The rows were read with another roster.
      CanOpen_ = false;
      RowsStale_ = true;
    }
  }

  /// Undoes the local effects of the transaction in progress, which did not
  /// take effect in the table.
  void rollBack() {
    for (const base::AccountId &Account : PendingAccounts_) {
      AccountState &State = Accounts_[Account];
      if (State.PendingGrant_ < 0)
        State.Granted_ -= State.PendingGrant_;
      State.PendingCheckpoint_.reset();
      State.PendingGrant_ = 0;
      State.PendingTotalChange_ = 0;
    }
    PendingAccounts_.clear();
    PendingRoster_.reset();
  }

  /// Takes over a newer total row or slice row of this router.
  void adoptRow(const base::Row &Found, base::TimePoint Now) {
    if (Found.Key_ == detail::RosterKey) {
      adoptRoster(Found);
      return;
    }
    if (Found.Key_.starts_with(TotalPrefix)) {
      AccountState &State =
          Accounts_[base::AccountId(Found.Key_.substr(TotalPrefix.size()))];
      if (Found.Version_ <= State.TotalVersion_)
        return;
      State.TotalVersion_ = Found.Version_;
      // If the total is unreadable, draw nothing more.
      State.GrantedToAll_ =
          detail::decodeTotal(Found.Value_).value_or(State.Prepaid_);
      return;
    }
    auto Name = detail::sliceNameFromKey(Found.Key_);
    if (Name && Name->Router_ == Settings_.Router_)
      adoptSlice(Name->Account_, Found, Now);
  }

  void adoptSlice(const base::AccountId &Account, const base::Row &Found,
                  base::TimePoint Now) {
    AccountState &State = Accounts_[Account];
    if (Found.Version_ <= State.SliceVersion_)
      return;
    State.SliceVersion_ = Found.Version_;
    State.NeedsRestate_ = false;
    auto Row = detail::decodeSlice(Found.Value_);
    if (!Row) {
      State.Granted_ = 0;
      State.ConfirmedCheckpoint_.reset();
      return;
    }
    State.Granted_ = Row->Granted_;
    if (Row->Incarnation_ == Settings_.Incarnation_.str()) {
      State.ConfirmedCheckpoint_ = Row->Checkpoint_;
      return;
    }
    // The slice belongs to a previous process on this host, which has ended.
    // What its ceiling allowed counts as spent. No tokens may be spent before a
    // checkpoint of this incarnation is committed.
    milliseconds EndedBy = MaxStartTime_.value_or(TableTime_);
    State.Inherited_ =
        std::min(Row->Granted_, Row->Checkpoint_.ceiling(EndedBy));
    State.Stranded_ =
        Row->Stranded_ +
        std::max<std::int64_t>(0, State.Inherited_ - Row->Checkpoint_.Used_);
    State.ConfirmedCheckpoint_.reset();
    Takeovers_.push_back(
        {Account, base::Tokens(Row->Granted_),
         base::Tokens(Row->Checkpoint_.Used_), base::Tokens(State.Inherited_),
         base::Tokens(Row->Reserved_), base::Tokens(Row->Checkpoint_.Burst_),
         EndedBy - Row->Checkpoint_.At_});
    inheritDemand(State, Row->TokensPerSecond_, Now);
  }

  /// Takes over the result of reading all rows.
  void adoptRows(const std::vector<base::Row> &Rows, base::TimePoint Now) {
    for (auto &[Account, State] : Accounts_) {
      State.UsedByOthers_ = 0;
      State.DemandOfOthers_ = 0;
      State.TypicalBoundOfOthers_ = 0;
      State.WantedByOthers_ = 0;
      State.RefusedBound_ = 0;
      State.RefusedLoan_ = 0;
      State.RefusedUrgentBound_ = 0;
      State.GrantedToOthers_ = 0;
      State.OtherSlices_.clear();
      State.CopiedSlices_.clear();
      State.CopiedTotal_ = 0;
    }
    // While the outcome of a transaction is open, only its result tells the
    // state of the rows that it concerns. The others are taken over: a router
    // that always has a transaction in progress would not see what has become
    // of the totals, and all its changes of them would conflict.
    bool AdoptsOwn = !Running_ && !OutcomeUnknown_;
    bool HasOlderRows = false;
    std::vector<base::Row> Presences;
    // In ascending order of eras, because a later copy replaces an earlier one.
    std::map<std::uint64_t, std::vector<base::Row>> ByEra;
    for (const base::Row &Each : Rows) {
      if (Each.Key_.starts_with(RouterPrefix)) {
        Presences.push_back(Each);
        continue;
      }
      detail::EraKey Split = detail::splitEra(Each.Key_);
      ByEra[Split.Era_].push_back(
          {std::move(Split.Key_), Each.Version_, Each.Value_});
    }
    for (const auto &[Era, EraRows] : ByEra) {
      if (Era > Era_)
        continue; // Written by a router that has seen a later era.
      HasOlderRows = HasOlderRows || Era < Era_;
      for (const base::Row &Each : EraRows) {
        if (Era < Era_)
          addCopiedRow(Each);
        else if (!addOthersRow(Each, Now) && (AdoptsOwn || !isPending(Each)))
          adoptRow(Each, Now);
      }
    }
    OtherRows_.sweep();
    countRouters(Presences, Now);
    if (!RowsInEra_)
      beginFirstRead(HasOlderRows, Now);
    if (AdoptsOwn)
      updateUnopenedTotals(Now);
  }

  /// Whether the transaction in progress may change the row, or depends on it.
  bool isPending(const base::Row &Found) const {
    std::string Account;
    if (Found.Key_.starts_with(TotalPrefix))
      Account = Found.Key_.substr(TotalPrefix.size());
    else if (auto Name = detail::sliceNameFromKey(Found.Key_))
      Account = Name->Account_.str();
    else
      return true;
    return std::find(PendingAccounts_.begin(), PendingAccounts_.end(),
                     base::AccountId(Account)) != PendingAccounts_.end();
  }

  /// Notes a row of an earlier era.
  void addCopiedRow(const base::Row &Found) {
    if (Found.Key_.starts_with(TotalPrefix)) {
      base::AccountId Account(Found.Key_.substr(TotalPrefix.size()));
      Accounts_[Account].CopiedTotal_ =
          detail::decodeTotal(Found.Value_).value_or(0);
      return;
    }
    auto Name = detail::sliceNameFromKey(Found.Key_);
    auto Row = Name ? detail::decodeSlice(Found.Value_) : std::nullopt;
    if (Row)
      Accounts_[Name->Account_].CopiedSlices_.insert_or_assign(
          Name->Router_.str(), *Row);
  }

  /// Adds another router's slice as of its last checkpoint. Returns false if
  /// the row is not another router's slice.
  bool addOthersRow(const base::Row &Found, base::TimePoint Now) {
    auto Name = detail::sliceNameFromKey(Found.Key_);
    if (!Name || Name->Router_ == Settings_.Router_)
      return false;
    if (const auto &Row = OtherRows_.decode(Found)) {
      AccountState &State = Accounts_[Name->Account_];
      State.GrantedToOthers_ += Row->Granted_;
      addOtherSlice(State, *Row, tableTime(Now));
      State.OtherSlices_.emplace_back(Name->Router_.str(), *Row);
    }
    return true;
  }

  /// Counts the routers with a recent heartbeat and notes their addresses.
  void countRouters(const std::vector<base::Row> &Presences,
                    base::TimePoint Now) {
    std::map<std::string, std::string> Addresses;
    LoanAddresses_.clear();
    std::size_t Routers = 1;
    std::size_t RoutersBefore = 0;
    // Old heartbeats may show no more than that the table was away, or that
    // this process has just started.
    bool AfterGap = !CountedAt_ || Now - *CountedAt_ > PresenceTimeout / 2;
    base::Duration MaxAge =
        CountedAt_ ? Now - *CountedAt_ + PresenceTimeout : MaxCopyAge;
    CountedAt_ = Now;
    std::map<std::string, base::TimePoint> Awaited;
    Notes_.clear();
    // While slices are being written again, the routers that ran at the restore
    // count, also those that have not been heard since.
    if (!Restating_ && RowsInEra_)
      LiveRouters_.clear();
    for (const base::Row &Each : Presences) {
      auto Seen = detail::decodePresence(Each.Value_);
      base::Duration Age = Seen ? tableTime(Now) - Seen->At_ : MaxCopyAge;
      bool Alive = Seen && Age < PresenceTimeout;
      bool Own = Each.Key_ == detail::routerKey(Settings_.Router_);
      auto Until = AwaitedUntil_.find(Each.Key_);
      bool IsAwaited = Until != AwaitedUntil_.end() && Now < Until->second;
      if (!Alive && AfterGap && Seen && Age < MaxAge)
        Awaited.emplace(Each.Key_, Now + PresenceTimeout);
      else if (!Alive && IsAwaited)
        Awaited.emplace(Each.Key_, Until->second);
      if (Seen && (Alive || (!Own && Awaited.contains(Each.Key_))))
        Notes_.emplace(Each.Key_.substr(RouterPrefix.size()),
                       std::move(Seen->Note_));
      if (!Own && (Alive || Awaited.contains(Each.Key_))) {
        ++Routers;
        if (Each.Key_ < detail::routerKey(Settings_.Router_))
          ++RoutersBefore;
      }
      if (Age < MaxCopyAge)
        LiveRouters_.insert(Each.Key_.substr(RouterPrefix.size()));
      if (Alive && !Own && !Seen->LoanAddress_.empty())
        LoanAddresses_.emplace(Each.Key_.substr(RouterPrefix.size()),
                               std::move(Seen->LoanAddress_));
      if (Alive && !Own && !Seen->Address_.empty())
        Addresses.emplace(Each.Key_, std::move(Seen->Address_));
    }
    AwaitedUntil_ = std::move(Awaited);
    Routers_ = std::max(Settings_.ExpectedRouters_, Routers);
    RoutersBefore_ = RoutersBefore;
    setPeers(Addresses);
  }

  /// Orders the peers by key, starting after this router's own key, so that
  /// routers prefer different peers.
  void setPeers(const std::map<std::string, std::string> &AddressByKey) {
    Peers_.clear();
    auto First = AddressByKey.upper_bound(detail::routerKey(Settings_.Router_));
    for (auto Each = First; Each != AddressByKey.end(); ++Each)
      Peers_.push_back(Each->second);
    for (auto Each = AddressByKey.begin(); Each != First; ++Each)
      Peers_.push_back(Each->second);
  }

  /// Adds another router's slice as of its last checkpoint.
  static void addOtherSlice(AccountState &State, const SliceRow &Row,
                            milliseconds Time) {
    State.UsedByOthers_ += Row.Checkpoint_.Used_;
    State.TypicalBoundOfOthers_ = std::max(
        State.TypicalBoundOfOthers_, static_cast<double>(Row.TypicalBound_));
    if (Time - Row.Checkpoint_.At_ < WantedTime)
      State.WantedByOthers_ += Row.Wanted_;
    std::chrono::duration<double> Age = Time - Row.Checkpoint_.At_;
    State.DemandOfOthers_ +=
        static_cast<double>(Row.TokensPerSecond_) *
        std::exp(-std::max(0.0, Age / DemandSmoothingTime));
  }

  EscrowSettings Settings_;
  std::map<base::AccountId, AccountState> Accounts_;
  std::size_t Routers_ = Settings_.ExpectedRouters_;
  /// Number of counted routers whose name sorts before this one's.
  std::size_t RoutersBefore_ = 0;
  /// Notes of the counted routers, by name.
  std::map<std::string, std::string> Notes_;
  std::string Note_;
  /// The note in the last heartbeat that was sent.
  std::string SentNote_;
  /// When the routers were last counted.
  std::optional<base::TimePoint> CountedAt_;
  /// Routers, by row key, that are counted until this time although their
  /// heartbeat is old.
  std::map<std::string, base::TimePoint> AwaitedUntil_;
  std::vector<std::string> Peers_;
  /// Addresses of other routers with a recent heartbeat that lend tokens, by
  /// router.
  std::map<std::string, std::string> LoanAddresses_;

  /// The transaction built last; sent again unchanged while its outcome is
  /// unknown.
  std::optional<base::Transaction> LastTransaction_;
  /// Accounts changed by the transaction in progress.
  std::vector<base::AccountId> PendingAccounts_;
  /// Maximum number of accounts in one transaction that changes totals. Halves
  /// with each conflict: one changed total undoes the whole transaction, and
  /// with many routers that each change many totals, none gets through.
  std::size_t GrantAccounts_ = MaxAccountsPerTransaction;
  EscrowGrantCounters GrantCounters_;
  base::TimePoint RunningSince_{};
  /// Mean time from building a transaction to taking its result.
  std::chrono::duration<double> TransactionTime_{0};
  /// When a transaction may hold routine draws and returns again.
  base::TimePoint NextRoutineGrantAt_{};
  base::TimePoint NextTransactionAt_{};
  base::TimePoint LastWriteAt_{};
  base::TimePoint RowsReadAt_{};
  std::vector<EscrowTakeover> Takeovers_;

  /// Upper bound of the table's time at the start of this process.
  std::optional<milliseconds> MaxStartTime_;
  /// Latest lower bound of the table's time, as of the local time
  /// `TableTimeAt_`.
  milliseconds TableTime_{0};
  base::TimePoint TableTimeAt_{};
  bool HasTableTime_ = false;

  /// Era of the table; keys of other eras do not count.
  std::uint64_t Era_ = 0;
  /// Era for which the transaction in progress was built.
  std::uint64_t TransactionEra_ = 0;
  /// When this router noticed the era.
  base::TimePoint EraSince_{};
  /// Whether the table was restored before the era began.
  bool Restored_ = false;
  /// Whether this router has yet to write its slices again.
  bool Restating_ = false;
  /// Whether this process holds slices by its own knowledge. It does not if it
  /// started after the last restore and has not yet settled what its
  /// predecessor held.
  bool KnowsSlices_ = false;
  /// Whether the rows were read in this era.
  bool RowsInEra_ = false;
  /// Whether a routine read would come too late.
  bool RowsStale_ = false;
  /// Whether accounts without a total row may be opened: all routers have
  /// written their slices again, and the rows were read since.
  bool CanOpen_ = false;
  /// Whether the transaction being built opens an account.
  bool OpensAccount_ = false;
  detail::Roster Roster_;
  base::RowVersion RosterVersion_ = 0;
  /// Whether any roster so far had a lost router.
  bool KnowsLost_ = false;
  /// The roster that the transaction in progress writes.
  std::optional<detail::Roster> PendingRoster_;
  /// Names of the routers that had a heartbeat within `MaxCopyAge`, from the
  /// last read.
  std::set<std::string> LiveRouters_;

  /// Slices of other routers in the table's era.
  detail::SliceCache OtherRows_;

  bool Loaded_ = false;
  bool RowsSeen_ = false;
  bool Closing_ = false;
  /// Whether a transaction was sent and its result is pending.
  bool Running_ = false;
  /// Whether the last transaction may or may not have taken effect.
  bool OutcomeUnknown_ = false;
  bool TableUnreachable_ = false;
  /// Whether buildTransaction() last tried draws and returns, not checkpoints.
  bool LastBuiltGrants_ = false;
};

base::Result<Escrow, EscrowError> Escrow::create(EscrowSettings Settings) {
  if (Settings.Router_.empty())
    return base::failure(EscrowError::EmptyRouter);
  if (Settings.Incarnation_.empty())
    return base::failure(EscrowError::EmptyIncarnation);
  if (Settings.CheckpointInterval_ <= base::Duration::zero() ||
      Settings.ExpectedRouters_ == 0 || Settings.CheckpointsPerSecond_ <= 0)
    return base::failure(EscrowError::BadSetting);
  return Escrow(std::make_unique<Impl>(std::move(Settings)));
}

Escrow::Escrow(std::unique_ptr<Impl> State) : Impl_(std::move(State)) {}
Escrow::Escrow(Escrow &&) noexcept = default;
Escrow &Escrow::operator=(Escrow &&) noexcept = default;
Escrow::~Escrow() = default;

void Escrow::setBudget(const base::AccountId &Account, base::Tokens Prepaid) {
  AccountState &State = Impl_->Accounts_[Account];
  State.HasBudget_ = true;
  State.Prepaid_ = Prepaid.count();
}

base::Result<void, EscrowRefusal>
Escrow::reserve(const base::AccountId &Account, base::Tokens Bound, bool Urgent,
                base::TimePoint Now) {
  if (!Impl_->Loaded_)
    return base::failure(EscrowRefusal::NotLoaded);
  if (Impl_->Closing_)
    return base::failure(EscrowRefusal::HeldByOthers);
  AccountState &State = Impl_->Accounts_[Account];
  std::int64_t Requested = Bound.count();
  if (Requested <= Impl_->available(State, Now)) {
    Impl::addReservation(State, Requested, Now);
    return base::success();
  }
  std::int64_t Missing = Requested - (State.Granted_ - State.used());
  bool NeedsUrgentReserve =
      Impl::undrawn(State) - Missing < Impl_->urgentReserve(State);
  bool HasUrgentAllowance = State.RefusedUrgentBound_ >= Requested;
  if (Urgent && NeedsUrgentReserve &&
      (HasUrgentAllowance || Impl_->takeUrgentAllowance(State, Requested, Now)))
    State.RefusedUrgentBound_ = std::max(State.RefusedUrgentBound_, Requested);
  State.RefusedBound_ = std::max(State.RefusedBound_, Requested);
  Impl::addWanted(State, Requested, Now);
  bool RowsFresh = Impl_->RowsSeen_ && Now - Impl_->RowsReadAt_ < MaxRowsAge;
  // What was spent is not known before all routers have written it again.
  if (RowsFresh && !Impl_->isOpen(State))
    return base::failure(EscrowRefusal::HeldByOthers);
  if (RowsFresh && Impl::unspent(State) < Requested)
    return base::failure(EscrowRefusal::Spent);
  if (Impl_->TableUnreachable_ || Impl_->isTransactionLate(Now))
    return base::failure(EscrowRefusal::TableUnreachable);
  if (RowsFresh && NeedsUrgentReserve &&
      State.RefusedUrgentBound_ < Requested &&
      Impl::unspent(State) - Requested < Impl_->urgentReserve(State))
    return base::failure(EscrowRefusal::KeptForUrgent);
  if (RowsFresh && NeedsUrgentReserve && State.RefusedUrgentBound_ < Requested)
    return base::failure(EscrowRefusal::HeldByOthers);
  return base::failure(EscrowRefusal::NotYetDrawn);
}

void Escrow::addRefused(const base::AccountId &Account, base::Tokens Bound,
                        base::TimePoint Now) {
  Impl::addRequest(Impl_->Accounts_[Account], Bound.count(), Now);
}

void Escrow::settle(const base::AccountId &Account, base::Tokens Bound,
                    base::Tokens Spent, base::TimePoint Now) {
  AccountState &State = Impl_->Accounts_[Account];
  State.Reserved_ -= Bound.count();
  State.Spent_ += Spent.count();
  Impl::addDemand(State, Spent.count() - Bound.count(), Now);
}

bool Escrow::lend(const base::AccountId &Account, base::Tokens Bound,
                  base::TimePoint Now) {
  auto Found = Impl_->Accounts_.find(Account);
  if (!Impl_->Loaded_ || Impl_->Closing_ || Found == Impl_->Accounts_.end())
    return false;
  AccountState &State = Found->second;
  if (Impl_->available(State, Now) >= Bound.count()) {
    State.Reserved_ += Bound.count();
    return true;
  }
  if (Impl_->isLargeFleet() && State.Granted_ - State.used() >= Bound.count())
    State.RefusedLoan_ = std::max(State.RefusedLoan_, Bound.count());
  return false;
}

void Escrow::settleLent(const base::AccountId &Account, base::Tokens Bound,
                        base::Tokens Spent) {
  AccountState &State = Impl_->Accounts_[Account];
  State.Reserved_ -= Bound.count();
  State.Spent_ += Spent.count();
}

void Escrow::addBorrowed(const base::AccountId &Account, base::Tokens Bound,
                         base::TimePoint Now) {
  Impl::addRequest(Impl_->Accounts_[Account], Bound.count(), Now);
}

void Escrow::settleBorrowed(const base::AccountId &Account, base::Tokens Bound,
                            base::Tokens Spent, base::TimePoint Now) {
  Impl::addDemand(Impl_->Accounts_[Account], Spent.count() - Bound.count(),
                  Now);
}

std::optional<milliseconds>
Escrow::timeUntilCovered(const base::AccountId &Account, base::Tokens Bound,
                         base::TimePoint Now) const {
  auto Found = Impl_->Accounts_.find(Account);
  if (Found == Impl_->Accounts_.end())
    return std::nullopt;
  const AccountState &State = Found->second;
  if (State.Granted_ - State.used() < Bound.count())
    return std::nullopt;
  constexpr milliseconds Step{50};
  for (milliseconds Wait{0}; Wait <= MaxCeilingWait; Wait += Step)
    if (Impl_->available(State, Now + Wait) >= Bound.count())
      return Wait;
  return std::nullopt;
}

bool Escrow::awaitsCeiling(const base::AccountId &Account, base::Tokens Bound,
                           base::TimePoint Now) const {
  auto Found = Impl_->Accounts_.find(Account);
  return Impl_->canRaiseCeilings(Now) && Found != Impl_->Accounts_.end() &&
         Found->second.Granted_ - Found->second.used() >= Bound.count();
}

bool Escrow::needsRows(base::TimePoint Now) const {
  if (!Impl_->Loaded_ || !Impl_->RowsSeen_ || !Impl_->RowsInEra_)
    return true;
  if (Impl_->Closing_)
    return false;
  base::Duration Age = Now - Impl_->RowsReadAt_;
  if (Age >= RowsInterval || Impl_->RowsStale_)
    return true;
  return Age >= RefusalRowsInterval &&
         std::any_of(
             Impl_->Accounts_.begin(), Impl_->Accounts_.end(),
             [](const auto &Each) { return Each.second.RefusedBound_ > 0; });
}

void Escrow::onRows(const base::ReadResult &Read, base::TimePoint AskedAt,
                    base::TimePoint Now) {
  Impl_->TableUnreachable_ = Read.Status_ != base::ReadStatus::Ok;
  if (Impl_->TableUnreachable_)
    return;
  if (Read.Era_ && *Read.Era_ < Impl_->Era_)
    return; // Sent before the table was restored.
  if (Read.Era_ && *Read.Era_ > Impl_->Era_)
    Impl_->beginEra(*Read.Era_, Now);
  Impl_->boundStartTime(Read.TableTime_, AskedAt);
  Impl_->updateTableTime(Read.TableTime_, Now);
  Impl_->adoptRows(Read.Rows_, Now);
  Impl_->RowsReadAt_ = Now;
  Impl_->RowsStale_ = false;
  Impl_->RowsSeen_ = true;
  Impl_->Loaded_ = true;
}

std::optional<base::Transaction> Escrow::nextTransaction(base::TimePoint Now) {
  if (!Impl_->Loaded_ || Impl_->Running_ || Now < Impl_->NextTransactionAt_)
    return std::nullopt;
  if (!Impl_->OutcomeUnknown_)
    Impl_->LastTransaction_ = Impl_->buildTransaction(Now);
  if (!Impl_->LastTransaction_)
    return std::nullopt;
  Impl_->Running_ = true;
  Impl_->TransactionEra_ = Impl_->Era_;
  Impl_->RunningSince_ = Now;
  Impl_->NextTransactionAt_ = Now + Impl_->Settings_.MinTransactionInterval_;
  return Impl_->LastTransaction_;
}

void Escrow::onTransaction(const base::TransactionResult &Result,
                           base::TimePoint Now) {
  using base::TransactionStatus;
  Impl_->Running_ = false;
  Impl_->updateTableTime(Result.TableTime_, Now);
  Impl_->TableUnreachable_ = Result.Status_ != TransactionStatus::Committed &&
                             Result.Status_ != TransactionStatus::Conflict;
  if (Result.Era_ && *Result.Era_ > Impl_->Era_)
    Impl_->beginEra(*Result.Era_, Now);
  // Built before the table was restored: whatever it did is gone, or concerns
  // rows that no longer count.
  if (Impl_->TransactionEra_ != Impl_->Era_)
    return;
  switch (Result.Status_) {
  case TransactionStatus::Committed:
    Impl_->OutcomeUnknown_ = false;
    Impl_->countGrant(true);
    Impl_->applyCommitted(Result.Version_, Now);
    return;
  case TransactionStatus::Conflict: {
    // Either this transaction took effect earlier and its reply was lost, as
    // the current slice rows show, or another router changed a total.
    if (Impl_->changesTotals())
      Impl_->GrantAccounts_ =
          std::max<std::size_t>(1, Impl_->GrantAccounts_ / 2);
    Impl_->countGrant(false);
    Impl_->rollBack();
    Impl_->OutcomeUnknown_ = false;
    for (const base::Row &Each : Result.Current_) {
      detail::EraKey Split = detail::splitEra(Each.Key_);
      if (Split.Era_ == Impl_->Era_)
        Impl_->adoptRow({std::move(Split.Key_), Each.Version_, Each.Value_},
                        Now);
    }
    Impl_->RowsStale_ = Impl_->RowsStale_ || Impl_->Restored_;
    return;
  }
  case TransactionStatus::NotSent:
  case TransactionStatus::Unavailable:
    Impl_->NextTransactionAt_ = Now + Impl_->Settings_.RetryDelay_;
    if (!Impl_->OutcomeUnknown_)
      Impl_->rollBack();
    return;
  case TransactionStatus::Unknown:
    Impl_->NextTransactionAt_ = Now + Impl_->Settings_.RetryDelay_;
    Impl_->OutcomeUnknown_ = true;
    return;
  }
}

std::vector<EscrowTakeover> Escrow::takeTakeovers() {
  return std::exchange(Impl_->Takeovers_, {});
}

void Escrow::close() {
  // Make buildTransaction() try the final return next. It alternates returns
  // with checkpoints, so after a conflict checkpoints get their turn.
  if (!std::exchange(Impl_->Closing_, true))
    Impl_->LastBuiltGrants_ = false;
}

bool Escrow::closed() const {
  if (!Impl_->Loaded_)
    return true;
  return std::all_of(
      Impl_->Accounts_.begin(), Impl_->Accounts_.end(), [](const auto &Each) {
        const AccountState &State = Each.second;
        return State.Granted_ <= State.used() && !State.PendingCheckpoint_;
      });
}

bool Escrow::loaded() const { return Impl_->Loaded_; }

EscrowRecovery Escrow::recovery() const {
  if (Impl_->Restating_)
    return EscrowRecovery::Restating;
  return Impl_->Restored_ && Impl_->Roster_.has(RosterState::Expected)
             ? EscrowRecovery::AwaitingOthers
             : EscrowRecovery::None;
}

std::uint64_t Escrow::era() const { return Impl_->Era_; }

const std::vector<std::string> &Escrow::peers() const { return Impl_->Peers_; }

std::vector<LenderCandidate> Escrow::lenders(const base::AccountId &Account,
                                             base::Tokens Bound,
                                             base::TimePoint Now) const {
  std::vector<LenderCandidate> Found;
  auto State = Impl_->Accounts_.find(Account);
  if (State == Impl_->Accounts_.end())
    return Found;
  milliseconds Time = Impl_->tableTime(Now);
  for (const auto &[Router, Slice] : State->second.OtherSlices_) {
    auto Address = Impl_->LoanAddresses_.find(Router);
    if (Address == Impl_->LoanAddresses_.end())
      continue;
    std::chrono::duration<double> Age = Time - Slice.Checkpoint_.At_;
    auto SpentSince =
        static_cast<std::int64_t>(std::max(0.0, Age.count()) *
                                  static_cast<double>(Slice.TokensPerSecond_));
    // A lender that reaches the table can raise its ceiling.
    std::int64_t Ceiling = Impl_->canRaiseCeilings(Now)
                               ? Slice.Granted_
                               : Slice.Checkpoint_.ceiling(Time);
    std::int64_t Available = std::min(Slice.Granted_, Ceiling) -
                             Slice.Checkpoint_.Used_ - SpentSince;
    if (Available >= Bound.count())
      Found.push_back({Address->second, base::Tokens(Available)});
  }
  return Found;
}

bool Escrow::isLargeFleet() const { return Impl_->isLargeFleet(); }

std::size_t Escrow::routerCount() const { return Impl_->Routers_; }

void Escrow::setNote(std::string Note) { Impl_->Note_ = std::move(Note); }

const std::map<std::string, std::string> &Escrow::notes() const {
  return Impl_->Notes_;
}

std::optional<base::TimePoint> Escrow::countedAt() const {
  return Impl_->CountedAt_;
}

std::size_t Escrow::routerIndex() const { return Impl_->RoutersBefore_; }

std::chrono::milliseconds Escrow::tableTime(base::TimePoint Now) const {
  return Impl_->tableTime(Now);
}

EscrowStatus Escrow::status(const base::AccountId &Account,
                            base::TimePoint Now) const {
  auto Found = Impl_->Accounts_.find(Account);
  if (Found == Impl_->Accounts_.end())
    return {};
  const AccountState &State = Found->second;
  return {base::Tokens(State.Prepaid_),
          base::Tokens(State.GrantedToAll_),
          base::Tokens(State.Granted_),
          base::Tokens(State.Inherited_ + State.Spent_),
          base::Tokens(State.Reserved_),
          base::Tokens(Impl_->available(State, Now)),
          base::Tokens(Impl::publishedDemand(State, Now)),
          base::Tokens(Impl::publishedDemand(State, Now) +
                       static_cast<std::int64_t>(State.DemandOfOthers_))};
}

const EscrowGrantCounters &Escrow::grantCounters() const {
  return Impl_->GrantCounters_;
}

} // namespace camphorwind::budget
