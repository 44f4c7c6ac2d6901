#include "camphorwind/routing/prefix-view.h"

#include <algorithm>
#include <bit>

namespace camphorwind::routing {

void PrefixMatches::add(EndpointIndex Endpoint, std::uint16_t Blocks) {
  for (std::size_t Index = 0; Index < Size_; ++Index)
    if (Items_[Index].Endpoint_ == Endpoint) {
      Items_[Index].Blocks_ = std::max(Items_[Index].Blocks_, Blocks);
      return;
    }
  if (Size_ < Capacity)
    Items_[Size_++] = {Endpoint, Blocks};
}

std::uint16_t PrefixMatches::at(EndpointIndex Endpoint) const {
  for (const PrefixMatch &Match : all())
    if (Match.Endpoint_ == Endpoint)
      return Match.Blocks_;
  return 0;
}

PrefixView::PrefixView(std::size_t MaxBlocks)
    : Entries_(std::bit_ceil(std::max(MaxBlocks, Ways))),
      BucketMask_(Entries_.size() / Ways - 1) {}

const PrefixView::Entry *PrefixView::lookup(BlockHash Hash) const {
  const Entry *Bucket = &Entries_[(Hash & BucketMask_) * Ways];
  for (std::size_t Way = 0; Way < Ways; ++Way)
    if (Bucket[Way].Hash_ == Hash && Bucket[Way].LastUse_ != 0)
      return &Bucket[Way];
  return nullptr;
}

PrefixView::Entry &PrefixView::findOrReplace(BlockHash Hash) {
  Entry *Bucket = &Entries_[(Hash & BucketMask_) * Ways];
  Entry *Oldest = Bucket;
  for (std::size_t Way = 0; Way < Ways; ++Way) {
    if (Bucket[Way].Hash_ == Hash && Bucket[Way].LastUse_ != 0)
      return Bucket[Way];
    if (Bucket[Way].LastUse_ < Oldest->LastUse_)
      Oldest = &Bucket[Way];
  }
  *Oldest = Entry();
  Oldest->Hash_ = Hash;
  return *Oldest;
}

void PrefixView::add(EndpointIndex Endpoint, BlockHash Hash) {
  Entry &Block = findOrReplace(Hash);
  Block.LastUse_ = ++UseCount_;
  Holder Added{Endpoint, stateOf(Endpoint).Generation_};
  Holder *Free = nullptr;
  for (Holder &Slot : Block.Holders_) {
    if (Slot.Endpoint_ == Endpoint && Slot.Generation_ == Added.Generation_)
      return;
    if (!Free && !isCurrent(Slot))
      Free = &Slot;
  }
  if (!Free)
    Free = &Block.Holders_[Block.NextHolder_++ % MaxHolders];
  *Free = Added;
}

void PrefixView::remove(EndpointIndex Endpoint, BlockHash Hash) {
  const Entry *Found = lookup(Hash);
  if (!Found)
    return;
  Entry &Block = Entries_[static_cast<std::size_t>(Found - Entries_.data())];
  for (Holder &Slot : Block.Holders_)
    if (Slot.Endpoint_ == Endpoint)
      Slot = Holder();
}

PrefixView::EndpointState &PrefixView::stateOf(EndpointIndex Endpoint) {
  if (Endpoint >= Endpoints_.size())
    Endpoints_.resize(Endpoint + 1);
  return Endpoints_[Endpoint];
}

bool PrefixView::isCurrent(const Holder &Candidate) const {
  return Candidate.Generation_ != 0 &&
         Candidate.Endpoint_ < Endpoints_.size() &&
         Endpoints_[Candidate.Endpoint_].Generation_ == Candidate.Generation_;
}

void PrefixView::clear(EndpointIndex Endpoint) {
  EndpointState &State = stateOf(Endpoint);
  std::uint16_t Next = State.Generation_ + 1;
  State = EndpointState();
  State.Generation_ = Next == 0 ? 1 : Next;
}

void PrefixView::assume(EndpointIndex Endpoint,
                        std::span<const BlockHash> Blocks) {
  for (BlockHash Hash : Blocks)
    add(Endpoint, Hash);
}

void PrefixView::apply(EndpointIndex Endpoint, const CacheEvent &Event) {
  if (stateOf(Endpoint).Synchronised_ &&
      Event.Sequence_ <= stateOf(Endpoint).Sequence_)
    return;
  if (Event.Cleared_)
    clear(Endpoint);
  EndpointState &State = stateOf(Endpoint);
  std::uint64_t Expected = State.Synchronised_ ? State.Sequence_ + 1 : 1;
  // A clear drops all blocks, so missed events before it do not matter.
  if (Event.Sequence_ != Expected && !Event.Cleared_)
    State.MayBeStale_ = true;
  State.Synchronised_ = true;
  State.Sequence_ = Event.Sequence_;
  for (BlockHash Hash : Event.Removed_)
    remove(Endpoint, Hash);
  for (BlockHash Hash : Event.Stored_)
    add(Endpoint, Hash);
}

void PrefixView::apply(EndpointIndex Endpoint, const CacheSnapshot &Snapshot) {
  const EndpointState &State = stateOf(Endpoint);
  if (State.Synchronised_ && Snapshot.Sequence_ < State.Sequence_)
    return;
  clear(Endpoint);
  EndpointState &NewState = stateOf(Endpoint);
  NewState.Synchronised_ = true;
  NewState.Sequence_ = Snapshot.Sequence_;
  for (BlockHash Hash : Snapshot.Blocks_)
    add(Endpoint, Hash);
}

bool PrefixView::mayBeStale(EndpointIndex Endpoint) const {
  return Endpoint < Endpoints_.size() && Endpoints_[Endpoint].MayBeStale_;
}

bool PrefixView::hasCurrentHolder(const Entry *Found) const {
  return Found &&
         std::any_of(Found->Holders_.begin(), Found->Holders_.end(),
                     [this](const Holder &Slot) { return isCurrent(Slot); });
}

void PrefixView::addHolders(const Entry &Found, std::size_t Depth,
                            PrefixMatches &Matches) const {
  for (const Holder &Slot : Found.Holders_)
    if (isCurrent(Slot))
      Matches.add(Slot.Endpoint_, static_cast<std::uint16_t>(Depth));
}

PrefixMatches PrefixView::find(std::span<const BlockHash> Chain) const {
  PrefixMatches Matches;
  std::size_t DeepestHeld = 0;
  std::size_t ShallowestMissing = Chain.size() + 1;
  auto Probe = [&](std::size_t Depth) {
    const Entry *Found = lookup(Chain[Depth - 1]);
    if (!hasCurrentHolder(Found)) {
      ShallowestMissing = Depth;
      return;
    }
    addHolders(*Found, Depth, Matches);
    DeepestHeld = Depth;
  };
  // Doubling the depth finds the holders, and how many blocks each has to
  // within a factor of two. Bisection finds the deepest block that any endpoint
  // holds.
  for (std::size_t Depth = 1; Depth < ShallowestMissing; Depth *= 2)
    Probe(Depth);
  while (DeepestHeld > 0 && ShallowestMissing - DeepestHeld > 1)
    Probe(DeepestHeld + (ShallowestMissing - DeepestHeld) / 2);
  return Matches;
}

std::size_t PrefixView::memoryBytes() const {
  return Entries_.size() * sizeof(Entry) +
         Endpoints_.size() * sizeof(EndpointState);
}

} // namespace camphorwind::routing
