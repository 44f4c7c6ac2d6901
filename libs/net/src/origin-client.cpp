#include "camphorwind/net/origin-client.h"

#include "camphorwind/net/socket.h"
#include "response-parser.h"

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <optional>
#include <sys/socket.h>
#include <unordered_map>
#include <utility>
#include <vector>

namespace camphorwind::net {

std::string_view toString(OriginErrorKind Kind) {
  switch (Kind) {
  case OriginErrorKind::NotConnected:
    return "not_connected";
  case OriginErrorKind::TooManyConnections:
    return "too_many_connections";
  case OriginErrorKind::Reset:
    return "reset";
  case OriginErrorKind::Closed:
    return "closed";
  case OriginErrorKind::Malformed:
    return "malformed";
  }
  return "unknown";
}

namespace detail {

namespace {

constexpr std::size_t ReadBytes = 16UL * 1024;
/// Reads of one connection until others get their turn. A peer that sends as
/// fast as it is read would otherwise keep the loop from anything else.
constexpr int MaxReadsPerTurn = 16;
/// Reads of a connection whose peer has stopped reading: what it sent before
/// that is in the buffers of the system.
constexpr int MaxReadsAfterFailedSend = 1024;
/// Answers to other requests, and interim ones, that one call waits through.
constexpr unsigned MaxSkippedAnswers = 16;
/// Bytes of such answers.
constexpr std::size_t MaxSkippedBytes = 1024UL * 1024;
/// A peer closes an idle connection at the time that it announced; one that
/// is nearly that old is not used again.
constexpr std::chrono::milliseconds KeepAliveMargin{1000};

/// Returns the seconds in `timeout=N` of a Keep-Alive header.
std::optional<std::chrono::milliseconds>
keepAliveTimeout(const HttpHeaders &Headers) {
  auto Field = Headers.find("Keep-Alive");
  if (!Field)
    return std::nullopt;
  constexpr std::string_view Key = "timeout=";
  std::size_t Start = Field->find(Key);
  if (Start == std::string_view::npos)
    return std::nullopt;
  Start += Key.size();
  long Seconds = 0;
  auto [End, Error] = std::from_chars(Field->data() + Start,
                                      Field->data() + Field->size(), Seconds);
  if (Error != std::errc())
    return std::nullopt;
  return std::chrono::seconds(Seconds);
}

std::string serialize(const OriginRequest &Request) {
  std::string Text;
  constexpr std::size_t Usual = 512;
  Text.reserve(Usual);
  Text.append(Request.Method_).append(" ").append(Request.Target_);
  Text.append(" HTTP/1.1\r\n");
  for (const auto &[Name, Value] : Request.Headers_.fields())
    Text.append(Name).append(": ").append(Value).append("\r\n");
  if (Request.Body_ || Request.Method_ == "POST" || Request.Method_ == "PUT") {
    std::size_t Length = Request.Body_ ? Request.Body_->size() : 0;
    Text.append("Content-Length: ").append(std::to_string(Length));
    Text.append("\r\n");
  }
  return Text.append("\r\n");
}

} // namespace

/// A request in progress.
struct OriginCall {
  OriginCallId Id_ = 0;
  OriginRequest Request_;
  OriginEvents Events_;
};

/// One connection: connecting, in use, or idle.
struct OriginConnection {
  explicit OriginConnection(Loop &Owner, FdWatcher::Callback OnReady,
                            std::function<void()> OnTimer)
      : Watcher_(Owner, std::move(OnReady)), Timer_(Owner, std::move(OnTimer)) {
  }

  base::Address Endpoint_;
  /// As in OriginHead::Connection_.
  std::uint64_t Number_ = 0;
  /// Hashes of the ids of the requests that the connection has carried.
  std::vector<std::size_t> CarriedIds_;
  Socket Socket_;
  FdWatcher Watcher_;
  /// Limits connecting, or idle time.
  Timer Timer_;
  /// Shared with the callbacks that are running; null while idle.
  std::shared_ptr<OriginCall> Call_;
  std::unique_ptr<ResponseParser> Parser_;
  std::string Head_;
  std::size_t HeadSent_ = 0;
  std::size_t BodySent_ = 0;
  std::string Input_;
  /// Answers, and bytes of their bodies, that the call has skipped.
  unsigned SkippedAnswers_ = 0;
  std::size_t SkippedBytes_ = 0;
  std::chrono::milliseconds KeepFor_{0};
  base::TimePoint IdleSince_{};
  bool Connecting_ = false;
  bool Reused_ = false;
  bool Reading_ = true;
  /// The answer now arriving belongs to another request.
  bool Skipping_ = false;
  /// A failed send consumes the error of the socket: a reset connection then
  /// reads as if the peer had closed it.
  bool SendFailed_ = false;
  bool Dead_ = false;

