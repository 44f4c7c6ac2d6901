#include "camphorwind/direct/headers.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <strings.h>
#include <utility>

namespace camphorwind::direct {

namespace {

/// Headers that apply to one connection only, or that are generated anew for
/// each message.
constexpr std::array<std::string_view, 10> HopByHopHeaders{
    "Connection",
    "Keep-Alive",
    "Proxy-Connection",
    "Transfer-Encoding",
    "TE",
    "Trailer",
    "Upgrade",
    "Expect",
    "Content-Length",
    "Proxy-Authorization"};

/// Upper bounds of values from callers, which keep sums from overflowing. No
/// caller waits for longer, and no budget covers as many tokens.
constexpr std::chrono::milliseconds MaxTimeLeft = std::chrono::hours(24);
constexpr std::int64_t MaxTokens = 1'000'000'000'000'000;

bool equalIgnoringCase(std::string_view Left, std::string_view Right) {
  return Left.size() == Right.size() &&
         strncasecmp(Left.data(), Right.data(), Left.size()) == 0;
}

std::string_view trim(std::string_view Text) {
  constexpr std::string_view Space = " \t";
  std::size_t First = Text.find_first_not_of(Space);
  if (First == std::string_view::npos)
    return {};
  return Text.substr(First, Text.find_last_not_of(Space) - First + 1);
}

template <class Number>
std::optional<Number> parseNumber(std::string_view Text) {
  Text = trim(Text);
  Number Value{};
  auto [End, Error] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Error != std::errc() || End != Text.data() + Text.size())
    return std::nullopt;
  return Value;
}

/// Calls \p OnItem for each trimmed item of a comma-separated list.
template <class Function>
void forEachItem(std::string_view List, Function OnItem) {
  while (!List.empty()) {
    std::size_t Comma = std::min(List.find(','), List.size());
    OnItem(trim(List.substr(0, Comma)));
    List.remove_prefix(std::min(Comma + 1, List.size()));
  }
}

/// \p ConnectionOptions is the value of the Connection header, which lists
/// further hop-by-hop headers.
bool isHopByHop(std::string_view Name, std::string_view ConnectionOptions) {
  if (std::any_of(HopByHopHeaders.begin(), HopByHopHeaders.end(),
                  [Name](std::string_view Header) {
                    return equalIgnoringCase(Name, Header);
                  }))
    return true;
  bool Listed = false;
  forEachItem(ConnectionOptions, [&](std::string_view Option) {
    Listed = Listed || equalIgnoringCase(Option, Name);
  });
  return Listed;
}

/// Returns the token, or an empty string for any other scheme.
std::string_view bearerToken(std::string_view Authorization) {
  constexpr std::string_view Scheme = "Bearer ";
  if (Authorization.size() <= Scheme.size() ||
      strncasecmp(Authorization.data(), Scheme.data(), Scheme.size()) != 0)
    return {};
  return trim(Authorization.substr(Scheme.size()));
}

std::vector<routing::PromptPart> parsePromptParts(std::string_view List) {
  std::vector<routing::PromptPart> PromptParts;
  forEachItem(List, [&PromptParts](std::string_view Item) {
    std::size_t Colon = Item.find(':');
    if (Colon == std::string_view::npos)
      return;
    auto Tokens = parseNumber<std::uint32_t>(Item.substr(Colon + 1));
    if (Tokens)
      PromptParts.push_back({XXH3_64bits(Item.data(), Colon), *Tokens});
  });
  return PromptParts;
}

/// Parses a number of seconds, which may have a fraction.
std::optional<std::chrono::milliseconds> parseHoldOff(std::string_view Text) {
  auto Seconds = parseNumber<double>(Text);
  // The negation also rejects NaN.
  if (!Seconds || !(*Seconds >= 0))
    return std::nullopt;
  std::chrono::duration<double> Bounded(
      std::min(*Seconds, std::chrono::duration<double>(MaxHoldOff).count()));
  return std::chrono::ceil<std::chrono::milliseconds>(Bounded);
}

/// Parses the figures of a load header. Figures behind those that are known
/// are ignored.
std::optional<EndpointLoad> parseLoad(std::string_view Text) {
  std::vector<std::optional<std::uint32_t>> Figures;
  forEachItem(Text, [&Figures](std::string_view Item) {
    Figures.push_back(parseNumber<std::uint32_t>(Item));
  });
  constexpr std::size_t RequiredFigures = 3;
  if (Figures.size() < RequiredFigures || !Figures[0] || !Figures[1] ||
      !Figures[2])
    return std::nullopt;
  EndpointLoad Load{*Figures[0], *Figures[1], *Figures[2], std::nullopt};
  if (Figures.size() > RequiredFigures)
    Load.WorkTimePercent_ = Figures[RequiredFigures];
  return Load;
}

std::optional<double> parseRequestLimit(std::string_view Text) {
  auto PerSecond = parseNumber<double>(Text);
  if (!PerSecond || !std::isfinite(*PerSecond) || *PerSecond < 0)
    return std::nullopt;
  return PerSecond;
}

} // namespace

