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
/// Part of all that is unspent which the routers hold together; the rest stays
/// in the table, where a router that gets an account's callers for the first
/// time finds it within one transaction.
constexpr double HeldShare = 0.7;
/// A router draws when it holds less than this part of its share, and returns
/// tokens when it holds more than the other.
constexpr double RefillShare = 0.8;
constexpr double ReturnShare = 1.4;
/// What it keeps then.
constexpr double KeepShare = 1.1;
/// Part of a budget that is kept for urgent requests at its end: they bring
/// most for a token. It stays in the table, where no killed router strands it.
constexpr double UrgentShare = 0.012;
/// Time over which that part is spent, so that some urgent requests are served
/// all along, and what a router may save up of its part.
constexpr std::chrono::duration<double> UrgentPace{30.0};
constexpr double UrgentBurst = 6000;
/// Smaller corrections, as a part of the budget, are not worth a transaction.
/// All routers may hold as much at the end of a budget, so it is divided among
/// them.
constexpr double LeastCorrection = 0.005;
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
constexpr double IdleSeconds = 400;
/// Tokens that may always be spent at once: a few usual requests. Never more
/// than a part of what all routers have left, since each of them has a burst.
constexpr double LeastBurst = 6000;
constexpr double LeastBurstShare = 0.04;
/// An account whose budget lasts for less than this at its present demand gets
/// tighter ceilings: what a kill strands then is missing before the day ends.
constexpr std::chrono::duration<double> ScarceTime{20.0};
/// Part of a scarce budget that all routers together may spend between
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
constexpr milliseconds ScarceRowsInterval{300};
/// A transaction takes 10 ms; after this time the table is taken to be away.
constexpr milliseconds LateTransaction{150};
/// Rows older than this prove nothing about what others hold.
constexpr milliseconds EvidenceAge{1500};
/// A checkpoint of this age is written again if its ceiling has grown by more
/// than a correction is worth: a kill would strand the difference.
constexpr milliseconds StaleCheckpoint{2000};
/// Smoothing time of the rate of spending.
constexpr std::chrono::duration<double> DemandAverage{6.0};
/// Younger averages are taken to be this old.
constexpr std::chrono::duration<double> LeastAge{1.0};
/// Age of an average that was taken over: its time has been seen whole.
constexpr std::chrono::seconds InheritedAge{60};

struct AccountState {
  std::int64_t Prepaid_ = 0;
  bool Known_ = false;

  base::RowVersion TotalVersion_ = 0;
  std::int64_t GrantedToAll_ = 0;

  base::RowVersion SliceVersion_ = 0;
  std::int64_t Granted_ = 0;
  /// What processes before this one on the same host may have spent.
  std::int64_t Inherited_ = 0;
  std::int64_t Used_ = 0;
  std::int64_t Held_ = 0;
  /// In force for sure, and perhaps in force.
  std::optional<Checkpoint> Confirmed_;
  std::optional<Checkpoint> Pending_;
  /// Of the transaction in progress.
  std::int64_t PendingGrant_ = 0;

  /// Largest bound asked for in vain since the last grant.
  std::int64_t Wanted_ = 0;
  /// The same of urgent requests that may draw on what is kept for them.
  std::int64_t UrgentWanted_ = 0;
  /// Tokens of the kept part that this router may spend now.
  double UrgentLevel_ = UrgentBurst;
  base::TimePoint UrgentAt_{};
  /// Unspent tokens in the slices of all other routers, from the last read.
  std::int64_t HeldByOthers_ = 0;
  /// Tokens that all other routers spend a second, from the last read.
  double DemandOfOthers_ = 0;
  /// Means of the size of reservations and of its square.
  double Size_ = 0;
  double SquaredSize_ = 0;
  /// Tokens spent a second, smoothed.
  double Demand_ = 0;
  base::TimePoint DemandAt_{};
  std::optional<base::TimePoint> FirstUseAt_;
  base::TimePoint CheckpointAt_{};
  base::TimePoint GrantAt_{};

