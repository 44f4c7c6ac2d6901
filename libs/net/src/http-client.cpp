#include "camphorwind/net/http-client.h"

#include <curl/curl.h>

#include <unordered_map>
#include <utility>

namespace camphorwind::net {

namespace detail {

/// One call in progress.
struct Transfer {
  explicit Transfer(Loop &Owner) : StallTimer_(Owner, [this] { onStall(); }) {}
  ~Transfer() {
    curl_slist_free_all(HeaderList_);
    if (Easy_)
      curl_easy_cleanup(Easy_);
  }
  Transfer(const Transfer &) = delete;
  Transfer &operator=(const Transfer &) = delete;

  void onStall() const { OnStall_(Id_); }
  void touch() {
    if (Call_.StallTimeout_.count() > 0)
      StallTimer_.start(Call_.StallTimeout_);
  }

  HttpCallId Id_ = 0;
  CURL *Easy_ = nullptr;
  curl_slist *HeaderList_ = nullptr;
  HttpCall Call_;
  HttpCallEvents Events_;
  /// Bytes of the body that libcurl has taken.
  std::size_t BodyTaken_ = 0;
  bool HeadSeen_ = false;
  /// The empty line after the last head has arrived.
  bool HeadWhole_ = false;
  bool BodySeen_ = false;
  /// The status of the answer is none of HTTP.
  bool StatusInvalid_ = false;
  /// Ended or cancelled; callbacks of libcurl are ignored.
  bool Detached_ = false;
  Timer StallTimer_;
  std::function<void(HttpCallId)> OnStall_;
};

namespace {

HttpCallErrorKind kindOf(CURLcode Code, const Transfer &Self) {
  if (Self.StatusInvalid_)
    return HttpCallErrorKind::Malformed;
  curl_off_t ConnectTime = 0;
  curl_easy_getinfo(Self.Easy_, CURLINFO_PRETRANSFER_TIME_T, &ConnectTime);
  switch (Code) {
  case CURLE_COULDNT_CONNECT:
  case CURLE_COULDNT_RESOLVE_HOST:
  case CURLE_URL_MALFORMAT:
    // libcurl connects once more if a kept connection ended after the send.
    return Self.BodyTaken_ == 0 ? HttpCallErrorKind::NotSent
                                : HttpCallErrorKind::Lost;
  case CURLE_OPERATION_TIMEDOUT:
    // Zero until the connection stands.
    return ConnectTime == 0 && Self.BodyTaken_ == 0
               ? HttpCallErrorKind::NotSent
               : HttpCallErrorKind::TimedOut;
  // Also an answer in an unknown version of HTTP.
  case CURLE_UNSUPPORTED_PROTOCOL:
  case CURLE_WEIRD_SERVER_REPLY:
    return HttpCallErrorKind::Malformed;
  default:
    return HttpCallErrorKind::Lost;
  }
}

unsigned statusOf(CURL *Easy) {
  long Status = 0;
  curl_easy_getinfo(Easy, CURLINFO_RESPONSE_CODE, &Status);
  return static_cast<unsigned>(Status);
}

HttpHeaders headersOf(CURL *Easy) {
  HttpHeaders Headers;
  curl_header *Field = nullptr;
  constexpr int LastRequest = -1;
  while ((Field = curl_easy_nextheader(Easy, CURLH_HEADER, LastRequest, Field)))
    Headers.add(Field->name, Field->value);
  return Headers;
}

void reportHead(Transfer &Self) {
  if (std::exchange(Self.HeadSeen_, true))
    return;
  if (Self.Events_.OnHeaders_)
    Self.Events_.OnHeaders_(headersOf(Self.Easy_));
  if (!Self.Events_.OnHead_)
    return;
  const char *ContentType = nullptr;
  curl_easy_getinfo(Self.Easy_, CURLINFO_CONTENT_TYPE, &ContentType);
  Self.Events_.OnHead_(statusOf(Self.Easy_), ContentType ? ContentType : "");
}

/// Called with each line of a head, the empty one included.
std::size_t onHeadLine(char *Data, std::size_t Size, std::size_t Count,
                       void *Target) {
  auto &Self = *static_cast<Transfer *>(Target);
  std::string_view Line(Data, Size * Count);
  if (Line.starts_with("HTTP/"))
    Self.HeadWhole_ = false;
  else if (Line == "\r\n" || Line == "\n")
    Self.HeadWhole_ = true;
  Self.StatusInvalid_ = !isHttpStatus(statusOf(Self.Easy_));
  // Fewer bytes than were given end the call.
  return Self.StatusInvalid_ ? 0 : Line.size();
}

bool isChunked(CURL *Easy) {
  curl_header *Field = nullptr;
  constexpr int LastRequest = -1;
  return curl_easy_header(Easy, "Transfer-Encoding", 0, CURLH_HEADER,
                          LastRequest, &Field) == CURLHE_OK;
}

/// Whether a peer that has closed its connection had said that there is no
/// body, or had sent some of it, and had been sent the whole request. libcurl
/// takes any close for the end of an answer without a length, even inside its
/// head.
bool isWhole(const Transfer &Self) {
  if (!Self.HeadWhole_)
    return false;
  constexpr unsigned FirstSuccess = 200;
  constexpr unsigned NoContent = 204;
  constexpr unsigned FirstError = 300;
  unsigned Status = statusOf(Self.Easy_);
  if (Self.Call_.Method_ == "HEAD" || Status < FirstSuccess ||
      Status == NoContent)
    return true;
  curl_off_t Length = -1;
  curl_easy_getinfo(Self.Easy_, CURLINFO_CONTENT_LENGTH_DOWNLOAD_T, &Length);
  if (Length >= 0 || isChunked(Self.Easy_))
    return true;
  curl_off_t BodySent = 0;
  curl_easy_getinfo(Self.Easy_, CURLINFO_SIZE_UPLOAD_T, &BodySent);
  bool SentWhole =
      static_cast<std::size_t>(BodySent) >= Self.Call_.Body_.size();
  return SentWhole && (Self.BodySeen_ || Status >= FirstError);
}

std::size_t takeBody(char *Into, std::size_t Size, std::size_t Count,
                     void *Target) {
  auto &Self = *static_cast<Transfer *>(Target);
  std::string_view Left = Self.Call_.Body_;
  Left.remove_prefix(Self.BodyTaken_);
  std::size_t Bytes = Left.copy(Into, Size * Count);
  Self.BodyTaken_ += Bytes;
  return Bytes;
}

std::size_t onBody(char *Data, std::size_t Size, std::size_t Count,
                   void *Target) {
  auto &Self = *static_cast<Transfer *>(Target);
  Self.BodySeen_ = true;
  if (Self.Detached_)
    return Size * Count;
  Self.touch();
  reportHead(Self);
  if (Self.Detached_)
    return Size * Count;
  std::size_t Bytes = Size * Count;
  if (!Self.Events_.OnBody_)
    return Bytes;
  if (Self.Events_.OnBody_({Data, Bytes}) == BodyFlow::Continue)
    return Bytes;
  Self.StallTimer_.stop();
  return CURL_WRITEFUNC_PAUSE;
}

} // namespace

} // namespace detail

struct HttpClient::Impl {
  explicit Impl(Loop &LoopToUse)
      : Owner_(LoopToUse),
        ActionTimer_(LoopToUse, [this] { perform(CURL_SOCKET_TIMEOUT, 0); }) {}
  ~Impl() {
    for (auto &[Id, Transfer] : Transfers_)
      curl_multi_remove_handle(Multi_, Transfer->Easy_);
    Transfers_.clear();
    if (Multi_)
      curl_multi_cleanup(Multi_);
  }
  Impl(const Impl &) = delete;
  Impl &operator=(const Impl &) = delete;

