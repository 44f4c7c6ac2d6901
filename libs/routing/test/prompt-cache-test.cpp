#include "camphorwind/routing/prompt-cache.h"

#include <gtest/gtest.h>

#include <ostream>
#include <string>
#include <vector>

namespace camphorwind::routing {
namespace {

struct MatchCase {
  std::string Name_;
  std::vector<PromptPart> Prompt_;
  std::uint32_t CachedTokens_ = 0;
};

std::ostream &operator<<(std::ostream &Out, const MatchCase &Value) {
  return Out << Value.Name_;
}

class PromptCacheMatchTest : public testing::TestWithParam<MatchCase> {};

TEST_P(PromptCacheMatchTest, CountsLeadingPartsOnly) {
  PromptCache Cache(1000);
  Cache.add(std::vector<PromptPart>{{1, 100}, {2, 50}, {3, 25}});
  EXPECT_EQ(Cache.cachedTokens(GetParam().Prompt_), GetParam().CachedTokens_);
}

INSTANTIATE_TEST_SUITE_P(
    Prompts, PromptCacheMatchTest,
    testing::Values(
        MatchCase{"whole", {{1, 100}, {2, 50}, {3, 25}}, 175},
        MatchCase{"last_part_differs", {{1, 100}, {2, 50}, {9, 9}}, 150},
        MatchCase{"middle_part_differs", {{1, 100}, {9, 9}, {3, 25}}, 100},
        MatchCase{"first_part_differs", {{9, 9}, {2, 50}, {3, 25}}, 0},
        MatchCase{"none", {}, 0}),
    [](const auto &Info) { return Info.param.Name_; });

TEST(PromptCacheTest, EvictsTheLeastRecentlyUsedPart) {
  PromptCache Cache(250);
  Cache.add(std::vector<PromptPart>{{1, 100}});
  Cache.add(std::vector<PromptPart>{{2, 100}});
  Cache.add(std::vector<PromptPart>{{1, 100}});
  Cache.add(std::vector<PromptPart>{{3, 100}});
  EXPECT_EQ(Cache.cachedTokens(std::vector<PromptPart>{{1, 100}}), 100u);
  EXPECT_EQ(Cache.cachedTokens(std::vector<PromptPart>{{2, 100}}), 0u);
  EXPECT_LE(Cache.tokens(), 250u);
}

} // namespace
} // namespace camphorwind::routing