  bool hasCarried(const std::string &Id) const {
    return !Id.empty() &&
           std::find(CarriedIds_.begin(), CarriedIds_.end(),
                     std::hash<std::string>()(Id)) != CarriedIds_.end();
  }
  void addCarried(const std::string &Id) {
    if (!Id.empty())
      CarriedIds_.push_back(std::hash<std::string>()(Id));
  }

  std::size_t bodySize() const {
    return Call_->Request_.Body_ ? Call_->Request_.Body_->size() : 0;
  }
  bool sentWhole() const {
    return HeadSent_ == Head_.size() && BodySent_ == bodySize();
  }
};

} // namespace detail

using detail::OriginCall;
using detail::OriginConnection;

struct OriginClient::Impl {
  using ConnectionPtr = std::shared_ptr<OriginConnection>;

  struct Peer {
    std::size_t Limit_ = 0;
    std::size_t Open_ = 0;
    std::vector<ConnectionPtr> Idle_;
  };

  Impl(Loop &LoopToUse, OriginClientLimits Limits)
      : Owner_(LoopToUse), Limits_(Limits) {}

  ~Impl() { *Alive_ = false; }

  Peer &peer(const base::Address &Endpoint) {
    auto [Found, New] = Peers_.try_emplace(base::toString(Endpoint));
    if (New)
      Found->second.Limit_ = Limits_.ConnectionsPerEndpoint_;
    return Found->second;
  }

  void begin(OriginCall Call) {
    Peer &To = peer(Call.Request_.Endpoint_);
    if (ConnectionPtr Kept = takeIdle(To, Call.Request_)) {
      ++Counters_.Reuses_;
      Kept->Reused_ = true;
      assign(Kept, std::move(Call));
      return;
    }
    connect(To, std::move(Call));
  }

  /// Returns the connection that was used last of those that the request may
  /// use, or null. Closes those that have been idle for too long.
  ConnectionPtr takeIdle(Peer &From, const OriginRequest &For) {
    for (std::size_t Index = From.Idle_.size(); Index-- > 0;) {
      ConnectionPtr Each = From.Idle_[Index];
      auto Age = Owner_.now() - Each->IdleSince_;
      bool Fresh = !Each->Dead_ && Age < std::min(For.MaxIdle_, Each->KeepFor_);
      if (Fresh && Each->hasCarried(For.Id_)) {
        ++Counters_.RepeatedIds_;
        continue;
      }
      From.Idle_.erase(From.Idle_.begin() + static_cast<std::ptrdiff_t>(Index));
      if (Fresh)
        return Each;
      if (!Each->Dead_)
        destroy(Each);
    }
    return nullptr;
  }

  /// Closes the connection that has been idle for longest; there must be one.
  void closeOldestIdle(Peer &Of) {
    ConnectionPtr Oldest = Of.Idle_.front();
    Of.Idle_.erase(Of.Idle_.begin());
    destroy(Oldest);
  }

  void connect(Peer &To, OriginCall Call) {
    // Idle connections that the request may not use make room for a new one.
    while (To.Open_ >= To.Limit_ && !To.Idle_.empty())
      closeOldestIdle(To);
    if (To.Open_ >= To.Limit_) {
      fail(std::move(Call), {OriginErrorKind::TooManyConnections, false,
                             "limit of connections reached"});
      return;
    }
    auto Opened = startConnect(Call.Request_.Endpoint_);
    if (!Opened) {
      ++Counters_.ConnectFailures_;
      fail(std::move(Call),
           {OriginErrorKind::NotConnected, false, Opened.error().Detail_});
      return;
    }
    ++Counters_.Connects_;
    ConnectionPtr Made = make(std::move(Opened).value());
    Made->Number_ = Counters_.Connects_;
    Made->Endpoint_ = Call.Request_.Endpoint_;
    Made->Connecting_ = true;
    ++To.Open_;
    Made->Timer_.start(Call.Request_.ConnectTimeout_);
    assign(Made, std::move(Call));
  }

