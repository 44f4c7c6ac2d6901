#ifndef CAMPHORWIND_NET_SRC_HTTP_CONNECTION_H
#define CAMPHORWIND_NET_SRC_HTTP_CONNECTION_H

#include "camphorwind/net/http-server.h"
#include "camphorwind/net/socket.h"
#include "request-parser.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <ctime>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace camphorwind::net::detail {

class Connection;
class Exchange;
using ConnectionList = std::list<Connection *>;

/// What connections need of their server; outlives them.
struct ServerCore {
  ServerCore(Loop &Owner, const HttpServerLimits &Limits);
  ~ServerCore();
  ServerCore(const ServerCore &) = delete;
  ServerCore &operator=(const ServerCore &) = delete;

  void acceptSome();
  /// Closes the connection that is idle for longest. Returns false if none is.
  bool evictIdle();
  /// Refuses unfinished requests that have made no progress for some time, so
  /// that their connections make room for new ones.
  void refuseStalled();
  /// Counts the bytes that a connection holds for an unfinished request, and
  /// refuses others' requests while that exceeds the limit. Returns false if
  /// the request of \p By itself has to be refused.
  bool hold(Connection &By, std::size_t Bytes);
  /// Accepts no more until a connection has ended, or for a moment.
  void pauseAccepting();
  /// Accepts again if that was paused for want of room.
  void resumeAccepting();
  void adopt(Socket Accepted);
  /// Closes the connections that have waited for a request for too long.
  void sweep();
  void scheduleSweep();
  HttpAnswer errorAnswer(unsigned Status) const;
  /// Returns the current time as the Date header has it.
  const std::string &date();

  Loop &Owner_;
  HttpServerLimits Limits_;
  HttpHandler Handler_;
  HttpErrorAnswer ErrorAnswer_;
  BodyTimeLimit BodyTimeLimit_;
  std::function<void(ConnectionEnd)> OnConnectionEnd_;
  Socket Listening_;
  FdWatcher AcceptWatcher_;
  bool AcceptPaused_ = false;
  Timer SweepTimer_;
  /// Answers close their connections.
  bool Closing_ = false;
  /// When the server stopped accepting; unset before.
  std::optional<base::TimePoint> StoppedAt_;
  std::unordered_map<Connection *, std::shared_ptr<Connection>> Connections_;
  /// Counts what connections hold beside requests that the handler has.
  RequestMemory<Connection *> Memory_;
  /// Connections without a request, the one that is idle for longest first.
  ConnectionList Idle_;
  /// Connections of which a part of a head was read, the oldest first.
  ConnectionList ReadingHead_;
  /// Connections with a request whose answer is not out, or whose caller may
  /// not have read it.
  std::size_t InProgress_ = 0;
  std::array<char, 16UL * 1024> ReadBuffer_{};
  std::time_t DateAt_ = 0;
  std::string Date_;
};

