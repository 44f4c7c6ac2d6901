#ifndef CAMPHORWIND_DAEMONS_ROUTER_EVENT_FILTER_H
#define CAMPHORWIND_DAEMONS_ROUTER_EVENT_FILTER_H

#include <string>
#include <string_view>

namespace camphorwind::router {

/// Passes a stream of events on to a caller, and keeps its end back until the
/// answer is billed: a caller that has seen `[DONE]` has paid.
class EventFilter {
public:
  /// Drops the usage event unless \p WantsUsage.
  explicit EventFilter(bool WantsUsage) : WantsUsage_(WantsUsage) {}

  /// Takes bytes of the answer, returns those to send now.
  std::string feed(std::string_view Bytes);
  /// The answer is billed: returns what was kept back.
  std::string finish();

private:
  void takeEvent(std::string_view Event, std::string &Now);

  bool WantsUsage_;
  /// An event whose end has not come.
  std::string Partial_;
  std::string Kept_;
};

} // namespace camphorwind::router

#endif // CAMPHORWIND_DAEMONS_ROUTER_EVENT_FILTER_H
