#include "camphorwind/routing/prompt-cache.h"

namespace camphorwind::routing {

std::uint32_t
PromptCache::cachedTokens(std::span<const PromptPart> Prompt) const {
  std::uint32_t Cached = 0;
  for (const PromptPart &Part : Prompt) {
    if (!Entries_.contains(Part.Id_))
      break;
    Cached += Part.Tokens_;
  }
  return Cached;
}

void PromptCache::add(std::span<const PromptPart> Prompt) {
  // Go backwards, so that the first parts, which most requests share, are
  // marked as used last and are evicted last.
  for (auto Part = Prompt.rbegin(); Part != Prompt.rend(); ++Part) {
    auto [Found, Inserted] = Entries_.try_emplace(Part->Id_);
    if (Inserted) {
      RecentlyUsed_.push_front(Part->Id_);
      Found->second = {Part->Tokens_, RecentlyUsed_.begin()};
      Tokens_ += Part->Tokens_;
    } else {
      RecentlyUsed_.splice(RecentlyUsed_.begin(), RecentlyUsed_,
                           Found->second.Position_);
    }
  }
  evict();
}

void PromptCache::evict() {
  while (Tokens_ > Capacity_ && !RecentlyUsed_.empty()) {
    auto Found = Entries_.find(RecentlyUsed_.back());
    Tokens_ -= Found->second.Tokens_;
    Entries_.erase(Found);
    RecentlyUsed_.pop_back();
  }
}

void PromptCache::clear() {
  Entries_.clear();
  RecentlyUsed_.clear();
  Tokens_ = 0;
}

} // namespace camphorwind::routing
