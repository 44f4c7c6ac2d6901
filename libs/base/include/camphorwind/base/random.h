#ifndef CAMPHORWIND_BASE_RANDOM_H
#define CAMPHORWIND_BASE_RANDOM_H

#include <pcg_random.hpp>

#include <cstdint>
#include <random>
#include <string>

namespace camphorwind::base {

/// A source of random bits; any standard or PCG generator will do.
template <class T>
concept RandomSource = std::uniform_random_bit_generator<T>;

/// The project's generator: small, fast, seedable for repeatable runs.
using Random = pcg64;

/// Returns a generator seeded by the operating system.
Random systemRandom();

/// Returns 128 random bits as 32 hexadecimal digits, for ids that must be
/// unique for ever.
template <RandomSource Source> std::string uniqueText(Source &Bits) {
  static constexpr char Digits[] = "0123456789abcdef";
  constexpr int Length = 32;
  std::uniform_int_distribution<int> Digit(0, 15);
  std::string Text(Length, '0');
  for (char &Character : Text)
    Character = Digits[Digit(Bits)];
  return Text;
}

} // namespace camphorwind::base

#endif // CAMPHORWIND_BASE_RANDOM_H
