#ifndef CAMPHORWIND_ROUTING_PREFIX_VIEW_H
#define CAMPHORWIND_ROUTING_PREFIX_VIEW_H

#include "camphorwind/routing/messages.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace camphorwind::routing {

/// Position of an endpoint in a router's tables; reused after removal.
using EndpointIndex = std::uint16_t;

/// The number of leading blocks of a prompt that an endpoint is believed to
/// have cached.
struct PrefixMatch {
  EndpointIndex Endpoint_ = 0;
  std::uint16_t Blocks_ = 0;
};

/// The longest match found for each endpoint, for up to Capacity endpoints.
class PrefixMatches {
public:
  static constexpr std::size_t Capacity = 48;
  /// Adds a match, or extends the endpoint's match if \p Blocks is larger.
  /// Drops a new endpoint's match when Capacity is reached.
  void add(EndpointIndex Endpoint, std::uint16_t Blocks);
  /// Returns the blocks matched at \p Endpoint, or 0.
  std::uint16_t at(EndpointIndex Endpoint) const;
  std::span<const PrefixMatch> all() const { return {Items_.data(), Size_}; }

private:
  std::array<PrefixMatch, Capacity> Items_;
  std::size_t Size_ = 0;
};

/// Tracks which endpoints are believed to have which prompt blocks cached.
///
/// The size of the block table is fixed at construction: it is a
/// set-associative table that replaces the least recently added block of a set.
/// After a lost event an endpoint's blocks are kept but may be stale until its
/// next snapshot.
class PrefixView {
public:
  /// Rounds \p MaxBlocks up to a power of two. Each block takes 64 bytes.
  explicit PrefixView(std::size_t MaxBlocks);

  /// Records that the endpoint processes these blocks for a request of this
  /// router.
  void assume(EndpointIndex Endpoint, std::span<const BlockHash> Blocks);
  /// Applies an event; ignores one that has already been applied. If events
  /// before it are missing, the endpoint's blocks may be stale until a
  /// snapshot.
  void apply(EndpointIndex Endpoint, const CacheEvent &Event);
  /// Replaces the blocks of the endpoint, unless a later event was applied.
  void apply(EndpointIndex Endpoint, const CacheSnapshot &Snapshot);
  /// Forgets everything about an endpoint, in constant time.
  void clear(EndpointIndex Endpoint);

  /// Returns whether an event of the endpoint was lost since its last snapshot
  /// or the last event that cleared its cache.
  bool mayBeStale(EndpointIndex Endpoint) const;
  /// Finds endpoints that hold a prefix of \p Chain. Their Blocks_ are lower
  /// bounds, because only a number of blocks logarithmic in the length of the
  /// chain is looked up.
  PrefixMatches find(std::span<const BlockHash> Chain) const;
  std::size_t memoryBytes() const;

private:
  static constexpr std::size_t Ways = 4;
  static constexpr std::size_t MaxHolders = 12;
  /// An endpoint at one generation of its cache. Generation 0 marks a free
  /// slot.
  struct Holder {
    EndpointIndex Endpoint_ = 0;
    std::uint16_t Generation_ = 0;
  };
  struct Entry {
    BlockHash Hash_ = 0;
    /// Value of UseCount_ when the block was last added; 0 for an empty entry.
    std::uint32_t LastUse_ = 0;
    /// Number of holders replaced so far because no slot was free. Modulo
    /// MaxHolders, it is the slot to replace next.
    std::uint32_t NextHolder_ = 0;
    std::array<Holder, MaxHolders> Holders_{};
  };
  struct EndpointState {
    /// Incremented to drop all blocks of the endpoint at once; never 0.
    std::uint16_t Generation_ = 1;
    /// Whether Sequence_ is known from an event or a snapshot.
    bool Synchronised_ = false;
    bool MayBeStale_ = false;
    std::uint64_t Sequence_ = 0;
  };

  const Entry *lookup(BlockHash Hash) const;
  /// Returns the entry of \p Hash, or that of the least recently added block in
  /// its set, emptied for \p Hash.
  Entry &findOrReplace(BlockHash Hash);
  void add(EndpointIndex Endpoint, BlockHash Hash);
  void remove(EndpointIndex Endpoint, BlockHash Hash);
  EndpointState &stateOf(EndpointIndex Endpoint);
  bool isCurrent(const Holder &Candidate) const;
  bool hasCurrentHolder(const Entry *Found) const;
  void addHolders(const Entry &Found, std::size_t Depth,
                  PrefixMatches &Matches) const;

  std::vector<Entry> Entries_;
  std::size_t BucketMask_;
  std::uint32_t UseCount_ = 0;
  std::vector<EndpointState> Endpoints_;
};

} // namespace camphorwind::routing

#endif // CAMPHORWIND_ROUTING_PREFIX_VIEW_H
