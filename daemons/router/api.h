#ifndef CAMPHORWIND_DAEMONS_ROUTER_API_H
#define CAMPHORWIND_DAEMONS_ROUTER_API_H

#include "../common/refusals.h"
#include "completion-request.h"
#include "router.h"

#include "camphorwind/net/http-server.h"

#include <memory>
#include <string>

namespace camphorwind::router {

/// Serves callers over HTTP/1.1: reads their requests, hands them to the
/// router and writes the answers. docs/http-api.md describes every path.
class Api {
public:
  /// Fails with IoErrorKind::AddressInUse or InvalidArgument.
  static base::Result<std::unique_ptr<Api>, base::IoError>
  create(net::Loop &Owner, const base::Address &Local, Router &Target);

  const base::Address &address() const { return Server_->address(); }
  /// Accepts no more connections; requests in progress go on.
  void stopAccepting() { Server_->stopAccepting(); }
  std::size_t inProgress() const { return Server_->inProgress(); }

private:
  using Exchange = std::shared_ptr<net::HttpExchange>;

  /// What every caller's request has.
  struct Caller {
    std::shared_ptr<const FleetView> View_;
    const config::Account *Account_ = nullptr;
    base::RequestId Request_;
  };

  Api(net::Loop &Owner, Router &Target) : Owner_(Owner), Router_(Target) {}

  void handle(const net::HttpRequest &Request, const Exchange &Out);
  bool handleOperator(const net::HttpRequest &Request, const Exchange &Out);
  std::optional<CallerError> identify(const net::HttpRequest &Request,
                                      Caller &Found);
  void complete(const net::HttpRequest &Request, const Caller &From,
                CompletionKind Kind, const Exchange &Out);
  void callService(const net::HttpRequest &Request, const Caller &From,
                   const Exchange &Out);
  void listModels(const Caller &From, const Exchange &Out);
  /// Fills in what the headers say; fails with what is wrong in them.
  std::optional<CallerError> readHeaders(const net::HttpRequest &Request,
                                         const Caller &From,
                                         RoutedRequest &Wanted);
  void refuse(const CallerError &Error, const base::RequestId &Request,
              const Exchange &Out);
  /// Handles the end of a caller's connection before its answer was out.
  void onConnectionEnd(const base::RequestId &Request, net::ConnectionEnd End);
  void submitWhole(RoutedRequest Wanted, const Exchange &Out);
  void submitStream(RoutedRequest Wanted, bool WantsUsage, const Exchange &Out);

  net::Loop &Owner_;
  Router &Router_;
  std::unique_ptr<net::HttpServer> Server_;
};

} // namespace camphorwind::router

#endif // CAMPHORWIND_DAEMONS_ROUTER_API_H
