#include "camphorwind/routing/prompt-cache.h"

namespace camphorwind::routing {

std::uint32_t
PromptCache::cachedTokens(std::span<const PromptPart> Prompt) const {
  std::uint32_t Sum = 0;
  for (const PromptPart &Part : Prompt) {
    if (!Entries_.contains(Part.Id_))
      break;
    Sum += Part.Tokens_;
  }
  return Sum;
}

void PromptCache::add(std::span<const PromptPart> Prompt) {
  // Backwards, so that the parts shared most are used most recently.
  for (auto Part = Prompt.rbegin(); Part != Prompt.rend(); ++Part) {
    auto [Found, New] = Entries_.try_emplace(Part->Id_);
    if (New) {
      Order_.push_front(Part->Id_);
      Found->second = {Part->Tokens_, Order_.begin()};
      Tokens_ += Part->Tokens_;
    } else {
      Order_.splice(Order_.begin(), Order_, Found->second.Place_);
    }
  }
  evict();
}

void PromptCache::evict() {
  while (Tokens_ > Capacity_ && !Order_.empty()) {
    auto Found = Entries_.find(Order_.back());
    Tokens_ -= Found->second.Tokens_;
    Entries_.erase(Found);
    Order_.pop_back();
  }
}

void PromptCache::clear() {
  Entries_.clear();
  Order_.clear();
  Tokens_ = 0;
}

} // namespace camphorwind::routing
