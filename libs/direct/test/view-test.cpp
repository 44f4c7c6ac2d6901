#include "camphorwind/direct/view.h"

#include <gtest/gtest.h>

#include <ostream>
#include <string>

using namespace camphorwind::direct;

namespace {

Route makeRoute(std::string Name, std::string Prefix) {
  Route Result;
  Result.Name_ = std::move(Name);
  Result.Host_ = "shop.example";
  Result.PathPrefix_ = std::move(Prefix);
  Result.Targets_ = {{camphorwind::base::PoolId("pool"), 1}};
  return Result;
}

struct RouteCase {
  std::string Name_;
  std::string Host_;
  std::string Path_;
  /// Name of the expected route; empty for none.
  std::string Route_;
};

std::ostream &operator<<(std::ostream &Out, const RouteCase &Value) {
  return Out << Value.Name_;
}

class ViewRouteTest : public testing::TestWithParam<RouteCase> {};

TEST_P(ViewRouteTest, FindsLongestMatchingPrefix) {
  View TestView;
  TestView.addRoute(makeRoute("all", "/"));
  TestView.addRoute(makeRoute("tally", "/tally/"));
  TestView.addRoute(makeRoute("deep", "/tally/a/b/"));
  Route Other = makeRoute("other", "/only/");
  Other.Host_ = "other.example";
  TestView.addRoute(Other);
  const Route *Found = TestView.findRoute(GetParam().Host_, GetParam().Path_);
  EXPECT_EQ(Found ? Found->Name_ : "", GetParam().Route_);
}

INSTANTIATE_TEST_SUITE_P(
    Paths, ViewRouteTest,
    testing::Values(
        RouteCase{"root", "shop.example", "/", "all"},
        RouteCase{"below_root", "shop.example", "/x/y", "all"},
        RouteCase{"directory", "shop.example", "/tally/", "tally"},
        RouteCase{"below", "shop.example", "/tally/7", "tally"},
        RouteCase{"without_slash", "shop.example", "/tally", "all"},
        RouteCase{"longer_name", "shop.example", "/tallying/7", "all"},
        RouteCase{"between", "shop.example", "/tally/a/7", "tally"},
        RouteCase{"deepest", "shop.example", "/tally/a/b/7", "deep"},
        RouteCase{"other_host", "other.example", "/only/7", "other"},
        RouteCase{"no_match", "other.example", "/tally/7", ""},
        RouteCase{"unknown_host", "none.example", "/", ""},
        RouteCase{"no_path", "shop.example", "", ""}),
    [](const auto &Info) { return Info.param.Name_; });

TEST(ViewHolderTest, AcceptsOnlyNewerVersions) {
  ViewHolder Holder;
  auto MakeVersion = [](std::uint64_t Number) {
    auto Result = std::make_shared<View>();
    Result->Version_ = Number;
    return Result;
  };
  EXPECT_TRUE(Holder.offer(MakeVersion(5)));
  EXPECT_FALSE(Holder.offer(MakeVersion(5)));
  EXPECT_FALSE(Holder.offer(MakeVersion(4)));
  EXPECT_EQ(Holder.current()->Version_, 5u);
  EXPECT_TRUE(Holder.offer(MakeVersion(9)));
  EXPECT_EQ(Holder.current()->Version_, 9u);
}

struct TargetCase {
  double Draw_ = 0;
  std::string Pool_;
};

class PickTargetTest : public testing::TestWithParam<TargetCase> {};

TEST_P(PickTargetTest, DividesDrawsByWeight) {
  Route TwoTargets;
  TwoTargets.Targets_ = {{camphorwind::base::PoolId("a"), 90},
                         {camphorwind::base::PoolId("b"), 10}};
  EXPECT_EQ(pickTarget(TwoTargets, GetParam().Draw_)->Pool_.str(),
            GetParam().Pool_);
}

INSTANTIATE_TEST_SUITE_P(Draws, PickTargetTest,
                         testing::Values(TargetCase{0, "a"},
                                         TargetCase{0.89, "a"},
                                         TargetCase{0.91, "b"},
                                         TargetCase{0.999, "b"}));

TEST(ViewAccountTest, FindsAccountByAnyOfItsKeys) {
  View TestView;
  TestView.addAccount({camphorwind::base::AccountId("one"), {}, {}},
                      {"k1", "k2"});
  TestView.addAccount({camphorwind::base::AccountId("two"), {}, {}}, {"k3"});
  EXPECT_EQ(TestView.findAccount("k2")->Account_.str(), "one");
  EXPECT_EQ(TestView.findAccount("k3")->Account_.str(), "two");
  EXPECT_EQ(TestView.findAccount("k4"), nullptr);
}

} // namespace
