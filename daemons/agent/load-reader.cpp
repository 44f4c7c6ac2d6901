#include "load-reader.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace camphorwind::agent {

namespace {

constexpr unsigned StatusOk = 200;

} // namespace

LoadReader::LoadReader(net::Loop &Owner, net::HttpClient &Http,
                       const AgentSettings &Settings,
                       std::function<void(routing::LoadReport)> OnReport)
    : Owner_(Owner), Http_(Http), Settings_(Settings),
      OnReport_(std::move(OnReport)), Timer_(Owner, [this] { read(); }) {
  Timer_.start(Settings_.LoadInterval_);
}

void LoadReader::read() {
  net::HttpCall Call;
  Call.Url_ = "http://" + toString(Settings_.Target_) + "/load";
  Call.ConnectTimeout_ = Settings_.ConnectTimeout_;
  Call.Timeout_ = Settings_.StallTimeout_;
  Http_.fetch(std::move(Call), [this, Asked = Owner_.now()](auto End) {
    if (End && End.value().Status_ == StatusOk)
      take(End.value().Body_, Asked);
    Timer_.start(Settings_.LoadInterval_);
  });
}

void LoadReader::take(const std::string &Body, base::TimePoint Asked) {
  nlohmann::json Load = nlohmann::json::parse(Body, nullptr, false);
  if (!Load.is_object())
    return;
  routing::LoadReport Report;
  Report.Endpoint_ = Settings_.Endpoint_;
  try {
    Report.Running_ = Load.value("running", 0U);
    Report.Waiting_ = Load.value("queued", 0U);
    Report.WaitingPromptTokens_ = Load.value("queued_prompt_tokens", 0UL);
  } catch (const nlohmann::json::exception &) {
    return;
  }
  Report.Age_ = std::chrono::duration_cast<std::chrono::milliseconds>(
      Owner_.now() - Asked);
  OnReport_(std::move(Report));
}

} // namespace camphorwind::agent
