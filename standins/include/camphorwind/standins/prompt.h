#ifndef CAMPHORWIND_STANDINS_PROMPT_H
#define CAMPHORWIND_STANDINS_PROMPT_H

#include "camphorwind/standins/json.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// What the engine stand-in reads from a request and how it makes its answer.
namespace camphorwind::standins {

/// A chat or completion request as far as the engine needs it.
struct Generation {
  bool Chat_ = false;
  bool Stream_ = false;
  /// Lower values run first.
  std::int64_t Priority_ = 0;
  std::string Prompt_;
  std::uint64_t PromptHash_ = 0;
  std::uint64_t PromptTokens_ = 0;
  /// Length of the answer.
  std::uint64_t AnswerTokens_ = 0;
  /// "stop" or "length", as in the answer.
  std::string FinishReason_;
};

/// Returns the FNV-1a hash with 64 bits of \p Text, continuing from \p Seed.
std::uint64_t hashText(std::string_view Text,
                       std::uint64_t Seed = 0xcbf29ce484222325ULL);

/// Returns a hash as 16 hexadecimal digits.
std::string hexText(std::uint64_t Hash);

/// One token for every four bytes, at least one.
std::uint64_t countPromptTokens(std::string_view Prompt);

/// Reads a request. The prompt is every text part joined by line ends. None if
/// it holds no prompt.
std::optional<Generation> parseGeneration(const Json &Body, bool Chat);

/// Returns the text of token \p Index (from 0) of the answer: the first is the
/// prompt's hash, the others its last four digits and their index.
std::string tokenText(std::uint64_t PromptHash, std::uint64_t Index);

/// Returns the chained hashes of the prompt's whole blocks of
/// CacheBlockBytes.
std::vector<std::uint64_t> cacheBlocks(std::string_view Prompt);

/// Size of the prefix blocks that the engine caches.
inline constexpr std::size_t CacheBlockBytes = 64;

} // namespace camphorwind::standins

#endif // CAMPHORWIND_STANDINS_PROMPT_H
