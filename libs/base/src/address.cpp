#include "camphorwind/base/address.h"

#include <arpa/inet.h>

#include <array>
#include <charconv>

namespace camphorwind::base {

namespace {

bool isIpNumber(int Family, const std::string &Text) {
  std::array<unsigned char, sizeof(in6_addr)> Bytes{};
  return inet_pton(Family, Text.c_str(), Bytes.data()) == 1;
}

} // namespace

std::string toString(const Address &Value) {
  bool IsV6 = Value.Ip_.find(':') != std::string::npos;
  std::string Host = IsV6 ? "[" + Value.Ip_ + "]" : Value.Ip_;
  return Host + ":" + std::to_string(Value.Port_);
}

std::optional<Address> addressFromString(std::string_view Text) {
  std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return std::nullopt;
  std::string_view Host = Text.substr(0, Colon);
  std::string_view Port = Text.substr(Colon + 1);
  int Family = AF_INET;
  if (Host.size() > 2 && Host.front() == '[' && Host.back() == ']') {
    Family = AF_INET6;
    Host = Host.substr(1, Host.size() - 2);
  }
  Address Value;
  Value.Ip_ = std::string(Host);
  if (Value.Ip_.find('\0') != std::string::npos ||
      !isIpNumber(Family, Value.Ip_))
    return std::nullopt;
  auto [End, Error] =
      std::from_chars(Port.data(), Port.data() + Port.size(), Value.Port_);
  if (Error != std::errc() || End != Port.data() + Port.size())
    return std::nullopt;
  return Value;
}

} // namespace camphorwind::base
