#include "http-connection.h"

#include <boost/algorithm/string/predicate.hpp>
#include <boost/beast/http/status.hpp>
#include <curl/curl.h>
#include <fmt/format.h>

#include <algorithm>
#include <cerrno>
#include <poll.h>
#include <sys/socket.h>
#include <utility>

namespace camphorwind::net::detail {

namespace {

using std::chrono::milliseconds;
using namespace std::chrono_literals;

constexpr unsigned NoContent = 204;
constexpr unsigned NotModified = 304;
constexpr unsigned BadRequest = 400;
constexpr unsigned RequestTimeout = 408;
constexpr unsigned ContentTooLarge = 413;
constexpr unsigned HeadersTooLarge = 431;
constexpr unsigned ServiceUnavailable = 503;

/// Most bytes read over the limit of a body only to answer 413.
constexpr std::size_t MaxDiscardedBytes = 16UL * 1024 * 1024;
constexpr milliseconds LingerTime = 1s;
/// Reads of one connection until others get their turn.
constexpr int MaxReadsPerTurn = 16;
/// Bytes of further requests that are read while one is answered. A caller that
/// sends more is not read, so that its leaving is noticed only by sending.
constexpr std::size_t MaxPipelinedBytes = 64UL * 1024;
/// Bodies up to this size are sent together with their head.
constexpr std::size_t MaxJoinedBody = 16UL * 1024;
/// Larger buffers are released while a connection is idle.
constexpr std::size_t MaxIdleBuffer = 1024;
/// Room that a body of unknown length gets at first.
constexpr std::size_t MinBodyCapacity = 16UL * 1024;

/// Returns the capacity for a body that has \p Capacity and needs more.
std::size_t grownCapacity(std::size_t Capacity, std::size_t Needed,
                          std::optional<std::size_t> Announced,
                          std::size_t Limit) {
  // The last step of an announced length is exact, so that large steps waste
  // nothing.
  constexpr std::size_t ChunkedShare = 4;
  std::size_t Step = Announced ? Capacity : Capacity / ChunkedShare;
  std::size_t Grown = std::max({Needed, Capacity + Step, MinBodyCapacity});
  return std::max(Needed, std::min(Grown, Announced.value_or(Limit)));
}

/// Resets a value and frees its memory. A string that is assigned an empty one
/// keeps its buffer.
template <class T> void freeMemory(T &Value) {
  [[maybe_unused]] T Freed = std::exchange(Value, T());
}

std::string decodeArgument(std::string_view Text) {
  std::string Encoded(Text);
  std::replace(Encoded.begin(), Encoded.end(), '+', ' ');
  int Size = 0;
  char *Decoded = curl_easy_unescape(nullptr, Encoded.data(),
                                     static_cast<int>(Encoded.size()), &Size);
  if (!Decoded)
    return Encoded;
  std::string Result(Decoded, static_cast<std::size_t>(Size));
  curl_free(Decoded);
  return Result;
}

/// Decodes `key=value` pairs that are joined by `&`.
HttpHeaders decodeArguments(std::string_view Query) {
  HttpHeaders Arguments;
  while (!Query.empty()) {
    std::string_view Pair = Query.substr(0, Query.find('&'));
    Query.remove_prefix(std::min(Query.size(), Pair.size() + 1));
    if (Pair.empty())
      continue;
    std::string_view Name = Pair.substr(0, Pair.find('='));
    std::string_view Value =
        Pair.substr(std::min(Pair.size(), Name.size() + 1));
    Arguments.add(decodeArgument(Name), decodeArgument(Value));
  }
  return Arguments;
}

/// Whether the application may not set a header: the server writes it itself,
/// or it would end the head early.
bool isReserved(std::string_view Name, std::string_view Value) {
  constexpr std::string_view LineEnds("\r\n\0", 3);
  constexpr std::array Own{"Content-Length", "Transfer-Encoding", "Connection"};
  return Name.empty() || Name.find_first_of(LineEnds) != Name.npos ||
         Value.find_first_of(LineEnds) != Value.npos ||
         std::any_of(Own.begin(), Own.end(), [&](const char *Each) {
           return boost::algorithm::iequals(Name, Each);
         });
}

bool asksToClose(const HttpHeaders &Headers) {
  auto Options = Headers.find("Connection");
  return Options && boost::algorithm::icontains(*Options, "close");
}

/// Whether an error of a socket means that its peer, or the way to it, is gone.
bool isPeerError(int Error) {
  constexpr std::array PeerErrors{EPIPE,     ECONNRESET,  ETIMEDOUT,
                                  ENOTCONN,  ENETDOWN,    ENETUNREACH,
                                  EHOSTDOWN, EHOSTUNREACH};
  return std::find(PeerErrors.begin(), PeerErrors.end(), Error) !=
         PeerErrors.end();
}

} // namespace

/// The state of one request, from its head to the end of its answer.
class Exchange final : public HttpExchange,
                       public std::enable_shared_from_this<Exchange> {
public:
  Exchange(Loop &Owner, Connection *Over) : Owner_(Owner), Connection_(Over) {}

  void respond(HttpAnswer Answer) override {
    if (closed() || std::exchange(Started_, true))
      return;
    connection()->sendWhole(std::move(Answer));
  }

  void startStream(unsigned Status, HttpHeaders Headers) override {
    if (closed() || std::exchange(Started_, true))
      return;
    Streaming_ = true;
    connection()->startStream(Status, Headers);
  }

  void write(std::string_view Data) override {
    if (!closed() && Streaming_ && !Data.empty())
      connection()->writeStream(Data);
  }

  void endStream() override {
    if (!closed() && std::exchange(Streaming_, false))
      connection()->endStream();
  }

  void abortStream() override {
    Started_ = true;
    Streaming_ = false;
    if (!closed())
      connection()->abort();
  }

  std::size_t buffered() const override {
    return closed() ? 0 : Connection_->buffered();
  }
  bool closed() const override { return Connection_ == nullptr; }
  bool endIfCallerLeft() override {
    return closed() || connection()->endIfCallerLeft();
  }
  void onHangup(std::function<void(ConnectionEnd)> Callback) override {
    OnHangup_ = std::move(Callback);
  }
  void onDrain(std::function<void()> Callback) override {
    OnDrain_ = std::move(Callback);
  }

  /// Has onDrain() called from the loop.
  void notifyDrain() {
    if (!OnDrain_ || std::exchange(DrainPosted_, true))
      return;
    Owner_.post([Self = shared_from_this()] {
      Self->DrainPosted_ = false;
      if (Self->OnDrain_)
        Self->OnDrain_();
    });
  }

  /// Leaves the connection. The application is told \p How, if anything.
  void detach(std::optional<ConnectionEnd> How) {
    Connection_ = nullptr;
    OnDrain_ = nullptr;
    auto Callback = std::exchange(OnHangup_, nullptr);
    if (How && Callback)
      Callback(*How);
  }

private:
  /// Keeps the connection alive for a call that may end it.
  std::shared_ptr<Connection> connection() const {
    return Connection_->shared_from_this();
  }

  Loop &Owner_;
  Connection *Connection_;
  bool Started_ = false;
  bool Streaming_ = false;
  bool DrainPosted_ = false;
  std::function<void(ConnectionEnd)> OnHangup_;
  std::function<void()> OnDrain_;
};

Connection::Connection(ServerCore &Core, Socket Accepted)
    : Core_(Core), Socket_(std::move(Accepted)),
      Watcher_(Core.Owner_,
               [this](bool Readable, bool Writable) {
                 onReady(Readable, Writable);
               }),
      Timer_(Core.Owner_, [this] { onTimer(); }) {}

void Connection::start() {
  becomeIdle();
  watch();
}

void Connection::end(ConnectionEnd How) {
  if (Phase_ == Phase::Closed)
    return;
  auto Self = shared_from_this();
  setPhase(Phase::Closed);
  Watcher_.stop();
  Timer_.stop();
  Socket_.close();
  Charge_.reset();
  Core_.Memory_.release(this);
  Core_.Connections_.erase(this);
  Core_.resumeAccepting();
  if (Core_.OnConnectionEnd_)
    Core_.OnConnectionEnd_(How);
  release(How);
}

bool Connection::endIfCallerLeft() {
  // Also reported behind data that was not read.
  pollfd Query{Socket_.fd(), POLLRDHUP, 0};
  if (::poll(&Query, 1, 0) <= 0)
    return false;
  bool Reset = (Query.revents & (POLLERR | POLLNVAL)) != 0;
  end(Reset ? ConnectionEnd::CallerReset : ConnectionEnd::CallerClosed);
  return true;
}

bool Connection::hasUnreadInput() const {
  return !Input_.empty() || isReadable();
}

bool Connection::isReadable() const {
  pollfd Query{Socket_.fd(), POLLIN, 0};
  return ::poll(&Query, 1, 0) > 0;
}

milliseconds Connection::idleTimeout() const {
  return std::max(IdleTimeout_, Core_.Limits_.IdleTimeout_);
}

void Connection::onReady(bool Readable, bool Writable) {
  auto Self = shared_from_this();
  if (Writable && Phase_ != Phase::Closed)
    flush();
  if (Readable && Phase_ != Phase::Closed)
    receive();
}

void Connection::onTimer() {
  auto Self = shared_from_this();
  if (Phase_ == Phase::Lingering)
    end(LingerEnd_);
  else if (Aborted_) {
    reset();
    end(ConnectionEnd::Aborted);
  } else if (Phase_ == Phase::ReadingBody)
    refuse(RequestTimeout);
  else
    end(ConnectionEnd::TimedOut);
}

void Connection::receive() {
  for (int Reads = 0; Reads < MaxReadsPerTurn; ++Reads) {
    auto &Buffer = Core_.ReadBuffer_;
    ssize_t Got = ::recv(Socket_.fd(), Buffer.data(), Buffer.size(), 0);
    if (Got < 0 && (errno == EAGAIN || errno == EINTR))
      break;
    if (Got < 0) {
      end(ConnectionEnd::CallerReset);
      return;
    }
    if (Got == 0) {
      onEndOfData();
      return;
    }
    if (Phase_ == Phase::Lingering || Refused_)
      continue;
    Input_.append(Buffer.data(), static_cast<std::size_t>(Got));
    parse();
    if (Phase_ == Phase::Answering && !Input_.empty() && !Refused_ &&
        !Core_.hold(*this, Input_.capacity()))
      makeRoom();
    if (Phase_ == Phase::Closed)
      return;
    if (static_cast<std::size_t>(Got) < Buffer.size() ||
        Input_.size() >= MaxPipelinedBytes)
      break;
  }
  watch();
}

void Connection::onEndOfData() {
  EndOfData_ = true;
  // The caller may have closed only its sending side, and reads on.
  if (Phase_ == Phase::Answering && AnswerWhole_) {
    CloseAfter_ = true;
    watch();
    return;
  }
  end(Phase_ == Phase::Lingering ? LingerEnd_ : ConnectionEnd::CallerClosed);
}

void Connection::parse() {
  if (std::exchange(Parsing_, true))
    return;
  auto Self = shared_from_this();
  while (!Input_.empty() && Phase_ < Phase::Answering) {
    if (!Parser_) {
      // Empty lines before a request are ignored.
      Input_.erase(0, Input_.find_first_not_of("\r\n"));
      if (Input_.empty()) {
        Core_.Memory_.release(this);
        break;
      }
      Parser_ =
          std::make_unique<RequestParser>(Core_.Limits_.HeaderBytes_, *this);
      IsHttp10_ = false;
      HeadOnly_ = false;
      setPhase(Phase::ReadingHead);
    }
    ParseState State = Parser_->put(Input_);
    trimInput();
    if (State == ParseState::NeedMore) {
      if (holdRequest(Request_.Body_.capacity()))
        limitBodyTime();
      else
        refuse(ServiceUnavailable);
      break;
    }
    bool HeadTooLarge = Parser_->headTooLarge();
    Parser_.reset();
    if (State == ParseState::Complete)
      callHandler();
    else if (RefusalStatus_ != 0)
      refuse(RefusalStatus_);
    else
      refuse(HeadTooLarge ? HeadersTooLarge : BadRequest);
  }
  Parsing_ = false;
}

bool Connection::mustRefuseUnread(
    std::optional<std::uint64_t> BodyBytes) const {
  if (!BodyBytes || *BodyBytes <= BodyLimit_)
    return false;
  // A caller that sends without asking first reads no answer before the end of
  // its body, and loses the answer if the connection closes earlier.
  return Request_.Headers_.find("Expect").has_value() ||
         *BodyBytes - BodyLimit_ > MaxDiscardedBytes;
}

bool Connection::onHead(RequestHead Head) {
  setPhase(Phase::ReadingBody);
  Request_ = {};
  Request_.HeadReadAt_ = Core_.Owner_.now();
  Request_.SocketWait_ = timeSinceLastData(Socket_.fd());
  Request_.Pipelined_ = std::exchange(HasPipelinedInput_, false);
  Request_.Method_ = std::move(Head.Method_);
  Request_.Target_ = std::move(Head.Target_);
  Request_.Headers_ = std::move(Head.Headers_);
  std::string_view Target = Request_.Target_;
  Request_.Path_ = Target.substr(0, Target.find('?'));
  if (Request_.Path_.size() < Target.size())
    Request_.Query_ = decodeArguments(Target.substr(Request_.Path_.size() + 1));
  IsHttp10_ = Head.IsHttp10_;
  HeadOnly_ = Request_.Method_ == "HEAD";
  LastRequest_ = !Head.KeepAlive_;
  CloseAfter_ = LastRequest_;
  BodyLimit_ = Core_.Limits_.BodyBytes_;
  TooLarge_ = Head.BodyBytes_.value_or(0) > BodyLimit_;
  DiscardedBytes_ = 0;
  BodyLimitAsked_ = false;
  HasBodyDeadline_ = false;
  AnnouncedBytes_.reset();
  if (Head.BodyBytes_)
    AnnouncedBytes_ = *Head.BodyBytes_;
  HeadBytes_ = Request_.Method_.capacity() + Request_.Target_.capacity() +
               Request_.Path_.capacity() + Request_.Query_.memoryBytes() +
               Request_.Headers_.memoryBytes();
  if (mustRefuseUnread(Head.BodyBytes_)) {
    RefusalStatus_ = ContentTooLarge;
    return false;
  }
  if (!holdRequest(0)) {
    RefusalStatus_ = ServiceUnavailable;
    return false;
  }
  auto Expected = Request_.Headers_.find("Expect");
  if (Expected && !IsHttp10_ &&
      boost::algorithm::iequals(*Expected, "100-continue")) {
    Output_ += "HTTP/1.1 100 Continue\r\n\r\n";
    flushSoon();
  }
  return true;
}

bool Connection::onBody(std::string_view Data) {
  TooLarge_ = TooLarge_ || Request_.Body_.size() + Data.size() > BodyLimit_;
  if (!TooLarge_) {
    if (!growBody(Request_.Body_.size() + Data.size())) {
      RefusalStatus_ = ServiceUnavailable;
      return false;
    }
    Request_.Body_.append(Data);
    return true;
  }
  DiscardedBytes_ += std::exchange(Request_.Body_, {}).size() + Data.size();
  if (DiscardedBytes_ <= BodyLimit_ + MaxDiscardedBytes)
    return true;
  RefusalStatus_ = ContentTooLarge;
  return false;
}

bool Connection::holdRequest(std::size_t BodyCapacity) {
  std::size_t Head = Parser_ ? Parser_->memoryBytes() : 0;
  if (Phase_ == Phase::ReadingBody)
    Head += HeadBytes_ + BodyCapacity;
  return Core_.hold(*this, Input_.capacity() + Head);
}

void Connection::trimInput() {
  if (Input_.capacity() > MaxIdleBuffer &&
      Input_.size() < Input_.capacity() / 2)
    Input_.shrink_to_fit();
}

bool Connection::growBody(std::size_t Bytes) {
  std::string &Body = Request_.Body_;
  if (Bytes <= Body.capacity())
    return true;
  std::size_t Capacity =
      grownCapacity(Body.capacity(), Bytes, AnnouncedBytes_, BodyLimit_);
  if (!holdRequest(Capacity))
    return false;
  // A string that grows at least doubles its capacity; an empty one gets what
  // it is asked for.
  std::string Grown;
  Grown.reserve(Capacity);
  Grown.append(Body);
  Body = std::move(Grown);
  return true;
}

void Connection::limitBodyTime() {
  if (Phase_ != Phase::ReadingBody || HasBodyDeadline_)
    return;
  if (!std::exchange(BodyLimitAsked_, true) && Core_.BodyTimeLimit_) {
    if (auto Limit = Core_.BodyTimeLimit_(Request_)) {
      HasBodyDeadline_ = true;
      Timer_.start(Request_.arrivedAt() + *Limit - Core_.Owner_.now());
      return;
    }
  }
  Timer_.start(Core_.Limits_.StallTimeout_);
}

void Connection::callHandler() {
  Timer_.stop();
  setPhase(Phase::Answering);
  Exchange_ = std::make_shared<Exchange>(Core_.Owner_, this);
  auto Current = Exchange_;
  Core_.Memory_.release(this);
  if (!TooLarge_)
    Request_.Charge_ =
        Core_.Memory_.holdWhole(HeadBytes_ + Request_.Body_.capacity());
  HttpRequest Whole = std::exchange(Request_, {});
  if (TooLarge_)
    Current->respond(Core_.errorAnswer(ContentTooLarge));
  else
    Core_.Handler_(std::move(Whole), Current);
}

void Connection::makeRoom() {
  auto Self = shared_from_this();
  if (isReadingRequest())
    refuse(ServiceUnavailable);
  else
    end(ConnectionEnd::Evicted);
}

void Connection::refuse(unsigned Status) {
  Timer_.stop();
  Parser_.reset();
  freeMemory(Request_);
  freeMemory(Input_);
  Core_.Memory_.release(this);
  Refused_ = true;
  RefusalStatus_ = 0;
  setPhase(Phase::Answering);
  CloseAfter_ = true;
  LastRequest_ = false;
  sendWhole(Core_.errorAnswer(Status));
}

void Connection::setPhase(Phase Next) {
  auto IsInProgress = [](Phase Each) {
    return Each != Phase::Idle && Each != Phase::Closed;
  };
  if (IsInProgress(Phase_))
    --Core_.InProgress_;
  if (IsInProgress(Next))
    ++Core_.InProgress_;
  if (Phase_ == Phase::Idle)
    Node_.splice(Node_.end(), Core_.Idle_, Position_);
  else if (Phase_ == Phase::ReadingHead)
    Node_.splice(Node_.end(), Core_.ReadingHead_, Position_);
  Phase_ = Next;
  if (Next != Phase::Idle && Next != Phase::ReadingHead)
    return;
  ConnectionList &Target =
      Next == Phase::Idle ? Core_.Idle_ : Core_.ReadingHead_;
  Target.splice(Target.end(), Node_);
  WaitingSince_ = Core_.Owner_.now();
  Core_.scheduleSweep();
}

void Connection::becomeIdle() {
  setPhase(Phase::Idle);
  IdleTimeout_ = Core_.Limits_.IdleTimeout_;
  if (Input_.empty())
    Core_.Memory_.release(this);
  for (std::string *Each : {&Input_, &Output_})
    if (Each->empty() && Each->capacity() > MaxIdleBuffer)
      freeMemory(*Each);
}

void Connection::appendHead(unsigned Status, const HttpHeaders &Headers,
                            std::string_view Framing) {
  namespace http = boost::beast::http;
  CloseAfter_ = CloseAfter_ || Core_.Closing_ || asksToClose(Headers);
  auto Reason = view(http::obsolete_reason(http::int_to_status(Status)));
  auto To = std::back_inserter(Output_);
  fmt::format_to(To, "HTTP/1.1 {} {}\r\n", Status, Reason);
  for (const auto &[Name, Value] : Headers.fields())
    if (!isReserved(Name, Value))
      fmt::format_to(To, "{}: {}\r\n", Name, Value);
  if (!Headers.find("Date"))
    fmt::format_to(To, "Date: {}\r\n", Core_.date());
  if (CloseAfter_)
    Output_ += "Connection: close\r\n";
  else if (IsHttp10_)
    Output_ += "Connection: keep-alive\r\n";
  Output_.append(Framing).append("\r\n");
}

void Connection::sendWhole(HttpAnswer Answer) {
  bool HasBody = Answer.Status_ != NoContent && Answer.Status_ != NotModified;
  appendHead(Answer.Status_, Answer.Headers_,
             HasBody
                 ? fmt::format("Content-Length: {}\r\n", Answer.Body_.size())
                 : "");
  if (HasBody && !HeadOnly_) {
    if (Answer.Body_.size() <= MaxJoinedBody)
      Output_ += Answer.Body_;
    else
      Tail_ = std::move(Answer.Body_);
  }
  Charge_ = std::move(Answer.Charge_);
  AnswerWhole_ = true;
  flush();
}

void Connection::startStream(unsigned Status, const HttpHeaders &Headers) {
  HeadOnly_ = HeadOnly_ || Status == NoContent || Status == NotModified;
  Streaming_ = true;
  Chunked_ = !IsHttp10_ && !HeadOnly_;
  // Without chunks, a stream ends with its connection.
  CloseAfter_ = CloseAfter_ || IsHttp10_;
  appendHead(Status, Headers, Chunked_ ? "Transfer-Encoding: chunked\r\n" : "");
  flushSoon();
}

void Connection::writeStream(std::string_view Data) {
  if (HeadOnly_ || SendFailed_)
    return;
  if (Chunked_)
    fmt::format_to(std::back_inserter(Output_), "{:x}\r\n", Data.size());
  Output_.append(Data);
  if (Chunked_)
    Output_ += "\r\n";
  flush();
}

void Connection::endStream() {
  if (Chunked_)
    Output_ += "0\r\n\r\n";
  AnswerWhole_ = true;
  flush();
}

void Connection::abort() {
  if (std::exchange(Aborted_, true))
    return;
  Timer_.start(Core_.Limits_.AbortGrace_);
  flushSoon();
}

void Connection::flush() {
  if (SendFailed_ || Phase_ == Phase::Closed)
    return;
  bool Progress = false;
  while (true) {
    if (Sent_ == Output_.size()) {
      Output_.clear();
      Sent_ = 0;
      if (Tail_.empty())
        break;
      Output_ = std::exchange(Tail_, {});
    }
    ssize_t Size = ::send(Socket_.fd(), Output_.data() + Sent_,
                          Output_.size() - Sent_, MSG_NOSIGNAL);
    if (Size < 0 && errno == EINTR)
      continue;
    if (Size < 0 && errno != EAGAIN) {
      onSendFailed(errno);
      return;
    }
    if (Size < 0)
      break;
    Progress = true;
    Sent_ += static_cast<std::size_t>(Size);
  }
  if (Progress && Exchange_)
    Exchange_->notifyDrain();
  if (Output_.empty() && Aborted_ && !FlushPosted_) {
    finishAbort();
    return;
  }
  if (Output_.empty() && AnswerWhole_ && !Aborted_) {
    finishAnswer();
    return;
  }
  if (Sent_ > Output_.size() / 2)
    Output_.erase(0, std::exchange(Sent_, 0));
  bool MayStall = !Output_.empty() && Phase_ == Phase::Answering && !Aborted_;
  if (MayStall && (Progress || !Timer_.active()))
    Timer_.start(Core_.Limits_.StallTimeout_);
  else if (!MayStall && Phase_ == Phase::Answering && !Aborted_)
    Timer_.stop();
  watch();
}

void Connection::flushSoon() {
  if (std::exchange(FlushPosted_, true))
    return;
  Core_.Owner_.post([Weak = weak_from_this()] {
    auto Self = Weak.lock();
    if (!Self)
      return;
    Self->FlushPosted_ = false;
    Self->flush();
  });
}

void Connection::onSendFailed(int Error) {
  SendFailed_ = true;
  Output_.clear();
  Tail_.clear();
  Sent_ = 0;
  ConnectionEnd How = isPeerError(Error) ? ConnectionEnd::CallerReset
                                         : ConnectionEnd::AnswerFailed;
  // The application may be the one that sends.
  Core_.Owner_.post([Weak = weak_from_this(), How] {
    if (auto Self = Weak.lock())
      Self->end(How);
  });
}

void Connection::finishAnswer() {
  Timer_.stop();
  release(std::nullopt);
  Charge_.reset();
  AnswerWhole_ = false;
  Streaming_ = false;
  Chunked_ = false;
  if (CloseAfter_) {
    if (EndOfData_ || (LastRequest_ && !hasUnreadInput()))
      end(ConnectionEnd::Answered);
    else
      linger(ConnectionEnd::Answered);
    return;
  }
  becomeIdle();
  watch();
  HasPipelinedInput_ = !Input_.empty();
  if (Input_.empty() || Parsing_)
    return;
  Core_.Owner_.post([Weak = weak_from_this()] {
    if (auto Self = Weak.lock())
      Self->parse();
  });
}

void Connection::finishAbort() {
  release(ConnectionEnd::Aborted);
  if (Chunked_) {
    linger(ConnectionEnd::Aborted);
    return;
  }
  if (Streaming_)
    reset();
  end(ConnectionEnd::Aborted);
}

void Connection::reset() {
  // Connecting a TCP socket to no address resets its connection.
  sockaddr Nowhere{};
  Nowhere.sa_family = AF_UNSPEC;
  static_cast<void>(::connect(Socket_.fd(), &Nowhere, sizeof(Nowhere)));
}

void Connection::linger(ConnectionEnd How) {
  LingerEnd_ = How;
  setPhase(Phase::Lingering);
  freeMemory(Input_);
  Core_.Memory_.release(this);
  ::shutdown(Socket_.fd(), SHUT_WR);
  Timer_.start(LingerTime);
  watch();
}

void Connection::watch() {
  if (Phase_ == Phase::Closed)
    return;
  bool Full = Phase_ == Phase::Answering && Input_.size() >= MaxPipelinedBytes;
  bool Reading = !EndOfData_ && !Full;
  bool Sending = Sent_ < Output_.size();
  Interest Wanted = Reading ? Interest::Read : Interest::None;
  if (Sending)
    Wanted = Reading ? Interest::ReadWrite : Interest::Write;
  Watcher_.start(Socket_.fd(), Wanted);
}

void Connection::release(std::optional<ConnectionEnd> How) {
  if (auto Released = std::exchange(Exchange_, nullptr))
    Released->detach(How);
}

} // namespace camphorwind::net::detail
