#ifndef CAMPHORWIND_ROUTING_QUARANTINE_H
#define CAMPHORWIND_ROUTING_QUARANTINE_H

#include "camphorwind/base/time.h"
#include "camphorwind/routing/prompt-cache.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

namespace camphorwind::routing {

/// What may have crashed an engine.
struct Suspect {
  enum class Kind {
    /// A part of a prompt that requests may share; PromptPart::Id_.
    PromptPart,
    /// One request however often it comes, identified by a hash.
    Request,
  };

  Kind Kind_ = Kind::PromptPart;
  std::uint64_t Id_ = 0;

  friend bool operator==(const Suspect &, const Suspect &) = default;
  friend bool operator<(const Suspect &Left, const Suspect &Right) {
    return std::tie(Left.Kind_, Left.Id_) < std::tie(Right.Kind_, Right.Id_);
  }
};

/// Returns the name used in logs, such as "prompt_part".
std::string_view toString(Suspect::Kind Kind);

/// Returns what may crash an engine that runs a request: the request itself,
/// and all parts of its prompt but the last one, which belongs to one request
/// or session. \p Request is the same whenever the request comes again.
std::vector<Suspect> suspectsIn(std::span<const PromptPart> Prompt,
                                std::uint64_t Request);

struct QuarantineOptions {
  /// Number of rounds of crashes from which a suspect is quarantined.
  std::size_t QuarantineLimit_ = 3;
  /// Number of rounds from which requests with the suspect are not repeated.
  std::size_t RepeatLimit_ = 2;
  /// Number of crashes from which a prompt part is quarantined after fewer
  /// rounds.
  std::size_t BurstLimit_ = 5;
  /// Largest number of engines that crash meanwhile without the part, as a
  /// fraction of these crashes. More of them show a cause of another kind.
  double MaxOtherCrashes_ = 0.25;
  /// Crashes this close to one another are of one round for a prompt part: a
  /// lost host or a failed rollout ends several engines at once, whatever they
  /// were answering. Copies of one request are hardly ever in flight at all of
  /// them.
  std::chrono::milliseconds CrashSpacing_{250};
  /// A suspect is not blamed for a crash this soon after a whole answer to a
  /// request with it. What crashes engines only from some moment on, such as
  /// the rollout of another engine version, is blamed this much later.
  std::chrono::milliseconds SoundTime_{5000};
  /// How long a crash counts, and thus how long a quarantine lasts after the
  /// last crash.
  std::chrono::milliseconds Memory_{600'000};
};

/// The crash of an engine, with what it was answering for one router.
struct CrashReport {
  /// Names one start of one engine, the same in the reports of all routers.
  std::string Crash_;
  std::vector<Suspect> Suspects_;
  base::TimePoint At_{};
};

/// Crashes that a suspect has not caused, since a request with it was answered.
struct SoundReport {
  Suspect Suspect_;
  std::vector<std::string> Crashes_;
  base::TimePoint At_{};
};

/// A suspect that was quarantined or released.
struct QuarantineChange {
  Suspect Suspect_;
  bool Quarantined_ = false;
  std::size_t Crashes_ = 0;
};

/// Finds requests and prompt parts that crash the engines answering them.
///
/// Such a suspect is in flight at each engine that crashes, and no request with
/// it is ever answered. A crash also ends the requests of others, so that sound
/// ones are in flight too; but these are answered elsewhere. Each crash is
/// attributed to the suspect, among those in flight, that was in flight at most
/// crashes and that no whole answer has cleared. If a request was in flight at
/// as many crashes as a part of its prompt, the request is blamed: other
/// requests with the part may be sound.
///
/// Crashes of one round, close to one another, may have one cause that no
/// request has to do with; then engines crash without the suspect, too. A
/// prompt part is quarantined after QuarantineLimit_ rounds, or after
/// BurstLimit_ crashes if hardly any engine crashed without it meanwhile.
///
/// Routers exchange reports, so that all of them come to the same result. No
/// call does I/O. \p Now must not decrease from call to call.
class Quarantine {
public:
  explicit Quarantine(QuarantineOptions Options = {}) : Options_(Options) {}

