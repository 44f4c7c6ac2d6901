#include "camphorwind/wire/link.h"

#include <nghttp2/nghttp2.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <string>
#include <sys/socket.h>
#include <unordered_map>
#include <utility>
#include <vector>

namespace camphorwind::wire {

namespace {

constexpr std::int32_t ConnectionWindowBytes = 64 * 1024 * 1024;
constexpr std::uint32_t MaxStreams = 1U << 20;
constexpr std::size_t ReadBytes = 64UL * 1024;
constexpr std::size_t UnpackerBytes = 1024;
/// Output collected before it is written to the socket.
constexpr std::size_t WriteBytes = 64UL * 1024;

nghttp2_nv header(std::string_view Name, std::string_view Value) {
  return {reinterpret_cast<std::uint8_t *>(const_cast<char *>(Name.data())),
          reinterpret_cast<std::uint8_t *>(const_cast<char *>(Value.data())),
          Name.size(), Value.size(),
          NGHTTP2_NV_FLAG_NO_COPY_NAME | NGHTTP2_NV_FLAG_NO_COPY_VALUE};
}

/// One stream's buffers.
struct Stream {
  msgpack::unpacker Unpacker_{nullptr, nullptr, UnpackerBytes};
  std::string Out_;
  std::size_t OutTaken_ = 0;
  std::size_t Unreturned_ = 0;
  bool Held_ = false;
  bool Finishing_ = false;
  bool Deferred_ = false;
  bool DrainPosted_ = false;

  std::size_t buffered() const { return Out_.size() - OutTaken_; }
};

} // namespace

struct Link::Impl : std::enable_shared_from_this<Link::Impl> {
  Impl(net::Loop &Owner, net::Socket Socket, LinkEvents Events)
      : Owner_(Owner), Socket_(std::move(Socket)), Events_(std::move(Events)),
        Watcher_(Owner, [this](bool Readable, bool Writable) {
          onReady(Readable, Writable);
        }) {}
  ~Impl() {
    Watcher_.stop();
    nghttp2_session_del(Session_);
  }
  Impl(const Impl &) = delete;
  Impl &operator=(const Impl &) = delete;

  bool startSession(bool Dialling);
  void watch();
  void onReady(bool Readable, bool Writable);
  bool finishConnect();
  bool readSocket();
  bool writeSocket();
  void scheduleFlush();
  void flush();
  void shut();
  void notifyClosed();
  Stream *find(StreamId Id);
  void closeStream(StreamId Id, bool Whole);
  void takeData(StreamId Id, const char *Data, std::size_t Size);
  void returnCredit(StreamId Id, Stream &Target, std::size_t Size);
  void postDrain(StreamId Id, Stream &Target);

  static int onFrame(nghttp2_session *, const nghttp2_frame *Frame, void *User);
  static int onData(nghttp2_session *, std::uint8_t, std::int32_t Id,
                    const std::uint8_t *Data, std::size_t Size, void *User);
  static int onStreamClose(nghttp2_session *, std::int32_t Id,
                           std::uint32_t Error, void *User);
  static ssize_t readOut(nghttp2_session *, std::int32_t Id,
                         std::uint8_t *Target, std::size_t Room,
                         std::uint32_t *Flags, nghttp2_data_source *,
                         void *User);
  static nghttp2_data_provider provider() {
    nghttp2_data_provider Provider{};
    Provider.read_callback = readOut;
    return Provider;
  }

