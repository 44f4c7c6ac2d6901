#include "camphorwind/direct/fingerprint.h"

#include <gtest/gtest.h>

#include <ostream>
#include <string>
#include <string_view>

namespace camphorwind::direct {
namespace {

const RequestContent Original{"POST", "shop.example", "/orders/7", "shop",
                              "body"};

struct ContentCase {
  std::string Name_;
  RequestContent Other_;
};

std::ostream &operator<<(std::ostream &Out, const ContentCase &Value) {
  return Out << Value.Name_;
}

class FingerprintTest : public testing::TestWithParam<ContentCase> {};

TEST_P(FingerprintTest, DiffersForOtherRequests) {
  EXPECT_NE(fingerprint(GetParam().Other_), fingerprint(Original));
}

INSTANTIATE_TEST_SUITE_P(
    Requests, FingerprintTest,
    testing::Values(
        ContentCase{"method",
                    {"PUT", "shop.example", "/orders/7", "shop", "body"}},
        ContentCase{"host",
                    {"POST", "other.example", "/orders/7", "shop", "body"}},
        ContentCase{"target",
                    {"POST", "shop.example", "/orders/7?x=1", "shop", "body"}},
        ContentCase{"account",
                    {"POST", "shop.example", "/orders/7", "other", "body"}},
        ContentCase{"body",
                    {"POST", "shop.example", "/orders/7", "shop", "bodY"}},
        ContentCase{"no_body",
                    {"POST", "shop.example", "/orders/7", "shop", ""}},
        ContentCase{"bytes_of_the_next_field",
                    {"POST", "shop.example", "/orders/7s", "hop", "body"}}),
    [](const auto &Info) { return Info.param.Name_; });

TEST(SameFingerprintTest, IsEqualForEqualRequests) {
  const std::string Body = "body";
  EXPECT_EQ(fingerprint({"POST", "shop.example", "/orders/7", "shop", Body}),
            fingerprint(Original));
}

} // namespace
} // namespace camphorwind::direct
