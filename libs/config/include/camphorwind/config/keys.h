#ifndef CAMPHORWIND_CONFIG_KEYS_H
#define CAMPHORWIND_CONFIG_KEYS_H

#include "camphorwind/base/ids.h"
#include "camphorwind/config/configuration.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

/// Callers' keys. A key reads `ID.SECRET`: the id may be logged, the secret is
/// 32 random bytes in hexadecimal digits. The configuration keeps a salted
/// hash; a fast one suffices, because a random secret can't be guessed.
namespace camphorwind::config {

inline constexpr std::size_t KeySaltBytes = 16;
inline constexpr std::size_t KeySecretBytes = 32;
inline constexpr std::size_t KeyHashBytes = 32;

/// Random bytes for one key, from a cryptographic source.
using KeyEntropy = std::array<std::uint8_t, KeySaltBytes + KeySecretBytes>;

/// A new key: what the configuration keeps, and what its owner gets once.
struct NewKey {
  KeyRecord Record_;
  /// `ID.SECRET`.
  std::string Key_;
};

/// Makes the key \p Id from \p Entropy.
NewKey makeKey(const KeyId &Id, const KeyEntropy &Entropy);

/// Finds the account of a presented key.
class KeyRing {
public:
  KeyRing() = default;

  /// Takes every key of \p Value.
  static KeyRing fromConfiguration(const Configuration &Value);

  /// Returns the account whose key is \p Presented, or null. Takes the same
  /// time for each wrong secret of one key id.
  const base::AccountId *authenticate(std::string_view Presented) const;

private:
  struct Known {
    base::AccountId Account_;
    std::array<std::uint8_t, KeySaltBytes> Salt_{};
    std::array<std::uint8_t, KeyHashBytes> Hash_{};
  };

  std::unordered_map<std::string, Known> Keys_;
};

} // namespace camphorwind::config

#endif // CAMPHORWIND_CONFIG_KEYS_H
