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
using std::chrono::milliseconds;

std::string toHex(routing::PromptPartId Part) {
  return fmt::format("{:x}", Part);
}

std::optional<routing::PromptPartId> partFrom(const Json &Value) {
  if (!Value.is_string())
    return std::nullopt;
  const auto &Text = Value.get_ref<const std::string &>();
  constexpr int Hexadecimal = 16;
  routing::PromptPartId Part = 0;
  auto [End, Error] = std::from_chars(Text.data(), Text.data() + Text.size(),
                                      Part, Hexadecimal);
  if (Error != std::errc() || End != Text.data() + Text.size())
    return std::nullopt;
  return Part;
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
  auto Parts = Object.find("parts");
  if (!Object["crash"].is_string() || Parts == Object.end() ||
      !Parts->is_array())
    return std::nullopt;
  routing::CrashReport Report;
  Report.Crash_ = Object["crash"].get<std::string>();
  Report.At_ = At;
  for (const Json &Each : *Parts) {
    auto Part = partFrom(Each);
    if (!Part)
      return std::nullopt;
    Report.Parts_.push_back(*Part);
  }
  return Report;
}

std::optional<routing::SoundReport> soundFrom(const Json &Object,
                                              base::TimePoint At) {
  auto Part = partFrom(Object["sound"]);
  auto Crashes = Object.find("crashes");
  if (!Part || Crashes == Object.end() || !Crashes->is_array())
    return std::nullopt;
  routing::SoundReport Report{*Part, {}, At};
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
    Json Parts = Json::array();
    for (routing::PromptPartId Part : Each.Parts_)
      Parts.push_back(toHex(Part));
    Rows.push_back({fmt::format("crash/{}/{}", Each.Crash_, Router.str()),
                    Json{{"crash", Each.Crash_},
                         {"parts", std::move(Parts)},
                         {"at_ms", timeOfDay(Each.At_, Clock)}}
                        .dump()});
  }
  for (const routing::SoundReport &Each : Reports.Sound_)
    Rows.push_back({fmt::format("sound/{}/{}/{}", toHex(Each.Part_),
                                Router.str(), timeOfDay(Each.At_, Clock)),
                    Json{{"sound", toHex(Each.Part_)},
                         {"crashes", Each.Crashes_},
                         {"at_ms", timeOfDay(Each.At_, Clock)}}
                        .dump()});
  return Rows;
}

bool decodeReport(std::string_view Value, const ClockReading &Clock,
                  CrashReports &Reports) {
  const Json Object = Json::parse(Value, nullptr, false);
  if (!Object.is_object() || !Object.contains("at_ms") ||
      !Object["at_ms"].is_number_integer())
    return false;
  base::TimePoint At = timePoint(Object["at_ms"].get<std::int64_t>(), Clock);
  if (Object.contains("crash")) {
    auto Report = crashFrom(Object, At);
    if (Report)
      Reports.Crashes_.push_back(std::move(*Report));
    return Report.has_value();
  }
  if (!Object.contains("sound"))
    return false;
  auto Report = soundFrom(Object, At);
  if (Report)
    Reports.Sound_.push_back(std::move(*Report));
  return Report.has_value();
}

} // namespace camphorwind::direct
