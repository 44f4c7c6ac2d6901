#include "camphorwind/budget/escrow.h"

#include "escrow-rows.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <utility>

namespace camphorwind::budget {

namespace {

using detail::Checkpoint;
using detail::SliceRow;
using std::chrono::milliseconds;

/// Accounts in one transaction; each takes up to four of its 100 entries.
constexpr std::size_t MaxAccountsPerTransaction = 20;
/// Fraction of all that is unspent which the routers hold together;
/// the rest stays in the table, where a router that gets an account's callers
/// for the first time finds it within one transaction.
constexpr double HeldShare = 0.7;
/// A router draws when it holds less than this part of its share, and returns
/// tokens when it holds more than the other.
constexpr double RefillRatio = 0.8;
constexpr double ReturnRatio = 1.4;
/// What it keeps then.
constexpr double ReturnTargetRatio = 1.1;
/// Fraction of a budget that is kept for urgent requests at its end: they bring
/// most for a token. It stays in the table, where no killed router strands it.
constexpr double UrgentReserveShare = 0.012;
/// Time over which that part is spent, so that some urgent requests are served
/// all along, and what a router may save up of its part.
constexpr std::chrono::duration<double> UrgentSpendTime{30.0};
constexpr double UrgentBurstTokens = 6000;
/// Smaller corrections, as a part of the budget, are not worth a transaction.
/// All routers may hold as much at the end of a budget, so it is
/// divided among them.
constexpr double MinCorrectionShare = 0.005;
/// Time between two corrections for one account.
constexpr milliseconds GrantInterval{1000};
/// Demand that all routers without requests are credited with together: the
/// budget over this time.
constexpr double IdleDemandSeconds = 4000;
/// Between checkpoints a router may spend this many times its demand, and this
/// many standard deviations of what requests that arrive at random vary by.
/// Higher figures refuse less while the table is away; lower ones strand less
/// with a router that is killed then.
constexpr double CeilingFactor = 1.1;
constexpr double SpreadFactor = 1.3;
/// Weight of one request in the mean size of requests.
constexpr double SizeWeight = 0.1;
/// Rate for an account without demand: what it holds over this time.
constexpr double MinRateDrainSeconds = 400;
/// Tokens that may always be spent at once: a few usual requests. Never more
/// than a part of what all routers have left, since each of them has a burst.
constexpr double MinBurstTokens = 6000;
constexpr double MinBurstShare = 0.04;
/// An account whose budget lasts for less than this at its present demand gets
/// tighter ceilings: what a kill strands then is missing before the day ends.
constexpr std::chrono::duration<double> ScarceTime{20.0};
/// Fraction of a scarce budget that all routers together may spend between
/// checkpoints while the delay lasts, and so the most that a kill of all of
/// them strands if they are back by then.
constexpr double ScarceBurstShare = 0.01;
/// Replaces CeilingFactor for a scarce budget: what the delay held up comes
/// back over a usual outage of 8 s.
constexpr double ScarceCeilingFactor = 1.3;
/// Restarts after a crash or a loss of power took 0.5 to 2.1 s.
constexpr milliseconds ScarceDelay{2200};
/// The mean demand of all routers counts in an estimate like this much time of
/// observation: a router that has seen nothing may be about to.
constexpr std::chrono::duration<double> PriorTime{1.5};
/// A router that was not heard of for this long is not counted.
constexpr milliseconds PresenceTimeout{6000};
/// A router that has nothing else to write shows that it lives.
constexpr milliseconds PresenceInterval{2500};
/// Time between two reads of all rows, in general and while an account is
/// nearly spent.
constexpr milliseconds RowsInterval{700};
constexpr milliseconds RefusalRowsInterval{300};
/// A transaction takes 10 ms; after this time the table is taken to be away.
constexpr milliseconds LateTransactionAge{150};
/// Rows older than this prove nothing about what others hold.
constexpr milliseconds MaxRowsAge{1500};
/// A checkpoint of this age is written again if its ceiling has grown by more
/// than a correction is worth: a kill would strand the difference.
constexpr milliseconds StaleCheckpointAge{2000};
/// Smoothing time of the rate of spending.
constexpr std::chrono::duration<double> DemandSmoothingTime{6.0};
/// Younger averages are taken to be this old.
constexpr std::chrono::duration<double> MinAverageAge{1.0};
/// Age of an average that was taken over: its time has been seen whole.
constexpr std::chrono::seconds InheritedAverageAge{60};

struct AccountState {
  std::int64_t Prepaid_ = 0;
  bool HasBudget_ = false;

