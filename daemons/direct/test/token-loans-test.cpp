#include "token-loans.h"

#include "fake-table.h"
#include "free-address.h"
#include "scripted-peer.h"

#include <gtest/gtest.h>

#include <chrono>
#include <memory>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

/// Tests loans between routers on loopback.
namespace camphorwind::direct {
namespace {

using base::Tokens;
using namespace std::chrono_literals;

const base::AccountId Shop("shop");
constexpr std::int64_t Prepaid = 1'000'000;
constexpr auto TableClock = 5'000'000ms;

/// A router's slices and loans, without callers and endpoints.
struct Node {
  /// Other routers ask for loans at \p LoanAddress, if that is set.
  Node(net::Loop &EventLoop, const std::string &Name,
       std::optional<base::Address> LoanAddress = std::nullopt)
      : Listen_(net::test::freeAddress()),
        LoanAddress_(LoanAddress.value_or(Listen_)),
        Slices_(makeEscrow(Name, EventLoop.now())) {
    Slices_.setBudget(Shop, Tokens(Prepaid));
    Loans_ = std::move(
        TokenLoans::create(EventLoop, Slices_, Metrics_, Listen_).value());
  }

  budget::Escrow makeEscrow(const std::string &Name, base::TimePoint Now) {
    budget::EscrowSettings Settings;
    Settings.Router_ = base::RouterId(Name);
    Settings.Incarnation_ = base::Incarnation(Name + ".1");
    Settings.StartedAt_ = Now;
    Settings.LoanAddress_ = base::toString(LoanAddress_);
    return std::move(budget::Escrow::create(Settings)).value();
  }

  void sync(budget::test::FakeTable &Table, base::TimePoint Now) {
    Slices_.onRows(Table.scan(TableClock), Now, Now);
    while (auto Change = Slices_.nextTransaction(Now + 1h))
      Slices_.onTransaction(Table.apply(*Change, TableClock), Now);
  }

  base::Address Listen_;
  base::Address LoanAddress_;
  budget::Escrow Slices_;
  observe::Metrics Metrics_;
  std::unique_ptr<TokenLoans> Loans_;
};

class TokenLoansTest : public testing::Test {
protected:
  TokenLoansTest()
      : Loop_(std::move(net::Loop::create().value())), Borrower_(*Loop_, "a"),
        Lender_(*Loop_, "b") {
    // The lender draws first and holds most tokens.
    Lender_.sync(Table_, Loop_->now());
    Borrower_.sync(Table_, Loop_->now());
    Lender_.sync(Table_, Loop_->now());
    Borrower_.sync(Table_, Loop_->now());
  }

  budget::LoanRequest request(std::int64_t Bound) const {
    budget::LoanRequest Request;
    Request.Account_ = Shop;
    Request.Bound_ = Tokens(Bound);
    Request.TimeLeft_ = 1s;
    return Request;
  }

  /// Borrows and waits for the answer.
  std::optional<TokenLoan> borrow(std::int64_t Bound) {
    std::optional<TokenLoan> Result;
    Asked_ = Borrower_.Loans_->borrow(request(Bound), [&](auto Granted) {
      Result = std::move(Granted);
      Loop_->stop();
    });
    if (Asked_)
      Loop_->run();
    return Result;
  }

  void wait(std::chrono::milliseconds Span) {
    net::Timer Tick(*Loop_, [this] { Borrower_.Loans_->tick(); });
    Tick.startRepeating(50ms);
    net::Timer Pause(*Loop_, [this] { Loop_->stop(); });
    Pause.start(Span);
    Loop_->run();
  }

  budget::EscrowStatus lenderStatus() {
    return Lender_.Slices_.status(Shop, Loop_->now());
  }

