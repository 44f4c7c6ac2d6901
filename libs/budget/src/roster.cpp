#include "roster.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace camphorwind::budget::detail {

namespace {

using Json = nlohmann::json;

constexpr std::string_view Restated = "restated";
constexpr std::string_view Lost = "lost";
constexpr std::string_view Expected = "expected";
/// Keys of eras above 0 begin with this character, the era and a slash.
constexpr char EraMark = 'e';

std::string_view nameOf(RosterState State) {
  switch (State) {
  case RosterState::Expected:
    return Expected;
  case RosterState::Restated:
    return Restated;
  case RosterState::Lost:
    return Lost;
  }
  return Expected;
}

RosterState stateNamed(const std::string &Name) {
  if (Name == Restated)
    return RosterState::Restated;
  return Name == Lost ? RosterState::Lost : RosterState::Expected;
}

} // namespace

void Roster::loseExpected() {
  for (auto &[Router, State] : States_)
    if (State == RosterState::Expected)
      State = RosterState::Lost;
}

std::optional<RosterState> Roster::find(const std::string &Router) const {
  auto Found = States_.find(Router);
  if (Found == States_.end())
    return std::nullopt;
  return Found->second;
}

bool Roster::has(RosterState State) const {
  return std::any_of(States_.begin(), States_.end(), [State](const auto &Each) {
    return Each.second == State;
  });
}

std::string encodeRoster(const Roster &Value) {
  Json Encoded = Json::object();
  for (const auto &[Router, State] : Value.states())
    Encoded[Router] = nameOf(State);
  return Encoded.dump();
}

std::optional<Roster> decodeRoster(std::string_view Text) {
  Json Parsed = Json::parse(Text, nullptr, false);
  if (!Parsed.is_object())
    return std::nullopt;
  Roster Decoded;
  for (const auto &[Router, State] : Parsed.items())
    Decoded.set(Router, stateNamed(State.is_string() ? State.get<std::string>()
                                                     : std::string()));
  return Decoded;
}

std::string withEra(std::uint64_t Era, std::string_view Key) {
  if (Era == 0)
    return std::string(Key);
  return EraMark + std::to_string(Era) + "/" + std::string(Key);
}

EraKey splitEra(std::string_view Key) {
  EraKey Unmarked{0, std::string(Key)};
  if (Key.empty() || Key.front() != EraMark)
    return Unmarked;
  std::uint64_t Era = 0;
  const char *First = Key.data() + 1;
  const char *Last = Key.data() + Key.size();
  auto [End, Error] = std::from_chars(First, Last, Era);
  if (Error != std::errc() || End == First || End == Last || *End != '/')
    return Unmarked;
  return {Era, std::string(End + 1, Last)};
}

} // namespace camphorwind::budget::detail
