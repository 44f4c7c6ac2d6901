#include "camphorwind/net/http-client.h"

#include "camphorwind/net/http-server.h"

#include "scripted-peer.h"

#include <gtest/gtest.h>

#include <chrono>
#include <optional>
#include <ostream>
#include <string>
#include <string_view>

using namespace camphorwind::base;
using namespace camphorwind::net;

namespace {

class HttpClientTest : public testing::Test {
protected:
  HttpClientTest()
      : Owner_(std::move(Loop::create().value())),
        Client_(std::move(HttpClient::create(*Owner_).value())) {
    Server_ = std::move(
        HttpServer::create(
            *Owner_, {"127.0.0.1", 0}, {},
            [this](HttpRequest, std::shared_ptr<HttpExchange> Exchange) {
              Kept_ = std::move(Exchange);
              if (OnRequest_)
                OnRequest_();
            })
            .value());
  }

  HttpCall call() const {
    HttpCall Call;
    Call.Url_ = "http://" + toString(Server_->address()) + "/";
    return Call;
  }

  /// Runs \p Call and returns how it ended.
  std::optional<HttpCallErrorKind> errorOf(HttpCall Call) {
    std::optional<HttpCallErrorKind> Kind;
    HttpCallEvents Events;
    Events.OnEnd_ = [&](auto Ended) {
      if (!Ended)
        Kind = Ended.error().Kind_;
      Owner_->stop();
    };
    Client_->start(std::move(Call), std::move(Events));
    Owner_->run();
    return Kind;
  }

