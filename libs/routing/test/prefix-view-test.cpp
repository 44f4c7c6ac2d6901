#include "camphorwind/routing/prefix-view.h"

#include "camphorwind/routing/blocks.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>

using namespace camphorwind;
using namespace camphorwind::routing;

namespace {

std::vector<BlockHash> chain(std::size_t Blocks, char Fill = 'x') {
  return hashBlocks("model", std::string(Blocks * BlockBytes, Fill));
}

CacheEvent stored(std::uint64_t Sequence, std::vector<BlockHash> Blocks) {
  return {base::EndpointId("e"), Sequence, std::move(Blocks), {}, false};
}

TEST(BlocksTest, HashesDependOnScopeAndAllEarlierBytes) {
  std::string Prompt(3 * BlockBytes + 5, 'a');
  std::vector<BlockHash> Blocks = hashBlocks("m", Prompt);
  ASSERT_EQ(Blocks.size(), 3u);
  EXPECT_NE(Blocks[0], Blocks[1]);
  EXPECT_NE(Blocks, hashBlocks("n", Prompt));
  Prompt[0] = 'b';
  EXPECT_NE(Blocks[2], hashBlocks("m", Prompt)[2]);
}

TEST(PrefixViewTest, FindsTheDeepestBlockOfEachHolder) {
  PrefixView View(1024);
  std::vector<BlockHash> Long = chain(21);
  View.assume(1, std::span(Long).first(4));
  View.assume(2, Long);
  PrefixMatches Found = View.find(Long);
  EXPECT_EQ(Found.at(1), 4);
  EXPECT_EQ(Found.at(2), 21);
  EXPECT_EQ(Found.at(3), 0);
  EXPECT_TRUE(View.find(chain(5, 'y')).all().empty());
}

TEST(PrefixViewTest, AMissedEventKeepsBlocksButMarksThemStaleUntilASnapshot) {
  PrefixView View(1024);
  std::vector<BlockHash> Blocks = chain(3);
  View.apply(1, stored(1, {Blocks[0], Blocks[1]}));
  EXPECT_FALSE(View.mayBeStale(1));
  View.apply(1, stored(3, {}));
  EXPECT_TRUE(View.mayBeStale(1));
  EXPECT_EQ(View.find(Blocks).at(1), 2);
  CacheSnapshot Old{base::EndpointId("e"), 2, Blocks};
  View.apply(1, Old);
  EXPECT_TRUE(View.mayBeStale(1))
      << "a snapshot older than the last event must be ignored";
  View.apply(1, CacheSnapshot{base::EndpointId("e"), 3, {Blocks[0]}});
  EXPECT_FALSE(View.mayBeStale(1));
  EXPECT_EQ(View.find(Blocks).at(1), 1);
}

TEST(PrefixViewTest, ClearedAndRemovedBlocksAreForgotten) {
  PrefixView View(1024);
  std::vector<BlockHash> Blocks = chain(2);
  View.apply(1, stored(1, Blocks));
  View.apply(1, {base::EndpointId("e"), 2, {}, {Blocks[1]}, false});
  EXPECT_EQ(View.find(Blocks).at(1), 1);
  View.apply(1, {base::EndpointId("e"), 9, {}, {}, true});
  EXPECT_EQ(View.find(Blocks).at(1), 0);
  EXPECT_FALSE(View.mayBeStale(1));
}

TEST(PrefixViewTest, RepeatedAndOldEventsChangeNothing) {
  PrefixView View(1024);
  std::vector<BlockHash> Blocks = chain(1);
  View.apply(1, stored(1, Blocks));
  View.apply(1, {base::EndpointId("e"), 2, {}, Blocks, false});
  View.apply(1, stored(1, Blocks));
  EXPECT_EQ(View.find(Blocks).at(1), 0);
  EXPECT_FALSE(View.mayBeStale(1));
}

/// Whichever events are lost, the next snapshot makes the view equal to the
/// cache, and the view allocates no memory after its first event.
RC_GTEST_PROP(PrefixViewTest, SnapshotsRepairAnyLoss, ()) {
  PrefixView View(4096);
  std::vector<BlockHash> Pool = chain(24);
  std::set<BlockHash> Cache;
  std::uint64_t Sequence = 0;
  auto Steps = *rc::gen::container<std::vector<std::pair<int, bool>>>(
      rc::gen::pair(rc::gen::inRange(0, 48), rc::gen::arbitrary<bool>()));
  bool Lost = false;
  std::size_t Memory = 0;
  for (auto [Block, Arrives] : Steps) {
    CacheEvent Event{base::EndpointId("e"), ++Sequence, {}, {}, false};
    BlockHash Hash = Pool[static_cast<std::size_t>(Block) % 24];
    (Block < 24 ? Event.Stored_ : Event.Removed_).push_back(Hash);
    if (Block < 24)
      Cache.insert(Hash);
    else
      Cache.erase(Hash);
    if (Arrives) {
      View.apply(7, Event);
      Memory = Memory == 0 ? View.memoryBytes() : Memory;
      RC_ASSERT(View.memoryBytes() == Memory);
      RC_ASSERT(View.mayBeStale(7) == Lost);
    }
    Lost = Lost || !Arrives;
  }
  View.apply(7, CacheSnapshot{base::EndpointId("e"),
                              Sequence,
                              {Cache.begin(), Cache.end()}});
  RC_ASSERT(!View.mayBeStale(7));
  for (BlockHash Hash : Pool)
    RC_ASSERT((View.find(std::span(&Hash, 1)).at(7) == 1) ==
              Cache.contains(Hash));
}

} // namespace
