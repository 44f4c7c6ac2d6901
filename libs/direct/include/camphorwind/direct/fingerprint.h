#ifndef CAMPHORWIND_DIRECT_FINGERPRINT_H
#define CAMPHORWIND_DIRECT_FINGERPRINT_H

#include <cstdint>
#include <string_view>

namespace camphorwind::direct {

/// What makes two requests the same for an endpoint, whichever attempt of a
/// caller they are.
struct RequestContent {
  std::string_view Method_;
  std::string_view Host_;
  /// Path and query.
  std::string_view Target_;
  /// Empty if the request has no account.
  std::string_view Account_;
  std::string_view Body_;
};

/// Returns a hash that is equal for equal requests, on all routers.
std::uint64_t fingerprint(const RequestContent &Request);

} // namespace camphorwind::direct

#endif // CAMPHORWIND_DIRECT_FINGERPRINT_H
