#ifndef CAMPHORWIND_DIRECT_EVENT_STREAM_H
#define CAMPHORWIND_DIRECT_EVENT_STREAM_H

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// Splits a stream of server-sent events into complete events.
namespace camphorwind::direct {

/// Buffers the bytes of an incomplete event, so that a stream that breaks off
/// can be resumed after the last complete event.
class EventStream {
public:
  /// \p ResumeAfter is the id of the last event that the caller has received.
  explicit EventStream(std::optional<std::uint64_t> ResumeAfter = std::nullopt)
      : LastId_(ResumeAfter) {}

  /// Appends received bytes; returns the events that they complete, unchanged,
  /// with the comments before them. A comment of its own is no event, but is
  /// returned too.
  std::string append(std::string_view Data);
  /// Returns the buffered bytes after the last complete event, or nothing if
  /// the stream ended inside an event. Empty lines and comments belong to no
  /// event. Call when the response has ended without an error.
  std::optional<std::string> finish();
  /// Discards the incomplete event, and goes on with those of another response.
  /// Call when the stream breaks off.
  void discardUnfinished() {
    Unfinished_.clear();
    SearchFrom_ = 0;
    Joining_ = EventCount_ > 0;
    Repeated_ = false;
  }
  /// Whether the response after a break did not go on behind lastId(). Its
  /// events are not returned.
  bool repeated() const { return Repeated_; }

  /// Number of bytes after the last complete event.
  std::size_t unfinishedBytes() const { return Unfinished_.size(); }
  /// Id of the last complete event that has one; before the first of them, the
  /// id to resume after.
  const std::optional<std::uint64_t> &lastId() const { return LastId_; }
  /// Number of complete events.
  std::uint64_t eventCount() const { return EventCount_; }

private:
  /// Returns false if the event is one that the caller has.
  bool countEvent(std::string_view Event);

  std::string Unfinished_;
  /// Offset in Unfinished_ at which to search for the end of the event.
  std::size_t SearchFrom_ = 0;
  std::optional<std::uint64_t> LastId_;
  std::uint64_t EventCount_ = 0;
  /// No event with an id has come since the stream broke off.
  bool Joining_ = false;
  bool Repeated_ = false;
};

} // namespace camphorwind::direct

#endif // CAMPHORWIND_DIRECT_EVENT_STREAM_H
