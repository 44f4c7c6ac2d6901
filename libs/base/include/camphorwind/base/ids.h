#ifndef CAMPHORWIND_BASE_IDS_H
#define CAMPHORWIND_BASE_IDS_H

#include <compare>
#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

/// Strongly typed identifiers: an id of one kind never passes for another.
namespace camphorwind::base {

/// An identifier of the kind named by \p Tag, printed and stored as text.
template <class Tag> class Id {
public:
  Id() = default;
  explicit Id(std::string Text) : Text_(std::move(Text)) {}

  /// Returns the text form, as used in table keys, logs and messages.
  const std::string &str() const { return Text_; }
  bool empty() const { return Text_.empty(); }

  friend bool operator==(const Id &, const Id &) = default;
  friend std::strong_ordering operator<=>(const Id &A, const Id &B) {
    return A.Text_ <=> B.Text_;
  }

private:
  std::string Text_;
};

/// A paying customer of the operator; owns budgets and keys.
using AccountId = Id<struct AccountTag>;
/// A prepaid budget of one client account.
using BudgetId = Id<struct BudgetTag>;
/// Part of a budget held by one router.
using SliceId = Id<struct SliceTag>;
/// A model engine or plain service, together with the agent beside it.
using EndpointId = Id<struct EndpointTag>;
/// A machine, as the platform's host list names it.
using HostId = Id<struct HostTag>;
/// A set of hosts that fail together.
using FailureDomainId = Id<struct FailureDomainTag>;
/// A set of failure domains that may lose sight of the others.
using RegionId = Id<struct RegionTag>;
/// A router by its configured name; see Incarnation for one run of it.
using RouterId = Id<struct RouterTag>;
/// One run of a process, unique for ever.
using Incarnation = Id<struct IncarnationTag>;
/// One request of a caller, stable over attempts.
using RequestId = Id<struct RequestTag>;
/// One try to run a request at one endpoint.
using AttemptId = Id<struct AttemptTag>;
/// A set of interchangeable endpoints.
using PoolId = Id<struct PoolTag>;

} // namespace camphorwind::base

template <class Tag> struct std::hash<camphorwind::base::Id<Tag>> {
  std::size_t operator()(const camphorwind::base::Id<Tag> &Value) const {
    return std::hash<std::string_view>()(Value.str());
  }
};

#endif // CAMPHORWIND_BASE_IDS_H
