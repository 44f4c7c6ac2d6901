#include "slice-cache.h"

#include <iterator>
#include <utility>

namespace camphorwind::budget::detail {

const std::optional<SliceRow> &SliceCache::decode(const base::Row &Found) {
  auto [Place, New] = Entries_.try_emplace(Found.Key_);
  Entry &Cached = Place->second;
  Cached.Used_ = true;
  if (New || Cached.Version_ != Found.Version_) {
    Cached.Version_ = Found.Version_;
    Cached.Slice_ = decodeSlice(Found.Value_);
    ++DecodedRows_;
  }
  return Cached.Slice_;
}

void SliceCache::sweep() {
  for (auto Each = Entries_.begin(); Each != Entries_.end();)
    Each = std::exchange(Each->second.Used_, false) ? std::next(Each)
                                                    : Entries_.erase(Each);
}

} // namespace camphorwind::budget::detail