RequestMetadata parseRequestHeaders(const net::HttpHeaders &Headers,
                                    const HeaderNames &Names) {
  RequestMetadata Metadata;
  auto ValueOf = [&Headers](const std::string &Name) {
    return std::string(Headers.find(Name).value_or(""));
  };
  Metadata.AttemptId_ = ValueOf(Names.AttemptId_);
  Metadata.Model_ = ValueOf(Names.Model_);
  Metadata.Host_ = ValueOf("Host");
  Metadata.ApiKey_ = bearerToken(Headers.find("Authorization").value_or(""));
  if (auto FieldValue = Headers.find(Names.TimeLeft_))
    if (auto Value = parseNumber<std::int64_t>(*FieldValue);
        Value && *Value >= 0)
      Metadata.TimeLeft_ =
          std::min(std::chrono::milliseconds(*Value), MaxTimeLeft);
  Metadata.ResumedAttempt_ =
      std::string(Headers.find(Names.ResumedAttempt_).value_or(""));
  if (auto FieldValue = Headers.find(Names.LastEventId_))
    Metadata.LastEventId_ = parseNumber<std::uint64_t>(*FieldValue);
  if (auto FieldValue = Headers.find(Names.TokenBounds_)) {
    std::vector<std::int64_t> Counts;
    forEachItem(*FieldValue, [&Counts](std::string_view Item) {
      Counts.push_back(parseNumber<std::int64_t>(Item).value_or(-1));
    });
    if (Counts.size() == 2 && Counts[0] >= 0 && Counts[1] >= 0) {
      Metadata.HasTokenBounds_ = true;
      Metadata.PromptTokens_ = base::Tokens(std::min(Counts[0], MaxTokens));
      Metadata.MaxOutputTokens_ = base::Tokens(std::min(Counts[1], MaxTokens));
    }
  }
  if (auto FieldValue = Headers.find(Names.PromptParts_))
    Metadata.PromptParts_ = parsePromptParts(*FieldValue);
  return Metadata;
}

net::HttpHeaders makeAttemptHeaders(const net::HttpHeaders &FromCaller,
                                    const AttemptMetadata &Metadata,
                                    const HeaderNames &Names) {
  net::HttpHeaders Forwarded;
  std::string_view ConnectionOptions =
      FromCaller.find("Connection").value_or("");
  auto IsSetByRouter = [&Names](std::string_view Name) {
    for (const std::string *RouterHeader :
         {&Names.TimeLeft_, &Names.Account_, &Names.ExpectedInstance_,
          &Names.Urgency_, &Names.FetchCacheFrom_, &Names.LastEventId_})
      if (equalIgnoringCase(Name, *RouterHeader))
        return true;
    return std::any_of(Names.Reserved_.begin(), Names.Reserved_.end(),
                       [Name](const std::string &Header) {
                         return equalIgnoringCase(Name, Header);
                       });
  };
  for (const auto &[Name, Value] : FromCaller.fields())
    if (!isHopByHop(Name, ConnectionOptions) && !IsSetByRouter(Name) &&
        !equalIgnoringCase(Name, "Authorization"))
      Forwarded.add(Name, Value);
  Forwarded.add(Names.TimeLeft_, std::to_string(Metadata.TimeLeft_.count()));
  Forwarded.add(Names.ExpectedInstance_, Metadata.ExpectedInstance_);
  if (!Metadata.Account_.empty())
    Forwarded.add(Names.Account_, Metadata.Account_);
  if (Metadata.Urgency_)
    Forwarded.add(Names.Urgency_, std::to_string(*Metadata.Urgency_));
  if (Metadata.LastEventId_)
    Forwarded.add(Names.LastEventId_, std::to_string(*Metadata.LastEventId_));
  if (Metadata.FetchCacheFrom_)
    Forwarded.add(Names.FetchCacheFrom_,
                  base::toString(*Metadata.FetchCacheFrom_));
  return Forwarded;
}

ResponseMetadata parseResponseHeaders(unsigned Status,
                                      const net::HttpHeaders &Headers,
                                      const HeaderNames &Names) {
  ResponseMetadata Metadata;
  Metadata.Signed_ = Headers.find(Names.Signature_).has_value();
  Metadata.NotExecuted_ = Headers.find(Names.NotExecuted_).has_value();
  Metadata.AttemptId_ = Headers.find(Names.AttemptId_).value_or("");
  if (auto FieldValue = Headers.find(Names.Load_)) {
    Metadata.Load_ = parseLoad(*FieldValue);
    if (!Metadata.Load_)
      Metadata.Malformed_.push_back(Names.Load_);
  }
  if (auto FieldValue = Headers.find(Names.Leaving_)) {
    std::string_view Value = trim(*FieldValue);
    Metadata.Leaving_ = Value == "1";
    if (Value != "1" && Value != "0")
      Metadata.Malformed_.push_back(Names.Leaving_);
  }
  if (auto FieldValue = Headers.find(Names.RequestLimit_)) {
    Metadata.RequestLimit_ = parseRequestLimit(*FieldValue);
    Metadata.RequestLimitUnreadable_ = !Metadata.RequestLimit_;
    if (Metadata.RequestLimitUnreadable_)
      Metadata.Malformed_.push_back(Names.RequestLimit_);
  }
  constexpr unsigned ServiceUnavailable = 503;
  constexpr const char *RetryAfter = "Retry-After";
  if (auto FieldValue = Headers.find(RetryAfter);
      FieldValue && Status == ServiceUnavailable) {
    Metadata.HoldOff_ = parseHoldOff(*FieldValue);
    if (!Metadata.HoldOff_)
      Metadata.Malformed_.emplace_back(RetryAfter);
  }
  return Metadata;
}

net::HttpHeaders makeResponseHeaders(const net::HttpHeaders &FromEndpoint) {
  net::HttpHeaders Forwarded;
  std::string_view ConnectionOptions =
      FromEndpoint.find("Connection").value_or("");
  for (const auto &[Name, Value] : FromEndpoint.fields())
    if (!isHopByHop(Name, ConnectionOptions))
      Forwarded.add(Name, Value);
  return Forwarded;
}

} // namespace camphorwind::direct
