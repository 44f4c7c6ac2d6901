#include "camphorwind/direct/headers.h"

#include <gtest/gtest.h>

#include <cstdint>
#include <optional>
#include <ostream>
#include <string>

using namespace camphorwind;
using namespace camphorwind::direct;
using namespace std::chrono_literals;

namespace {

TEST(RequestMetadataTest, ParsesRequestHeaders) {
  net::HttpHeaders Headers{{"Host", "shop.example"},
                           {"X-Attempt-Id", "a1"},
                           {"X-Time-Left-Ms", "2500"},
                           {"X-Model", "m"},
                           {"X-Token-Bounds", "1460,80"},
                           {"X-Prompt-Parts", "5c1e:800, 91bd:410,e440:250"},
                           {"Last-Event-ID", "12"},
                           {"Authorization", "Bearer secret"}};
  RequestMetadata Metadata = parseRequestHeaders(Headers, HeaderNames());
  EXPECT_EQ(Metadata.AttemptId_, "a1");
  EXPECT_EQ(Metadata.TimeLeft_, 2500ms);
  EXPECT_EQ(Metadata.Host_, "shop.example");
  EXPECT_EQ(Metadata.ApiKey_, "secret");
  EXPECT_EQ(Metadata.LastEventId_, 12u);
  EXPECT_TRUE(Metadata.HasTokenBounds_);
  EXPECT_EQ(Metadata.PromptTokens_, base::Tokens(1460));
  EXPECT_EQ(Metadata.MaxOutputTokens_, base::Tokens(80));
  ASSERT_EQ(Metadata.PromptParts_.size(), 3u);
  EXPECT_EQ(Metadata.PromptParts_[1].Tokens_, 410u);
}

struct MalformedHeaderCase {
  std::string Name_;
  std::string Header_;
  std::string Value_;
};

std::ostream &operator<<(std::ostream &Out, const MalformedHeaderCase &Value) {
  return Out << Value.Name_;
}

class MalformedHeaderTest : public testing::TestWithParam<MalformedHeaderCase> {
};

TEST_P(MalformedHeaderTest, IsTreatedAsAbsent) {
  net::HttpHeaders Headers{{GetParam().Header_, GetParam().Value_}};
  RequestMetadata Metadata = parseRequestHeaders(Headers, HeaderNames());
  EXPECT_EQ(Metadata.TimeLeft_, std::nullopt);
  EXPECT_EQ(Metadata.LastEventId_, std::nullopt);
  EXPECT_FALSE(Metadata.HasTokenBounds_);
  EXPECT_TRUE(Metadata.ApiKey_.empty());
}

INSTANTIATE_TEST_SUITE_P(
    Fields, MalformedHeaderTest,
    testing::Values(
        MalformedHeaderCase{"negative_time", "X-Time-Left-Ms", "-1"},
        MalformedHeaderCase{"text_time", "X-Time-Left-Ms", "soon"},
        MalformedHeaderCase{"time_with_unit", "X-Time-Left-Ms", "5s"},
        MalformedHeaderCase{"one_bound", "X-Token-Bounds", "1460"},
        MalformedHeaderCase{"three_bounds", "X-Token-Bounds", "1,2,3"},
        MalformedHeaderCase{"negative_bound", "X-Token-Bounds", "1,-2"},
        MalformedHeaderCase{"text_event", "Last-Event-ID", "x"},
        MalformedHeaderCase{"other_scheme", "Authorization", "Basic x"},
        MalformedHeaderCase{"no_key", "Authorization", "Bearer "}),
    [](const auto &Info) { return Info.param.Name_; });

struct ForwardingCase {
  std::string Name_;
  std::string Header_;
  bool Forwarded_ = false;
};

std::ostream &operator<<(std::ostream &Out, const ForwardingCase &Value) {
  return Out << Value.Name_;
}

class ForwardedHeaderTest : public testing::TestWithParam<ForwardingCase> {};

TEST_P(ForwardedHeaderTest, ForwardsOnlyEndToEndHeaders) {
  HeaderNames Names;
  Names.Reserved_ = {"X-Reserved"};
  net::HttpHeaders FromCaller{{"Connection", "keep-alive, X-Hop"},
                              {GetParam().Header_, "from-caller"}};
  net::HttpHeaders Sent =
      makeAttemptHeaders(FromCaller, AttemptMetadata(), Names);
  bool IsForwarded = false;
  for (const auto &[Name, Value] : Sent.fields())
    IsForwarded = IsForwarded || Value == "from-caller";
  EXPECT_EQ(IsForwarded, GetParam().Forwarded_);
}

INSTANTIATE_TEST_SUITE_P(
    Fields, ForwardedHeaderTest,
    testing::Values(ForwardingCase{"own_field", "X-Mine", true},
                    ForwardingCase{"attempt", "X-Attempt-Id", true},
                    ForwardingCase{"host", "Host", true},
                    ForwardingCase{"key", "Authorization"},
                    ForwardingCase{"account", "x-account"},
                    ForwardingCase{"instance", "X-Expect-Instance"},
                    ForwardingCase{"urgency", "X-Priority"},
                    ForwardingCase{"reserved", "x-reserved"},
                    ForwardingCase{"length", "Content-Length"},
                    ForwardingCase{"encoding", "Transfer-Encoding"},
                    ForwardingCase{"listed", "x-hop"}),
    [](const auto &Info) { return Info.param.Name_; });

TEST(AttemptHeadersTest, CarryTheRoutersValues) {
  AttemptMetadata Metadata;
  Metadata.TimeLeft_ = 1200ms;
  Metadata.ExpectedInstance_ = "i-1";
  Metadata.Account_ = "shop";
  Metadata.Urgency_ = 2;
  Metadata.LastEventId_ = 7;
  Metadata.FetchCacheFrom_ = base::Address{"10.0.0.1", 80};
  net::HttpHeaders Sent = makeAttemptHeaders({}, Metadata, HeaderNames());
  EXPECT_EQ(Sent.find("X-Time-Left-Ms"), "1200");
  EXPECT_EQ(Sent.find("X-Expect-Instance"), "i-1");
  EXPECT_EQ(Sent.find("X-Account"), "shop");
  EXPECT_EQ(Sent.find("X-Priority"), "2");
  EXPECT_EQ(Sent.find("Last-Event-ID"), "7");
  EXPECT_EQ(Sent.find("X-Cache-From"), "10.0.0.1:80");
}

TEST(ResponseMetadataTest, ParsesLoadSignatureAndNotExecuted) {
  net::HttpHeaders Headers{{"X-Load", "3,1,8"},
                           {"X-Signature", "s"},
                           {"X-Not-Executed", "1"},
                           {"X-Attempt-Id", "a1"}};
  ResponseMetadata Metadata = parseResponseHeaders(200, Headers, HeaderNames());
  ASSERT_TRUE(Metadata.Load_);
  EXPECT_EQ(Metadata.Load_->Running_, 3u);
  EXPECT_EQ(Metadata.Load_->Waiting_, 1u);
  EXPECT_EQ(Metadata.Load_->Slots_, 8u);
  EXPECT_TRUE(Metadata.Signed_);
  EXPECT_TRUE(Metadata.NotExecuted_);
  EXPECT_EQ(Metadata.AttemptId_, "a1");
  EXPECT_FALSE(Metadata.Leaving_);
  EXPECT_EQ(Metadata.HoldOff_, std::nullopt);
  EXPECT_TRUE(Metadata.Malformed_.empty());
}

struct LoadCase {
  std::string Name_;
  std::string Value_;
  bool Readable_ = true;
  std::optional<std::uint32_t> WorkTimePercent_;
};

std::ostream &operator<<(std::ostream &Out, const LoadCase &Value) {
  return Out << Value.Name_;
}

class LoadHeaderTest : public testing::TestWithParam<LoadCase> {};

// Guards against placement without any load where endpoints state more figures
// than this version knows.
TEST_P(LoadHeaderTest, ReadsTheFiguresThatAreKnown) {
  net::HttpHeaders Headers{{"X-Load", GetParam().Value_}};
  ResponseMetadata Metadata = parseResponseHeaders(200, Headers, HeaderNames());
  ASSERT_EQ(Metadata.Load_.has_value(), GetParam().Readable_);
  EXPECT_EQ(Metadata.Malformed_.empty(), GetParam().Readable_);
  if (!Metadata.Load_)
    return;
  EXPECT_EQ(Metadata.Load_->Running_, 3u);
  EXPECT_EQ(Metadata.Load_->Waiting_, 1u);
  EXPECT_EQ(Metadata.Load_->Slots_, 8u);
  EXPECT_EQ(Metadata.Load_->WorkTimePercent_, GetParam().WorkTimePercent_);
}

INSTANTIATE_TEST_SUITE_P(
    Values, LoadHeaderTest,
    testing::Values(LoadCase{"three_figures", "3,1,8", true, std::nullopt},
                    LoadCase{"work_time", "3,1,8,130", true, 130},
                    LoadCase{"spaces", "3, 1, 8, 130", true, 130},
                    LoadCase{"later_figures", "3,1,8,130,7,x", true, 130},
                    LoadCase{"unreadable_work_time", "3,1,8,x", true,
                             std::nullopt},
                    LoadCase{"two_figures", "3,1", false, std::nullopt},
                    LoadCase{"no_number", "3,x,8,130", false, std::nullopt}),
    [](const auto &Info) { return Info.param.Name_; });

/// A response header by which an endpoint states something about itself.
struct EndpointStateCase {
  std::string Name_;
  unsigned Status_ = 200;
  std::string Header_;
  std::string Value_;
  bool Leaving_ = false;
  std::optional<std::chrono::milliseconds> HoldOff_;
  bool Malformed_ = false;
};

std::ostream &operator<<(std::ostream &Out, const EndpointStateCase &Value) {
  return Out << Value.Name_;
}

class EndpointStateTest : public testing::TestWithParam<EndpointStateCase> {};

TEST_P(EndpointStateTest, IsParsedOrReportedAsMalformed) {
  const EndpointStateCase &Case = GetParam();
  ResponseMetadata Metadata = parseResponseHeaders(
      Case.Status_, {{Case.Header_, Case.Value_}}, HeaderNames());
  EXPECT_EQ(Metadata.Leaving_, Case.Leaving_);
  EXPECT_EQ(Metadata.HoldOff_, Case.HoldOff_);
  EXPECT_EQ(Metadata.Malformed_.size(), Case.Malformed_ ? 1u : 0u);
}

INSTANTIATE_TEST_SUITE_P(
    Headers, EndpointStateTest,
    testing::Values(
        EndpointStateCase{"leaving", 200, "X-Leaving", "1", true},
        EndpointStateCase{"leaving_in_refusal", 503, "X-Leaving", " 1 ", true},
        EndpointStateCase{"not_leaving", 200, "X-Leaving", "0"},
        EndpointStateCase{"leaving_text", 200, "X-Leaving", "yes", false,
                          std::nullopt, true},
        EndpointStateCase{"hold_off", 503, "Retry-After", "2", false, 2000ms},
        EndpointStateCase{"hold_off_fraction", 503, "Retry-After", "0.75",
                          false, 750ms},
        EndpointStateCase{"hold_off_in_success", 200, "Retry-After", "2",
                          false},
        EndpointStateCase{"hold_off_year", 503, "Retry-After", "31536000",
                          false, MaxHoldOff},
        EndpointStateCase{"hold_off_huge", 503, "Retry-After", "1e300", false,
                          MaxHoldOff},
        EndpointStateCase{"hold_off_negative", 503, "Retry-After", "-1", false,
                          std::nullopt, true},
        EndpointStateCase{"hold_off_nan", 503, "Retry-After", "nan", false,
                          std::nullopt, true},
        EndpointStateCase{"hold_off_text", 503, "Retry-After", "soon", false,
                          std::nullopt, true},
        EndpointStateCase{"hold_off_empty", 503, "Retry-After", "", false,
                          std::nullopt, true},
        EndpointStateCase{"load_text", 200, "X-Load", "3,x,8", false,
                          std::nullopt, true}),
    [](const auto &Info) { return Info.param.Name_; });

struct RequestLimitCase {
  std::string Name_;
  std::string Value_;
  std::optional<double> PerSecond_;
};

std::ostream &operator<<(std::ostream &Out, const RequestLimitCase &Value) {
  return Out << Value.Name_;
}

class RequestLimitHeaderTest : public testing::TestWithParam<RequestLimitCase> {
};

TEST_P(RequestLimitHeaderTest, IsParsedOrReportedAsUnreadable) {
  const RequestLimitCase &Case = GetParam();
  ResponseMetadata Metadata = parseResponseHeaders(
      200, {{"X-Request-Limit", Case.Value_}}, HeaderNames());
  EXPECT_EQ(Metadata.RequestLimit_, Case.PerSecond_);
  EXPECT_EQ(Metadata.RequestLimitUnreadable_, !Case.PerSecond_);
  EXPECT_EQ(Metadata.Malformed_.size(), Case.PerSecond_ ? 0u : 1u);
}

INSTANTIATE_TEST_SUITE_P(
    Values, RequestLimitHeaderTest,
    testing::Values(RequestLimitCase{"whole", "12", 12.0},
                    RequestLimitCase{"fraction", " 2.5 ", 2.5},
                    RequestLimitCase{"below_one", "0.3", 0.3},
                    RequestLimitCase{"none_at_all", "0", 0.0},
                    RequestLimitCase{"huge", "1e300", 1e300},
                    RequestLimitCase{"negative", "-2", std::nullopt},
                    RequestLimitCase{"nan", "nan", std::nullopt},
                    RequestLimitCase{"infinite", "inf", std::nullopt},
                    RequestLimitCase{"too_large", "1e999", std::nullopt},
                    RequestLimitCase{"unit", "2/s", std::nullopt},
                    RequestLimitCase{"empty", "", std::nullopt}),
    [](const auto &Info) { return Info.param.Name_; });

TEST(ResponseMetadataTest, NoRequestLimitIsNotUnreadable) {
  ResponseMetadata Metadata = parseResponseHeaders(200, {}, HeaderNames());
  EXPECT_EQ(Metadata.RequestLimit_, std::nullopt);
  EXPECT_FALSE(Metadata.RequestLimitUnreadable_);
}

} // namespace
