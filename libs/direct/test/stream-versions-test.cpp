#include "camphorwind/direct/stream-versions.h"

#include <gtest/gtest.h>

#include <chrono>
#include <optional>
#include <ostream>
#include <string>
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
  EXPECT_EQ(Streams.onlyVersion(Pool, Now), Case.Only_);
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
                        .Age_ = 5s},
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
  Streams.began({"a1", Pool, "v1", Start});
  EXPECT_TRUE(Streams.takeUnwritten(Start).empty());
  Streams.markListed(Pool, "v2", Start + 1s);
  Streams.began({"a2", Pool, "v2", Start + 1s});
  EXPECT_EQ(Streams.takeUnwritten(Start + 1s).size(), 2u);
  EXPECT_TRUE(Streams.takeUnwritten(Start + 1s).empty());
}

TEST(StreamVersionsTest, TheTableDoesNotReplaceWhatThisRouterKnows) {
  StreamVersions Streams(Start);
  Streams.began({"a1", Pool, "v1", Start});
  Streams.add({"a1", Pool, "v2", Start});
  EXPECT_EQ(Streams.find("a1")->Software_, "v1");
}

TEST(StreamVersionsTest, OldAndExcessStreamsAreForgotten) {
  StreamVersions Streams(Start);
  for (std::size_t Index = 0; Index <= StreamVersions::MaxStreams; ++Index)
    Streams.began({std::to_string(Index), Pool, "v1", Start});
  EXPECT_EQ(Streams.find("0"), nullptr);
  EXPECT_NE(Streams.find("1"), nullptr);
  Streams.sweep(Start + StreamVersions::Lifetime);
  EXPECT_EQ(Streams.find("1"), nullptr);
}

} // namespace
} // namespace camphorwind::direct
