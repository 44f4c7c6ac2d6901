#include "camphorwind/platform/platform-client.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace camphorwind::platform {

namespace {

using Json = nlohmann::json;

constexpr unsigned StatusOk = 200;
constexpr unsigned StatusNoContent = 204;
constexpr unsigned StatusNotFound = 404;
constexpr unsigned StatusConflict = 409;
constexpr unsigned StatusUnavailable = 503;

using CallEnd = base::Result<net::HttpAnswer, net::HttpCallError>;

/// Escapes \p Text for use in a URL path segment or query value.
std::string escape(const std::string &Text) {
  static constexpr char Digits[] = "0123456789ABCDEF";
  std::string Escaped;
  for (unsigned char Character : Text) {
    if (std::isalnum(Character) || Character == '-' || Character == '_' ||
        Character == '.') {
      Escaped.push_back(static_cast<char>(Character));
      continue;
    }
    Escaped.push_back('%');
    Escaped.push_back(Digits[Character >> 4]);
    Escaped.push_back(Digits[Character & 15]);
  }
  return Escaped;
}

/// Turns a value's JSON text into JSON; text that is not JSON is a defect of
/// the sender and travels as a string.
Json valueOf(const std::string &Text) {
  Json Value = Json::parse(Text, nullptr, false);
  return Value.is_discarded() ? Json(Text) : Value;
}

std::string packTransaction(const base::Transaction &Change) {
  Json Body{{"conditions", Json::array()}, {"writes", Json::array()}};
  for (const auto &Condition : Change.Conditions_)
    Body["conditions"].push_back(
        {{"key", Condition.Key_}, {"version", Condition.Version_}});
  for (const auto &Write : Change.Writes_)
    Body["writes"].push_back(
        {{"key", Write.Key_},
         {"value", Write.Value_ ? valueOf(*Write.Value_) : Json()}});
  return Body.dump();
}

std::vector<base::Row> readRowArray(const Json &Rows) {
  std::vector<base::Row> Read;
  for (const Json &Row : Rows) {
    const Json &Value = Row.at("value");
    Read.push_back({Row.at("key").get<std::string>(),
                    Row.at("version").get<base::RowVersion>(),
                    Value.is_null() ? std::string() : Value.dump()});
  }
  return Read;
}

base::TransactionResult readTransactionEnd(const CallEnd &End) {
  using base::TransactionStatus;
  if (!End)
    return {End.error().Kind_ == net::HttpCallErrorKind::NotSent
                ? TransactionStatus::NotSent
                : TransactionStatus::Unknown,
            0,
            {}};
  const net::HttpAnswer &Answer = End.value();
  if (Answer.Status_ == StatusUnavailable)
    return {TransactionStatus::Unavailable, 0, {}};
  try {
    Json Body = Json::parse(Answer.Body_);
    if (Answer.Status_ == StatusOk)
      return {TransactionStatus::Committed,
              Body.at("version").get<base::RowVersion>(),
              {}};
    if (Answer.Status_ == StatusConflict)
      return {TransactionStatus::Conflict, 0, readRowArray(Body.at("current"))};
  } catch (const Json::exception &) {
    return {};
  }
  return {};
}

HostState hostStateOf(const std::string &Text) {
  // Only a host known to be live gets new work.
  return Text == "live" ? HostState::Live : HostState::Leaving;
}

base::Result<std::vector<Host>, FetchError> readHosts(const CallEnd &End) {
  if (!End || End.value().Status_ != StatusOk)
    return base::failure(FetchError::Unavailable);
  try {
    std::vector<Host> Hosts;
    Json Body = Json::parse(End.value().Body_);
    for (const Json &Item : Body.at("hosts"))
      Hosts.push_back({base::HostId(Item.at("host").get<std::string>()),
                       hostStateOf(Item.at("state").get<std::string>()),
                       base::FailureDomainId(
                           Item.at("failure_domain").get<std::string>())});
    return Hosts;
  } catch (const Json::exception &) {
    return base::failure(FetchError::Malformed);
  }
}

} // namespace

PlatformClient::PlatformClient(net::HttpClient &Http,
                               const net::Address &Platform,
                               PlatformTimeouts Timeouts)
    : Http_(Http), BaseUrl_("http://" + base::toString(Platform)),
      Timeouts_(Timeouts) {}

net::HttpCall PlatformClient::call(std::string Method,
                                   const std::string &Path) const {
  net::HttpCall Call;
  Call.Method_ = std::move(Method);
  Call.Url_ = BaseUrl_ + Path;
  Call.ConnectTimeout_ = Timeouts_.Connect_;
  Call.Timeout_ = Timeouts_.Call_;
  return Call;
}

void PlatformClient::transact(
    base::Transaction Change,
    std::function<void(base::TransactionResult)> OnResult) {
  net::HttpCall Call = call("POST", "/table/transact");
  Call.Headers_.add("Content-Type", "application/json");
  Call.Body_ = packTransaction(Change);
  Call.FreshConnection_ = true;
  Http_.fetch(std::move(Call), [OnResult = std::move(OnResult)](CallEnd End) {
    OnResult(readTransactionEnd(End));
  });
}

void PlatformClient::readRows(const std::string &Path,
                              std::function<void(base::ReadResult)> OnRead) {
  Http_.fetch(call("GET", Path), [OnRead = std::move(OnRead)](CallEnd End) {
    if (!End || End.value().Status_ != StatusOk)
      return OnRead({});
    base::ReadResult Read;
    try {
      Read.Rows_ = readRowArray(Json::parse(End.value().Body_).at("rows"));
      Read.Status_ = base::ReadStatus::Ok;
    } catch (const Json::exception &) {
      Read = {};
    }
    OnRead(std::move(Read));
  });
}

void PlatformClient::read(std::string Key,
                          std::function<void(base::ReadResult)> OnRead) {
  readRows("/table/row?key=" + escape(Key), std::move(OnRead));
}

void PlatformClient::scan(std::string Prefix,
                          std::function<void(base::ReadResult)> OnRead) {
  readRows("/table/scan?prefix=" + escape(Prefix), std::move(OnRead));
}

void PlatformClient::getObject(
    const std::string &Name,
    std::function<void(base::Result<std::string, FetchError>)> OnEnd) {
  Http_.fetch(call("GET", "/objects/" + escape(Name)),
              [OnEnd = std::move(OnEnd)](CallEnd End) {
                if (!End)
                  return OnEnd(base::failure(FetchError::Unavailable));
                if (End.value().Status_ == StatusNotFound)
                  return OnEnd(base::failure(FetchError::Missing));
                if (End.value().Status_ != StatusOk)
                  return OnEnd(base::failure(FetchError::Unavailable));
                OnEnd(std::move(End.value().Body_));
              });
}

void PlatformClient::putObject(const std::string &Name, std::string Bytes,
                               std::function<void(bool)> OnEnd) {
  net::HttpCall Call = call("PUT", "/objects/" + escape(Name));
  Call.Body_ = std::move(Bytes);
  Http_.fetch(std::move(Call), [OnEnd = std::move(OnEnd)](CallEnd End) {
    OnEnd(End && End.value().Status_ == StatusNoContent);
  });
}

void PlatformClient::listHosts(
    std::function<void(base::Result<std::vector<Host>, FetchError>)> OnEnd) {
  Http_.fetch(call("GET", "/hosts"), [OnEnd = std::move(OnEnd)](CallEnd End) {
    OnEnd(readHosts(End));
  });
}

} // namespace camphorwind::platform