  ConnectionPtr make(Socket Opened) {
    auto Weak = std::make_shared<std::weak_ptr<OriginConnection>>();
    auto Made = std::make_shared<OriginConnection>(
        Owner_,
        [this, Weak](bool Readable, bool Writable) {
          if (ConnectionPtr Self = Weak->lock())
            onReady(Self, Readable, Writable);
        },
        [this, Weak] {
          if (ConnectionPtr Self = Weak->lock())
            onTimer(Self);
        });
    *Weak = Made;
    Made->Socket_ = std::move(Opened);
    return Made;
  }

  void assign(const ConnectionPtr &To, OriginCall Call) {
    To->Head_ = detail::serialize(Call.Request_);
    To->HeadSent_ = 0;
    To->BodySent_ = 0;
    To->SkippedAnswers_ = 0;
    To->SkippedBytes_ = 0;
    To->Reading_ = true;
    To->addCarried(Call.Request_.Id_);
    To->Call_ = std::make_shared<OriginCall>(std::move(Call));
    ByCall_[To->Call_->Id_] = To;
    newParser(*To);
    if (To->Connecting_) {
      To->Watcher_.start(To->Socket_.fd(), Interest::Write);
      return;
    }
    To->Timer_.stop();
    // Sent from the loop, so that no callback comes before start() returns.
    To->Watcher_.start(To->Socket_.fd(), Interest::ReadWrite);
  }

  void newParser(OriginConnection &For) {
    bool HeadRequest = For.Call_->Request_.Method_ == "HEAD";
    For.Skipping_ = false;
    detail::ResponseParser::Events Events;
    Events.OnHead_ = [this, Self = &For](const OriginHead &Head) {
      onHead(*Self, Head);
    };
    Events.OnBody_ = [Self = &For](std::string_view Data) {
      if (Self->Skipping_)
        Self->SkippedBytes_ += Data.size();
      if (std::shared_ptr<OriginCall> Call = Self->Call_;
          Call && !Self->Skipping_ && !Self->Dead_)
        Call->Events_.OnBody_(Data);
    };
    For.Parser_ = std::make_unique<detail::ResponseParser>(
        Limits_.HeaderBytes_, HeadRequest, std::move(Events));
  }

  void onHead(OriginConnection &Self, const OriginHead &Head) {
    if (!Self.Call_ || Self.Dead_)
      return;
    if (auto KeepFor = detail::keepAliveTimeout(Head.Headers_))
      Self.KeepFor_ = *KeepFor - detail::KeepAliveMargin;
    else if (Self.KeepFor_.count() == 0)
      Self.KeepFor_ = Limits_.IdleTimeout_;
    constexpr unsigned FirstFinalStatus = 200;
    if (Head.Status_ < FirstFinalStatus) {
      Self.Skipping_ = true;
      return;
    }
    std::shared_ptr<OriginCall> Call = Self.Call_;
    OriginHead Marked = Head;
    Marked.ConnectionReused_ = Self.Reused_;
    Marked.Connection_ = Self.Number_;
    if (Call->Events_.OnHead_(Marked) == HeadVerdict::Accept)
      return;
    Self.Skipping_ = true;
    ++Counters_.ForeignAnswers_;
  }

  void onReady(const ConnectionPtr &Self, bool Readable, bool Writable) {
    if (Self->Dead_)
      return;
    if (!Self->Call_) {
      // Nothing is due on an idle connection: the peer closed it or sent bytes
      // that belong to no request.
      char First = 0;
      if (::recv(Self->Socket_.fd(), &First, 1, 0) > 0)
        ++Counters_.IdleBytes_;
      removeIdle(*Self);
      destroy(Self);
      return;
    }
    if (Self->Connecting_ && !finishConnect(Self))
      return;
    // A kept connection that ended meanwhile is noticed before it is used.
    if (Readable && Self->HeadSent_ == 0)
      receive(Self);
    if (Self->Dead_ || !Self->Call_)
      return;
    if (Writable && !send(Self))
      return;
    if (Readable)
      receive(Self);
    if (!Self->Dead_ && Self->Call_)
      watch(*Self);
  }

