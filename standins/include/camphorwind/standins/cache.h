#ifndef CAMPHORWIND_STANDINS_CACHE_H
#define CAMPHORWIND_STANDINS_CACHE_H

#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <unordered_map>
#include <vector>

namespace camphorwind::standins {

/// A prefix block that entered or left the cache.
struct CacheEvent {
  std::uint64_t Sequence_ = 0;
  bool Stored_ = false;
  std::uint64_t Block_ = 0;
};

/// Prompt prefixes in limited memory: least recently used blocks leave first.
class PrefixCache {
public:
  explicit PrefixCache(std::size_t Capacity) : Capacity_(Capacity) {}

  /// Uses the blocks of a prompt, storing those that are missing. Returns how
  /// many of the first blocks were cached.
  std::size_t use(const std::vector<std::uint64_t> &Blocks);
  /// Returns the kept events with a higher sequence number than \p Sequence;
  /// older ones may be gone.
  std::vector<CacheEvent> eventsSince(std::uint64_t Sequence) const;
  std::uint64_t lastSequence() const { return LastSequence_; }

private:
  void record(bool Stored, std::uint64_t Block);
  void store(std::uint64_t Block);

  std::size_t Capacity_;
  /// Most recently used first.
  std::list<std::uint64_t> Order_;
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> Places_;
  std::deque<CacheEvent> Events_;
  std::uint64_t LastSequence_ = 0;
};

} // namespace camphorwind::standins

#endif // CAMPHORWIND_STANDINS_CACHE_H
