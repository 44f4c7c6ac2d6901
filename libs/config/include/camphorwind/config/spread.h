#ifndef CAMPHORWIND_CONFIG_SPREAD_H
#define CAMPHORWIND_CONFIG_SPREAD_H

#include "camphorwind/base/result.h"
#include "camphorwind/base/table.h"
#include "camphorwind/base/time.h"
#include "camphorwind/config/messages.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

/// Brings the accepted configuration into force in one process, and never a
/// lower version than it had. Routers read the table; every process tells its
/// linked peers what it knows, so that agents, and processes that lost the
/// table, learn of it too.
///
/// A process has no disk. So that a restart can't take it back, it puts a
/// revision in force only when most of its linked peers know of it, or after
/// AckWait_; a restarted process that can't read the table first hears most of
/// its peers. A peer that has not settled itself since its own start does not
/// count there, because it may have forgotten.
namespace camphorwind::config {

/// A link to another process; the driver never uses a number twice.
using PeerNumber = std::uint64_t;

/// Timing of one process's Spread.
struct SpreadSettings {
  /// Time between two reads of the table; zero in processes without one.
  base::Duration Poll_ = std::chrono::seconds(1);
  /// Time until text is asked for again, elsewhere.
  base::Duration FetchTimeout_ = std::chrono::seconds(1);
  /// Time until an announcement that was not answered is repeated.
  base::Duration Repeat_ = std::chrono::seconds(1);
  /// Longest wait for most peers to know of a revision.
  base::Duration AckWait_ = std::chrono::milliseconds(500);
  /// Shortest wait for peers after a start without the table.
  base::Duration Settle_ = std::chrono::seconds(1);
};

/// Why settings do not fit together.
enum class SpreadError { NotPositive };

/// What the driver has to do. Reads are answered by onRow and onObject, a
/// Serve is not answered.
struct PollCurrent {};
struct FetchObject {
  std::string Name_;
};
struct SendAnnounce {
  PeerNumber Peer_ = 0;
  Announce Message_;
};
struct SendRequest {
  PeerNumber Peer_ = 0;
  ContentRequest Message_;
};
struct SendContent {
  PeerNumber Peer_ = 0;
  Content Message_;
};
/// New requests use this text from now on; requests in progress keep theirs.
struct PutInForce {
  Revision Revision_;
  std::string Text_;
};
using SpreadAction = std::variant<PollCurrent, FetchObject, SendAnnounce,
                                  SendRequest, SendContent, PutInForce>;
using SpreadActions = std::vector<SpreadAction>;

/// Totals since the start, for metrics.
struct SpreadCounters {
  std::uint64_t Polls_ = 0;
  std::uint64_t PollsFailed_ = 0;
  std::uint64_t WholeTexts_ = 0;
  std::uint64_t Patches_ = 0;
  /// Texts whose hash was wrong, and patches that did not fit.
  std::uint64_t BadTexts_ = 0;
  /// Revisions of one version with different hashes; must stay 0.
  std::uint64_t Contradictions_ = 0;
  /// News of a version below the one known; ignored.
  std::uint64_t Stale_ = 0;
};

/// The configuration's spread in one process.
class Spread {
public:
  static base::Result<Spread, SpreadError> create(SpreadSettings Settings,
                                                  base::TimePoint Start);

  /// Every event returns what to do. Call onTimer when wakeAt() has come.
  SpreadActions onTimer(base::TimePoint Now);
  base::TimePoint wakeAt() const;

  SpreadActions onRow(base::TimePoint Now, const base::ReadResult &Read);
  /// \p Bytes is empty if the object could not be had.
  SpreadActions onObject(base::TimePoint Now, const std::string &Name,
                         const std::optional<std::string> &Bytes);

  SpreadActions onPeerUp(base::TimePoint Now, PeerNumber Number);
  SpreadActions onPeerDown(base::TimePoint Now, PeerNumber Number);
  SpreadActions onAnnounce(base::TimePoint Now, PeerNumber Number,
                           const Announce &Message);
  SpreadActions onRequest(PeerNumber Number, const ContentRequest &Message);
  SpreadActions onContent(base::TimePoint Now, const Content &Message);

  const Revision &inForce() const { return InForce_; }
  /// The highest revision heard of.
  const Revision &known() const { return Known_; }
  bool settled() const { return Settled_; }
  const std::string &text() const { return Text_; }
  const SpreadCounters &counters() const { return Counters_; }

private:
  struct Peer {
    /// What the peer has announced.
    std::uint64_t Known_ = 0;
    bool Settled_ = false;
    /// What the peer was last told; nothing before the first time.
    std::optional<std::pair<std::uint64_t, bool>> Told_;
    base::TimePoint ToldAt_{};
  };
  /// A recent change, kept to serve peers that are one version behind.
  struct Step {
    Revision From_;
    Revision To_;
    Patch Change_;
  };

  Spread(SpreadSettings Settings, base::TimePoint Start);
  bool usesTable() const { return Settings_.Poll_ > base::Duration::zero(); }
  void learn(base::TimePoint Now, const Revision &Heard);
  void tellPeers(base::TimePoint Now, SpreadActions &Actions);
  void fetch(base::TimePoint Now, SpreadActions &Actions);
  bool fetchFromStore(SpreadActions &Actions);
  void fetchFromPeer(SpreadActions &Actions);
  void receive(const Revision &Found, std::string Text, Patch Change);
  void receivePatch(const Revision &Found, const Patch &Change);
  void settle(base::TimePoint Now);
  bool isAcknowledged(base::TimePoint Now) const;
  template <class Holds> bool mostPeers(Holds Condition) const;
  void advance(base::TimePoint Now, SpreadActions &Actions);
  void reject();
  Content answerTo(const ContentRequest &Message) const;
  void serveWaiting(SpreadActions &Actions);

  SpreadSettings Settings_;
  base::TimePoint Start_;
  base::TimePoint NextPoll_;
  base::TimePoint LastEvent_{};
  bool PollOpen_ = false;
  /// Whether Known_ is at least what was in force here before the start.
  bool Settled_ = false;
  Revision Known_;
  base::TimePoint KnownAt_{};
  Revision InForce_;
  std::string Text_;
  /// The text of Known_, once fetched and not yet in force.
  std::optional<Step> Held_;
  std::string HeldText_;
  base::TimePoint NextFetch_{};
  /// Tells whether the next fetch goes to a peer or to the object store.
  bool AskPeerNext_ = false;
  PeerNumber LastAsked_ = 0;
  /// Whether a patch to Known_ did not fit.
  bool PatchFailed_ = false;
  /// Peers that asked for the text of Known_ before it was here.
  std::map<PeerNumber, ContentRequest> Waiting_;
  std::map<PeerNumber, Peer> Peers_;
  std::deque<Step> Steps_;
  SpreadCounters Counters_;
};

} // namespace camphorwind::config

#endif // CAMPHORWIND_CONFIG_SPREAD_H
