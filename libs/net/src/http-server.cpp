#include "camphorwind/net/http-server.h"

#include <microhttpd.h>

#include <cerrno>
#include <charconv>
#include <cstring>
#include <sys/socket.h>
#include <unordered_set>
#include <utility>
#include <vector>

namespace camphorwind::net {

std::string_view toString(ConnectionEnd End) {
  switch (End) {
  case ConnectionEnd::CallerClosed:
    return "caller_closed";
  case ConnectionEnd::CallerReset:
    return "caller_reset";
  case ConnectionEnd::Aborted:
    return "aborted";
  case ConnectionEnd::AnswerFailed:
    return "answer_failed";
  case ConnectionEnd::TimedOut:
    return "timed_out";
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

/// Most bytes read over the limit of a body only to answer 413.
constexpr std::size_t MaxDiscardedBytes = 16UL * 1024 * 1024;

/// Idle time after which connections are closed once none are accepted.
constexpr unsigned IdleSecondsAfterStop = 1;

/// Idle time after which a connection is closed whose body came too late.
constexpr unsigned IdleSecondsAfterRefusal = 1;

/// What the next call of a connection's access handler has to do.
enum class AnswerState {
  Waiting,   ///< The application has not answered yet.
  Whole,     ///< A whole answer is ready.
  Streaming, ///< A streamed answer has been started.
  Cut,       ///< The connection must be closed without an answer.
};

class Exchange;

/// What an exchange needs of its server; outlived by no live connection.
struct ServerCore {
  Loop &Owner_;
  HttpServerLimits Limits_;
  HttpHandler Handler_;
  HttpErrorAnswer ErrorAnswer_;
  BodyTimeLimit BodyTimeLimit_;
  MHD_Daemon *Daemon_ = nullptr;
  bool Quiesced_ = false;
  /// Answers close their connections.
  bool Closing_ = false;
  /// Requests whose answer is not out.
  std::unordered_set<Exchange *> Live_;
  std::unordered_set<MHD_Connection *> Connections_;
  /// Requests whose header sections were read in the current run.
  std::vector<std::weak_ptr<Exchange>> Begun_;
  Timer RunTimer_;
  FdWatcher PollWatcher_;
  bool RunPosted_ = false;
  std::shared_ptr<bool> Alive_ = std::make_shared<bool>(true);

  ServerCore(Loop &Owner, HttpServerLimits Limits)
      : Owner_(Owner), Limits_(Limits), RunTimer_(Owner, [this] { run(); }),
        PollWatcher_(Owner, [this](bool, bool) { run(); }) {}

  void run();
  void scheduleRun();
};

/// The state of one request, from its first header to the end of its answer.
class Exchange final : public HttpExchange,
                       public std::enable_shared_from_this<Exchange> {
public:
  Exchange(ServerCore &Core, MHD_Connection *Connection)
      : Core_(&Core), Connection_(Connection),
        HangupWatcher_(Core.Owner_, [this](bool, bool) { probeHangup(); }),
        BodyTimer_(Core.Owner_, [this] { refuseLateBody(); }),
        AbortTimer_(Core.Owner_, [this] { resetConnection(); }) {
    Core_->Live_.insert(this);
  }

  void respond(HttpAnswer Answer) override {
    if (closed() || State_ != AnswerState::Waiting)
      return;
    Answer_ = std::move(Answer);
    State_ = AnswerState::Whole;
    wake();
  }

  void startStream(unsigned Status, HttpHeaders Headers) override {
    if (closed() || State_ != AnswerState::Waiting)
      return;
    Answer_.Status_ = Status;
    Answer_.Headers_ = std::move(Headers);
    State_ = AnswerState::Streaming;
    wake();
  }

  void write(std::string_view Data) override {
    if (closed() || State_ != AnswerState::Streaming || Ended_)
      return;
    Buffer_.append(Data);
    wake();
  }

  void endStream() override {
    if (closed())
      return;
    Ended_ = true;
    wake();
  }

  void abortStream() override {
    if (closed())
      return;
    Aborted_ = true;
    if (State_ == AnswerState::Waiting)
      State_ = AnswerState::Cut;
    AbortTimer_.start(Core_->Limits_.AbortGrace_);
    wake();
  }

  std::size_t buffered() const override { return Buffer_.size() - Sent_; }
  bool closed() const override { return Connection_ == nullptr; }
  void onHangup(std::function<void(ConnectionEnd)> Callback) override {
    OnHangup_ = std::move(Callback);
  }
  void onDrain(std::function<void()> Callback) override {
    OnDrain_ = std::move(Callback);
  }

  void setTarget(const char *Target) { Request_.Target_ = Target; }
  /// Returns true once, before the headers are read.
  bool isNew() { return !std::exchange(Begun_, true); }

  /// Reads the request line and headers.
  void begin(const char *Url, const char *Method, std::string_view Version) {
    StreamsInChunks_ = Version != MHD_HTTP_VERSION_1_0;
    Request_.HeadReadAt_ = Core_->Owner_.now();
    Request_.SocketWait_ = timeSinceLastData(fd());
    Request_.Method_ = Method;
    Request_.Path_ = Url;
    MHD_get_connection_values(Connection_, MHD_HEADER_KIND, addField,
                              &Request_.Headers_);
    MHD_get_connection_values(Connection_, MHD_GET_ARGUMENT_KIND, addField,
                              &Request_.Query_);
  }

  /// Looks at the announced length of the body. Returns false if the request
  /// has to be refused before its body is read.
  bool acceptsAnnouncedBody() {
    auto Length = Request_.Headers_.find("Content-Length");
    if (!Length)
      return true;
    std::size_t Bytes = 0;
    auto [Stop, Error] =
        std::from_chars(Length->data(), Length->data() + Length->size(), Bytes);
    const std::size_t Limit = Core_->Limits_.BodyBytes_;
    TooLarge_ = Error == std::errc::result_out_of_range || Bytes > Limit;
    if (!TooLarge_)
      return true;
    // A caller that sends without asking first reads no answer before the end
    // of its body, and loses the answer if the connection closes earlier.
    bool Asks = Request_.Headers_.find("Expect").has_value();
    return !Asks && Error == std::errc() && Bytes - Limit <= MaxDiscardedBytes;
  }

  /// Limits the time for a body that is not whole yet.
  void limitBodyTime() {
    if (closed() || HandlerCalled_ || !Core_->BodyTimeLimit_)
      return;
    if (auto Limit = Core_->BodyTimeLimit_(Request_))
      BodyTimer_.start(Request_.arrivedAt() + *Limit - Core_->Owner_.now());
  }

  /// Keeps or discards part of the body. Returns false if the caller sends far
  /// more than it may.
  bool addBody(const char *Data, std::size_t Size) {
    TooLarge_ =
        TooLarge_ || Request_.Body_.size() + Size > Core_->Limits_.BodyBytes_;
    if (!TooLarge_ && !BodyRefused_) {
      Request_.Body_.append(Data, Size);
      return true;
    }
    Discarded_ += std::exchange(Request_.Body_, {}).size() + Size;
    return Discarded_ <= Core_->Limits_.BodyBytes_ + MaxDiscardedBytes;
  }

  /// Handles the access handler's call after the body is complete.
  MHD_Result proceed() {
    BodyTimer_.stop();
    if (BodyRefused_)
      return MHD_NO;
    if (!HandlerCalled_) {
      HandlerCalled_ = true;
      callHandler();
    }
    return answerOrSuspend();
  }

  MHD_Result refuseTooLarge() {
    HandlerCalled_ = true;
    State_ = AnswerState::Whole;
    Answer_ = errorAnswer(MHD_HTTP_CONTENT_TOO_LARGE);
    CloseAfter_ = true;
    return queueWhole();
  }

  /// Called when libmicrohttpd is done with the request.
  void complete(MHD_RequestTerminationCode Code) {
    const bool Delivered = Code == MHD_REQUEST_TERMINATED_COMPLETED_OK;
    const ConnectionEnd End =
        Delivered ? ConnectionEnd::Aborted : connectionEnd(Code);
    HangupWatcher_.stop();
    BodyTimer_.stop();
    AbortTimer_.stop();
    Connection_ = nullptr;
    Core_->Live_.erase(this);
    OnDrain_ = nullptr;
    auto Callback = std::exchange(OnHangup_, nullptr);
    if (!Delivered && Callback)
      Callback(End);
  }

private:
  static MHD_Result addField(void *Target, MHD_ValueKind, const char *Name,
                             const char *Value) {
    static_cast<HttpHeaders *>(Target)->add(Name, Value ? Value : "");
    return MHD_YES;
  }

  /// Returns how the connection of an answer that is not out has ended.
  ConnectionEnd connectionEnd(MHD_RequestTerminationCode Code) const {
    if (Aborted_)
      return ConnectionEnd::Aborted;
    switch (Code) {
    case MHD_REQUEST_TERMINATED_TIMEOUT_REACHED:
      return ConnectionEnd::TimedOut;
    case MHD_REQUEST_TERMINATED_DAEMON_SHUTDOWN:
      return ConnectionEnd::ServerStopped;
    case MHD_REQUEST_TERMINATED_CLIENT_ABORT:
      return ConnectionEnd::CallerClosed;
    case MHD_REQUEST_TERMINATED_READ_ERROR:
      return ConnectionEnd::CallerReset;
    default:
      break;
    }
    // libmicrohttpd has one code for its own errors and for a peer that left.
    char Byte = 0;
    const ssize_t Got = ::recv(fd(), &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (Got == 0)
      return ConnectionEnd::CallerClosed;
    const bool Open = Got > 0 || errno == EAGAIN || errno == EINTR;
    return Open ? ConnectionEnd::AnswerFailed : ConnectionEnd::CallerReset;
  }

  HttpAnswer errorAnswer(unsigned Status) const {
    return Core_->ErrorAnswer_ ? Core_->ErrorAnswer_(Status)
                               : HttpAnswer{Status, {}, ""};
  }

  /// Answers a caller whose body is not whole in time. libmicrohttpd queues no
  /// answer while it reads a body, so the answer is written past it. What still
  /// arrives is discarded for a moment, since closing at once could reset the
  /// connection before the caller has read the answer.
  void refuseLateBody() {
    BodyRefused_ = true;
    HttpAnswer Answer = errorAnswer(MHD_HTTP_REQUEST_TIMEOUT);
    std::string Text = "HTTP/1.1 408 Request Timeout\r\n";
    for (const auto &[Name, Value] : Answer.Headers_.fields())
      Text += Name + ": " + Value + "\r\n";
    Text += "Connection: close\r\nContent-Length: " +
            std::to_string(Answer.Body_.size()) + "\r\n\r\n" + Answer.Body_;
    static_cast<void>(
        ::send(fd(), Text.data(), Text.size(), MSG_DONTWAIT | MSG_NOSIGNAL));
    ::shutdown(fd(), SHUT_WR);
    MHD_set_connection_option(Connection_, MHD_CONNECTION_OPTION_TIMEOUT,
                              IdleSecondsAfterRefusal);
    Core_->scheduleRun();
  }

  void callHandler() {
    InHandler_ = true;
    if (TooLarge_)
      respond(errorAnswer(MHD_HTTP_CONTENT_TOO_LARGE));
    else
      Core_->Handler_(std::move(Request_), shared_from_this());
    InHandler_ = false;
  }

  MHD_Result answerOrSuspend() {
    switch (State_) {
    case AnswerState::Waiting:
      suspend();
      return MHD_YES;
    case AnswerState::Whole:
      return queueWhole();
    case AnswerState::Streaming:
      return queueStream();
    case AnswerState::Cut:
      return MHD_NO;
    }
    return MHD_NO;
  }

  void suspend() {
    Suspended_ = true;
    MHD_suspend_connection(Connection_);
    HangupWatcher_.start(fd(), Interest::Read);
  }

  void wake() {
    if (InHandler_ || !Suspended_)
      return;
    Suspended_ = false;
    HangupWatcher_.stop();
    MHD_resume_connection(Connection_);
    Core_->scheduleRun();
  }

  /// A suspended connection became readable: the caller sent more or left.
  void probeHangup() {
    char Byte = 0;
    ssize_t Got = ::recv(fd(), &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (Got < 0 && (errno == EAGAIN || errno == EINTR))
      return;
    HangupWatcher_.stop();
    // Pipelined bytes are read after this answer.
    if (Got > 0)
      return;
    auto Self = shared_from_this();
    abortStream();
    if (auto Callback = std::exchange(OnHangup_, nullptr))
      Callback(Got == 0 ? ConnectionEnd::CallerClosed
                        : ConnectionEnd::CallerReset);
  }

  void addHeaders(MHD_Response *Response) const {
    for (const auto &[Name, Value] : Answer_.Headers_.fields())
      MHD_add_response_header(Response, Name.c_str(), Value.c_str());
    if (Core_->Closing_ || CloseAfter_)
      MHD_add_response_header(Response, "Connection", "close");
  }

  MHD_Result queue(MHD_Response *Response) {
    addHeaders(Response);
    MHD_Result Queued =
        MHD_queue_response(Connection_, Answer_.Status_, Response);
    MHD_destroy_response(Response);
    return Queued;
  }

  MHD_Result queueWhole() {
    // The response owns the body, and the charge for it.
    auto *Sent = new HttpAnswer{Answer_.Status_,
                                {},
                                std::move(Answer_.Body_),
                                std::move(Answer_.Charge_)};
    return queue(MHD_create_response_from_buffer_with_free_callback_cls(
        Sent->Body_.size(), Sent->Body_.data(),
        [](void *Owned) { delete static_cast<HttpAnswer *>(Owned); }, Sent));
  }

  MHD_Result queueStream() {
    constexpr std::size_t BlockBytes = 16UL * 1024;
    auto *Self = new std::shared_ptr<Exchange>(shared_from_this());
    return queue(MHD_create_response_from_callback(
        MHD_SIZE_UNKNOWN, BlockBytes, readStream, Self, freeStream));
  }

  static ssize_t readStream(void *Source, std::uint64_t, char *Target,
                            std::size_t Room) {
    return (*static_cast<std::shared_ptr<Exchange> *>(Source))
        ->take(Target, Room);
  }

  static void freeStream(void *Source) {
    delete static_cast<std::shared_ptr<Exchange> *>(Source);
  }

  ssize_t take(char *Target, std::size_t Room) {
    if (closed())
      return MHD_CONTENT_READER_END_WITH_ERROR;
    std::size_t Size = std::min(Room, buffered());
    if (Size == 0) {
      if (Aborted_) {
        if (!StreamsInChunks_)
          resetConnection();
        return MHD_CONTENT_READER_END_WITH_ERROR;
      }
      if (Ended_)
        return MHD_CONTENT_READER_END_OF_STREAM;
      suspend();
      return 0;
    }
    std::memcpy(Target, Buffer_.data() + Sent_, Size);
    Sent_ += Size;
    if (Sent_ == Buffer_.size()) {
      Buffer_.clear();
      Sent_ = 0;
    }
    notifyDrain();
    return static_cast<ssize_t>(Size);
  }

  /// Ends the connection with a reset. libmicrohttpd would shut it down first,
  /// which is how a stream without chunks ends regularly.
  void resetConnection() {
    // Connecting a TCP socket to no address resets its connection.
    sockaddr Nowhere{};
    Nowhere.sa_family = AF_UNSPEC;
    static_cast<void>(::connect(fd(), &Nowhere, sizeof(Nowhere)));
  }

  int fd() const {
    return MHD_get_connection_info(Connection_,
                                   MHD_CONNECTION_INFO_CONNECTION_FD)
        ->connect_fd;
  }

  void notifyDrain() {
    if (!OnDrain_ || DrainPosted_)
      return;
    DrainPosted_ = true;
    Core_->Owner_.post([Self = shared_from_this()] {
      Self->DrainPosted_ = false;
      if (Self->OnDrain_)
        Self->OnDrain_();
    });
  }

  ServerCore *Core_;
  MHD_Connection *Connection_;
  FdWatcher HangupWatcher_;
  Timer BodyTimer_;
  Timer AbortTimer_;
  HttpRequest Request_;
  HttpAnswer Answer_;
  std::string Buffer_;
  std::size_t Sent_ = 0;
  AnswerState State_ = AnswerState::Waiting;
  /// Streams to a caller of HTTP/1.0 end with their connection instead.
  bool StreamsInChunks_ = true;
  bool Begun_ = false;
  /// The caller was told that its body came too late.
  bool BodyRefused_ = false;
  bool HandlerCalled_ = false;
  bool InHandler_ = false;
  bool Suspended_ = false;
  bool Ended_ = false;
  bool Aborted_ = false;
  bool TooLarge_ = false;
  std::size_t Discarded_ = 0;
  bool CloseAfter_ = false;
  bool DrainPosted_ = false;
  std::function<void(ConnectionEnd)> OnHangup_;
  std::function<void()> OnDrain_;
};

void ServerCore::run() {
  MHD_run(Daemon_);
  for (const std::weak_ptr<Exchange> &Each : std::exchange(Begun_, {}))
    if (auto Begun = Each.lock())
      Begun->limitBodyTime();
  MHD_UNSIGNED_LONG_LONG Milliseconds = 0;
  if (MHD_get_timeout(Daemon_, &Milliseconds) != MHD_YES) {
    RunTimer_.stop();
    return;
  }
  if (Milliseconds == 0)
    scheduleRun();
  else
    RunTimer_.start(std::chrono::milliseconds(Milliseconds));
}

void ServerCore::scheduleRun() {
  if (RunPosted_)
    return;
  RunPosted_ = true;
  Owner_.post([this, Alive = std::weak_ptr<bool>(Alive_)] {
    if (Alive.expired())
      return;
    RunPosted_ = false;
    run();
  });
}

namespace {

void onConnection(void *Context, MHD_Connection *Connection, void **,
                  MHD_ConnectionNotificationCode Code) {
  auto &Core = *static_cast<ServerCore *>(Context);
  if (Code == MHD_CONNECTION_NOTIFY_STARTED)
    Core.Connections_.insert(Connection);
  else
    Core.Connections_.erase(Connection);
}

/// Called with the request line; what it returns becomes the request's state.
void *onTarget(void *Context, const char *Target, MHD_Connection *Connection) {
  auto &Core = *static_cast<ServerCore *>(Context);
  auto *Self = new std::shared_ptr<Exchange>(
      std::make_shared<Exchange>(Core, Connection));
  (*Self)->setTarget(Target);
  return Self;
}

MHD_Result onAccess(void *Context, MHD_Connection *, const char *Url,
                    const char *Method, const char *Version,
                    const char *UploadData, std::size_t *UploadSize,
                    void **State) {
  auto &Self = *static_cast<std::shared_ptr<Exchange> *>(*State);
  if (Self->isNew()) {
    Self->begin(Url, Method, Version);
    static_cast<ServerCore *>(Context)->Begun_.push_back(Self);
    return Self->acceptsAnnouncedBody() ? MHD_YES : Self->refuseTooLarge();
  }
  if (*UploadSize > 0) {
    bool Kept = Self->addBody(UploadData, *UploadSize);
    *UploadSize = 0;
    return Kept ? MHD_YES : MHD_NO;
  }
  return Self->proceed();
}

void onCompleted(void *, MHD_Connection *, void **State,
                 MHD_RequestTerminationCode Code) {
  auto *Self = static_cast<std::shared_ptr<Exchange> *>(*State);
  if (!Self)
    return;
  *State = nullptr;
  (*Self)->complete(Code);
  delete Self;
}

} // namespace

} // namespace detail

struct HttpServer::Impl {
  Impl(Loop &Owner, HttpServerLimits Limits) : Core_(Owner, Limits) {}
  ~Impl() {
    Core_.PollWatcher_.stop();
    Core_.RunTimer_.stop();
    if (!Core_.Daemon_)
      return;
    // libmicrohttpd does not stop while a connection is suspended.
    for (detail::Exchange *Exchange : Core_.Live_)
      Exchange->abortStream();
    MHD_run(Core_.Daemon_);
    MHD_stop_daemon(Core_.Daemon_);
  }

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
  Inner->Address_ = std::move(Bound);
  Core.Daemon_ = MHD_start_daemon(
      MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, nullptr, nullptr,
      detail::onAccess, &Core, MHD_OPTION_LISTEN_SOCKET, Listening.fd(),
      MHD_OPTION_CONNECTION_LIMIT, Limits.Connections_,
      MHD_OPTION_CONNECTION_MEMORY_LIMIT, Limits.HeaderBytes_,
      MHD_OPTION_CONNECTION_TIMEOUT,
      static_cast<unsigned>(Limits.IdleTimeout_.count()),
      MHD_OPTION_NOTIFY_COMPLETED, detail::onCompleted, &Core,
      MHD_OPTION_URI_LOG_CALLBACK, detail::onTarget, &Core,
      MHD_OPTION_NOTIFY_CONNECTION, detail::onConnection, &Core,
      MHD_OPTION_END);
  if (!Core.Daemon_)
    return base::failure(
        base::IoError{base::IoErrorKind::Library, "starting libmicrohttpd"});
  // libmicrohttpd closes the listening socket from here on.
  Listening.release();
  const MHD_DaemonInfo *Info =
      MHD_get_daemon_info(Core.Daemon_, MHD_DAEMON_INFO_EPOLL_FD);
  Core.PollWatcher_.start(Info->epoll_fd, Interest::Read);
  Core.scheduleRun();
  return std::unique_ptr<HttpServer>(new HttpServer(std::move(Inner)));
}

const Address &HttpServer::address() const { return Inner_->Address_; }

void HttpServer::closeAfterAnswers() { Inner_->Core_.Closing_ = true; }

void HttpServer::setBodyLimit(std::size_t Bytes) {
  Inner_->Core_.Limits_.BodyBytes_ = Bytes;
}

void HttpServer::setBodyTimeLimit(BodyTimeLimit Limit) {
  Inner_->Core_.BodyTimeLimit_ = std::move(Limit);
}

void HttpServer::stopAccepting() {
  auto &Core = Inner_->Core_;
  if (Core.Quiesced_)
    return;
  Core.Quiesced_ = true;
  Core.Closing_ = true;
  // Connections with a request are suspended and do not time out.
  for (MHD_Connection *Each : Core.Connections_)
    MHD_set_connection_option(Each, MHD_CONNECTION_OPTION_TIMEOUT,
                              detail::IdleSecondsAfterStop);
  Core.scheduleRun();
  Socket Listening(MHD_quiesce_daemon(Core.Daemon_));
}

std::size_t HttpServer::inProgress() const {
  return Inner_->Core_.Live_.size();
}

} // namespace camphorwind::net
