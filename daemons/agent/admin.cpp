#include "admin.h"

#include <utility>

namespace camphorwind::agent {

namespace {

constexpr unsigned StatusOk = 200;
constexpr unsigned StatusNotFound = 404;
constexpr auto MetricsType = "text/plain; version=0.0.4";

} // namespace

base::Result<std::unique_ptr<Admin>, base::IoError>
Admin::create(net::Loop &Owner, const base::Address &Local,
              std::function<std::string()> MetricsText) {
  auto Handle = [MetricsText = std::move(MetricsText)](
                    net::HttpRequest Request,
                    std::shared_ptr<net::HttpExchange> Exchange) {
    if (Request.Path_ == "/healthz")
      return Exchange->respond(net::jsonAnswer(StatusOk, R"({"ok":true})"));
    if (Request.Path_ == "/metrics")
      return Exchange->respond(
          {StatusOk, {{"Content-Type", MetricsType}}, MetricsText()});
    Exchange->respond(net::jsonAnswer(StatusNotFound, "{}"));
  };
  BOOST_OUTCOME_TRY(
      Server, net::HttpServer::create(Owner, Local, {}, std::move(Handle)));
  return std::unique_ptr<Admin>(new Admin(std::move(Server)));
}

} // namespace camphorwind::agent
