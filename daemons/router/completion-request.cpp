#include "completion-request.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <limits>

namespace camphorwind::router {

namespace {

using Json = nlohmann::json;

constexpr std::int64_t MaxChoices = 128;

/// The parts of the prompt found so far.
struct PromptParts {
  std::string Text_;
  std::size_t Parts_ = 0;
  std::size_t Media_ = 0;
};

CompletionError error(std::string Detail) { return {std::move(Detail)}; }

/// Adds everything in \p Value that an engine may put into its prompt. Names
/// and unknown members count too, so that the bound stays an upper bound.
void addText(const Json &Value, PromptParts &Parts) {
  if (Value.is_string()) {
    Parts.Text_ += Value.get_ref<const std::string &>();
    Parts.Text_ += '\n';
  } else if (Value.is_object()) {
    for (const auto &[Name, Member] : Value.items()) {
      Parts.Text_ += Name;
      addText(Member, Parts);
    }
  } else if (Value.is_array()) {
    for (const Json &Member : Value)
      addText(Member, Parts);
  } else {
    Parts.Text_ += Value.dump();
  }
}

bool isMedia(const Json &Part) {
  auto Type = Part.find("type");
  return Type != Part.end() && Type->is_string() && *Type != "text";
}

/// Reads one message's content: text, or an array of text and media parts.
void addContent(const Json &Content, PromptParts &Parts) {
  if (!Content.is_array())
    return addText(Content, Parts);
  for (const Json &Part : Content) {
    ++Parts.Parts_;
    if (Part.is_object() && isMedia(Part))
      ++Parts.Media_;
    else
      addText(Part, Parts);
  }
}

std::optional<CompletionError> addMessages(const Json &Body,
                                           PromptParts &Parts) {
  auto Messages = Body.find("messages");
  if (Messages == Body.end() || !Messages->is_array() || Messages->empty())
    return error("\"messages\" must be a list of messages.");
  for (const Json &Message : *Messages) {
    if (!Message.is_object())
      return error("Each of \"messages\" must be an object.");
    ++Parts.Parts_;
    for (const auto &[Name, Member] : Message.items()) {
      if (Name == "content")
        addContent(Member, Parts);
      else
        addText(Member, Parts);
    }
  }
  for (const char *Name : {"tools", "functions", "response_format"})
    if (Body.contains(Name))
      addText(Body[Name], Parts);
  return std::nullopt;
}

std::optional<CompletionError> addPrompt(const Json &Body, PromptParts &Parts) {
  auto Prompt = Body.find("prompt");
  if (Prompt == Body.end() || !Prompt->is_string())
    return error("\"prompt\" must be text.");
  ++Parts.Parts_;
  addText(*Prompt, Parts);
  if (Body.contains("suffix"))
    addText(Body["suffix"], Parts);
  return std::nullopt;
}

/// Reads a positive whole number; absent and null are the same.
base::Result<std::optional<std::int64_t>, CompletionError>
positive(const Json &Body, const char *Name) {
  auto Found = Body.find(Name);
  if (Found == Body.end() || Found->is_null())
    return std::optional<std::int64_t>();
  if (!Found->is_number_integer() || Found->get<std::int64_t>() < 1 ||
      Found->get<std::int64_t>() > std::numeric_limits<std::int32_t>::max())
    return base::failure(
        error('"' + std::string(Name) + "\" must be a positive number."));
  return std::optional<std::int64_t>(Found->get<std::int64_t>());
}

base::Result<bool, CompletionError> flag(const Json &Body, const char *Name) {
  auto Found = Body.find(Name);
  if (Found == Body.end() || Found->is_null())
    return false;
  if (!Found->is_boolean())
    return base::failure(
        error('"' + std::string(Name) + "\" must be true or false."));
  return Found->get<bool>();
}

} // namespace

base::Result<CompletionRequest, CompletionError>
CompletionRequest::parse(CompletionKind Kind, const std::string &Body) {
  Json Read = Json::parse(Body, nullptr, false);
  if (!Read.is_object())
    return base::failure(error("The body must be a JSON object."));
  CompletionRequest Request;
  Request.Kind_ = Kind;
  auto Model = Read.find("model");
  if (Model == Read.end() || !Model->is_string())
    return base::failure(error("\"model\" must be text."));
  Request.Model_ = Model->get<std::string>();
  PromptParts Parts;
  auto Wrong = Kind == CompletionKind::Chat ? addMessages(Read, Parts)
                                            : addPrompt(Read, Parts);
  if (Wrong)
    return base::failure(std::move(*Wrong));
  BOOST_OUTCOME_TRY(Streaming, flag(Read, "stream"));
  BOOST_OUTCOME_TRY(MaxTokens, positive(Read, "max_tokens"));
  BOOST_OUTCOME_TRY(MaxCompletion, positive(Read, "max_completion_tokens"));
  BOOST_OUTCOME_TRY(Choices, positive(Read, "n"));
  BOOST_OUTCOME_TRY(BestOf, positive(Read, "best_of"));
  Request.Streaming_ = Streaming;
  Request.Choices_ = std::max(Choices.value_or(1), BestOf.value_or(1));
  if (Request.Choices_ > MaxChoices)
    return base::failure(error("\"n\" must be at most 128."));
  auto Limit = MaxCompletion ? MaxCompletion : MaxTokens;
  if (Limit)
    Request.OutputLimit_ = base::Tokens(*Limit);
  auto Options = Read.find("stream_options");
  if (Options != Read.end() && Options->is_object()) {
    BOOST_OUTCOME_TRY(WantsUsage, flag(*Options, "include_usage"));
    Request.WantsUsage_ = WantsUsage;
  }
  Request.Prompt_ = std::move(Parts.Text_);
  Request.Parts_ = Parts.Parts_;
  Request.Media_ = Parts.Media_;
  Request.Body_ = Body;
  return Request;
}

budget::RequestSizes CompletionRequest::shape(base::Tokens Limit) const {
  budget::RequestSizes Shape;
  Shape.PromptBytes_ = Prompt_.size();
  Shape.Parts_ = Parts_;
  Shape.Media_ = Media_;
  Shape.OutputLimit_ = base::Tokens(Limit.count() * Choices_);
  return Shape;
}

std::string CompletionRequest::bodyWithLimit(base::Tokens Limit) const {
  Json Body = Json::parse(Body_);
  Body.erase("max_completion_tokens");
  Body["max_tokens"] = Limit.count();
  if (Streaming_)
    Body["stream_options"]["include_usage"] = true;
  return Body.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace camphorwind::router
