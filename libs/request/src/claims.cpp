#include "camphorwind/request/claims.h"

#include <xxhash.h>

#include <algorithm>
#include <map>

namespace camphorwind::request {

namespace {

std::uint64_t hashText(const std::string &Text, std::uint64_t Seed = 0) {
  return XXH3_64bits_withSeed(Text.data(), Text.size(), Seed);
}

std::uint64_t hashKey(const ClaimKey &Key) {
  return hashText(Key.Key_, hashText(Key.Account_.str()));
}

/// Finalizer of SplitMix64: every input bit affects every output bit.
std::uint64_t mix(std::uint64_t Bits) {
  Bits = (Bits ^ (Bits >> 30)) * 0xbf58476d1ce4e5b9ULL;
  Bits = (Bits ^ (Bits >> 27)) * 0x94d049bb133111ebULL;
  return Bits ^ (Bits >> 31);
}

} // namespace

HolderRanking::HolderRanking(const ClaimView &View) {
  std::vector<ClaimAgent> Sorted = View.Agents_;
  // Routers that list the agents in different orders must agree on ties.
  std::sort(Sorted.begin(), Sorted.end(),
            [](const ClaimAgent &A, const ClaimAgent &B) {
              return A.Agent_ < B.Agent_;
            });
  std::map<base::FailureDomainId, std::size_t> Domains;
  for (ClaimAgent &Agent : Sorted) {
    Hashes_.push_back(hashText(Agent.Agent_.str()));
    Domains_.push_back(
        Domains.try_emplace(Agent.Domain_, Domains.size()).first->second);
    Agents_.push_back(std::move(Agent.Agent_));
  }
}

Holders HolderRanking::holders(const ClaimKey &Key) const {
  if (Agents_.empty())
    return {};
  std::uint64_t KeyHash = hashKey(Key);
  std::size_t First = 0;
  std::uint64_t FirstScore = mix(Hashes_[0] ^ KeyHash);
  std::optional<std::size_t> Elsewhere;
  std::uint64_t ElsewhereScore = 0;
  for (std::size_t Index = 1; Index < Hashes_.size(); ++Index) {
    std::uint64_t Score = mix(Hashes_[Index] ^ KeyHash);
    if (Score <= ElsewhereScore)
      continue;
    bool SameDomain = Domains_[Index] == Domains_[First];
    if (Score > FirstScore) {
      if (!SameDomain) {
        Elsewhere = First;
        ElsewhereScore = FirstScore;
      }
      First = Index;
      FirstScore = Score;
    } else if (!SameDomain) {
      Elsewhere = Index;
      ElsewhereScore = Score;
    }
  }
  if (!Elsewhere)
    Elsewhere = runnerUp(First, KeyHash);
  if (!Elsewhere)
    return {Agents_[First]};
  return {Agents_[First], Agents_[*Elsewhere]};
}

std::optional<std::size_t>
HolderRanking::runnerUp(std::size_t First, std::uint64_t KeyHash) const {
  std::optional<std::size_t> Best;
  for (std::size_t Index = 0; Index < Hashes_.size(); ++Index) {
    if (Index == First)
      continue;
    if (!Best || mix(Hashes_[Index] ^ KeyHash) > mix(Hashes_[*Best] ^ KeyHash))
      Best = Index;
  }
  return Best;
}

bool ClaimViews::install(const ClaimView &View, base::TimePoint Now) {
  if (!Views_.empty() && View.Number_ <= Views_.back().Number_)
    return false;
  if (!Views_.empty())
    Views_.back().ReplacedAt_ = Now;
  ++Generation_;
  Views_.push_back({View.Number_, HolderRanking(View), base::TimePoint::max()});
  prune(Now);
  return true;
}

void ClaimViews::prune(base::TimePoint Now) {
  while (Views_.size() > 1 && Now - Views_.front().ReplacedAt_ > ClaimRetention)
    Views_.pop_front();
}

std::vector<Holders> ClaimViews::holders(const ClaimKey &Key) const {
  std::vector<Holders> Sets;
  for (const Installed &View : Views_) {
    Holders Set = View.Ranking_.holders(Key);
    if (!Set.empty() && std::find(Sets.begin(), Sets.end(), Set) == Sets.end())
      Sets.push_back(std::move(Set));
  }
  return Sets;
}

std::size_t ClaimKeyHash::operator()(const ClaimKey &Key) const {
  return hashKey(Key);
}

ClaimHolder::Claim *ClaimHolder::add(const ClaimKey &Key,
                                     const base::RequestId &Owner,
                                     std::uint64_t Fingerprint,
                                     base::TimePoint Now) {
  if (Claims_.size() >= MaxClaims_)
    return nullptr;
  Claim &Added = Claims_[Key];
  Added.Owner_ = Owner;
  Added.Fingerprint_ = Fingerprint;
  Added.LastUse_ = Now;
  Checks_.push_back({Key, Now + ClaimRetention});
  return &Added;
}

ClaimReply ClaimHolder::onRequest(const ClaimRequest &Asked,
                                  base::TimePoint Now) {
  ClaimReply Reply{Agent_,       Asked.Key_, Asked.Request_, ClaimState::Fresh,
                   std::nullopt, false};
  auto Found = Claims_.find(Asked.Key_);
  if (Found == Claims_.end()) {
    if (add(Asked.Key_, Asked.Request_, Asked.Fingerprint_, Now) == nullptr)
      Reply.State_ = ClaimState::Full;
    return Reply;
  }
  Claim &Existing = Found->second;
  Existing.LastUse_ = Now;
  if (Existing.Owner_ == Asked.Request_)
    return Reply;
  if (Existing.Fingerprint_ != Asked.Fingerprint_) {
    Reply.State_ = ClaimState::KeyReused;
    return Reply;
  }
  Existing.Shared_ = true;
  Reply.State_ = ClaimState::Held;
  Reply.Attempt_ = Existing.Attempt_;
  Reply.Confirmed_ = Existing.Confirmed_;
  return Reply;
}

void ClaimHolder::onUpdate(const ClaimUpdate &Update, base::TimePoint Now) {
  auto Found = Claims_.find(Update.Key_);
  if (Found == Claims_.end() || Found->second.Confirmed_)
    return;
  Found->second.Attempt_ = Update.Attempt_;
  Found->second.LastUse_ = Now;
}

ClaimConfirmReply ClaimHolder::onConfirm(const ClaimConfirm &Asked,
                                         base::TimePoint Now) {
  ClaimConfirmReply Reply{Agent_, Asked.Key_, Asked.Request_, Asked.Attempt_,
                          std::nullopt};
  auto Found = Claims_.find(Asked.Key_);
  Claim *Existing = Found != Claims_.end() ? &Found->second
                                           : add(Asked.Key_, Asked.Request_,
                                                 Asked.Fingerprint_, Now);
  if (Existing == nullptr)
    return Reply;
  Existing->LastUse_ = Now;
  if (!Existing->Confirmed_) {
    Existing->Confirmed_ = true;
    Existing->Attempt_ = Asked.Attempt_;
  }
  Reply.Confirmed_ = Existing->Attempt_;
  return Reply;
}

ClaimReleaseReply ClaimHolder::onRelease(const ClaimRelease &Released) {
  ClaimReleaseReply Reply{Agent_, Released.Key_, Released.Request_, false};
  auto Found = Claims_.find(Released.Key_);
  if (Found == Claims_.end())
    return Reply;
  const Claim &Existing = Found->second;
  if (Existing.Owner_ != Released.Request_ || Existing.Shared_ ||
      Existing.Confirmed_)
    return Reply;
  Claims_.erase(Found);
  Reply.Released_ = true;
  return Reply;
}

void ClaimHolder::expire(base::TimePoint Now) {
  while (!Checks_.empty() && Checks_.front().At_ <= Now) {
    Check Due = std::move(Checks_.front());
    Checks_.pop_front();
    auto Found = Claims_.find(Due.Key_);
    if (Found == Claims_.end())
      continue;
    base::TimePoint ExpiresAt = Found->second.LastUse_ + ClaimRetention;
    if (ExpiresAt <= Now)
      Claims_.erase(Found);
    else
      Checks_.push_back({std::move(Due.Key_), ExpiresAt});
  }
}

} // namespace camphorwind::request
