#ifndef CAMPHORWIND_NET_RESPONSE_PARSER_H
#define CAMPHORWIND_NET_RESPONSE_PARSER_H

#include "camphorwind/net/origin-client.h"
#include "parse.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace camphorwind::net::detail {

/// Parses one HTTP answer as its bytes arrive.
class ResponseParser {
public:
  struct Events {
    std::function<void(const OriginHead &)> OnHead_;
    std::function<void(std::string_view)> OnBody_;
  };

  ResponseParser(std::uint32_t HeaderBytes, bool HeadRequest, Events Sink);
  ~ResponseParser();

  /// Takes bytes; those left over stay in \p Input.
  ParseState put(std::string &Input);
  /// The connection was closed in an orderly way.
  ParseState putEnd();
  /// Whether the connection may carry another request after this answer.
  bool keepAlive() const;
  bool started() const;
  const std::string &error() const { return Error_; }

private:
  struct Impl;
  std::unique_ptr<Impl> Inner_;
  std::string Error_;
};

} // namespace camphorwind::net::detail

#endif // CAMPHORWIND_NET_RESPONSE_PARSER_H
