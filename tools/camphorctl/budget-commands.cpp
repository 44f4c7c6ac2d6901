#include "command-line.h"

#include "camphorwind/base/random.h"
#include "camphorwind/budget/rows.h"

#include <nlohmann/json.hpp>

#include <charconv>
#include <iostream>

namespace camphorwind::ctl {

namespace {

using base::TransactionStatus;
using namespace std::chrono_literals;

constexpr int MaxTries = 50;
constexpr auto TryPause = 200ms;

std::string topUpKey(const std::string &Budget, const std::string &Nonce) {
  return "top-up/" + Budget + "/" + Nonce;
}

/// How one try to top up ended.
enum class TryEnd { Done, Again, Unavailable };

/// Adds tokens to a budget exactly once, whatever replies are lost: the row
/// of the top-up is written in the same transaction and tells afterwards.
class TopUp {
public:
  TopUp(Session &Platform, std::string Budget, base::Tokens Amount)
      : Platform_(Platform), Budget_(std::move(Budget)), Amount_(Amount) {
    base::Random Bits = base::systemRandom();
    Key_ = topUpKey(Budget_, base::uniqueText(Bits));
  }

  ExitCode run() {
    for (int Try = 0; Try < MaxTries; ++Try) {
      TryEnd End = tryOnce();
      if (End == TryEnd::Done) {
        std::cout << Budget_ << ": prepaid " << Prepaid_.count() << " tokens\n";
        return ExitCode::Success;
      }
      Platform_.sleepUntil(Platform_.now() + TryPause);
    }
    std::cerr << (InDoubt_ ? "the platform's reply is missing; the top-up may "
                             "have taken effect\n"
                           : "the platform does not answer; nothing was "
                             "changed\n");
    return InDoubt_ ? ExitCode::Undecided : ExitCode::Unavailable;
  }

private:
  TryEnd tryOnce() {
    if (InDoubt_) {
      base::ReadResult Written = Platform_.read(Key_);
      if (Written.Status_ != base::ReadStatus::Ok)
        return TryEnd::Unavailable;
      if (!Written.Rows_.empty())
        return TryEnd::Done;
    }
    base::ReadResult Read =
        Platform_.read(budget::budgetKey(base::BudgetId(Budget_)));
    if (Read.Status_ != base::ReadStatus::Ok)
      return TryEnd::Unavailable;
    return write(Read.Rows_.empty() ? base::Row() : Read.Rows_.front());
  }

  TryEnd write(const base::Row &Before) {
    budget::BudgetRow Row;
    if (Before.Version_ != 0) {
      auto Decoded = budget::decodeBudget(Before.Value_);
      if (!Decoded)
        return TryEnd::Unavailable;
      Row = Decoded.value();
    }
    Row.Prepaid_ += Amount_;
    Prepaid_ = Row.Prepaid_;
    std::string BudgetKey = budget::budgetKey(base::BudgetId(Budget_));
    base::Transaction Change;
    Change.Conditions_ = {{BudgetKey, Before.Version_}, {Key_, 0}};
    Change.Writes_ = {
        {BudgetKey, budget::encode(Row)},
        {Key_, nlohmann::json{{"tokens", Amount_.count()}}.dump()}};
    switch (Platform_.transact(std::move(Change)).Status_) {
    case TransactionStatus::Committed:
      return TryEnd::Done;
    case TransactionStatus::Unknown:
      InDoubt_ = true;
      return TryEnd::Again;
    default:
      return TryEnd::Again;
    }
  }

  Session &Platform_;
  std::string Budget_;
  base::Tokens Amount_;
  base::Tokens Prepaid_;
  std::string Key_;
  bool InDoubt_ = false;
};

ExitCode topUp(CommandContext &Context) {
  const std::string &Text = Context.text("tokens");
  std::int64_t Amount = 0;
  auto [Stop, Error] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Amount);
  if (Error != std::errc() || Stop != Text.data() + Text.size() || Amount < 1) {
    std::cerr << "<tokens>: found \"" << Text
              << "\"; allowed: a whole number from 1\n";
    return ExitCode::BadInput;
  }
  return TopUp(*Context.Platform_, Context.text("budget"), base::Tokens(Amount))
      .run();
}

/// The lease of a slice's router, as far as it explains what is held.
std::string stateOf(Session &Platform, const budget::SliceRow &Slice) {
  base::ReadResult Read = Platform.read(budget::leaseKey(Slice.Incarnation_));
  if (Read.Status_ != base::ReadStatus::Ok)
    return "unknown";
  if (Read.Rows_.empty())
    return "no lease";
  auto Lease = budget::decodeLease(Read.Rows_.front().Value_);
  if (!Lease)
    return "unreadable lease";
  if (Lease.value().State_ == budget::LeaseState::Live)
    return "live";
  return "revoked, waits for " +
         std::to_string(Lease.value().Witnesses_.size()) + " witnesses";
}

ExitCode show(CommandContext &Context) {
  Session &Platform = *Context.Platform_;
  base::BudgetId Budget(Context.text("budget"));
  base::ReadResult Read = Platform.read(budget::budgetKey(Budget));
  base::ReadResult Slices = Platform.scan(std::string(budget::SlicePrefix));
  if (Read.Status_ != base::ReadStatus::Ok ||
      Slices.Status_ != base::ReadStatus::Ok) {
    std::cerr << "the platform does not answer\n";
    return ExitCode::Unavailable;
  }
  if (Read.Rows_.empty()) {
    std::cerr << Budget.str() << ": has never been topped up\n";
    return ExitCode::NotFound;
  }
  auto Row = budget::decodeBudget(Read.Rows_.front().Value_);
  if (!Row) {
    std::cerr << Budget.str() << ": the row can't be read\n";
    return ExitCode::BadInput;
  }
  base::Tokens Billed = Row.value().Billed_;
  base::Tokens Held;
  Table Shown{{"what", "tokens", "holder", "state"}, {}};
  for (const base::Row &Found : Slices.Rows_) {
    auto Slice = budget::decodeSlice(Found.Value_);
    if (!Slice || Slice.value().Budget_ != Budget)
      continue;
    Billed += Slice.value().Tally_.total();
    Held += Slice.value().held();
    Shown.Rows_.push_back(
        {"slice", std::to_string(Slice.value().held().count()),
         Slice.value().Router_.str(), stateOf(Platform, Slice.value())});
  }
  const auto AddSum = [&](const char *What, base::Tokens Amount) {
    Shown.Rows_.push_back({What, std::to_string(Amount.count()), "", ""});
  };
  AddSum("prepaid", Row.value().Prepaid_);
  AddSum("billed", Billed);
  AddSum("held", Held);
  AddSum("free", Row.value().ungranted());
  print(Shown, Context.Output_);
  return ExitCode::Success;
}

} // namespace

std::vector<Command> budgetCommands() {
  return {{"budget top-up",
           "add prepaid tokens to a budget",
           {"budget", "tokens"},
           {},
           true,
           topUp},
          {"budget show",
           "show what is prepaid, billed and held by whom",
           {"budget"},
           {},
           true,
           show}};
}

} // namespace camphorwind::ctl
