#ifndef CAMPHORWIND_BASE_ADDRESS_H
#define CAMPHORWIND_BASE_ADDRESS_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace camphorwind::base {

/// Where a process listens or is reached: an IP number and a port. There are
/// no host names; a process resolves nothing.
struct Address {
  /// IPv4 or IPv6 number without brackets.
  std::string Ip_;
  std::uint16_t Port_ = 0;

  friend bool operator==(const Address &, const Address &) = default;
};

/// Returns `127.0.0.1:8080` or `[::1]:8080`.
std::string toString(const Address &Value);

/// Parses what toString returns; nothing if \p Text is of another form.
std::optional<Address> addressFromString(std::string_view Text);

} // namespace camphorwind::base

#endif // CAMPHORWIND_BASE_ADDRESS_H
