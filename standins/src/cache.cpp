#include "camphorwind/standins/cache.h"

namespace camphorwind::standins {

namespace {

constexpr std::size_t KeptEvents = 10000;

} // namespace

std::size_t PrefixCache::use(const std::vector<std::uint64_t> &Blocks) {
  std::size_t Hits = 0;
  while (Hits < Blocks.size() && Places_.count(Blocks[Hits]) != 0)
    ++Hits;
  for (std::uint64_t Block : Blocks) {
    auto Found = Places_.find(Block);
    if (Found == Places_.end())
      store(Block);
    else
      Order_.splice(Order_.begin(), Order_, Found->second);
  }
  return Hits;
}

std::vector<CacheEvent> PrefixCache::eventsSince(std::uint64_t Sequence) const {
  std::vector<CacheEvent> Found;
  for (const CacheEvent &Event : Events_)
    if (Event.Sequence_ > Sequence)
      Found.push_back(Event);
  return Found;
}

void PrefixCache::record(bool Stored, std::uint64_t Block) {
  Events_.push_back({++LastSequence_, Stored, Block});
  if (Events_.size() > KeptEvents)
    Events_.pop_front();
}

void PrefixCache::store(std::uint64_t Block) {
  if (Capacity_ == 0)
    return;
  if (Places_.size() >= Capacity_) {
    record(/*Stored=*/false, Order_.back());
    Places_.erase(Order_.back());
    Order_.pop_back();
  }
  Order_.push_front(Block);
  Places_[Block] = Order_.begin();
  record(/*Stored=*/true, Block);
}

} // namespace camphorwind::standins