  base::RowVersion TotalVersion_ = 0;
  std::int64_t GrantedToAll_ = 0;

  base::RowVersion SliceVersion_ = 0;
  std::int64_t Granted_ = 0;
  /// What processes before this one on the same host may have spent.
  std::int64_t Inherited_ = 0;
  std::int64_t Spent_ = 0;
  std::int64_t Reserved_ = 0;
  /// In force for sure, and perhaps in force.
  std::optional<Checkpoint> ConfirmedCheckpoint_;
  std::optional<Checkpoint> PendingCheckpoint_;
  /// Of the transaction in progress.
  std::int64_t PendingGrant_ = 0;

  /// Largest bound asked for in vain since the last grant.
  std::int64_t RefusedBound_ = 0;
  /// The same of urgent requests that may draw on what is kept for them.
  std::int64_t RefusedUrgentBound_ = 0;
  /// Tokens of the kept part that this router may spend now.
  double UrgentAllowance_ = UrgentBurstTokens;
  base::TimePoint UrgentAllowanceAt_{};
  /// Unspent tokens in the slices of all other routers, from the last read.
  std::int64_t UnspentByOthers_ = 0;
  /// Tokens that all other routers spend a second, from the last read.
  double DemandOfOthers_ = 0;
  /// Means of the size of reservations and of its square.
  double MeanSize_ = 0;
  double MeanSquaredSize_ = 0;
  /// Tokens spent a second, smoothed.
  double Demand_ = 0;
  base::TimePoint DemandAt_{};
  std::optional<base::TimePoint> FirstUseAt_;
  base::TimePoint CheckpointAt_{};
  base::TimePoint GrantAt_{};

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

struct Escrow::Impl {
  explicit Impl(EscrowSettings Settings) : Settings_(std::move(Settings)) {}

  /// Lower bound of the table's clock at \p Now: the local clock may stand
  /// still while the machine is suspended, and never runs ahead.
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

  /// Bounds the table's time at which this process started: when a read was
  /// sent, the table's clock was not beyond what the answer states.
  void boundStartTime(std::optional<milliseconds> Stated,
                      base::TimePoint AskedAt) {
    if (!Stated)
      return;
    milliseconds Bound = *Stated - std::chrono::duration_cast<milliseconds>(
                                       AskedAt - Settings_.StartedAt_);
    MaxStartTime_ = MaxStartTime_ ? std::min(*MaxStartTime_, Bound) : Bound;
  }

  bool isTransactionLate(base::TimePoint Now) const {
    return Running_ && Now - RunningSince_ > LateTransactionAge;
  }

