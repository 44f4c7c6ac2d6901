#include "camphorwind/routing/blocks.h"

#include <xxhash.h>

#include <algorithm>

namespace camphorwind::routing {

std::vector<BlockHash> hashBlocks(std::string_view Scope,
                                  std::string_view Prompt) {
  std::size_t Count = std::min(Prompt.size() / BlockBytes, MaxBlocksPerPrompt);
  std::vector<BlockHash> Blocks;
  Blocks.reserve(Count);
  BlockHash Previous = XXH3_64bits(Scope.data(), Scope.size());
  for (std::size_t Index = 0; Index < Count; ++Index) {
    Previous = XXH3_64bits_withSeed(Prompt.data() + Index * BlockBytes,
                                    BlockBytes, Previous);
    Blocks.push_back(Previous);
  }
  return Blocks;
}

} // namespace camphorwind::routing