  net::Loop &Owner_;
  net::Socket Socket_;
  LinkEvents Events_;
  net::FdWatcher Watcher_;
  nghttp2_session *Session_ = nullptr;
  std::unordered_map<StreamId, std::unique_ptr<Stream>> Streams_;
  std::string Pending_;
  std::size_t PendingSent_ = 0;
  LinkTraffic Traffic_;
  bool Dialling_ = false;
  bool Connecting_ = false;
  bool FlushPosted_ = false;
  bool Closed_ = false;
  bool Silenced_ = false;
};

bool Link::Impl::startSession(bool Dialling) {
  Dialling_ = Dialling;
  nghttp2_session_callbacks *Callbacks = nullptr;
  nghttp2_option *Options = nullptr;
  if (nghttp2_session_callbacks_new(&Callbacks) != 0)
    return false;
  if (nghttp2_option_new(&Options) != 0) {
    nghttp2_session_callbacks_del(Callbacks);
    return false;
  }
  nghttp2_session_callbacks_set_on_frame_recv_callback(Callbacks, onFrame);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(Callbacks, onData);
  nghttp2_session_callbacks_set_on_stream_close_callback(Callbacks,
                                                         onStreamClose);
  nghttp2_option_set_no_auto_window_update(Options, 1);
  nghttp2_option_set_peer_max_concurrent_streams(Options, MaxStreams);
  int Error =
      Dialling
          ? nghttp2_session_client_new2(&Session_, Callbacks, this, Options)
          : nghttp2_session_server_new2(&Session_, Callbacks, this, Options);
  nghttp2_session_callbacks_del(Callbacks);
  nghttp2_option_del(Options);
  if (Error != 0)
    return false;
  const std::array<nghttp2_settings_entry, 2> Settings{
      {{NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE,
        static_cast<std::uint32_t>(StreamWindowBytes)},
       {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, MaxStreams}}};
  return nghttp2_submit_settings(Session_, NGHTTP2_FLAG_NONE, Settings.data(),
                                 Settings.size()) == 0 &&
         nghttp2_session_set_local_window_size(Session_, NGHTTP2_FLAG_NONE, 0,
                                               ConnectionWindowBytes) == 0;
}

void Link::Impl::watch() {
  if (Closed_)
    return;
  bool WantsWrite = Connecting_ || PendingSent_ < Pending_.size();
  Watcher_.start(Socket_.fd(),
                 WantsWrite ? net::Interest::ReadWrite : net::Interest::Read);
}

void Link::Impl::onReady(bool Readable, bool Writable) {
  auto Self = shared_from_this();
  if (Connecting_) {
    if (!Writable)
      return;
    if (!finishConnect())
      return shut();
  }
  if (Readable && !readSocket())
    return shut();
  flush();
}

bool Link::Impl::finishConnect() {
  if (net::pendingError(Socket_.fd()) != 0)
    return false;
  Connecting_ = false;
  if (Events_.OnConnected_)
    Events_.OnConnected_();
  return !Closed_;
}

bool Link::Impl::readSocket() {
  // One for all links, since the loop reads one socket at a time.
  static std::array<std::uint8_t, ReadBytes> Buffer{};
  ssize_t Got = ::recv(Socket_.fd(), Buffer.data(), Buffer.size(), 0);
  if (Got < 0)
    return errno == EAGAIN || errno == EINTR;
  if (Got == 0)
    return false;
  Traffic_.ReceivedBytes_ += static_cast<std::uint64_t>(Got);
  ssize_t Used = nghttp2_session_mem_recv(Session_, Buffer.data(),
                                          static_cast<std::size_t>(Got));
  return Used == Got && !Closed_;
}

bool Link::Impl::writeSocket() {
  for (;;) {
    while (Pending_.size() - PendingSent_ < WriteBytes) {
      const std::uint8_t *Data = nullptr;
      ssize_t Size = nghttp2_session_mem_send(Session_, &Data);
      if (Size < 0)
        return false;
      if (Size == 0)
        break;
      Pending_.append(reinterpret_cast<const char *>(Data),
                      static_cast<std::size_t>(Size));
    }
    if (PendingSent_ == Pending_.size()) {
      Pending_.clear();
      PendingSent_ = 0;
      return true;
    }
    ssize_t Sent =
        ::send(Socket_.fd(), Pending_.data() + PendingSent_,
               Pending_.size() - PendingSent_, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (Sent < 0)
      return errno == EAGAIN || errno == EINTR;
    PendingSent_ += static_cast<std::size_t>(Sent);
    Traffic_.SentBytes_ += static_cast<std::uint64_t>(Sent);
    if (PendingSent_ < Pending_.size())
      return true;
    Pending_.clear();
    PendingSent_ = 0;
  }
}

void Link::Impl::scheduleFlush() {
  if (FlushPosted_ || Closed_)
    return;
  FlushPosted_ = true;
  Owner_.post([Weak = weak_from_this()] {
    if (auto Self = Weak.lock()) {
      Self->FlushPosted_ = false;
      Self->flush();
    }
  });
}

void Link::Impl::flush() {
  if (Closed_ || Connecting_)
    return;
  bool Alive = writeSocket() && (nghttp2_session_want_read(Session_) != 0 ||
                                 nghttp2_session_want_write(Session_) != 0);
  if (!Alive)
    return shut();
  watch();
}

void Link::Impl::shut() {
  if (Closed_)
    return;
  Closed_ = true;
  Watcher_.stop();
  Socket_.close();
  // The owner may destroy the link in these callbacks, so they come later.
  Owner_.post([Self = shared_from_this()] { Self->notifyClosed(); });
}

void Link::Impl::notifyClosed() {
  std::vector<StreamId> Ids;
  for (const auto &[Id, Unused] : Streams_)
    Ids.push_back(Id);
  std::sort(Ids.begin(), Ids.end());
  for (StreamId Id : Ids)
    closeStream(Id, false);
  if (!Silenced_ && Events_.OnClosed_)
    Events_.OnClosed_();
}

Stream *Link::Impl::find(StreamId Id) {
  auto Found = Streams_.find(Id);
  return Found == Streams_.end() ? nullptr : Found->second.get();
}

void Link::Impl::closeStream(StreamId Id, bool Whole) {
  if (Streams_.erase(Id) == 0 || Silenced_)
    return;
  if (Events_.OnStreamClosed_)
    Events_.OnStreamClosed_(Id, Whole);
}

void Link::Impl::takeData(StreamId Id, const char *Data, std::size_t Size) {
  Stream *Target = find(Id);
  if (!Target) {
    nghttp2_session_consume_connection(Session_, Size);
    return;
  }
  try {
    Target->Unpacker_.reserve_buffer(Size);
    std::memcpy(Target->Unpacker_.buffer(), Data, Size);
    Target->Unpacker_.buffer_consumed(Size);
    msgpack::object_handle Object;
    while (Target->Unpacker_.next(Object)) {
      if (Events_.OnMessage_)
        Events_.OnMessage_(Id, Object.get());
      Target = find(Id);
      if (!Target || Closed_)
        break;
    }
  } catch (const std::exception &) {
    nghttp2_submit_rst_stream(Session_, NGHTTP2_FLAG_NONE, Id,
                              NGHTTP2_PROTOCOL_ERROR);
    Target = nullptr;
  }
  if (Closed_)
    return;
  if (Target)
    returnCredit(Id, *Target, Size);
  else
    nghttp2_session_consume_connection(Session_, Size);
}

void Link::Impl::returnCredit(StreamId Id, Stream &Target, std::size_t Size) {
  nghttp2_session_consume_connection(Session_, Size);
  if (Target.Held_)
    Target.Unreturned_ += Size;
  else
    nghttp2_session_consume_stream(Session_, Id, Size);
}

void Link::Impl::postDrain(StreamId Id, Stream &Target) {
  if (!Events_.OnDrain_ || Target.DrainPosted_)
    return;
  Target.DrainPosted_ = true;
  Owner_.post([Weak = weak_from_this(), Id] {
    auto Self = Weak.lock();
    if (!Self || Self->Silenced_)
      return;
    Stream *Drained = Self->find(Id);
    if (!Drained)
      return;
    Drained->DrainPosted_ = false;
    Self->Events_.OnDrain_(Id);
  });
}

int Link::Impl::onFrame(nghttp2_session *, const nghttp2_frame *Frame,
                        void *User) {
  auto &Self = *static_cast<Impl *>(User);
  bool Opens = !Self.Dialling_ && Frame->hd.type == NGHTTP2_HEADERS &&
               Frame->headers.cat == NGHTTP2_HCAT_REQUEST;
  if (!Opens)
    return 0;
  StreamId Id = Frame->hd.stream_id;
  Self.Streams_.emplace(Id, std::make_unique<Stream>());
  const nghttp2_nv Status = header(":status", "200");
  nghttp2_data_provider Provider = Self.provider();
  if (nghttp2_submit_response(Self.Session_, Id, &Status, 1, &Provider) != 0)
    return NGHTTP2_ERR_CALLBACK_FAILURE;
  if (Self.Events_.OnStream_)
    Self.Events_.OnStream_(Id);
  return 0;
}

int Link::Impl::onData(nghttp2_session *, std::uint8_t, std::int32_t Id,
                       const std::uint8_t *Data, std::size_t Size, void *User) {
  static_cast<Impl *>(User)->takeData(Id, reinterpret_cast<const char *>(Data),
                                      Size);
  return 0;
}

int Link::Impl::onStreamClose(nghttp2_session *, std::int32_t Id,
                              std::uint32_t Error, void *User) {
  static_cast<Impl *>(User)->closeStream(Id, Error == NGHTTP2_NO_ERROR);
  return 0;
}

ssize_t Link::Impl::readOut(nghttp2_session *, std::int32_t Id,
                            std::uint8_t *Target, std::size_t Room,
                            std::uint32_t *Flags, nghttp2_data_source *,
                            void *User) {
  auto &Self = *static_cast<Impl *>(User);
  Stream *Source = Self.find(Id);
  if (!Source)
    return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
  std::size_t Size = std::min(Room, Source->buffered());
  if (Size == 0 && !Source->Finishing_) {
    Source->Deferred_ = true;
    return NGHTTP2_ERR_DEFERRED;
  }
  std::memcpy(Target, Source->Out_.data() + Source->OutTaken_, Size);
  Source->OutTaken_ += Size;
  if (Source->buffered() == 0) {
    Source->Out_.clear();
    Source->OutTaken_ = 0;
    if (Source->Finishing_)
      *Flags |= NGHTTP2_DATA_FLAG_EOF;
  }
  if (Size > 0)
    Self.postDrain(Id, *Source);
  return static_cast<ssize_t>(Size);
}

Link::Link(std::shared_ptr<Impl> Inner) : Inner_(std::move(Inner)) {}

Link::~Link() {
  Inner_->Silenced_ = true;
  Inner_->Watcher_.stop();
  Inner_->Closed_ = true;
}

base::Result<std::unique_ptr<Link>, base::IoError>
Link::connect(net::Loop &Owner, const net::Address &Remote, LinkEvents Events) {
  BOOST_OUTCOME_TRY(Socket, net::startConnect(Remote));
  auto Inner =
      std::make_shared<Impl>(Owner, std::move(Socket), std::move(Events));
  if (!Inner->startSession(true))
    return base::failure(
        base::IoError{base::IoErrorKind::Library, "starting nghttp2"});
  Inner->Connecting_ = true;
  Inner->watch();
  return std::unique_ptr<Link>(new Link(std::move(Inner)));
}

base::Result<std::unique_ptr<Link>, base::IoError>
Link::accept(net::Loop &Owner, net::Socket Accepted, LinkEvents Events) {
  auto Inner =
      std::make_shared<Impl>(Owner, std::move(Accepted), std::move(Events));
  if (!Inner->startSession(false))
    return base::failure(
        base::IoError{base::IoErrorKind::Library, "starting nghttp2"});
  Inner->watch();
  Inner->scheduleFlush();
  return std::unique_ptr<Link>(new Link(std::move(Inner)));
}

StreamId Link::openStream() {
  if (Inner_->Closed_)
    return 0;
  const std::array<nghttp2_nv, 4> Headers{
      header(":method", "POST"), header(":scheme", "http"),
      header(":authority", "camphorwind"), header(":path", "/")};
  nghttp2_data_provider Provider = Inner_->provider();
  StreamId Id =
      nghttp2_submit_request(Inner_->Session_, nullptr, Headers.data(),
                             Headers.size(), &Provider, nullptr);
  if (Id < 0)
    return 0;
  Inner_->Streams_.emplace(Id, std::make_unique<Stream>());
  Inner_->scheduleFlush();
  return Id;
}

bool Link::send(StreamId Id, std::string_view Packed) {
  Stream *Target = Inner_->find(Id);
  if (!Target || Target->Finishing_ || Inner_->Closed_)
    return false;
  Target->Out_.append(Packed);
  if (std::exchange(Target->Deferred_, false))
    nghttp2_session_resume_data(Inner_->Session_, Id);
  Inner_->scheduleFlush();
  return true;
}

void Link::finish(StreamId Id) {
  Stream *Target = Inner_->find(Id);
  if (!Target || Inner_->Closed_)
    return;
  Target->Finishing_ = true;
  if (std::exchange(Target->Deferred_, false))
    nghttp2_session_resume_data(Inner_->Session_, Id);
  Inner_->scheduleFlush();
}

void Link::reset(StreamId Id) {
  if (!Inner_->find(Id) || Inner_->Closed_)
    return;
  nghttp2_submit_rst_stream(Inner_->Session_, NGHTTP2_FLAG_NONE, Id,
                            NGHTTP2_CANCEL);
  Inner_->scheduleFlush();
}

std::size_t Link::buffered(StreamId Id) const {
  Stream *Target = Inner_->find(Id);
  return Target ? Target->buffered() : 0;
}

void Link::hold(StreamId Id) {
  if (Stream *Target = Inner_->find(Id))
    Target->Held_ = true;
}

void Link::release(StreamId Id) {
  Stream *Target = Inner_->find(Id);
  if (!Target || !Target->Held_ || Inner_->Closed_)
    return;
  Target->Held_ = false;
  std::size_t Size = std::exchange(Target->Unreturned_, 0);
  if (Size == 0)
    return;
  nghttp2_session_consume_stream(Inner_->Session_, Id, Size);
  Inner_->scheduleFlush();
}

bool Link::open() const { return !Inner_->Closed_; }

void Link::close() { Inner_->shut(); }

LinkTraffic Link::traffic() const { return Inner_->Traffic_; }

} // namespace camphorwind::wire
