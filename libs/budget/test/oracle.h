#ifndef CAMPHORWIND_BUDGET_TEST_ORACLE_H
#define CAMPHORWIND_BUDGET_TEST_ORACLE_H

#include "world.h"

#include <bitset>
#include <map>
#include <string>

namespace camphorwind::budget::test {

/// Checks the budgets against the top-ups and the answers delivered to callers,
/// without any knowledge of the protocol. Each check returns a description of
/// the first violation, or an empty string.
class Oracle {
public:
  void topUp(World &Model, const base::BudgetId &Budget, base::Tokens Amount) {
    Accounts_[Budget].Prepaid_ += Amount;
    Model.topUp(Budget, Amount);
  }

  void call(World &Model, std::size_t Router, Call Request) {
    const base::BudgetId Budget = Request.Budget_;
    const base::AttemptId Attempt = Request.Attempt_;
    Accounts_[Budget].InDoubt_[Attempt] = Request.Used_;
    Model.call(Router, std::move(Request),
               [this](const Call &Done, const CallResult &Result) {
                 ended(Done, Result);
               });
  }

  /// Checks the invariants that hold at every step. Returns the first
  /// violation, or an empty string.
  std::string checkStep(World &Model) const {
    for (const auto &[Budget, Expected] : Accounts_) {
      const BudgetRow Row = Model.budget(Budget);
      if (Row.Prepaid_ != Expected.Prepaid_)
        return "prepaid differs from the sum of the top-ups";
      if (Row.Billed_ > Row.Granted_ || Row.Granted_ > Row.Prepaid_)
        return "billed <= granted <= prepaid does not hold";
      base::Tokens Granted = Row.Billed_;
      for (const SliceRow &Slice : slices(Model, Budget))
        Granted += Slice.Granted_;
      if (Granted != Row.Granted_)
        return "billed tokens and slices do not add up to granted";
      const base::Tokens DeliveredAndHeld =
          Expected.Delivered_ + held(Model, Budget);
      if (DeliveredAndHeld > Expected.Prepaid_)
        return "delivered, reserved and available tokens exceed prepaid";
    }
    return {};
  }

  /// Checks what holds once every router has closed and every dead one is
  /// reclaimed.
  std::string checkEnd(World &Model) const {
    if (!Model.table().scan(LeasePrefix).Rows_.empty())
      return checkStranded(Model);
    for (const auto &[Budget, Expected] : Accounts_) {
      const BudgetRow Row = Model.budget(Budget);
      if (Row.Granted_ != Row.Billed_)
        return "granted differs from billed";
      if (!Expected.accountsFor(Row.Billed_))
        return "billed " + std::to_string(Row.Billed_.count()) +
               " but delivered " + std::to_string(Expected.Delivered_.count());
    }
    if (!Model.table().scan(SlicePrefix).Rows_.empty())
      return "a slice outlived its lease";
    return {};
  }

private:
  struct Account {
    base::Tokens Prepaid_;
    base::Tokens Delivered_;
    /// Calls without a last event so far; each is billed once or not at all.
    std::map<base::AttemptId, base::Tokens> InDoubt_;

    /// Whether \p Billed is the delivered tokens plus those of some set of
    /// calls in doubt.
    bool accountsFor(base::Tokens Billed) const {
      constexpr std::size_t MaxUncertainTokens = 1 << 16;
      std::bitset<MaxUncertainTokens> Sums(1);
      for (const auto &[Attempt, Used] : InDoubt_)
        Sums |= Sums << static_cast<std::size_t>(Used.count());
      const std::int64_t Uncertain = (Billed - Delivered_).count();
      return Uncertain >= 0 &&
             Uncertain < static_cast<std::int64_t>(MaxUncertainTokens) &&
             Sums[static_cast<std::size_t>(Uncertain)];
    }
  };

  void ended(const Call &Done, const CallResult &Result) {
    Account &Entry = Accounts_[Done.Budget_];
    if (Result.End_ == CallEnd::Unknown)
      return;
    Entry.InDoubt_.erase(Done.Attempt_);
    if (Result.End_ == CallEnd::Delivered)
      Entry.Delivered_ += Done.Used_;
  }

  static std::vector<SliceRow> slices(World &Model,
                                      const base::BudgetId &Budget) {
    std::vector<SliceRow> Found;
    for (const base::Row &Row : Model.table().scan(SlicePrefix).Rows_) {
      SliceRow Slice = decodeSlice(Row.Value_).value();
      if (Slice.Budget_ == Budget)
        Found.push_back(std::move(Slice));
    }
    return Found;
  }

  /// Returns the available and reserved tokens of all routers whose lease is
  /// live.
  static base::Tokens held(World &Model, const base::BudgetId &Budget) {
    base::Tokens Sum;
    for (std::size_t Router = 0; Router < Model.routers(); ++Router) {
      const base::Row Lease =
          Model.table().at(leaseKey(Model.incarnation(Router)));
      const bool Live =
          Lease.Version_ != 0 &&
          decodeLease(Lease.Value_).value().State_ == LeaseState::Live;
      if (Live)
        Sum += Model.ledger(Router).available(Budget) +
               Model.ledger(Router).reserved(Budget);
    }
    return Sum;
  }

  /// Checks the documented rule that a dead router's slice stays held only
  /// while a witness that has not reported is dead too.
  static std::string checkStranded(World &Model) {
    for (const base::Row &Row : Model.table().scan(LeasePrefix).Rows_) {
      const LeaseRow Lease = decodeLease(Row.Value_).value();
      if (Lease.State_ != LeaseState::Revoked || Lease.Witnesses_.empty())
        return Row.Key_ +
               " remains, not revoked or without a missing witness: " +
               Row.Value_;
      for (const WitnessEntry &Witness : Lease.Witnesses_)
        if (!Model.dead().contains(Witness.Agent_))
          return "slice is stranded although witness " + Witness.Agent_.str() +
                 " is alive";
    }
    return {};
  }

  std::map<base::BudgetId, Account> Accounts_;
};

} // namespace camphorwind::budget::test

#endif // CAMPHORWIND_BUDGET_TEST_ORACLE_H
