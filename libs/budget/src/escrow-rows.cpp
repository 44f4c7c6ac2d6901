#include "escrow-rows.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>

namespace camphorwind::budget::detail {

namespace {

using Json = nlohmann::json;

std::optional<std::int64_t> integerField(const Json &Object, const char *Name) {
  auto Found = Object.find(Name);
  if (Found == Object.end() || !Found->is_number_integer())
    return std::nullopt;
  return Found->get<std::int64_t>();
}

std::optional<Json> parseObject(std::string_view Text) {
  Json Parsed = Json::parse(Text, nullptr, false);
  if (!Parsed.is_object())
    return std::nullopt;
  return Parsed;
}

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
  auto Parsed = parseObject(Text);
  if (!Parsed)
    return std::nullopt;
  auto Granted = integerField(*Parsed, "granted");
  auto Used = integerField(*Parsed, "used");
  auto Burst = integerField(*Parsed, "burst");
  auto Rate = integerField(*Parsed, "rate");
  auto Spread = integerField(*Parsed, "spread");
  auto Delay = integerField(*Parsed, "delay");
  auto At = integerField(*Parsed, "at");
  auto Incarnation = Parsed->find("incarnation");
  if (!Granted || !Used || !Burst || !Rate || !Spread || !Delay || !At ||
      Incarnation == Parsed->end() || !Incarnation->is_string())
    return std::nullopt;
  // Reject negative values: they would free tokens that may have been spent.
  if (*Granted < 0 || *Used < 0 || *Burst < 0 || *Rate < 0 || *Spread < 0 ||
      *Delay < 0)
    return std::nullopt;
  // Both counts are parts of what is used.
  auto PartOfUsed = [&](const char *Name) {
    return std::clamp<std::int64_t>(integerField(*Parsed, Name).value_or(0), 0,
                                    *Used);
  };
  auto NotNegative = [&](const char *Name) {
    return std::max<std::int64_t>(0, integerField(*Parsed, Name).value_or(0));
  };
  return SliceRow{Incarnation->get<std::string>(),
                  *Granted,
                  {*Used, *Burst, *Rate, *Spread,
                   std::chrono::milliseconds(*Delay),
                   std::chrono::milliseconds(*At)},
                  integerField(*Parsed, "demand").value_or(0),
                  PartOfUsed("reserved"),
                  PartOfUsed("stranded"),
                  NotNegative("bound"),
                  NotNegative("wanted")};
}

std::string encodeTotal(std::int64_t Granted) {
  return Json{{"granted", Granted}}.dump();
}

std::optional<std::int64_t> decodeTotal(std::string_view Text) {
  auto Parsed = parseObject(Text);
  return Parsed ? integerField(*Parsed, "granted") : std::nullopt;
}

std::string encodePresence(const Presence &Value) {
  return Json{{"at", Value.At_.count()},
              {"address", Value.Address_},
              {"loans", Value.LoanAddress_},
              {"note", Value.Note_}}
      .dump();
}

std::optional<Presence> decodePresence(std::string_view Text) {
  auto Parsed = parseObject(Text);
  auto At = Parsed ? integerField(*Parsed, "at") : std::nullopt;
  if (!At)
    return std::nullopt;
  auto TextOf = [&Parsed](const char *Name) {
    auto Found = Parsed->find(Name);
    return Found != Parsed->end() && Found->is_string()
               ? Found->get<std::string>()
               : std::string();
  };
  return Presence{std::chrono::milliseconds(*At), TextOf("address"),
                  TextOf("loans"), TextOf("note")};
}

} // namespace camphorwind::budget::detail
