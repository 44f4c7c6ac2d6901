#ifndef CAMPHORWIND_DIRECT_STREAM_VERSIONS_H
#define CAMPHORWIND_DIRECT_STREAM_VERSIONS_H

#include "camphorwind/base/ids.h"
#include "camphorwind/base/time.h"

#include <chrono>
#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace camphorwind::direct {

/// A stream and the software version of the endpoint that began it.
struct StreamOrigin {
  /// Id of the caller's attempt that brought the first event.
  std::string Attempt_;
  base::PoolId Pool_;
  std::string Software_;
  base::TimePoint BeganAt_{};
};

/// A software version that served in a pool.
struct PoolVersion {
  base::PoolId Pool_;
  std::string Software_;
  base::TimePoint LastSeenAt_{};
};

/// Remembers which software version began each stream, as a stream may go on
/// only there. Does no I/O: what other routers and earlier processes know comes
/// from a table, through add(), addVersion() and setHistoryKnown().
class StreamVersions {
public:
  /// Time for which streams and versions are remembered. A stream that began
  /// earlier can be taken up only if one version has served since.
  static constexpr std::chrono::seconds Lifetime{60};
  /// Maximum number of streams remembered; the oldest are dropped.
  static constexpr std::size_t MaxStreams = 50'000;

  explicit StreamVersions(base::TimePoint StartedAt) : StartedAt_(StartedAt) {}

  /// Notes that an endpoint of this version is listed for the pool.
  void markListed(const base::PoolId &Pool, const std::string &Software,
                  base::TimePoint Now);
  /// Notes that a version has served before, by the table.
  void addVersion(const PoolVersion &Seen);
  /// Notes that the table's versions were all added.
  void setHistoryKnown() { HistoryKnown_ = true; }

  /// Notes that this router has passed on the first event of a stream.
  void began(StreamOrigin Origin);
  /// Notes a stream by the table.
  void add(StreamOrigin Origin);

  /// Returns the stream whose first event \p Attempt brought, or null. Valid
  /// until the next call that is not const.
  const StreamOrigin *find(const std::string &Attempt) const;
  /// Returns the only version at which streams of the pool can have begun
  /// within Lifetime; nothing if there may have been several.
  std::optional<std::string> onlyVersion(const base::PoolId &Pool,
                                         base::TimePoint Now) const;
  /// Returns streams that this router began and that the table lacks, as far as
  /// a later process or another router could mistake their version.
  std::vector<StreamOrigin> takeUnwritten(base::TimePoint Now);
  std::vector<PoolVersion> versions() const;
  /// Forgets what is older than Lifetime.
  void sweep(base::TimePoint Now);

private:
  base::TimePoint StartedAt_;
  bool HistoryKnown_ = false;
  std::unordered_map<std::string, StreamOrigin> Streams_;
  /// Attempts in the order in which they were noted.
  std::deque<std::string> Order_;
  /// Attempts of this router whose streams the table lacks.
  std::vector<std::string> Unwritten_;
  /// When each version was last seen, by pool.
  std::map<base::PoolId, std::map<std::string, base::TimePoint>> Versions_;
};

} // namespace camphorwind::direct

#endif // CAMPHORWIND_DIRECT_STREAM_VERSIONS_H