  /// Records a whole answer to a request with \p Suspects that was sent at
  /// \p SentAt.
  void answered(std::span<const Suspect> Suspects, base::TimePoint SentAt,
                base::TimePoint Now);
  /// Returns those of \p Suspects that may be to blame if the engine answering
  /// the request has crashed.
  std::vector<Suspect> blamable(std::span<const Suspect> Suspects,
                                base::TimePoint Now) const;
  /// Takes over a report of this router or of another one. A repeated report
  /// has no effect.
  void addCrash(const CrashReport &Report, base::TimePoint Now);
  void addSound(const SoundReport &Report, base::TimePoint Now);
  /// Returns the proofs, since the last call, that other routers need.
  std::vector<SoundReport> takeSoundReports();

  /// Returns how long the quarantine of one of \p Suspects still lasts, or
  /// nothing if the request may be sent.
  std::optional<base::Duration>
  quarantineTime(std::span<const Suspect> Suspects, base::TimePoint Now);
  /// Whether a request may be sent once more after its engine has failed.
  bool mayRepeat(std::span<const Suspect> Suspects);

  /// Forgets what no longer counts. Call about every second.
  void sweep(base::TimePoint Now);
  /// Returns the suspects quarantined and released since the last call.
  std::vector<QuarantineChange> takeChanges();
  /// Returns the number of quarantined suspects.
  std::size_t size();

private:
  struct Crash {
    base::TimePoint At_{};
    std::set<Suspect> Suspects_;
  };
  /// Crashes attributed to a suspect, before any is attributed to another.
  struct Blame {
    std::size_t Crashes_ = 0;
    std::size_t Rounds_ = 0;
    /// The last crash of the last round.
    base::TimePoint LastAt_{};
    bool IsQuarantinable_ = false;
  };
  using Blames = std::map<Suspect, Blame>;
  struct Hash {
    std::size_t operator()(const Suspect &Value) const {
      return Value.Id_ ^ static_cast<std::size_t>(Value.Kind_);
    }
  };
  using Times = std::unordered_map<Suspect, base::TimePoint, Hash>;

  bool isSound(const Suspect &Tested, base::TimePoint Now) const;
  /// Removes the suspect from the crashes up to \p At, and tells other routers
  /// if they may hold its requests back.
  void acquit(const Suspect &Sound, base::TimePoint At, base::TimePoint Now);
  Blames countCrashes(const std::set<std::string> &Explained) const;
  /// Counts the crashes of one suspect, which are in the order of time.
  Blame countRounds(const Suspect &Counted,
                    const std::vector<const Crash *> &Crashes) const;
  /// Whether \p Crashes of one suspect are enough for a quarantine, in spite of
  /// too few rounds.
  bool isBurst(const Suspect &Counted,
               const std::vector<const Crash *> &Crashes) const;
  /// Returns the suspects to quarantine next, given the crashes that are not
  /// explained yet; empty if there are none.
  std::vector<Suspect> mostBlamed(const Blames &Remaining) const;
  /// Whether one of the crash's suspects is among \p Blamed.
  static bool isExplained(const Crash &Entry, const Blames &Blamed);
  /// Drops the oldest crash that no quarantine rests on, if there is one.
  void dropOldestCrash();
  /// Derives Blames_ and Quarantined_ from Crashes_ if these have changed.
  void refresh();

  QuarantineOptions Options_;
  std::map<std::string, Crash> Crashes_;
  /// Whether Crashes_ has changed since the last refresh(). Many reports may
  /// arrive at once.
  bool Changed_ = false;
  Blames Blames_;
  Blames Quarantined_;
  /// When a request with the suspect was last answered. The older half is
  /// dropped from time to time.
  Times LastSound_;
  Times OlderSound_;
  base::TimePoint RotatedAt_{};
  /// Crashes that a suspect has not caused, with the time at which this became
  /// known: a report that blames the suspect may still be on its way.
  std::map<std::pair<Suspect, std::string>, base::TimePoint> Acquitted_;
  std::vector<SoundReport> SoundReports_;
  std::vector<QuarantineChange> Changes_;
};

} // namespace camphorwind::routing

#endif // CAMPHORWIND_ROUTING_QUARANTINE_H
