#ifndef CAMPHORWIND_DAEMONS_DIRECT_CRASH_REPORTS_H
#define CAMPHORWIND_DAEMONS_DIRECT_CRASH_REPORTS_H

#include "camphorwind/base/ids.h"
#include "camphorwind/base/time.h"
#include "camphorwind/routing/quarantine.h"

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

namespace camphorwind::direct {

/// What one router tells the others about requests and prompt parts that crash
/// engines.
struct CrashReports {
  std::vector<routing::CrashReport> Crashes_;
  std::vector<routing::SoundReport> Sound_;

  bool empty() const { return Crashes_.empty() && Sound_.empty(); }
};

/// The clocks of one process at one moment, to turn its own time points into
/// times of day and back. Times of day of two hosts may differ by seconds.
struct ClockReading {
  base::TimePoint Steady_{};
  std::chrono::milliseconds TimeOfDay_{0};

  static ClockReading now();
};

/// One report as a row of a table that all routers read.
struct CrashReportRow {
  std::string Key_;
  std::string Value_;
};

/// Returns one row for each report, as JSON objects:
///
///     crash/START/ROUTER
///         {"crash": START, "parts": [HEX...], "requests": [HEX...],
///          "at_ms": TIME}
///     sound/HEX/ROUTER/TIME
///         {"sound": HEX, "crashes": [START...], "at_ms": TIME}
///     sound-request/HEX/ROUTER/TIME
///         {"sound_request": HEX, "crashes": [START...], "at_ms": TIME}
///
/// A report that is written twice has one row.
std::vector<CrashReportRow> encodeReports(const CrashReports &Reports,
                                          const base::RouterId &Router,
                                          const ClockReading &Clock);
/// Appends the report of a row to \p Reports. Returns false, and appends
/// nothing, if the row can't be parsed. A time in the future counts as now.
/// "requests" may be absent.
bool decodeReport(std::string_view Value, const ClockReading &Clock,
                  CrashReports &Reports);

} // namespace camphorwind::direct

#endif // CAMPHORWIND_DAEMONS_DIRECT_CRASH_REPORTS_H
