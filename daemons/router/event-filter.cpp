#include "event-filter.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace camphorwind::router {

namespace {

constexpr std::string_view EventEnd = "\n\n";
constexpr std::string_view DataPrefix = "data:";
constexpr std::string_view DoneMark = "[DONE]";

/// True for an event that carries the usage and no part of the answer.
bool isUsageOnly(std::string_view Event) {
  if (Event.find("\"usage\"") == std::string_view::npos ||
      Event.substr(0, DataPrefix.size()) != DataPrefix)
    return false;
  nlohmann::json Body =
      nlohmann::json::parse(Event.substr(DataPrefix.size()), nullptr, false);
  if (!Body.is_object())
    return false;
  auto Choices = Body.find("choices");
  return Choices != Body.end() && Choices->is_array() && Choices->empty();
}

bool isDone(std::string_view Event) {
  if (Event.substr(0, DataPrefix.size()) != DataPrefix)
    return false;
  std::size_t Start = Event.find_first_not_of(' ', DataPrefix.size());
  return Start != std::string_view::npos &&
         Event.substr(Start, DoneMark.size()) == DoneMark;
}

} // namespace

std::string EventFilter::feed(std::string_view Bytes) {
  std::string Now;
  // The end mark may be split between two feeds.
  std::size_t From = Partial_.empty() ? 0 : Partial_.size() - 1;
  Partial_.append(Bytes);
  std::size_t Start = 0;
  for (;;) {
    std::size_t End = Partial_.find(EventEnd, std::max(From, Start));
    if (End == std::string::npos)
      break;
    End += EventEnd.size();
    takeEvent(std::string_view(Partial_).substr(Start, End - Start), Now);
    Start = End;
  }
  Partial_.erase(0, Start);
  return Now;
}

std::string EventFilter::finish() {
  return std::exchange(Kept_, {}) + std::exchange(Partial_, {});
}

void EventFilter::takeEvent(std::string_view Event, std::string &Now) {
  bool UsageOnly = isUsageOnly(Event);
  if (UsageOnly && !WantsUsage_)
    return;
  // Nothing overtakes an event that is kept back.
  if (UsageOnly || isDone(Event) || !Kept_.empty())
    Kept_ += Event;
  else
    Now += Event;
}

} // namespace camphorwind::router
