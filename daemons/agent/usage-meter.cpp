#include "usage-meter.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace camphorwind::agent {

namespace {

using Json = nlohmann::json;

constexpr std::string_view EventStream = "text/event-stream";
constexpr std::string_view DataPrefix = "data:";
/// A body or line beyond this is passed on but not searched for usage.
constexpr std::size_t MaxSearchedBytes = 8UL * 1024 * 1024;

base::Tokens tokensOf(const Json &Usage, const char *Name) {
  auto Found = Usage.find(Name);
  if (Found == Usage.end() || !Found->is_number_integer())
    return base::Tokens(0);
  return base::Tokens(std::max<std::int64_t>(0, Found->get<std::int64_t>()));
}

} // namespace

void UsageMeter::begin(std::string_view ContentType) {
  Events_ = ContentType.substr(0, EventStream.size()) == EventStream;
}

void UsageMeter::feed(std::string_view Bytes) {
  if (!Events_) {
    if (Pending_.size() + Bytes.size() <= MaxSearchedBytes)
      Pending_.append(Bytes);
    return;
  }
  while (!Bytes.empty()) {
    std::size_t End = Bytes.find('\n');
    if (End == std::string_view::npos) {
      if (Pending_.size() + Bytes.size() <= MaxSearchedBytes)
        Pending_.append(Bytes);
      return;
    }
    if (Pending_.empty()) {
      takeLine(Bytes.substr(0, End));
    } else {
      Pending_.append(Bytes.substr(0, End));
      takeLine(Pending_);
      Pending_.clear();
    }
    Bytes.remove_prefix(End + 1);
  }
}

void UsageMeter::finish() {
  if (!Events_)
    takeJson(Pending_);
  Pending_.clear();
}

bool UsageMeter::truncated() const {
  return Events_ && (EventOpen_ || !Pending_.empty());
}

void UsageMeter::takeLine(std::string_view Line) {
  if (!Line.starts_with(':'))
    EventOpen_ = !Line.empty() && Line != "\r";
  if (Line.substr(0, DataPrefix.size()) != DataPrefix)
    return;
  if (Line.find("[DONE]") != std::string_view::npos)
    return;
  if (Line.find("\"usage\"") != std::string_view::npos)
    takeJson(Line.substr(DataPrefix.size()));
  if (!Reported_)
    Usage_.Output_ += base::Tokens(1);
}

void UsageMeter::takeJson(std::string_view Text) {
  Json Body = Json::parse(Text, nullptr, false);
  if (!Body.is_object())
    return;
  auto Found = Body.find("usage");
  if (Found == Body.end() || !Found->is_object())
    return;
  Usage_.Prompt_ = tokensOf(*Found, "prompt_tokens");
  Usage_.Output_ = tokensOf(*Found, "completion_tokens");
  Reported_ = true;
}

} // namespace camphorwind::agent
