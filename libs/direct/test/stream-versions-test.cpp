#include "camphorwind/direct/stream-versions.h"

#include <gtest/gtest.h>

#include <chrono>
#include <optional>
#include <ostream>
#include <string>
#include <utility>
#include <vector>

namespace camphorwind::direct {
namespace {

using namespace std::chrono_literals;

const base::PoolId Pool("pool");
constexpr base::TimePoint Start{std::chrono::hours(1)};

/// Versions that a router has seen, and which one it may assume for a stream
/// that it does not know.
struct OnlyVersionCase {
  std::string Name_;
  bool HistoryKnown_ = true;
  /// Versions listed now.
  std::vector<std::string> Listed_;
  /// A version that the table has seen before, and how long ago.
  std::string Earlier_;
  std::chrono::seconds Age_{0};
  std::chrono::seconds Uptime_{1};
  std::optional<std::string> Only_;
};

std::ostream &operator<<(std::ostream &Out, const OnlyVersionCase &Value) {
  return Out << Value.Name_;
}

class OnlyVersionTest : public testing::TestWithParam<OnlyVersionCase> {};

/// Guards against streams of a version that has left, taken for streams of the
/// one that is left.
TEST_P(OnlyVersionTest, IsAssumedOnlyIfNoOtherCanHaveBegunStreams) {
  const OnlyVersionCase &Case = GetParam();
  StreamVersions Streams(Start);
  base::TimePoint Now = Start + Case.Uptime_;
  if (!Case.Earlier_.empty())
    Streams.addVersion({Pool, Case.Earlier_, Now - Case.Age_});
  if (Case.HistoryKnown_)
    Streams.setHistoryKnown();
  for (const std::string &Each : Case.Listed_)
    Streams.markListed(Pool, Each, Now);
  if (Case.HistoryKnown_)
    Streams.confirmVersions(Now);
  EXPECT_EQ(Streams.versionOfUnwritten(Pool, Now), Case.Only_);
}

INSTANTIATE_TEST_SUITE_P(
    Versions, OnlyVersionTest,
    testing::Values(
        OnlyVersionCase{.Name_ = "one", .Listed_ = {"v1"}, .Only_ = "v1"},
        OnlyVersionCase{.Name_ = "two", .Listed_ = {"v1", "v2"}},
        OnlyVersionCase{.Name_ = "none"},
        OnlyVersionCase{.Name_ = "one_has_just_left",
                        .Listed_ = {"v2"},
                        .Earlier_ = "v1",
                        .Age_ = 5s,
                        .Only_ = "v1"},
        OnlyVersionCase{.Name_ = "one_left_long_ago",
                        .Listed_ = {"v2"},
                        .Earlier_ = "v1",
                        .Age_ = 61s,
                        .Only_ = "v2"},
        OnlyVersionCase{.Name_ = "table_not_read",
                        .HistoryKnown_ = false,
                        .Listed_ = {"v2"}},
        OnlyVersionCase{.Name_ = "table_never_read",
                        .HistoryKnown_ = false,
                        .Listed_ = {"v2"},
                        .Uptime_ = 61s,
                        .Only_ = "v2"}),
    [](const auto &Info) { return Info.param.Name_; });

TEST(StreamVersionsTest, StreamsAreWrittenOnceAnotherVersionServes) {
  StreamVersions Streams(Start);
  Streams.setHistoryKnown();
  Streams.markListed(Pool, "v1", Start);
  Streams.confirmVersions(Start);
  Streams.sent({"a1", Pool, "v1", Start});
  EXPECT_TRUE(Streams.takeUnwritten(Start).empty());
  Streams.markListed(Pool, "v2", Start + 1s);
  Streams.sent({"a2", Pool, "v2", Start + 1s});
  EXPECT_EQ(Streams.takeUnwritten(Start + 1s).size(), 2u);
  EXPECT_TRUE(Streams.takeUnwritten(Start + 1s).empty());
}

TEST(StreamVersionsTest, TheTableDoesNotReplaceWhatThisRouterKnows) {
  StreamVersions Streams(Start);
  Streams.sent({"a1", Pool, "v1", Start});
  Streams.add({"a1", Pool, "v2", Start});
  EXPECT_EQ(Streams.find("a1")->Software_, "v1");
}

/// Versions in the order in which a router learned of them, and what it may
/// assume of a stream that the table lacks.
struct OrderCase {
  std::string Name_;
  /// Versions of the table when it was first read.
  std::vector<PoolVersion> Table_;
  /// Versions listed before the table was read, at its start, and afterwards.
  std::vector<std::pair<std::string, std::chrono::milliseconds>> Early_;
  std::vector<std::pair<std::string, std::chrono::milliseconds>> Late_;
  /// Versions that the table names later.
  std::vector<PoolVersion> Learned_;
  bool OrderLost_ = false;
  std::optional<std::string> Unwritten_;
};

std::ostream &operator<<(std::ostream &Out, const OrderCase &Value) {
  return Out << Value.Name_;
}

class VersionOrderTest : public testing::TestWithParam<OrderCase> {};

/// Guards against streams that can't be taken up because the router that began
/// them stopped before it saw a second version, and against streams of that
/// version taken for theirs.
TEST_P(VersionOrderTest, UnwrittenStreamIsOfTheFirstVersion) {
  const OrderCase &Case = GetParam();
  StreamVersions Streams(Start);
  for (const auto &[Software, At] : Case.Early_)
    Streams.markListed(Pool, Software, Start + At);
  for (const PoolVersion &Each : Case.Table_)
    Streams.addVersion(Each);
  Streams.setHistoryKnown();
  base::TimePoint Now = Start;
  Streams.confirmVersions(Now);
  for (const auto &[Software, At] : Case.Late_) {
    Now = Start + At;
    Streams.markListed(Pool, Software, Now);
    Streams.confirmVersions(Now);
  }
  for (const PoolVersion &Each : Case.Learned_)
    Streams.addVersion(Each);
  if (Case.OrderLost_)
    Streams.forgetOrder(Now);
  EXPECT_EQ(Streams.versionOfUnwritten(Pool, Now), Case.Unwritten_);
  EXPECT_TRUE(Streams.needsWriting(Pool, "v9", Now));
  Streams.markVersionsWritten(Streams.versions(), Now);
  EXPECT_EQ(Streams.needsWriting(Pool, "v9", Now), Case.Unwritten_.has_value());
}

INSTANTIATE_TEST_SUITE_P(
    Orders, VersionOrderTest,
    testing::Values(OrderCase{.Name_ = "second_joins_later",
                              .Late_ = {{"v1", 0s}, {"v2", 5s}},
                              .Unwritten_ = "v1"},
                    OrderCase{.Name_ = "first_joins_later_by_name",
                              .Late_ = {{"v2", 0s}, {"v1", 5s}},
                              .Unwritten_ = "v2"},
                    OrderCase{.Name_ = "third_joins",
                              .Late_ = {{"v1", 0s}, {"v2", 5s}, {"v3", 9s}},
                              .Unwritten_ = "v1"},
                    OrderCase{.Name_ = "both_at_once",
                              .Late_ = {{"v1", 0s}, {"v2", 200ms}}},
                    OrderCase{.Name_ = "first_has_left",
                              .Late_ = {{"v1", 0s}, {"v2", 5s}, {"v2", 66s}},
                              .Unwritten_ = "v2"},
                    OrderCase{.Name_ = "restarted_between",
                              .Table_ = {{Pool, "v1", Start, 0},
                                         {Pool, "v2", Start, 1}},
                              .Early_ = {{"v1", 0s}, {"v2", 0s}},
                              .Unwritten_ = "v1"},
                    OrderCase{.Name_ = "joins_before_the_table_is_read",
                              .Table_ = {{Pool, "v1", Start, 3}},
                              .Early_ = {{"v2", 0s}, {"v1", 0s}},
                              .Unwritten_ = "v1"},
                    OrderCase{.Name_ = "another_router_knows_no_order",
                              .Late_ = {{"v1", 0s}, {"v2", 5s}},
                              .Learned_ = {{Pool, "v2", Start, 0}}},
                    OrderCase{.Name_ = "another_router_knows_a_second",
                              .Late_ = {{"v1", 0s}},
                              .Learned_ = {{Pool, "v2", Start, 1}},
                              .Unwritten_ = "v1"},
                    OrderCase{.Name_ = "table_restored",
                              .Late_ = {{"v1", 0s}, {"v2", 5s}},
                              .OrderLost_ = true},
                    OrderCase{.Name_ = "table_restored_with_one_version",
                              .Late_ = {{"v1", 0s}},
                              .OrderLost_ = true,
                              .Unwritten_ = "v1"}),
    [](const auto &Info) { return Info.param.Name_; });

struct UnreadTableCase {
  std::string Name_;
  bool HistoryKnown_ = false;
  std::chrono::seconds Uptime_{1};
  bool NeedsWriting_ = true;
};

std::ostream &operator<<(std::ostream &Out, const UnreadTableCase &Value) {
  return Out << Value.Name_;
}

class UnreadTableTest : public testing::TestWithParam<UnreadTableCase> {};

/// Guards against a router that has not read the table, passes on streams that
/// it does not write, and is killed: others take them for streams of the first
/// version.
TEST_P(UnreadTableTest, StreamsOfAllVersionsNeedWriting) {
  const UnreadTableCase &Case = GetParam();
  StreamVersions Streams(Start);
  base::TimePoint Now = Start + Case.Uptime_;
  Streams.markListed(Pool, "v1", Now - 5s);
  Streams.markListed(Pool, "v2", Now);
  if (Case.HistoryKnown_) {
    Streams.setHistoryKnown();
    Streams.confirmVersions(Now);
  }
  EXPECT_EQ(Streams.needsWriting(Pool, "v1", Now), Case.NeedsWriting_);
  EXPECT_TRUE(Streams.needsWriting(Pool, "v2", Now));
}

INSTANTIATE_TEST_SUITE_P(
    Tables, UnreadTableTest,
    testing::Values(UnreadTableCase{.Name_ = "not_read"},
                    UnreadTableCase{.Name_ = "not_read_for_long",
                                    .Uptime_ = StreamVersions::WriteTime + 1s},
                    UnreadTableCase{.Name_ = "read",
                                    .HistoryKnown_ = true,
                                    .NeedsWriting_ = false}),
    [](const auto &Info) { return Info.param.Name_; });

/// Guards against a router that has missed how versions joined, and does not
/// write the streams of one that others do not take for the first.
TEST(StreamVersionsTest, NewVersionIsFirstOnlyOnceTheTableWasReadAgain) {
  StreamVersions Streams(Start);
  Streams.setHistoryKnown();
  Streams.markListed(Pool, "v3", Start);
  EXPECT_TRUE(Streams.hasUnconfirmedVersions());
  EXPECT_TRUE(Streams.needsWriting(Pool, "v3", Start));
  EXPECT_TRUE(Streams.versions().empty());
  // A read that began before the version was listed tells nothing of it.
  Streams.confirmVersions(Start - 1ms);
  EXPECT_TRUE(Streams.hasUnconfirmedVersions());
  Streams.addVersion({Pool, "v2", Start, 4});
  Streams.confirmVersions(Start);
  EXPECT_FALSE(Streams.hasUnconfirmedVersions());
  EXPECT_TRUE(Streams.needsWriting(Pool, "v3", Start));
  EXPECT_FALSE(Streams.needsWriting(Pool, "v2", Start));
  EXPECT_EQ(Streams.versions().size(), 2u);
}

/// Guards against a version that joins while the table is read, and is assumed
/// for streams of an earlier one that the table names.
TEST(StreamVersionsTest, VersionThatTheReadCanNotKnowIsNotAssumed) {
  StreamVersions Streams(Start);
  Streams.markListed(Pool, "v1", Start + 1s);
  Streams.setHistoryKnown();
  Streams.confirmVersions(Start);
  EXPECT_TRUE(Streams.needsWriting(Pool, "v1", Start + 1s));
  EXPECT_EQ(Streams.versionOfUnwritten(Pool, Start + 1s), std::nullopt);
  Streams.confirmVersions(Start + 1s);
  EXPECT_FALSE(Streams.needsWriting(Pool, "v1", Start + 1s));
  EXPECT_EQ(Streams.versionOfUnwritten(Pool, Start + 1s), "v1");
}

/// Guards against a router that stood still, and takes a version which has left
/// meanwhile for the first.
TEST(StreamVersionsTest, VersionThatWasNotSeenForLongJoinsAnew) {
  StreamVersions Streams(Start);
  Streams.setHistoryKnown();
  Streams.markListed(Pool, "v1", Start);
  Streams.confirmVersions(Start);
  base::TimePoint Later = Start + StreamVersions::Lifetime;
  Streams.markListed(Pool, "v1", Later);
  EXPECT_TRUE(Streams.hasUnconfirmedVersions());
  EXPECT_TRUE(Streams.needsWriting(Pool, "v1", Later));
  Streams.addVersion({Pool, "v2", Later, 1});
  Streams.confirmVersions(Later);
  EXPECT_EQ(Streams.versionOfUnwritten(Pool, Later), "v2");
}

/// Why a version's streams need writing although it is the only one.
struct SoleVersionCase {
  std::string Name_;
  bool HistoryKnown_ = true;
  bool IsRowUnreadable_ = false;
  std::chrono::seconds Uptime_{1};
};

std::ostream &operator<<(std::ostream &Out, const SoleVersionCase &Value) {
  return Out << Value.Name_;
}

class SoleVersionTest : public testing::TestWithParam<SoleVersionCase> {};

/// Guards against streams that are held until their deadline: they wait for a
/// write that never begins.
TEST_P(SoleVersionTest, StreamsThatNeedWritingAreWritten) {
  const SoleVersionCase &Case = GetParam();
  StreamVersions Streams(Start);
  if (Case.HistoryKnown_)
    Streams.setHistoryKnown();
  else
    Streams.forgetOrder(Start);
  base::TimePoint Now = Start + Case.Uptime_;
  Streams.markListed(Pool, "v1", Now);
  if (Case.IsRowUnreadable_) {
    Streams.confirmVersions(Now);
    Streams.markRowUnreadable(Now);
  }
  Streams.sent({"a1", Pool, "v1", Now});
  EXPECT_TRUE(Streams.needsWriting(Pool, "v1", Now));
  EXPECT_EQ(Streams.takeUnwritten(Now).size(), 1u);
}

INSTANTIATE_TEST_SUITE_P(
    Versions, SoleVersionTest,
    testing::Values(SoleVersionCase{.Name_ = "not_confirmed"},
                    SoleVersionCase{.Name_ = "row_unreadable",
                                    .IsRowUnreadable_ = true},
                    SoleVersionCase{.Name_ = "table_restored_before_the_start",
                                    .HistoryKnown_ = false,
                                    .Uptime_ = 70s}),
    [](const auto &Info) { return Info.param.Name_; });

/// Guards against a router that does not know which version joined first, and
/// relies on others that know more. What it has written counts for as long as
/// others see it.
TEST(StreamVersionsTest, UnorderedVersionsCountOnceTheTableHasThem) {
  StreamVersions Streams(Start);
  Streams.setHistoryKnown();
  Streams.markListed(Pool, "v1", Start);
  Streams.markListed(Pool, "v2", Start + 100ms);
  Streams.confirmVersions(Start + 100ms);
  EXPECT_FALSE(Streams.isOrdered(Pool, Start + 100ms));
  EXPECT_TRUE(Streams.needsWriting(Pool, "v1", Start + 100ms));
  Streams.markVersionsWritten({{Pool, "v1", Start, 0}}, Start + 100ms);
  EXPECT_TRUE(Streams.needsWriting(Pool, "v1", Start + 100ms));
  Streams.markVersionsWritten({{Pool, "v2", Start, 0}}, Start + 100ms);
  EXPECT_FALSE(Streams.needsWriting(Pool, "v1", Start + 29s));
  EXPECT_FALSE(Streams.needsWriting(Pool, "v2", Start + 29s));
  EXPECT_TRUE(Streams.needsWriting(Pool, "v2", Start + 31s));
  Streams.markVersionsWritten(Streams.versions(), Start + 31s);
  EXPECT_FALSE(Streams.needsWriting(Pool, "v2", Start + 31s));
  Streams.forgetOrder(Start + 31s);
  EXPECT_TRUE(Streams.needsWriting(Pool, "v2", Start + 31s));
}

/// Guards against routers that disagree about the time at which a version has
/// left: one assumes the next version while another does not write its streams.
TEST(StreamVersionsTest, StreamsAreWrittenForLongerThanTheFirstIsAssumed) {
  StreamVersions Streams(Start);
  Streams.setHistoryKnown();
  Streams.markListed(Pool, "v1", Start);
  Streams.markListed(Pool, "v2", Start + 5s);
  Streams.confirmVersions(Start + 5s);
  base::TimePoint Left = Start + StreamVersions::Lifetime;
  EXPECT_EQ(Streams.versionOfUnwritten(Pool, Left - 1s), "v1");
  EXPECT_FALSE(Streams.needsWriting(Pool, "v1", Left - 1s));
  EXPECT_TRUE(Streams.needsWriting(Pool, "v2", Left - 1s));
  EXPECT_EQ(Streams.versionOfUnwritten(Pool, Left), "v2");
  EXPECT_TRUE(Streams.needsWriting(Pool, "v2", Left));
  base::TimePoint Settled = Start + StreamVersions::WriteTime;
  Streams.markListed(Pool, "v2", Settled);
  Streams.confirmVersions(Settled);
  EXPECT_FALSE(Streams.needsWriting(Pool, "v2", Settled));
}

/// Guards against a stream that another endpoint has begun than the one that
/// the table names.
TEST(StreamVersionsTest, LastSendDecides) {
  StreamVersions Streams(Start);
  Streams.setHistoryKnown();
  Streams.sent({"a1", Pool, "v1", Start});
  Streams.markWritten({{"a1", Pool, "v1", Start}});
  EXPECT_TRUE(Streams.isWritten("a1"));
  Streams.sent({"a1", Pool, "v2", Start + 1s});
  EXPECT_FALSE(Streams.isWritten("a1"));
  Streams.markWritten({{"a1", Pool, "v1", Start}});
  EXPECT_FALSE(Streams.isWritten("a1"));
  EXPECT_EQ(Streams.find("a1")->Software_, "v2");

  StreamVersions Others(Start);
  Others.add({"a1", Pool, "v2", Start + 1s});
  Others.add({"a1", Pool, "v1", Start});
  EXPECT_EQ(Others.find("a1")->Software_, "v2");
}

/// Guards against a stream that the table has under the version to which it was
/// sent before.
TEST(StreamVersionsTest, TellsWhenTheTableMayHaveAnotherVersionOfAStream) {
  StreamVersions Streams(Start);
  Streams.setHistoryKnown();
  Streams.markListed(Pool, "v1", Start);
  Streams.markListed(Pool, "v2", Start + 5s);
  Streams.sent({"a1", Pool, "v2", Start + 5s});
  Streams.sent({"a1", Pool, "v1", Start + 6s});
  EXPECT_FALSE(Streams.mayBeTakenForAnother("a1"));
  Streams.sent({"a2", Pool, "v2", Start + 6s});
  EXPECT_EQ(Streams.takeUnwritten(Start + 6s).size(), 2u);
  Streams.sent({"a2", Pool, "v2", Start + 7s});
  EXPECT_FALSE(Streams.mayBeTakenForAnother("a2"));
  Streams.sent({"a2", Pool, "v1", Start + 7s});
  EXPECT_TRUE(Streams.mayBeTakenForAnother("a2"));
  Streams.markWritten({{"a2", Pool, "v1", Start + 7s}});
  EXPECT_FALSE(Streams.mayBeTakenForAnother("a2"));
}

/// Guards against an earlier send of a stream that counts as the last one
/// because clocks were set in between.
TEST(StreamVersionsTest, LastWriteOfARouterDecides) {
  StreamVersions Others(Start);
  Others.add({"a1", Pool, "v2", Start, 2});
  Others.add({"a1", Pool, "v1", Start + 1s, 1});
  EXPECT_EQ(Others.find("a1")->Software_, "v2");
  Others.add({"a1", Pool, "v1", Start, 3});
  EXPECT_EQ(Others.find("a1")->Software_, "v1");
}

/// Guards against a stream that was dropped for want of room, taken for one of
/// the first version.
TEST(StreamVersionsTest, NothingIsAssumedWhileStreamsAreDropped) {
  StreamVersions Streams(Start);
  Streams.setHistoryKnown();
  Streams.markListed(Pool, "v1", Start);
  Streams.confirmVersions(Start);
  for (std::size_t Index = 0; Index <= StreamVersions::MaxStreams; ++Index)
    Streams.add({std::to_string(Index), Pool, "v2", Start});
  EXPECT_EQ(Streams.versionOfUnwritten(Pool, Start), "v1");
  Streams.markListed(Pool, "v2", Start + 5s);
  EXPECT_EQ(Streams.versionOfUnwritten(Pool, Start + 5s), std::nullopt);
  base::TimePoint Later = Start + StreamVersions::Lifetime;
  Streams.markListed(Pool, "v2", Later - 1s);
  Streams.markListed(Pool, "v1", Later - 1s);
  EXPECT_EQ(Streams.versionOfUnwritten(Pool, Later), "v1");
}

TEST(StreamVersionsTest, OldAndExcessStreamsAreForgotten) {
  StreamVersions Streams(Start);
  for (std::size_t Index = 0; Index <= StreamVersions::MaxStreams; ++Index)
    Streams.sent({std::to_string(Index), Pool, "v1", Start});
  EXPECT_EQ(Streams.find("0"), nullptr);
  EXPECT_NE(Streams.find("1"), nullptr);
  Streams.sweep(Start + StreamVersions::Lifetime);
  EXPECT_EQ(Streams.find("1"), nullptr);
}

} // namespace
} // namespace camphorwind::direct
