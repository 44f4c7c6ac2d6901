#include "escrow-rows.h"

#include <nlohmann/json.hpp>
#include <simdjson.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace camphorwind::budget::detail {

namespace {

using Json = nlohmann::json;

/// The members of a row. Each read of the table has hundreds of rows, and hosts
/// may be small: simdjson takes a fraction of the processor time of
/// nlohmann/json. Valid until the next one is made.
class RowReader {
public:
  explicit RowReader(std::string_view Text) {
    // The parser keeps its buffers; processes have one loop on one thread.
    thread_local simdjson::dom::parser Parser;
    IsObject_ = Parser.parse(Text.data(), Text.size()).get(Object_) ==
                simdjson::SUCCESS;
  }

  bool isObject() const { return IsObject_; }
  std::optional<std::int64_t> integer(const char *Name) const {
    std::int64_t Value = 0;
    if (Object_[Name].get(Value) != simdjson::SUCCESS)
      return std::nullopt;
    return Value;
  }
  std::optional<std::string> text(const char *Name) const {
    std::string_view Value;
    if (Object_[Name].get(Value) != simdjson::SUCCESS)
      return std::nullopt;
    return std::string(Value);
  }

private:
  simdjson::dom::object Object_;
  bool IsObject_ = false;
};

} // namespace

std::int64_t Checkpoint::ceiling(std::chrono::milliseconds TableTime) const {
  std::int64_t Elapsed =
      std::max<std::int64_t>(0, (TableTime - At_ - Delay_).count());
  constexpr std::int64_t PerSecond = 1000;
  double SpreadTokens =
      static_cast<double>(Spread_) *
      std::sqrt(static_cast<double>(Elapsed) / static_cast<double>(PerSecond));
  return Used_ + Burst_ + RatePerSecond_ * Elapsed / PerSecond +
         static_cast<std::int64_t>(std::ceil(SpreadTokens));
}

std::int64_t SliceRow::unspent(std::chrono::milliseconds TableTime) const {
  return std::max<std::int64_t>(0, Granted_ - Checkpoint_.ceiling(TableTime));
}

std::string sliceKey(const base::AccountId &Account,
                     const base::RouterId &Router) {
  return std::string(Escrow::SlicePrefix) + Account.str() + "/" + Router.str();
}

std::string totalKey(const base::AccountId &Account) {
  return std::string(Escrow::TotalPrefix) + Account.str();
}

std::string routerKey(const base::RouterId &Router) {
  return std::string(Escrow::RouterPrefix) + Router.str();
}

std::optional<SliceName> sliceNameFromKey(std::string_view Key) {
  if (!Key.starts_with(Escrow::SlicePrefix))
    return std::nullopt;
  Key.remove_prefix(Escrow::SlicePrefix.size());
  std::size_t Slash = Key.rfind('/');
  if (Slash == std::string_view::npos)
    return std::nullopt;
  return SliceName{base::AccountId(std::string(Key.substr(0, Slash))),
                   base::RouterId(std::string(Key.substr(Slash + 1)))};
}

std::string encodeSlice(const SliceRow &Value) {
  return Json{{"incarnation", Value.Incarnation_},
              {"granted", Value.Granted_},
              {"used", Value.Checkpoint_.Used_},
              {"burst", Value.Checkpoint_.Burst_},
              {"rate", Value.Checkpoint_.RatePerSecond_},
              {"spread", Value.Checkpoint_.Spread_},
              {"delay", Value.Checkpoint_.Delay_.count()},
              {"at", Value.Checkpoint_.At_.count()},
              {"demand", Value.TokensPerSecond_},
              {"reserved", Value.Reserved_},
              {"stranded", Value.Stranded_},
              {"bound", Value.TypicalBound_},
              {"wanted", Value.Wanted_}}
      .dump();
}

std::optional<SliceRow> decodeSlice(std::string_view Text) {
  RowReader Fields(Text);
  if (!Fields.isObject())
    return std::nullopt;
  auto Granted = Fields.integer("granted");
  auto Used = Fields.integer("used");
  auto Burst = Fields.integer("burst");
  auto Rate = Fields.integer("rate");
  auto Spread = Fields.integer("spread");
  auto Delay = Fields.integer("delay");
  auto At = Fields.integer("at");
  auto Incarnation = Fields.text("incarnation");
  if (!Granted || !Used || !Burst || !Rate || !Spread || !Delay || !At ||
      !Incarnation)
    return std::nullopt;
  // Reject negative values: they would free tokens that may have been spent.
  if (*Granted < 0 || *Used < 0 || *Burst < 0 || *Rate < 0 || *Spread < 0 ||
      *Delay < 0)
    return std::nullopt;
  // Both counts are parts of what is used.
  auto PartOfUsed = [&](const char *Name) {
    return std::clamp<std::int64_t>(Fields.integer(Name).value_or(0), 0, *Used);
  };
  auto NotNegative = [&](const char *Name) {
    return std::max<std::int64_t>(0, Fields.integer(Name).value_or(0));
  };
  return SliceRow{std::move(*Incarnation),
                  *Granted,
                  {*Used, *Burst, *Rate, *Spread,
                   std::chrono::milliseconds(*Delay),
                   std::chrono::milliseconds(*At)},
                  Fields.integer("demand").value_or(0),
                  PartOfUsed("reserved"),
                  PartOfUsed("stranded"),
                  NotNegative("bound"),
                  NotNegative("wanted")};
}

std::string encodeTotal(std::int64_t Granted) {
  return Json{{"granted", Granted}}.dump();
}

std::optional<std::int64_t> decodeTotal(std::string_view Text) {
  RowReader Fields(Text);
  return Fields.isObject() ? Fields.integer("granted") : std::nullopt;
}

std::string encodePresence(const Presence &Value) {
  return Json{{"at", Value.At_.count()},
              {"address", Value.Address_},
              {"loans", Value.LoanAddress_},
              {"note", Value.Note_}}
      .dump();
}

std::optional<Presence> decodePresence(std::string_view Text) {
  RowReader Fields(Text);
  auto At = Fields.isObject() ? Fields.integer("at") : std::nullopt;
  if (!At)
    return std::nullopt;
  return Presence{
      std::chrono::milliseconds(*At), Fields.text("address").value_or(""),
      Fields.text("loans").value_or(""), Fields.text("note").value_or("")};
}

} // namespace camphorwind::budget::detail
