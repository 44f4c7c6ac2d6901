#include "../src/slice-cache.h"

#include <gtest/gtest.h>

#include <ostream>
#include <string>

namespace camphorwind::budget::detail {
namespace {

std::string sliceOf(std::int64_t Granted) {
  SliceRow Slice;
  Slice.Granted_ = Granted;
  return encodeSlice(Slice);
}

/// A row that is decoded after {"slice/a/r1", 3, granted 100}.
struct NextRow {
  std::string Name_;
  base::Row Row_;
  std::uint64_t Decoded_ = 0;
  std::optional<std::int64_t> Granted_;
};

std::ostream &operator<<(std::ostream &Out, const NextRow &Value) {
  return Out << Value.Name_;
}

class SliceCacheTest : public testing::TestWithParam<NextRow> {};

/// Guards against decoding the rows of all routers and accounts at each read of
/// the table, and against taking a changed row for the one before it.
TEST_P(SliceCacheTest, DecodesOnlyRowsThatHaveChanged) {
  SliceCache Cache;
  ASSERT_TRUE(Cache.decode({"slice/a/r1", 3, sliceOf(100)}));
  Cache.sweep();
  const auto &Slice = Cache.decode(GetParam().Row_);
  EXPECT_EQ(Cache.decodedRows(), 1 + GetParam().Decoded_);
  EXPECT_EQ(Slice ? std::optional(Slice->Granted_) : std::nullopt,
            GetParam().Granted_);
}

INSTANTIATE_TEST_SUITE_P(
    Rows, SliceCacheTest,
    testing::Values(NextRow{"same", {"slice/a/r1", 3, sliceOf(100)}, 0, 100},
                    NextRow{"later", {"slice/a/r1", 4, sliceOf(200)}, 1, 200},
                    NextRow{"earlier", {"slice/a/r1", 2, sliceOf(50)}, 1, 50},
                    NextRow{
                        "other_router", {"slice/a/r2", 3, sliceOf(7)}, 1, 7},
                    NextRow{"unreadable", {"slice/a/r1", 4, "{}"}, 1, {}}),
    [](const auto &Info) { return Info.param.Name_; });

/// Versions are given out again after a restore of the table.
TEST(SliceCache, DecodesTheSameVersionAgainAfterClear) {
  SliceCache Cache;
  ASSERT_TRUE(Cache.decode({"slice/a/r1", 3, sliceOf(100)}));
  Cache.clear();
  EXPECT_EQ(Cache.decode({"slice/a/r1", 3, sliceOf(200)})->Granted_, 200);
}

TEST(SliceCache, ForgetsRowsThatAreGone) {
  SliceCache Cache;
  Cache.decode({"slice/a/r1", 3, sliceOf(100)});
  Cache.sweep();
  Cache.decode({"slice/a/r2", 3, sliceOf(100)});
  Cache.sweep();
  EXPECT_EQ(Cache.size(), 1u);
}

} // namespace
} // namespace camphorwind::budget::detail
