#include "camphorwind/config/keys.h"

#include <sodium.h>

#include <algorithm>
#include <optional>

namespace camphorwind::config {

namespace {

using Salt = std::array<std::uint8_t, KeySaltBytes>;
using Secret = std::array<std::uint8_t, KeySecretBytes>;
using Hash = std::array<std::uint8_t, KeyHashBytes>;

template <std::size_t Size>
std::string toHex(const std::array<std::uint8_t, Size> &Bytes) {
  std::array<char, Size * 2 + 1> Text{};
  sodium_bin2hex(Text.data(), Text.size(), Bytes.data(), Bytes.size());
  return Text.data();
}

template <std::size_t Size>
std::optional<std::array<std::uint8_t, Size>> fromHex(std::string_view Text) {
  std::array<std::uint8_t, Size> Bytes{};
  std::size_t Length = 0;
  const char *End = nullptr;
  if (Text.size() != Size * 2 ||
      sodium_hex2bin(Bytes.data(), Bytes.size(), Text.data(), Text.size(),
                     nullptr, &Length, &End) != 0 ||
      Length != Size || End != Text.data() + Text.size())
    return std::nullopt;
  return Bytes;
}

Hash hashOf(const Secret &Value, const Salt &With) {
  Hash Result{};
  crypto_generichash(Result.data(), Result.size(), Value.data(), Value.size(),
                     With.data(), With.size());
  return Result;
}

} // namespace

NewKey makeKey(const KeyId &Id, const KeyEntropy &Entropy) {
  Salt NewSalt{};
  Secret NewSecret{};
  std::copy_n(Entropy.begin(), KeySaltBytes, NewSalt.begin());
  std::copy_n(Entropy.begin() + KeySaltBytes, KeySecretBytes,
              NewSecret.begin());
  NewKey Value;
  Value.Record_.Id_ = Id;
  Value.Record_.Salt_ = toHex(NewSalt);
  Value.Record_.Hash_ = toHex(hashOf(NewSecret, NewSalt));
  Value.Key_ = Id.str() + "." + toHex(NewSecret);
  return Value;
}

KeyRing KeyRing::fromConfiguration(const Configuration &Value) {
  KeyRing Ring;
  for (const auto &[AccountName, Owner] : Value.Accounts_) {
    for (const KeyRecord &Record : Owner.Keys_) {
      auto RecordSalt = fromHex<KeySaltBytes>(Record.Salt_);
      auto RecordHash = fromHex<KeyHashBytes>(Record.Hash_);
      if (RecordSalt && RecordHash)
        Ring.Keys_[Record.Id_.str()] = {AccountName, *RecordSalt, *RecordHash};
    }
  }
  return Ring;
}

const base::AccountId *KeyRing::authenticate(std::string_view Presented) const {
  std::size_t Dot = Presented.rfind('.');
  if (Dot == std::string_view::npos)
    return nullptr;
  auto Found = Keys_.find(std::string(Presented.substr(0, Dot)));
  if (Found == Keys_.end())
    return nullptr;
  auto PresentedSecret = fromHex<KeySecretBytes>(Presented.substr(Dot + 1));
  if (!PresentedSecret)
    return nullptr;
  const Known &Record = Found->second;
  Hash Computed = hashOf(*PresentedSecret, Record.Salt_);
  if (sodium_memcmp(Computed.data(), Record.Hash_.data(), KeyHashBytes) != 0)
    return nullptr;
  return &Record.Account_;
}

} // namespace camphorwind::config
