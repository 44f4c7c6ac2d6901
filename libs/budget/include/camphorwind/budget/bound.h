#ifndef CAMPHORWIND_BUDGET_BOUND_H
#define CAMPHORWIND_BUDGET_BOUND_H

#include "camphorwind/base/result.h"
#include "camphorwind/base/tokens.h"

#include <cstddef>
#include <string_view>

/// Upper bounds, computed without a tokenizer, of the tokens that a request may
/// be billed.
namespace camphorwind::budget {

/// Sizes of a request that limit the tokens the engine reads and writes.
struct RequestSizes {
  /// Bytes of all prompt text in UTF-8, after JSON unescaping.
  std::size_t PromptBytes_ = 0;
  /// Number of chat messages or other parts that the engine's template wraps.
  std::size_t Parts_ = 0;
  /// Number of images and other media; each is billed at most
  /// `TokensPerMedia_`.
  std::size_t Media_ = 0;
  /// Maximum number of output tokens, summed over all choices.
  base::Tokens OutputLimit_;
};

/// Limits of one model, independent of the prompt.
struct ModelLimits {
  /// Maximum number of tokens that the template adds around one part.
  base::Tokens TokensPerPart_{16};
  /// Maximum number of tokens that the template adds to a whole prompt.
  base::Tokens TokensPerPrompt_{64};
  /// Maximum number of tokens of one image; 0 for a model that takes no media.
  base::Tokens TokensPerMedia_{0};
  /// Maximum context length in tokens; the engine refuses a longer prompt. 0 if
  /// not known.
  base::Tokens ContextWindow_{0};
};

/// Why no bound can be computed.
enum class BoundError { NoOutputLimit, MediaNotSupported, OverContextWindow };

std::string_view toString(BoundError Error);

/// Returns an upper bound of the prompt's tokens. A byte-level tokenizer
/// produces at most one token per byte, so the byte count is an upper bound.
base::Result<base::Tokens, BoundError> promptBound(const RequestSizes &Shape,
                                                   const ModelLimits &Limits);

/// Returns an upper bound of the sum of prompt and output tokens.
base::Result<base::Tokens, BoundError> requestBound(const RequestSizes &Shape,
                                                    const ModelLimits &Limits);

} // namespace camphorwind::budget

#endif // CAMPHORWIND_BUDGET_BOUND_H
