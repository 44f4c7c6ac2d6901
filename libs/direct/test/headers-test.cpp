#include "camphorwind/direct/headers.h"

#include <gtest/gtest.h>

#include <optional>
#include <ostream>
#include <string>

using namespace camphorwind;
using namespace camphorwind::direct;
using namespace std::chrono_literals;

namespace {

TEST(RequestFactsTest, ReadsWhatACallerSays) {
  net::HttpHeaders Headers{{"Host", "shop.example"},
                           {"X-Attempt-Id", "a1"},
                           {"X-Time-Left-Ms", "2500"},
                           {"X-Model", "m"},
                           {"X-Token-Bounds", "1460,80"},
                           {"X-Prompt-Parts", "5c1e:800, 91bd:410,e440:250"},
                           {"Last-Event-ID", "12"},
                           {"Authorization", "Bearer secret"}};
  RequestFacts Facts = readRequest(Headers, HeaderNames());
  EXPECT_EQ(Facts.AttemptId_, "a1");
  EXPECT_EQ(Facts.TimeLeft_, 2500ms);
  EXPECT_EQ(Facts.Host_, "shop.example");
  EXPECT_EQ(Facts.Key_, "secret");
  EXPECT_EQ(Facts.LastEventId_, 12u);
  EXPECT_TRUE(Facts.HasTokenBounds_);
  EXPECT_EQ(Facts.PromptTokens_, base::Tokens(1460));
  EXPECT_EQ(Facts.MaxOutputTokens_, base::Tokens(80));
  ASSERT_EQ(Facts.Parts_.size(), 3u);
  EXPECT_EQ(Facts.Parts_[1].Tokens_, 410u);
}

struct BadFieldCase {
  std::string Name_;
  std::string Field_;
  std::string Value_;
};

std::ostream &operator<<(std::ostream &Out, const BadFieldCase &Value) {
  return Out << Value.Name_;
}

class BadFieldTest : public testing::TestWithParam<BadFieldCase> {};

TEST_P(BadFieldTest, CountsAsAbsent) {
  net::HttpHeaders Headers{{GetParam().Field_, GetParam().Value_}};
  RequestFacts Facts = readRequest(Headers, HeaderNames());
  EXPECT_EQ(Facts.TimeLeft_, std::nullopt);
  EXPECT_EQ(Facts.LastEventId_, std::nullopt);
  EXPECT_FALSE(Facts.HasTokenBounds_);
  EXPECT_TRUE(Facts.Key_.empty());
}

INSTANTIATE_TEST_SUITE_P(
    Fields, BadFieldTest,
    testing::Values(BadFieldCase{"negative_time", "X-Time-Left-Ms", "-1"},
                    BadFieldCase{"text_time", "X-Time-Left-Ms", "soon"},
                    BadFieldCase{"time_with_unit", "X-Time-Left-Ms", "5s"},
                    BadFieldCase{"one_bound", "X-Token-Bounds", "1460"},
                    BadFieldCase{"three_bounds", "X-Token-Bounds", "1,2,3"},
                    BadFieldCase{"negative_bound", "X-Token-Bounds", "1,-2"},
                    BadFieldCase{"text_event", "Last-Event-ID", "x"},
                    BadFieldCase{"other_scheme", "Authorization", "Basic x"},
                    BadFieldCase{"no_key", "Authorization", "Bearer "}),
    [](const auto &Info) { return Info.param.Name_; });

struct ForwardCase {
  std::string Name_;
  std::string Field_;
  bool Forwarded_ = false;
};

std::ostream &operator<<(std::ostream &Out, const ForwardCase &Value) {
  return Out << Value.Name_;
}

class ForwardedFieldTest : public testing::TestWithParam<ForwardCase> {};

TEST_P(ForwardedFieldTest, OnlyEndToEndFieldsAreSentOn) {
  HeaderNames Names;
  Names.Reserved_ = {"X-Reserved"};
  net::HttpHeaders FromCaller{{"Connection", "keep-alive, X-Hop"},
                              {GetParam().Field_, "from-caller"}};
  net::HttpHeaders Sent = makeAttemptHeaders(FromCaller, AttemptFacts(), Names);
  bool Found = false;
  for (const auto &[Name, Value] : Sent.fields())
    Found = Found || Value == "from-caller";
  EXPECT_EQ(Found, GetParam().Forwarded_);
}

INSTANTIATE_TEST_SUITE_P(
    Fields, ForwardedFieldTest,
    testing::Values(ForwardCase{"own_field", "X-Mine", true},
                    ForwardCase{"attempt", "X-Attempt-Id", true},
                    ForwardCase{"host", "Host", true},
                    ForwardCase{"key", "Authorization"},
                    ForwardCase{"account", "x-account"},
                    ForwardCase{"instance", "X-Expect-Instance"},
                    ForwardCase{"urgency", "X-Priority"},
                    ForwardCase{"reserved", "x-reserved"},
                    ForwardCase{"length", "Content-Length"},
                    ForwardCase{"encoding", "Transfer-Encoding"},
                    ForwardCase{"listed", "x-hop"}),
    [](const auto &Info) { return Info.param.Name_; });

TEST(AttemptHeadersTest, SayWhatTheRouterDecided) {
  AttemptFacts Facts;
  Facts.TimeLeft_ = 1200ms;
  Facts.Instance_ = "i-1";
  Facts.Account_ = "shop";
  Facts.Urgency_ = 2;
  Facts.LastEventId_ = 7;
  Facts.FetchCacheFrom_ = base::Address{"10.0.0.1", 80};
  net::HttpHeaders Sent = makeAttemptHeaders({}, Facts, HeaderNames());
  EXPECT_EQ(Sent.find("X-Time-Left-Ms"), "1200");
  EXPECT_EQ(Sent.find("X-Expect-Instance"), "i-1");
  EXPECT_EQ(Sent.find("X-Account"), "shop");
  EXPECT_EQ(Sent.find("X-Priority"), "2");
  EXPECT_EQ(Sent.find("Last-Event-ID"), "7");
  EXPECT_EQ(Sent.find("X-Cache-From"), "10.0.0.1:80");
}

TEST(AnswerFactsTest, ReadsLoadAndProof) {
  net::HttpHeaders Headers{{"X-Load", "3,1,8"},
                           {"X-Signature", "s"},
                           {"X-Not-Executed", "1"},
                           {"X-Attempt-Id", "a1"}};
  AnswerFacts Facts = readAnswer(Headers, HeaderNames());
  ASSERT_TRUE(Facts.Load_);
  EXPECT_EQ(Facts.Load_->Running_, 3u);
  EXPECT_EQ(Facts.Load_->Waiting_, 1u);
  EXPECT_EQ(Facts.Load_->Slots_, 8u);
  EXPECT_TRUE(Facts.Signed_);
  EXPECT_TRUE(Facts.NotExecuted_);
  EXPECT_EQ(Facts.AttemptId_, "a1");
}

} // namespace
