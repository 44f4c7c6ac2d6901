#include "camphorwind/net/http-server.h"

#include "http-connection.h"

#include <fmt/chrono.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace camphorwind::net {

std::string_view toString(ConnectionEnd End) {
  switch (End) {
  case ConnectionEnd::CallerClosed:
    return "caller_closed";
  case ConnectionEnd::CallerReset:
    return "caller_reset";
  case ConnectionEnd::Answered:
    return "answered";
  case ConnectionEnd::Aborted:
    return "aborted";
  case ConnectionEnd::AnswerFailed:
    return "answer_failed";
  case ConnectionEnd::TimedOut:
    return "timed_out";
  case ConnectionEnd::Evicted:
    return "evicted";
  case ConnectionEnd::ServerStopped:
    return "server_stopped";
  }
  return "unknown";
}

bool isCallersOwn(ConnectionEnd End) {
  return End == ConnectionEnd::CallerClosed ||
         End == ConnectionEnd::CallerReset;
}

namespace detail {

namespace {

using std::chrono::milliseconds;
using namespace std::chrono_literals;

constexpr unsigned RequestTimeout = 408;
/// Time without progress after which an unfinished request makes room for a new
/// connection.
constexpr milliseconds MaxStallWhileFull = 1s;
/// Idle time after which connections are closed once none are accepted.
constexpr milliseconds IdleTimeoutAfterStop = 1s;
/// Interval between checks for connections that wait for too long.
constexpr milliseconds SweepInterval = 250ms;
/// Connections accepted until others get their turn.
constexpr int MaxAcceptsPerTurn = 64;

} // namespace

ServerCore::ServerCore(Loop &Owner, const HttpServerLimits &Limits)
    : Owner_(Owner), Limits_(Limits),
      AcceptWatcher_(Owner, [this](bool, bool) { acceptSome(); }),
      SweepTimer_(Owner, [this] { sweep(); }) {
  Memory_.setLimits(Limits.RequestMemory_);
}

ServerCore::~ServerCore() {
  AcceptWatcher_.stop();
  Listening_.close();
  while (!Connections_.empty()) {
    auto Open = Connections_.begin()->second;
    Open->end(ConnectionEnd::ServerStopped);
  }
}

void ServerCore::acceptSome() {
  for (int Accepted = 0; Accepted < MaxAcceptsPerTurn; ++Accepted) {
    if (Connections_.size() >= Limits_.Connections_) {
      // Only the first round is sure that a connection waits.
      if (Accepted > 0)
        return;
      if (!evictIdle()) {
        refuseStalled();
        return pauseAccepting();
      }
    }
    auto Next = acceptFrom(Listening_.fd());
    if (Next) {
      adopt(std::move(Next).value());
      continue;
    }
    if (Next.error().Kind_ == base::IoErrorKind::ResourceLimit &&
        !evictIdle()) {
      refuseStalled();
      pauseAccepting();
    }
    return;
  }
}

bool ServerCore::evictIdle() {
  auto Longest = std::find_if(Idle_.begin(), Idle_.end(), [](auto *Each) {
    return !Each->hasUnreadInput();
  });
  if (Longest == Idle_.end())
    return false;
  (*Longest)->end(ConnectionEnd::Evicted);
  return true;
}

void ServerCore::refuseStalled() {
  if (Limits_.RequestMemory_.Bytes_ == 0)
    return;
  base::TimePoint Now = Owner_.now();
  for (int Refused = 0; Refused < MaxAcceptsPerTurn; ++Refused) {
    auto Stalled = Memory_.longestStalled(
        MaxStallWhileFull, Now,
        [](const Connection *Each) { return Each->isReadingRequest(); });
    if (!Stalled)
      return;
    (*Stalled)->makeRoom();
  }
}

bool ServerCore::hold(Connection &By, std::size_t Bytes) {
  base::TimePoint Now = Owner_.now();
  Memory_.hold(&By, Bytes, Now);
  while (auto Next = Memory_.nextRefused(Now)) {
    if (*Next == &By)
      return false;
    (*Next)->makeRoom();
  }
  return true;
}

void ServerCore::pauseAccepting() {
  AcceptPaused_ = true;
  AcceptWatcher_.stop();
  scheduleSweep();
}

void ServerCore::resumeAccepting() {
  if (!Listening_.valid() || !std::exchange(AcceptPaused_, false))
    return;
  AcceptWatcher_.start(Listening_.fd(), Interest::Read);
}

void ServerCore::adopt(Socket Accepted) {
  auto Made = std::make_shared<Connection>(*this, std::move(Accepted));
  Connections_.emplace(Made.get(), Made);
  Made->start();
}

void ServerCore::sweep() {
  base::TimePoint Now = Owner_.now();
  std::vector<Connection *> Expired;
  for (Connection *Each : Idle_) {
    base::TimePoint Since = Each->waitingSince();
    milliseconds Limit = Each->idleTimeout();
    if (StoppedAt_) {
      Since = std::max(Since, *StoppedAt_);
      Limit = IdleTimeoutAfterStop;
    }
    // A request that has arrived meanwhile is served.
    if (Now - Since >= Limit && !Each->hasUnreadInput())
      Expired.push_back(Each);
  }
  for (Connection *Each : Expired)
    Each->end(ConnectionEnd::TimedOut);
  std::vector<std::shared_ptr<Connection>> Late;
  for (Connection *Each : ReadingHead_)
    if (Now - Each->waitingSince() >= Limits_.HeadTimeout_ &&
        !Each->isReadable())
      Late.push_back(Each->shared_from_this());
  for (const auto &Each : Late)
    Each->refuse(RequestTimeout);
  resumeAccepting();
  if (!Idle_.empty() || !ReadingHead_.empty())
    scheduleSweep();
}

void ServerCore::scheduleSweep() {
  if (!SweepTimer_.active())
    SweepTimer_.start(SweepInterval);
}

HttpAnswer ServerCore::errorAnswer(unsigned Status) const {
  return ErrorAnswer_ ? ErrorAnswer_(Status) : HttpAnswer{Status, {}, ""};
}

const std::string &ServerCore::date() {
  std::time_t Now = std::time(nullptr);
  if (std::exchange(DateAt_, Now) != Now)
    Date_ = fmt::format("{:%a, %d %b %Y %H:%M:%S} GMT", fmt::gmtime(Now));
  return Date_;
}

} // namespace detail

