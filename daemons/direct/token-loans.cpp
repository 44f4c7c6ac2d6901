#include "token-loans.h"

#include "camphorwind/observe/log.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <utility>

namespace camphorwind::direct {

namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

/// Time for one router to answer; the usual time is a few milliseconds.
constexpr milliseconds ReplyTimeout{80};
constexpr milliseconds ConnectTimeout{40};
constexpr milliseconds SettleTimeout{500};
constexpr milliseconds SettleRetryDelay{400};
constexpr unsigned MaxSettleAttempts = 4;
/// Requests are small; a larger body is no loan.
constexpr std::size_t MaxBodyBytes = 4096;
/// A borrower's request cannot last longer than this, whatever it states.
constexpr std::int64_t MaxTimeLeftMs = 600'000;
constexpr unsigned StatusOk = 200;

std::optional<Json> parseObject(const std::string &Text) {
  Json Parsed = Json::parse(Text, nullptr, false);
  if (!Parsed.is_object())
    return std::nullopt;
  return Parsed;
}

std::optional<std::int64_t> countOf(const Json &Object, const char *Name) {
  auto Found = Object.find(Name);
  if (Found == Object.end() || !Found->is_number_integer())
    return std::nullopt;
  auto Value = Found->get<std::int64_t>();
  if (Value < 0)
    return std::nullopt;
  return Value;
}

std::optional<std::string> textOf(const Json &Object, const char *Name) {
  auto Found = Object.find(Name);
  if (Found == Object.end() || !Found->is_string())
    return std::nullopt;
  return Found->get<std::string>();
}

bool flagOf(const Json &Object, const char *Name) {
  auto Found = Object.find(Name);
  return Found != Object.end() && Found->is_boolean() && Found->get<bool>();
}

/// Returns the message of a successful answer, if it is one.
std::optional<Json>
messageOf(const base::Result<net::HttpAnswer, net::HttpCallError> &Reply) {
  if (!Reply || Reply.value().Status_ != StatusOk)
    return std::nullopt;
  return parseObject(Reply.value().Body_);
}

net::HttpAnswer malformed(const std::string &Path) {
  constexpr unsigned BadRequest = 400;
  observe::log(observe::LogLevel::Warning, "loan_message_malformed",
               {{"path", Path}});
  return net::jsonAnswer(BadRequest, "{}");
}

net::HttpCall callTo(const std::string &Address, const char *Path,
                     const Json &Body) {
  net::HttpCall Call;
  Call.Method_ = "POST";
  Call.Url_ = "http://" + Address + Path;
  Call.Headers_.add("Content-Type", "application/json");
  Call.Body_ = Body.dump();
  Call.ConnectTimeout_ = ConnectTimeout;
  return Call;
}

} // namespace

TokenLoans::TokenLoans(net::Loop &EventLoop, budget::Escrow &Escrow,
                       observe::Metrics &Metrics,
                       std::unique_ptr<net::HttpClient> Client)
    : Loop_(EventLoop), Escrow_(Escrow), Metrics_(Metrics),
      Client_(std::move(Client)) {}

base::Result<std::unique_ptr<TokenLoans>, base::IoError>
TokenLoans::create(net::Loop &EventLoop, budget::Escrow &Escrow,
                   observe::Metrics &Metrics, const base::Address &Listen) {
  BOOST_OUTCOME_TRY(Client, net::HttpClient::create(EventLoop));
  std::unique_ptr<TokenLoans> Loans(
      new TokenLoans(EventLoop, Escrow, Metrics, std::move(Client)));
  net::HttpServerLimits Limits;
  Limits.BodyBytes_ = MaxBodyBytes;
  BOOST_OUTCOME_TRY(
      Server, net::HttpServer::create(
                  EventLoop, Listen, Limits,
                  [Raw = Loans.get()](
                      const net::HttpRequest &Request,
                      const std::shared_ptr<net::HttpExchange> &Exchange) {
                    Raw->handle(Request, *Exchange);
                  }));
  Loans->Server_ = std::move(Server);
  return Loans;
}