  bool finishConnect(const ConnectionPtr &Self) {
    int Error = pendingError(Self->Socket_.fd());
    if (Error != 0) {
      ++Counters_.ConnectFailures_;
      end(Self, OriginError{OriginErrorKind::NotConnected, false,
                            std::strerror(Error)});
      return false;
    }
    Self->Connecting_ = false;
    Self->Timer_.stop();
    return true;
  }

  void watch(OriginConnection &Self) const {
    bool Sending = !Self.sentWhole();
    Interest Wanted = Interest::None;
    if (Sending && Self.Reading_)
      Wanted = Interest::ReadWrite;
    else if (Sending)
      Wanted = Interest::Write;
    else if (Self.Reading_)
      Wanted = Interest::Read;
    Self.Watcher_.start(Self.Socket_.fd(), Wanted);
  }

  /// Sends what the socket takes. Returns false if the connection is gone.
  bool send(const ConnectionPtr &Self) {
    if (Self->HeadSent_ == 0 && !maySend(Self))
      return false;
    while (!Self->sentWhole()) {
      bool InHead = Self->HeadSent_ < Self->Head_.size();
      const std::string &From =
          InHead ? Self->Head_ : *Self->Call_->Request_.Body_;
      std::size_t &Sent = InHead ? Self->HeadSent_ : Self->BodySent_;
      bool BodyFollows = InHead && Self->bodySize() > 0;
      ssize_t Put =
          ::send(Self->Socket_.fd(), From.data() + Sent, From.size() - Sent,
                 MSG_NOSIGNAL | (BodyFollows ? MSG_MORE : 0));
      if (Put >= 0) {
        Sent += static_cast<std::size_t>(Put);
        continue;
      }
      if (errno == EAGAIN || errno == EWOULDBLOCK)
        return true;
      if (errno == EINTR)
        continue;
      onSendError(Self, errno);
      return false;
    }
    return true;
  }

  /// Ends the request, if there still is one, unless it may be sent.
  bool maySend(const ConnectionPtr &Self) {
    std::shared_ptr<OriginCall> Call = Self->Call_;
    if (!Call->Events_.MaySend_ || Call->Events_.MaySend_())
      return !Self->Dead_ && Self->Call_;
    if (!Self->Dead_ && Self->Call_)
      end(Self, OriginError{OriginErrorKind::NotConnected, false,
                            "no longer to be sent"});
    return false;
  }

  void onSendError(const ConnectionPtr &Self, int Error) {
    // An answer may have arrived before the peer stopped reading.
    if (Self->HeadSent_ > 0) {
      Self->SendFailed_ = true;
      receive(Self, detail::MaxReadsAfterFailedSend);
      if (Self->Dead_ || !Self->Call_)
        return;
      end(Self,
          OriginError{OriginErrorKind::Reset, true, std::strerror(Error)});
      return;
    }
    restart(Self, OriginErrorKind::Reset, std::strerror(Error));
  }

  /// The connection ended before a byte of the request had left.
  void restart(const ConnectionPtr &Self, OriginErrorKind Kind,
               const std::string &Detail) {
    std::shared_ptr<OriginCall> Call = std::exchange(Self->Call_, nullptr);
    ByCall_.erase(Call->Id_);
    bool Reused = Self->Reused_;
    destroy(Self);
    if (Reused)
      connect(peer(Call->Request_.Endpoint_), std::move(*Call));
    else
      fail(std::move(*Call), {Kind, false, Detail});
  }

  void receive(const ConnectionPtr &Self,
               int MaxReads = detail::MaxReadsPerTurn) {
    char Buffer[detail::ReadBytes];
    for (int Read = 0;
         Read < MaxReads && !Self->Dead_ && Self->Call_ && Self->Reading_;
         ++Read) {
      ssize_t Got = ::recv(Self->Socket_.fd(), Buffer, sizeof(Buffer), 0);
      if (Got > 0 && Self->HeadSent_ == 0) {
        ++Counters_.IdleBytes_;
        restart(Self, OriginErrorKind::Malformed, "bytes before a request");
        return;
      }
      if (Got > 0) {
        Self->Input_.append(Buffer, static_cast<std::size_t>(Got));
        parse(Self);
        if (static_cast<std::size_t>(Got) < sizeof(Buffer))
          return;
        continue;
      }
      if (Got == 0) {
        onPeerClosed(Self);
        return;
      }
      if (errno == EINTR)
        continue;
      if (errno != EAGAIN && errno != EWOULDBLOCK)
        onReceiveError(Self, errno);
      return;
    }
  }

