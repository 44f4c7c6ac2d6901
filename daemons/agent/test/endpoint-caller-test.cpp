#include "endpoint-caller.h"

#include "scripted-peer.h"

#include <gtest/gtest.h>

#include <chrono>
#include <optional>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>

/// Tests the calls of an agent to an endpoint that answers byte for byte as
/// scripted.
namespace camphorwind::agent {
namespace {

using namespace std::chrono_literals;

/// Calls an engine that answers with \p Answer; returns how the call ended.
std::optional<request::EndpointEnd> callOnce(net::test::Reply Answer) {
  auto Loop = std::move(net::Loop::create().value());
  auto Client = std::move(net::HttpClient::create(*Loop).value());
  net::test::ScriptedPeer Peer(*Loop, {std::move(Answer)});
  AgentSettings Settings;
  Settings.Target_ = Peer.address();
  Settings.ConnectTimeout_ = 1s;
  Settings.StallTimeout_ = 1s;
  std::optional<request::EndpointEnd> End;
  EndpointEvents Events;
  Events.OnHead_ = [](const auto &, const auto &) {};
  Events.OnBytes_ = [](const auto &, const auto &) {};
  Events.OnUsage_ = [](const auto &, const auto &) {};
  Events.HasRoom_ = [](const auto &) { return true; };
  Events.OnEnd_ = [&](const base::AttemptId &, request::EndpointEnd Ended) {
    End = Ended;
    Loop->stop();
  };
  EndpointCaller Caller(*Client, Settings, std::move(Events));
  request::RunAtEndpoint Run;
  Run.Attempt_ = base::AttemptId("a1");
  Run.Call_.Path_ = "/v1/chat/completions";
  Run.Bound_ = base::Tokens(1000);
  net::Timer GiveUp(*Loop, [&] { Loop->stop(); });
  GiveUp.start(5s);
  Caller.run(Run);
  Loop->run();
  return End;
}

struct StreamEndCase {
  std::string_view Name_;
  std::string_view Body_;
  request::EndpointEnd End_ = request::EndpointEnd::Complete;
  std::string_view ContentType_ = "text/event-stream";
};

std::ostream &operator<<(std::ostream &Out, const StreamEndCase &Value) {
  return Out << Value.Name_;
}

class AgentStreamEndTest : public testing::TestWithParam<StreamEndCase> {};

/// Guards against truncated streams that reach callers as complete because the
/// engine's connection was closed without an error.
TEST_P(AgentStreamEndTest, StreamIsCompleteOnlyIfItsLastEventIs) {
  EXPECT_EQ(callOnce({"HTTP/1.1 200 OK\r\nContent-Type: " +
                          std::string(GetParam().ContentType_) + "\r\n\r\n" +
                          std::string(GetParam().Body_),
                      net::test::Then::Close}),
            GetParam().End_);
}

constexpr auto Complete = request::EndpointEnd::Complete;
constexpr auto Failed = request::EndpointEnd::Failed;

INSTANTIATE_TEST_SUITE_P(
    Ends, AgentStreamEndTest,
    testing::Values(
        StreamEndCase{"after_event", "data: 1\n\n", Complete},
        StreamEndCase{"after_event_crlf", "data: 1\r\n\r\n", Complete},
        StreamEndCase{"after_comment", "data: 1\n\n: 2\n", Complete},
        StreamEndCase{"inside_line", "data: 1\n\ndata: 2", Failed},
        StreamEndCase{"before_empty_line", "data: 1\n\ndata: 2\n", Failed},
        StreamEndCase{"before_empty_line_crlf", "data: 1\r\n\r\ndata: 2\r\n",
                      Failed},
        StreamEndCase{"before_first_event", "", Failed},
        StreamEndCase{"json", "{}", Complete, "application/json"}),
    [](const auto &Info) { return std::string(Info.param.Name_); });

/// An error status of an engine, and whether its answer is the caller's.
struct EngineErrorCase {
  std::string_view Name_;
  std::string_view StatusLine_;
  request::EndpointEnd End_ = Failed;
};

std::ostream &operator<<(std::ostream &Out, const EngineErrorCase &Value) {
  return Out << Value.Name_;
}

class EngineErrorTest : public testing::TestWithParam<EngineErrorCase> {};

/// Guards against callers that are told "not run" of a call that may have run,
/// by the status of an engine's answer.
TEST_P(EngineErrorTest, StatusOfRefusalsIsNotTheCallersAnswer) {
  std::string Answer = "HTTP/1.1 ";
  Answer.append(GetParam().StatusLine_).append("\r\nContent-Length: 0\r\n\r\n");
  EXPECT_EQ(callOnce({Answer}), GetParam().End_);
}

INSTANTIATE_TEST_SUITE_P(
    Statuses, EngineErrorTest,
    testing::Values(
        EngineErrorCase{"timeout", "408 Request Timeout"},
        EngineErrorCase{"misdirected", "421 Misdirected Request"},
        EngineErrorCase{"too_many_requests", "429 Too Many Requests"},
        EngineErrorCase{"unavailable", "503 Service Unavailable"},
        EngineErrorCase{"bad_request", "400 Bad Request", Complete}),
    [](const auto &Info) { return std::string(Info.param.Name_); });

/// Guards against an answer to one attempt that is delivered as the answer to
/// the next one, because the endpoint wrote it twice on a kept connection.
TEST(AgentAnswerTest, LateCopyIsNotTheAnswerToTheNextAttempt) {
  auto Loop = std::move(net::Loop::create().value());
  auto Client = std::move(net::HttpClient::create(*Loop).value());
  auto Answer = [](const std::string &Body) {
    return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
           "Content-Length: " +
           std::to_string(Body.size()) + "\r\n\r\n" + Body;
  };
  net::test::ScriptedPeer Peer(
      *Loop, {{.Bytes_ = Answer("first"), .LateBytes_ = Answer("first")},
              {.Bytes_ = Answer("second")}});
  AgentSettings Settings;
  Settings.Target_ = Peer.address();
  Settings.ConnectTimeout_ = 1s;
  Settings.StallTimeout_ = 1s;
  std::string Body;
  EndpointEvents Events;
  Events.OnHead_ = [](const auto &, const auto &) {};
  Events.OnBytes_ = [&Body](const auto &, const std::string &Bytes) {
    Body += Bytes;
  };
  Events.OnUsage_ = [](const auto &, const auto &) {};
  Events.HasRoom_ = [](const auto &) { return true; };
  Events.OnEnd_ = [&](const auto &, const auto &) { Loop->stop(); };
  EndpointCaller Caller(*Client, Settings, std::move(Events));
  for (std::string_view Expected : {"first", "second"}) {
    Body.clear();
    request::RunAtEndpoint Run;
    Run.Attempt_ = base::AttemptId(std::string(Expected));
    Run.Call_.Path_ = "/lookup";
    Run.Bound_ = base::Tokens(1000);
    net::Timer GiveUp(*Loop, [&] { Loop->stop(); });
    GiveUp.start(5s);
    Caller.run(Run);
    Loop->run();
    EXPECT_EQ(Body, Expected);
  }
}

} // namespace
} // namespace camphorwind::agent