  std::int64_t ceiling(const AccountState &State, base::TimePoint Now) const {
    if (!State.ConfirmedCheckpoint_)
      return 0;
    milliseconds Time = tableTime(Now);
    std::int64_t Ceiling =
        std::min(State.Granted_, State.ConfirmedCheckpoint_->ceiling(Time));
    if (State.PendingCheckpoint_)
      Ceiling = std::min(Ceiling, State.PendingCheckpoint_->ceiling(Time));
    // A budget that was cut below what is granted binds every slice in part.
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

  static std::int64_t urgentReserve(const AccountState &State) {
    return static_cast<std::int64_t>(UrgentReserveShare *
                                     static_cast<double>(State.Prepaid_));
  }

  static void addReservation(AccountState &State, std::int64_t Tokens,
                             base::TimePoint Now) {
    if (!State.FirstUseAt_)
      State.FirstUseAt_ = Now;
    State.Reserved_ += Tokens;
    updateSizeMeans(State, Tokens);
    addDemand(State, Tokens, Now);
  }

  /// Takes from this router's part of what is kept for urgent requests.
  bool takeUrgentAllowance(AccountState &State, std::int64_t Tokens,
                           base::TimePoint Now) const {
    std::chrono::duration<double> Since = Now - State.UrgentAllowanceAt_;
    double Rate = static_cast<double>(urgentReserve(State)) /
                  (UrgentSpendTime.count() * static_cast<double>(Routers_));
    State.UrgentAllowance_ = std::min(
        UrgentBurstTokens, State.UrgentAllowance_ + Rate * Since.count());
    State.UrgentAllowanceAt_ = Now;
    if (static_cast<double>(Tokens) > State.UrgentAllowance_)
      return false;
    State.UrgentAllowance_ -= static_cast<double>(Tokens);
    return true;
  }

  /// What no router has spent, as far as is known here.
  static std::int64_t unspent(const AccountState &State) {
    return std::max<std::int64_t>(0, undrawn(State)) + State.UnspentByOthers_ +
           std::max<std::int64_t>(0, State.Granted_ - State.used());
  }

  /// What this router should hold of all that is unspent.
  double targetTokens(const AccountState &State, base::TimePoint Now) const {
    return HeldShare * static_cast<double>(unspent(State)) *
           demandShare(State, Now);
  }

  /// This router's part of the demand of all; none has no part at all.
  double demandShare(const AccountState &State, base::TimePoint Now) const {
    auto Routers = static_cast<double>(Routers_);
    double Idle =
        static_cast<double>(State.Prepaid_) / (IdleDemandSeconds * Routers) +
        PriorTime / DemandSmoothingTime * meanDemand(State, Now);
    double Own = static_cast<double>(publishedDemand(State, Now)) + Idle;
    double All = Own + State.DemandOfOthers_ + Idle * (Routers - 1);
    return Own / All;
  }

  /// Tokens a second that a router spends on average.
  double meanDemand(const AccountState &State, base::TimePoint Now) const {
    return (demand(State, Now) + State.DemandOfOthers_) /
           static_cast<double>(Routers_);
  }

  /// Demand to expect: what was seen here, and a little of the mean.
  double expectedDemand(const AccountState &State, base::TimePoint Now) const {
    double Seen = observedFraction(State, Now) * DemandSmoothingTime.count();
    return (Seen * demand(State, Now) +
            PriorTime.count() * meanDemand(State, Now)) /
           (Seen + PriorTime.count());
  }

  /// Tokens to draw (above zero) or to return (below zero) now.
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
    // Less than the request needs would serve nobody here, and be missing
    // elsewhere.
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
    double MinDelta = minCorrection(State);
    if (Held < RefillRatio * Target && Target - Held > MinDelta)
      return std::min(Drawable, static_cast<std::int64_t>(Target - Held));
    if (Held > ReturnRatio * Target &&
        Held - ReturnTargetRatio * Target > MinDelta)
      return -static_cast<std::int64_t>(Held - ReturnTargetRatio * Target);
    return 0;
  }

  /// This router's part of what was granted over a budget that was cut.
  std::int64_t surplusAfterCut(const AccountState &State) const {
    double Fraction = static_cast<double>(State.Granted_) /
                      std::max(1.0, static_cast<double>(State.GrantedToAll_));
    return static_cast<std::int64_t>(
        std::ceil(Fraction * static_cast<double>(-undrawn(State))));
  }

  /// Demand as the other routers see it; what was asked for in vain counts.
  static std::int64_t publishedDemand(const AccountState &State,
                                      base::TimePoint Now) {
    return static_cast<std::int64_t>(demand(State, Now) +
                                     static_cast<double>(State.RefusedBound_) /
                                         DemandSmoothingTime.count());
  }

