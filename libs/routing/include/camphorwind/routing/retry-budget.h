#ifndef CAMPHORWIND_ROUTING_RETRY_BUDGET_H
#define CAMPHORWIND_ROUTING_RETRY_BUDGET_H

#include <algorithm>

namespace camphorwind::routing {

/// Allows retries as a share of requests, so that failures are not amplified.
class RetryBudget {
public:
  /// Retries that may be saved up, and that a fresh budget starts with.
  static constexpr double MaxBalance = 20;

  explicit RetryBudget(double Share) : Share_(Share) {}

  void setShare(double Share) { Share_ = Share; }
  /// A first attempt adds its share.
  void addRequest() { Balance_ = std::min(MaxBalance, Balance_ + Share_); }
  /// Takes one retry, if one is left.
  bool trySpend() {
    if (Balance_ < 1)
      return false;
    Balance_ -= 1;
    return true;
  }
  double balance() const { return Balance_; }

private:
  double Share_;
  double Balance_ = MaxBalance;
};

} // namespace camphorwind::routing

#endif // CAMPHORWIND_ROUTING_RETRY_BUDGET_H
