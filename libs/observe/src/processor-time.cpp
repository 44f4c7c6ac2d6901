#include "camphorwind/observe/processor-time.h"

#include <ctime>

namespace camphorwind::observe {

base::Duration processorTime() {
  timespec Used{};
  if (::clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &Used) != 0)
    return base::Duration::zero();
  return std::chrono::seconds(Used.tv_sec) +
         std::chrono::nanoseconds(Used.tv_nsec);
}

} // namespace camphorwind::observe