  /// Tokens a second, smoothed.
  static double demand(const AccountState &State, base::TimePoint Now) {
    std::chrono::duration<double> Idle = Now - State.DemandAt_;
    // What a reservation added has decayed when its rest is taken off again.
    double Smoothed =
        std::max(0.0, State.Demand_ * std::exp(-Idle / DemandSmoothingTime));
    return Smoothed / observedFraction(State, Now);
  }

  /// How much of the averaging time has been seen, 0 to 1.
  static double observedFraction(const AccountState &State,
                                 base::TimePoint Now) {
    std::chrono::duration<double> Age = MinAverageAge;
    if (State.FirstUseAt_)
      Age = std::max<std::chrono::duration<double>>(MinAverageAge,
                                                    Now - *State.FirstUseAt_);
    return 1 - std::exp(-Age / DemandSmoothingTime);
  }

  /// Takes over what the process before this one last published.
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

  /// Variance of what independent requests spend in a second, as a multiple of
  /// what they spend on average.
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

  Checkpoint nextCheckpoint(const AccountState &State, std::int64_t Granted,
                            base::TimePoint Now) const {
    std::int64_t Remaining = std::max<std::int64_t>(0, Granted - State.used());
    double Demand = expectedDemand(State, Now);
    double MinBurst =
        std::min(MinBurstTokens, MinBurstShare / static_cast<double>(Routers_) *
                                     static_cast<double>(unspent(State)));
    Checkpoint Next;
    Next.Used_ = State.used();
    Next.At_ = tableTime(Now);
    // Nothing is set aside any more.
    if (Closing_)
      return Next;
    bool Scarce = isScarce(State, Now);
    if (Scarce)
      MinBurst = ScarceBurstShare * static_cast<double>(State.Prepaid_) *
                 demandShare(State, Now);
    Next.Burst_ =
        std::min(Remaining, std::max(static_cast<std::int64_t>(MinBurst),
                                     State.RefusedBound_));
    Next.RatePerSecond_ = static_cast<std::int64_t>(std::ceil(
        std::max((Scarce ? ScarceCeilingFactor : CeilingFactor) * Demand,
                 static_cast<double>(Remaining) / MinRateDrainSeconds)));
    Next.Spread_ = static_cast<std::int64_t>(
        std::ceil(SpreadFactor * std::sqrt(Demand * varianceRatio(State))));
    Next.Delay_ = Scarce ? ScarceDelay : milliseconds(0);
    return Next;
  }

  /// Whether the budget ends soon at the present demand.
  static bool isScarce(const AccountState &State, base::TimePoint Now) {
    double All = demand(State, Now) + State.DemandOfOthers_;
    return static_cast<double>(unspent(State)) < ScarceTime.count() * All;
  }

  base::Duration checkpointInterval() const {
    std::chrono::duration<double> Fair(static_cast<double>(Routers_) /
                                       Settings_.CheckpointsPerSecond_);
    return std::max(Settings_.CheckpointInterval_,
                    std::chrono::duration_cast<base::Duration>(Fair));
  }

  /// Whether the account's slice should change.
  bool needsGrant(const AccountState &State, base::TimePoint Now) const {
    return State.HasBudget_ && grantDelta(State, Now) != 0;
  }

  bool needsCheckpoint(const AccountState &State, base::TimePoint Now) const {
    if (!State.HasBudget_)
      return false;
    std::int64_t Remaining = State.Granted_ - State.used();
    if (!State.ConfirmedCheckpoint_)
      return Remaining > 0 && !Closing_;
    // A return may conflict again and again; this does not.
    if (Closing_)
      return State.Granted_ > 0 && !State.ConfirmedCheckpoint_->isFinal();
    // A request waits that only the ceiling holds up.
    if (State.RefusedBound_ > 0 && State.RefusedBound_ <= Remaining &&
        State.RefusedBound_ > available(State, Now))
      return true;
    base::Duration Age = Now - State.CheckpointAt_;
    if (State.used() != State.ConfirmedCheckpoint_->Used_ ||
        State.RefusedBound_ > 0)
      return Age >= checkpointInterval();
    return Age >= StaleCheckpointAge &&
           static_cast<double>(ceiling(State, Now) - State.used() -
                               State.ConfirmedCheckpoint_->Burst_) >
               minCorrection(State);
  }

