#include "camphorwind/direct/event-stream.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace camphorwind::direct {

namespace {

/// Returns the offset after the first empty line found from \p From on, which
/// ends an event, or npos. Lines end with LF or CRLF.
std::size_t findEventEnd(std::string_view Text, std::size_t From) {
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

/// Returns the last numeric `id` field of the event, if any.
std::optional<std::uint64_t> parseEventId(std::string_view Event) {
  constexpr std::string_view IdField = "id:";
  std::optional<std::uint64_t> Id;
  while (!Event.empty()) {
    std::size_t End = std::min(Event.find('\n'), Event.size());
    std::string_view Line = Event.substr(0, End);
    Event.remove_prefix(std::min(End + 1, Event.size()));
    if (!Line.starts_with(IdField))
      continue;
    Line.remove_prefix(IdField.size());
    if (Line.starts_with(' '))
      Line.remove_prefix(1);
    std::uint64_t Value = 0;
    auto [ParseEnd, Error] =
        std::from_chars(Line.data(), Line.data() + Line.size(), Value);
    if (Error == std::errc())
      Id = Value;
  }
  return Id;
}

/// Whether \p Text consists of whole lines that belong to no event.
bool isOutsideEvents(std::string_view Text) {
  while (!Text.empty()) {
    std::size_t End = Text.find('\n');
    if (End == std::string_view::npos)
      return false;
    std::string_view Line = Text.substr(0, End);
    if (!Line.empty() && Line != "\r" && !Line.starts_with(':'))
      return false;
    Text.remove_prefix(End + 1);
  }
  return true;
}

} // namespace

bool EventStream::countEvent(std::string_view Event) {
  if (isOutsideEvents(Event))
    return true;
  auto Id = parseEventId(Event);
  if (Joining_ && Id && LastId_ && *Id <= *LastId_)
    return false;
  ++EventCount_;
  if (Id) {
    LastId_ = Id;
    Joining_ = false;
  }
  return true;
}

std::string EventStream::append(std::string_view Data) {
  if (Repeated_)
    return {};
  Unfinished_.append(Data);
  std::size_t CompleteBytes = 0;
  std::size_t From = SearchFrom_;
  for (std::size_t End = findEventEnd(Unfinished_, From);
       End != std::string_view::npos;
       End = findEventEnd(Unfinished_, CompleteBytes)) {
    Repeated_ = !countEvent(std::string_view(Unfinished_)
                                .substr(CompleteBytes, End - CompleteBytes));
    if (Repeated_)
      break;
    CompleteBytes = End;
  }
  // The terminator LF CR LF may be split between two reads, so the next search
  // starts before the end of the buffered bytes.
  constexpr std::size_t MaxTerminatorBytes = 3;
  std::string Events = Unfinished_.substr(0, CompleteBytes);
  Unfinished_.erase(0, CompleteBytes);
  SearchFrom_ = Unfinished_.size() > MaxTerminatorBytes
                    ? Unfinished_.size() - MaxTerminatorBytes
                    : 0;
  return Events;
}

std::optional<std::string> EventStream::finish() {
  if (!isOutsideEvents(Unfinished_))
    return std::nullopt;
  SearchFrom_ = 0;
  return std::exchange(Unfinished_, {});
}

} // namespace camphorwind::direct
