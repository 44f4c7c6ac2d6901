#include "camphorwind/net/http-server.h"

#include "camphorwind/net/http-client.h"
#include "camphorwind/net/socket.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <memory>
#include <optional>
#include <ostream>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <thread>
#include <utility>
#include <vector>

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
    serve(std::move(Handler), Limits);
  }

  void serve(HttpHandler Handler, const HttpServerLimits &Limits) {
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

/// A caller that sends bytes, reads, and stays open.
class OpenCaller {
public:
  OpenCaller(Loop &Owner, const Address &Server, std::string_view Text)
      : Connection_(std::move(startConnect(Server).value())),
        Watcher_(Owner, [this](bool, bool) { read(); }) {
    EXPECT_EQ(::send(Connection_.fd(), Text.data(), Text.size(), MSG_NOSIGNAL),
              static_cast<ssize_t>(Text.size()));
    Watcher_.start(Connection_.fd(), Interest::Read);
  }

  /// Status of the answer; empty if there is none.
  std::string_view status() const {
    constexpr std::string_view Version = "HTTP/1.1 ";
    return std::string_view(Received_).substr(
        std::min(Received_.size(), Version.size()), 3);
  }

private:
  void read() {
    char Buffer[4096];
    ssize_t Size = ::recv(Connection_.fd(), Buffer, sizeof(Buffer), 0);
    if (Size > 0)
      Received_.append(Buffer, static_cast<std::size_t>(Size));
    else
      Watcher_.stop();
  }

  Socket Connection_;
  FdWatcher Watcher_;
  std::string Received_;
};

/// A server with memory for three bodies of 30 KB, and for small requests.
class HttpServerMemoryTest : public HttpServerTest {
protected:
  static constexpr std::size_t Kilobyte = 1024;
  static constexpr std::size_t BodyBytes = 30 * Kilobyte;

  HttpServerMemoryTest() {
    Limits_.BodyBytes_ = BodyBytes;
    Limits_.RequestMemory_ = {140 * Kilobyte, 20 * Kilobyte, 8 * Kilobyte};
  }

  void runFor(std::chrono::milliseconds Time) {
    Timer Stop(*Owner_, [this] { Owner_->stop(); });
    Stop.start(Time);
    Owner_->run();
  }

  template <class Predicate> void runUntil(Predicate IsDone) {
    Timer Check(*Owner_, [&] {
      if (IsDone())
        Owner_->stop();
    });
    Check.startRepeating(std::chrono::milliseconds(1));
    Owner_->run();
  }

  /// Opens a connection; runs until the server holds more than before, or has
  /// answered.
  std::unique_ptr<OpenCaller> open(std::string_view Text) {
    std::size_t Before = Server_->requestBytes();
    auto Opened =
        std::make_unique<OpenCaller>(*Owner_, Server_->address(), Text);
    runUntil([&] {
      return Server_->requestBytes() > Before || !Opened->status().empty();
    });
    return Opened;
  }

  HttpServerLimits Limits_;
};

/// Guards against memory without a bound: many callers send almost all of a
/// large body and stay open. The one that has stalled for longest is refused,
/// and small requests are served.
TEST_F(HttpServerMemoryTest, UnfinishedBodiesOverTheMemoryLimitAre503) {
  serve(
      [](const HttpRequest &Request,
         const std::shared_ptr<HttpExchange> &Exchange) {
        EXPECT_EQ(Request.Path_, "/small");
        Exchange->respond({200, {}, ""});
      },
      Limits_);
  std::string Unfinished = "POST /large HTTP/1.1\r\nHost: h\r\n"
                           "Content-Length: 30720\r\n\r\n" +
                           std::string(BodyBytes - 7, 'x');
  std::vector<std::unique_ptr<OpenCaller>> Callers;
  for (std::size_t Count = 1; Count <= 3; ++Count) {
    Callers.push_back(open(Unfinished));
    runUntil([&] { return Server_->requestBytes() >= Count * BodyBytes; });
  }
  // Shorter stalls count alike.
  runFor(std::chrono::milliseconds(200));
  for (const auto &Each : Callers)
    EXPECT_EQ(Each->status(), "");
  Callers.push_back(
      std::make_unique<OpenCaller>(*Owner_, Server_->address(), Unfinished));
  runUntil([&] { return !Callers.front()->status().empty(); });
  EXPECT_EQ(Callers.front()->status(), "503");
  EXPECT_EQ(Callers.back()->status(), "");
  EXPECT_LE(Server_->requestBytes(), 120 * Kilobyte);
  auto Got = fetch(call("/small", "body"));
  ASSERT_TRUE(Got);
  EXPECT_EQ(Got.value().Status_, 200u);
}

/// Guards against growth of a string to twice its length, which a body of legal
/// size would not survive: one request alone is served, whatever its framing.
TEST_F(HttpServerMemoryTest, LargestChunkedBodyIsServedAlone) {
  std::size_t Held = 0;
  serve(
      [&](const HttpRequest &Request,
          const std::shared_ptr<HttpExchange> &Exchange) {
        EXPECT_EQ(Request.Body_.size(), BodyBytes);
        Held = Server_->requestBytes();
        Exchange->respond({200, {}, ""});
      },
      Limits_);
  std::string Text = "POST / HTTP/1.1\r\nHost: h\r\n"
                     "Transfer-Encoding: chunked\r\n\r\n";
  for (std::size_t Sent = 0; Sent < BodyBytes; Sent += Kilobyte)
    Text += "400\r\n" + std::string(Kilobyte, 'x') + "\r\n";
  auto Caller = open(Text + "0\r\n\r\n");
  runUntil([&] { return !Caller->status().empty(); });
  EXPECT_EQ(Caller->status(), "200");
  EXPECT_GE(Held, BodyBytes);
  EXPECT_LE(Held, BodyBytes + 2 * Kilobyte);
}

/// Guards against bodies that stop to count once the application has them,
/// while they are being forwarded.
TEST_F(HttpServerMemoryTest, WholeRequestsCountUntilTheyAreDestroyed) {
  std::vector<HttpRequest> Kept;
  std::vector<std::shared_ptr<HttpExchange>> Exchanges;
  serve(
      [&](HttpRequest Request, std::shared_ptr<HttpExchange> Exchange) {
        Kept.push_back(std::move(Request));
        Exchanges.push_back(std::move(Exchange));
      },
      Limits_);
  std::string Whole = "POST / HTTP/1.1\r\nHost: h\r\n"
                      "Content-Length: 30720\r\n\r\n" +
                      std::string(BodyBytes, 'x');
  std::vector<std::unique_ptr<OpenCaller>> Callers;
  for (int Count = 0; Count < 6; ++Count) {
    std::size_t Before = Kept.size();
    Callers.push_back(open(Whole));
    runUntil([&] {
      return Kept.size() > Before || !Callers.back()->status().empty();
    });
  }
  EXPECT_LT(Kept.size(), 6u);
  EXPECT_GE(Kept.size(), 3u);
  EXPECT_GE(Server_->requestBytes(), Kept.size() * BodyBytes);
  EXPECT_EQ(Callers.back()->status(), "503");
  Kept.clear();
  EXPECT_EQ(Server_->requestBytes(), 0u);
}

/// Guards against callers that fill all connections with unfinished requests,
/// so that nobody else is accepted.
TEST_F(HttpServerMemoryTest, StalledRequestsMakeRoomForNewConnections) {
  Limits_.Connections_ = 2;
  serve(
      [](const HttpRequest &, const std::shared_ptr<HttpExchange> &Exchange) {
        Exchange->respond({200, {}, ""});
      },
      Limits_);
  std::string_view Unfinished = "POST / HTTP/1.1\r\nHost: h\r\n"
                                "Content-Length: 9\r\n\r\nx";
  auto Head = open(Unfinished.substr(0, 20));
  auto Body = open(Unfinished);
  auto Got = fetch(call("/"));
  ASSERT_TRUE(Got);
  EXPECT_EQ(Got.value().Status_, 200u);
  runUntil([&] { return !Head->status().empty(); });
  EXPECT_EQ(Head->status(), "503");
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
    EXPECT_EQ(Request.Path_,
              Request.Target_.substr(0, Request.Target_.find('?')));
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

/// A caller that sends bytes and reads what comes back.
class RawCaller {
public:
  RawCaller(Loop &Owner, const Address &Server)
      : Owner_(Owner), Socket_(std::move(startConnect(Server).value())),
        Watcher_(Owner, [this](bool, bool Writable) { onReady(Writable); }) {
    Watcher_.start(Socket_.fd(), Interest::Read);
  }

  void send(std::string Bytes) {
    Unsent_ += Bytes;
    Watcher_.start(Socket_.fd(), Interest::ReadWrite);
  }
  void pause() { Watcher_.stop(); }
  void resume() { Watcher_.start(Socket_.fd(), Interest::Read); }
  void closeSending() { ::shutdown(Socket_.fd(), SHUT_WR); }
  void close() {
    Watcher_.stop();
    Socket_.close();
  }
  /// Runs the loop until \p Text was read or the connection has ended.
  bool waitFor(std::string Text) {
    Awaited_ = std::move(Text);
    Searched_ = 0;
    Found_ = false;
    search();
    Waiting_ = true;
    if (!Found_ && !Ended_)
      Owner_.run();
    Waiting_ = false;
    return Found_;
  }

  const std::string &received() const { return Received_; }

private:
  void search() {
    Found_ = Received_.find(Awaited_, Searched_) != std::string::npos;
    if (Received_.size() >= Awaited_.size())
      Searched_ = Received_.size() - Awaited_.size();
  }

  void onReady(bool Writable) {
    if (Writable && !Unsent_.empty()) {
      ssize_t Size =
          ::send(Socket_.fd(), Unsent_.data(), Unsent_.size(), MSG_NOSIGNAL);
      if (Size > 0)
        Unsent_.erase(0, static_cast<std::size_t>(Size));
      if (Unsent_.empty())
        Watcher_.start(Socket_.fd(), Interest::Read);
    }
    char Buffer[65536];
    ssize_t Got = ::recv(Socket_.fd(), Buffer, sizeof(Buffer), MSG_DONTWAIT);
    if (Got > 0)
      Received_.append(Buffer, static_cast<std::size_t>(Got));
    else if (Got == 0 || (errno != EAGAIN && errno != EINTR)) {
      Ended_ = true;
      Watcher_.stop();
    }
    search();
    if (Waiting_ && (Ended_ || Found_))
      Owner_.stop();
  }

  Loop &Owner_;
  Socket Socket_;
  FdWatcher Watcher_;
  std::string Unsent_;
  std::string Received_;
  std::string Awaited_;
  std::size_t Searched_ = 0;
  bool Found_ = false;
  bool Waiting_ = false;
  bool Ended_ = false;
};

/// Returns a request whose head has \p Bytes bytes.
std::string requestOfSize(std::size_t Bytes) {
  std::string Head = "GET / HTTP/1.1\r\nHost: h\r\nX-Filler: \r\n\r\n";
  constexpr std::string_view End = "\r\n\r\n";
  if (Head.size() < Bytes)
    Head.insert(Head.size() - End.size(),
                std::string(Bytes - Head.size(), 'x'));
  return Head;
}

struct HeadSizesCase {
  std::string_view Name_;
  std::size_t RequestBytes_ = 0;
  std::size_t AnswerBytes_ = 0;
  /// Bytes of the next request that arrive with this one.
  std::size_t NextBytes_ = 0;
};

std::ostream &operator<<(std::ostream &Out, const HeadSizesCase &Value) {
  return Out << Value.Name_;
}

class HttpServerHeadTest : public HttpServerTest,
                           public testing::WithParamInterface<HeadSizesCase> {
protected:
  std::string request() const {
    return requestOfSize(GetParam().RequestBytes_) +
           requestOfSize(GetParam().NextBytes_ + 100)
               .substr(0, GetParam().NextBytes_);
  }
  HttpHeaders headers() const {
    return {{"X-Filler", std::string(GetParam().AnswerBytes_, 'y')}};
  }
};

/// Guards against connections that are closed without an answer because the
/// heads of the request and of its answer do not fit into one block of memory.
TEST_P(HttpServerHeadTest, AnswerIsDeliveredWhateverTheSizesOfTheHeads) {
  serve([this](HttpRequest, const std::shared_ptr<HttpExchange> &Exchange) {
    Exchange->onHangup([](ConnectionEnd End) {
      ADD_FAILURE() << "not delivered: " << toString(End);
    });
    Exchange->respond({200, headers(), "whole"});
  });
  RawCaller Caller(*Owner_, Server_->address());
  Caller.send(request());
  EXPECT_TRUE(Caller.waitFor("\r\n\r\nwhole"));
  EXPECT_TRUE(Caller.received().starts_with("HTTP/1.1 200 "));
}

/// Guards against the same for streams that begin later.
TEST_P(HttpServerHeadTest, StreamIsDeliveredWhateverTheSizesOfTheHeads) {
  std::shared_ptr<HttpExchange> Kept;
  Timer Later(*Owner_, [&] {
    Kept->startStream(200, headers());
    Kept->write("event");
    Kept->endStream();
  });
  serve([&](HttpRequest, std::shared_ptr<HttpExchange> Exchange) {
    Kept = std::move(Exchange);
    Kept->onHangup([](ConnectionEnd End) {
      ADD_FAILURE() << "not delivered: " << toString(End);
    });
    Later.start(std::chrono::milliseconds(20));
  });
  RawCaller Caller(*Owner_, Server_->address());
  Caller.send(request());
  EXPECT_TRUE(Caller.waitFor("5\r\nevent\r\n0\r\n\r\n"));
}

INSTANTIATE_TEST_SUITE_P(
    Sizes, HttpServerHeadTest,
    testing::Values(HeadSizesCase{"small", 200, 200},
                    HeadSizesCase{"large_request", 14'800, 16'000},
                    HeadSizesCase{"both_large", 10'000, 24'000},
                    HeadSizesCase{"large_answer", 2'000, 30'000},
                    HeadSizesCase{"larger_answer", 200, 64'000},
                    HeadSizesCase{"begun_next_request", 200, 24'000, 9'000},
                    HeadSizesCase{"large_begun_next_request", 9'000, 16'000,
                                  20'000}),
    [](const auto &Info) { return std::string(Info.param.Name_); });

/// Guards against callers whose leaving goes unnoticed because they have sent a
/// part of their next request.
TEST_F(HttpServerTest, CallerThatLeavesBehindANextRequestIsNoticed) {
  std::shared_ptr<HttpExchange> Kept;
  std::optional<ConnectionEnd> Ended;
  serve([&](HttpRequest, std::shared_ptr<HttpExchange> Exchange) {
    Kept = std::move(Exchange);
    Kept->onHangup([&](ConnectionEnd End) {
      Ended = End;
      Owner_->stop();
    });
  });
  RawCaller Caller(*Owner_, Server_->address());
  Caller.send(requestOfSize(100));
  Timer SendMore(*Owner_, [&] { Caller.send("GET /next"); });
  SendMore.start(std::chrono::milliseconds(30));
  Timer Leave(*Owner_, [&] { Caller.close(); });
  Leave.start(std::chrono::milliseconds(60));
  Timer Limit(*Owner_, [this] { Owner_->stop(); });
  Limit.start(std::chrono::seconds(2));
  Owner_->run();
  ASSERT_TRUE(Ended);
  EXPECT_TRUE(isCallersOwn(*Ended));
}

/// Guards against answers that are ready and not delivered because their caller
/// has closed its sending side.
TEST_F(HttpServerTest, AnswerThatIsReadyReachesACallerThatSendsNoMore) {
  constexpr std::size_t LargerThanSocketBuffers = 16UL * 1024 * 1024;
  serve([](HttpRequest, const std::shared_ptr<HttpExchange> &Exchange) {
    Exchange->respond(
        {200, {}, std::string(LargerThanSocketBuffers, 'x') + "end"});
  });
  RawCaller Caller(*Owner_, Server_->address());
  Caller.send(requestOfSize(100));
  ASSERT_TRUE(Caller.waitFor("HTTP/1.1 200 "));
  Caller.closeSending();
  EXPECT_TRUE(Caller.waitFor("xend"));
}

/// Guards against a request that is answered before the one ahead of it, or not
/// at all, because both arrived together.
TEST_F(HttpServerTest, RequestsThatArriveTogetherAreAnsweredInOrder) {
  std::vector<std::shared_ptr<HttpExchange>> Kept;
  Timer Later(*Owner_, [&] {
    Kept.back()->respond({200, {}, "answer" + std::to_string(Kept.size())});
  });
  serve([&](HttpRequest, std::shared_ptr<HttpExchange> Exchange) {
    Kept.push_back(std::move(Exchange));
    Later.start(std::chrono::milliseconds(10));
  });
  RawCaller Caller(*Owner_, Server_->address());
  Caller.send(requestOfSize(100) + requestOfSize(200) + requestOfSize(100));
  ASSERT_TRUE(Caller.waitFor("answer3"));
  EXPECT_LT(Caller.received().find("answer1"),
            Caller.received().find("answer2"));
}

/// Times of a connection's first and second request, and limits between.
struct IdleCase {
  std::string_view Name_;
  std::chrono::milliseconds Before_;
  std::chrono::milliseconds After_;
  bool IsKept_ = true;
};

std::ostream &operator<<(std::ostream &Out, const IdleCase &Value) {
  return Out << Value.Name_;
}

class HttpServerIdleTest : public HttpServerTest,
                           public testing::WithParamInterface<IdleCase> {};

/// Guards against callers that reuse a connection for as long as they were
/// told, and meet its close.
TEST_P(HttpServerIdleTest, IdleConnectionIsKeptForTheLongerTimeout) {
  const IdleCase &Case = GetParam();
  serve([](HttpRequest, const std::shared_ptr<HttpExchange> &Exchange) {
    Exchange->respond({200, {}, "first"});
  });
  HttpServerLimits Limits;
  Limits.IdleTimeout_ = Case.Before_;
  Server_->setLimits(Limits);
  RawCaller Caller(*Owner_, Server_->address());
  Caller.send(requestOfSize(100));
  ASSERT_TRUE(Caller.waitFor("first"));
  Limits.IdleTimeout_ = Case.After_;
  Server_->setLimits(Limits);
  Timer Later(*Owner_, [&] { Caller.send(requestOfSize(100)); });
  Later.start(std::chrono::milliseconds(1200));
  EXPECT_EQ(Caller.waitFor("firstHTTP/1.1 200"), Case.IsKept_);
}

INSTANTIATE_TEST_SUITE_P(
    Changes, HttpServerIdleTest,
    testing::Values(IdleCase{"raised", std::chrono::milliseconds(300),
                             std::chrono::minutes(1)},
                    IdleCase{"lowered", std::chrono::minutes(1),
                             std::chrono::milliseconds(300)},
                    IdleCase{"short", std::chrono::milliseconds(300),
                             std::chrono::milliseconds(300), false}),
    [](const auto &Info) { return std::string(Info.param.Name_); });

/// Guards against callers that vanish in the middle of a body and hold their
/// connections for good.
TEST_F(HttpServerTest, BodyThatStallsWithoutATimeLimitIs408) {
  serve([](HttpRequest, const std::shared_ptr<HttpExchange> &) {
    ADD_FAILURE() << "the handler got a request without its whole body";
  });
  HttpServerLimits Limits;
  Limits.StallTimeout_ = std::chrono::milliseconds(100);
  Server_->setLimits(Limits);
  RawCaller Caller(*Owner_, Server_->address());
  Caller.send("POST / HTTP/1.1\r\nContent-Length: 4\r\n\r\nab");
  EXPECT_TRUE(Caller.waitFor("Connection: close"));
  EXPECT_TRUE(Caller.received().starts_with("HTTP/1.1 408 "));
}

/// Guards against answers that are cut because their callers may be idle for a
/// short time only.
TEST_F(HttpServerTest, IdleTimeoutDoesNotLimitTheTimeForAnAnswer) {
  constexpr std::size_t LargerThanSocketBuffers = 16UL * 1024 * 1024;
  serve([](HttpRequest, const std::shared_ptr<HttpExchange> &Exchange) {
    Exchange->respond(
        {200, {}, std::string(LargerThanSocketBuffers, 'x') + "end"});
  });
  HttpServerLimits Limits;
  Limits.IdleTimeout_ = std::chrono::milliseconds(1);
  Server_->setLimits(Limits);
  RawCaller Caller(*Owner_, Server_->address());
  Caller.send(requestOfSize(100));
  ASSERT_TRUE(Caller.waitFor("HTTP/1.1 200 "));
  Timer Resume(*Owner_, [this] { Owner_->stop(); });
  Caller.pause();
  Resume.start(std::chrono::milliseconds(400));
  Owner_->run();
  Caller.resume();
  EXPECT_TRUE(Caller.waitFor("xend"));
}

/// Guards against streams whose callers take nothing and are kept, because each
/// further event restarts the time limit.
TEST_F(HttpServerTest, CallerThatTakesNothingOfAStreamIsDisconnected) {
  std::shared_ptr<HttpExchange> Kept;
  std::optional<ConnectionEnd> Ended;
  Timer Writer(*Owner_, [&] { Kept->write(std::string(256UL * 1024, 'x')); });
  serve([&](HttpRequest, std::shared_ptr<HttpExchange> Exchange) {
    Kept = std::move(Exchange);
    Kept->onHangup([&](ConnectionEnd End) {
      Ended = End;
      Owner_->stop();
    });
    Kept->startStream(200, {});
    Writer.startRepeating(std::chrono::milliseconds(20));
  });
  HttpServerLimits Limits;
  Limits.StallTimeout_ = std::chrono::milliseconds(200);
  Server_->setLimits(Limits);
  RawCaller Caller(*Owner_, Server_->address());
  Caller.send(requestOfSize(100));
  ASSERT_TRUE(Caller.waitFor("HTTP/1.1 200 "));
  Caller.pause();
  Timer Limit(*Owner_, [this] { Owner_->stop(); });
  Limit.start(std::chrono::seconds(3));
  Owner_->run();
  ASSERT_TRUE(Ended);
  EXPECT_EQ(*Ended, ConnectionEnd::TimedOut);
}

/// Guards against a server that is full of idle connections and takes no new
/// one.
TEST_F(HttpServerTest, LongestIdleConnectionMakesRoomForANewOne) {
  serve([](HttpRequest, const std::shared_ptr<HttpExchange> &Exchange) {
    Exchange->respond({200, {}, "ok"});
  });
  HttpServerLimits Limits;
  Limits.Connections_ = 3;
  Server_->setLimits(Limits);
  std::vector<std::unique_ptr<RawCaller>> Callers;
  for (int Number = 0; Number < 5; ++Number) {
    Callers.push_back(std::make_unique<RawCaller>(*Owner_, Server_->address()));
    Callers.back()->send(requestOfSize(100));
    ASSERT_TRUE(Callers.back()->waitFor("ok")) << Number;
  }
  Callers[2]->send(requestOfSize(100));
  EXPECT_TRUE(Callers[2]->waitFor("okHTTP/1.1 200 "));
  Callers[0]->send(requestOfSize(100));
  EXPECT_FALSE(Callers[0]->waitFor("okHTTP/1.1 200 "));
}

/// Guards against requests in progress that are cut for a new connection.
TEST_F(HttpServerTest, RequestInProgressIsNotCutForANewConnection) {
  std::shared_ptr<HttpExchange> Kept;
  Timer Later(*Owner_, [&] { Kept->respond({200, {}, "ok"}); });
  serve([&](HttpRequest, std::shared_ptr<HttpExchange> Exchange) {
    Kept = std::move(Exchange);
    Later.start(std::chrono::milliseconds(100));
  });
  HttpServerLimits Limits;
  Limits.Connections_ = 1;
  Server_->setLimits(Limits);
  RawCaller First(*Owner_, Server_->address());
  First.send(requestOfSize(100));
  RawCaller Second(*Owner_, Server_->address());
  Second.send(requestOfSize(100));
  EXPECT_TRUE(First.waitFor("ok"));
  EXPECT_TRUE(Second.waitFor("ok"));
}

/// Guards against callers that hold a connection with a head that never ends.
TEST_F(HttpServerTest, HeadThatIsNotWholeInTimeIs408) {
  serve([](HttpRequest, const std::shared_ptr<HttpExchange> &) {
    ADD_FAILURE() << "the handler got a request without its whole head";
  });
  HttpServerLimits Limits;
  Limits.HeadTimeout_ = std::chrono::milliseconds(100);
  Server_->setLimits(Limits);
  RawCaller Caller(*Owner_, Server_->address());
  Caller.send("GET / HTTP/1.1\r\nHost: h\r\n");
  EXPECT_TRUE(Caller.waitFor("Connection: close"));
  EXPECT_TRUE(Caller.received().starts_with("HTTP/1.1 408 "));
}

struct RefusalCase {
  std::string_view Name_;
  std::string Bytes_;
  std::string_view Status_;
};

std::ostream &operator<<(std::ostream &Out, const RefusalCase &Value) {
  return Out << Value.Name_;
}

class HttpServerRefusalTest : public HttpServerTest,
                              public testing::WithParamInterface<RefusalCase> {
};

/// Guards against requests that end somewhere else for the endpoint than for
/// the server, and against heads without bound.
TEST_P(HttpServerRefusalTest, UnclearRequestIsRefusedAndItsConnectionClosed) {
  serve([](HttpRequest, const std::shared_ptr<HttpExchange> &) {
    ADD_FAILURE() << "the handler got the request";
  });
  RawCaller Caller(*Owner_, Server_->address());
  Caller.send(GetParam().Bytes_ + requestOfSize(100));
  EXPECT_TRUE(Caller.waitFor("Connection: close"));
  EXPECT_TRUE(Caller.received().starts_with(GetParam().Status_))
      << Caller.received();
}

INSTANTIATE_TEST_SUITE_P(
    Requests, HttpServerRefusalTest,
    testing::Values(
        RefusalCase{"no_request", "nothing\r\n\r\n", "HTTP/1.1 400 "},
        RefusalCase{"two_lengths",
                    "POST / HTTP/1.1\r\nContent-Length: 4\r\n"
                    "Content-Length: 5\r\n\r\nbody",
                    "HTTP/1.1 400 "},
        RefusalCase{"length_and_chunks",
                    "POST / HTTP/1.1\r\nContent-Length: 4\r\n"
                    "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                    "HTTP/1.1 400 "},
        RefusalCase{"other_coding",
                    "POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked"
                    "\r\n\r\n0\r\n\r\n",
                    "HTTP/1.1 400 "},
        RefusalCase{"endless_head",
                    "GET / HTTP/1.1\r\nX: " + std::string(70'000, 'x'),
                    "HTTP/1.1 431 "},
        RefusalCase{"many_headers",
                    [] {
                      std::string Head = "GET / HTTP/1.1\r\n";
                      for (int Line = 0; Line < 10'000; ++Line)
                        Head += "X-Line: y\r\n";
                      return Head;
                    }(),
                    "HTTP/1.1 431 "},
        RefusalCase{"endless_chunk_header",
                    "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1;" +
                        std::string(70'000, 'x'),
                    "HTTP/1.1 400 "}),
    [](const auto &Info) { return std::string(Info.param.Name_); });

} // namespace
