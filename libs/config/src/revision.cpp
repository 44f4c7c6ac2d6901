#include "camphorwind/config/revision.h"

#include <nlohmann/json.hpp>
#include <sodium.h>

#include <array>

namespace camphorwind::config {

std::string toString(const Revision &Value) {
  if (Value.Version_ == 0)
    return "none";
  return std::to_string(Value.Version_) + "-" + Value.Hash_;
}

std::string hashOfText(std::string_view Text) {
  constexpr std::size_t HashBytes = 16;
  std::array<unsigned char, HashBytes> Hash{};
  crypto_generichash(Hash.data(), Hash.size(),
                     reinterpret_cast<const unsigned char *>(Text.data()),
                     Text.size(), nullptr, 0);
  std::array<char, HashBytes * 2 + 1> Digits{};
  sodium_bin2hex(Digits.data(), Digits.size(), Hash.data(), Hash.size());
  return Digits.data();
}

std::string historyKey(std::uint64_t Version) {
  constexpr std::size_t Width = 12;
  std::string Number = std::to_string(Version);
  if (Number.size() < Width)
    Number.insert(0, Width - Number.size(), '0');
  return std::string(HistoryPrefix) + Number;
}

std::string textObject(const Revision &Value) {
  return "config/" + toString(Value);
}

std::string patchObject(const Revision &Value) {
  return textObject(Value) + ".patch";
}

std::string encode(const RevisionRecord &Value) {
  nlohmann::json Row = {
      {"version", Value.Revision_.Version_},
      {"hash", Value.Revision_.Hash_},
      {"operator", Value.Operator_},
      {"accepted_at", Value.AcceptedAt_.time_since_epoch().count()},
      {"nonce", Value.Nonce_}};
  return Row.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

base::Result<RevisionRecord, RecordError> decodeRecord(std::string_view Text) {
  nlohmann::json Row = nlohmann::json::parse(Text, nullptr, false);
  if (Row.is_discarded())
    return base::failure(RecordError::NotJson);
  try {
    RevisionRecord Value;
    Value.Revision_.Version_ = Row.at("version").get<std::uint64_t>();
    Value.Revision_.Hash_ = Row.at("hash").get<std::string>();
    Value.Operator_ = Row.at("operator").get<std::string>();
    Value.AcceptedAt_ = std::chrono::sys_seconds(
        std::chrono::seconds(Row.at("accepted_at").get<std::int64_t>()));
    Value.Nonce_ = Row.at("nonce").get<std::string>();
    return Value;
  } catch (const nlohmann::json::exception &) {
    return base::failure(RecordError::WrongShape);
  }
}

} // namespace camphorwind::config
