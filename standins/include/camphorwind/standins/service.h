#ifndef CAMPHORWIND_STANDINS_SERVICE_H
#define CAMPHORWIND_STANDINS_SERVICE_H

#include "camphorwind/standins/json.h"
#include "camphorwind/standins/program.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace camphorwind::standins {

/// How the service answers; changed by `POST /control`.
struct ServiceFault {
  /// Takes calls and never answers them.
  bool Silent_ = false;
  /// Closes every connection without running the call.
  bool Dead_ = false;
  std::chrono::milliseconds Delay_{0};
  /// Calls to cut off before they take effect.
  std::uint64_t DieBefore_ = 0;
  /// Calls to cut off after they took effect.
  std::uint64_t DieAfter_ = 0;
};

/// A plain service: echoes each call and counts how often each request id ran.
class PlainService {
public:
  explicit PlainService(net::Loop &Owner) : Delayer_(Owner) {}

  void handle(const net::HttpRequest &Request,
              const std::shared_ptr<net::HttpExchange> &Exchange);

private:
  net::HttpAnswer control(const net::HttpRequest &Request);
  net::HttpAnswer stats() const;
  void run(const net::HttpRequest &Request,
           const std::shared_ptr<net::HttpExchange> &Exchange);

  Delayer Delayer_;
  ServiceFault Fault_;
  std::map<std::string, std::uint64_t> RunsById_;
  std::uint64_t Runs_ = 0;
};

} // namespace camphorwind::standins

#endif // CAMPHORWIND_STANDINS_SERVICE_H
