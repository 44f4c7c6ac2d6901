#ifndef CAMPHORWIND_STANDINS_PLATFORM_H
#define CAMPHORWIND_STANDINS_PLATFORM_H

#include "camphorwind/standins/json.h"
#include "camphorwind/standins/program.h"
#include "camphorwind/standins/table.h"

#include <chrono>
#include <map>
#include <string>

namespace camphorwind::standins {

/// How a part of the platform behaves; changed by `POST /control`.
struct PlatformFault {
  bool Down_ = false;
  std::chrono::milliseconds Delay_{0};
};

/// The platform's table, object store and host list over HTTP and JSON.
class Platform {
public:
  /// Changes of the host list are seen \p HostListLag later.
  Platform(net::Loop &Owner, std::chrono::milliseconds HostListLag)
      : Delayer_(Owner), HostListLag_(HostListLag) {}

  void handle(const net::HttpRequest &Request,
              const std::shared_ptr<net::HttpExchange> &Exchange);

private:
  using ExchangePtr = std::shared_ptr<net::HttpExchange>;

  void answer(const net::HttpRequest &Request, const ExchangePtr &Exchange);
  void respondAfter(std::chrono::milliseconds Delay,
                    const ExchangePtr &Exchange, net::HttpAnswer Answer);
  net::HttpAnswer control(const net::HttpRequest &Request);
  net::HttpAnswer stats() const;
  void table(const net::HttpRequest &Request, const ExchangePtr &Exchange);
  void transact(const net::HttpRequest &Request, const ExchangePtr &Exchange);
  net::HttpAnswer object(const net::HttpRequest &Request);
  net::HttpAnswer hosts(const net::HttpRequest &Request);

  Delayer Delayer_;
  std::chrono::milliseconds HostListLag_;
  MemoryTable Table_;
  std::map<std::string, std::string> Objects_;
  std::map<std::string, Json> Hosts_;
  PlatformFault TableFault_;
  PlatformFault ObjectsFault_;
  PlatformFault HostsFault_;
  /// Committed transactions whose reply is still to be lost.
  std::uint64_t RepliesToLose_ = 0;
  std::uint64_t RepliesLost_ = 0;
};

} // namespace camphorwind::standins

#endif // CAMPHORWIND_STANDINS_PLATFORM_H
