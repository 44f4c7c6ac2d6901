#include "camphorwind/direct/event-stream.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace camphorwind::direct {

namespace {

/// Returns the end of the first whole event at or after \p From, or npos. An
/// event ends with an empty line; lines end with LF or CRLF.
std::size_t endOfEvent(std::string_view Text, std::size_t From) {
  for (std::size_t End = Text.find('\n', From); End != std::string_view::npos;
       End = Text.find('\n', End + 1)) {
    std::size_t Next = End + 1;
    if (Next < Text.size() && Text[Next] == '\r')
      ++Next;
    if (Next < Text.size() && Text[Next] == '\n')
      return Next + 1;
  }
  return std::string_view::npos;
}

std::optional<std::uint64_t> idOf(std::string_view Event) {
  constexpr std::string_view Field = "id:";
  std::optional<std::uint64_t> Found;
  while (!Event.empty()) {
    std::size_t End = std::min(Event.find('\n'), Event.size());
    std::string_view Line = Event.substr(0, End);
    Event.remove_prefix(std::min(End + 1, Event.size()));
    if (!Line.starts_with(Field))
      continue;
    Line.remove_prefix(Field.size());
    if (Line.starts_with(' '))
      Line.remove_prefix(1);
    std::uint64_t Value = 0;
    auto [Stop, Error] =
        std::from_chars(Line.data(), Line.data() + Line.size(), Value);
    if (Error == std::errc())
      Found = Value;
  }
  return Found;
}

} // namespace

void EventStream::note(std::string_view Event) {
  ++Events_;
  if (auto Id = idOf(Event))
    LastId_ = Id;
}

std::string EventStream::take(std::string_view Data) {
  Unfinished_.append(Data);
  std::size_t Whole = 0;
  std::size_t From = Searched_;
  for (std::size_t End = endOfEvent(Unfinished_, From);
       End != std::string_view::npos; End = endOfEvent(Unfinished_, Whole)) {
    note(std::string_view(Unfinished_).substr(Whole, End - Whole));
    Whole = End;
  }
  // The empty line may be cut by the end of the bytes: LF, CR.
  constexpr std::size_t LongestEnd = 3;
  std::string Events = Unfinished_.substr(0, Whole);
  Unfinished_.erase(0, Whole);
  Searched_ =
      Unfinished_.size() > LongestEnd ? Unfinished_.size() - LongestEnd : 0;
  return Events;
}

std::string EventStream::finish() {
  Searched_ = 0;
  return std::exchange(Unfinished_, {});
}

} // namespace camphorwind::direct
