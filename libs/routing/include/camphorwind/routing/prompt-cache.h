#ifndef CAMPHORWIND_ROUTING_PROMPT_CACHE_H
#define CAMPHORWIND_ROUTING_PROMPT_CACHE_H

#include <cstddef>
#include <cstdint>
#include <list>
#include <span>
#include <unordered_map>

namespace camphorwind::routing {

/// A consecutive part of a prompt that several requests may share.
struct PromptPart {
  /// Equal in all prompts that share the part.
  std::uint64_t Id_ = 0;
  std::uint32_t Tokens_ = 0;
};

/// Estimates which prompt parts one engine has cached from the prompts sent to
/// it. Evicts the least recently used parts.
class PromptCache {
public:
  explicit PromptCache(std::uint64_t CapacityTokens)
      : Capacity_(CapacityTokens) {}

  /// Returns the tokens of the leading parts that are cached. A part counts
  /// only if all parts before it are cached too.
  std::uint32_t cachedTokens(std::span<const PromptPart> Prompt) const;
  /// Records that the engine processes this prompt.
  void add(std::span<const PromptPart> Prompt);
  void clear();
  /// Returns the tokens of all cached parts.
  std::uint64_t tokens() const { return Tokens_; }

private:
  struct Entry {
    std::uint32_t Tokens_ = 0;
    std::list<std::uint64_t>::iterator Position_;
  };

  void evict();

  std::uint64_t Capacity_;
  std::uint64_t Tokens_ = 0;
  std::unordered_map<std::uint64_t, Entry> Entries_;
  /// Part ids, most recently used first.
  std::list<std::uint64_t> RecentlyUsed_;
};

} // namespace camphorwind::routing

#endif // CAMPHORWIND_ROUTING_PROMPT_CACHE_H
