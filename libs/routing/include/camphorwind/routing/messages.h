#ifndef CAMPHORWIND_ROUTING_MESSAGES_H
#define CAMPHORWIND_ROUTING_MESSAGES_H

#include "camphorwind/base/codec.h"
#include "camphorwind/base/ids.h"

#include <chrono>
#include <cstdint>
#include <vector>

/// Messages from agents to routers about the agent's endpoint.
namespace camphorwind::routing {

/// Hash of a prompt block and all blocks before it; see blocks.h.
using BlockHash = std::uint64_t;

/// The load of one endpoint, sampled `Age_` before this message was sent.
struct LoadReport {
  base::EndpointId Endpoint_;
  /// Time between the sample and the sending of this message.
  std::chrono::milliseconds Age_{0};
  /// Requests that are being processed.
  std::uint32_t Running_ = 0;
  /// Requests that are accepted but wait for a slot.
  std::uint32_t Waiting_ = 0;
  /// Prompt tokens that are accepted but not yet processed.
  std::uint64_t WaitingPromptTokens_ = 0;
  /// Routers that hold a valid ticket of the agent and share its free slots.
  std::uint32_t Routers_ = 1;
  MSGPACK_DEFINE(Endpoint_, Age_, Running_, Waiting_, WaitingPromptTokens_,
                 Routers_)
};

/// A change of an endpoint's prefix cache. Sequence numbers are consecutive;
/// a gap means that events were lost.
struct CacheEvent {
  base::EndpointId Endpoint_;
  std::uint64_t Sequence_ = 0;
  std::vector<BlockHash> Stored_;
  std::vector<BlockHash> Removed_;
  /// Whether the cache was cleared before `Stored_` was added.
  bool Cleared_ = false;
  MSGPACK_DEFINE(Endpoint_, Sequence_, Stored_, Removed_, Cleared_)
};

/// The whole content of an endpoint's prefix cache after event `Sequence_`.
struct CacheSnapshot {
  base::EndpointId Endpoint_;
  std::uint64_t Sequence_ = 0;
  std::vector<BlockHash> Blocks_;
  MSGPACK_DEFINE(Endpoint_, Sequence_, Blocks_)
};

} // namespace camphorwind::routing

#endif // CAMPHORWIND_ROUTING_MESSAGES_H