/// One caller's connection: parses requests and sends answers, one after the
/// other.
class Connection final : public std::enable_shared_from_this<Connection>,
                         public RequestSink {
public:
  Connection(ServerCore &Core, Socket Accepted);

  void start();
  /// Closes the connection. The application of a request in progress is told
  /// \p How.
  void end(ConnectionEnd How);
  /// See HttpExchange::endIfCallerLeft().
  bool endIfCallerLeft();
  /// Whether input waits to be parsed, or data or an end of data in the socket.
  bool hasUnreadInput() const;
  /// Whether data, or an end of data, waits in the socket.
  bool isReadable() const;
  /// When the connection became idle, or the first byte of a head was read.
  base::TimePoint waitingSince() const { return WaitingSince_; }
  /// Longest idle time that the caller may count on: limits may have changed
  /// since the connection became idle.
  std::chrono::milliseconds idleTimeout() const;
  /// Answers a request that was not read whole, and closes the connection.
  void refuse(unsigned Status);
  /// Whether a request was read in part.
  bool isReadingRequest() const {
    return Phase_ == Phase::ReadingHead || Phase_ == Phase::ReadingBody;
  }
  /// Gives up the memory held for a request that was not read whole: refuses
  /// it, or closes the connection if it belongs to one behind a request in
  /// progress.
  void makeRoom();

  // Called by the exchange in progress.
  void sendWhole(HttpAnswer Answer);
  void startStream(unsigned Status, const HttpHeaders &Headers);
  void writeStream(std::string_view Data);
  void endStream();
  void abort();
  std::size_t buffered() const { return Output_.size() - Sent_ + Tail_.size(); }

private:
  enum class Phase {
    Idle,
    ReadingHead,
    ReadingBody,
    Answering, ///< The request is whole; its answer is not out.
    Lingering, ///< Nothing more is sent; input is discarded.
    Closed,
  };

  bool onHead(RequestHead Head) override;
  bool onBody(std::string_view Data) override;

  void onReady(bool Readable, bool Writable);
  void onTimer();
  void receive();
  void onEndOfData();
  void parse();
  void setPhase(Phase Next);
  void becomeIdle();
  void limitBodyTime();
  void callHandler();
  bool mustRefuseUnread(std::optional<std::uint64_t> BodyBytes) const;
  /// Counts the memory of the request that is being read, with a body of that
  /// capacity. Returns false if the request has to be refused.
  bool holdRequest(std::size_t BodyCapacity);
  /// Frees the room of input that was parsed.
  void trimInput();
  /// Makes room for a longer body. Returns false if the request has to be
  /// refused.
  bool growBody(std::size_t Bytes);

  void appendHead(unsigned Status, const HttpHeaders &Headers,
                  std::string_view Framing);
  /// Sends what the socket takes; the remainder follows when it takes more.
  void flush();
  /// Flushes after the callback now running, together with what it adds.
  void flushSoon();
  void onSendFailed(int Error);
  void finishAnswer();
  void finishAbort();
  /// Ends the connection with a reset, which no caller takes for a regular end.
  void reset();
  /// Closes the connection once the caller has, or after a moment: closing
  /// while the caller sends could reset it before the answer was read.
  void linger(ConnectionEnd How);
  void watch();
  /// Detaches the exchange. Its application is told \p How, if anything.
  void release(std::optional<ConnectionEnd> How);

  ServerCore &Core_;
  Socket Socket_;
  FdWatcher Watcher_;
  /// Limits the time for a body, for sending, for an abort, and for lingering.
  Timer Timer_;
  Phase Phase_ = Phase::Closed;
  /// Own node while it is in no list of the core.
  ConnectionList Node_{this};
  const ConnectionList::iterator Position_ = Node_.begin();
  base::TimePoint WaitingSince_{};
  /// Limit when the connection became idle.
  std::chrono::milliseconds IdleTimeout_{0};

  std::unique_ptr<RequestParser> Parser_;
  std::string Input_;
  bool Parsing_ = false;
  /// The caller sends nothing more.
  bool EndOfData_ = false;

  HttpRequest Request_;
  /// Input of the next request was there when the answer was out.
  bool HasPipelinedInput_ = false;
  /// Memory of Request_ without its body.
  std::size_t HeadBytes_ = 0;
  /// Announced length of the body; unset if it is sent in chunks.
  std::optional<std::size_t> AnnouncedBytes_;
  std::shared_ptr<Exchange> Exchange_;
  /// Limit that was in force when the request began.
  std::size_t BodyLimit_ = 0;
  bool TooLarge_ = false;
  std::size_t DiscardedBytes_ = 0;
  bool BodyLimitAsked_ = false;
  /// Timer_ limits the time for the whole body, not a pause in it.
  bool HasBodyDeadline_ = false;
  /// The request was refused; input is discarded.
  bool Refused_ = false;
  /// Status of a refusal that was decided while parsing; 0 for none.
  unsigned RefusalStatus_ = 0;
  bool IsHttp10_ = false;
  /// The answer has a head only.
  bool HeadOnly_ = false;
  /// The caller announced to send no further request.
  bool LastRequest_ = false;

  std::string Output_;
  std::size_t Sent_ = 0;
  /// Body that follows Output_.
  std::string Tail_;
  std::shared_ptr<void> Charge_;
  bool CloseAfter_ = false;
  bool Streaming_ = false;
  bool Chunked_ = false;
  /// All of the answer is in Output_ and Tail_.
  bool AnswerWhole_ = false;
  bool Aborted_ = false;
  bool FlushPosted_ = false;
  bool SendFailed_ = false;
  ConnectionEnd LingerEnd_ = ConnectionEnd::Answered;
};

} // namespace camphorwind::net::detail

#endif // CAMPHORWIND_NET_SRC_HTTP_CONNECTION_H