  void onReceiveError(const ConnectionPtr &Self, int Error) {
    bool Reached = Self->HeadSent_ > 0;
    if (!Reached) {
      restart(Self, OriginErrorKind::Reset, std::strerror(Error));
      return;
    }
    end(Self, OriginError{OriginErrorKind::Reset, true, std::strerror(Error)});
  }

  /// Whether the peer has received all of the request.
  static bool hasArrivedWhole(const OriginConnection &Self) {
    return Self.sentWhole() && unacknowledgedBytes(Self.Socket_.fd()) == 0;
  }

  void onPeerClosed(const ConnectionPtr &Self) {
    if (Self->HeadSent_ == 0) {
      restart(Self, OriginErrorKind::Closed, "closed by the peer");
      return;
    }
    if (Self->SendFailed_) {
      end(Self,
          OriginError{OriginErrorKind::Reset, true, "reset inside the answer"});
      return;
    }
    bool AnswerEnds = !Self->Skipping_ &&
                      Self->Parser_->putEnd() == detail::ParseState::Complete;
    // The rest of the request meets a reset, which also ends answers early.
    if (AnswerEnds && !hasArrivedWhole(*Self)) {
      end(Self, OriginError{OriginErrorKind::Closed, true,
                            "closed before the request was received"});
      return;
    }
    if (AnswerEnds) {
      succeed(Self);
      return;
    }
    end(Self,
        OriginError{OriginErrorKind::Closed, true, "closed inside the answer"});
  }

  void parse(const ConnectionPtr &Self) {
    while (!Self->Dead_ && Self->Call_ && !Self->Input_.empty()) {
      switch (Self->Parser_->put(Self->Input_)) {
      case detail::ParseState::NeedMore:
        if (!Self->Dead_ && Self->Call_ && exceedsLimits(*Self))
          end(Self, OriginError{OriginErrorKind::Malformed, true,
                                "bytes without end"});
        return;
      case detail::ParseState::Failed:
        if (!Self->Dead_ && Self->Call_)
          end(Self, OriginError{OriginErrorKind::Malformed, true,
                                Self->Parser_->error()});
        return;
      case detail::ParseState::Complete:
        break;
      }
      if (Self->Dead_ || !Self->Call_)
        return;
      if (!Self->Skipping_) {
        succeed(Self);
        return;
      }
      if (++Self->SkippedAnswers_ > detail::MaxSkippedAnswers ||
          exceedsLimits(*Self)) {
        end(Self, OriginError{OriginErrorKind::Malformed, true,
                              "answers to other requests without end"});
        return;
      }
      newParser(*Self);
    }
  }

  /// Whether the peer has sent more than any answer may have before or between
  /// the parts of its body.
  bool exceedsLimits(const OriginConnection &Self) const {
    return Self.Input_.size() > Limits_.HeaderBytes_ ||
           Self.SkippedBytes_ > detail::MaxSkippedBytes;
  }

  void succeed(const ConnectionPtr &Self) {
    bool Whole = Self->sentWhole();
    bool Extra = !Self->Input_.empty();
    Counters_.ExtraBytes_ += Extra ? 1 : 0;
    bool Keep = Whole && !Extra && Self->Parser_->keepAlive();
    std::shared_ptr<OriginCall> Call = std::exchange(Self->Call_, nullptr);
    ByCall_.erase(Call->Id_);
    if (Keep)
      makeIdle(Self);
    else
      destroy(Self);
    Call->Events_.OnEnd_(base::success());
  }

  void makeIdle(const ConnectionPtr &Self) {
    Peer &To = peer(Self->Endpoint_);
    if (To.Idle_.size() >= Limits_.IdlePerEndpoint_ ||
        Self->CarriedIds_.size() >= Limits_.IdsPerConnection_ ||
        Self->KeepFor_.count() <= 0) {
      destroy(Self);
      return;
    }
    Self->IdleSince_ = Owner_.now();
    Self->Watcher_.start(Self->Socket_.fd(), Interest::Read);
    Self->Timer_.start(std::min(Self->KeepFor_, Limits_.IdleTimeout_));
    To.Idle_.push_back(Self);
  }

