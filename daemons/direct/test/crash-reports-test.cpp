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
  using Kind = routing::Suspect::Kind;
  Sent.Crashes_ = {{"i-1/5",
                    {{Kind::PromptPart, 0xab},
                     {Kind::PromptPart, 0xffffffffffffffff},
                     {Kind::Request, 0x12}},
                    base::TimePoint(8s)}};
  Sent.Sound_ = {
      {{Kind::PromptPart, 0xcd}, {"i-1/5", "i-2/"}, base::TimePoint(9s)},
      {{Kind::Request, 0x12}, {"i-1/5"}, base::TimePoint(9s)}};
  std::vector<CrashReportRow> Rows =
      encodeReports(Sent, base::RouterId("edge-1"), clockAt(10s, 1'000'000ms));
  ASSERT_EQ(Rows.size(), 3u);
  EXPECT_EQ(Rows[0].Key_, "crash/i-1/5/edge-1");

  CrashReports Received;
  ClockReading There = clockAt(500s, 1'003'000ms);
  for (const CrashReportRow &Each : Rows)
    EXPECT_TRUE(decodeReport(Each.Value_, There, Received));
  ASSERT_EQ(Received.Crashes_.size(), 1u);
  EXPECT_EQ(Received.Crashes_[0].Crash_, "i-1/5");
  EXPECT_EQ(Received.Crashes_[0].Suspects_, Sent.Crashes_[0].Suspects_);
  // 2 s old when it was written, and 3 s by the time of day since then.
  EXPECT_EQ(Received.Crashes_[0].At_, base::TimePoint(495s));
  ASSERT_EQ(Received.Sound_.size(), 2u);
  for (std::size_t Index = 0; Index < Sent.Sound_.size(); ++Index) {
    EXPECT_EQ(Received.Sound_[Index].Suspect_, Sent.Sound_[Index].Suspect_);
    EXPECT_EQ(Received.Sound_[Index].Crashes_, Sent.Sound_[Index].Crashes_);
  }
}

/// Guards against rows of routers of an earlier version that can't be read.
TEST(CrashReportsTest, RequestsMayBeAbsent) {
  CrashReports Read;
  EXPECT_TRUE(decodeReport(R"({"crash": "i", "parts": ["a"], "at_ms": 1})",
                           clockAt(100s, 20'000ms), Read));
  ASSERT_EQ(Read.Crashes_.size(), 1u);
  EXPECT_EQ(Read.Crashes_[0].Suspects_.size(), 1u);
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
        RowCase{"requests_text",
                R"({"crash": "i", "parts": [], "requests": "a", "at_ms": 1})"},
        RowCase{
            "request_no_hex",
            R"({"crash": "i", "parts": [], "requests": ["x"], "at_ms": 1})"},
        RowCase{"sound_request_number",
                R"({"sound_request": 1, "crashes": [], "at_ms": 1})"},
        RowCase{"sound_number", R"({"sound": 1, "crashes": [], "at_ms": 1})"},
        RowCase{"sound_without_crashes", R"({"sound": "a", "at_ms": 1})"},
        RowCase{"sound_crash_number",
                R"({"sound": "a", "crashes": [1], "at_ms": 1})"}),
    [](const auto &Info) { return std::string(Info.param.Name_); });

} // namespace
} // namespace camphorwind::direct
