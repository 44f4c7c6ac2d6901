#ifndef CAMPHORWIND_DIRECT_EVENT_STREAM_H
#define CAMPHORWIND_DIRECT_EVENT_STREAM_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// Cuts a stream of server-sent events into whole events.
namespace camphorwind::direct {

/// Holds back the bytes of an unfinished event, so that a stream that breaks
/// off can go on at the event after the last whole one.
class EventStream {
public:
  /// \p ResumeAfter is the last event that the caller has already.
  explicit EventStream(std::optional<std::uint64_t> ResumeAfter = std::nullopt)
      : LastId_(ResumeAfter) {}

  /// Takes bytes; returns the whole events that are complete with them.
  std::string append(std::string_view Data);
  /// Returns what is left at the end of a stream that ended as it should.
  std::string finish();
  /// The stream broke off: forgets the unfinished event.
  void discardUnfinished() {
    Unfinished_.clear();
    SearchFrom_ = 0;
  }

  /// Id of the last whole event, or of the one to resume after.
  const std::optional<std::uint64_t> &lastId() const { return LastId_; }
  /// Whole events taken.
  std::uint64_t eventCount() const { return EventCount_; }

private:
  void countEvent(std::string_view Event);

  std::string Unfinished_;
  /// Where the search for the end of the event goes on.
  std::size_t SearchFrom_ = 0;
  std::optional<std::uint64_t> LastId_;
  std::uint64_t EventCount_ = 0;
};

} // namespace camphorwind::direct

#endif // CAMPHORWIND_DIRECT_EVENT_STREAM_H
