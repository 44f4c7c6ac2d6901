#include "camphorwind/base/result.h"

namespace camphorwind::base {

std::string_view toString(IoErrorKind Kind) {
  switch (Kind) {
  case IoErrorKind::InvalidArgument:
    return "invalid_argument";
  case IoErrorKind::AddressInUse:
    return "address_in_use";
  case IoErrorKind::Refused:
    return "refused";
  case IoErrorKind::Connect:
    return "connect";
  case IoErrorKind::ResourceLimit:
    return "resource_limit";
  case IoErrorKind::Protocol:
    return "protocol";
  case IoErrorKind::Timeout:
    return "timeout";
  case IoErrorKind::Closed:
    return "closed";
  case IoErrorKind::Library:
    return "library";
  }
  return "invalid";
}

} // namespace camphorwind::base
