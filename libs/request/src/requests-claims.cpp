#include "camphorwind/request/detail/record.h"

#include <algorithm>

namespace camphorwind::request {

using detail::Phase;
using detail::Vote;

namespace {

/// Starts a question to every holder of the record's key.
void openVote(detail::RequestRecord &R, const ClaimViews &Views) {
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

/// Returns whether every set of holders has one whose vote satisfies \p Test.
template <class Predicate>
bool oneOfEachSet(detail::RequestRecord &R, const Predicate &Test) {
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

void Requests::askClaims(Record &R, base::TimePoint Now) {
  R.Phase_ = Phase::Claiming;
  openVote(R, Views_);
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
    decideClaims(R, Now);
}

void Requests::onMessage(const ClaimReply &Message, base::TimePoint Now) {
  Record *R = find(Message.Request_);
  if (R == nullptr || R->Phase_ != Phase::Claiming)
    return;
  Vote *Voter = findVote(*R, Message.Holder_);
  if (Voter == nullptr || Voter->Claim_)
    return;
  Voter->Claim_ = Message.State_;
  Voter->Attempt_ = Message.Attempt_;
  Voter->Confirmed_ = Message.Confirmed_;
  if (allVotes(*R,
               [](const Vote &Each) { return Each.Silent_ || Each.Claim_; }))
    decideClaims(*R, Now);
}

void Requests::decideClaims(Record &R, base::TimePoint Now) {
  R.PhaseEndsAt_ = base::TimePoint::max();
  auto Says = [](const Vote &Each, ClaimState State) {
    return Each.Claim_ == State;
  };
  auto Recorded = [&](const Vote &Each) {
    return Says(Each, ClaimState::Fresh) || Says(Each, ClaimState::Held);
  };
  if (std::any_of(R.Votes_.begin(), R.Votes_.end(), [&](const Vote &Each) {
        return Says(Each, ClaimState::KeyReused);
      }))
    return failAs(R, base::RefusalReason::KeyReused, base::Ran::No);
  bool AllFresh = !R.Votes_.empty() && allVotes(R, [&](const Vote &Each) {
    return Says(Each, ClaimState::Fresh);
  });
  bool MayPause = R.ClaimRounds_ < Settings_.MaxClaimRetries_;
  bool Reached = !R.Votes_.empty() && oneOfEachSet(R, Recorded);
  if (!Reached && MayPause)
    return pauseClaims(R, Now);
  R.KeyDoubt_ = R.KeyDoubt_ || !AllFresh;
  if (!Reached)
    return fail(R, base::RefusalReason::ClaimUnreachable, Now);

  const Vote *Best = nullptr;
  bool Waiting = false;
  for (const Vote &Each : R.Votes_) {
    if (!Says(Each, ClaimState::Held))
      continue;
    Waiting = true;
    if (!Each.Attempt_)
      continue;
    if (Best != nullptr && *Best->Attempt_ != *Each.Attempt_)
      R.HoldBack_ = true;
    if (Best == nullptr || (Each.Confirmed_ && !Best->Confirmed_))
      Best = &Each;
  }
  if (Best != nullptr)
    return follow(R, AttemptRef(*Best->Attempt_), Best->Confirmed_, Now);
  if (Waiting && MayPause)
    return pauseClaims(R, Now);
  prepare(R, std::nullopt);
}

void Requests::pauseClaims(Record &R, base::TimePoint Now) {
  ++R.ClaimRounds_;
  R.Phase_ = Phase::ClaimPause;
  R.PhaseEndsAt_ = Now + Settings_.ClaimRetryDelay_;
  wakeAt(R, R.PhaseEndsAt_);
}

void Requests::reportAttempt(const Record &R, const AttemptRef &Attempt) {
  for (const Vote &Each : R.Votes_)
    if (!Each.Silent_)
      Actions_.emplace_back(SendToAgent{
          Each.Holder_, ClaimUpdate{Each.Holder_, R.Key_, Attempt}});
}

void Requests::askConfirmation(Record &R, base::TimePoint Now) {
  R.Phase_ = Phase::Confirming;
  openVote(R, Views_);
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
  Vote *Voter = findVote(*R, Message.Holder_);
  if (Voter == nullptr || Voter->Attempt_)
    return;
  Voter->Attempt_ = Message.Confirmed_;
  Voter->Silent_ = !Message.Confirmed_;
  if (allVotes(*R,
               [](const Vote &Each) { return Each.Silent_ || Each.Attempt_; }))
    decideConfirmation(*R, Now);
}

void Requests::decideConfirmation(Record &R, base::TimePoint Now) {
  R.PhaseEndsAt_ = base::TimePoint::max();
  auto Mine = [&](const Vote &Each) {
    return Each.Attempt_ == R.current().Ref_;
  };
  if (allVotes(R, Mine))
    return commit(R, Now);
  // Another router can have the word of all holders of a set only if none of
  // them gave it to this one.
  if (oneOfEachSet(R, Mine))
    return writeBill(R);
  for (const Vote &Each : R.Votes_)
    if (Each.Attempt_ && !Mine(Each))
      return lostTo(R, AttemptRef(*Each.Attempt_), Now);
  askConfirmation(R, Now);
}

void Requests::askRelease(Record &R, base::TimePoint Now) {
  bool Unchanged = Views_.generation() == R.ViewGeneration_ ||
                   Views_.holders(R.Key_) == R.HolderSets_;
  bool Reachable = allVotes(
      R, [&](const Vote &Each) { return Linked_.contains(Each.Holder_); });
  if (!Unchanged || !Reachable)
    return failAs(R, R.FailReason_, base::Ran::Unknown);
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
  Vote *Voter = findVote(*R, Message.Holder_);
  if (Voter == nullptr || Voter->Alone_)
    return;
  Voter->Alone_ = Message.Released_;
  if (!Message.Released_ ||
      allVotes(*R, [](const Vote &Each) { return Each.Alone_.has_value(); }))
    decideRelease(*R, Now);
}

void Requests::decideRelease(Record &R, base::TimePoint /*Now*/) {
  bool Proved =
      allVotes(R, [](const Vote &Each) { return Each.Alone_.value_or(false); });
  failAs(R, R.FailReason_, Proved ? base::Ran::No : base::Ran::Unknown);
}

} // namespace camphorwind::request
