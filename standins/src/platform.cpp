#include "camphorwind/standins/platform.h"

#include <utility>

namespace camphorwind::standins {

namespace {

constexpr std::string_view ObjectsPath = "/objects/";
constexpr std::string_view HostsPath = "/hosts";

base::Transaction transactionFrom(const Json &Body) {
  base::Transaction Change;
  for (const Json &Condition : Body.value("conditions", Json::array()))
    Change.Conditions_.push_back(
        {Condition.at("key").get<std::string>(),
         Condition.at("version").get<std::uint64_t>()});
  for (const Json &Write : Body.value("writes", Json::array())) {
    base::RowWrite Parsed{Write.at("key").get<std::string>(), std::nullopt};
    if (const Json &Value = Write.at("value"); !Value.is_null())
      Parsed.Value_ = Value.dump();
    Change.Writes_.push_back(std::move(Parsed));
  }
  return Change;
}

Json toJson(const std::vector<base::Row> &Rows) {
  Json List = Json::array();
  for (const base::Row &Row : Rows)
    List.push_back({{"key", Row.Key_},
                    {"version", Row.Version_},
                    {"value", Json::parse(Row.Value_)}});
  return List;
}

std::string queryValue(const net::HttpRequest &Request, const char *Name) {
  return std::string(Request.Query_.find(Name).value_or(""));
}

} // namespace

void Platform::handle(const net::HttpRequest &Request,
                      const ExchangePtr &Exchange) {
  try {
    answer(Request, Exchange);
  } catch (const Json::exception &Error) {
    Exchange->respond(errorAnswer(400, Error.what()));
  }
}

void Platform::answer(const net::HttpRequest &Request,
                      const ExchangePtr &Exchange) {
  const std::string &Path = Request.Path_;
  if (Path == "/control")
    return Exchange->respond(control(Request));
  if (Path == "/control/stats")
    return Exchange->respond(stats());
  const auto Serve = [&](const PlatformFault &Fault, auto Handler) {
    if (Fault.Down_)
      return Exchange->respond(errorAnswer(503, "the platform is down"));
    respondAfter(Fault.Delay_, Exchange, (this->*Handler)(Request));
  };
  if (Path.starts_with("/table/"))
    return table(Request, Exchange);
  if (Path.starts_with(ObjectsPath))
    return Serve(ObjectsFault_, &Platform::object);
  if (Path.starts_with(HostsPath))
    return Serve(HostsFault_, &Platform::hosts);
  Exchange->respond(errorAnswer(404, "no such path"));
}

void Platform::respondAfter(std::chrono::milliseconds Delay,
                            const ExchangePtr &Exchange,
                            net::HttpAnswer Answer) {
  Delayer_.run(Delay, [Exchange, Answer = std::move(Answer)] {
    Exchange->respond(Answer);
  });
}

net::HttpAnswer Platform::control(const net::HttpRequest &Request) {
  auto Body = parseObject(Request.Body_);
  if (!Body)
    return errorAnswer(400, "the body is not a JSON object");
  RepliesToLose_ = Body->value("lose_replies", RepliesToLose_);
  if (Body->contains("mode")) {
    std::string Mode = Body->value("mode", "up");
    std::string Part = Body->value("for", "all");
    PlatformFault Fault;
    Fault.Down_ = Mode == "down";
    if (Mode == "slow")
      Fault.Delay_ =
          milliseconds(*Body, "delay_ms", std::chrono::milliseconds(1000));
    if (Part == "table" || Part == "all")
      TableFault_ = Fault;
    if (Part == "objects" || Part == "all")
      ObjectsFault_ = Fault;
    if (Part == "hosts" || Part == "all")
      HostsFault_ = Fault;
  }
  return answerWith(200, {{"ok", true}});
}

net::HttpAnswer Platform::stats() const {
  const TableCounts &Counts = Table_.counts();
  return answerWith(200, {{"reads", Counts.Reads_},
                          {"writes", Counts.Writes_},
                          {"conflicts", Counts.Conflicts_},
                          {"replies_lost", RepliesLost_}});
}

void Platform::table(const net::HttpRequest &Request,
                     const ExchangePtr &Exchange) {
  if (TableFault_.Down_)
    return Exchange->respond(errorAnswer(503, "the table is down"));
  if (Request.Path_ == "/table/transact" && Request.Method_ == "POST")
    return transact(Request, Exchange);
  if (Request.Path_ == "/table/row")
    return respondAfter(
        TableFault_.Delay_, Exchange,
        answerWith(
            200, {{"rows", toJson(Table_.read(queryValue(Request, "key")))}}));
  if (Request.Path_ == "/table/scan")
    return respondAfter(TableFault_.Delay_, Exchange,
                        answerWith(200, {{"rows", toJson(Table_.scan(queryValue(
                                                      Request, "prefix")))}}));
  Exchange->respond(errorAnswer(404, "no such path"));
}

void Platform::transact(const net::HttpRequest &Request,
                        const ExchangePtr &Exchange) {
  auto Body = parseObject(Request.Body_);
  if (!Body)
    return Exchange->respond(errorAnswer(400, "the body is not a JSON object"));
  base::TransactionResult Result = Table_.transact(transactionFrom(*Body));
  if (Result.Status_ == base::TransactionStatus::Conflict)
    return respondAfter(
        TableFault_.Delay_, Exchange,
        answerWith(
            409, {{"committed", false}, {"current", toJson(Result.Current_)}}));
  if (RepliesToLose_ > 0) {
    --RepliesToLose_;
    ++RepliesLost_;
    return Exchange->abortStream();
  }
  respondAfter(
      TableFault_.Delay_, Exchange,
      answerWith(200, {{"committed", true}, {"version", Result.Version_}}));
}

net::HttpAnswer Platform::object(const net::HttpRequest &Request) {
  std::string Name = Request.Path_.substr(ObjectsPath.size());
  if (Request.Method_ == "PUT") {
    Objects_[Name] = Request.Body_;
    return {204, {}, ""};
  }
  auto Found = Objects_.find(Name);
  if (Found == Objects_.end())
    return errorAnswer(404, "no such object");
  return {200, {{"Content-Type", "application/octet-stream"}}, Found->second};
}

net::HttpAnswer Platform::hosts(const net::HttpRequest &Request) {
  if (Request.Path_ == HostsPath) {
    Json List = Json::array();
    for (const auto &[Name, Host] : Hosts_)
      List.push_back(Host);
    return answerWith(200, {{"hosts", List}});
  }
  std::string Name = Request.Path_.substr(HostsPath.size() + 1);
  if (Request.Method_ == "DELETE") {
    Delayer_.run(HostListLag_, [this, Name] { Hosts_.erase(Name); });
    return {204, {}, ""};
  }
  auto Host = parseObject(Request.Body_);
  if (Request.Method_ != "PUT" || !Host)
    return errorAnswer(400, "expected PUT with a JSON object, or DELETE");
  (*Host)["host"] = Name;
  Delayer_.run(HostListLag_,
               [this, Name, Host = *Host] { Hosts_[Name] = Host; });
  return {204, {}, ""};
}

} // namespace camphorwind::standins
