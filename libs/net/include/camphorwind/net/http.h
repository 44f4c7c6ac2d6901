#ifndef CAMPHORWIND_NET_HTTP_H
#define CAMPHORWIND_NET_HTTP_H

#include "camphorwind/base/time.h"

#include <chrono>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// HTTP messages as the server and the client exchange them.
namespace camphorwind::net {

/// Header fields in the order received. Names compare without case.
class HttpHeaders {
public:
  HttpHeaders() = default;
  HttpHeaders(std::initializer_list<std::pair<std::string, std::string>> Fields)
      : Fields_(Fields) {}

  void add(std::string Name, std::string Value);
  /// Returns the first field with this name.
  std::optional<std::string_view> find(std::string_view Name) const;
  const std::vector<std::pair<std::string, std::string>> &fields() const {
    return Fields_;
  }
  /// Returns the memory that the fields take.
  std::size_t memoryBytes() const;

private:
  std::vector<std::pair<std::string, std::string>> Fields_;
};

/// A request received whole.
struct HttpRequest {
  std::string Method_;
  /// Path and query exactly as sent.
  std::string Target_;
  /// Path without the query, as sent.
  std::string Path_;
  /// Decoded query arguments.
  HttpHeaders Query_;
  HttpHeaders Headers_;
  std::string Body_;
  /// When the server read the header section.
  base::TimePoint HeadReadAt_{};
  /// Time for which the header section had waited in the socket by then; 0 if
  /// the system does not tell.
  std::chrono::milliseconds SocketWait_{0};
  /// The caller sent the request before it had the answer to the one before, so
  /// that SocketWait_ is not this server's doing.
  bool Pipelined_ = false;
  /// Counts the request's memory for its server until the last copy is
  /// destroyed.
  std::shared_ptr<void> Charge_ = nullptr;

  /// When the header section reached this host.
  base::TimePoint arrivedAt() const { return HeadReadAt_ - SocketWait_; }
};

/// An answer sent whole.
struct HttpAnswer {
  unsigned Status_ = 200;
  HttpHeaders Headers_;
  std::string Body_;
  /// Released once the answer is out, or its caller is gone.
  std::shared_ptr<void> Charge_ = nullptr;
};

/// Whether an answer may have the status (RFC 9110, section 15).
constexpr bool isHttpStatus(long Status) {
  constexpr long Lowest = 100;
  constexpr long Highest = 599;
  return Status >= Lowest && Status <= Highest;
}

/// Returns an answer that carries JSON text.
HttpAnswer jsonAnswer(unsigned Status, std::string Body);

} // namespace camphorwind::net

#endif // CAMPHORWIND_NET_HTTP_H