  std::unique_ptr<Loop> Owner_;
  std::unique_ptr<HttpClient> Client_;
  std::unique_ptr<HttpServer> Server_;
  std::shared_ptr<HttpExchange> Kept_;
  std::function<void()> OnRequest_;
};

TEST_F(HttpClientTest, RefusedConnectionProvesThatNothingWasSent) {
  HttpCall Call = call();
  Server_.reset();
  EXPECT_EQ(errorOf(Call), HttpCallErrorKind::NotSent);
}

struct SentOnceCase {
  std::string_view Name_;
  /// What the peer does to the connection of the second call.
  test::Then Then_ = test::Then::Close;
  std::string Body_;
};

std::ostream &operator<<(std::ostream &Out, const SentOnceCase &Value) {
  return Out << Value.Name_;
}

class SentOnceTest : public HttpClientTest,
                     public testing::WithParamInterface<SentOnceCase> {};

/// Guards against a call that was carried out and is reported as refused: its
/// kept connection ends before the answer, and the answer to a second send,
/// which the caller did not ask for, is taken for the answer to the first.
TEST_P(SentOnceTest, CallWithABodyIsNotSentAgain) {
  const test::Reply Ok{"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"};
  const test::Reply Refusal{
      "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"};
  test::ScriptedPeer Peer(*Owner_, {Ok, {"", GetParam().Then_}, Refusal});
  HttpCall Call;
  Call.Method_ = "POST";
  Call.Url_ = "http://" + toString(Peer.address()) + "/transact";
  Call.Body_ = GetParam().Body_;
  EXPECT_EQ(errorOf(Call), std::nullopt);
  EXPECT_EQ(errorOf(Call), HttpCallErrorKind::Lost);
  EXPECT_EQ(Peer.requests(), 2u);
}

INSTANTIATE_TEST_SUITE_P(
    Ends, SentOnceTest,
    testing::Values(SentOnceCase{"closed", test::Then::Close, "{}"},
                    SentOnceCase{"reset", test::Then::Reset, "{}"},
                    SentOnceCase{"and_the_peer_is_gone", test::Then::Crash,
                                 "{}"},
                    SentOnceCase{"large_body", test::Then::Reset,
                                 std::string(100'000, 'x')}),
    [](const auto &Info) { return std::string(Info.param.Name_); });

/// An answer that is not HTTP/1.
struct UnreadableAnswerCase {
  std::string_view Name_;
  std::string_view Bytes_;
};

std::ostream &operator<<(std::ostream &Out, const UnreadableAnswerCase &Value) {
  return Out << Value.Name_;
}

class UnreadableAnswerTest
    : public HttpClientTest,
      public testing::WithParamInterface<UnreadableAnswerCase> {};

/// Guards against a second run of a call that was carried out: its answer can't
/// be read, and without a body the call counts as not sent.
TEST_P(UnreadableAnswerTest, CallWithoutABodyCountsAsSent) {
  test::ScriptedPeer Peer(
      *Owner_, {{std::string(GetParam().Bytes_), test::Then::Close}});
  HttpCall Call;
  Call.Method_ = "POST";
  Call.Url_ = "http://" + toString(Peer.address()) + "/orders";
  EXPECT_EQ(errorOf(Call), HttpCallErrorKind::Malformed);
  EXPECT_EQ(Peer.requests(), 1u);
}

INSTANTIATE_TEST_SUITE_P(
    Answers, UnreadableAnswerTest,
    testing::Values(
        UnreadableAnswerCase{"no_status_line", "garbage\r\n\r\n"},
        UnreadableAnswerCase{"unknown_version", "HTTP/7.0 200 OK\r\n\r\n"},
        UnreadableAnswerCase{"status_000", "HTTP/1.1 000 Trouble\r\n"
                                           "Content-Length: 4\r\n\r\nfour"},
        UnreadableAnswerCase{"status_600", "HTTP/1.1 600 Trouble\r\n"
                                           "Content-Length: 4\r\n\r\nfour"}),
    [](const auto &Info) { return std::string(Info.param.Name_); });

/// Guards against a part of an answer that counts as whole because its peer
/// ended the connection before it had read the call.
TEST_F(HttpClientTest, AnswerThatEndsBeforeTheCallWasSentIsLost) {
  test::ScriptedPeer Peer(
      *Owner_, {{"HTTP/1.1 200 OK\r\n\r\nfour", test::Then::Shutdown, true}});
  constexpr std::size_t MoreThanSocketsHold = 16UL * 1024 * 1024;
  HttpCall Call;
  Call.Method_ = "POST";
  Call.Url_ = "http://" + toString(Peer.address()) + "/";
  Call.Body_ = std::string(MoreThanSocketsHold, 'x');
  EXPECT_EQ(errorOf(std::move(Call)), HttpCallErrorKind::Lost);
}

TEST_F(HttpClientTest, SilentPeerIsStalled) {
  HttpCall Call = call();
  Call.StallTimeout_ = std::chrono::milliseconds(20);
  EXPECT_EQ(errorOf(Call), HttpCallErrorKind::Stalled);
}

TEST_F(HttpClientTest, WholeCallLimitIsTimedOut) {
  HttpCall Call = call();
  Call.Timeout_ = std::chrono::milliseconds(20);
  EXPECT_EQ(errorOf(Call), HttpCallErrorKind::TimedOut);
}

TEST_F(HttpClientTest, ConnectionThatBreaksAfterTheRequestIsLost) {
  OnRequest_ = [this] { Kept_->abortStream(); };
  EXPECT_EQ(errorOf(call()), HttpCallErrorKind::Lost);
}

/// Bytes of an answer whose peer then closes the connection.
struct ClosedAnswerCase {
  std::string_view Name_;
  std::string Bytes_;
  bool Whole_ = false;
};

std::ostream &operator<<(std::ostream &Out, const ClosedAnswerCase &Value) {
  return Out << Value.Name_;
}

class ClosedAnswerTest : public HttpClientTest,
                         public testing::WithParamInterface<ClosedAnswerCase> {
};

/// Guards against answers that count as whole, with an empty body, because the
/// peer closed the connection inside their head or before their body.
TEST_P(ClosedAnswerTest, IsWholeOnlyIfItsHeadIsAndABodyFollows) {
  test::ScriptedPeer Peer(*Owner_, {{GetParam().Bytes_, test::Then::Close}});
  HttpCall Call;
  Call.Url_ = "http://" + toString(Peer.address()) + "/";
  auto Error = errorOf(std::move(Call));
  EXPECT_EQ(!Error, GetParam().Whole_);
  if (Error) {
    EXPECT_EQ(*Error, HttpCallErrorKind::Lost);
  }
}

INSTANTIATE_TEST_SUITE_P(
    Answers, ClosedAnswerTest,
    testing::Values(
        ClosedAnswerCase{"inside_the_status_line", "HTTP/1.1 200 O"},
        ClosedAnswerCase{"after_the_status_line", "HTTP/1.1 200 OK\r\n"},
        ClosedAnswerCase{"inside_a_field", "HTTP/1.1 200 OK\r\nContent-Le"},
        ClosedAnswerCase{"after_a_field", "HTTP/1.1 200 OK\r\nX-Id: 1\r\n"},
        ClosedAnswerCase{"after_the_length",
                         "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"},
        ClosedAnswerCase{"inside_the_empty_line",
                         "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r"},
        ClosedAnswerCase{"after_an_interim_head",
                         "HTTP/1.1 100 Continue\r\n\r\n"},
        ClosedAnswerCase{"inside_the_head_after_an_interim_one",
                         "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n"},
        ClosedAnswerCase{"before_a_body_without_length",
                         "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\n"},
        ClosedAnswerCase{"before_a_body_of_http_1_0",
                         "HTTP/1.0 200 OK\r\nX-Id: 1\r\n\r\n"},
        ClosedAnswerCase{"inside_a_body_with_length",
                         "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwho"},
        ClosedAnswerCase{"after_a_body_without_length",
                         "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nwhole", true},
        ClosedAnswerCase{"after_a_length_of_zero",
                         "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", true},
        ClosedAnswerCase{"after_no_content", "HTTP/1.1 204 No Content\r\n\r\n",
                         true},
        ClosedAnswerCase{"error_without_body",
                         "HTTP/1.1 404 Not Found\r\nX-Id: 1\r\n\r\n", true}),
    [](const auto &Info) { return std::string(Info.param.Name_); });

TEST_F(HttpClientTest, PausedBodyIsDeliveredAgainAfterResume) {
  OnRequest_ = [this] { Kept_->respond({200, {}, "body"}); };
  int Deliveries = 0;
  std::string Body;
  HttpCallId Id = 0;
  HttpCallEvents Events;
  Events.OnBody_ = [&](std::string_view Data) {
    if (++Deliveries == 1) {
      Client_->resume(Id);
      return BodyFlow::Pause;
    }
    Body.append(Data);
    return BodyFlow::Continue;
  };
  Events.OnEnd_ = [&](auto) { Owner_->stop(); };
  Id = Client_->start(call(), std::move(Events));
  Owner_->run();
  EXPECT_EQ(Body, "body");
  EXPECT_EQ(Deliveries, 2);
}

TEST_F(HttpClientTest, CallCancelledFromItsOwnBodyEndsInSilence) {
  OnRequest_ = [this] {
    Kept_->startStream(200, {});
    Kept_->write("first");
    Kept_->onHangup([this](ConnectionEnd) { Owner_->stop(); });
  };
  HttpCallId Id = 0;
  HttpCallEvents Events;
  Events.OnBody_ = [&](std::string_view) {
    Client_->cancel(Id);
    return BodyFlow::Continue;
  };
  Events.OnEnd_ = [](auto) { ADD_FAILURE() << "cancelled calls do not end"; };
  Id = Client_->start(call(), std::move(Events));
  Owner_->run();
  EXPECT_EQ(Client_->inProgress(), 0u);
}

TEST_F(HttpClientTest, CallCanStartFromAnotherCallsBody) {
  int Answers = 0;
  OnRequest_ = [this] { Kept_->respond({200, {}, "body"}); };
  HttpCallEvents Events;
  Events.OnBody_ = [&](std::string_view) {
    Client_->fetch(call(), [&](auto End) {
      EXPECT_TRUE(End);
      if (++Answers == 2)
        Owner_->stop();
    });
    return BodyFlow::Continue;
  };
  Events.OnEnd_ = [&](auto End) {
    EXPECT_TRUE(End);
    if (++Answers == 2)
      Owner_->stop();
  };
  Client_->start(call(), std::move(Events));
  Owner_->run();
  EXPECT_EQ(Answers, 2);
}

} // namespace
