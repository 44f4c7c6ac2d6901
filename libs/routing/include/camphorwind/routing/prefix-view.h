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

/// How much of a prompt an endpoint is believed to have cached.
struct PrefixMatch {
  EndpointIndex Endpoint_ = 0;
  std::uint16_t Blocks_ = 0;
};

/// The longest matches found, at most one per endpoint.
class PrefixMatches {
public:
  static constexpr std::size_t Capacity = 48;
  void add(EndpointIndex Endpoint, std::uint16_t Blocks);
  /// Blocks matched at \p Endpoint, or 0.
  std::uint16_t at(EndpointIndex Endpoint) const;
  std::span<const PrefixMatch> all() const { return {Items_.data(), Size_}; }

private:
  std::array<PrefixMatch, Capacity> Items_;
  std::size_t Size_ = 0;
};

/// Which endpoints are believed to hold which prompt blocks. Memory is fixed at
/// construction: a set-associative table in which the block unused for longest
/// gives way. A lost event makes an endpoint's part doubtful, not empty, until
/// its next snapshot.
class PrefixView {
public:
  /// Remembers about \p MaxBlocks blocks, 64 bytes each.
  explicit PrefixView(std::size_t MaxBlocks);

  /// This router's request made the endpoint process these blocks.
  void assume(EndpointIndex Endpoint, std::span<const BlockHash> Blocks);
  /// Applies an event. If events before it are missing, the endpoint becomes
  /// doubtful and needs a snapshot.
  void apply(EndpointIndex Endpoint, const CacheEvent &Event);
  /// Replaces what is known of the endpoint, unless later events are known.
  void apply(EndpointIndex Endpoint, const CacheSnapshot &Snapshot);
  /// Forgets everything about an endpoint, in constant time.
  void clear(EndpointIndex Endpoint);

  bool mayBeStale(EndpointIndex Endpoint) const;
  /// Finds endpoints that hold a prefix of \p Chain. Blocks_ is a lower bound:
  /// a number of lookups logarithmic in the length of the chain is made.
  PrefixMatches find(std::span<const BlockHash> Chain) const;
  std::size_t memoryBytes() const;

private:
  static constexpr std::size_t Ways = 4;
  static constexpr std::size_t MaxHolders = 12;
  /// An endpoint at one generation of its cache; 0 is no holder.
  struct Holder {
    EndpointIndex Endpoint_ = 0;
    std::uint16_t Generation_ = 0;
  };
  struct Entry {
    BlockHash Hash_ = 0;
    std::uint32_t LastUse_ = 0;
    std::uint32_t NextHolder_ = 0;
    std::array<Holder, MaxHolders> Holders_{};
  };
  struct EndpointState {
    std::uint16_t Generation_ = 1;
    bool Synchronised_ = false;
    bool MayBeStale_ = false;
    std::uint64_t Sequence_ = 0;
  };

  const Entry *lookup(BlockHash Hash) const;
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
