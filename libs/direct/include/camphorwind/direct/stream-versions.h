#ifndef CAMPHORWIND_DIRECT_STREAM_VERSIONS_H
#define CAMPHORWIND_DIRECT_STREAM_VERSIONS_H

#include "camphorwind/base/ids.h"
#include "camphorwind/base/time.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
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
  /// When the attempt was sent.
  base::TimePoint BeganAt_{};
  /// Number of the write that brought the stream to the table, among those of
  /// the router that began it. An attempt may be sent to several versions in
  /// turn; its highest write counts.
  std::uint64_t Write_ = 0;
};

/// A software version that served in a pool.
struct PoolVersion {
  base::PoolId Pool_;
  std::string Software_;
  base::TimePoint LastSeenAt_{};
  /// Position in the order in which the pool's versions joined. Versions have
  /// equal ranks if it is not known which of them joined first.
  std::uint32_t Rank_ = 0;
};

/// Remembers which software version began each stream, as a stream may go on
/// only there. Does no I/O: what other routers and earlier processes know comes
/// from a table, through add(), addVersion() and setHistoryKnown().
///
/// While one version serves in a pool, its streams are not written. Once
/// another joins, a stream of that one is written before its first event is
/// passed on, so that a stream that the table lacks is of the first version,
/// even if the router that began it has stopped. A router that has not read the
/// table does not know which version is the first; its streams are all written.
/// So are those of a router that knows no order, until the table says that
/// there is none: from then on, nothing is assumed of streams that the table
/// lacks. A router may have missed how versions joined. It ranks one that it
/// has just seen only after it has read the table again, and writes the streams
/// of that version until then.
class StreamVersions {
public:
  /// Time for which streams and versions are remembered. A stream that began
  /// earlier can be taken up only if one version has served since.
  static constexpr std::chrono::seconds Lifetime{60};
  /// Time after a version was last seen for which streams of other versions are
  /// written. Exceeds Lifetime by more than routers differ in when they last
  /// saw the version.
  static constexpr std::chrono::seconds WriteTime{90};
  /// Versions that a router saw first within this time have no order.
  static constexpr std::chrono::seconds MinLead{1};
  /// Maximum number of streams remembered; the oldest are dropped.
  static constexpr std::size_t MaxStreams = 50'000;

  explicit StreamVersions(base::TimePoint StartedAt) : StartedAt_(StartedAt) {}

  /// Notes that an endpoint of this version is listed for the pool.
  void markListed(const base::PoolId &Pool, const std::string &Software,
                  base::TimePoint Now);
  /// Notes that a version has served before, by the table.
  void addVersion(const PoolVersion &Seen);
  /// Notes that the table's versions were all added.
  void setHistoryKnown();
  /// Whether a version was listed that the table, as far as it was read, lacks.
  /// Another router may have seen it join in another order, so that its rank
  /// counts only once the table was read again.
  bool hasUnconfirmedVersions() const;
  /// Notes that the table's versions were added again, by a read that began at
  /// \p ReadStartedAt.
  void confirmVersions(base::TimePoint ReadStartedAt);
  /// Notes that the table may have lost streams and versions.
  void forgetOrder(base::TimePoint Now);
  /// Notes that a row of the table could not be read. It may name streams, and
  /// versions that this router does not know.
  void markRowUnreadable(base::TimePoint Now) { UnreadableAt_ = Now; }

  /// Notes that this router sends a new stream to an endpoint. Replaces what an
  /// earlier send under the same attempt has noted.
  void sent(StreamOrigin Origin);
  /// Notes a stream by the table.
  void add(StreamOrigin Origin);

  /// Returns the stream that \p Attempt began, or null. Valid until the next
  /// call that is not const.
  const StreamOrigin *find(const std::string &Attempt) const;
  /// Whether this router began the stream.
  bool isOwn(const std::string &Attempt) const;
  /// Returns the version that began a stream of the pool which the table, read
  /// after the stream has broken off, lacks; nothing if that may be several.
  std::optional<std::string> versionOfUnwritten(const base::PoolId &Pool,
                                                base::TimePoint Now) const;
  /// Returns the version that began all streams of the pool, if only one has
  /// served for as long as streams are remembered.
  std::optional<std::string> onlyVersion(const base::PoolId &Pool,
                                         base::TimePoint Now) const;
  /// Whether one version joined before all others that have served lately.
  bool isOrdered(const base::PoolId &Pool, base::TimePoint Now) const;
  /// Whether a stream of this version must be in the table before its first
  /// event is passed on.
  bool needsWriting(const base::PoolId &Pool, const std::string &Software,
                    base::TimePoint Now) const;
  bool isWritten(const std::string &Attempt) const;
  /// Whether the table may have the stream under another version, to which its
  /// attempt was sent before.
  bool mayBeTakenForAnother(const std::string &Attempt) const;

