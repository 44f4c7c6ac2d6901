#ifndef CAMPHORWIND_OBSERVE_PROCESSOR_TIME_H
#define CAMPHORWIND_OBSERVE_PROCESSOR_TIME_H

#include "camphorwind/base/time.h"

namespace camphorwind::observe {

/// Returns the processor time that this process has used since its start.
base::Duration processorTime();

} // namespace camphorwind::observe

#endif // CAMPHORWIND_OBSERVE_PROCESSOR_TIME_H
