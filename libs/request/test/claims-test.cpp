#include "camphorwind/request/claims.h"

#include <gtest/gtest.h>

using namespace camphorwind;
using namespace camphorwind::request;
using namespace std::chrono_literals;

namespace {

const base::Incarnation Holder("agent-1");
const ClaimKey Key{base::AccountId("shop"), "order-1"};
constexpr base::TimePoint Start(1h);

ClaimView viewOf(std::uint64_t Number, int Agents, int Domains) {
  ClaimView View{Number, {}};
  for (int Index = 0; Index < Agents; ++Index)
    View.Agents_.push_back(
        {base::Incarnation("agent-" + std::to_string(Index)),
         base::FailureDomainId(std::to_string(Index % Domains))});
  return View;
}

class ClaimHolderTest : public testing::Test {
protected:
  ClaimState ask(const char *Request, std::uint64_t Fingerprint = 1) {
    return Subject_
        .onRequest({Holder, Key, base::RequestId(Request), Fingerprint}, Start)
        .State_;
  }
  AttemptRef attempt(const char *Name) const {
    return {base::AttemptId(Name), base::Incarnation("agent-9"), 1us};
  }
  std::optional<AttemptRef> confirm(const char *Request, const char *Name) {
    return Subject_
        .onConfirm({Holder, Key, base::RequestId(Request), 1, attempt(Name)},
                   Start)
        .Confirmed_;
  }

  ClaimHolder Subject_{Holder, 2};
};

TEST_F(ClaimHolderTest, TheFirstRequestOwnsTheKey) {
  EXPECT_EQ(ask("r1"), ClaimState::Fresh);
  EXPECT_EQ(ask("r1"), ClaimState::Fresh);
  EXPECT_EQ(ask("r2"), ClaimState::Held);
  EXPECT_EQ(ask("r3", 2), ClaimState::KeyReused);
}

TEST_F(ClaimHolderTest, TheFirstConfirmedAttemptStays) {
  EXPECT_EQ(confirm("r1", "x"), attempt("x"));
  EXPECT_EQ(confirm("r2", "y"), attempt("x"));
  Subject_.onUpdate({Holder, Key, attempt("z")}, Start);
  EXPECT_EQ(confirm("r1", "x"), attempt("x"));
}

TEST_F(ClaimHolderTest, AClaimThatAnotherAskedForCannotBeTakenBack) {
  ask("r1");
  ask("r2");
  EXPECT_FALSE(
      Subject_.onRelease({Holder, Key, base::RequestId("r1")}).Released_);
  EXPECT_EQ(ask("r3"), ClaimState::Held);
}

TEST_F(ClaimHolderTest, ALateReleaseDoesNotTouchTheNextOwner) {
  ask("r1");
  EXPECT_TRUE(
      Subject_.onRelease({Holder, Key, base::RequestId("r1")}).Released_);
  EXPECT_EQ(ask("r2"), ClaimState::Fresh);
  EXPECT_FALSE(
      Subject_.onRelease({Holder, Key, base::RequestId("r1")}).Released_);
  EXPECT_EQ(ask("r3"), ClaimState::Held);
}

TEST_F(ClaimHolderTest, FullHolderRefusesInsteadOfForgetting) {
  ask("r1");
  for (const char *Name : {"order-2", "order-3"})
    Subject_.onRequest({Holder, {Key.Account_, Name}, base::RequestId("r2"), 1},
                       Start);
  EXPECT_EQ(Subject_.size(), 2U);
  EXPECT_EQ(ask("r1"), ClaimState::Fresh);
  Subject_.expire(Start + ClaimRetention);
  EXPECT_EQ(Subject_.size(), 0U);
}

TEST(HolderRankingTest, HoldersLieInDifferentDomainsAndMoveLittle) {
  HolderRanking Before(viewOf(1, 12, 4));
  ClaimView Smaller = viewOf(2, 12, 4);
  Smaller.Agents_.erase(Smaller.Agents_.begin());
  HolderRanking After(Smaller);
  for (int Index = 0; Index < 200; ++Index) {
    ClaimKey Each{base::AccountId("shop"), std::to_string(Index)};
    Holders Pair = Before.holders(Each);
    ASSERT_EQ(Pair.size(), 2U);
    int First = std::stoi(Pair[0].str().substr(6));
    int Second = std::stoi(Pair[1].str().substr(6));
    EXPECT_NE(First % 4, Second % 4);
    if (First != 0 && Second != 0) {
      EXPECT_EQ(After.holders(Each), Pair);
    }
  }
}

TEST(HolderRankingTest, OneDomainStillGivesTwoHolders) {
  EXPECT_EQ(HolderRanking(viewOf(1, 3, 1)).holders(Key).size(), 2U);
  EXPECT_EQ(HolderRanking(viewOf(1, 1, 1)).holders(Key).size(), 1U);
  EXPECT_TRUE(HolderRanking(viewOf(1, 0, 1)).holders(Key).empty());
}

TEST(ClaimViewsTest, ReplacedViewsCountForTheRetention) {
  ClaimViews Views;
  EXPECT_TRUE(Views.install(viewOf(1, 2, 2), Start));
  ClaimView Next{2, {{base::Incarnation("new"), base::FailureDomainId("0")}}};
  EXPECT_TRUE(Views.install(Next, Start + 1s));
  EXPECT_FALSE(Views.install(viewOf(1, 5, 5), Start + 2s));
  EXPECT_EQ(Views.holders(Key).size(), 2U);
  Views.prune(Start + 1s + ClaimRetention + 1ns);
  EXPECT_EQ(Views.holders(Key).size(), 1U);
}

} // namespace
