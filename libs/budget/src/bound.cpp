#include "camphorwind/budget/bound.h"

#include <cstdint>

namespace camphorwind::budget {
namespace {

/// Returns \p Count times \p TokensEach, or `Tokens::max()` on overflow.
base::Tokens saturatingProduct(std::size_t Count, base::Tokens TokensEach) {
  std::int64_t Product = 0;
  if (__builtin_mul_overflow(Count, TokensEach.count(), &Product))
    return base::Tokens::max();
  return base::Tokens(Product);
}

} // namespace

std::string_view toString(BoundError Error) {
  switch (Error) {
  case BoundError::NoOutputLimit:
    return "no_output_limit";
  case BoundError::MediaNotSupported:
    return "media_not_supported";
  case BoundError::OverContextWindow:
    return "over_context_window";
  }
  return "unknown";
}

base::Result<base::Tokens, BoundError> promptBound(const RequestSizes &Shape,
                                                   const ModelLimits &Limits) {
  if (Shape.Media_ > 0 && Limits.TokensPerMedia_ <= base::Tokens())
    return base::failure(BoundError::MediaNotSupported);
  const base::Tokens Bound =
      saturatingProduct(Shape.PromptBytes_, base::Tokens(1)) +
      saturatingProduct(Shape.Parts_, Limits.TokensPerPart_) +
      saturatingProduct(Shape.Media_, Limits.TokensPerMedia_) +
      Limits.TokensPerPrompt_;
  const bool WindowKnown = Limits.ContextWindow_ > base::Tokens();
  if (WindowKnown && Bound > Limits.ContextWindow_)
    return Limits.ContextWindow_;
  return Bound;
}

base::Result<base::Tokens, BoundError> requestBound(const RequestSizes &Shape,
                                                    const ModelLimits &Limits) {
  if (Shape.OutputLimit_ <= base::Tokens())
    return base::failure(BoundError::NoOutputLimit);
  const bool WindowKnown = Limits.ContextWindow_ > base::Tokens();
  if (WindowKnown && Shape.OutputLimit_ > Limits.ContextWindow_)
    return base::failure(BoundError::OverContextWindow);
  auto Prompt = promptBound(Shape, Limits);
  if (!Prompt)
    return Prompt;
  return Prompt.value() + Shape.OutputLimit_;
}

} // namespace camphorwind::budget
