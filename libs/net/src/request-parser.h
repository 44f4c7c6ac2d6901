#ifndef CAMPHORWIND_NET_SRC_REQUEST_PARSER_H
#define CAMPHORWIND_NET_SRC_REQUEST_PARSER_H

#include "camphorwind/net/http.h"
#include "parse.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace camphorwind::net::detail {

/// Request line and header section.
struct RequestHead {
  std::string Method_;
  std::string Target_;
  HttpHeaders Headers_;
  /// Length of the body; unset if it is not announced.
  std::optional<std::uint64_t> BodyBytes_;
  bool IsHttp10_ = false;
  /// The caller may send another request on the connection.
  bool KeepAlive_ = true;
};

/// Takes what a RequestParser finds. Parsing fails once a function returns
/// false.
class RequestSink {
public:
  virtual ~RequestSink() = default;
  virtual bool onHead(RequestHead Head) = 0;
  virtual bool onBody(std::string_view Data) = 0;
};

/// Parses one HTTP request as its bytes arrive.
class RequestParser {
public:
  /// \p MaxHeadBytes bounds the head, and each chunk's header and the trailers.
  RequestParser(std::uint32_t MaxHeadBytes, RequestSink &Sink);
  ~RequestParser();

  /// Takes bytes; those left over stay in \p Input.
  ParseState put(std::string &Input);
  bool headDone() const;
  /// Whether parsing failed because the header section is too large.
  bool headTooLarge() const { return HeadTooLarge_; }
  /// Returns the memory that the fields of an unfinished head take, roughly.
  std::size_t memoryBytes() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Inner_;
  std::size_t MaxHeadBytes_;
  std::size_t HeadBytes_ = 0;
  bool HeadTooLarge_ = false;
};

} // namespace camphorwind::net::detail

#endif // CAMPHORWIND_NET_SRC_REQUEST_PARSER_H
