#ifndef CAMPHORWIND_NET_TEST_FREE_ADDRESS_H
#define CAMPHORWIND_NET_TEST_FREE_ADDRESS_H

#include "camphorwind/base/address.h"
#include "camphorwind/net/socket.h"

#include <set>
#include <string>
#include <unistd.h>

namespace camphorwind::net::test {

/// Returns a loopback address of this process alone. Tests that run at the same
/// time can't take each other's ports there.
inline std::string ownHost() {
  auto Id = static_cast<unsigned>(::getpid());
  constexpr unsigned ByteBits = 8;
  constexpr unsigned ByteMask = 0xff;
  // Process ids have 22 bits at most; 127.0.x.x is left to others.
  constexpr unsigned FirstByte = 64;
  return "127." + std::to_string(FirstByte + (Id >> (2 * ByteBits))) + "." +
         std::to_string((Id >> ByteBits) & ByteMask) + "." +
         std::to_string(Id & ByteMask);
}

/// Returns an address with an unused port, for a server that is started later.
/// No two calls return the same one.
inline base::Address freeAddress() {
  static std::set<std::string> Returned;
  for (;;) {
    auto Socket = listenOn({ownHost(), 0});
    base::Address Found = localAddress(Socket.value().fd()).value();
    if (Returned.insert(base::toString(Found)).second)
      return Found;
  }
}

} // namespace camphorwind::net::test

#endif // CAMPHORWIND_NET_TEST_FREE_ADDRESS_H
