#ifndef CAMPHORWIND_ROUTING_RETRY_BUDGET_H
#define CAMPHORWIND_ROUTING_RETRY_BUDGET_H

#include <algorithm>

namespace camphorwind::routing {

/// Limits retries to a share of requests, so that retries do not amplify an
/// overload.
class RetryBudget {
public:
  /// Maximum and initial number of available retries.
  static constexpr double MaxBalance = 20;

  /// \p Share is the number of retries added by each request.
  explicit RetryBudget(double Share) : Share_(Share) {}

  void setShare(double Share) { Share_ = Share; }
  /// Adds the share of one request; call for first attempts only.
  void addRequest() { Balance_ = std::min(MaxBalance, Balance_ + Share_); }
  /// Takes one retry. Returns false if none is available.
  bool trySpend() {
    if (Balance_ < 1)
      return false;
    Balance_ -= 1;
    return true;
  }
  /// Number of available retries; may be fractional.
  double balance() const { return Balance_; }

private:
  double Share_;
  double Balance_ = MaxBalance;
};

} // namespace camphorwind::routing

#endif // CAMPHORWIND_ROUTING_RETRY_BUDGET_H
