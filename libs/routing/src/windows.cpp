#include "camphorwind/routing/windows.h"

namespace camphorwind::routing {

void Windows::open(EndpointIndex Endpoint, std::uint32_t Limit) {
  if (Endpoint >= Windows_.size())
    Windows_.resize(Endpoint + 1);
  Windows_[Endpoint] = {Limit, 0};
}

void Windows::close(EndpointIndex Endpoint) { Windows_[Endpoint] = {}; }

void Windows::setLimit(EndpointIndex Endpoint, std::uint32_t Limit) {
  Windows_[Endpoint].Limit_ = Limit;
}

bool Windows::hasRoom(EndpointIndex Endpoint) const {
  return Windows_[Endpoint].InFlight_ < Windows_[Endpoint].Limit_;
}

bool Windows::acquire(EndpointIndex Endpoint) {
  if (!hasRoom(Endpoint))
    return false;
  ++Windows_[Endpoint].InFlight_;
  return true;
}

void Windows::release(EndpointIndex Endpoint) {
  if (Windows_[Endpoint].InFlight_ > 0)
    --Windows_[Endpoint].InFlight_;
}

std::uint32_t Windows::inFlight(EndpointIndex Endpoint) const {
  return Windows_[Endpoint].InFlight_;
}

std::uint32_t Windows::limit(EndpointIndex Endpoint) const {
  return Windows_[Endpoint].Limit_;
}

} // namespace camphorwind::routing
