#ifndef CAMPHORWIND_STANDINS_JSON_H
#define CAMPHORWIND_STANDINS_JSON_H

#include "camphorwind/net/http.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <optional>
#include <string_view>

/// JSON in requests and answers of the stand-ins.
namespace camphorwind::standins {

using Json = nlohmann::json;

/// Reads a JSON object; none if \p Text is anything else.
std::optional<Json> parseObject(std::string_view Text);

/// Makes an answer with a JSON body.
net::HttpAnswer answerWith(unsigned Status, const Json &Body);

/// Makes an answer with an OpenAI error object.
net::HttpAnswer errorAnswer(unsigned Status, std::string_view Message);

/// Returns the number of milliseconds under \p Name, or \p Otherwise.
std::chrono::milliseconds milliseconds(const Json &Object, const char *Name,
                                       std::chrono::milliseconds Otherwise);

} // namespace camphorwind::standins

#endif // CAMPHORWIND_STANDINS_JSON_H
