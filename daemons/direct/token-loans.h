#ifndef CAMPHORWIND_DAEMONS_DIRECT_TOKEN_LOANS_H
#define CAMPHORWIND_DAEMONS_DIRECT_TOKEN_LOANS_H

#include "camphorwind/base/address.h"
#include "camphorwind/base/random.h"
#include "camphorwind/base/result.h"
#include "camphorwind/budget/escrow.h"
#include "camphorwind/budget/loans.h"
#include "camphorwind/net/http-client.h"
#include "camphorwind/net/http-server.h"
#include "camphorwind/net/loop.h"
#include "camphorwind/observe/metrics.h"

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace camphorwind::direct {

/// Tokens that another router has reserved for a request of this one.
struct TokenLoan {
  std::string Id_;
  base::AccountId Account_;
  /// Address of the router that granted it.
  std::string Lender_;
  base::Tokens Bound_;
};

/// Lends tokens to other routers and borrows from them, over HTTP with JSON
/// bodies:
///
///     POST /loans         {"id", "account", "tokens", "urgent", "left_ms"}
///                         -> {"id", "granted", "available"}
///     POST /loans/settle  {"id", "spent"} -> {"settled"}
///
/// An answer counts only with the id of its loan, as `id` or `settled`: loans
/// and settlements at lenders of earlier builds count as unanswered. Unknown
/// members are ignored.
class TokenLoans {
public:
  /// Starts listening. Fails as net::HttpServer::create() does.
  static base::Result<std::unique_ptr<TokenLoans>, base::IoError>
  create(net::Loop &EventLoop, budget::Escrow &Escrow,
         observe::Metrics &Metrics, const base::Address &Listen);

  using OnLoan = std::function<void(std::optional<TokenLoan>)>;

  /// Asks routers that may have the tokens, one after another; fills in the id
  /// of \p Request. Returns false, without a callback, if there are none.
  /// Otherwise \p OnEnd is called once, later.
  bool borrow(budget::LoanRequest Request, OnLoan OnEnd);
  /// Ends a loan of which \p Spent tokens were spent. Repeated a few times
  /// until the lender has answered.
  void settle(const TokenLoan &Loan, base::Tokens Spent);
  /// Ends expired loans; call about every 100 ms.
  void tick();

private:
  /// A loan that this router asks for.
  struct Inquiry {
    budget::LoanRequest Request_;
    std::vector<std::string> Lenders_;
    std::size_t Next_ = 0;
    OnLoan OnEnd_;
  };
  struct Settlement {
    TokenLoan Loan_;
    base::Tokens Spent_;
    unsigned Attempts_ = 0;
    base::TimePoint RetryAt_{};
  };

  TokenLoans(net::Loop &EventLoop, budget::Escrow &Escrow,
             observe::Metrics &Metrics,
             std::unique_ptr<net::HttpClient> Client);

  void handle(const net::HttpRequest &Request, net::HttpExchange &Exchange);
  net::HttpAnswer lend(const std::string &Body);
  net::HttpAnswer settleLent(const std::string &Body);
  void askNext(std::shared_ptr<Inquiry> Open);
  void onReply(const std::shared_ptr<Inquiry> &Open, const std::string &Lender,
               const base::Result<net::HttpAnswer, net::HttpCallError> &Reply);
  /// Releases a loan that may have been granted, but was not used.
  void release(const TokenLoan &Loan) { sendSettlement({Loan, {}}); }
  void sendSettlement(Settlement Due);

  net::Loop &Loop_;
  budget::Escrow &Escrow_;
  observe::Metrics &Metrics_;
  std::unique_ptr<net::HttpClient> Client_;
  budget::Lender Lender_;
  budget::LenderChoice Choice_;
  base::Random Random_ = base::systemRandom();
  /// Prefix of the ids of this process's loans.
  std::string Process_ = base::uniqueText(Random_);
  std::uint64_t NextId_ = 0;
  /// Settlements to send again.
  std::list<Settlement> Unsettled_;
  /// Closed first, so that no request meets a half-destroyed object.
  std::unique_ptr<net::HttpServer> Server_;
};

} // namespace camphorwind::direct

#endif // CAMPHORWIND_DAEMONS_DIRECT_TOKEN_LOANS_H