  static int onSocket(CURL *, curl_socket_t Fd, int What, void *Context,
                      void *) {
    static_cast<Impl *>(Context)->watch(Fd, What);
    return 0;
  }

  static int onTimer(CURLM *, long Milliseconds, void *Context) {
    auto &Self = *static_cast<Impl *>(Context);
    if (Milliseconds < 0)
      Self.ActionTimer_.stop();
    else
      Self.ActionTimer_.start(std::chrono::milliseconds(Milliseconds));
    return 0;
  }

  void watch(curl_socket_t Fd, int What) {
    if (What == CURL_POLL_REMOVE) {
      auto Found = Watchers_.find(Fd);
      if (Found == Watchers_.end())
        return;
      // The watcher may be the one whose callback is running.
      Found->second->stop();
      Owner_.post(
          [Dead = std::shared_ptr<FdWatcher>(std::move(Found->second))] {});
      Watchers_.erase(Found);
      return;
    }
    auto &Watcher = Watchers_[Fd];
    if (!Watcher)
      Watcher = std::make_unique<FdWatcher>(
          Owner_, [this, Fd](bool Readable, bool Writable) {
            perform(Fd, (Readable ? CURL_CSELECT_IN : 0) |
                            (Writable ? CURL_CSELECT_OUT : 0));
          });
    static constexpr Interest Interests[] = {
        Interest::None, Interest::Read, Interest::Write, Interest::ReadWrite};
    Watcher->start(Fd, Interests[What & 3]);
  }

