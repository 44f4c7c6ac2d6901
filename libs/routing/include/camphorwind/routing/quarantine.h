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
#include <unordered_map>
#include <utility>
#include <vector>

namespace camphorwind::routing {

/// Identifies a prompt part, as PromptPart::Id_ does.
using PromptPartId = std::uint64_t;

struct QuarantineOptions {
  /// Number of crashes from which a part is quarantined.
  std::size_t QuarantineLimit_ = 3;
  /// Number of crashes from which requests with the part are not repeated.
  std::size_t RepeatLimit_ = 2;
  /// Crashes this close to one another count as one: a lost host or a failed
  /// rollout ends several engines at once, whatever they were answering.
  std::chrono::milliseconds CrashSpacing_{250};
  /// A part is not blamed for a crash this soon after a whole answer to a
  /// prompt with it. A part that crashes engines only from some moment on, such
  /// as the rollout of another engine version, is blamed this much later.
  std::chrono::milliseconds SoundTime_{5000};
  /// How long a crash counts, and thus how long a quarantine lasts after the
  /// last crash.
  std::chrono::milliseconds Memory_{600'000};
};

/// The crash of an engine, with parts of the prompts that it was answering for
/// one router.
struct CrashReport {
  /// Names one start of one engine, the same in the reports of all routers.
  std::string Crash_;
  std::vector<PromptPartId> Parts_;
  base::TimePoint At_{};
};

/// Crashes that a part has not caused, since a prompt with it was answered.
struct SoundReport {
  PromptPartId Part_ = 0;
  std::vector<std::string> Crashes_;
  base::TimePoint At_{};
};

/// A part that was quarantined or released.
struct QuarantineChange {
  PromptPartId Part_ = 0;
  bool Quarantined_ = false;
  std::size_t Crashes_ = 0;
};

/// Finds prompt parts that crash the engines answering them.
///
/// Such a part is in flight at each engine that crashes, and no prompt with it
/// is ever answered. A crash also ends the requests of others, so that sound
/// parts are in flight too; but these are answered elsewhere. Each crash is
/// attributed to the part, among those in flight, that was in flight at most
/// crashes and that no whole answer has cleared. The last part of a prompt
/// belongs to one request or session and is never blamed.
///
/// Routers exchange reports, so that all of them come to the same result. No
/// call does I/O. \p Now must not decrease from call to call.
class Quarantine {
public:
  explicit Quarantine(QuarantineOptions Options = {}) : Options_(Options) {}

  /// Records a whole answer to a prompt that was sent at \p SentAt.
  void answered(std::span<const PromptPart> Prompt, base::TimePoint SentAt,
                base::TimePoint Now);
  /// Returns the parts that may be to blame if the engine answering \p Prompt
  /// has crashed.
  std::vector<PromptPartId> suspects(std::span<const PromptPart> Prompt,
                                     base::TimePoint Now) const;
  /// Takes over a report of this router or of another one. A repeated report
  /// has no effect.
  void addCrash(const CrashReport &Report, base::TimePoint Now);
  void addSound(const SoundReport &Report, base::TimePoint Now);
  /// Returns the proofs, since the last call, that other routers need.
  std::vector<SoundReport> takeSoundReports();

  /// Returns how long the quarantine of a part of \p Prompt still lasts, or
  /// nothing if the prompt may be sent.
  std::optional<base::Duration>
  quarantineTime(std::span<const PromptPart> Prompt, base::TimePoint Now);
  /// Whether a request may be sent once more after its engine has failed.
  bool mayRepeat(std::span<const PromptPart> Prompt);

  /// Forgets what no longer counts. Call about every second.
  void sweep(base::TimePoint Now);
  /// Returns the parts quarantined and released since the last call.
  std::vector<QuarantineChange> takeChanges();
  /// Returns the number of quarantined parts.
  std::size_t size();

private:
  struct Crash {
    base::TimePoint At_{};
    std::set<PromptPartId> Parts_;
  };
  /// Crashes attributed to a part, before any is attributed to another.
  struct Blame {
    std::size_t Crashes_ = 0;
    base::TimePoint LastAt_{};
  };

  bool isSound(PromptPartId Part, base::TimePoint Now) const;
  /// Removes the part from the crashes up to \p At, and tells other routers if
  /// they may hold the part back.
  void acquit(PromptPartId Part, base::TimePoint At, base::TimePoint Now);
  std::unordered_map<PromptPartId, Blame>
  countCrashes(const std::set<std::string> &Explained) const;
  /// Drops the oldest crash that no quarantine rests on, if there is one.
  void dropOldestCrash();
  /// Derives Blames_ and Quarantined_ from Crashes_ if these have changed.
  void refresh();

  QuarantineOptions Options_;
  std::map<std::string, Crash> Crashes_;
  /// Whether Crashes_ has changed since the last refresh(). Many reports may
  /// arrive at once.
  bool Changed_ = false;
  std::unordered_map<PromptPartId, Blame> Blames_;
  std::unordered_map<PromptPartId, Blame> Quarantined_;
  /// When a prompt with the part was last answered. The older half is dropped
  /// from time to time.
  std::unordered_map<PromptPartId, base::TimePoint> LastSound_;
  std::unordered_map<PromptPartId, base::TimePoint> OlderSound_;
  base::TimePoint RotatedAt_{};
  /// Crashes that a part has not caused, with the time at which this became
  /// known: a report that blames the part may still be on its way.
  std::map<std::pair<PromptPartId, std::string>, base::TimePoint> Acquitted_;
  std::vector<SoundReport> SoundReports_;
  std::vector<QuarantineChange> Changes_;
};

} // namespace camphorwind::routing

#endif // CAMPHORWIND_ROUTING_QUARANTINE_H
