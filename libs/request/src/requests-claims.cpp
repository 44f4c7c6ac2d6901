#include "camphorwind/request/detail/record.h"

#include <algorithm>

namespace camphorwind::request {

using detail::Phase;
using detail::Vote;

namespace {

/// Resets the votes for a new round of replies, and updates the holders if the
/// claim views have changed.
void resetVotes(detail::RequestRecord &R, const ClaimViews &Views) {
  if (R.ViewGeneration_ == Views.generation()) {
    for (Vote &Each : R.Votes_)
      Each = {std::move(Each.Holder_)};
    return;
  }
  R.ViewGeneration_ = Views.generation();
  R.HolderSets_ = Views.holders(R.Key_);
  R.Votes_.clear();
  for (const Holders &Set : R.HolderSets_)
    for (const base::Incarnation &Holder : Set) {
      bool Known =
          std::any_of(R.Votes_.begin(), R.Votes_.end(), [&](const Vote &Other) {
            return Other.Holder_ == Holder;
          });
      if (!Known)
        R.Votes_.push_back({Holder});
    }
}

Vote *findVote(detail::RequestRecord &R, const base::Incarnation &Holder) {
  auto Found =
      std::find_if(R.Votes_.begin(), R.Votes_.end(),
                   [&](const Vote &Each) { return Each.Holder_ == Holder; });
  return Found == R.Votes_.end() ? nullptr : &*Found;
}

/// Returns whether each holder set contains a holder whose vote satisfies
/// \p Test.
template <class Predicate>
bool anyInEachSet(detail::RequestRecord &R, const Predicate &Test) {
  return std::all_of(R.HolderSets_.begin(), R.HolderSets_.end(),
                     [&](const Holders &Set) {
                       return std::any_of(Set.begin(), Set.end(),
                                          [&](const base::Incarnation &Holder) {
                                            return Test(*findVote(R, Holder));
                                          });
                     });
}

template <class Predicate>
bool allVotes(const detail::RequestRecord &R, const Predicate &Test) {
  return std::all_of(R.Votes_.begin(), R.Votes_.end(), Test);
}

} // namespace

void Requests::requestClaims(Record &R, base::TimePoint Now) {
  R.Phase_ = Phase::Claiming;
  resetVotes(R, Views_);
  for (Vote &Each : R.Votes_) {
    Each.Silent_ = !Linked_.contains(Each.Holder_);
    if (!Each.Silent_)
      Actions_.emplace_back(
          SendToAgent{Each.Holder_,
                      ClaimRequest{Each.Holder_, R.Key_, R.Submitted_.Request_,
                                   R.Submitted_.Fingerprint_}});
  }
  R.PhaseEndsAt_ = Now + Settings_.ClaimTimeout_;
  wakeAt(R, R.PhaseEndsAt_);
  if (allVotes(R, [](const Vote &Each) { return Each.Silent_; }))
    evaluateClaims(R, Now);
}

void Requests::onMessage(const ClaimReply &Message, base::TimePoint Now) {
  Record *R = find(Message.Request_);
  if (R == nullptr || R->Phase_ != Phase::Claiming)
    return;
  Vote *HolderVote = findVote(*R, Message.Holder_);
  if (HolderVote == nullptr || HolderVote->Claim_)
    return;
  HolderVote->Claim_ = Message.State_;
  HolderVote->Attempt_ = Message.Attempt_;
  HolderVote->Confirmed_ = Message.Confirmed_;
  if (allVotes(*R,
               [](const Vote &Each) { return Each.Silent_ || Each.Claim_; }))
    evaluateClaims(*R, Now);
}

void Requests::evaluateClaims(Record &R, base::TimePoint Now) {
  R.PhaseEndsAt_ = base::TimePoint::max();
  auto HasState = [](const Vote &Each, ClaimState State) {
    return Each.Claim_ == State;
  };
  auto Recorded = [&](const Vote &Each) {
    return HasState(Each, ClaimState::Fresh) ||
           HasState(Each, ClaimState::Held);
  };
  if (std::any_of(R.Votes_.begin(), R.Votes_.end(), [&](const Vote &Each) {
        return HasState(Each, ClaimState::KeyReused);
      }))
    return failWith(R, base::RefusalReason::KeyReused, base::Ran::No);
  bool AllFresh = !R.Votes_.empty() && allVotes(R, [&](const Vote &Each) {
    return HasState(Each, ClaimState::Fresh);
  });
  bool MayRetry = R.ClaimRetries_ < Settings_.MaxClaimRetries_;
  bool Reached = !R.Votes_.empty() && anyInEachSet(R, Recorded);
  if (!Reached && MayRetry)
    return scheduleClaimRetry(R, Now);
  R.EarlierMayHaveRun_ = R.EarlierMayHaveRun_ || !AllFresh;
  if (!Reached)
    return fail(R, base::RefusalReason::ClaimUnreachable, Now);

  const Vote *Best = nullptr;
  bool HeldByOther = false;
  for (const Vote &Each : R.Votes_) {
    if (!HasState(Each, ClaimState::Held))
      continue;
    HeldByOther = true;
    if (!Each.Attempt_)
      continue;
    if (Best != nullptr && *Best->Attempt_ != *Each.Attempt_)
      R.BufferAnswer_ = true;
    if (Best == nullptr || (Each.Confirmed_ && !Best->Confirmed_))
      Best = &Each;
  }
  if (Best != nullptr)
    return followAttempt(R, AttemptRef(*Best->Attempt_), Best->Confirmed_, Now);
  if (HeldByOther && MayRetry)
    return scheduleClaimRetry(R, Now);
  requestAttempt(R, std::nullopt);
}

void Requests::scheduleClaimRetry(Record &R, base::TimePoint Now) {
  ++R.ClaimRetries_;
  R.Phase_ = Phase::WaitingToRetryClaim;
  R.PhaseEndsAt_ = Now + Settings_.ClaimRetryDelay_;
  wakeAt(R, R.PhaseEndsAt_);
}

void Requests::reportAttemptToHolders(const Record &R,
                                      const AttemptRef &Attempt) {
  for (const Vote &Each : R.Votes_)
    if (!Each.Silent_)
      Actions_.emplace_back(SendToAgent{
          Each.Holder_, ClaimUpdate{Each.Holder_, R.Key_, Attempt}});
}

void Requests::requestConfirmation(Record &R, base::TimePoint Now) {
  R.Phase_ = Phase::Confirming;
  resetVotes(R, Views_);
  for (Vote &Each : R.Votes_) {
    Each.Silent_ = !Linked_.contains(Each.Holder_);
    if (!Each.Silent_)
      Actions_.emplace_back(SendToAgent{
          Each.Holder_,
          ClaimConfirm{Each.Holder_, R.Key_, R.Submitted_.Request_,
                       R.Submitted_.Fingerprint_, R.current().Ref_}});
  }
  R.PhaseEndsAt_ = Now + Settings_.ClaimTimeout_;
  wakeAt(R, R.PhaseEndsAt_);
}

void Requests::onMessage(const ClaimConfirmReply &Message,
                         base::TimePoint Now) {
  Record *R = find(Message.Request_);
  if (R == nullptr || R->Phase_ != Phase::Confirming ||
      R->current().Ref_ != Message.RequestedAttempt_)
    return;
  Vote *HolderVote = findVote(*R, Message.Holder_);
  if (HolderVote == nullptr || HolderVote->Attempt_)
    return;
  HolderVote->Attempt_ = Message.Confirmed_;
  HolderVote->Silent_ = !Message.Confirmed_;
  if (allVotes(*R,
               [](const Vote &Each) { return Each.Silent_ || Each.Attempt_; }))
    evaluateConfirmation(*R, Now);
}

void Requests::evaluateConfirmation(Record &R, base::TimePoint Now) {
  R.PhaseEndsAt_ = base::TimePoint::max();
  auto ForCurrent = [&](const Vote &Each) {
    return Each.Attempt_ == R.current().Ref_;
  };
  if (allVotes(R, ForCurrent))
    return commit(R, Now);
  // A holder confirms only one attempt, so no other attempt can be confirmed by
  // all holders of a set. The bill row decides which attempt is billed.
  if (anyInEachSet(R, ForCurrent))
    return writeBill(R);
  for (const Vote &Each : R.Votes_)
    if (Each.Attempt_ && !ForCurrent(Each))
      return switchToWinner(R, AttemptRef(*Each.Attempt_), Now);
  requestConfirmation(R, Now);
}

void Requests::requestRelease(Record &R, base::TimePoint Now) {
  bool Unchanged = Views_.generation() == R.ViewGeneration_ ||
                   Views_.holders(R.Key_) == R.HolderSets_;
  bool Reachable = allVotes(
      R, [&](const Vote &Each) { return Linked_.contains(Each.Holder_); });
  if (!Unchanged || !Reachable)
    return failWith(R, R.FailReason_, base::Ran::Unknown);
  R.Phase_ = Phase::Releasing;
  for (const Vote &Each : R.Votes_)
    Actions_.emplace_back(
        SendToAgent{Each.Holder_,
                    ClaimRelease{Each.Holder_, R.Key_, R.Submitted_.Request_}});
  R.PhaseEndsAt_ = Now + Settings_.ClaimTimeout_;
  wakeAt(R, R.PhaseEndsAt_);
}

void Requests::onMessage(const ClaimReleaseReply &Message,
                         base::TimePoint Now) {
  Record *R = find(Message.Request_);
  if (R == nullptr || R->Phase_ != Phase::Releasing)
    return;
  Vote *HolderVote = findVote(*R, Message.Holder_);
  if (HolderVote == nullptr || HolderVote->Released_)
    return;
  HolderVote->Released_ = Message.Released_;
  if (!Message.Released_ ||
      allVotes(*R, [](const Vote &Each) { return Each.Released_.has_value(); }))
    evaluateRelease(*R, Now);
}

void Requests::evaluateRelease(Record &R, base::TimePoint /*Now*/) {
  bool ProvedNotRun = allVotes(
      R, [](const Vote &Each) { return Each.Released_.value_or(false); });
  failWith(R, R.FailReason_, ProvedNotRun ? base::Ran::No : base::Ran::Unknown);
}

} // namespace camphorwind::request
