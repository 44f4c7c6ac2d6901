#ifndef CAMPHORWIND_CONFIG_DETAIL_DOCUMENT_H
#define CAMPHORWIND_CONFIG_DETAIL_DOCUMENT_H

#include "camphorwind/base/result.h"
#include "camphorwind/config/fault.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace camphorwind::config::detail {

struct Member;

/// A JSON value that knows the line it stands on.
struct Node {
  using List = std::vector<Node>;
  using Object = std::vector<Member>;

  std::size_t Line_ = 1;
  std::variant<std::monostate, bool, std::int64_t, double, std::string, List,
               Object>
      Value_;
};

/// A key of an object with its value.
struct Member {
  std::string Key_;
  std::size_t Line_ = 1;
  Node Value_;
};

/// Longest text accepted, in bytes.
inline constexpr std::size_t MaxDocumentBytes = 64UL * 1024 * 1024;
/// Deepest nesting of lists and objects accepted.
inline constexpr std::size_t MaxDocumentDepth = 32;

/// Parses JSON with `//` and `/* */` comments. Keeps the last of duplicate
/// keys, and reports every duplicate besides a syntax fault.
base::Result<Node, Faults> parseDocument(std::string_view Text,
                                         const std::string &FileName);

/// Describes \p Value for a fault: its text shortened, or its type.
std::string describe(const Node &Value);

} // namespace camphorwind::config::detail

#endif // CAMPHORWIND_CONFIG_DETAIL_DOCUMENT_H
