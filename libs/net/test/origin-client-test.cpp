#include "camphorwind/net/origin-client.h"

#include "scripted-peer.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <ostream>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

using namespace camphorwind::base;
using namespace camphorwind::net;
using namespace camphorwind::net::test;
using namespace std::chrono_literals;

namespace {

/// What one call brought.
struct Outcome {
  std::optional<OriginError> Error_;
  bool Whole_ = false;
  unsigned Status_ = 0;
  std::string Body_;
};

class OriginClientTest : public testing::Test {
protected:
  OriginClientTest() : Owner_(std::move(Loop::create().value())) {}

  void listen(std::vector<Reply> Script, OriginClientLimits Limits = {}) {
    Peer_ = std::make_unique<ScriptedPeer>(*Owner_, std::move(Script));
    Client_ = std::make_unique<OriginClient>(*Owner_, Limits);
  }

  OriginRequest request(std::string Body = "") const {
    OriginRequest Made;
    Made.Endpoint_ = Peer_->address();
    Made.Method_ = Body.empty() ? "GET" : "POST";
    Made.Headers_.add("X-Id", "mine");
    if (!Body.empty())
      Made.Body_ = std::make_shared<const std::string>(std::move(Body));
    return Made;
  }

  Outcome run(OriginRequest Request) {
    Outcome Found;
    OriginEvents Events;
    Events.OnHead_ = [&Found](const OriginHead &Head) {
      if (Head.Headers_.find("X-Id").value_or("mine") != "mine")
        return HeadVerdict::Skip;
      Found.Status_ = Head.Status_;
      return HeadVerdict::Accept;
    };
    Events.OnBody_ = [&Found](std::string_view Data) {
      Found.Body_.append(Data);
    };
    Events.OnEnd_ = [&](const Result<void, OriginError> &Ended) {
      Found.Whole_ = static_cast<bool>(Ended);
      if (!Ended)
        Found.Error_ = Ended.error();
      Owner_->stop();
    };
    Timer Guard(*Owner_, [this] { Owner_->stop(); });
    Guard.start(5s);
    Client_->start(std::move(Request), std::move(Events));
    Owner_->run();
    return Found;
  }

  /// Lets what is under way arrive.
  void settle() {
    Timer Pause(*Owner_, [this] { Owner_->stop(); });
    Pause.start(30ms);
    Owner_->run();
  }

