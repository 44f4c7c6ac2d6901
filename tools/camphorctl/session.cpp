#include "session.h"

#include <utility>

namespace camphorwind::ctl {

using namespace std::chrono_literals;

namespace {

constexpr unsigned StatusOk = 200;
constexpr auto CallTimeout = 5s;

/// Runs the loop until the callback that \p Start is given was called.
template <class T, class Start> T await(net::Loop &Owner, const Start &Begin) {
  std::optional<T> Got;
  Begin([&](T Value) {
    Got.emplace(std::move(Value));
    Owner.stop();
  });
  while (!Got)
    Owner.run();
  return std::move(*Got);
}

} // namespace

Session::Session(std::unique_ptr<net::Loop> Owner,
                 std::unique_ptr<net::HttpClient> Http,
                 const base::Address &Platform)
    : Owner_(std::move(Owner)), Http_(std::move(Http)),
      Client_(*Http_, Platform) {}

base::Result<std::unique_ptr<Session>, base::IoError>
Session::create(const base::Address &Platform) {
  BOOST_OUTCOME_TRY(Owner, net::Loop::create());
  BOOST_OUTCOME_TRY(Http, net::HttpClient::create(*Owner));
  return std::unique_ptr<Session>(
      new Session(std::move(Owner), std::move(Http), Platform));
}

base::TransactionResult Session::transact(base::Transaction Change) {
  return await<base::TransactionResult>(
      *Owner_, [&](auto OnEnd) { Client_.transact(std::move(Change), OnEnd); });
}

base::ReadResult Session::read(const std::string &Key) {
  return await<base::ReadResult>(*Owner_,
                                 [&](auto OnEnd) { Client_.read(Key, OnEnd); });
}

base::ReadResult Session::scan(const std::string &Prefix) {
  return await<base::ReadResult>(
      *Owner_, [&](auto OnEnd) { Client_.scan(Prefix, OnEnd); });
}

base::Result<std::string, platform::FetchError>
Session::getObject(const std::string &Name) {
  return await<base::Result<std::string, platform::FetchError>>(
      *Owner_, [&](auto OnEnd) { Client_.getObject(Name, OnEnd); });
}

bool Session::putObject(const std::string &Name, std::string Bytes) {
  return await<bool>(*Owner_, [&](auto OnEnd) {
    Client_.putObject(Name, std::move(Bytes), OnEnd);
  });
}

std::optional<std::string> Session::get(const base::Address &Server,
                                        const std::string &Path) {
  net::HttpCall Call;
  Call.Url_ = "http://" + toString(Server) + Path;
  Call.Timeout_ = CallTimeout;
  auto Got = await<base::Result<net::HttpAnswer, net::HttpCallError>>(
      *Owner_, [&](auto OnEnd) { Http_->fetch(std::move(Call), OnEnd); });
  if (!Got || Got.value().Status_ != StatusOk)
    return std::nullopt;
  return std::move(Got).value().Body_;
}

void Session::sleepUntil(base::TimePoint Until) {
  net::Timer Alarm(*Owner_, [this] { Owner_->stop(); });
  Alarm.start(Until - Owner_->now());
  Owner_->run();
}

} // namespace camphorwind::ctl
