#ifndef CAMPHORWIND_ROUTING_BLOCKS_H
#define CAMPHORWIND_ROUTING_BLOCKS_H

#include "camphorwind/base/tokens.h"
#include "camphorwind/routing/messages.h"

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace camphorwind::routing {

/// Prompt bytes in one block, about 64 tokens of English text.
inline constexpr std::size_t BlockBytes = 256;
/// Maximum number of blocks hashed for one prompt; the remainder of a longer
/// prompt is treated as not cached.
inline constexpr std::size_t MaxBlocksPerPrompt = 256;

/// Estimates the tokens of a prompt of \p Bytes bytes. For choosing endpoints
/// only: the estimate may be too low, and budgets need an upper bound.
constexpr base::Tokens estimateTokens(std::size_t Bytes) {
  constexpr std::size_t BytesPerToken = 4;
  return base::Tokens(static_cast<std::int64_t>(Bytes / BytesPerToken + 1));
}

/// Returns the chained hashes of the prompt's complete blocks, at most
/// MaxBlocksPerPrompt: the hash at index n identifies the first n + 1 blocks.
/// \p Scope separates prompts that must not share a cache, such as those of
/// different models or client accounts.
std::vector<BlockHash> hashBlocks(std::string_view Scope,
                                  std::string_view Prompt);

} // namespace camphorwind::routing

#endif // CAMPHORWIND_ROUTING_BLOCKS_H
