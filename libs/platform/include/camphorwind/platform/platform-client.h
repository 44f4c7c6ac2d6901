#ifndef CAMPHORWIND_PLATFORM_PLATFORM_CLIENT_H
#define CAMPHORWIND_PLATFORM_PLATFORM_CLIENT_H

#include "camphorwind/base/ids.h"
#include "camphorwind/base/result.h"
#include "camphorwind/base/table.h"
#include "camphorwind/net/http-client.h"
#include "camphorwind/net/socket.h"

#include <chrono>
#include <functional>
#include <string>
#include <vector>

/// Client of the platform's table, object store and host list, over HTTP.
namespace camphorwind::platform {

/// Whether the platform wants a host to get new work.
enum class HostState { Live, Leaving };

/// A host as the platform's list shows it, some seconds late.
struct Host {
  base::HostId Host_;
  HostState State_ = HostState::Live;
  base::FailureDomainId FailureDomain_;
};

/// Why an object or the host list could not be had.
enum class FetchError {
  Missing,     ///< The platform answered that it does not exist.
  Unavailable, ///< The platform did not answer, or refused.
  Malformed,   ///< The answer could not be read.
};

/// Time limits of one client.
struct PlatformTimeouts {
  std::chrono::milliseconds Connect_{1000};
  std::chrono::milliseconds Call_{5000};
};

/// Satisfies base::Table. Every callback runs once, later, on the loop.
class PlatformClient {
public:
  PlatformClient(net::HttpClient &Http, const net::Address &Platform,
                 PlatformTimeouts Timeouts = {});

  /// Sends a transaction once; its connection is not reused, since a call on a
  /// kept connection may be sent twice.
  void transact(base::Transaction Change,
                std::function<void(base::TransactionResult)> OnResult);
  /// Reads one row; Rows_ is empty when it does not exist.
  void read(std::string Key, std::function<void(base::ReadResult)> OnRead);
  /// Reads every row whose key starts with \p Prefix.
  void scan(std::string Prefix, std::function<void(base::ReadResult)> OnRead);

  void
  getObject(const std::string &Name,
            std::function<void(base::Result<std::string, FetchError>)> OnEnd);
  /// Stores an object; \p OnEnd gets whether the platform confirmed it.
  void putObject(const std::string &Name, std::string Bytes,
                 std::function<void(bool Stored)> OnEnd);
  void listHosts(
      std::function<void(base::Result<std::vector<Host>, FetchError>)> OnEnd);

private:
  net::HttpCall call(std::string Method, const std::string &Path) const;
  void readRows(const std::string &Path,
                std::function<void(base::ReadResult)> OnRead);

  net::HttpClient &Http_;
  std::string BaseUrl_;
  PlatformTimeouts Timeouts_;
};

} // namespace camphorwind::platform

#endif // CAMPHORWIND_PLATFORM_PLATFORM_CLIENT_H
