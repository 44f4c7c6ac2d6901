#include "camphorwind/standins/service.h"

#include <algorithm>

namespace camphorwind::standins {

void PlainService::handle(const net::HttpRequest &Request,
                          const std::shared_ptr<net::HttpExchange> &Exchange) {
  if (Request.Path_ == "/stats")
    return Exchange->respond(stats());
  if (Request.Path_ != "/control")
    return run(Request, Exchange);
  try {
    Exchange->respond(control(Request));
  } catch (const Json::exception &Error) {
    Exchange->respond(errorAnswer(400, Error.what()));
  }
}

net::HttpAnswer PlainService::control(const net::HttpRequest &Request) {
  auto Body = parseObject(Request.Body_);
  if (!Body)
    return errorAnswer(400, "the body is not a JSON object");
  std::string Mode = Body->value("mode", "normal");
  Fault_ = {};
  Fault_.Silent_ = Mode == "silent";
  Fault_.Dead_ = Mode == "dead";
  if (Mode == "slow")
    Fault_.Delay_ =
        milliseconds(*Body, "delay_ms", std::chrono::milliseconds(1000));
  Fault_.DieBefore_ = Body->value("die_before", std::uint64_t{0});
  Fault_.DieAfter_ = Body->value("die_after", std::uint64_t{0});
  return answerWith(200, {{"ok", true}});
}

net::HttpAnswer PlainService::stats() const {
  std::uint64_t Most = 0;
  for (const auto &[Id, Runs] : RunsById_)
    Most = std::max(Most, Runs);
  return answerWith(
      200,
      {{"runs", Runs_}, {"max_runs_per_id", Most}, {"runs_by_id", RunsById_}});
}

void PlainService::run(const net::HttpRequest &Request,
                       const std::shared_ptr<net::HttpExchange> &Exchange) {
  if (Fault_.Dead_)
    return Exchange->abortStream();
  if (Fault_.DieBefore_ > 0) {
    --Fault_.DieBefore_;
    return Exchange->abortStream();
  }
  std::string Id(Request.Headers_.find("X-Request-Id").value_or(""));
  ++Runs_;
  if (!Id.empty())
    ++RunsById_[Id];
  if (Fault_.DieAfter_ > 0) {
    --Fault_.DieAfter_;
    return Exchange->abortStream();
  }
  if (Fault_.Silent_)
    return;
  Json Echo = {{"method", Request.Method_},
               {"path", Request.Path_},
               {"body", Request.Body_},
               {"request_id", Id}};
  Delayer_.run(Fault_.Delay_, [Exchange, Answer = answerWith(200, Echo)] {
    Exchange->respond(Answer);
  });
}

} // namespace camphorwind::standins
