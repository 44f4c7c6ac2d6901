#ifndef CAMPHORWIND_NET_TEST_SCRIPTED_PEER_H
#define CAMPHORWIND_NET_TEST_SCRIPTED_PEER_H

#include "camphorwind/net/loop.h"
#include "camphorwind/net/socket.h"

#include <cerrno>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <utility>
#include <vector>

namespace camphorwind::net::test {

/// How the scripted peer goes on after it has sent its bytes. Crash closes all
/// connections and listens no longer. Shutdown ends what it sends, and leaves
/// unread what it is sent.
enum class Then { Keep, Close, Reset, Crash, Shutdown };

struct Reply {
  std::string Bytes_;
  Then Then_ = Then::Keep;
  /// Answers as soon as the head of the request is there.
  bool Early_ = false;
  /// Sent after Bytes_ again and again, until the caller closes.
  std::string Endless_;
  /// Sent once the next request on the connection has arrived, before the reply
  /// to it, like an answer too many that is late.
  std::string LateBytes_;
};

/// Accepts connections and answers each request with the next scripted reply.
class ScriptedPeer {
public:
  ScriptedPeer(Loop &Owner, std::vector<Reply> Script)
      : Owner_(Owner), Script_(std::move(Script)),
        Listening_(std::move(listenOn({"127.0.0.1", 0}).value())),
        Address_(localAddress(Listening_.fd()).value()),
        Accepting_(Owner, [this](bool, bool) { accept(); }) {
    Accepting_.start(Listening_.fd(), Interest::Read);
  }

  /// Answers each request with what \p Answer returns for its bytes.
  ScriptedPeer(Loop &Owner, std::function<Reply(const std::string &)> Answer)
      : ScriptedPeer(Owner, std::vector<Reply>()) {
    Answer_ = std::move(Answer);
  }

  const base::Address &address() const { return Address_; }
  /// Bytes that were sent without end so far.
  std::size_t floodedBytes() const { return FloodedBytes_; }
  std::size_t requests() const { return Requests_; }
  std::size_t connections() const { return Connections_.size(); }
  /// Closes every connection at its next request, without an answer.
  void dropNext() { DropNext_ = true; }
  /// Closes the connections now.
  void closeAll() {
    for (auto &Each : Connections_) {
      Each->Watcher_->stop();
      Each->Socket_.close();
    }
  }

  /// Sends bytes on all connections now.
  void sendToAll(const std::string &Bytes) {
    for (auto &Each : Connections_)
      ::send(Each->Socket_.fd(), Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
  }
  /// Calls \p Callback after each connection that was accepted.
  void onAccept(std::function<void()> Callback) {
    OnAccept_ = std::move(Callback);
  }

  /// Resets the connections now.
  void resetAll() {
    for (auto &Each : Connections_)
      end(*Each, Then::Reset);
  }

private:
  struct Connection {
    Socket Socket_;
    std::unique_ptr<FdWatcher> Watcher_;
    std::string Input_;
    /// As in Reply::LateBytes_.
    std::string LateBytes_;
  };

  void accept() {
    auto Accepted = acceptFrom(Listening_.fd());
    if (!Accepted)
      return;
    auto Made = std::make_shared<Connection>();
    Made->Socket_ = std::move(Accepted).value();
    Made->Watcher_ = std::make_unique<FdWatcher>(
        Owner_, [this, Raw = Made.get()](bool, bool) { read(*Raw); });
    Made->Watcher_->start(Made->Socket_.fd(), Interest::Read);
    Connections_.push_back(std::move(Made));
    if (OnAccept_)
      OnAccept_();
  }

  static bool whole(const std::string &Input) {
    std::size_t End = Input.find("\r\n\r\n");
    if (End == std::string::npos)
      return false;
    constexpr std::size_t Blank = 4;
    std::size_t Length = Input.find("Content-Length: ");
    std::size_t Body =
        Length == std::string::npos ? 0 : std::stoul(Input.substr(Length + 16));
    return Input.size() >= End + Blank + Body;
  }

  void read(Connection &From) {
    char Buffer[65536];
    ssize_t Got = ::recv(From.Socket_.fd(), Buffer, sizeof(Buffer), 0);
    if (Got <= 0) {
      From.Watcher_->stop();
      return;
    }
    From.Input_.append(Buffer, static_cast<std::size_t>(Got));
    bool Early = Next_ < Script_.size() && Script_[Next_].Early_;
    if (!whole(From.Input_) &&
        !(Early && From.Input_.find("\r\n\r\n") != std::string::npos))
      return;
    std::string Request = std::exchange(From.Input_, {});
    ++Requests_;
    if (DropNext_) {
      end(From, Then::Close);
      return;
    }
    if (!Answer_ && Next_ >= Script_.size())
      return;
    const Reply Now = Answer_ ? Answer_(Request) : Script_[Next_++];
    std::string Bytes =
        std::exchange(From.LateBytes_, Now.LateBytes_) + Now.Bytes_;
    ::send(From.Socket_.fd(), Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
    if (!Now.Endless_.empty())
      flood(From, Now.Endless_);
    else if (Now.Then_ == Then::Crash)
      crash();
    else
      end(From, Now.Then_);
  }

  void flood(Connection &Of, const std::string &Text) {
    // Bounds the time for which one connection keeps the loop busy.
    constexpr std::size_t MaxBytesAtOnce = 256UL * 1024;
    std::string Block;
    while (Block.size() < MaxBytesAtOnce)
      Block += Text;
    Of.Watcher_ = std::make_unique<FdWatcher>(
        Owner_, [this, &Of, Block = std::move(Block)](bool, bool) {
          ssize_t Put =
              ::send(Of.Socket_.fd(), Block.data(), Block.size(), MSG_NOSIGNAL);
          // A part of the text sent is whole only by chance from here on, which
          // makes no difference to bytes that are no answer.
          if (Put > 0)
            FloodedBytes_ += static_cast<std::size_t>(Put);
          else if (errno != EAGAIN && errno != EINTR)
            Of.Watcher_->stop();
        });
    Of.Watcher_->start(Of.Socket_.fd(), Interest::Write);
  }

  void crash() {
    Accepting_.stop();
    Listening_.close();
    closeAll();
  }

  static void end(Connection &Of, Then How) {
    if (How == Then::Keep)
      return;
    Of.Watcher_->stop();
    if (How == Then::Shutdown) {
      ::shutdown(Of.Socket_.fd(), SHUT_WR);
      return;
    }
    if (How == Then::Reset) {
      linger Now{1, 0};
      ::setsockopt(Of.Socket_.fd(), SOL_SOCKET, SO_LINGER, &Now, sizeof(Now));
    }
    Of.Socket_.close();
  }

  Loop &Owner_;
  std::vector<Reply> Script_;
  std::function<Reply(const std::string &)> Answer_;
  std::function<void()> OnAccept_;
  std::size_t Next_ = 0;
  std::size_t Requests_ = 0;
  std::size_t FloodedBytes_ = 0;
  bool DropNext_ = false;
  Socket Listening_;
  base::Address Address_;
  FdWatcher Accepting_;
  std::vector<std::shared_ptr<Connection>> Connections_;
};

} // namespace camphorwind::net::test

#endif // CAMPHORWIND_NET_TEST_SCRIPTED_PEER_H
