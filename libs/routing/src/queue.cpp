#include "camphorwind/routing/queue.h"

#include <algorithm>

namespace camphorwind::routing {

namespace {

/// Divisor of the cost charged for a request, by priority.
constexpr std::array<double, PriorityCount> PriorityWeights{4, 2, 1};
/// Number of accounts without waiting requests above which idle accounts are
/// dropped.
constexpr std::size_t MaxIdleFlows = 1024;

base::Duration timeFor(double Cost, std::optional<double> PerSecond) {
  using Seconds = std::chrono::duration<double>;
  constexpr Seconds MaxTime{3600};
  constexpr double MinPerSecond = 1e-3;
  if (!PerSecond || Cost <= 0)
    return base::Duration::zero();
  Seconds Time{Cost / std::max(*PerSecond, MinPerSecond)};
  return std::chrono::duration_cast<base::Duration>(std::min(MaxTime, Time));
}

} // namespace

double Queue::weightOf(std::size_t Class) { return PriorityWeights[Class]; }

std::size_t Queue::mostUrgentClass(const Flow &AccountFlow) {
  std::size_t Class = 0;
  while (Class + 1 < PriorityCount && AccountFlow.Waiting_[Class].empty())
    ++Class;
  return Class;
}

bool Queue::contains(const base::RequestId &Request) const {
  return Positions_.contains(Request);
}

void Queue::activate(Flows::iterator FlowIt) {
  Active_.emplace(FlowIt->second.VirtualStart_, FlowIt->first);
}

void Queue::deactivate(Flows::iterator FlowIt) {
  Active_.erase({FlowIt->second.VirtualStart_, FlowIt->first});
}

void Queue::push(QueuedRequest Request) {
  auto FlowIt = Flows_.try_emplace(Request.Traits_.Account_).first;
  Flow &AccountFlow = FlowIt->second;
  if (Positions_.empty())
    DrainRate_.setBacklogged(true, Request.EnqueuedAt_);
  if (AccountFlow.Size_++ == 0) {
    AccountFlow.DrainRate_.setBacklogged(true, Request.EnqueuedAt_);
    AccountFlow.VirtualStart_ =
        std::max(AccountFlow.VirtualStart_, VirtualTime_);
    activate(FlowIt);
  }
  auto Class = static_cast<std::size_t>(Request.Traits_.Priority_);
  AccountFlow.Cost_[Class] += Request.Cost_;
  TotalCost_ += Request.Cost_;
  Entries &Waiting = AccountFlow.Waiting_[Class];
  auto Entry = Waiting.insert(Waiting.end(), std::move(Request));
  Positions_[Entry->Traits_.Request_] = {FlowIt, Entry};
  Expiries_.emplace(Entry->LatestStart_, Entry->Traits_.Request_);
}

const QueuedRequest *Queue::front() const {
  if (Active_.empty())
    return nullptr;
  const Flow &AccountFlow = Flows_.find(Active_.begin()->second)->second;
  return &AccountFlow.Waiting_[mostUrgentClass(AccountFlow)].front();
}

QueuedRequest Queue::take(const Position &At) {
  Flow &AccountFlow = At.Flow_->second;
  QueuedRequest Taken = std::move(*At.Entry_);
  auto Class = static_cast<std::size_t>(Taken.Traits_.Priority_);
  AccountFlow.Waiting_[Class].erase(At.Entry_);
  AccountFlow.Cost_[Class] -= Taken.Cost_;
  TotalCost_ -= Taken.Cost_;
  Positions_.erase(Taken.Traits_.Request_);
  Expiries_.erase({Taken.LatestStart_, Taken.Traits_.Request_});
  if (--AccountFlow.Size_ == 0) {
    deactivate(At.Flow_);
    AccountFlow.DrainRate_.stop();
  }
  if (Positions_.empty()) {
    TotalCost_ = 0;
    DrainRate_.stop();
  }
  return Taken;
}

QueuedRequest Queue::pop(base::TimePoint Now) {
  auto FlowIt = Flows_.find(Active_.begin()->second);
  Flow &AccountFlow = FlowIt->second;
  std::size_t Class = mostUrgentClass(AccountFlow);
  double Cost = AccountFlow.Waiting_[Class].front().Cost_;
  AccountFlow.DrainRate_.dispatched(Cost, Now);
  DrainRate_.dispatched(Cost, Now);
  QueuedRequest Taken = take({FlowIt, AccountFlow.Waiting_[Class].begin()});
  VirtualTime_ = std::max(VirtualTime_, AccountFlow.VirtualStart_);
  if (AccountFlow.Size_ > 0)
    deactivate(FlowIt);
  AccountFlow.VirtualStart_ =
      std::max(AccountFlow.VirtualStart_, VirtualTime_) +
      Taken.Cost_ / weightOf(Class);
  if (AccountFlow.Size_ > 0)
    activate(FlowIt);
  dropIdleFlows();
  return Taken;
}

std::optional<QueuedRequest> Queue::remove(const base::RequestId &Request) {
  auto Found = Positions_.find(Request);
  if (Found == Positions_.end())
    return std::nullopt;
  return take(Position(Found->second));
}

std::vector<QueuedRequest> Queue::expire(base::TimePoint Now) {
  std::vector<QueuedRequest> Expired;
  while (!Expiries_.empty() && Expiries_.begin()->first < Now)
    Expired.push_back(take(Position(Positions_.at(Expiries_.begin()->second))));
  return Expired;
}

std::optional<QueuedRequest> Queue::evict(const base::AccountId &Excluded) {
  auto Largest = Flows_.end();
  double LargestCost = 0;
  for (const auto &Item : Active_) {
    auto FlowIt = Flows_.find(Item.second);
    double Cost = 0;
    for (double ClassCost : FlowIt->second.Cost_)
      Cost += ClassCost;
    if (Cost > LargestCost) {
      Largest = FlowIt;
      LargestCost = Cost;
    }
  }
  if (Largest == Flows_.end() || Largest->first == Excluded)
    return std::nullopt;
  std::size_t Class = PriorityCount - 1;
  while (Largest->second.Waiting_[Class].empty())
    --Class;
  return take({Largest, std::prev(Largest->second.Waiting_[Class].end())});
}

std::optional<base::TimePoint> Queue::nextExpiry() const {
  if (Expiries_.empty())
    return std::nullopt;
  return Expiries_.begin()->first;
}

base::Duration Queue::expectedWait(const base::AccountId &Account,
                                   Priority RequestPriority) const {
  auto Found = Flows_.find(Account);
  if (Found == Flows_.end() || Found->second.Size_ == 0)
    return timeFor(meanCost() * static_cast<double>(Active_.size()),
                   DrainRate_.perSecond());
  double AccountCost = 0;
  for (std::size_t Class = 0;
       Class <= static_cast<std::size_t>(RequestPriority); ++Class)
    AccountCost += Found->second.Cost_[Class];
  if (std::optional<double> Rate = Found->second.DrainRate_.perSecond())
    return timeFor(AccountCost, Rate);
  // Fair queueing serves every other active account about as much meanwhile.
  double CostAhead = AccountCost * static_cast<double>(Active_.size());
  return timeFor(std::min(TotalCost_, CostAhead), DrainRate_.perSecond());
}

double Queue::meanCost() const {
  if (Positions_.empty())
    return 0;
  return TotalCost_ / static_cast<double>(Positions_.size());
}

void Queue::dropIdleFlows() {
  if (Flows_.size() < Active_.size() + MaxIdleFlows)
    return;
  std::erase_if(Flows_, [this](const auto &Item) {
    return Item.second.Size_ == 0 && Item.second.VirtualStart_ <= VirtualTime_;
  });
}

} // namespace camphorwind::routing
