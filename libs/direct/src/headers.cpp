#include "camphorwind/direct/headers.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <strings.h>
#include <utility>

namespace camphorwind::direct {

namespace {

/// Headers of one connection, and those that are written anew.
constexpr std::array<std::string_view, 10> ConnectionHeaders{
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

bool sameName(std::string_view A, std::string_view B) {
  return A.size() == B.size() && strncasecmp(A.data(), B.data(), A.size()) == 0;
}

std::string_view trim(std::string_view Text) {
  constexpr std::string_view Space = " \t";
  std::size_t First = Text.find_first_not_of(Space);
  if (First == std::string_view::npos)
    return {};
  return Text.substr(First, Text.find_last_not_of(Space) - First + 1);
}

template <class Number> std::optional<Number> parse(std::string_view Text) {
  Text = trim(Text);
  Number Value{};
  auto [End, Error] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Error != std::errc() || End != Text.data() + Text.size())
    return std::nullopt;
  return Value;
}

/// Calls \p Each with every item of a comma-separated list.
template <class Function> void split(std::string_view List, Function Each) {
  while (!List.empty()) {
    std::size_t Comma = std::min(List.find(','), List.size());
    Each(trim(List.substr(0, Comma)));
    List.remove_prefix(std::min(Comma + 1, List.size()));
  }
}

bool concernsConnection(std::string_view Name,
                        std::string_view ConnectionOptions) {
  if (std::any_of(
          ConnectionHeaders.begin(), ConnectionHeaders.end(),
          [Name](std::string_view Each) { return sameName(Name, Each); }))
    return true;
  bool Listed = false;
  split(ConnectionOptions, [&](std::string_view Option) {
    Listed = Listed || sameName(Option, Name);
  });
  return Listed;
}

std::string_view withoutScheme(std::string_view Authorization) {
  constexpr std::string_view Scheme = "Bearer ";
  if (Authorization.size() <= Scheme.size() ||
      strncasecmp(Authorization.data(), Scheme.data(), Scheme.size()) != 0)
    return {};
  return trim(Authorization.substr(Scheme.size()));
}

std::vector<routing::PromptPart> parseParts(std::string_view List) {
  std::vector<routing::PromptPart> Parts;
  split(List, [&Parts](std::string_view Item) {
    std::size_t Colon = Item.find(':');
    if (Colon == std::string_view::npos)
      return;
    auto Tokens = parse<std::uint32_t>(Item.substr(Colon + 1));
    if (Tokens)
      Parts.push_back({XXH3_64bits(Item.data(), Colon), *Tokens});
  });
  return Parts;
}

} // namespace

RequestFacts readRequest(const net::HttpHeaders &Headers,
                         const HeaderNames &Names) {
  RequestFacts Facts;
  auto Text = [&Headers](const std::string &Name) {
    return std::string(Headers.find(Name).value_or(""));
  };
  Facts.AttemptId_ = Text(Names.AttemptId_);
  Facts.Model_ = Text(Names.Model_);
  Facts.Host_ = Text("Host");
  Facts.Key_ = withoutScheme(Headers.find("Authorization").value_or(""));
  if (auto Field = Headers.find(Names.TimeLeft_))
    if (auto Value = parse<std::int64_t>(*Field); Value && *Value >= 0)
      Facts.TimeLeft_ = std::chrono::milliseconds(*Value);
  if (auto Field = Headers.find(Names.LastEventId_))
    Facts.LastEventId_ = parse<std::uint64_t>(*Field);
  if (auto Field = Headers.find(Names.TokenBounds_)) {
    std::vector<std::int64_t> Counts;
    split(*Field, [&Counts](std::string_view Item) {
      Counts.push_back(parse<std::int64_t>(Item).value_or(-1));
    });
    if (Counts.size() == 2 && Counts[0] >= 0 && Counts[1] >= 0) {
      Facts.HasTokenBounds_ = true;
      Facts.PromptTokens_ = base::Tokens(Counts[0]);
      Facts.MaxOutputTokens_ = base::Tokens(Counts[1]);
    }
  }
  if (auto Field = Headers.find(Names.PromptParts_))
    Facts.Parts_ = parseParts(*Field);
  return Facts;
}

net::HttpHeaders makeAttemptHeaders(const net::HttpHeaders &FromCaller,
                                    const AttemptFacts &Facts,
                                    const HeaderNames &Names) {
  net::HttpHeaders Out;
  std::string_view Options = FromCaller.find("Connection").value_or("");
  auto IsReserved = [&Names](std::string_view Name) {
    for (const std::string *Own :
         {&Names.TimeLeft_, &Names.Account_, &Names.ExpectedInstance_,
          &Names.Urgency_, &Names.FetchCacheFrom_, &Names.LastEventId_})
      if (sameName(Name, *Own))
        return true;
    return std::any_of(
        Names.Reserved_.begin(), Names.Reserved_.end(),
        [Name](const std::string &Each) { return sameName(Name, Each); });
  };
  for (const auto &[Name, Value] : FromCaller.fields())
    if (!concernsConnection(Name, Options) && !IsReserved(Name) &&
        !sameName(Name, "Authorization"))
      Out.add(Name, Value);
  Out.add(Names.TimeLeft_, std::to_string(Facts.TimeLeft_.count()));
  Out.add(Names.ExpectedInstance_, Facts.Instance_);
  if (!Facts.Account_.empty())
    Out.add(Names.Account_, Facts.Account_);
  if (Facts.Urgency_)
    Out.add(Names.Urgency_, std::to_string(*Facts.Urgency_));
  if (Facts.LastEventId_)
    Out.add(Names.LastEventId_, std::to_string(*Facts.LastEventId_));
  if (Facts.FetchCacheFrom_)
    Out.add(Names.FetchCacheFrom_, base::toString(*Facts.FetchCacheFrom_));
  return Out;
}

AnswerFacts readAnswer(const net::HttpHeaders &Headers,
                       const HeaderNames &Names) {
  AnswerFacts Facts;
  Facts.Signed_ = Headers.find(Names.Signature_).has_value();
  Facts.NotExecuted_ = Headers.find(Names.NotExecuted_).has_value();
  Facts.AttemptId_ = Headers.find(Names.AttemptId_).value_or("");
  if (auto Field = Headers.find(Names.Load_)) {
    std::vector<std::uint32_t> Counts;
    split(*Field, [&Counts](std::string_view Item) {
      if (auto Count = parse<std::uint32_t>(Item))
        Counts.push_back(*Count);
    });
    constexpr std::size_t CountsExpected = 3;
    if (Counts.size() == CountsExpected)
      Facts.Load_ = LoadFacts{Counts[0], Counts[1], Counts[2]};
  }
  return Facts;
}

net::HttpHeaders makeAnswerHeaders(const net::HttpHeaders &FromEndpoint) {
  net::HttpHeaders Out;
  std::string_view Options = FromEndpoint.find("Connection").value_or("");
  for (const auto &[Name, Value] : FromEndpoint.fields())
    if (!concernsConnection(Name, Options))
      Out.add(Name, Value);
  return Out;
}

} // namespace camphorwind::direct