  void perform(curl_socket_t Fd, int Events) {
    int Running = 0;
    ++Depth_;
    curl_multi_socket_action(Multi_, Fd, Events, &Running);
    --Depth_;
    collectEnded();
  }

  void collectEnded() {
    int Left = 0;
    while (CURLMsg *Message = curl_multi_info_read(Multi_, &Left)) {
      if (Message->msg != CURLMSG_DONE)
        continue;
      char *Private = nullptr;
      curl_easy_getinfo(Message->easy_handle, CURLINFO_PRIVATE, &Private);
      auto *Self = reinterpret_cast<detail::Transfer *>(Private);
      end(Self->Id_, Message->data.result);
    }
  }

  void end(HttpCallId Id, CURLcode Code) {
    auto Ended = take(Id);
    if (!Ended)
      return;
    unsigned Status = detail::statusOf(Ended->Easy_);
    if (Code == CURLE_OK && !detail::isWhole(*Ended)) {
      if (Ended->Events_.OnEnd_)
        Ended->Events_.OnEnd_(base::failure(HttpCallError{
            HttpCallErrorKind::Lost, "closed inside the answer"}));
      return;
    }
    if (Code == CURLE_OK) {
      detail::reportHead(*Ended);
      if (Ended->Events_.OnEnd_)
        Ended->Events_.OnEnd_(Status);
      return;
    }
    HttpCallError Error{detail::kindOf(Code, *Ended), curl_easy_strerror(Code)};
    if (Ended->Events_.OnEnd_)
      Ended->Events_.OnEnd_(base::failure(std::move(Error)));
  }

  void stall(HttpCallId Id) {
    auto Ended = take(Id);
    if (Ended && Ended->Events_.OnEnd_)
      Ended->Events_.OnEnd_(base::failure(HttpCallError{
          HttpCallErrorKind::Stalled, "the peer has been silent"}));
  }

  /// Removes a call. The call lives on until the loop's next turn, since one
  /// of its callbacks may be running.
  std::shared_ptr<detail::Transfer> take(HttpCallId Id) {
    auto Found = Transfers_.find(Id);
    if (Found == Transfers_.end())
      return nullptr;
    std::shared_ptr<detail::Transfer> Taken = std::move(Found->second);
    Transfers_.erase(Found);
    Taken->StallTimer_.stop();
    Taken->Detached_ = true;
    if (Depth_ == 0) {
      curl_multi_remove_handle(Multi_, Taken->Easy_);
      Owner_.post([Taken] {});
    } else {
      Owner_.post(
          [this, Taken] { curl_multi_remove_handle(Multi_, Taken->Easy_); });
    }
    return Taken;
  }

  /// Hands a new call to libcurl, which takes none during its callbacks.
  void add(HttpCallId Id) {
    if (Depth_ > 0) {
      Owner_.post([this, Id] { add(Id); });
      return;
    }
    auto Found = Transfers_.find(Id);
    if (Found != Transfers_.end())
      curl_multi_add_handle(Multi_, Found->second->Easy_);
  }

