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

/// Selects the agents that record who uses an Idempotency-Key (its claim), and
/// implements the records of such an agent.
namespace camphorwind::request {

/// An agent incarnation that may hold claims.
struct ClaimAgent {
  base::Incarnation Agent_;
  base::FailureDomainId Domain_;
};

/// A numbered version of the set of agents that may hold claims. Views with the
/// same number are identical on every router.
struct ClaimView {
  std::uint64_t Number_ = 0;
  std::vector<ClaimAgent> Agents_;
};

/// The holders of one key in one view, at most two.
using Holders = std::vector<base::Incarnation>;

/// Time for which a key is remembered after its last use. Views that were
/// replaced longer ago than this are no longer needed.
inline constexpr base::Duration ClaimRetention = std::chrono::minutes(10);

/// Ranks the agents of one view for every key by rendezvous hashing.
class HolderRanking {
public:
  explicit HolderRanking(const ClaimView &View);

  /// Returns the highest-ranked agent and the highest-ranked agent of another
  /// failure domain. If all agents share one domain, the second is the agent
  /// ranked second. Returns fewer than two only if the view has fewer agents.
  Holders holders(const ClaimKey &Key) const;

private:
  std::optional<std::size_t> secondHighest(std::size_t First,
                                           std::uint64_t KeyHash) const;

  // Parallel arrays instead of an array of structs, so that the search over
  // all agents reads only the hashes.
  std::vector<std::uint64_t> Hashes_;
  std::vector<std::size_t> Domains_;
  std::vector<base::Incarnation> Agents_;
};

/// The views that one router has used within the last ClaimRetention.
class ClaimViews {
public:
  /// Installs \p View if it is newer than the current view. Returns whether it
  /// was installed.
  bool install(const ClaimView &View, base::TimePoint Now);
  /// Forgets views that were replaced more than ClaimRetention ago.
  void prune(base::TimePoint Now);
  /// Returns the distinct holder sets of \p Key in the stored views, oldest
  /// view first.
  std::vector<Holders> holders(const ClaimKey &Key) const;
  /// Returns a number that changes whenever a view is installed.
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
  /// Creates a holder of at most \p MaxClaims claims, which bounds its memory.
  /// Requests for further keys are answered with ClaimState::Full.
  ClaimHolder(base::Incarnation Agent, std::size_t MaxClaims)
      : Agent_(std::move(Agent)), MaxClaims_(MaxClaims) {}

  /// Records the request as the owner of a new key, or reports the existing
  /// claim.
  ClaimReply onRequest(const ClaimRequest &Request, base::TimePoint Now);
  /// Stores the attempt that runs for a key. Has no effect if the key has no
  /// claim or a confirmed attempt.
  void onUpdate(const ClaimUpdate &Update, base::TimePoint Now);
  /// Confirms the attempt unless another one is confirmed already, and returns
  /// the confirmed attempt. Records an unknown key first; returns no attempt if
  /// there is no room for it.
  ClaimConfirmReply onConfirm(const ClaimConfirm &Request, base::TimePoint Now);
  /// Removes the claim if its owner asks for it, no other request with the same
  /// content has asked for the key and no attempt is confirmed.
  ClaimReleaseReply onRelease(const ClaimRelease &Release);
  /// Removes claims not used for ClaimRetention.
  void expire(base::TimePoint Now);
  /// Returns the number of claims held.
  std::size_t size() const { return Claims_.size(); }

private:
  struct Claim {
    base::RequestId Owner_;
    std::uint64_t Fingerprint_ = 0;
    std::optional<AttemptRef> Attempt_;
    bool Confirmed_ = false;
    /// Another request with the same content has asked for the key, so the
    /// owner can't release the claim.
    bool Shared_ = false;
    base::TimePoint LastUse_;
  };

  /// Time at which the claim of a key is checked for expiry.
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
