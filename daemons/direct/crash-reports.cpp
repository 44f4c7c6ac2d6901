#include "crash-reports.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <optional>
#include <utility>

namespace camphorwind::direct {

namespace {

using Json = nlohmann::json;
using routing::Suspect;
using std::chrono::milliseconds;

constexpr const char *CrashField = "crash";
constexpr const char *PartsField = "parts";
constexpr const char *RequestsField = "requests";
constexpr const char *SoundField = "sound";
constexpr const char *SoundRequestField = "sound_request";
constexpr const char *CrashesField = "crashes";
constexpr const char *TimeField = "at_ms";

std::string toHex(std::uint64_t Id) { return fmt::format("{:x}", Id); }

std::optional<std::uint64_t> idFrom(const Json &Value) {
  if (!Value.is_string())
    return std::nullopt;
  const auto &Text = Value.get_ref<const std::string &>();
  constexpr int Hexadecimal = 16;
  std::uint64_t Id = 0;
  auto [End, Error] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Id, Hexadecimal);
  if (Error != std::errc() || End != Text.data() + Text.size())
    return std::nullopt;
  return Id;
}

/// Returns the ids in the list \p Field, none if the field is absent.
std::optional<std::vector<std::uint64_t>> idsFrom(const Json &Object,
                                                  const char *Field) {
  std::vector<std::uint64_t> Ids;
  auto List = Object.find(Field);
  if (List == Object.end())
    return Ids;
  if (!List->is_array())
    return std::nullopt;
  for (const Json &Each : *List) {
    auto Id = idFrom(Each);
    if (!Id)
      return std::nullopt;
    Ids.push_back(*Id);
  }
  return Ids;
}

/// Returns the ids of the suspects of one kind.
Json idsOf(const std::vector<Suspect> &Suspects, Suspect::Kind Kind) {
  Json Ids = Json::array();
  for (const Suspect &Each : Suspects)
    if (Each.Kind_ == Kind)
      Ids.push_back(toHex(Each.Id_));
  return Ids;
}

std::int64_t timeOfDay(base::TimePoint At, const ClockReading &Clock) {
  auto Age = std::chrono::duration_cast<milliseconds>(Clock.Steady_ - At);
  return (Clock.TimeOfDay_ - Age).count();
}

base::TimePoint timePoint(std::int64_t TimeOfDay, const ClockReading &Clock) {
  // Bounded before the subtraction, which could overflow.
  constexpr std::int64_t LongAgo = 0;
  std::int64_t Now = Clock.TimeOfDay_.count();
  return Clock.Steady_ -
         milliseconds(Now - std::clamp(TimeOfDay, LongAgo, Now));
}

std::optional<routing::CrashReport> crashFrom(const Json &Object,
                                              base::TimePoint At) {
  auto Parts = idsFrom(Object, PartsField);
  auto Requests = idsFrom(Object, RequestsField);
  if (!Object[CrashField].is_string() || !Object.contains(PartsField) ||
      !Parts || !Requests)
    return std::nullopt;
  routing::CrashReport Report;
  Report.Crash_ = Object[CrashField].get<std::string>();
  Report.At_ = At;
  for (std::uint64_t Each : *Parts)
    Report.Suspects_.push_back({Suspect::Kind::PromptPart, Each});
  for (std::uint64_t Each : *Requests)
    Report.Suspects_.push_back({Suspect::Kind::Request, Each});
  return Report;
}

std::optional<routing::SoundReport> soundFrom(const Json &Object,
                                              const char *Field,
                                              Suspect::Kind Kind,
                                              base::TimePoint At) {
  auto Id = idFrom(Object[Field]);
  auto Crashes = Object.find(CrashesField);
  if (!Id || Crashes == Object.end() || !Crashes->is_array())
    return std::nullopt;
  routing::SoundReport Report{{Kind, *Id}, {}, At};
  for (const Json &Each : *Crashes) {
    if (!Each.is_string())
      return std::nullopt;
    Report.Crashes_.push_back(Each.get<std::string>());
  }
  return Report;
}

} // namespace

ClockReading ClockReading::now() {
  return {base::SteadyClock().now(),
          std::chrono::duration_cast<milliseconds>(
              std::chrono::system_clock::now().time_since_epoch())};
}

std::vector<CrashReportRow> encodeReports(const CrashReports &Reports,
                                          const base::RouterId &Router,
                                          const ClockReading &Clock) {
  std::vector<CrashReportRow> Rows;
  for (const routing::CrashReport &Each : Reports.Crashes_) {
    Rows.push_back(
        {fmt::format("crash/{}/{}", Each.Crash_, Router.str()),
         Json{{CrashField, Each.Crash_},
              {PartsField, idsOf(Each.Suspects_, Suspect::Kind::PromptPart)},
              {RequestsField, idsOf(Each.Suspects_, Suspect::Kind::Request)},
              {TimeField, timeOfDay(Each.At_, Clock)}}
             .dump()});
  }
  for (const routing::SoundReport &Each : Reports.Sound_) {
    bool IsRequest = Each.Suspect_.Kind_ == Suspect::Kind::Request;
    Rows.push_back(
        {fmt::format("{}/{}/{}/{}", IsRequest ? "sound-request" : "sound",
                     toHex(Each.Suspect_.Id_), Router.str(),
                     timeOfDay(Each.At_, Clock)),
         Json{{IsRequest ? SoundRequestField : SoundField,
               toHex(Each.Suspect_.Id_)},
              {CrashesField, Each.Crashes_},
              {TimeField, timeOfDay(Each.At_, Clock)}}
             .dump()});
  }
  return Rows;
}

bool decodeReport(std::string_view Value, const ClockReading &Clock,
                  CrashReports &Reports) {
  const Json Object = Json::parse(Value, nullptr, false);
  if (!Object.is_object() || !Object.contains(TimeField) ||
      !Object[TimeField].is_number_integer())
    return false;
  base::TimePoint At = timePoint(Object[TimeField].get<std::int64_t>(), Clock);
  if (Object.contains(CrashField)) {
    auto Report = crashFrom(Object, At);
    if (Report)
      Reports.Crashes_.push_back(std::move(*Report));
    return Report.has_value();
  }
  const char *Field = SoundField;
  Suspect::Kind Kind = Suspect::Kind::PromptPart;
  if (Object.contains(SoundRequestField)) {
    Field = SoundRequestField;
    Kind = Suspect::Kind::Request;
  }
  if (!Object.contains(Field))
    return false;
  auto Report = soundFrom(Object, Field, Kind, At);
  if (Report)
    Reports.Sound_.push_back(std::move(*Report));
  return Report.has_value();
}

} // namespace camphorwind::direct