  Loop &Owner_;
  CURLM *Multi_ = nullptr;
  Timer ActionTimer_;
  std::unordered_map<curl_socket_t, std::unique_ptr<FdWatcher>> Watchers_;
  std::unordered_map<HttpCallId, std::shared_ptr<detail::Transfer>> Transfers_;
  HttpCallId NextId_ = 1;
  /// Above zero while libcurl may be running callbacks.
  int Depth_ = 0;
};

HttpClient::HttpClient(std::unique_ptr<Impl> Inner)
    : Inner_(std::move(Inner)) {}

HttpClient::~HttpClient() = default;

base::Result<std::unique_ptr<HttpClient>, base::IoError>
HttpClient::create(Loop &Owner) {
  static const CURLcode GlobalInit = curl_global_init(CURL_GLOBAL_DEFAULT);
  auto Inner = std::make_unique<Impl>(Owner);
  Inner->Multi_ = GlobalInit == CURLE_OK ? curl_multi_init() : nullptr;
  if (!Inner->Multi_)
    return base::failure(
        base::IoError{base::IoErrorKind::ResourceLimit, "starting libcurl"});
  curl_multi_setopt(Inner->Multi_, CURLMOPT_SOCKETFUNCTION, Impl::onSocket);
  curl_multi_setopt(Inner->Multi_, CURLMOPT_SOCKETDATA, Inner.get());
  curl_multi_setopt(Inner->Multi_, CURLMOPT_TIMERFUNCTION, Impl::onTimer);
  curl_multi_setopt(Inner->Multi_, CURLMOPT_TIMERDATA, Inner.get());
  return std::unique_ptr<HttpClient>(new HttpClient(std::move(Inner)));
}

HttpCallId HttpClient::start(HttpCall Call, HttpCallEvents Events) {
  auto Self = std::make_shared<detail::Transfer>(Inner_->Owner_);
  HttpCallId Id = Inner_->NextId_++;
  Self->Id_ = Id;
  Self->Call_ = std::move(Call);
  Self->Events_ = std::move(Events);
  Self->OnStall_ = [this](HttpCallId Stalled) { Inner_->stall(Stalled); };
  Self->Easy_ = curl_easy_init();
  CURL *Easy = Self->Easy_;
  const HttpCall &Kept = Self->Call_;
  curl_easy_setopt(Easy, CURLOPT_PRIVATE, Self.get());
  curl_easy_setopt(Easy, CURLOPT_URL, Kept.Url_.c_str());
  curl_easy_setopt(Easy, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt(Easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(Easy, CURLOPT_PROXY, "");
  curl_easy_setopt(Easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt(Easy, CURLOPT_CUSTOMREQUEST, Kept.Method_.c_str());
  if (!Kept.Body_.empty() || Kept.Method_ == "POST") {
    // libcurl sends a call again by itself if its kept connection ends before
    // the answer, unless it cannot rewind the body.
    curl_easy_setopt(Easy, CURLOPT_POST, 1L);
    curl_easy_setopt(Easy, CURLOPT_READFUNCTION, detail::takeBody);
    curl_easy_setopt(Easy, CURLOPT_READDATA, Self.get());
    curl_easy_setopt(Easy, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(Kept.Body_.size()));
  }
  for (const auto &[Name, Value] : Kept.Headers_.fields())
    Self->HeaderList_ =
        curl_slist_append(Self->HeaderList_, (Name + ": " + Value).c_str());
  // Waiting for 100-continue would add a round trip to every large body.
  Self->HeaderList_ = curl_slist_append(Self->HeaderList_, "Expect:");
  curl_easy_setopt(Easy, CURLOPT_HTTPHEADER, Self->HeaderList_);
  curl_easy_setopt(Easy, CURLOPT_CONNECTTIMEOUT_MS,
                   static_cast<long>(Kept.ConnectTimeout_.count()));
  curl_easy_setopt(Easy, CURLOPT_TIMEOUT_MS,
                   static_cast<long>(Kept.Timeout_.count()));
  if (Kept.FreshConnection_) {
    curl_easy_setopt(Easy, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(Easy, CURLOPT_FORBID_REUSE, 1L);
  }
  curl_easy_setopt(Easy, CURLOPT_HEADERFUNCTION, detail::onHeadLine);
  curl_easy_setopt(Easy, CURLOPT_HEADERDATA, Self.get());
  curl_easy_setopt(Easy, CURLOPT_WRITEFUNCTION, detail::onBody);
  curl_easy_setopt(Easy, CURLOPT_WRITEDATA, Self.get());
  Self->touch();
  Inner_->Transfers_.emplace(Id, Self);
  Inner_->add(Id);
  return Id;
}

HttpCallId HttpClient::fetch(
    HttpCall Call,
    std::function<void(base::Result<HttpAnswer, HttpCallError>)> OnEnd) {
  auto Answer = std::make_shared<HttpAnswer>();
  HttpCallEvents Events;
  Events.OnHeaders_ = [Answer](HttpHeaders Headers) {
    Answer->Headers_ = std::move(Headers);
  };
  Events.OnBody_ = [Answer](std::string_view Data) {
    Answer->Body_.append(Data);
    return BodyFlow::Continue;
  };
  Events.OnEnd_ = [Answer, OnEnd = std::move(OnEnd)](
                      base::Result<unsigned, HttpCallError> Ended) {
    if (!Ended)
      return OnEnd(base::failure(std::move(Ended).error()));
    Answer->Status_ = Ended.value();
    OnEnd(std::move(*Answer));
  };
  return start(std::move(Call), std::move(Events));
}

void HttpClient::cancel(HttpCallId Id) { Inner_->take(Id); }

void HttpClient::resume(HttpCallId Id) {
  // Unpausing delivers at once, so it waits for the loop.
  Inner_->Owner_.post([this, Id] {
    auto Found = Inner_->Transfers_.find(Id);
    if (Found == Inner_->Transfers_.end())
      return;
    auto Kept = Found->second;
    Kept->touch();
    ++Inner_->Depth_;
    curl_easy_pause(Kept->Easy_, CURLPAUSE_CONT);
    --Inner_->Depth_;
    Inner_->perform(CURL_SOCKET_TIMEOUT, 0);
  });
}

std::size_t HttpClient::inProgress() const { return Inner_->Transfers_.size(); }

} // namespace camphorwind::net
