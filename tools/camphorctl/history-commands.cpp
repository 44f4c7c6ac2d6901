#include "command-line.h"

#include "camphorwind/config/diff.h"
#include "camphorwind/config/revision.h"

#include <fmt/chrono.h>

#include <algorithm>
#include <charconv>
#include <iostream>
#include <optional>

namespace camphorwind::ctl {

namespace {

constexpr std::size_t HistoryShown = 20;

std::string timeText(std::chrono::sys_seconds At) {
  std::time_t Seconds = std::chrono::system_clock::to_time_t(At);
  return fmt::format("{:%Y-%m-%dT%H:%M:%SZ}", fmt::gmtime(Seconds));
}

std::optional<std::uint64_t> versionOf(const std::string &Text) {
  std::uint64_t Version = 0;
  const char *End = Text.data() + Text.size();
  auto [Rest, Error] = std::from_chars(Text.data(), End, Version);
  if (Error != std::errc() || Rest != End || Version == 0)
    return std::nullopt;
  return Version;
}

/// Prints to \p Text the configuration of the version named \p Name.
ExitCode loadVersion(Session &Platform, const std::string &Name,
                     std::string &Text) {
  auto Version = versionOf(Name);
  if (!Version) {
    std::cerr << "found \"" << Name << "\"; allowed: a version from 1\n";
    return ExitCode::BadInput;
  }
  auto Read = Platform.read(config::historyKey(*Version));
  if (Read.Status_ != base::ReadStatus::Ok) {
    std::cerr << "the platform does not answer\n";
    return ExitCode::Unavailable;
  }
  if (Read.Rows_.empty()) {
    std::cerr << "there is no version " << *Version << "\n";
    return ExitCode::NotFound;
  }
  auto Record = config::decodeRecord(Read.Rows_.front().Value_);
  if (!Record) {
    std::cerr << "the row of version " << *Version << " can't be read\n";
    return ExitCode::Internal;
  }
  auto Got = Platform.getObject(config::textObject(Record.value().Revision_));
  if (!Got) {
    bool Missing = Got.error() == platform::FetchError::Missing;
    std::cerr << (Missing ? "the text of this version is gone\n"
                          : "the platform does not answer\n");
    return Missing ? ExitCode::NotFound : ExitCode::Unavailable;
  }
  Text = std::move(Got).value();
  return ExitCode::Success;
}

ExitCode show(CommandContext &Context) {
  std::string Text;
  ExitCode Code =
      loadVersion(*Context.Platform_, Context.text("version"), Text);
  if (Code == ExitCode::Success)
    std::cout << Text;
  return Code;
}

ExitCode diff(CommandContext &Context) {
  std::string Old;
  std::string New;
  ExitCode Code = loadVersion(*Context.Platform_, Context.text("from"), Old);
  if (Code == ExitCode::Success)
    Code = loadVersion(*Context.Platform_, Context.text("to"), New);
  if (Code == ExitCode::Success)
    std::cout << config::describePatch(Old, config::makePatch(Old, New));
  return Code;
}

ExitCode history(CommandContext &Context) {
  auto Read = Context.Platform_->scan(std::string(config::HistoryPrefix));
  if (Read.Status_ != base::ReadStatus::Ok) {
    std::cerr << "the platform does not answer\n";
    return ExitCode::Unavailable;
  }
  Table Shown{{"version", "operator", "accepted_at", "hash"}, {}};
  std::reverse(Read.Rows_.begin(), Read.Rows_.end());
  for (const base::Row &Row : Read.Rows_) {
    auto Record = config::decodeRecord(Row.Value_);
    if (!Record || Shown.Rows_.size() == HistoryShown)
      continue;
    const config::RevisionRecord &Made = Record.value();
    Shown.Rows_.push_back({std::to_string(Made.Revision_.Version_),
                           Made.Operator_, timeText(Made.AcceptedAt_),
                           Made.Revision_.Hash_});
  }
  print(Shown, Context.Output_);
  return ExitCode::Success;
}

} // namespace

std::vector<Command> historyCommands() {
  return {{"config show",
           "print the configuration of a version",
           {"version"},
           {},
           true,
           show},
          {"config diff",
           "print what changed between two versions",
           {"from", "to"},
           {},
           true,
           diff},
          {"config history",
           "list the latest accepted versions",
           {},
           {},
           true,
           history}};
}

} // namespace camphorwind::ctl