  void removeIdle(const OriginConnection &Self) {
    std::erase_if(
        peer(Self.Endpoint_).Idle_,
        [&Self](const ConnectionPtr &Each) { return Each.get() == &Self; });
  }

  void onTimer(const ConnectionPtr &Self) {
    if (Self->Dead_)
      return;
    if (Self->Connecting_) {
      ++Counters_.ConnectFailures_;
      end(Self, OriginError{OriginErrorKind::NotConnected, false,
                            "no connection in time"});
      return;
    }
    if (!Self->Call_) {
      removeIdle(*Self);
      destroy(Self);
    }
  }

  void end(const ConnectionPtr &Self, OriginError Error) {
    std::shared_ptr<OriginCall> Call = std::exchange(Self->Call_, nullptr);
    ByCall_.erase(Call->Id_);
    destroy(Self);
    Call->Events_.OnEnd_(base::failure(std::move(Error)));
  }

  /// Reports a failure from the loop's next turn.
  void fail(OriginCall Call, OriginError Error) {
    OriginCallId Id = Call.Id_;
    Failing_.emplace(Id, std::move(Call));
    Owner_.post([this, Id, Error = std::move(Error),
                 Alive = std::weak_ptr<bool>(Alive_)] {
      if (Alive.expired())
        return;
      auto Found = Failing_.find(Id);
      if (Found == Failing_.end())
        return;
      OriginCall Failed = std::move(Found->second);
      Failing_.erase(Found);
      Failed.Events_.OnEnd_(base::failure(Error));
    });
  }

  /// Closes a connection. The object lives on until the loop's next turn,
  /// since its own callback may be running.
  void destroy(const ConnectionPtr &Self) {
    Self->Dead_ = true;
    Self->Watcher_.stop();
    Self->Timer_.stop();
    Self->Socket_.close();
    --peer(Self->Endpoint_).Open_;
    Owner_.post([Self] {});
  }

  void cancel(OriginCallId Id) {
    if (Failing_.erase(Id) > 0)
      return;
    auto Found = ByCall_.find(Id);
    if (Found == ByCall_.end())
      return;
    ConnectionPtr Self = Found->second;
    ByCall_.erase(Found);
    // Kept until the loop's next turn: its callback may be running.
    Owner_.post([Call = std::exchange(Self->Call_, nullptr)] {});
    destroy(Self);
  }

  Loop &Owner_;
  OriginClientLimits Limits_;
  std::unordered_map<std::string, Peer> Peers_;
  std::unordered_map<OriginCallId, ConnectionPtr> ByCall_;
  std::unordered_map<OriginCallId, OriginCall> Failing_;
  OriginCounters Counters_;
  OriginCallId NextId_ = 1;
  std::shared_ptr<bool> Alive_ = std::make_shared<bool>(true);
};

OriginClient::OriginClient(Loop &Owner, OriginClientLimits Limits)
    : Inner_(std::make_unique<Impl>(Owner, Limits)) {}

OriginClient::~OriginClient() = default;

OriginCallId OriginClient::start(OriginRequest Request, OriginEvents Events) {
  OriginCallId Id = Inner_->NextId_++;
  Inner_->begin({Id, std::move(Request), std::move(Events)});
  return Id;
}

void OriginClient::cancel(OriginCallId Id) { Inner_->cancel(Id); }

void OriginClient::setReading(OriginCallId Id, bool Reading) {
  auto Found = Inner_->ByCall_.find(Id);
  if (Found == Inner_->ByCall_.end())
    return;
  OriginConnection &Self = *Found->second;
  if (Self.Reading_ == Reading)
    return;
  Self.Reading_ = Reading;
  if (!Self.Connecting_)
    Inner_->watch(Self);
}

void OriginClient::dropIdle(const base::Address &Endpoint) {
  auto Idle = std::exchange(Inner_->peer(Endpoint).Idle_, {});
  for (const Impl::ConnectionPtr &Each : Idle)
    Inner_->destroy(Each);
}

void OriginClient::setConnectionsPerEndpoint(const base::Address &Endpoint,
                                             std::size_t Limit) {
  Inner_->peer(Endpoint).Limit_ = Limit;
}

const OriginCounters &OriginClient::counters() const {
  return Inner_->Counters_;
}

} // namespace camphorwind::net
