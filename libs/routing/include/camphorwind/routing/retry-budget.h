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
  void addRequest() { Saved_ = std::min(MaxBalance, Saved_ + Share_); }
  /// Takes one retry, if one is left.
  bool trySpend() {
    if (Saved_ < 1)
      return false;
    Saved_ -= 1;
    return true;
  }
  double balance() const { return Saved_; }

private:
  double Share_;
  double Saved_ = MaxBalance;
};

} // namespace camphorwind::routing

#endif // CAMPHORWIND_ROUTING_RETRY_BUDGET_H
