#ifndef CAMPHORWIND_REQUEST_CLAIMS_H
#define CAMPHORWIND_REQUEST_CLAIMS_H

#include "camphorwind/base/ids.h"
#include "camphorwind/base/time.h"
#include "camphorwind/request/messages.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

/// Which agents hold the claim of an Idempotency-Key, and what a holder keeps.
namespace camphorwind::request {

/// An agent incarnation that may hold claims.
struct ClaimAgent {
  base::Incarnation Agent_;
  base::FailureDomainId Domain_;
};

/// The agents that hold claims from some version on. Every router uses the
/// same numbered views.
struct ClaimView {
  std::uint64_t Number_ = 0;
  std::vector<ClaimAgent> Agents_;
};

/// The holders of one key in one view, at most two.
using Holders = std::vector<base::Incarnation>;

/// How long a key is remembered after its last use. Views replaced longer ago
/// than this no longer matter.
inline constexpr base::Duration ClaimRetention = std::chrono::minutes(10);

/// Ranks the agents of one view for every key by rendezvous hashing.
class HolderRanking {
public:
  explicit HolderRanking(const ClaimView &View);

  /// Returns the highest agent and the highest one of another failure domain,
  /// or the second highest where all share one domain.
  Holders holders(const ClaimKey &Key) const;

private:
  std::optional<std::size_t> secondHighest(std::size_t First,
                                           std::uint64_t KeyHash) const;

  // Apart from each other, so that a search reads only the hashes.
  std::vector<std::uint64_t> Hashes_;
  std::vector<std::size_t> Domains_;
  std::vector<base::Incarnation> Agents_;
};

/// The views in use during the last ClaimRetention, as one router knows them.
class ClaimViews {
public:
  /// Takes a newer view; returns whether it was newer.
  bool install(const ClaimView &View, base::TimePoint Now);
  /// Forgets views that were replaced more than ClaimRetention ago.
  void prune(base::TimePoint Now);
  /// Returns the different holder sets of \p Key in the views in use.
  std::vector<Holders> holders(const ClaimKey &Key) const;
  /// Changes whenever holders() may answer differently than before.
  std::uint64_t generation() const { return Generation_; }

private:
  struct Installed {
    std::uint64_t Number_ = 0;
    HolderRanking Ranking_;
    base::TimePoint ReplacedAt_ = base::TimePoint::max();
  };
  std::uint64_t Generation_ = 0;
  std::deque<Installed> Views_;
};

/// Hash for maps keyed by claim.
struct ClaimKeyHash {
  std::size_t operator()(const ClaimKey &Key) const;
};

/// The claims that one agent incarnation holds.
class ClaimHolder {
public:
  /// \p MaxClaims bounds the memory; further keys are answered with Full.
  ClaimHolder(base::Incarnation Agent, std::size_t MaxClaims)
      : Agent_(std::move(Agent)), MaxClaims_(MaxClaims) {}

  ClaimReply onRequest(const ClaimRequest &Request, base::TimePoint Now);
  void onUpdate(const ClaimUpdate &Update, base::TimePoint Now);
  ClaimConfirmReply onConfirm(const ClaimConfirm &Request, base::TimePoint Now);
  ClaimReleaseReply onRelease(const ClaimRelease &Release);
  /// Forgets claims not used for ClaimRetention.
  void expire(base::TimePoint Now);
  std::size_t size() const { return Claims_.size(); }

private:
  struct Claim {
    base::RequestId Owner_;
    std::uint64_t Fingerprint_ = 0;
    std::optional<AttemptRef> Attempt_;
    bool Confirmed_ = false;
    /// Another request asked too, so the owner can't take the claim back.
    bool Shared_ = false;
    base::TimePoint LastUse_;
  };

  /// A time at which a claim may have become old.
  struct ExpiryCheck {
    ClaimKey Key_;
    base::TimePoint DueAt_;
  };

  Claim *add(const ClaimKey &Key, const base::RequestId &Owner,
             std::uint64_t Fingerprint, base::TimePoint Now);

  base::Incarnation Agent_;
  std::size_t MaxClaims_;
  std::unordered_map<ClaimKey, Claim, ClaimKeyHash> Claims_;
  std::deque<ExpiryCheck> ExpiryChecks_;
};

} // namespace camphorwind::request

#endif // CAMPHORWIND_REQUEST_CLAIMS_H
