#ifndef CAMPHORWIND_BUDGET_LOANS_H
#define CAMPHORWIND_BUDGET_LOANS_H

#include "camphorwind/base/ids.h"
#include "camphorwind/base/random.h"
#include "camphorwind/base/time.h"
#include "camphorwind/base/tokens.h"
#include "camphorwind/budget/escrow.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <utility>
#include <vector>

/// Loans of prepaid tokens between routers.
///
/// Many routers share a budget, so a slice may be smaller than one request. A
/// router that lacks tokens reserves them in another router's slice, for one
/// request. The lender counts the whole bound as reserved before it answers, so
/// a loan is as safe as a reservation of its own: whatever message is lost,
/// late or repeated, the tokens can only be counted as spent without need.
namespace camphorwind::budget {

/// Tokens that another router wants to reserve for one request.
struct LoanRequest {
  /// Unique among all processes; a repeated request has the same id.
  std::string Id_;
  base::AccountId Account_;
  base::Tokens Bound_;
  bool Urgent_ = false;
  /// Time within which the borrower's request ends.
  std::chrono::milliseconds TimeLeft_{0};
};

/// The loans that a router has granted.
class Lender {
public:
  /// Time after the end of the borrower's request for its settlement to arrive.
  static constexpr std::chrono::milliseconds SettlementGrace{3000};

  /// Reserves the tokens if this router's slice covers them. Repeating a
  /// request changes nothing. Refuses ids that have been settled.
  bool lend(Escrow &Slices, const LoanRequest &Request, base::TimePoint Now);
  /// Ends a loan of which \p Spent tokens were spent. Ignores unknown ids.
  void settle(Escrow &Slices, const std::string &Id, base::Tokens Spent,
              base::TimePoint Now);
  /// Ends loans that were not settled in time; all their tokens count as spent.
  /// Returns their number.
  std::size_t expire(Escrow &Slices, base::TimePoint Now);
  std::size_t openLoans() const { return Loans_.size(); }

private:
  struct Loan {
    base::AccountId Account_;
    base::Tokens Bound_;
    base::TimePoint ExpiresAt_;
  };

  std::map<std::string, Loan> Loans_;
  /// Ids that were settled, each until its request can no longer arrive.
  std::map<std::string, base::TimePoint> Settled_;
};

/// Chooses which routers to ask for a loan.
class LenderChoice {
public:
  /// Maximum number of routers to ask for one request, one after another.
  static constexpr std::size_t MaxLenders = 3;

  /// Returns addresses to ask, in this order. Lenders with more tokens are
  /// preferred at random, so that many borrowers do not all ask the same one.
  std::vector<std::string>
  choose(const base::AccountId &Account, base::Tokens Bound,
         const std::vector<LenderCandidate> &Candidates, base::Random &Random,
         base::TimePoint Now);
  /// Records what a lender said it could lend after its answer.
  void reported(const base::AccountId &Account, const std::string &Address,
                base::Tokens Available, base::TimePoint Now);
  /// Records that a lender did not answer.
  void unreachable(const std::string &Address, base::TimePoint Now);

private:
  struct Report {
    base::Tokens Available_;
    base::TimePoint At_;
  };

  std::map<std::pair<base::AccountId, std::string>, Report> Reports_;
  std::map<std::string, base::TimePoint> AvoidUntil_;
};

} // namespace camphorwind::budget

#endif // CAMPHORWIND_BUDGET_LOANS_H