  /// Returns streams that this router began and that the table lacks, as far as
  /// a later process or another router could mistake their version.
  std::vector<StreamOrigin> takeUnwritten(base::TimePoint Now);
  /// Notes that the table holds these streams.
  void markWritten(const std::vector<StreamOrigin> &Written);
  /// Whether the table accepts writes; assumed at the start.
  void setWritable(bool Writable) { Writable_ = Writable; }
  bool writable() const { return Writable_; }

  /// Returns the versions whose rank counts.
  std::vector<PoolVersion> versions() const;
  /// Notes that a write that began at \p At has brought these versions to the
  /// table, in rows that no other router writes.
  void markVersionsWritten(const std::vector<PoolVersion> &Written,
                           base::TimePoint At);
  /// Forgets what is older than Lifetime.
  void sweep(base::TimePoint Now);

private:
  struct Stream {
    StreamOrigin Origin_;
    bool Written_ = false;
    /// Whether this router began the stream; it then knows best.
    bool Own_ = false;
    /// Whether Unwritten_ names the stream.
    bool Queued_ = false;
    /// Whether takeUnwritten() has ever returned the stream.
    bool WasTaken_ = false;
    /// Whether it has returned the stream under another version.
    bool HadOtherVersion_ = false;
  };
  struct Version {
    base::TimePoint FirstSeenAt_{};
    base::TimePoint LastSeenAt_{};
    std::uint32_t Rank_ = 0;
    bool FromTable_ = false;
    /// Whether the table was read after the version was first listed.
    bool Confirmed_ = false;
    /// Rank in a row of the table that only this router writes, and when the
    /// write began.
    std::optional<std::uint32_t> WrittenRank_{};
    base::TimePoint WrittenAt_{};
  };
  using Versions = std::map<std::string, Version>;

  /// Returns the rank of a version that joins after those in \p Seen.
  static std::uint32_t nextRank(const Versions &Seen, base::TimePoint JoinedAt);

  bool isHistoryComplete(base::TimePoint Now) const {
    return HistoryKnown_ || Now - StartedAt_ >= Lifetime;
  }
  /// Whether this router has read all of the table. If rows had been lost by
  /// then, or could not be read, they count for some time.
  bool isTableKnown(base::TimePoint Now) const {
    if (UnreadableAt_ && Now - *UnreadableAt_ < WriteTime)
      return false;
    return HistoryKnown_ || (OrderLostAt_ && Now - *OrderLostAt_ >= WriteTime);
  }
  /// Whether no other version of the pool was seen within \p Span.
  bool isAlone(const base::PoolId &Pool, const std::string &Software,
               base::Duration Span, base::TimePoint Now) const;
  /// Returns the versions that joined before all others seen within \p Span.
  std::vector<const std::pair<const std::string, Version> *>
  earliest(const base::PoolId &Pool, base::Duration Span,
           base::TimePoint Now) const;
  /// Returns the version that joined before all others seen within \p Span;
  /// nothing if that is not known.
  std::optional<std::string> firstVersion(const base::PoolId &Pool,
                                          base::Duration Span,
                                          base::TimePoint Now) const;
  /// Whether several versions may have begun streams of the pool, as far as
  /// this router knows.
  bool isAmbiguous(const base::PoolId &Pool, base::TimePoint Now) const;
  void insert(Stream Inserted);

  base::TimePoint StartedAt_;
  bool HistoryKnown_ = false;
  bool Writable_ = true;
  /// When the table last lost rows.
  std::optional<base::TimePoint> OrderLostAt_;
  std::unordered_map<std::string, Stream> Streams_;
  /// Attempts in the order in which they were noted.
  std::deque<std::string> Order_;
  /// When the latest of the streams began that were dropped for want of room.
  std::optional<base::TimePoint> DroppedBeganAt_;
  /// When a row of the table could last not be read.
  std::optional<base::TimePoint> UnreadableAt_;
  /// Attempts of this router whose streams the table lacks.
  std::vector<std::string> Unwritten_;
  std::map<base::PoolId, Versions> Versions_;
};

} // namespace camphorwind::direct

#endif // CAMPHORWIND_DIRECT_STREAM_VERSIONS_H
