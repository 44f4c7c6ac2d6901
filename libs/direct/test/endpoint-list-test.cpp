#include "camphorwind/direct/endpoint-list.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

using namespace camphorwind;
using namespace camphorwind::direct;
using namespace std::chrono_literals;

namespace {

const base::EndpointId One("one");
const base::TimePoint Start{1000s};

ListedEndpoint entry(bool Draining = false, std::string Began = "1") {
  return {One,
          base::PoolId("pool"),
          {"10.0.0.1", 80},
          base::FailureDomainId("a"),
          8,
          Draining,
          std::move(Began)};
}

TEST(EndpointListTest, DrainingEndpointGetsNothingMore) {
  EndpointList Tested;
  Tested.put(entry(), Start);
  Tested.takeChanges();
  Tested.put(entry(true), Start);
  EXPECT_EQ(Tested.find(One), nullptr);
  auto Changes = Tested.takeChanges();
  ASSERT_EQ(Changes.size(), 1u);
  EXPECT_EQ(Changes[0].Left_, DepartureReason::Draining);
}

TEST(EndpointListTest, AnotherStartUnderTheSameIdIsAnotherEndpoint) {
  EndpointList Tested;
  Tested.put(entry(), Start);
  Tested.takeChanges();
  Tested.put(entry(false, "2"), Start);
  auto Changes = Tested.takeChanges();
  ASSERT_EQ(Changes.size(), 2u);
  EXPECT_EQ(Changes[0].Left_, DepartureReason::Restarted);
  EXPECT_EQ(Changes[1].Left_, std::nullopt);
}

TEST(EndpointListTest, MissingEntryIsGoneWhileTheListIsReliable) {
  EndpointList Tested;
  Tested.replace({entry()}, Start);
  Tested.remove(One, Start + 10s);
  EXPECT_EQ(Tested.find(One), nullptr);
}

/// What happens to an entry that lapsed while the list was away.
struct LapseCase {
  std::string Name_;
  std::chrono::milliseconds BackAfter_;
  std::chrono::milliseconds LookAfter_;
  bool Usable_ = false;
};

std::ostream &operator<<(std::ostream &Out, const LapseCase &Value) {
  return Out << Value.Name_;
}

class LapsedEntryTest : public testing::TestWithParam<LapseCase> {};

TEST_P(LapsedEntryTest, CountsAsGoneOnlyAfterTheGraceTime) {
  const LapseCase &Case = GetParam();
  EndpointList Tested;
  Tested.replace({entry()}, Start);
  Tested.setReachable(false, Start);
  base::TimePoint Return = Start + 5s;
  Tested.setReachable(true, Return);
  Tested.replace({}, Return);
  if (Case.BackAfter_ <= Case.LookAfter_)
    Tested.put(entry(), Return + Case.BackAfter_);
  Tested.tick(Return + Case.LookAfter_);
  EXPECT_EQ(Tested.find(One) != nullptr, Case.Usable_);
}

INSTANTIATE_TEST_SUITE_P(
    Lapses, LapsedEntryTest,
    testing::Values(LapseCase{"within_grace", 10s, 1900ms, true},
                    LapseCase{"over_grace", 10s, 2000ms, false},
                    LapseCase{"came_back", 500ms, 5s, true}),
    [](const auto &Info) { return Info.param.Name_; });

TEST(EndpointListTest, NothingIsDroppedWhileTheListIsAwayAgain) {
  EndpointList Tested;
  Tested.replace({entry()}, Start);
  Tested.setReachable(false, Start);
  Tested.setReachable(true, Start + 1s);
  Tested.replace({}, Start + 1s);
  Tested.setReachable(false, Start + 2s);
  Tested.tick(Start + 10s);
  EXPECT_NE(Tested.find(One), nullptr);
}

} // namespace