  std::int64_t used() const { return Inherited_ + Used_ + Held_; }
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

  void noteTableTime(std::optional<milliseconds> Stated, base::TimePoint Now) {
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
  void noteStart(std::optional<milliseconds> Stated, base::TimePoint AskedAt) {
    if (!Stated)
      return;
    milliseconds Bound = *Stated - std::chrono::duration_cast<milliseconds>(
                                       AskedAt - Settings_.StartedAt_);
    StartedBy_ = StartedBy_ ? std::min(*StartedBy_, Bound) : Bound;
  }

  bool isLate(base::TimePoint Now) const {
    return Running_ && Now - RunningSince_ > LateTransaction;
  }

  std::int64_t ceiling(const AccountState &Of, base::TimePoint Now) const {
    if (!Of.Confirmed_)
      return 0;
    milliseconds Time = tableTime(Now);
    std::int64_t Most = std::min(Of.Granted_, Of.Confirmed_->ceiling(Time));
    if (Of.Pending_)
      Most = std::min(Most, Of.Pending_->ceiling(Time));
    // A budget that was cut below what is granted binds every slice in part.
    if (Of.GrantedToAll_ > Of.Prepaid_ && Of.GrantedToAll_ > 0) {
      double Part = static_cast<double>(Of.Prepaid_) /
                    static_cast<double>(Of.GrantedToAll_);
      Most = std::min(Most, static_cast<std::int64_t>(
                                Part * static_cast<double>(Of.Granted_)));
    }
    return Most;
  }

  std::int64_t available(const AccountState &Of, base::TimePoint Now) const {
    return std::max<std::int64_t>(0, ceiling(Of, Now) - Of.used());
  }

  static std::int64_t undrawn(const AccountState &Of) {
    return Of.Prepaid_ - Of.GrantedToAll_;
  }

  static std::int64_t keptBack(const AccountState &Of) {
    return static_cast<std::int64_t>(UrgentShare *
                                     static_cast<double>(Of.Prepaid_));
  }

  static void hold(AccountState &Of, std::int64_t Tokens, base::TimePoint Now) {
    if (!Of.FirstUseAt_)
      Of.FirstUseAt_ = Now;
    Of.Held_ += Tokens;
    noteSize(Of, Tokens);
    noteDemand(Of, Tokens, Now);
  }

  /// Takes from this router's part of what is kept for urgent requests.
  bool takeUrgent(AccountState &Of, std::int64_t Tokens,
                  base::TimePoint Now) const {
    std::chrono::duration<double> Since = Now - Of.UrgentAt_;
    double Rate = static_cast<double>(keptBack(Of)) /
                  (UrgentPace.count() * static_cast<double>(Routers_));
    Of.UrgentLevel_ =
        std::min(UrgentBurst, Of.UrgentLevel_ + Rate * Since.count());
    Of.UrgentAt_ = Now;
    if (static_cast<double>(Tokens) > Of.UrgentLevel_)
      return false;
    Of.UrgentLevel_ -= static_cast<double>(Tokens);
    return true;
  }

  /// What no router has spent, as far as is known here.
  static std::int64_t unspent(const AccountState &Of) {
    return std::max<std::int64_t>(0, undrawn(Of)) + Of.HeldByOthers_ +
           std::max<std::int64_t>(0, Of.Granted_ - Of.used());
  }

  /// What this router should hold of all that is unspent.
  double share(const AccountState &Of, base::TimePoint Now) const {
    return HeldShare * static_cast<double>(unspent(Of)) * partOfDemand(Of, Now);
  }

  /// This router's part of the demand of all; none has no part at all.
  double partOfDemand(const AccountState &Of, base::TimePoint Now) const {
    auto Routers = static_cast<double>(Routers_);
    double Idle =
        static_cast<double>(Of.Prepaid_) / (IdleDemandSeconds * Routers) +
        PriorTime / DemandAverage * meanDemand(Of, Now);
    double Own = static_cast<double>(publishedDemand(Of, Now)) + Idle;
    double All = Own + Of.DemandOfOthers_ + Idle * (Routers - 1);
    return Own / All;
  }

  /// Tokens a second that a router spends on average.
  double meanDemand(const AccountState &Of, base::TimePoint Now) const {
    return (demand(Of, Now) + Of.DemandOfOthers_) /
           static_cast<double>(Routers_);
  }

  /// Demand to expect: what was seen here, and a little of the mean.
  double expectedDemand(const AccountState &Of, base::TimePoint Now) const {
    double Seen = observedPart(Of, Now) * DemandAverage.count();
    return (Seen * demand(Of, Now) + PriorTime.count() * meanDemand(Of, Now)) /
           (Seen + PriorTime.count());
  }

  /// Tokens to draw (above zero) or to return (below zero) now.
  std::int64_t grantFor(const AccountState &Of, base::TimePoint Now) const {
    std::int64_t Rest = Of.Granted_ - Of.used();
    if (Closing_)
      return -Rest;
    std::int64_t Left = undrawn(Of);
    if (Left < 0)
      return -std::min(Rest, surplusAfterCut(Of));
    if (Of.UrgentWanted_ > Rest && Of.UrgentWanted_ - Rest <= Left)
      return Of.UrgentWanted_ - Rest;
    Left = std::max<std::int64_t>(0, Left - keptBack(Of));
    // Less than the request needs would serve nobody here, and be missing
    // elsewhere.
    if (Of.Wanted_ > Rest && Of.Wanted_ - Rest <= Left)
      return std::min(
          Left, std::max(Of.Wanted_ - Rest,
                         static_cast<std::int64_t>(share(Of, Now)) - Rest));
    if (Now - Of.GrantAt_ < GrantInterval && Of.Confirmed_)
      return 0;
    double Share = share(Of, Now);
    auto Held = static_cast<double>(Rest);
    double Least = leastCorrection(Of);
    if (Held < RefillShare * Share && Share - Held > Least)
      return std::min(Left, static_cast<std::int64_t>(Share - Held));
    if (Held > ReturnShare * Share && Held - KeepShare * Share > Least)
      return -static_cast<std::int64_t>(Held - KeepShare * Share);
    return 0;
  }

  /// This router's part of what was granted over a budget that was cut.
  std::int64_t surplusAfterCut(const AccountState &Of) const {
    double Part = static_cast<double>(Of.Granted_) /
                  std::max(1.0, static_cast<double>(Of.GrantedToAll_));
    return static_cast<std::int64_t>(
        std::ceil(Part * static_cast<double>(-undrawn(Of))));
  }

  /// Demand as the other routers see it; what was asked for in vain counts.
  static std::int64_t publishedDemand(const AccountState &Of,
                                      base::TimePoint Now) {
    return static_cast<std::int64_t>(demand(Of, Now) +
                                     static_cast<double>(Of.Wanted_) /
                                         DemandAverage.count());
  }

  /// Tokens a second, smoothed.
  static double demand(const AccountState &Of, base::TimePoint Now) {
    std::chrono::duration<double> Idle = Now - Of.DemandAt_;
    // What a reservation added has decayed when its rest is taken off again.
    double Smoothed =
        std::max(0.0, Of.Demand_ * std::exp(-Idle / DemandAverage));
    return Smoothed / observedPart(Of, Now);
  }

  /// How much of the averaging time has been seen, 0 to 1.
  static double observedPart(const AccountState &Of, base::TimePoint Now) {
    std::chrono::duration<double> Age = LeastAge;
    if (Of.FirstUseAt_)
      Age = std::max<std::chrono::duration<double>>(LeastAge,
                                                    Now - *Of.FirstUseAt_);
    return 1 - std::exp(-Age / DemandAverage);
  }

  /// Takes over what the process before this one last published.
  static void inheritDemand(AccountState &Of, std::int64_t TokensPerSecond,
                            base::TimePoint Now) {
    if (Of.FirstUseAt_ || TokensPerSecond <= 0)
      return;
    Of.Demand_ = static_cast<double>(TokensPerSecond);
    Of.DemandAt_ = Now;
    Of.FirstUseAt_ = Now - InheritedAge;
  }

  static void noteDemand(AccountState &Of, std::int64_t Tokens,
                         base::TimePoint Now) {
    std::chrono::duration<double> Idle = Now - Of.DemandAt_;
    Of.Demand_ = Of.Demand_ * std::exp(-Idle / DemandAverage) +
                 static_cast<double>(Tokens) / DemandAverage.count();
    Of.DemandAt_ = Now;
  }

  /// Variance of what independent requests spend in a second, as a multiple of
  /// what they spend on average.
  static double sizeRatio(const AccountState &Of) {
    return Of.Size_ > 0 ? Of.SquaredSize_ / Of.Size_ : LeastBurst;
  }

  static void noteSize(AccountState &Of, std::int64_t Tokens) {
    auto Size = static_cast<double>(Tokens);
    Of.Size_ += SizeWeight * (Size - Of.Size_);
    Of.SquaredSize_ += SizeWeight * (Size * Size - Of.SquaredSize_);
  }

  Checkpoint nextCheckpoint(const AccountState &Of, std::int64_t Granted,
                            base::TimePoint Now) const {
    std::int64_t Rest = std::max<std::int64_t>(0, Granted - Of.used());
    double Demand = expectedDemand(Of, Now);
    double Least =
        std::min(LeastBurst, LeastBurstShare / static_cast<double>(Routers_) *
                                 static_cast<double>(unspent(Of)));
    Checkpoint Next;
    Next.Used_ = Of.used();
    Next.At_ = tableTime(Now);
    // Nothing is set aside any more.
    if (Closing_)
      return Next;
    bool Scarce = isScarce(Of, Now);
    if (Scarce)
      Least = ScarceBurstShare * static_cast<double>(Of.Prepaid_) *
              partOfDemand(Of, Now);
    Next.Burst_ =
        std::min(Rest, std::max(static_cast<std::int64_t>(Least), Of.Wanted_));
    Next.RatePerSecond_ = static_cast<std::int64_t>(std::ceil(
        std::max((Scarce ? ScarceCeilingFactor : CeilingFactor) * Demand,
                 static_cast<double>(Rest) / IdleSeconds)));
    Next.Spread_ = static_cast<std::int64_t>(
        std::ceil(SpreadFactor * std::sqrt(Demand * sizeRatio(Of))));
    Next.Delay_ = Scarce ? ScarceDelay : milliseconds(0);
    return Next;
  }

  /// Whether the budget ends soon at the present demand.
  static bool isScarce(const AccountState &Of, base::TimePoint Now) {
    double All = demand(Of, Now) + Of.DemandOfOthers_;
    return static_cast<double>(unspent(Of)) < ScarceTime.count() * All;
  }

  base::Duration checkpointInterval() const {
    std::chrono::duration<double> Fair(static_cast<double>(Routers_) /
                                       Settings_.CheckpointsPerSecond_);
    return std::max(Settings_.CheckpointInterval_,
                    std::chrono::duration_cast<base::Duration>(Fair));
  }

  /// Whether the account's slice should change.
  bool wantsGrant(const AccountState &Of, base::TimePoint Now) const {
    return Of.Known_ && grantFor(Of, Now) != 0;
  }

  bool wantsCheckpoint(const AccountState &Of, base::TimePoint Now) const {
    if (!Of.Known_)
      return false;
    std::int64_t Rest = Of.Granted_ - Of.used();
    if (!Of.Confirmed_)
      return Rest > 0 && !Closing_;
    // A return may conflict again and again; this does not.
    if (Closing_)
      return Of.Granted_ > 0 && !Of.Confirmed_->allowsNothingMore();
    // A request waits that only the ceiling holds up.
    if (Of.Wanted_ > 0 && Of.Wanted_ <= Rest && Of.Wanted_ > available(Of, Now))
      return true;
    base::Duration Age = Now - Of.CheckpointAt_;
    if (Of.used() != Of.Confirmed_->Used_ || Of.Wanted_ > 0)
      return Age >= checkpointInterval();
    return Age >= StaleCheckpoint &&
           static_cast<double>(ceiling(Of, Now) - Of.used() -
                               Of.Confirmed_->Burst_) > leastCorrection(Of);
  }

  double leastCorrection(const AccountState &Of) const {
    return LeastCorrection * static_cast<double>(Of.Prepaid_) /
           static_cast<double>(Routers_);
  }

  /// Grants change rows that routers share and may conflict, so they do not
  /// hold up checkpoints: the two kinds take turns.
  std::optional<base::Transaction> build(base::TimePoint Now) {
    for (int Kind = 0; Kind < 2; ++Kind) {
      GrantsNext_ = !GrantsNext_;
      if (auto Change = buildOne(GrantsNext_, Now))
        return Change;
    }
    return std::nullopt;
  }

  std::optional<base::Transaction> buildOne(bool Grants, base::TimePoint Now) {
    base::Transaction Change;
    InProgress_.clear();
    for (auto &[Account, Of] : Accounts_) {
      if (InProgress_.size() >= MaxAccountsPerTransaction)
        break;
      if (Grants ? wantsGrant(Of, Now) : wantsCheckpoint(Of, Now))
        addAccount(Account, Of, Change, Grants ? grantFor(Of, Now) : 0, Now);
    }
    bool Unseen = !Closing_ && !Grants && Now - WroteAt_ >= PresenceInterval;
    if (InProgress_.empty() && !Unseen)
      return std::nullopt;
    WroteAt_ = Now;
    std::string Presence = detail::routerKey(Settings_.Router_);
    if (Closing_)
      Change.Writes_.push_back({std::move(Presence), std::nullopt});
    else
      Change.Writes_.push_back(
          {std::move(Presence),
           detail::encodePresence({tableTime(Now), Settings_.PeerAddress_})});
    return Change;
  }

  void addAccount(const base::AccountId &Account, AccountState &Of,
                  base::Transaction &Change, std::int64_t Grant,
                  base::TimePoint Now) {
    std::int64_t Granted = Of.Granted_ + Grant;
    std::string Key = detail::sliceKey(Account, Settings_.Router_);
    Of.Pending_ = nextCheckpoint(Of, Granted, Now);
    Of.PendingGrant_ = Grant;
    Change.Conditions_.push_back({Key, Of.SliceVersion_});
    Change.Writes_.push_back(
        {std::move(Key),
         detail::encodeSlice({Settings_.Incarnation_.str(), Granted,
                              *Of.Pending_, publishedDemand(Of, Now)})});
    if (Grant != 0) {
      std::string Total = detail::totalKey(Account);
      Change.Conditions_.push_back({Total, Of.TotalVersion_});
      Change.Writes_.push_back(
          {std::move(Total), detail::encodeTotal(Of.GrantedToAll_ + Grant)});
    }
    // What is returned must not be spent while the transaction is under way.
    if (Grant < 0)
      Of.Granted_ = Granted;
    InProgress_.push_back(Account);
  }

  void commit(base::RowVersion Version, base::TimePoint Now) {
    for (const base::AccountId &Account : InProgress_) {
      AccountState &Of = Accounts_[Account];
      Of.SliceVersion_ = Version;
      if (Of.PendingGrant_ > 0)
        Of.Granted_ += Of.PendingGrant_;
      if (Of.PendingGrant_ != 0) {
        Of.TotalVersion_ = Version;
        Of.GrantedToAll_ += Of.PendingGrant_;
        Of.GrantAt_ = Now;
      }
      Of.Wanted_ = 0;
      Of.UrgentWanted_ = 0;
      Of.CheckpointAt_ = Now;
      Of.Confirmed_ = std::exchange(Of.Pending_, std::nullopt);
      Of.PendingGrant_ = 0;
    }
    InProgress_.clear();
  }

  /// Nothing of the transaction in progress took effect.
  void rollBack() {
    for (const base::AccountId &Account : InProgress_) {
      AccountState &Of = Accounts_[Account];
      if (Of.PendingGrant_ < 0)
        Of.Granted_ -= Of.PendingGrant_;
      Of.Pending_.reset();
      Of.PendingGrant_ = 0;
    }
    InProgress_.clear();
  }

  void adopt(const base::Row &Found, base::TimePoint Now) {
    if (Found.Key_.starts_with(TotalPrefix)) {
      AccountState &Of =
          Accounts_[base::AccountId(Found.Key_.substr(TotalPrefix.size()))];
      if (Found.Version_ <= Of.TotalVersion_)
        return;
      Of.TotalVersion_ = Found.Version_;
      // An unreadable total grants nothing more.
      Of.GrantedToAll_ =
          detail::decodeTotal(Found.Value_).value_or(Of.Prepaid_);
      return;
    }
    auto Name = detail::sliceNameFromKey(Found.Key_);
    if (Name && Name->Router_ == Settings_.Router_)
      adoptSlice(Name->Account_, Found, Now);
  }

  void adoptSlice(const base::AccountId &Account, const base::Row &Found,
                  base::TimePoint Now) {
    AccountState &Of = Accounts_[Account];
    if (Found.Version_ <= Of.SliceVersion_)
      return;
    Of.SliceVersion_ = Found.Version_;
    auto Row = detail::decodeSlice(Found.Value_);
    if (!Row) {
      Of.Granted_ = 0;
      Of.Confirmed_.reset();
      return;
    }
    Of.Granted_ = Row->Granted_;
    if (Row->Incarnation_ == Settings_.Incarnation_.str()) {
      Of.Confirmed_ = Row->Checkpoint_;
      return;
    }
    // A process before this one on the same host, which is gone: what its
    // ceiling allowed counts as spent. Nothing may be spent before a checkpoint
    // of this incarnation stands.
    milliseconds GoneBy = StartedBy_.value_or(TableTime_);
    Of.Inherited_ = std::min(Row->Granted_, Row->Checkpoint_.ceiling(GoneBy));
    Of.Confirmed_.reset();
    Takeovers_.push_back({Account, base::Tokens(Row->Granted_),
                          base::Tokens(Row->Checkpoint_.Used_),
                          base::Tokens(Of.Inherited_),
                          GoneBy - Row->Checkpoint_.At_});
    inheritDemand(Of, Row->TokensPerSecond_, Now);
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
  static void noteOther(AccountState &Of, const SliceRow &Row,
                        milliseconds Time) {
    Of.HeldByOthers_ += Row.Granted_ - Row.Checkpoint_.Used_;
    std::chrono::duration<double> Age = Time - Row.Checkpoint_.At_;
    Of.DemandOfOthers_ += static_cast<double>(Row.TokensPerSecond_) *
                          std::exp(-std::max(0.0, Age / DemandAverage));
  }

  EscrowSettings Settings_;
  std::map<base::AccountId, AccountState> Accounts_;
  std::size_t Routers_ = Settings_.ExpectedRouters_;
  std::vector<std::string> Peers_;

  std::optional<base::Transaction> Last_;
  std::vector<base::AccountId> InProgress_;
  base::TimePoint RunningSince_{};
  base::TimePoint NotBefore_{};
  base::TimePoint WroteAt_{};
  base::TimePoint RowsAt_{};
  std::vector<EscrowTakeover> Takeovers_;

  /// The table's time by which this process had started.
  std::optional<milliseconds> StartedBy_;
  milliseconds TableTime_{0};
  base::TimePoint TableTimeAt_{};
  bool HasTableTime_ = false;

  bool Loaded_ = false;
  bool RowsSeen_ = false;
  bool Closing_ = false;
  bool Running_ = false;
  /// The result of the transaction in progress is not known.
  bool Doubtful_ = false;
  bool Unreachable_ = false;
  bool GrantsNext_ = false;
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
  AccountState &Of = Impl_->Accounts_[Account];
  Of.Known_ = true;
  Of.Prepaid_ = Prepaid.count();
}

base::Result<void, EscrowRefusal>
Escrow::reserve(const base::AccountId &Account, base::Tokens Bound, bool Urgent,
                base::TimePoint Now) {
  if (!Impl_->Loaded_)
    return base::failure(EscrowRefusal::NotLoaded);
  if (Impl_->Closing_)
    return base::failure(EscrowRefusal::HeldByOthers);
  AccountState &Of = Impl_->Accounts_[Account];
  std::int64_t Wanted = Bound.count();
  if (Wanted <= Impl_->available(Of, Now)) {
    Impl::hold(Of, Wanted, Now);
    return base::success();
  }
  std::int64_t Missing = Wanted - (Of.Granted_ - Of.used());
  bool NeedsKept = Impl::undrawn(Of) - Missing < Impl::keptBack(Of);
  bool AlreadyAsked = Of.UrgentWanted_ >= Wanted;
  if (Urgent && NeedsKept &&
      (AlreadyAsked || Impl_->takeUrgent(Of, Wanted, Now)))
    Of.UrgentWanted_ = std::max(Of.UrgentWanted_, Wanted);
  Of.Wanted_ = std::max(Of.Wanted_, Wanted);
  bool Fresh = Impl_->RowsSeen_ && Now - Impl_->RowsAt_ < EvidenceAge;
  if (Fresh && Impl::unspent(Of) < Wanted)
    return base::failure(EscrowRefusal::Spent);
  if (Impl_->Unreachable_ || Impl_->isLate(Now))
    return base::failure(EscrowRefusal::TableUnreachable);
  if (Fresh && NeedsKept && Of.UrgentWanted_ < Wanted &&
      Impl::unspent(Of) - Wanted < Impl::keptBack(Of))
    return base::failure(EscrowRefusal::KeptForUrgent);
  if (Fresh && NeedsKept && Of.UrgentWanted_ < Wanted)
    return base::failure(EscrowRefusal::HeldByOthers);
  return base::failure(EscrowRefusal::NotYetDrawn);
}

void Escrow::settle(const base::AccountId &Account, base::Tokens Bound,
                    base::Tokens Spent, base::TimePoint Now) {
  AccountState &Of = Impl_->Accounts_[Account];
  Of.Held_ -= Bound.count();
  Of.Used_ += Spent.count();
  Impl::noteDemand(Of, Spent.count() - Bound.count(), Now);
}

bool Escrow::needsRows(base::TimePoint Now) const {
  if (!Impl_->Loaded_ || !Impl_->RowsSeen_)
    return true;
  if (Impl_->Closing_)
    return false;
  base::Duration Age = Now - Impl_->RowsAt_;
  if (Age >= RowsInterval)
    return true;
  return Age >= ScarceRowsInterval &&
         std::any_of(Impl_->Accounts_.begin(), Impl_->Accounts_.end(),
                     [](const auto &Each) { return Each.second.Wanted_ > 0; });
}

void Escrow::onRows(const base::ReadResult &Read, base::TimePoint AskedAt,
                    base::TimePoint Now) {
  Impl_->Unreachable_ = Read.Status_ != base::ReadStatus::Ok;
  if (Impl_->Unreachable_)
    return;
  Impl_->noteStart(Read.TableTime_, AskedAt);
  Impl_->noteTableTime(Read.TableTime_, Now);
  milliseconds Time = Impl_->tableTime(Now);
  for (auto &[Account, Of] : Impl_->Accounts_) {
    Of.HeldByOthers_ = 0;
    Of.DemandOfOthers_ = 0;
    Of.Wanted_ = 0;
    Of.UrgentWanted_ = 0;
  }
  std::map<std::string, std::string> Addresses;
  std::size_t Routers = 0;
  bool Listed = false;
  for (const base::Row &Each : Read.Rows_) {
    if (Each.Key_.starts_with(RouterPrefix)) {
      auto Seen = detail::decodePresence(Each.Value_);
      bool Lives = Seen && Time - Seen->At_ < PresenceTimeout;
      bool Own = Each.Key_ == detail::routerKey(Impl_->Settings_.Router_);
      Routers += Lives ? 1 : 0;
      Listed = Listed || Own;
      if (Lives && !Own && !Seen->Address_.empty())
        Addresses.emplace(Each.Key_, std::move(Seen->Address_));
      continue;
    }
    auto Name = detail::sliceNameFromKey(Each.Key_);
    if (Name && Name->Router_ != Impl_->Settings_.Router_) {
      if (auto Row = detail::decodeSlice(Each.Value_))
        Impl_->noteOther(Impl_->Accounts_[Name->Account_], *Row, Time);
      continue;
    }
    // While a transaction is in doubt, only its own result tells what stands.
    if (!Impl_->Running_ && !Impl_->Doubtful_)
      Impl_->adopt(Each, Now);
  }
  Impl_->Routers_ =
      std::max(Impl_->Settings_.ExpectedRouters_, Routers + (Listed ? 0 : 1));
  Impl_->setPeers(Addresses);
  Impl_->RowsAt_ = Now;
  Impl_->RowsSeen_ = true;
  Impl_->Loaded_ = true;
}

std::optional<base::Transaction> Escrow::nextTransaction(base::TimePoint Now) {
  if (!Impl_->Loaded_ || Impl_->Running_ || Now < Impl_->NotBefore_)
    return std::nullopt;
  if (!Impl_->Doubtful_)
    Impl_->Last_ = Impl_->build(Now);
  if (!Impl_->Last_)
    return std::nullopt;
  Impl_->Running_ = true;
  Impl_->RunningSince_ = Now;
  Impl_->NotBefore_ = Now + Impl_->Settings_.MinTransactionInterval_;
  return Impl_->Last_;
}

void Escrow::onTransaction(const base::TransactionResult &Result,
                           base::TimePoint Now) {
  using base::TransactionStatus;
  Impl_->Running_ = false;
  Impl_->noteTableTime(Result.TableTime_, Now);
  Impl_->Unreachable_ = Result.Status_ != TransactionStatus::Committed &&
                        Result.Status_ != TransactionStatus::Conflict;
  switch (Result.Status_) {
  case TransactionStatus::Committed:
    Impl_->Doubtful_ = false;
    Impl_->commit(Result.Version_, Now);
    return;
  case TransactionStatus::Conflict: {
    // Either a lost reply's transaction took effect, which the slice rows
    // show, or another router changed a total.
    Impl_->rollBack();
    Impl_->Doubtful_ = false;
    for (const base::Row &Each : Result.Current_)
      Impl_->adopt(Each, Now);
    return;
  }
  case TransactionStatus::NotSent:
  case TransactionStatus::Unavailable:
    Impl_->NotBefore_ = Now + Impl_->Settings_.RetryDelay_;
    if (!Impl_->Doubtful_)
      Impl_->rollBack();
    return;
  case TransactionStatus::Unknown:
    Impl_->NotBefore_ = Now + Impl_->Settings_.RetryDelay_;
    Impl_->Doubtful_ = true;
    return;
  }
}

std::vector<EscrowTakeover> Escrow::takeTakeovers() {
  return std::exchange(Impl_->Takeovers_, {});
}

void Escrow::close() {
  // A return comes first, and checkpoints only if it conflicts.
  if (!std::exchange(Impl_->Closing_, true))
    Impl_->GrantsNext_ = false;
}

bool Escrow::closed() const {
  if (!Impl_->Loaded_)
    return true;
  return std::all_of(Impl_->Accounts_.begin(), Impl_->Accounts_.end(),
                     [](const auto &Each) {
                       const AccountState &Of = Each.second;
                       return Of.Granted_ <= Of.used() && !Of.Pending_;
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
  const AccountState &Of = Found->second;
  return {base::Tokens(Of.Prepaid_), base::Tokens(Of.GrantedToAll_),
          base::Tokens(Of.Granted_), base::Tokens(Of.Inherited_ + Of.Used_),
          base::Tokens(Of.Held_),    base::Tokens(Impl_->available(Of, Now))};
}

} // namespace camphorwind::budget
