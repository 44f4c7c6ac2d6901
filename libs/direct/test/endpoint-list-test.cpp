#include "camphorwind/direct/endpoint-list.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

using namespace camphorwind;
using namespace camphorwind::direct;
using namespace std::chrono_literals;

namespace {

const base::EndpointId TestEndpoint("one");
const base::TimePoint Start{1000s};

ListedEndpoint makeEntry(bool Draining = false, std::string StartId = "1") {
  return {TestEndpoint,
          base::PoolId("pool"),
          {"10.0.0.1", 80},
          base::FailureDomainId("a"),
          8,
          Draining,
          std::move(StartId)};
}

TEST(EndpointListTest, DrainingEndpointBecomesUnusable) {
  EndpointList List;
  List.put(makeEntry(), Start);
  List.takeChanges();
  List.put(makeEntry(true), Start);
  EXPECT_EQ(List.find(TestEndpoint), nullptr);
  auto Changes = List.takeChanges();
  ASSERT_EQ(Changes.size(), 1u);
  EXPECT_EQ(Changes[0].DepartureReason_, DepartureReason::Draining);
}

TEST(EndpointListTest, NewStartIdCountsAsRestart) {
  EndpointList List;
  List.put(makeEntry(), Start);
  List.takeChanges();
  List.put(makeEntry(false, "2"), Start);
  auto Changes = List.takeChanges();
  ASSERT_EQ(Changes.size(), 2u);
  EXPECT_EQ(Changes[0].DepartureReason_, DepartureReason::Restarted);
  EXPECT_EQ(Changes[1].DepartureReason_, std::nullopt);
}

/// An entry that arrives after the endpoint began to shut down.
struct EntryAfterDepartureCase {
  std::string Name_;
  /// Whether the endpoint said so in a response or by a draining entry.
  bool InResponse_ = true;
  std::string NewStartId_;
  /// The list of endpoints was read again as a whole, first without the
  /// endpoint.
  bool Reread_ = false;
  bool Usable_ = false;
};

std::ostream &operator<<(std::ostream &Out,
                         const EntryAfterDepartureCase &Value) {
  return Out << Value.Name_;
}

class EntryAfterDepartureTest
    : public testing::TestWithParam<EntryAfterDepartureCase> {};

TEST_P(EntryAfterDepartureTest, IsIgnoredUnlessTheEndpointStartedAgain) {
  const EntryAfterDepartureCase &Case = GetParam();
  EndpointList List;
  List.replace({makeEntry()}, Start);
  if (Case.InResponse_)
    List.markLeaving(TestEndpoint);
  else
    List.put(makeEntry(true), Start);
  EXPECT_EQ(List.find(TestEndpoint), nullptr);
  EXPECT_EQ(List.takeChanges().back().DepartureReason_,
            Case.InResponse_ ? DepartureReason::Leaving
                             : DepartureReason::Draining);
  ListedEndpoint Late = makeEntry(false, Case.NewStartId_);
  if (Case.Reread_) {
    List.replace({}, Start + 1s);
    List.replace({Late}, Start + 2s);
  } else {
    List.put(Late, Start + 1s);
  }
  EXPECT_EQ(List.find(TestEndpoint) != nullptr, Case.Usable_);
}

INSTANTIATE_TEST_SUITE_P(
    Entries, EntryAfterDepartureTest,
    testing::Values(
        EntryAfterDepartureCase{"leaving_same_start", true, "1", false, false},
        EntryAfterDepartureCase{"leaving_same_start_reread", true, "1", true,
                                false},
        EntryAfterDepartureCase{"leaving_new_start", true, "2", false, true},
        EntryAfterDepartureCase{"draining_same_start", false, "1", false,
                                false},
        EntryAfterDepartureCase{"draining_same_start_reread", false, "1", true,
                                false},
        EntryAfterDepartureCase{"draining_new_start", false, "2", true, true}),
    [](const auto &Info) { return Info.param.Name_; });

/// An endpoint whose entry was removed before the list was restored.
struct RestoredEntryCase {
  std::string Name_;
  bool Restored_ = true;
  std::string CopiedStartId_ = "1";
  /// The endpoint writes its entry again after the restore.
  bool WrittenAgain_ = false;
  bool Usable_ = false;
};

std::ostream &operator<<(std::ostream &Out, const RestoredEntryCase &Value) {
  return Out << Value.Name_;
}

class RestoredEntryTest : public testing::TestWithParam<RestoredEntryCase> {};

TEST_P(RestoredEntryTest, CountsOnlyOnceItIsWrittenAgain) {
  const RestoredEntryCase &Case = GetParam();
  EndpointList List;
  List.replace({makeEntry()}, Start);
  List.remove(TestEndpoint, Start + 1s);
  if (Case.Restored_)
    List.markRestored(Start + 3s);
  List.replace({makeEntry(false, Case.CopiedStartId_)}, Start + 3s);
  if (Case.WrittenAgain_)
    List.put(makeEntry(), Start + 4s);
  EXPECT_EQ(List.find(TestEndpoint) != nullptr, Case.Usable_);
}

INSTANTIATE_TEST_SUITE_P(
    Entries, RestoredEntryTest,
    testing::Values(RestoredEntryCase{"from_the_copy"},
                    RestoredEntryCase{"written_again", true, "1", true, true},
                    RestoredEntryCase{"other_start", true, "2", false, true},
                    RestoredEntryCase{"not_restored", false, "1", false, true}),
    [](const auto &Info) { return Info.param.Name_; });

TEST(EndpointListTest, EntryThatTheCopyLacksStaysForTheGracePeriod) {
  EndpointList List;
  List.replace({makeEntry()}, Start);
  List.markRestored(Start + 3s);
  List.replace({}, Start + 3s);
  List.tick(Start + 3s + EndpointList::ReregistrationGrace - 1ms);
  EXPECT_NE(List.find(TestEndpoint), nullptr);
  List.tick(Start + 3s + EndpointList::ReregistrationGrace);
  EXPECT_EQ(List.find(TestEndpoint), nullptr);
}

TEST(EndpointListTest, LeavingOfAnUnlistedEndpointHasNoEffect) {
  EndpointList List;
  List.replace({}, Start);
  List.markLeaving(TestEndpoint);
  EXPECT_TRUE(List.takeChanges().empty());
}

TEST(EndpointListTest, RemovesMissingEntryAtOnceWhileReachable) {
  EndpointList List;
  List.replace({makeEntry()}, Start);
  List.remove(TestEndpoint, Start + 10s);
  EXPECT_EQ(List.find(TestEndpoint), nullptr);
}

/// An entry whose registration expired while the list was unreachable.
struct LapsedEntryCase {
  std::string Name_;
  std::chrono::milliseconds ReregisteredAfter_;
  std::chrono::milliseconds CheckedAfter_;
  bool Usable_ = false;
};

std::ostream &operator<<(std::ostream &Out, const LapsedEntryCase &Value) {
  return Out << Value.Name_;
}

class LapsedEntryTest : public testing::TestWithParam<LapsedEntryCase> {};

TEST_P(LapsedEntryTest, IsRemovedOnlyAfterTheGracePeriod) {
  const LapsedEntryCase &Case = GetParam();
  EndpointList List;
  List.replace({makeEntry()}, Start);
  List.setReachable(false, Start);
  base::TimePoint ReachableAgain = Start + 5s;
  List.setReachable(true, ReachableAgain);
  List.replace({}, ReachableAgain);
  if (Case.ReregisteredAfter_ <= Case.CheckedAfter_)
    List.put(makeEntry(), ReachableAgain + Case.ReregisteredAfter_);
  List.tick(ReachableAgain + Case.CheckedAfter_);
  EXPECT_EQ(List.find(TestEndpoint) != nullptr, Case.Usable_);
}

INSTANTIATE_TEST_SUITE_P(
    Delays, LapsedEntryTest,
    testing::Values(LapsedEntryCase{"within_grace", 10s, 1900ms, true},
                    LapsedEntryCase{"over_grace", 10s, 2000ms, false},
                    LapsedEntryCase{"came_back", 500ms, 5s, true}),
    [](const auto &Info) { return Info.param.Name_; });

TEST(EndpointListTest, KeepsMissingEntriesWhileUnreachableAgain) {
  EndpointList List;
  List.replace({makeEntry()}, Start);
  List.setReachable(false, Start);
  List.setReachable(true, Start + 1s);
  List.replace({}, Start + 1s);
  List.setReachable(false, Start + 2s);
  List.tick(Start + 10s);
  EXPECT_NE(List.find(TestEndpoint), nullptr);
}

} // namespace