  std::unique_ptr<Loop> Owner_;
  std::unique_ptr<ScriptedPeer> Peer_;
  std::unique_ptr<OriginClient> Client_;
};

struct ReplyCase {
  std::string_view Name_;
  Reply Reply_;
  bool Whole_ = false;
  std::string_view Body_;
  /// Where the answer is not whole.
  std::optional<OriginErrorKind> Error_;
  /// Connections after a second call.
  std::size_t Connections_ = 1;
};

std::ostream &operator<<(std::ostream &Out, const ReplyCase &Value) {
  return Out << Value.Name_;
}

class OriginClientReplyTest : public OriginClientTest,
                              public testing::WithParamInterface<ReplyCase> {};

TEST_P(OriginClientReplyTest, TellsWholeAnswersFromOthers) {
  const ReplyCase &Case = GetParam();
  const Reply Second{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"};
  listen({Case.Reply_, Second});
  Outcome Found = run(request());
  EXPECT_EQ(Found.Whole_, Case.Whole_);
  EXPECT_EQ(Found.Body_, Case.Body_);
  ASSERT_EQ(Found.Error_.has_value(), Case.Error_.has_value());
  if (Case.Error_) {
    EXPECT_EQ(Found.Error_->Kind_, *Case.Error_);
    EXPECT_TRUE(Found.Error_->MayHaveReached_);
  }
  settle();
  Outcome Next = run(request());
  EXPECT_EQ(Next.Body_, "ok");
  EXPECT_EQ(Peer_->connections(), Case.Connections_);
  EXPECT_EQ(Peer_->requests(), 2u);
}

INSTANTIATE_TEST_SUITE_P(
    Replies, OriginClientReplyTest,
    testing::Values(
        ReplyCase{"by_length",
                  {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfour"},
                  true,
                  "four"},
        ReplyCase{"chunked",
                  {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                   "2\r\nfo\r\n2\r\nur\r\n0\r\n\r\n"},
                  true,
                  "four"},
        ReplyCase{"ended_by_close",
                  {"HTTP/1.1 200 OK\r\n\r\nfour", Then::Close},
                  true,
                  "four",
                  std::nullopt,
                  2},
        ReplyCase{"asked_to_close",
                  {"HTTP/1.1 200 OK\r\nConnection: close\r\n"
                   "Content-Length: 4\r\n\r\nfour"},
                  true,
                  "four",
                  std::nullopt,
                  2},
        ReplyCase{"after_a_foreign_answer",
                  {"HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 5\r\n\r\n"
                   "other"
                   "HTTP/1.1 200 OK\r\nX-Id: mine\r\nContent-Length: 4\r\n\r\n"
                   "four"},
                  true,
                  "four"},
        ReplyCase{"after_an_interim_answer",
                  {"HTTP/1.1 100 Continue\r\n\r\n"
                   "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfour"},
                  true,
                  "four"},
        ReplyCase{"extra_bytes",
                  {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfourHTTP/1.1 "
                   "200 OK\r\n"},
                  true,
                  "four",
                  std::nullopt,
                  2},
        ReplyCase{
            "short_body",
            {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nfour", Then::Close},
            false,
            "four",
            OriginErrorKind::Closed,
            2},
        ReplyCase{"cut_inside_a_chunk",
                  {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                   "9\r\nfour",
                   Then::Close},
                  false,
                  "four",
                  OriginErrorKind::Closed,
                  2},
        ReplyCase{"without_last_chunk",
                  {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                   "4\r\nfour\r\n",
                   Then::Close},
                  false,
                  "four",
                  OriginErrorKind::Closed,
                  2},
        ReplyCase{"cut_inside_the_head",
                  {"HTTP/1.1 200 OK\r\nContent-", Then::Close},
                  false,
                  "",
                  OriginErrorKind::Closed,
                  2},
        ReplyCase{"closed_without_answer",
                  {"", Then::Close},
                  false,
                  "",
                  OriginErrorKind::Closed,
                  2},
        ReplyCase{"reset_without_answer",
                  {"", Then::Reset},
                  false,
                  "",
                  OriginErrorKind::Reset,
                  2},
        ReplyCase{"no_http",
                  {"garbage garbage garbage\r\n\r\n"},
                  false,
                  "",
                  OriginErrorKind::Malformed,
                  2},
        ReplyCase{"status_000",
                  {"HTTP/1.1 000 Trouble\r\nContent-Length: 4\r\n\r\nfour"},
                  false,
                  "",
                  OriginErrorKind::Malformed,
                  2},
        ReplyCase{"status_600",
                  {"HTTP/1.1 600 Trouble\r\nContent-Length: 4\r\n\r\nfour"},
                  false,
                  "",
                  OriginErrorKind::Malformed,
                  2},
        ReplyCase{"two_lengths",
                  {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n"
                   "Content-Length: 2\r\n\r\nfour"},
                  false,
                  "",
                  OriginErrorKind::Malformed,
                  2}),
    [](const auto &Info) { return std::string(Info.param.Name_); });

const Reply Ok{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"};

TEST_F(OriginClientTest, KeptConnectionThatEndedIsNoticedBeforeItIsUsed) {
  listen({Ok, Ok});
  run(request());
  Peer_->closeAll();
  Outcome Found = run(request("once"));
  EXPECT_TRUE(Found.Whole_);
  EXPECT_EQ(Peer_->connections(), 2u);
  EXPECT_EQ(Peer_->requests(), 2u);
}

struct ReuseCase {
  std::string_view Name_;
  /// Ids of successive requests.
  std::vector<std::string> Ids_;
  std::size_t Connections_ = 1;
  OriginClientLimits Limits_;
};

std::ostream &operator<<(std::ostream &Out, const ReuseCase &Value) {
  return Out << Value.Name_;
}

class OriginClientReuseTest : public OriginClientTest,
                              public testing::WithParamInterface<ReuseCase> {};

/// Guards against a late copy of an answer that is taken for the answer to a
/// later request with the same id on the same connection.
TEST_P(OriginClientReuseTest, ConnectionCarriesEachIdOnce) {
  listen(std::vector<Reply>(GetParam().Ids_.size(), Ok), GetParam().Limits_);
  for (const std::string &Each : GetParam().Ids_) {
    OriginRequest Request = request();
    Request.Id_ = Each;
    EXPECT_TRUE(run(Request).Whole_);
  }
  EXPECT_EQ(Peer_->connections(), GetParam().Connections_);
}

INSTANTIATE_TEST_SUITE_P(
    Ids, OriginClientReuseTest,
    testing::Values(ReuseCase{"different", {"a", "b", "c"}, 1},
                    ReuseCase{"none", {"", "", ""}, 1},
                    ReuseCase{"repeated", {"a", "a"}, 2},
                    ReuseCase{"repeated_later", {"a", "b", "c", "a"}, 2},
                    ReuseCase{"on_all_idle_connections", {"a", "a", "a"}, 3},
                    ReuseCase{"other_after_repeated", {"a", "a", "b", "c"}, 2},
                    ReuseCase{"older_connection", {"a", "a", "b", "b"}, 2},
                    // The limit of connections is reached by one that is idle.
                    ReuseCase{"at_the_limit_of_connections",
                              {"a", "a", "b"},
                              2,
                              {.ConnectionsPerEndpoint_ = 1}},
                    ReuseCase{"more_ids_than_a_connection_holds",
                              {"a", "b", "c", "d", "e"},
                              3,
                              {.IdsPerConnection_ = 2}}),
    [](const auto &Info) { return std::string(Info.param.Name_); });

/// Guards against a request that fails for lack of connections, because idle
/// ones that it may not use take up all that a lowered limit permits.
TEST_F(OriginClientTest, IdleConnectionsMakeRoomUnderALoweredLimit) {
  listen(std::vector<Reply>(3, Ok));
  OriginRequest Request = request();
  Request.Id_ = "a";
  EXPECT_TRUE(run(Request).Whole_);
  EXPECT_TRUE(run(Request).Whole_);
  Client_->setConnectionsPerEndpoint(Peer_->address(), 1);
  EXPECT_TRUE(run(Request).Whole_);
  EXPECT_EQ(Peer_->connections(), 3u);
}

TEST_F(OriginClientTest, NeverRepeatsARequestThatMayHaveReachedThePeer) {
  listen({Ok, Ok});
  run(request());
  Peer_->dropNext();
  Outcome Found = run(request());
  ASSERT_TRUE(Found.Error_);
  EXPECT_TRUE(Found.Error_->MayHaveReached_);
  EXPECT_EQ(Peer_->requests(), 2u);
}

TEST_F(OriginClientTest, RefusedConnectionProvesThatNothingWasSent) {
  listen({});
  OriginRequest Nowhere = request();
  Nowhere.Endpoint_.Port_ = 1;
  Outcome Found = run(Nowhere);
  ASSERT_TRUE(Found.Error_);
  EXPECT_EQ(Found.Error_->Kind_, OriginErrorKind::NotConnected);
  EXPECT_FALSE(Found.Error_->MayHaveReached_);
}

/// Guards against connections that stand being given up because the process
/// paused while they were made.
TEST_F(OriginClientTest, ConnectionThatStandsAfterAPauseIsUsed) {
  listen({{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"}});
  OriginRequest Request = request();
  Request.ConnectTimeout_ = 50ms;
  bool Whole = false;
  Client_->start(std::move(Request),
                 {[](const OriginHead &) { return HeadVerdict::Accept; },
                  [](std::string_view) {},
                  [&](const Result<void, OriginError> &Ended) {
                    Whole = static_cast<bool>(Ended);
                    Owner_->stop();
                  }});
  std::this_thread::sleep_for(100ms);
  Owner_->run();
  EXPECT_TRUE(Whole);
}

TEST_F(OriginClientTest, LimitOfConnectionsIsToldBeforeAnythingIsSent) {
  listen({}, {.ConnectionsPerEndpoint_ = 1});
  Client_->start(request(), {[](const auto &) { return HeadVerdict::Accept; },
                             [](auto) {}, [](const auto &) {}});
  Outcome Found = run(request());
  ASSERT_TRUE(Found.Error_);
  EXPECT_EQ(Found.Error_->Kind_, OriginErrorKind::TooManyConnections);
  EXPECT_FALSE(Found.Error_->MayHaveReached_);
}

TEST_F(OriginClientTest, AnswerBeforeTheBodyWasReadEndsTheConnection) {
  Reply Early = Ok;
  Early.Early_ = true;
  listen({Early, Ok});
  constexpr std::size_t MoreThanSocketsHold = 16UL * 1024 * 1024;
  Outcome Found = run(request(std::string(MoreThanSocketsHold, 'x')));
  EXPECT_TRUE(Found.Whole_);
  EXPECT_EQ(Client_->counters().Connects_, 1u);
  run(request());
  EXPECT_EQ(Client_->counters().Connects_, 2u);
}

TEST_F(OriginClientTest, CancelledCallHasNoFurtherCallbacks) {
  listen({Ok});
  bool Called = false;
  OriginCallId Id =
      Client_->start(request(), {[&](const auto &) {
                                   Called = true;
                                   return HeadVerdict::Accept;
                                 },
                                 [&](auto) { Called = true; },
                                 [&](const auto &) { Called = true; }});
  Client_->cancel(Id);
  settle();
  EXPECT_FALSE(Called);
}

/// Guards against a truncated answer that counts as whole because a failed send
/// consumed the reset, after which the socket reports a regular end.
TEST_F(OriginClientTest, ResetNoticedBySendingDoesNotEndAnAnswerRegularly) {
  listen({{"HTTP/1.1 200 OK\r\n\r\nfour", Then::Keep, true}});
  Timer Reset(*Owner_, [this] { Peer_->resetAll(); });
  Reset.start(30ms);
  // More than the socket buffers hold, so that sending goes on meanwhile.
  constexpr std::size_t LongBody = 16UL * 1024 * 1024;
  Outcome Found = run(request(std::string(LongBody, 'x')));
  EXPECT_FALSE(Found.Whole_);
  ASSERT_TRUE(Found.Error_);
  EXPECT_EQ(Found.Error_->Kind_, OriginErrorKind::Reset);
  EXPECT_TRUE(Found.Error_->MayHaveReached_);
}

/// How a peer ends an answer without length while it is still being sent the
/// request.
struct EarlyEndCase {
  std::string_view Name_;
  Then Then_ = Then::Close;
  std::size_t BodyBytes_ = 0;
};

std::ostream &operator<<(std::ostream &Out, const EarlyEndCase &Value) {
  return Out << Value.Name_;
}

class OriginClientEarlyEndTest
    : public OriginClientTest,
      public testing::WithParamInterface<EarlyEndCase> {};

/// Guards against a part of an answer that counts as whole because its peer
/// ended the connection before it had read the request.
TEST_P(OriginClientEarlyEndTest, AnswerWithoutLengthIsNotWhole) {
  listen({{"HTTP/1.1 200 OK\r\n\r\nfour", GetParam().Then_, true}});
  Outcome Found = run(request(std::string(GetParam().BodyBytes_, 'x')));
  EXPECT_FALSE(Found.Whole_);
  ASSERT_TRUE(Found.Error_);
  EXPECT_TRUE(Found.Error_->MayHaveReached_);
}

/// More than the buffers of the peer's socket take, and more than those of both
/// sockets.
constexpr std::size_t MoreThanThePeerTakes = 1024UL * 1024;
constexpr std::size_t MoreThanBothTake = 16UL * 1024 * 1024;

INSTANTIATE_TEST_SUITE_P(
    Ends, OriginClientEarlyEndTest,
    testing::Values(EarlyEndCase{"reset", Then::Reset, MoreThanBothTake},
                    EarlyEndCase{"close", Then::Close, MoreThanBothTake},
                    EarlyEndCase{"shutdown", Then::Shutdown, MoreThanBothTake},
                    EarlyEndCase{"shutdown_of_a_request_in_flight",
                                 Then::Shutdown, MoreThanThePeerTakes}),
    [](const auto &Info) { return std::string(Info.param.Name_); });

struct EndlessCase {
  std::string_view Name_;
  std::string_view Start_;
  std::string_view Endless_;
};

std::ostream &operator<<(std::ostream &Out, const EndlessCase &Value) {
  return Out << Value.Name_;
}

class OriginClientEndlessTest
    : public OriginClientTest,
      public testing::WithParamInterface<EndlessCase> {};

/// Guards against a peer that sends bytes that are no answer until the caller
/// closes, which would take memory or time without end.
TEST_P(OriginClientEndlessTest, BytesThatAreNoAnswerEndTheCall) {
  listen({{std::string(GetParam().Start_), Then::Keep, false,
           std::string(GetParam().Endless_)}});
  Outcome Found = run(request());
  ASSERT_TRUE(Found.Error_) << "not ended after " << Peer_->floodedBytes();
  EXPECT_EQ(Found.Error_->Kind_, OriginErrorKind::Malformed);
  EXPECT_TRUE(Found.Error_->MayHaveReached_);
  // What the sockets and the limits of head and skipped answers hold.
  constexpr std::size_t MaxBytes = 16UL * 1024 * 1024;
  EXPECT_LE(Peer_->floodedBytes(), MaxBytes);
}

INSTANTIATE_TEST_SUITE_P(
    Bytes, OriginClientEndlessTest,
    testing::Values(
        EndlessCase{"garbage", "", "garbage"},
        EndlessCase{"zeros", "", std::string_view("\0\0\0\0", 4)},
        EndlessCase{"line_ends", "", "\r\n"},
        EndlessCase{"status_line", "HTTP/1.1 200 ", "OK"},
        EndlessCase{"header_line", "HTTP/1.1 200 OK\r\nX-A: ", "a"},
        EndlessCase{"header_lines", "HTTP/1.1 200 OK\r\n", "X-A: a\r\n"},
        EndlessCase{"interim_answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
        EndlessCase{"foreign_answers", "",
                    "HTTP/1.1 200 OK\r\nX-Id: other\r\n"
                    "Content-Length: 0\r\n\r\n"},
        EndlessCase{"foreign_body", "HTTP/1.1 200 OK\r\nX-Id: other\r\n\r\n",
                    "a"},
        EndlessCase{"chunk_size",
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                    "0"},
        EndlessCase{"chunk_extension",
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                    "1;a=",
                    "b"},
        EndlessCase{"trailer",
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                    "0\r\n",
                    "X-A: a\r\n"}),
    [](const auto &Info) { return std::string(Info.param.Name_); });

/// Guards against one connection that keeps the loop from all others for as
/// long as its peer has sent ahead.
TEST_F(OriginClientTest, OneConnectionLeavesTheOthersTheirTurn) {
  listen(
      {{"HTTP/1.1 200 OK\r\nX-Id: mine\r\n\r\n", Then::Keep, false, "body"}});
  std::size_t InOneTurn = 0;
  std::size_t Most = 0;
  OriginCallId Call = 0;
  OriginEvents Events;
  Events.OnHead_ = [](const OriginHead &) { return HeadVerdict::Accept; };
  Events.OnBody_ = [&](std::string_view Data) {
    if (InOneTurn == 0)
      Owner_->post([&] { Most = std::max(Most, std::exchange(InOneTurn, 0)); });
    InOneTurn += Data.size();
  };
  Events.OnEnd_ = [](const Result<void, OriginError> &) {};
  Call = Client_->start(request(), std::move(Events));
  settle();
  // The peer goes on until the buffers of the system are full.
  Client_->setReading(Call, false);
  for (int Wait = 0; Wait < 10; ++Wait)
    settle();
  Most = 0;
  Client_->setReading(Call, true);
  settle();
  constexpr std::size_t MaxBytes = 512UL * 1024;
  EXPECT_GT(Most, 0u);
  EXPECT_LE(Most, MaxBytes);
  Client_->cancel(Call);
}

} // namespace