void TokenLoans::handle(const net::HttpRequest &Request,
                        net::HttpExchange &Exchange) {
  constexpr unsigned NotFound = 404;
  if (Request.Method_ == "POST" && Request.Path_ == "/loans")
    Exchange.respond(lend(Request.Body_));
  else if (Request.Method_ == "POST" && Request.Path_ == "/loans/settle")
    Exchange.respond(settleLent(Request.Body_));
  else
    Exchange.respond({NotFound, {}, ""});
}

net::HttpAnswer TokenLoans::lend(const std::string &Body) {
  auto Message = parseObject(Body);
  auto Id = Message ? textOf(*Message, "id") : std::nullopt;
  auto Account = Message ? textOf(*Message, "account") : std::nullopt;
  auto Tokens = Message ? countOf(*Message, "tokens") : std::nullopt;
  auto TimeLeft = Message ? countOf(*Message, "left_ms") : std::nullopt;
  if (!Id || Id->empty() || !Account || !Tokens || !TimeLeft)
    return malformed("/loans");
  budget::LoanRequest Request;
  Request.Id_ = *Id;
  Request.Account_ = base::AccountId(*Account);
  Request.Bound_ = base::Tokens(*Tokens);
  Request.Urgent_ = flagOf(*Message, "urgent");
  Request.TimeLeft_ = milliseconds(std::min(*TimeLeft, MaxTimeLeftMs));
  base::TimePoint Now = Loop_.now();
  bool Granted = Lender_.lend(Escrow_, Request, Now);
  Metrics_.count("token_loans", "lent", Granted ? "granted" : "refused");
  base::Tokens Available = Escrow_.status(Request.Account_, Now).Available_;
  return net::jsonAnswer(StatusOk, Json{{"id", Request.Id_},
                                        {"granted", Granted},
                                        {"available", Available.count()}}
                                       .dump());
}

net::HttpAnswer TokenLoans::settleLent(const std::string &Body) {
  auto Message = parseObject(Body);
  auto Id = Message ? textOf(*Message, "id") : std::nullopt;
  auto Spent = Message ? countOf(*Message, "spent") : std::nullopt;
  if (!Id || !Spent)
    return malformed("/loans/settle");
  Lender_.settle(Escrow_, *Id, base::Tokens(*Spent), Loop_.now());
  return net::jsonAnswer(StatusOk, Json{{"settled", *Id}}.dump());
}

bool TokenLoans::borrow(budget::LoanRequest Request, OnLoan OnEnd) {
  base::TimePoint Now = Loop_.now();
  auto Lenders = Choice_.choose(
      Request.Account_, Request.Bound_,
      Escrow_.lenders(Request.Account_, Request.Bound_, Now), Random_, Now);
  if (Lenders.empty())
    return false;
  Request.Id_ = Process_ + "." + std::to_string(++NextId_);
  auto Open = std::make_shared<Inquiry>();
  Open->Request_ = std::move(Request);
  Open->Lenders_ = std::move(Lenders);
  Open->OnEnd_ = std::move(OnEnd);
  askNext(std::move(Open));
  return true;
}

void TokenLoans::askNext(std::shared_ptr<Inquiry> Open) {
  if (Open->Next_ == Open->Lenders_.size()) {
    Metrics_.count("token_loans", "borrowed", "refused");
    Open->OnEnd_(std::nullopt);
    return;
  }
  const std::string Lender = Open->Lenders_[Open->Next_++];
  const budget::LoanRequest &Request = Open->Request_;
  net::HttpCall Call = callTo(Lender, "/loans",
                              {{"id", Request.Id_},
                               {"account", Request.Account_.str()},
                               {"tokens", Request.Bound_.count()},
                               {"urgent", Request.Urgent_},
                               {"left_ms", Request.TimeLeft_.count()}});
  Call.Timeout_ = ReplyTimeout;
  Client_->fetch(
      std::move(Call),
      [this, Open = std::move(Open),
       Lender](const base::Result<net::HttpAnswer, net::HttpCallError> &Reply) {
        onReply(Open, Lender, Reply);
      });
}

