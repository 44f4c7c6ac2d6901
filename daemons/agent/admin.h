#ifndef CAMPHORWIND_DAEMONS_AGENT_ADMIN_H
#define CAMPHORWIND_DAEMONS_AGENT_ADMIN_H

#include "camphorwind/base/address.h"
#include "camphorwind/net/http-server.h"

#include <functional>
#include <memory>
#include <string>

namespace camphorwind::agent {

/// Serves /metrics and /healthz for operators.
class Admin {
public:
  /// Fails with IoErrorKind::AddressInUse or InvalidArgument.
  static base::Result<std::unique_ptr<Admin>, base::IoError>
  create(net::Loop &Owner, const base::Address &Local,
         std::function<std::string()> MetricsText);

  const base::Address &address() const { return Server_->address(); }

private:
  explicit Admin(std::unique_ptr<net::HttpServer> Server)
      : Server_(std::move(Server)) {}

  std::unique_ptr<net::HttpServer> Server_;
};

} // namespace camphorwind::agent

#endif // CAMPHORWIND_DAEMONS_AGENT_ADMIN_H
