#include "camphorwind/routing/queue.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>

using namespace camphorwind;
using namespace camphorwind::routing;
using namespace std::chrono_literals;

namespace {

constexpr base::TimePoint Start{};

QueuedRequest request(const std::string &Id, const std::string &Account,
                      Priority RequestPriority = Priority::Standard,
                      double Cost = 1, base::Duration LatestStart = 10s) {
  QueuedRequest Request;
  Request.Traits_.Request_ = base::RequestId(Id);
  Request.Traits_.Account_ = base::AccountId(Account);
  Request.Traits_.Priority_ = RequestPriority;
  Request.Cost_ = Cost;
  Request.LatestStart_ = Start + LatestStart;
  return Request;
}

std::string popAll(Queue &Requests) {
  std::string Order;
  while (!Requests.empty())
    Order += Requests.pop(Start).Traits_.Request_.str();
  return Order;
}

struct OrderCase {
  std::string Name_;
  std::vector<QueuedRequest> Pushed_;
  std::string Order_;
};

class QueueOrderTest : public testing::TestWithParam<OrderCase> {};

TEST_P(QueueOrderTest, PopsInFairOrder) {
  Queue Requests;
  for (const QueuedRequest &Request : GetParam().Pushed_)
    Requests.push(Request);
  EXPECT_EQ(popAll(Requests), GetParam().Order_);
}

INSTANTIATE_TEST_SUITE_P(
    Table, QueueOrderTest,
    testing::Values(
        OrderCase{"FirstComeFirstServedWithinAnAccount",
                  {request("1", "a"), request("2", "a"), request("3", "a")},
                  "123"},
        OrderCase{"AccountsTakeTurns",
                  {request("1", "a"), request("2", "a"), request("3", "a"),
                   request("4", "b")},
                  "1423"},
        OrderCase{"UrgentRequestsFirstWithinAnAccount",
                  {request("1", "a", Priority::Batch),
                   request("2", "a", Priority::Interactive)},
                  "21"},
        OrderCase{"UrgentRequestsAreChargedLess",
                  {request("1", "a"), request("2", "b", Priority::Interactive),
                   request("3", "a"), request("4", "b", Priority::Interactive),
                   request("5", "b", Priority::Interactive)},
                  "12435"},
        OrderCase{"CostlyRequestsAreChargedMore",
                  {request("1", "a", Priority::Standard, 3),
                   request("2", "a", Priority::Standard, 3), request("3", "b"),
                   request("4", "b"), request("5", "b")},
                  "13452"}),
    [](const auto &Case) { return Case.param.Name_; });

TEST(QueueTest, ExpireTakesOnlyRequestsPastTheirLatestStart) {
  Queue Requests;
  Requests.push(request("1", "a", Priority::Standard, 1, 1s));
  Requests.push(request("2", "a", Priority::Standard, 1, 3s));
  EXPECT_TRUE(Requests.expire(Start + 1s).empty());
  std::vector<QueuedRequest> Expired = Requests.expire(Start + 2s);
  ASSERT_EQ(Expired.size(), 1u);
  EXPECT_EQ(Expired[0].Traits_.Request_.str(), "1");
  EXPECT_EQ(Requests.nextExpiry(), Start + 3s);
}

TEST(QueueTest, EvictTakesTheNewestRequestOfTheLargestAccount) {
  Queue Requests;
  Requests.push(request("1", "big"));
  Requests.push(request("2", "big"));
  Requests.push(request("3", "small"));
  EXPECT_FALSE(Requests.evict(base::AccountId("big")).has_value());
  EXPECT_EQ(Requests.evict(base::AccountId("small"))->Traits_.Request_.str(),
            "2");
}

/// Work served to any two accounts with waiting requests never differs by more
/// than two requests of maximum cost.
RC_GTEST_PROP(QueueTest, BackloggedAccountsGetEqualWork, ()) {
  constexpr double MaxCost = 8;
  Queue Requests;
  int LastId = 0;
  auto Push = [&](const std::string &Account) {
    double Cost = *rc::gen::inRange(1, 9);
    Requests.push(
        request(std::to_string(++LastId), Account, Priority::Standard, Cost));
  };
  const std::vector<std::string> Accounts{"a", "b", "c"};
  for (const std::string &Account : Accounts)
    for (int Remaining = *rc::gen::inRange(1, 6); Remaining > 0; --Remaining)
      Push(Account);
  std::map<std::string, double> Served;
  for (int Step = 0; Step < 60; ++Step) {
    QueuedRequest Taken = Requests.pop(Start);
    Served[Taken.Traits_.Account_.str()] += Taken.Cost_;
    Push(Taken.Traits_.Account_.str());
    for (const std::string &One : Accounts)
      for (const std::string &Other : Accounts)
        RC_ASSERT(Served[One] - Served[Other] <= 2 * MaxCost);
  }
}

/// Size, total cost and membership agree with a plain map after any sequence
/// of operations.
RC_GTEST_PROP(QueueTest, SizeCostAndMembershipMatchAPlainMap, ()) {
  Queue Requests;
  std::map<std::string, double> Expected;
  int LastId = 0;
  auto Actions =
      *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 100));
  for (int Action : Actions) {
    if (Action < 60) {
      std::string Id = std::to_string(++LastId);
      double Cost = 1 + Action % 7;
      Requests.push(request(Id, std::to_string(Action % 3),
                            static_cast<Priority>(Action % 3), Cost,
                            std::chrono::seconds(Action % 20)));
      Expected[Id] = Cost;
    } else if (Action < 75 && !Requests.empty()) {
      std::string Front = Requests.front()->Traits_.Request_.str();
      RC_ASSERT(Requests.pop(Start).Traits_.Request_.str() == Front);
      Expected.erase(Front);
    } else if (Action < 90 && !Expected.empty()) {
      RC_ASSERT(Requests.remove(base::RequestId(Expected.begin()->first))
                    .has_value());
      Expected.erase(Expected.begin());
    } else {
      for (const QueuedRequest &Expired :
           Requests.expire(Start + std::chrono::seconds(Action % 10)))
        RC_ASSERT(Expected.erase(Expired.Traits_.Request_.str()) == 1u);
    }
    double Total = 0;
    for (const auto &Item : Expected)
      Total += Item.second;
    RC_ASSERT(Requests.size() == Expected.size());
    RC_ASSERT(Requests.totalCost() == Total);
  }
}

} // namespace
