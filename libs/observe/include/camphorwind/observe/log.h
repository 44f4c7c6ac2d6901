#ifndef CAMPHORWIND_OBSERVE_LOG_H
#define CAMPHORWIND_OBSERVE_LOG_H

#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <string_view>
#include <variant>

/// Log lines as JSON objects on standard output, by spdlog. Fields name ids and
/// numbers; keys and prompts are never logged. Writing never blocks: lines that
/// the reader does not take, and lines beyond a rate, are left out and counted.
namespace camphorwind::observe {

enum class LogLevel { Debug, Info, Warning, Error };

/// Returns the level named \p Name ("debug", "info", "warning", "error").
/// Unknown names give Info.
LogLevel logLevelFromString(std::string_view Name);

/// One member of a log line.
struct LogField {
  std::string_view Name_;
  std::variant<std::string_view, std::int64_t, double, bool> Value_;

  LogField(std::string_view Name, std::string_view Value)
      : Name_(Name), Value_(Value) {}
  LogField(std::string_view Name, const char *Value)
      : Name_(Name), Value_(std::string_view(Value)) {}
  template <std::integral Integer>
  LogField(std::string_view Name, Integer Value)
      : Name_(Name), Value_(static_cast<std::int64_t>(Value)) {}
  LogField(std::string_view Name, double Value) : Name_(Name), Value_(Value) {}
  LogField(std::string_view Name, bool Value) : Name_(Name), Value_(Value) {}
};

/// Lines a second that are written in the long run, and at once. Warnings and
/// errors have the same amount of their own.
struct LogRate {
  double PerSecond_ = 400;
  double Burst_ = 2000;
};

/// Starts logging; \p Process names the program in every line.
void startLog(std::string_view Process, LogLevel Least, LogRate Rate = {});

/// Lines left out since the start. The next line that is written after some
/// were left out is preceded by one that says how many.
std::uint64_t droppedLogLines();

/// Writes one line: time, level, process, \p Event and the fields.
void log(LogLevel Level, std::string_view Event,
         std::initializer_list<LogField> Fields = {});

} // namespace camphorwind::observe

#endif // CAMPHORWIND_OBSERVE_LOG_H