  std::unique_ptr<net::Loop> Loop_;
  budget::test::FakeTable Table_;
  Node Borrower_;
  Node Lender_;
  bool Asked_ = false;
};

TEST_F(TokenLoansTest, LoanIsReservedAtTheLenderAndSettled) {
  auto Loan = borrow(2000);
  ASSERT_TRUE(Loan);
  EXPECT_EQ(Loan->Lender_, base::toString(Lender_.Listen_));
  EXPECT_EQ(lenderStatus().Reserved_, Tokens(2000));
  Borrower_.Loans_->settle(*Loan, Tokens(300));
  wait(100ms);
  EXPECT_EQ(lenderStatus().Reserved_, Tokens(0));
  EXPECT_EQ(lenderStatus().Used_, Tokens(300));
}

TEST_F(TokenLoansTest, NobodyIsAskedForMoreThanAnyRouterHas) {
  EXPECT_FALSE(borrow(Prepaid));
  EXPECT_FALSE(Asked_);
}

TEST_F(TokenLoansTest, LenderThatIsGoneEndsTheInquiryQuickly) {
  Lender_.Loans_.reset();
  auto Begin = Loop_->now();
  EXPECT_FALSE(borrow(2000));
  EXPECT_TRUE(Asked_);
  EXPECT_LT(Loop_->now() - Begin, 500ms);
  // It is not asked again for a while.
  borrow(2000);
  EXPECT_FALSE(Asked_);
}

TEST_F(TokenLoansTest, SettlementIsRepeatedUntilTheLenderAnswers) {
  auto Loan = borrow(2000);
  ASSERT_TRUE(Loan);
  Lender_.Loans_.reset();
  Borrower_.Loans_->settle(*Loan, Tokens(300));
  wait(200ms);
  Lender_.Loans_ =
      std::move(TokenLoans::create(*Loop_, Lender_.Slices_, Lender_.Metrics_,
                                   Lender_.Listen_)
                    .value());
  wait(700ms);
  // The lender's record of the loan is gone: it ignores the settlement, and the
  // tokens stay reserved.
  EXPECT_EQ(lenderStatus().Reserved_, Tokens(2000));
}

/// A lender whose answers are scripted.
class LateLoanAnswerTest : public testing::Test {
protected:
  LateLoanAnswerTest()
      : Loop_(std::move(net::Loop::create().value())),
        Peer_(*Loop_,
              [this](const std::string &Request) { return answerTo(Request); }),
        Borrower_(*Loop_, "a"), Lender_(*Loop_, "b", Peer_.address()) {
    for (Node *Each : {&Lender_, &Borrower_, &Lender_, &Borrower_})
      Each->sync(Table_, Loop_->now());
  }

  static std::string json(const std::string &Body) {
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(Body.size()) +
           "\r\n\r\n" + Body;
  }

  /// Grants the first loan and refuses all others. May write the grant again
  /// where the next answer is due.
  net::test::Reply answerTo(const std::string &Request) {
    constexpr std::string_view Key = "\"id\":\"";
    std::size_t Start = Request.find(Key) + Key.size();
    std::string Id = Request.substr(Start, Request.find('"', Start) - Start);
    if (Request.find("/loans/settle") != std::string::npos) {
      SettledIds_.push_back(Id);
      bool IsFirst = SettledIds_.size() == 1;
      std::string Settled = IsFirst ? FirstSettled_.value_or(Id) : Id;
      return {json("{\"settled\":\"" + Settled + "\"}")};
    }
    bool Granted = Inquiries_++ == 0;
    std::string Body =
        "{\"id\":\"" + Id +
        "\",\"available\":100000,\"granted\":" + (Granted ? "true}" : "false}");
    std::string Text = json(Body);
    net::test::Reply Result{Text};
    if (Granted && CopiesGrant_)
      Result.LateBytes_ = Text;
    return Result;
  }

  std::optional<TokenLoan> borrow() {
    budget::LoanRequest Request;
    Request.Account_ = Shop;
    Request.Bound_ = Tokens(2000);
    Request.TimeLeft_ = 1s;
    std::optional<TokenLoan> Result;
    bool Asked = Borrower_.Loans_->borrow(Request, [&](auto Granted) {
      Result = std::move(Granted);
      Loop_->stop();
    });
    EXPECT_TRUE(Asked);
    if (Asked)
      Loop_->run();
    return Result;
  }

  /// Borrows and settles a loan, whose settlement has to arrive twice.
  void settleTwice() {
    auto Loan = borrow();
    ASSERT_TRUE(Loan);
    Borrower_.Loans_->settle(*Loan, Tokens(500));
    net::Timer Ticks(*Loop_, [this] { Borrower_.Loans_->tick(); });
    Ticks.startRepeating(50ms);
    net::Timer Pause(*Loop_, [this] { Loop_->stop(); });
    Pause.start(1500ms);
    Loop_->run();
    EXPECT_EQ(SettledIds_, (std::vector<std::string>{Loan->Id_, Loan->Id_}));
  }

