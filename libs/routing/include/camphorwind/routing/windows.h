#ifndef CAMPHORWIND_ROUTING_WINDOWS_H
#define CAMPHORWIND_ROUTING_WINDOWS_H

#include "camphorwind/routing/prefix-view.h"

#include <cstdint>
#include <vector>

namespace camphorwind::routing {

/// Limits how many requests this router has in flight at each endpoint.
class Windows {
public:
  /// Adds an endpoint with no requests in flight.
  void open(EndpointIndex Endpoint, std::uint32_t Limit);
  /// Resets the endpoint's limit and requests in flight to zero.
  void close(EndpointIndex Endpoint);
  /// Sets the maximum number of requests in flight. Requests beyond a lowered
  /// limit keep running.
  void setLimit(EndpointIndex Endpoint, std::uint32_t Limit);

  /// Returns whether another request may be sent.
  bool hasRoom(EndpointIndex Endpoint) const;
  /// Counts one more request in flight and returns true, or returns false if
  /// that would exceed the limit.
  bool acquire(EndpointIndex Endpoint);
  /// Counts one request less in flight; does nothing at zero.
  void release(EndpointIndex Endpoint);

  std::uint32_t inFlight(EndpointIndex Endpoint) const;
  std::uint32_t limit(EndpointIndex Endpoint) const;

private:
  struct Window {
    std::uint32_t Limit_ = 0;
    std::uint32_t InFlight_ = 0;
  };
  std::vector<Window> Windows_;
};

} // namespace camphorwind::routing

#endif // CAMPHORWIND_ROUTING_WINDOWS_H
