#include "camphorwind/net/http.h"

#include <strings.h>

namespace camphorwind::net {

namespace {

bool equalsIgnoringCase(std::string_view A, std::string_view B) {
  return A.size() == B.size() && strncasecmp(A.data(), B.data(), A.size()) == 0;
}

} // namespace

void HttpHeaders::add(std::string Name, std::string Value) {
  Fields_.emplace_back(std::move(Name), std::move(Value));
}

std::optional<std::string_view> HttpHeaders::find(std::string_view Name) const {
  for (const auto &[FieldName, Value] : Fields_)
    if (equalsIgnoringCase(FieldName, Name))
      return Value;
  return std::nullopt;
}

std::size_t HttpHeaders::memoryBytes() const {
  std::size_t Bytes = Fields_.capacity() * sizeof(Fields_.front());
  for (const auto &[Name, Value] : Fields_)
    Bytes += Name.capacity() + Value.capacity();
  return Bytes;
}

HttpAnswer jsonAnswer(unsigned Status, std::string Body) {
  return {Status, {{"Content-Type", "application/json"}}, std::move(Body)};
}

} // namespace camphorwind::net
