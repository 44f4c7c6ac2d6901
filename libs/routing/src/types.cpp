#include "camphorwind/routing/types.h"

namespace camphorwind::routing {

std::string_view toString(Priority Value) {
  switch (Value) {
  case Priority::Interactive:
    return "interactive";
  case Priority::Standard:
    return "standard";
  case Priority::Batch:
    return "batch";
  }
  return "invalid";
}

std::string_view toString(FailureKind Kind) {
  switch (Kind) {
  case FailureKind::Refused:
    return "refused";
  case FailureKind::Failed:
    return "failed";
  case FailureKind::Stalled:
    return "stalled";
  case FailureKind::LinkLost:
    return "link_lost";
  case FailureKind::NotServing:
    return "not_serving";
  case FailureKind::Cancelled:
    return "cancelled";
  }
  return "invalid";
}

std::string_view toString(EjectionReason Reason) {
  switch (Reason) {
  case EjectionReason::ConsecutiveFailures:
    return "consecutive_failures";
  case EjectionReason::FailureRate:
    return "failure_rate";
  case EjectionReason::Slow:
    return "slow";
  case EjectionReason::Silent:
    return "silent";
  }
  return "invalid";
}

} // namespace camphorwind::routing