struct HttpServer::Impl {
  Impl(Loop &Owner, const HttpServerLimits &Limits) : Core_(Owner, Limits) {}

  detail::ServerCore Core_;
  Address Address_;
};

HttpServer::HttpServer(std::unique_ptr<Impl> Inner)
    : Inner_(std::move(Inner)) {}

HttpServer::~HttpServer() = default;

base::Result<std::unique_ptr<HttpServer>, base::IoError>
HttpServer::create(Loop &Owner, const Address &Local, HttpServerLimits Limits,
                   HttpHandler Handler, HttpErrorAnswer ErrorAnswer) {
  BOOST_OUTCOME_TRY(Listening, listenOn(Local));
  BOOST_OUTCOME_TRY(Bound, localAddress(Listening.fd()));
  auto Inner = std::make_unique<Impl>(Owner, Limits);
  auto &Core = Inner->Core_;
  Core.Handler_ = std::move(Handler);
  Core.ErrorAnswer_ = std::move(ErrorAnswer);
  Core.Listening_ = std::move(Listening);
  Core.AcceptWatcher_.start(Core.Listening_.fd(), Interest::Read);
  Inner->Address_ = std::move(Bound);
  return std::unique_ptr<HttpServer>(new HttpServer(std::move(Inner)));
}

const Address &HttpServer::address() const { return Inner_->Address_; }

void HttpServer::closeAfterAnswers() { Inner_->Core_.Closing_ = true; }

void HttpServer::setLimits(const HttpServerLimits &Limits) {
  Inner_->Core_.Limits_ = Limits;
  Inner_->Core_.Memory_.setLimits(Limits.RequestMemory_);
}

void HttpServer::onConnectionEnd(std::function<void(ConnectionEnd)> Callback) {
  Inner_->Core_.OnConnectionEnd_ = std::move(Callback);
}

void HttpServer::setBodyTimeLimit(BodyTimeLimit Limit) {
  Inner_->Core_.BodyTimeLimit_ = std::move(Limit);
}

void HttpServer::stopAccepting() {
  auto &Core = Inner_->Core_;
  if (Core.StoppedAt_)
    return;
  Core.StoppedAt_ = Core.Owner_.now();
  Core.Closing_ = true;
  // What stands in the queue would be reset by closing the listener.
  while (true) {
    auto Waiting = acceptFrom(Core.Listening_.fd());
    if (Waiting)
      Core.adopt(std::move(Waiting).value());
    else if (Waiting.error().Kind_ != base::IoErrorKind::ResourceLimit ||
             !Core.evictIdle())
      break;
  }
  Core.AcceptWatcher_.stop();
  Core.Listening_.close();
  Core.scheduleSweep();
}

std::size_t HttpServer::inProgress() const { return Inner_->Core_.InProgress_; }

std::size_t HttpServer::requestBytes() const {
  return Inner_->Core_.Memory_.bytes();
}

} // namespace camphorwind::net
