#ifndef CAMPHORWIND_CONFIG_FAULT_H
#define CAMPHORWIND_CONFIG_FAULT_H

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace camphorwind::config {

/// What kind of rule a settings file breaks.
enum class FaultKind {
  Syntax,           ///< Not JSON with comments.
  TooLarge,         ///< Longer or nested deeper than accepted.
  DuplicateKey,     ///< A key stands twice in one object.
  UnknownKey,       ///< The key means nothing here.
  MissingKey,       ///< A required key is absent.
  WrongType,        ///< A value of another JSON type.
  OutOfRange,       ///< A number or duration outside its bounds.
  NotAllowed,       ///< A well-typed value that the rule excludes.
  UnknownReference, ///< Names something that the file does not define.
};

/// Returns the name of \p Kind, such as "unknown_key".
std::string_view toString(FaultKind Kind);

/// One broken rule, with everything needed to mend it.
struct Fault {
  FaultKind Kind_ = FaultKind::Syntax;
  std::string File_;
  /// Counted from 1.
  std::size_t Line_ = 1;
  /// Such as `pools.language.endpoints.e1.address`; empty for the whole file.
  std::string KeyPath_;
  /// What stands in the file.
  std::string Found_;
  /// What may stand there.
  std::string Allowed_;
  /// The nearest allowed name, or empty.
  std::string Nearest_;

  friend bool operator==(const Fault &, const Fault &) = default;
};

/// Every broken rule of one file, in line order.
using Faults = std::vector<Fault>;

/// Returns `FILE:LINE: KEYPATH: found ...; allowed: ...; did you mean "..."?`.
std::string toString(const Fault &Value);

/// Returns the one of \p Candidates that differs least from \p Name, or an
/// empty view if none comes close enough to be a likely slip.
std::string_view nearestName(std::string_view Name,
                             const std::vector<std::string> &Candidates);

} // namespace camphorwind::config

#endif // CAMPHORWIND_CONFIG_FAULT_H
