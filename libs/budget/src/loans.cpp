#include "camphorwind/budget/loans.h"

#include <algorithm>
#include <random>

namespace camphorwind::budget {

namespace {

using namespace std::chrono_literals;

/// A lender's statement replaces the estimate from its row for this long.
constexpr auto ReportLifetime = 300ms;
/// A lender that did not answer is not asked again for this long.
constexpr auto AvoidTime = 2s;

} // namespace

bool Lender::lend(Escrow &Slices, const LoanRequest &Request,
                  base::TimePoint Now) {
  if (Loans_.contains(Request.Id_))
    return true;
  if (Settled_.contains(Request.Id_))
    return false;
  if (!Slices.lend(Request.Account_, Request.Bound_, Now))
    return false;
  Loans_.emplace(Request.Id_, Loan{Request.Account_, Request.Bound_,
                                   Now + Request.TimeLeft_ + SettlementGrace});
  return true;
}

void Lender::settle(Escrow &Slices, const std::string &Id, base::Tokens Spent,
                    base::TimePoint Now) {
  // The request for the loan may arrive after its settlement.
  Settled_.insert_or_assign(Id, Now + SettlementGrace);
  auto Found = Loans_.find(Id);
  if (Found == Loans_.end())
    return;
  const Loan &Ended = Found->second;
  Slices.settleLent(Ended.Account_, Ended.Bound_,
                    std::clamp(Spent, base::Tokens(0), Ended.Bound_));
  Loans_.erase(Found);
}

std::size_t Lender::expire(Escrow &Slices, base::TimePoint Now) {
  std::erase_if(Settled_,
                [Now](const auto &Each) { return Now >= Each.second; });
  return std::erase_if(Loans_, [&](const auto &Each) {
    const Loan &Open = Each.second;
    if (Now < Open.ExpiresAt_)
      return false;
    Slices.settleLent(Open.Account_, Open.Bound_, Open.Bound_);
    return true;
  });
}

std::vector<std::string>
LenderChoice::choose(const base::AccountId &Account, base::Tokens Bound,
                     const std::vector<LenderCandidate> &Candidates,
                     base::Random &Random, base::TimePoint Now) {
  std::erase_if(AvoidUntil_,
                [Now](const auto &Each) { return Now >= Each.second; });
  std::erase_if(Reports_, [Now](const auto &Each) {
    return Now - Each.second.At_ > ReportLifetime;
  });
  std::vector<LenderCandidate> Able;
  for (LenderCandidate Each : Candidates) {
    if (AvoidUntil_.contains(Each.Address_))
      continue;
    if (auto Found = Reports_.find({Account, Each.Address_});
        Found != Reports_.end())
      Each.Available_ = Found->second.Available_;
    if (Each.Available_ >= Bound)
      Able.push_back(std::move(Each));
  }
  std::vector<std::string> Chosen;
  while (!Able.empty() && Chosen.size() < MaxLenders) {
    std::vector<double> Weights;
    Weights.reserve(Able.size());
    for (const LenderCandidate &Each : Able)
      Weights.push_back(static_cast<double>(Each.Available_.count()) + 1);
    std::discrete_distribution<std::size_t> Draw(Weights.begin(),
                                                 Weights.end());
    auto Picked = Able.begin() + static_cast<std::ptrdiff_t>(Draw(Random));
    Chosen.push_back(std::move(Picked->Address_));
    Able.erase(Picked);
  }
  return Chosen;
}

void LenderChoice::reported(const base::AccountId &Account,
                            const std::string &Address, base::Tokens Available,
                            base::TimePoint Now) {
  Reports_.insert_or_assign({Account, Address}, Report{Available, Now});
}

void LenderChoice::unreachable(const std::string &Address,
                               base::TimePoint Now) {
  AvoidUntil_.insert_or_assign(Address, Now + AvoidTime);
}

} // namespace camphorwind::budget