  double minCorrection(const AccountState &State) const {
    return MinCorrectionShare * static_cast<double>(State.Prepaid_) /
           static_cast<double>(Routers_);
  }

  /// Grants change rows that routers share and may conflict, so they do not
  /// hold up checkpoints: the two kinds take turns.
  std::optional<base::Transaction> buildTransaction(base::TimePoint Now) {
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
    for (auto &[Account, State] : Accounts_) {
      if (PendingAccounts_.size() >= MaxAccountsPerTransaction)
        break;
      if (Grants ? needsGrant(State, Now) : needsCheckpoint(State, Now))
        addAccount(Account, State, Change, Grants ? grantDelta(State, Now) : 0,
                   Now);
    }
    bool HeartbeatDue =
        !Closing_ && !Grants && Now - LastWriteAt_ >= PresenceInterval;
    if (PendingAccounts_.empty() && !HeartbeatDue)
      return std::nullopt;
    LastWriteAt_ = Now;
    std::string Presence = detail::routerKey(Settings_.Router_);
    if (Closing_)
      Change.Writes_.push_back({std::move(Presence), std::nullopt});
    else
      Change.Writes_.push_back(
          {std::move(Presence),
           detail::encodePresence({tableTime(Now), Settings_.PeerAddress_})});
    return Change;
  }

  void addAccount(const base::AccountId &Account, AccountState &State,
                  base::Transaction &Change, std::int64_t Grant,
                  base::TimePoint Now) {
    std::int64_t Granted = State.Granted_ + Grant;
    std::string Key = detail::sliceKey(Account, Settings_.Router_);
    State.PendingCheckpoint_ = nextCheckpoint(State, Granted, Now);
    State.PendingGrant_ = Grant;
    Change.Conditions_.push_back({Key, State.SliceVersion_});
    Change.Writes_.push_back(
        {std::move(Key),
         detail::encodeSlice({Settings_.Incarnation_.str(), Granted,
                              *State.PendingCheckpoint_,
                              publishedDemand(State, Now)})});
    if (Grant != 0) {
      std::string Total = detail::totalKey(Account);
      Change.Conditions_.push_back({Total, State.TotalVersion_});
      Change.Writes_.push_back(
          {std::move(Total), detail::encodeTotal(State.GrantedToAll_ + Grant)});
    }
    // What is returned must not be spent while the transaction is under way.
    if (Grant < 0)
      State.Granted_ = Granted;
    PendingAccounts_.push_back(Account);
  }

  void applyCommitted(base::RowVersion Version, base::TimePoint Now) {
    for (const base::AccountId &Account : PendingAccounts_) {
      AccountState &State = Accounts_[Account];
      State.SliceVersion_ = Version;
      if (State.PendingGrant_ > 0)
        State.Granted_ += State.PendingGrant_;
      if (State.PendingGrant_ != 0) {
        State.TotalVersion_ = Version;
        State.GrantedToAll_ += State.PendingGrant_;
        State.GrantAt_ = Now;
      }
      State.RefusedBound_ = 0;
      State.RefusedUrgentBound_ = 0;
      State.CheckpointAt_ = Now;
      State.ConfirmedCheckpoint_ =
          std::exchange(State.PendingCheckpoint_, std::nullopt);
      State.PendingGrant_ = 0;
    }
    PendingAccounts_.clear();
  }

  /// Nothing of the transaction in progress took effect.
  void rollBack() {
    for (const base::AccountId &Account : PendingAccounts_) {
      AccountState &State = Accounts_[Account];
      if (State.PendingGrant_ < 0)
        State.Granted_ -= State.PendingGrant_;
      State.PendingCheckpoint_.reset();
      State.PendingGrant_ = 0;
    }
    PendingAccounts_.clear();
  }

