#include "crash-reports.h"

#include <gtest/gtest.h>

#include <chrono>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

namespace camphorwind::direct {
namespace {

using namespace std::chrono_literals;

/// A reading of the clocks of a host whose steady clock reads \p Steady.
ClockReading clockAt(base::Duration Steady, std::chrono::milliseconds Day) {
  return {base::TimePoint(Steady), Day};
}

TEST(CrashReportsTest, AnotherRouterReadsWhatOneHasWritten) {
  CrashReports Sent;
  Sent.Crashes_ = {{"i-1/5", {0xab, 0xffffffffffffffff}, base::TimePoint(8s)}};
  Sent.Sound_ = {{0xcd, {"i-1/5", "i-2/"}, base::TimePoint(9s)}};
  std::vector<CrashReportRow> Rows =
      encodeReports(Sent, base::RouterId("edge-1"), clockAt(10s, 1'000'000ms));
  ASSERT_EQ(Rows.size(), 2u);
  EXPECT_EQ(Rows[0].Key_, "crash/i-1/5/edge-1");

  CrashReports Received;
  ClockReading There = clockAt(500s, 1'003'000ms);
  for (const CrashReportRow &Each : Rows)
    EXPECT_TRUE(decodeReport(Each.Value_, There, Received));
  ASSERT_EQ(Received.Crashes_.size(), 1u);
  EXPECT_EQ(Received.Crashes_[0].Crash_, "i-1/5");
  EXPECT_EQ(Received.Crashes_[0].Parts_, Sent.Crashes_[0].Parts_);
  // 2 s old when it was written, and 3 s by the time of day since then.
  EXPECT_EQ(Received.Crashes_[0].At_, base::TimePoint(495s));
  ASSERT_EQ(Received.Sound_.size(), 1u);
  EXPECT_EQ(Received.Sound_[0].Part_, 0xcdu);
  EXPECT_EQ(Received.Sound_[0].Crashes_, Sent.Sound_[0].Crashes_);
}

struct TimeCase {
  std::string_view Name_;
  std::string_view Time_;
  base::TimePoint At_{};
};

std::ostream &operator<<(std::ostream &Out, const TimeCase &Value) {
  return Out << Value.Name_;
}

class CrashReportTimeTest : public testing::TestWithParam<TimeCase> {};

TEST_P(CrashReportTimeTest, IsBoundedByNow) {
  CrashReports Read;
  std::string Row = R"({"crash": "i", "parts": [], "at_ms": )";
  Row.append(GetParam().Time_).append("}");
  ASSERT_TRUE(decodeReport(Row, clockAt(100s, 20'000ms), Read));
  EXPECT_EQ(Read.Crashes_.at(0).At_, GetParam().At_);
}

INSTANTIATE_TEST_SUITE_P(
    Times, CrashReportTimeTest,
    testing::Values(
        TimeCase{"past", "15000", base::TimePoint(95s)},
        TimeCase{"now", "20000", base::TimePoint(100s)},
        TimeCase{"future", "99000", base::TimePoint(100s)},
        TimeCase{"far_future", "9223372036854775807", base::TimePoint(100s)},
        TimeCase{"far_past", "-9223372036854775808", base::TimePoint(80s)}),
    [](const auto &Info) { return std::string(Info.param.Name_); });

struct RowCase {
  std::string_view Name_;
  std::string_view Row_;
};

std::ostream &operator<<(std::ostream &Out, const RowCase &Value) {
  return Out << Value.Name_;
}

class UnreadableReportTest : public testing::TestWithParam<RowCase> {};

TEST_P(UnreadableReportTest, IsLeftOut) {
  CrashReports Read;
  EXPECT_FALSE(decodeReport(GetParam().Row_, clockAt(100s, 20'000ms), Read));
  EXPECT_TRUE(Read.empty());
}

INSTANTIATE_TEST_SUITE_P(
    Rows, UnreadableReportTest,
    testing::Values(
        RowCase{"empty", ""}, RowCase{"no_json", "\xff{"},
        RowCase{"no_object", "[1]"}, RowCase{"no_kind", R"({"at_ms": 1})"},
        RowCase{"no_time", R"({"crash": "i", "parts": []})"},
        RowCase{"time_text", R"({"crash": "i", "parts": [], "at_ms": "1"})"},
        RowCase{"crash_number", R"({"crash": 1, "parts": [], "at_ms": 1})"},
        RowCase{"no_parts", R"({"crash": "i", "at_ms": 1})"},
        RowCase{"part_number", R"({"crash": "i", "parts": [1], "at_ms": 1})"},
        RowCase{"part_no_hex", R"({"crash": "i", "parts": ["x"], "at_ms": 1})"},
        RowCase{
            "part_too_long",
            R"({"crash": "i", "parts": ["11111111111111111"], "at_ms": 1})"},
        RowCase{"sound_number", R"({"sound": 1, "crashes": [], "at_ms": 1})"},
        RowCase{"sound_without_crashes", R"({"sound": "a", "at_ms": 1})"},
        RowCase{"sound_crash_number",
                R"({"sound": "a", "crashes": [1], "at_ms": 1})"}),
    [](const auto &Info) { return std::string(Info.param.Name_); });

} // namespace
} // namespace camphorwind::direct
