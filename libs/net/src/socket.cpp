#include "camphorwind/net/socket.h"

#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string>
#include <string_view>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace camphorwind::net {

namespace {

constexpr int ListenBacklog = 1024;

/// A socket address of either family.
struct RawAddress {
  sockaddr_storage Storage_{};
  socklen_t Length_ = 0;

  sockaddr *get() { return reinterpret_cast<sockaddr *>(&Storage_); }
};

base::IoError systemError(base::IoErrorKind Kind, std::string_view Doing) {
  return {Kind, std::string(Doing) + ": " + std::strerror(errno)};
}

base::Result<RawAddress, base::IoError> toRaw(const Address &From) {
  RawAddress Raw;
  auto *V4 = reinterpret_cast<sockaddr_in *>(&Raw.Storage_);
  if (inet_pton(AF_INET, From.Ip_.c_str(), &V4->sin_addr) == 1) {
    V4->sin_family = AF_INET;
    V4->sin_port = htons(From.Port_);
    Raw.Length_ = sizeof(sockaddr_in);
    return Raw;
  }
  auto *V6 = reinterpret_cast<sockaddr_in6 *>(&Raw.Storage_);
  if (inet_pton(AF_INET6, From.Ip_.c_str(), &V6->sin6_addr) == 1) {
    V6->sin6_family = AF_INET6;
    V6->sin6_port = htons(From.Port_);
    Raw.Length_ = sizeof(sockaddr_in6);
    return Raw;
  }
  return base::failure(base::IoError{base::IoErrorKind::InvalidArgument,
                                     "not an IP number: " + From.Ip_});
}

Address fromRaw(const RawAddress &Raw) {
  char Text[INET6_ADDRSTRLEN] = {};
  if (Raw.Storage_.ss_family == AF_INET6) {
    const auto *V6 = reinterpret_cast<const sockaddr_in6 *>(&Raw.Storage_);
    inet_ntop(AF_INET6, &V6->sin6_addr, Text, sizeof(Text));
    return {Text, ntohs(V6->sin6_port)};
  }
  const auto *V4 = reinterpret_cast<const sockaddr_in *>(&Raw.Storage_);
  inet_ntop(AF_INET, &V4->sin_addr, Text, sizeof(Text));
  return {Text, ntohs(V4->sin_port)};
}

base::Result<Socket, base::IoError> openSocket(const RawAddress &Raw) {
  Socket Opened(::socket(Raw.Storage_.ss_family,
                         SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!Opened.valid())
    return base::failure(
        systemError(base::IoErrorKind::ResourceLimit, "socket"));
  return Opened;
}

void disableNagle(int Fd) {
  const int On = 1;
  ::setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
}

} // namespace

Socket &Socket::operator=(Socket &&Other) noexcept {
  if (this != &Other) {
    close();
    Fd_ = Other.release();
  }
  return *this;
}

int Socket::release() { return std::exchange(Fd_, -1); }

void Socket::close() {
  if (Fd_ >= 0)
    ::close(std::exchange(Fd_, -1));
}

base::Result<Socket, base::IoError> listenOn(const Address &Local) {
  BOOST_OUTCOME_TRY(Raw, toRaw(Local));
  BOOST_OUTCOME_TRY(Listening, openSocket(Raw));
  const int On = 1;
  ::setsockopt(Listening.fd(), SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  if (::bind(Listening.fd(), Raw.get(), Raw.Length_) != 0)
    return base::failure(systemError(base::IoErrorKind::AddressInUse,
                                     "binding to " + base::toString(Local)));
  if (::listen(Listening.fd(), ListenBacklog) != 0)
    return base::failure(systemError(base::IoErrorKind::AddressInUse,
                                     "listening on " + base::toString(Local)));
  return Listening;
}

base::Result<Socket, base::IoError> startConnect(const Address &Remote) {
  BOOST_OUTCOME_TRY(Raw, toRaw(Remote));
  BOOST_OUTCOME_TRY(Connecting, openSocket(Raw));
  disableNagle(Connecting.fd());
  if (::connect(Connecting.fd(), Raw.get(), Raw.Length_) != 0 &&
      errno != EINPROGRESS)
    return base::failure(
        systemError(errno == ECONNREFUSED ? base::IoErrorKind::Refused
                                          : base::IoErrorKind::Connect,
                    "connecting to " + base::toString(Remote)));
  return Connecting;
}

base::Result<Socket, base::IoError> acceptFrom(int ListeningFd) {
  int Fd = -1;
  do
    Fd = ::accept4(ListeningFd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
  while (Fd < 0 && (errno == ECONNABORTED || errno == EINTR));
  Socket Accepted(Fd);
  if (!Accepted.valid()) {
    bool NoRoom = errno == EMFILE || errno == ENFILE || errno == ENOBUFS ||
                  errno == ENOMEM;
    return base::failure(systemError(NoRoom ? base::IoErrorKind::ResourceLimit
                                            : base::IoErrorKind::Closed,
                                     "accept"));
  }
  disableNagle(Accepted.fd());
  return Accepted;
}

base::Result<Address, base::IoError> localAddress(int Fd) {
  RawAddress Raw;
  Raw.Length_ = sizeof(Raw.Storage_);
  if (::getsockname(Fd, Raw.get(), &Raw.Length_) != 0)
    return base::failure(
        systemError(base::IoErrorKind::InvalidArgument, "getsockname"));
  return fromRaw(Raw);
}

int pendingError(int Fd) {
  int Error = 0;
  socklen_t Length = sizeof(Error);
  if (::getsockopt(Fd, SOL_SOCKET, SO_ERROR, &Error, &Length) != 0)
    return errno;
  return Error;
}

std::chrono::milliseconds timeSinceLastData(int Fd) {
  tcp_info Info{};
  socklen_t Size = sizeof(Info);
  if (::getsockopt(Fd, IPPROTO_TCP, TCP_INFO, &Info, &Size) != 0 ||
      Size < offsetof(tcp_info, tcpi_last_data_recv) +
                 sizeof(Info.tcpi_last_data_recv))
    return std::chrono::milliseconds(0);
  return std::chrono::milliseconds(Info.tcpi_last_data_recv);
}

std::size_t unacknowledgedBytes(int Fd) {
  int Bytes = 0;
  if (::ioctl(Fd, SIOCOUTQ, &Bytes) != 0 || Bytes < 0)
    return 0;
  return static_cast<std::size_t>(Bytes);
}

} // namespace camphorwind::net
