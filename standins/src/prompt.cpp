#include "camphorwind/standins/prompt.h"

#include <fmt/core.h>

#include <algorithm>

namespace camphorwind::standins {

namespace {

constexpr std::size_t BytesPerToken = 4;
constexpr std::uint64_t ShortestAnswerTokens = 8;
constexpr std::uint64_t AnswerTokensSpread = 57;

/// Appends every text found in a prompt, a message's content or a list.
void collectText(const Json &Value, std::string &Text) {
  if (Value.is_string()) {
    if (!Text.empty())
      Text += '\n';
    Text += Value.get_ref<const std::string &>();
    return;
  }
  if (Value.is_array())
    for (const Json &Part : Value)
      collectText(Part, Text);
  if (Value.is_object() && Value.contains("content"))
    collectText(Value["content"], Text);
  if (Value.is_object() && Value.contains("text"))
    collectText(Value["text"], Text);
}

std::optional<std::uint64_t> outputLimit(const Json &Body) {
  for (const char *Name : {"max_completion_tokens", "max_tokens"})
    if (auto Found = Body.find(Name);
        Found != Body.end() && Found->is_number_integer())
      return std::max<std::int64_t>(1, Found->get<std::int64_t>());
  return std::nullopt;
}

} // namespace

std::uint64_t hashText(std::string_view Text, std::uint64_t Seed) {
  constexpr std::uint64_t Prime = 0x100000001b3ULL;
  for (char Character : Text)
    Seed = (Seed ^ static_cast<unsigned char>(Character)) * Prime;
  return Seed;
}

std::string hexText(std::uint64_t Hash) { return fmt::format("{:016x}", Hash); }

std::uint64_t countPromptTokens(std::string_view Prompt) {
  return std::max<std::uint64_t>(1, Prompt.size() / BytesPerToken);
}

std::optional<Generation> parseGeneration(const Json &Body, bool Chat) {
  auto Source = Body.find(Chat ? "messages" : "prompt");
  if (Source == Body.end())
    return std::nullopt;
  Generation Parsed;
  Parsed.Chat_ = Chat;
  Parsed.Stream_ = Body.value("stream", false);
  Parsed.Priority_ = Body.value("priority", std::int64_t{0});
  collectText(*Source, Parsed.Prompt_);
  Parsed.PromptHash_ = hashText(Parsed.Prompt_);
  Parsed.PromptTokens_ = countPromptTokens(Parsed.Prompt_);
  std::uint64_t Natural =
      ShortestAnswerTokens + Parsed.PromptHash_ % AnswerTokensSpread;
  std::uint64_t Limit = outputLimit(Body).value_or(Natural);
  bool IgnoreEnd = Body.value("ignore_eos", false);
  Parsed.AnswerTokens_ = IgnoreEnd ? Limit : std::min(Natural, Limit);
  Parsed.FinishReason_ = IgnoreEnd || Limit < Natural ? "length" : "stop";
  return Parsed;
}

std::string tokenText(std::uint64_t PromptHash, std::uint64_t Index) {
  std::string Hash = hexText(PromptHash);
  if (Index == 0)
    return Hash;
  return fmt::format(" {}.{}", std::string_view(Hash).substr(12), Index);
}

std::vector<std::uint64_t> cacheBlocks(std::string_view Prompt) {
  std::vector<std::uint64_t> Blocks;
  std::uint64_t Hash = hashText("");
  for (std::size_t At = 0; At + CacheBlockBytes <= Prompt.size();
       At += CacheBlockBytes) {
    Hash = hashText(Prompt.substr(At, CacheBlockBytes), Hash);
    Blocks.push_back(Hash);
  }
  return Blocks;
}

} // namespace camphorwind::standins
