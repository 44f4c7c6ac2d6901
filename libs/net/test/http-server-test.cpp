#include "camphorwind/net/http-server.h"

#include "camphorwind/net/http-client.h"
#include "camphorwind/net/socket.h"

#include <gtest/gtest.h>

#include <cerrno>
#include <chrono>
#include <ostream>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <thread>
#include <utility>

using namespace camphorwind::base;
using namespace camphorwind::net;

namespace {

constexpr std::size_t SmallBodyLimit = 1000;

/// A server and a client on one loop.
class HttpServerTest : public testing::Test {
protected:
  HttpServerTest()
      : Owner_(std::move(Loop::create().value())),
        Client_(std::move(HttpClient::create(*Owner_).value())),
        GiveUp_(*Owner_, [this] {
          ADD_FAILURE() << "no end within a minute";
          Owner_->stop();
        }) {
    GiveUp_.start(std::chrono::minutes(1));
  }

  void serve(HttpHandler Handler) {
    HttpServerLimits Limits;
    Limits.BodyBytes_ = SmallBodyLimit;
    auto Created = HttpServer::create(*Owner_, {"127.0.0.1", 0}, Limits,
                                      std::move(Handler));
    ASSERT_TRUE(Created);
    Server_ = std::move(Created).value();
  }

  HttpCall call(std::string Path, std::string Body = "") {
    HttpCall Call;
    Call.Method_ = Body.empty() ? "GET" : "POST";
    Call.Url_ = "http://" + toString(Server_->address()) + Path;
    Call.Body_ = std::move(Body);
    return Call;
  }

  Result<HttpAnswer, HttpCallError> fetch(HttpCall Call) {
    Result<HttpAnswer, HttpCallError> Got =
        failure(HttpCallError{HttpCallErrorKind::Lost, "never ended"});
    Client_->fetch(std::move(Call), [&](auto Ended) {
      Got = std::move(Ended);
      Owner_->stop();
    });
    Owner_->run();
    return Got;
  }

