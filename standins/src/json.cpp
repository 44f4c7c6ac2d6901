#include "camphorwind/standins/json.h"

namespace camphorwind::standins {

std::optional<Json> parseObject(std::string_view Text) {
  Json Parsed = Json::parse(Text, nullptr, /*allow_exceptions=*/false);
  if (!Parsed.is_object())
    return std::nullopt;
  return Parsed;
}

net::HttpAnswer answerWith(unsigned Status, const Json &Body) {
  return net::jsonAnswer(
      Status, Body.dump(-1, ' ', false, Json::error_handler_t::replace));
}

net::HttpAnswer errorAnswer(unsigned Status, std::string_view Message) {
  return answerWith(
      Status,
      {{"error", {{"message", Message}, {"type", "invalid_request_error"}}}});
}

std::chrono::milliseconds milliseconds(const Json &Object, const char *Name,
                                       std::chrono::milliseconds Otherwise) {
  return std::chrono::milliseconds(
      Object.value(Name, static_cast<std::int64_t>(Otherwise.count())));
}

} // namespace camphorwind::standins