  void adoptRow(const base::Row &Found, base::TimePoint Now) {
    if (Found.Key_.starts_with(TotalPrefix)) {
      AccountState &State =
          Accounts_[base::AccountId(Found.Key_.substr(TotalPrefix.size()))];
      if (Found.Version_ <= State.TotalVersion_)
        return;
      State.TotalVersion_ = Found.Version_;
      // An unreadable total grants nothing more.
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
    // A process before this one on the same host, which is gone: what its
    // ceiling allowed counts as spent. Nothing may be spent before a checkpoint
    // of this incarnation stands.
    milliseconds GoneBy = MaxStartTime_.value_or(TableTime_);
    State.Inherited_ =
        std::min(Row->Granted_, Row->Checkpoint_.ceiling(GoneBy));
    State.ConfirmedCheckpoint_.reset();
    Takeovers_.push_back({Account, base::Tokens(Row->Granted_),
                          base::Tokens(Row->Checkpoint_.Used_),
                          base::Tokens(State.Inherited_),
                          GoneBy - Row->Checkpoint_.At_});
    inheritDemand(State, Row->TokensPerSecond_, Now);
  }

  /// Starts behind this router's own name, so that routers prefer others.
  void setPeers(const std::map<std::string, std::string> &AddressByKey) {
    Peers_.clear();
    auto First = AddressByKey.upper_bound(detail::routerKey(Settings_.Router_));
    for (auto Each = First; Each != AddressByKey.end(); ++Each)
      Peers_.push_back(Each->second);
    for (auto Each = AddressByKey.begin(); Each != First; ++Each)
      Peers_.push_back(Each->second);
  }

  /// Another router's slice, as of its last checkpoint.
  static void addOtherSlice(AccountState &State, const SliceRow &Row,
                            milliseconds Time) {
    State.UnspentByOthers_ += Row.Granted_ - Row.Checkpoint_.Used_;
    std::chrono::duration<double> Age = Time - Row.Checkpoint_.At_;
    State.DemandOfOthers_ +=
        static_cast<double>(Row.TokensPerSecond_) *
        std::exp(-std::max(0.0, Age / DemandSmoothingTime));
  }

  EscrowSettings Settings_;
  std::map<base::AccountId, AccountState> Accounts_;
  std::size_t Routers_ = Settings_.ExpectedRouters_;
  std::vector<std::string> Peers_;

  std::optional<base::Transaction> LastTransaction_;
  std::vector<base::AccountId> PendingAccounts_;
  base::TimePoint RunningSince_{};
  base::TimePoint NextTransactionAt_{};
  base::TimePoint LastWriteAt_{};
  base::TimePoint RowsReadAt_{};
  std::vector<EscrowTakeover> Takeovers_;

  /// The table's time by which this process had started.
  std::optional<milliseconds> MaxStartTime_;
  milliseconds TableTime_{0};
  base::TimePoint TableTimeAt_{};
  bool HasTableTime_ = false;

  bool Loaded_ = false;
  bool RowsSeen_ = false;
  bool Closing_ = false;
  bool Running_ = false;
  /// The result of the transaction in progress is not known.
  bool OutcomeUnknown_ = false;
  bool TableUnreachable_ = false;
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
      Impl::undrawn(State) - Missing < Impl::urgentReserve(State);
  bool HasUrgentAllowance = State.RefusedUrgentBound_ >= Requested;
  if (Urgent && NeedsUrgentReserve &&
      (HasUrgentAllowance || Impl_->takeUrgentAllowance(State, Requested, Now)))
    State.RefusedUrgentBound_ = std::max(State.RefusedUrgentBound_, Requested);
  State.RefusedBound_ = std::max(State.RefusedBound_, Requested);
  bool RowsFresh = Impl_->RowsSeen_ && Now - Impl_->RowsReadAt_ < MaxRowsAge;
  if (RowsFresh && Impl::unspent(State) < Requested)
    return base::failure(EscrowRefusal::Spent);
  if (Impl_->TableUnreachable_ || Impl_->isTransactionLate(Now))
    return base::failure(EscrowRefusal::TableUnreachable);
  if (RowsFresh && NeedsUrgentReserve &&
      State.RefusedUrgentBound_ < Requested &&
      Impl::unspent(State) - Requested < Impl::urgentReserve(State))
    return base::failure(EscrowRefusal::KeptForUrgent);
  if (RowsFresh && NeedsUrgentReserve && State.RefusedUrgentBound_ < Requested)
    return base::failure(EscrowRefusal::HeldByOthers);
  return base::failure(EscrowRefusal::NotYetDrawn);
}

void Escrow::settle(const base::AccountId &Account, base::Tokens Bound,
                    base::Tokens Spent, base::TimePoint Now) {
  AccountState &State = Impl_->Accounts_[Account];
  State.Reserved_ -= Bound.count();
  State.Spent_ += Spent.count();
  Impl::addDemand(State, Spent.count() - Bound.count(), Now);
}

bool Escrow::needsRows(base::TimePoint Now) const {
  if (!Impl_->Loaded_ || !Impl_->RowsSeen_)
    return true;
  if (Impl_->Closing_)
    return false;
  base::Duration Age = Now - Impl_->RowsReadAt_;
  if (Age >= RowsInterval)
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
  Impl_->boundStartTime(Read.TableTime_, AskedAt);
  Impl_->updateTableTime(Read.TableTime_, Now);
  milliseconds Time = Impl_->tableTime(Now);
  for (auto &[Account, State] : Impl_->Accounts_) {
    State.UnspentByOthers_ = 0;
    State.DemandOfOthers_ = 0;
    State.RefusedBound_ = 0;
    State.RefusedUrgentBound_ = 0;
  }
  std::map<std::string, std::string> Addresses;
  std::size_t Routers = 0;
  bool OwnListed = false;
  for (const base::Row &Each : Read.Rows_) {
    if (Each.Key_.starts_with(RouterPrefix)) {
      auto Seen = detail::decodePresence(Each.Value_);
      bool Alive = Seen && Time - Seen->At_ < PresenceTimeout;
      bool Own = Each.Key_ == detail::routerKey(Impl_->Settings_.Router_);
      Routers += Alive ? 1 : 0;
      OwnListed = OwnListed || Own;
      if (Alive && !Own && !Seen->Address_.empty())
        Addresses.emplace(Each.Key_, std::move(Seen->Address_));
      continue;
    }
    auto Name = detail::sliceNameFromKey(Each.Key_);
    if (Name && Name->Router_ != Impl_->Settings_.Router_) {
      if (auto Row = detail::decodeSlice(Each.Value_))
        Impl_->addOtherSlice(Impl_->Accounts_[Name->Account_], *Row, Time);
      continue;
    }
    // While a transaction is in doubt, only its own result tells what stands.
    if (!Impl_->Running_ && !Impl_->OutcomeUnknown_)
      Impl_->adoptRow(Each, Now);
  }
  Impl_->Routers_ = std::max(Impl_->Settings_.ExpectedRouters_,
                             Routers + (OwnListed ? 0 : 1));
  Impl_->setPeers(Addresses);
  Impl_->RowsReadAt_ = Now;
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
  switch (Result.Status_) {
  case TransactionStatus::Committed:
    Impl_->OutcomeUnknown_ = false;
    Impl_->applyCommitted(Result.Version_, Now);
    return;
  case TransactionStatus::Conflict: {
    // Either a lost reply's transaction took effect, which the slice rows
    // show, or another router changed a total.
    Impl_->rollBack();
    Impl_->OutcomeUnknown_ = false;
    for (const base::Row &Each : Result.Current_)
      Impl_->adoptRow(Each, Now);
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
  // A return comes first, and checkpoints only if it conflicts.
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

const std::vector<std::string> &Escrow::peers() const { return Impl_->Peers_; }

std::size_t Escrow::routerCount() const { return Impl_->Routers_; }

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
          base::Tokens(Impl_->available(State, Now))};
}

} // namespace camphorwind::budget