  std::unique_ptr<Loop> Owner_;
  std::unique_ptr<HttpClient> Client_;
  std::unique_ptr<HttpServer> Server_;
  Timer GiveUp_;
};

TEST_F(HttpServerTest, AnswersAtOnceWithWhatWasSent) {
  serve([](HttpRequest Request, std::shared_ptr<HttpExchange> Exchange) {
    Exchange->respond({200,
                       {},
                       Request.Method_ + Request.Path_ +
                           std::string(*Request.Query_.find("a")) +
                           Request.Body_});
  });
  auto Got = fetch(call("/x?a=1%202", "body"));
  ASSERT_TRUE(Got);
  EXPECT_EQ(Got.value().Body_, "POST/x1 2body");
}

TEST_F(HttpServerTest, AnswersLater) {
  std::shared_ptr<HttpExchange> Kept;
  Timer Later(*Owner_, [&] { Kept->respond({201, {}, "late"}); });
  serve([&](HttpRequest, std::shared_ptr<HttpExchange> Exchange) {
    Kept = std::move(Exchange);
    Later.start(std::chrono::milliseconds(5));
  });
  auto Got = fetch(call("/"));
  ASSERT_TRUE(Got);
  EXPECT_EQ(Got.value().Status_, 201u);
  EXPECT_EQ(Got.value().Body_, "late");
}

TEST_F(HttpServerTest, StreamsInPieces) {
  std::shared_ptr<HttpExchange> Kept;
  int Written = 0;
  Timer Ticker(*Owner_, [&] {
    Kept->write("piece ");
    if (++Written < 3)
      return;
    Kept->endStream();
    Ticker.stop();
  });
  serve([&](HttpRequest, std::shared_ptr<HttpExchange> Exchange) {
    Kept = std::move(Exchange);
    Kept->startStream(200, {});
    Ticker.startRepeating(std::chrono::milliseconds(2));
  });
  auto Got = fetch(call("/"));
  ASSERT_TRUE(Got);
  EXPECT_EQ(Got.value().Body_, "piece piece piece ");
  EXPECT_EQ(Server_->inProgress(), 0u);
}

TEST_F(HttpServerTest, AbortedStreamIsSeenAsNotWhole) {
  serve([](HttpRequest, std::shared_ptr<HttpExchange> Exchange) {
    Exchange->startStream(200, {});
    Exchange->write("half");
    Exchange->abortStream();
  });
  auto Got = fetch(call("/"));
  ASSERT_FALSE(Got);
  EXPECT_EQ(Got.error().Kind_, HttpCallErrorKind::Lost);
}

/// A caller that reads raw bytes until the connection ends.
struct RawAnswer {
  std::string Bytes_;
  /// 0 if the connection was closed without an error.
  int Error_ = 0;
};

RawAnswer fetchRaw(Loop &Owner, const Address &Server,
                   const std::string &Request) {
  RawAnswer Got;
  Socket Connection = std::move(startConnect(Server).value());
  bool Sent = false;
  FdWatcher Watcher(Owner, [&](bool, bool) {
    if (!std::exchange(Sent, true)) {
      ::send(Connection.fd(), Request.data(), Request.size(), MSG_NOSIGNAL);
      Watcher.start(Connection.fd(), Interest::Read);
      return;
    }
    char Buffer[4096];
    ssize_t Size = ::recv(Connection.fd(), Buffer, sizeof(Buffer), 0);
    if (Size > 0) {
      Got.Bytes_.append(Buffer, static_cast<std::size_t>(Size));
      return;
    }
    if (Size < 0 && (errno == EAGAIN || errno == EINTR))
      return;
    Got.Error_ = Size < 0 ? errno : 0;
    Watcher.stop();
    Owner.stop();
  });
  Watcher.start(Connection.fd(), Interest::Write);
  Owner.run();
  return Got;
}

/// Guards against the loss of what was written just before a stream breaks off.
TEST_F(HttpServerTest, AbortedStreamDeliversWhatWasWrittenBefore) {
  serve([](HttpRequest, std::shared_ptr<HttpExchange> Exchange) {
    Exchange->startStream(200, {});
    Exchange->write("half");
    Exchange->abortStream();
  });
  RawAnswer Got = fetchRaw(*Owner_, Server_->address(),
                           "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  EXPECT_NE(Got.Bytes_.find("\r\n4\r\nhalf\r\n"), std::string::npos);
  EXPECT_EQ(Got.Bytes_.find("\r\n0\r\n"), std::string::npos);
}

/// Guards against callers that hold a connection with a body that never ends.
TEST_F(HttpServerTest, BodyThatIsNotWholeInTimeIs408) {
  serve([](HttpRequest, const std::shared_ptr<HttpExchange> &) {
    ADD_FAILURE() << "the handler got a request without its whole body";
  });
  Server_->setBodyTimeLimit([](const HttpRequest &Head) {
    EXPECT_EQ(Head.Path_, "/slow");
    return std::chrono::milliseconds(20);
  });
  RawAnswer Got = fetchRaw(*Owner_, Server_->address(),
                           "POST /slow HTTP/1.1\r\nHost: h\r\n"
                           "Content-Length: 4\r\n\r\nab");
  EXPECT_TRUE(Got.Bytes_.starts_with("HTTP/1.1 408 ")) << Got.Bytes_;
  EXPECT_EQ(Got.Error_, 0);
}

TEST_F(HttpServerTest, BodyTimeLimitDoesNotConcernTheAnswer) {
  std::shared_ptr<HttpExchange> Kept;
  Timer Later(*Owner_, [&] { Kept->respond({200, {}, "late"}); });
  serve([&](HttpRequest, std::shared_ptr<HttpExchange> Exchange) {
    Kept = std::move(Exchange);
    Later.start(std::chrono::milliseconds(60));
  });
  Server_->setBodyTimeLimit(
      [](const HttpRequest &) { return std::chrono::milliseconds(20); });
  auto Got = fetch(call("/", "body"));
  ASSERT_TRUE(Got);
  EXPECT_EQ(Got.value().Status_, 200u);
}

/// Guards against a server that does not know how long requests have waited
/// while it was busy. Each case sends the request on a connection of its own.
TEST_F(HttpServerTest, KnowsWhenARequestArrivedThatItReadsLate) {
  constexpr auto BusyTime = std::chrono::milliseconds(200);
  // The system's clock ticks every few milliseconds.
  constexpr auto Tolerance = std::chrono::milliseconds(50);
  std::chrono::milliseconds Wait{0};
  serve([&](const HttpRequest &Request,
            const std::shared_ptr<HttpExchange> &Exchange) {
    Wait = Request.SocketWait_;
    Exchange->respond({200, {{"Connection", "close"}}, ""});
  });
  Socket Early = std::move(startConnect(Server_->address()).value());
  std::string_view Text = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
  ASSERT_EQ(::send(Early.fd(), Text.data(), Text.size(), MSG_NOSIGNAL),
            static_cast<ssize_t>(Text.size()));
  std::this_thread::sleep_for(BusyTime);
  Timer Stop(*Owner_, [this] { Owner_->stop(); });
  Stop.start(Tolerance);
  Owner_->run();
  EXPECT_GE(Wait, BusyTime - Tolerance);
  fetchRaw(*Owner_, Server_->address(), std::string(Text));
  EXPECT_LE(Wait, Tolerance);
}

struct AbortCase {
  std::string_view Name_;
  std::string_view Request_;
  /// Whether the stream is sent in chunks, so that a missing last chunk shows
  /// that it is not whole.
  bool Chunked_ = true;
};

std::ostream &operator<<(std::ostream &Out, const AbortCase &Value) {
  return Out << Value.Name_;
}

class HttpServerAbortTest : public HttpServerTest,
                            public testing::WithParamInterface<AbortCase> {};

/// Guards against aborted streams that look complete to a caller for whom a
/// stream ends with its connection.
TEST_P(HttpServerAbortTest, AbortedStreamDoesNotLookComplete) {
  std::shared_ptr<HttpExchange> Kept;
  Timer Abort(*Owner_, [&] { Kept->abortStream(); });
  serve([&](HttpRequest, std::shared_ptr<HttpExchange> Exchange) {
    Kept = std::move(Exchange);
    Kept->startStream(200, {});
    Kept->write("half");
    Abort.start(std::chrono::milliseconds(20));
  });
  RawAnswer Got =
      fetchRaw(*Owner_, Server_->address(), std::string(GetParam().Request_));
  EXPECT_NE(Got.Bytes_.find("half"), std::string::npos);
  bool Chunked =
      Got.Bytes_.find("Transfer-Encoding: chunked") != std::string::npos;
  EXPECT_EQ(Chunked, GetParam().Chunked_);
  if (Chunked)
    EXPECT_EQ(Got.Bytes_.find("\r\n0\r\n"), std::string::npos);
  else
    EXPECT_EQ(Got.Error_, ECONNRESET);
}

INSTANTIATE_TEST_SUITE_P(
    Versions, HttpServerAbortTest,
    testing::Values(
        AbortCase{"http_1_1", "GET / HTTP/1.1\r\nHost: h\r\n\r\n"},
        AbortCase{"http_1_1_close",
                  "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"},
        AbortCase{"http_1_0", "GET / HTTP/1.0\r\n\r\n", false},
        AbortCase{"http_1_0_keep_alive",
                  "GET / HTTP/1.0\r\nConnection: Keep-Alive\r\n\r\n", false}),
    [](const auto &Info) { return std::string(Info.param.Name_); });

TEST_F(HttpServerTest, BodyOverTheLimitIs413) {
  serve([](HttpRequest, std::shared_ptr<HttpExchange> Exchange) {
    Exchange->respond({200, {}, ""});
  });
  auto Got = fetch(call("/", std::string(SmallBodyLimit + 1, 'x')));
  ASSERT_TRUE(Got);
  EXPECT_EQ(Got.value().Status_, 413u);
}

TEST_F(HttpServerTest, BodyFarOverTheLimitIsReadAndAnswered) {
  serve([](HttpRequest, std::shared_ptr<HttpExchange> Exchange) {
    Exchange->respond({200, {}, ""});
  });
  // More than the socket buffers hold, so the caller is still sending when
  // the server has seen that the body is too large.
  constexpr std::size_t FarOver = 8UL * 1024 * 1024;
  auto Got = fetch(call("/", std::string(FarOver, 'x')));
  ASSERT_TRUE(Got);
  EXPECT_EQ(Got.value().Status_, 413u);
}

TEST_F(HttpServerTest, CallerThatHangsUpIsNoticedWhileWaiting) {
  std::shared_ptr<HttpExchange> Kept;
  bool HungUp = false;
  HttpCallId Id = 0;
  serve([&](HttpRequest, std::shared_ptr<HttpExchange> Exchange) {
    Kept = std::move(Exchange);
    Kept->onHangup([&](ConnectionEnd) {
      HungUp = true;
      Owner_->stop();
    });
    Client_->cancel(Id);
  });
  Id = Client_->start(call("/"), {});
  Owner_->run();
  EXPECT_TRUE(HungUp);
  Kept->respond({200, {}, "too late"});
}

TEST_F(HttpServerTest, StopsWithARequestWaiting) {
  std::shared_ptr<HttpExchange> Kept;
  serve([&](HttpRequest, std::shared_ptr<HttpExchange> Exchange) {
    Kept = std::move(Exchange);
    Owner_->stop();
  });
  Client_->start(call("/"), {});
  Owner_->run();
  Server_.reset();
  EXPECT_TRUE(Kept->closed());
}

TEST_F(HttpServerTest, RefusesConnectionsAfterStopAccepting) {
  serve([](HttpRequest, std::shared_ptr<HttpExchange> Exchange) {
    Exchange->respond({200, {}, ""});
  });
  Server_->stopAccepting();
  auto Got = fetch(call("/"));
  ASSERT_FALSE(Got);
  EXPECT_EQ(Got.error().Kind_, HttpCallErrorKind::NotSent);
}

struct TargetCase {
  std::string Name_;
  std::string Target_;
};

class HttpServerTargetTest : public HttpServerTest,
                             public testing::WithParamInterface<TargetCase> {};

TEST_P(HttpServerTargetTest, IsKeptAsSent) {
  serve([](HttpRequest Request, std::shared_ptr<HttpExchange> Exchange) {
    Exchange->respond({200, {}, Request.Target_});
  });
  auto Got = fetch(call(GetParam().Target_));
  ASSERT_TRUE(Got);
  EXPECT_EQ(Got.value().Body_, GetParam().Target_);
}

INSTANTIATE_TEST_SUITE_P(Targets, HttpServerTargetTest,
                         testing::Values(TargetCase{"plain", "/a/b"},
                                         TargetCase{"escaped", "/a%2Fb%20c"},
                                         TargetCase{"query", "/a?x=%20y&x=2&z"},
                                         TargetCase{"empty_query", "/a?"}),
                         [](const auto &Info) { return Info.param.Name_; });

TEST_F(HttpServerTest, IdleConnectionsCloseSoonAfterTheStop) {
  serve([](HttpRequest, std::shared_ptr<HttpExchange> Exchange) {
    Exchange->respond({200, {}, "ok"});
  });
  Socket Idle = std::move(startConnect(Server_->address()).value());
  bool Closed = false;
  FdWatcher Watcher(*Owner_, [&](bool Readable, bool) {
    char Byte = 0;
    Closed = Readable && ::recv(Idle.fd(), &Byte, 1, 0) == 0;
    Owner_->stop();
  });
  Timer Accepted(*Owner_, [&] {
    Watcher.start(Idle.fd(), Interest::Read);
    Server_->stopAccepting();
  });
  Accepted.start(std::chrono::milliseconds(50));
  Timer Limit(*Owner_, [this] { Owner_->stop(); });
  Limit.start(std::chrono::seconds(5));
  Owner_->run();
  EXPECT_TRUE(Closed);
}

} // namespace
