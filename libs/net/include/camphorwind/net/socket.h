#ifndef CAMPHORWIND_NET_SOCKET_H
#define CAMPHORWIND_NET_SOCKET_H

#include "camphorwind/base/address.h"
#include "camphorwind/base/result.h"

#include <chrono>
#include <cstddef>

/// TCP sockets by IP number; no name resolution.
namespace camphorwind::net {

/// Port 0 asks the system for a free one.
using base::Address;

/// Owns a file descriptor and closes it.
class Socket {
public:
  Socket() = default;
  explicit Socket(int Fd) : Fd_(Fd) {}
  ~Socket() { close(); }
  Socket(Socket &&Other) noexcept : Fd_(Other.release()) {}
  Socket &operator=(Socket &&Other) noexcept;

  int fd() const { return Fd_; }
  bool valid() const { return Fd_ >= 0; }
  int release();
  void close();

private:
  int Fd_ = -1;
};

/// Opens a non-blocking listening socket.
base::Result<Socket, base::IoError> listenOn(const Address &Local);

/// Starts a non-blocking connection; writable readiness ends the attempt.
base::Result<Socket, base::IoError> startConnect(const Address &Remote);

/// Accepts one connection, non-blocking and without Nagle's delay. Fails with
/// IoErrorKind::Closed when none is waiting, IoErrorKind::ResourceLimit when
/// the system has no room for one.
base::Result<Socket, base::IoError> acceptFrom(int ListeningFd);

/// Returns the address a socket is bound to.
base::Result<Address, base::IoError> localAddress(int Fd);

/// Returns the pending error of a socket, 0 when connected.
int pendingError(int Fd);

/// Returns the time since the system received the latest data of a TCP
/// connection; 0 if it does not tell.
std::chrono::milliseconds timeSinceLastData(int Fd);

/// Returns the number of bytes sent on a TCP connection that its peer has not
/// acknowledged; 0 if the system does not tell.
std::size_t unacknowledgedBytes(int Fd);

} // namespace camphorwind::net

#endif // CAMPHORWIND_NET_SOCKET_H
