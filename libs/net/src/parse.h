#ifndef CAMPHORWIND_NET_SRC_PARSE_H
#define CAMPHORWIND_NET_SRC_PARSE_H

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>

#include <cstddef>
#include <string>
#include <string_view>

namespace camphorwind::net::detail {

/// What a parser found in the bytes it was given.
enum class ParseState {
  NeedMore,
  Complete,
  /// The bytes are no HTTP message, or the input ended inside one.
  Failed,
};

inline std::string_view view(boost::beast::string_view Text) {
  return {Text.data(), Text.size()};
}

/// Gives \p Input to a parser of Beast; bytes left over stay in \p Input.
/// \p Error is set if the result is ParseState::Failed.
template <class BeastParser>
ParseState putInput(BeastParser &Parser, std::string &Input,
                    boost::beast::error_code &Error) {
  std::size_t Used = 0;
  while (Used < Input.size() && !Parser.is_done()) {
    Error = {};
    std::size_t Taken = Parser.put(
        boost::asio::const_buffer(Input.data() + Used, Input.size() - Used),
        Error);
    Used += Taken;
    if (Error == boost::beast::http::error::need_more)
      break;
    if (Error)
      return ParseState::Failed;
    if (Taken == 0)
      break;
  }
  Input.erase(0, Used);
  return Parser.is_done() ? ParseState::Complete : ParseState::NeedMore;
}

} // namespace camphorwind::net::detail

#endif // CAMPHORWIND_NET_SRC_PARSE_H
