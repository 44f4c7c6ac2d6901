#ifndef CAMPHORWIND_DAEMONS_ROUTER_COMPLETION_REQUEST_H
#define CAMPHORWIND_DAEMONS_ROUTER_COMPLETION_REQUEST_H

#include "camphorwind/base/result.h"
#include "camphorwind/base/tokens.h"
#include "camphorwind/budget/bound.h"

#include <optional>
#include <string>
#include <string_view>

namespace camphorwind::router {

/// Which of the two OpenAI calls a body belongs to.
enum class CompletionKind { Chat, Text };

/// Why a body is not a completion request.
struct CompletionError {
  /// What was expected where, for the caller.
  std::string Detail_;
};

/// A completion request as far as the router has to understand it.
class CompletionRequest {
public:
  /// Fails with what is wrong in the body.
  static base::Result<CompletionRequest, CompletionError>
  parse(CompletionKind Kind, const std::string &Body);

  const std::string &model() const { return Model_; }
  bool streaming() const { return Streaming_; }
  /// The caller wants the usage event of a stream.
  bool wantsUsage() const { return WantsUsage_; }
  /// Prompt text, for hashing its blocks.
  const std::string &prompt() const { return Prompt_; }
  /// The output limit per choice that the caller gave.
  std::optional<base::Tokens> outputLimit() const { return OutputLimit_; }
  /// What a bound is computed from, with \p Limit as the output limit.
  budget::RequestSizes shape(base::Tokens Limit) const;
  /// Returns the body to send, with the output limit \p Limit per choice and,
  /// in streams, the usage event asked for.
  std::string bodyWithLimit(base::Tokens Limit) const;

private:
  CompletionKind Kind_ = CompletionKind::Chat;
  std::string Body_;
  std::string Model_;
  std::string Prompt_;
  std::size_t Parts_ = 0;
  std::size_t Media_ = 0;
  std::int64_t Choices_ = 1;
  bool Streaming_ = false;
  bool WantsUsage_ = false;
  std::optional<base::Tokens> OutputLimit_;
};

} // namespace camphorwind::router

#endif // CAMPHORWIND_DAEMONS_ROUTER_COMPLETION_REQUEST_H