void TokenLoans::onReply(
    const std::shared_ptr<Inquiry> &Open, const std::string &Lender,
    const base::Result<net::HttpAnswer, net::HttpCallError> &Reply) {
  base::TimePoint Now = Loop_.now();
  const budget::LoanRequest &Request = Open->Request_;
  TokenLoan Loan{Request.Id_, Request.Account_, Lender, Request.Bound_};
  auto Message = messageOf(Reply);
  std::string AnswerTo =
      Message ? textOf(*Message, "id").value_or("") : std::string();
  if (!Message || AnswerTo != Request.Id_) {
    observe::log(
        observe::LogLevel::Info, "loan_unanswered",
        {{"lender", Lender}, {"loan", Request.Id_}, {"answer_to", AnswerTo}});
    Choice_.unreachable(Lender, Now);
    // The lender may have granted it. Another lender gets another id, so that
    // this settlement cannot end its loan.
    release(Loan);
    Open->Request_.Id_ = Process_ + "." + std::to_string(++NextId_);
    askNext(Open);
    return;
  }
  if (auto Available = countOf(*Message, "available"))
    Choice_.reported(Request.Account_, Lender, base::Tokens(*Available), Now);
  if (!flagOf(*Message, "granted")) {
    askNext(Open);
    return;
  }
  Metrics_.count("token_loans", "borrowed", "granted");
  Escrow_.addBorrowed(Loan.Account_, Loan.Bound_, Now);
  Open->OnEnd_(std::move(Loan));
}

void TokenLoans::settle(const TokenLoan &Loan, base::Tokens Spent) {
  Escrow_.settleBorrowed(Loan.Account_, Loan.Bound_, Spent, Loop_.now());
  sendSettlement({Loan, Spent});
}

void TokenLoans::sendSettlement(Settlement Due) {
  net::HttpCall Call =
      callTo(Due.Loan_.Lender_, "/loans/settle",
             {{"id", Due.Loan_.Id_}, {"spent", Due.Spent_.count()}});
  Call.Timeout_ = SettleTimeout;
  ++Due.Attempts_;
  Client_->fetch(
      std::move(Call),
      [this, Due = std::move(Due)](
          const base::Result<net::HttpAnswer, net::HttpCallError> &Reply) {
        auto Message = messageOf(Reply);
        // Not "id": the answer that granted the loan has it too.
        if (Message && textOf(*Message, "settled") == Due.Loan_.Id_)
          return;
        if (Due.Attempts_ >= MaxSettleAttempts) {
          // The lender counts the whole bound as spent, unless it is of a build
          // whose answers do not name the loan.
          observe::log(observe::LogLevel::Warning, "loan_not_settled",
                       {{"lender", Due.Loan_.Lender_},
                        {"loan", Due.Loan_.Id_},
                        {"tokens", Due.Loan_.Bound_.count()},
                        {"spent", Due.Spent_.count()}});
          return;
        }
        Settlement Again = Due;
        Again.RetryAt_ = Loop_.now() + SettleRetryDelay;
        Unsettled_.push_back(std::move(Again));
      });
}

void TokenLoans::tick() {
  base::TimePoint Now = Loop_.now();
  std::size_t Expired = Lender_.expire(Escrow_, Now);
  if (Expired > 0)
    observe::log(observe::LogLevel::Warning, "loans_expired",
                 {{"loans", Expired}});
  for (auto Each = Unsettled_.begin(); Each != Unsettled_.end();) {
    if (Now < Each->RetryAt_) {
      ++Each;
      continue;
    }
    Settlement Due = std::move(*Each);
    Each = Unsettled_.erase(Each);
    sendSettlement(std::move(Due));
  }
}

} // namespace camphorwind::direct
