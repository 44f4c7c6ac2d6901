#ifndef CAMPHORWIND_BASE_RESULT_H
#define CAMPHORWIND_BASE_RESULT_H

#include <boost/outcome.hpp>

#include <string>
#include <string_view>

namespace camphorwind::base {

/// Either a value or a typed failure. Checked access is the caller's duty:
/// test with `if (!R)` before `R.value()`.
template <class T, class E>
using Result = BOOST_OUTCOME_V2_NAMESPACE::unchecked<T, E>;

/// Make a result that holds a value, or a failure, where a Result is returned.
using BOOST_OUTCOME_V2_NAMESPACE::failure;
using BOOST_OUTCOME_V2_NAMESPACE::success;

/// Kinds of failure of an operation on the operating system or a library.
enum class IoErrorKind {
  InvalidArgument,
  AddressInUse,
  Connect,
  Refused, ///< Nothing listens at the address.
  ResourceLimit,
  Protocol,
  Timeout,
  Closed,
  Library,
};

/// Returns the name of \p Kind as used in logs, such as "address_in_use".
std::string_view toString(IoErrorKind Kind);

/// A failed operation on the operating system or a library.
struct IoError {
  IoErrorKind Kind_ = IoErrorKind::Library;
  /// What was being done, and the system's or library's own message.
  std::string Detail_;
};

} // namespace camphorwind::base

#endif // CAMPHORWIND_BASE_RESULT_H
