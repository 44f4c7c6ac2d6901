#include "camphorwind/observe/log.h"

#include <nlohmann/json.hpp>
#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <chrono>
#include <memory>
#include <poll.h>
#include <string>
#include <unistd.h>
#include <utility>

namespace camphorwind::observe {

namespace {

/// Allows so many lines a second, with a burst.
class LineBudget {
public:
  explicit LineBudget(LogRate Rate) : Rate_(Rate), Left_(Rate.Burst_) {}

  bool take() {
    auto Now = std::chrono::steady_clock::now();
    std::chrono::duration<double> Since = Now - At_;
    At_ = Now;
    Left_ = std::min(Rate_.Burst_, Left_ + Rate_.PerSecond_ * Since.count());
    if (Left_ < 1)
      return false;
    Left_ -= 1;
    return true;
  }

private:
  LogRate Rate_;
  double Left_;
  std::chrono::steady_clock::time_point At_ = std::chrono::steady_clock::now();
};

/// Writes to standard output as long as that does not block. A pipe that
/// reports room takes at least PIPE_BUF bytes at once.
class StandardOutput final
    : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
public:
  std::uint64_t dropped() const { return Dropped_; }
  void countDropped() { ++Dropped_; }

private:
  static constexpr std::size_t MaxLineBytes = 4096;

  void sink_it_(const spdlog::details::log_msg &Message) override {
    spdlog::memory_buf_t Text;
    formatter_->format(Message, Text);
    pollfd Ready{STDOUT_FILENO, POLLOUT, 0};
    if (Text.size() > MaxLineBytes || ::poll(&Ready, 1, 0) != 1 ||
        (Ready.revents & POLLOUT) == 0 ||
        ::write(STDOUT_FILENO, Text.data(), Text.size()) < 0)
      countDropped();
  }
  void flush_() override {}

  std::uint64_t Dropped_ = 0;
};

/// What the process logs with, once logging has started.
struct LogState {
  std::shared_ptr<StandardOutput> Output_;
  LineBudget Usual_{LogRate()};
  LineBudget Urgent_{LogRate()};
  std::uint64_t Reported_ = 0;
};

LogState &logState() {
  static LogState State;
  return State;
}

std::string &processName() {
  static std::string Name = "camphorwind";
  return Name;
}

spdlog::level::level_enum toSpdlog(LogLevel Level) {
  switch (Level) {
  case LogLevel::Debug:
    return spdlog::level::debug;
  case LogLevel::Info:
    return spdlog::level::info;
  case LogLevel::Warning:
    return spdlog::level::warn;
  case LogLevel::Error:
    return spdlog::level::err;
  }
  return spdlog::level::info;
}

/// Ids may come from callers, so bytes that are not UTF-8 are replaced.
std::string jsonText(std::string_view Text) {
  return nlohmann::json(Text).dump(-1, ' ', false,
                                   nlohmann::json::error_handler_t::replace);
}

} // namespace

LogLevel logLevelFromString(std::string_view Name) {
  if (Name == "debug")
    return LogLevel::Debug;
  if (Name == "warning")
    return LogLevel::Warning;
  if (Name == "error")
    return LogLevel::Error;
  return LogLevel::Info;
}

void startLog(std::string_view Process, LogLevel Least, LogRate Rate) {
  processName() = Process;
  LogState &State = logState();
  State.Output_ = std::make_shared<StandardOutput>();
  State.Usual_ = LineBudget(Rate);
  State.Urgent_ = LineBudget(Rate);
  auto Logger = std::make_shared<spdlog::logger>("camphorwind", State.Output_);
  Logger->set_pattern(R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l",%v})",
                      spdlog::pattern_time_type::utc);
  Logger->set_level(toSpdlog(Least));
  spdlog::set_default_logger(std::move(Logger));
}

std::uint64_t droppedLogLines() {
  const LogState &State = logState();
  return State.Output_ ? State.Output_->dropped() : 0;
}

void log(LogLevel Level, std::string_view Event,
         std::initializer_list<LogField> Fields) {
  if (!spdlog::should_log(toSpdlog(Level)))
    return;
  LogState &State = logState();
  if (State.Output_) {
    bool Usual = Level == LogLevel::Debug || Level == LogLevel::Info;
    if (!(Usual ? State.Usual_ : State.Urgent_).take()) {
      State.Output_->countDropped();
      return;
    }
    std::uint64_t Dropped = State.Output_->dropped();
    if (Dropped != State.Reported_)
      spdlog::log(spdlog::level::warn,
                  "\"process\":{},\"event\":\"log_lines_dropped\","
                  "\"lines\":{}",
                  jsonText(processName()),
                  Dropped - std::exchange(State.Reported_, Dropped));
  }
  std::string Line = "\"process\":" + jsonText(processName()) +
                     ",\"event\":" + jsonText(Event);
  for (const LogField &Field : Fields) {
    Line += ",";
    Line += jsonText(Field.Name_);
    Line += ":";
    Line += std::visit(
        [](auto Value) -> std::string {
          if constexpr (std::is_same_v<decltype(Value), std::string_view>)
            return jsonText(Value);
          else
            return nlohmann::json(Value).dump();
        },
        Field.Value_);
  }
  spdlog::log(toSpdlog(Level), "{}", Line);
}

} // namespace camphorwind::observe