  std::unique_ptr<net::Loop> Loop_;
  int Inquiries_ = 0;
  bool CopiesGrant_ = true;
  /// Loan that the answer to the first settlement names; unset for its own.
  std::optional<std::string> FirstSettled_;
  /// Loans whose settlements have arrived.
  std::vector<std::string> SettledIds_;
  net::test::ScriptedPeer Peer_;
  budget::test::FakeTable Table_;
  Node Borrower_;
  Node Lender_;
};

/// Guards against tokens that are spent without a lender, because the answer to
/// an earlier loan that arrives again is taken for the answer to a later one.
TEST_F(LateLoanAnswerTest, CopyOfAGrantIsNoLoan) {
  EXPECT_TRUE(borrow());
  EXPECT_FALSE(borrow());
  EXPECT_EQ(Inquiries_, 2);
  // The lender may have granted the second loan: it is released.
  net::Timer Pause(*Loop_, [this] { Loop_->stop(); });
  Pause.start(100ms);
  Loop_->run();
  EXPECT_EQ(SettledIds_.size(), 1u);
}

/// Guards against a loan whose tokens the lender counts as spent, because a
/// copy of the grant, which has the same id, is taken for the answer to the
/// settlement.
TEST_F(LateLoanAnswerTest, CopyOfAGrantIsNoSettlement) { settleTwice(); }

/// Guards against a loan whose tokens the lender counts as spent, because the
/// answer to another settlement is taken for the answer to this one.
TEST_F(LateLoanAnswerTest, SettlementOfAnotherLoanIsNoSettlement) {
  CopiesGrant_ = false;
  FirstSettled_ = "another";
  settleTwice();
}

/// A message that is no valid loan request or settlement.
struct MalformedLoanCase {
  std::string Name_;
  std::string Path_;
  std::string Body_;
  unsigned Status_ = 400;
};

std::ostream &operator<<(std::ostream &Out, const MalformedLoanCase &Value) {
  return Out << Value.Name_;
}

class MalformedLoanTest
    : public TokenLoansTest,
      public testing::WithParamInterface<MalformedLoanCase> {};

TEST_P(MalformedLoanTest, IsRefusedAndReservesNothing) {
  auto Http = std::move(net::HttpClient::create(*Loop_).value());
  net::HttpCall Call;
  Call.Method_ = "POST";
  Call.Url_ = "http://" + base::toString(Lender_.Listen_) + GetParam().Path_;
  Call.Body_ = GetParam().Body_;
  unsigned Status = 0;
  Http->fetch(std::move(Call), [&](const auto &Answer) {
    Status = Answer ? Answer.value().Status_ : 0;
    Loop_->stop();
  });
  Loop_->run();
  EXPECT_EQ(Status, GetParam().Status_);
  EXPECT_EQ(lenderStatus().Reserved_, Tokens(0));
  EXPECT_EQ(lenderStatus().Used_, Tokens(0));
}

INSTANTIATE_TEST_SUITE_P(
    Messages, MalformedLoanTest,
    testing::Values(
        MalformedLoanCase{"no_json", "/loans", "loan"},
        MalformedLoanCase{"list", "/loans", "[]"},
        MalformedLoanCase{"bytes", "/loans", "\xff\xfe"},
        MalformedLoanCase{"no_id", "/loans",
                          R"({"account":"shop","tokens":5,"left_ms":5})"},
        MalformedLoanCase{
            "negative", "/loans",
            R"({"id":"x","account":"shop","tokens":-5,"left_ms":5})"},
        MalformedLoanCase{
            "fraction", "/loans",
            R"({"id":"x","account":"shop","tokens":0.5,"left_ms":5})"},
        MalformedLoanCase{
            "text", "/loans",
            R"({"id":"x","account":"shop","tokens":"5","left_ms":5})"},
        MalformedLoanCase{"settlement_without_tokens", "/loans/settle",
                          R"({"id":"x"})"},
        MalformedLoanCase{"other_path", "/loan", "{}", 404}),
    [](const auto &Info) { return Info.param.Name_; });

} // namespace
} // namespace camphorwind::direct
