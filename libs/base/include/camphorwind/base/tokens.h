#ifndef CAMPHORWIND_BASE_TOKENS_H
#define CAMPHORWIND_BASE_TOKENS_H

#include <compare>
#include <cstdint>
#include <limits>

namespace camphorwind::base {

/// A number of billed tokens.
///
/// Sums saturate at the largest value instead of overflowing, so that a bound
/// computed from hostile input can only become too large, never too small.
class Tokens {
public:
  constexpr Tokens() = default;
  constexpr explicit Tokens(std::int64_t Count) : Count_(Count) {}

  constexpr std::int64_t count() const { return Count_; }

  static constexpr Tokens max() {
    return Tokens(std::numeric_limits<std::int64_t>::max());
  }

  friend constexpr bool operator==(Tokens, Tokens) = default;
  friend constexpr auto operator<=>(Tokens A, Tokens B) {
    return A.Count_ <=> B.Count_;
  }

  friend constexpr Tokens operator+(Tokens A, Tokens B) {
    std::int64_t Sum = 0;
    if (!__builtin_add_overflow(A.Count_, B.Count_, &Sum))
      return Tokens(Sum);
    return B.Count_ > 0 ? max()
                        : Tokens(std::numeric_limits<std::int64_t>::min());
  }
  friend constexpr Tokens operator-(Tokens A, Tokens B) {
    std::int64_t Difference = 0;
    if (!__builtin_sub_overflow(A.Count_, B.Count_, &Difference))
      return Tokens(Difference);
    return B.Count_ < 0 ? max()
                        : Tokens(std::numeric_limits<std::int64_t>::min());
  }
  constexpr Tokens &operator+=(Tokens B) { return *this = *this + B; }
  constexpr Tokens &operator-=(Tokens B) { return *this = *this - B; }

private:
  std::int64_t Count_ = 0;
};

} // namespace camphorwind::base

#endif // CAMPHORWIND_BASE_TOKENS_H
