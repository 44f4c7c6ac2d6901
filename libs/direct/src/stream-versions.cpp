#include "camphorwind/direct/stream-versions.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace camphorwind::direct {

void StreamVersions::markListed(const base::PoolId &Pool,
                                const std::string &Software,
                                base::TimePoint Now) {
  Versions &Seen = Versions_[Pool];
  auto Known = Seen.find(Software);
  if (Known != Seen.end() && Now - Known->second.LastSeenAt_ < Lifetime) {
    Known->second.LastSeenAt_ = Now;
    return;
  }
  // This router stood still, or the version has returned: others may have
  // forgotten it.
  if (Known != Seen.end())
    Seen.erase(Known);
  Seen.emplace(Software, Version{.FirstSeenAt_ = Now,
                                 .LastSeenAt_ = Now,
                                 .Rank_ = nextRank(Seen, Now)});
}

std::uint32_t StreamVersions::nextRank(const Versions &Seen,
                                       base::TimePoint JoinedAt) {
  std::uint32_t Rank = 0;
  for (const auto &[Software, Each] : Seen) {
    bool HasLead = Each.FromTable_ || JoinedAt - Each.FirstSeenAt_ >= MinLead;
    Rank = std::max(Rank, Each.Rank_ + (HasLead ? 1U : 0U));
  }
  return Rank;
}

bool StreamVersions::hasUnconfirmedVersions() const {
  return std::any_of(Versions_.begin(), Versions_.end(), [](const auto &Pool) {
    return std::any_of(
        Pool.second.begin(), Pool.second.end(),
        [](const auto &Each) { return !Each.second.Confirmed_; });
  });
}

void StreamVersions::confirmVersions(base::TimePoint ReadStartedAt) {
  for (auto &[Pool, Seen] : Versions_) {
    Versions Known = Seen;
    std::erase_if(Known,
                  [](const auto &Each) { return !Each.second.Confirmed_; });
    for (auto &[Software, Each] : Seen) {
      if (Each.Confirmed_ || Each.FirstSeenAt_ > ReadStartedAt)
        continue;
      Each.Rank_ = std::max(Each.Rank_, nextRank(Known, Each.FirstSeenAt_));
      Each.Confirmed_ = true;
    }
  }
}

void StreamVersions::addVersion(const PoolVersion &Seen) {
  auto [Found, New] = Versions_[Seen.Pool_].try_emplace(
      Seen.Software_, Version{.FirstSeenAt_ = Seen.LastSeenAt_,
                              .LastSeenAt_ = Seen.LastSeenAt_,
                              .Rank_ = Seen.Rank_,
                              .FromTable_ = true,
                              .Confirmed_ = true});
  if (New)
    return;
  Version &Known = Found->second;
  Known.LastSeenAt_ = std::max(Known.LastSeenAt_, Seen.LastSeenAt_);
  // Before a read, this router may have taken an old version for one that has
  // just joined. Afterwards, the lower rank says less and is safe.
  Known.Rank_ =
      Known.Confirmed_ ? std::min(Known.Rank_, Seen.Rank_) : Seen.Rank_;
  Known.FromTable_ = true;
  Known.Confirmed_ = true;
}

void StreamVersions::setHistoryKnown() {
  HistoryKnown_ = true;
  for (auto &[Pool, Seen] : Versions_) {
    std::optional<std::uint32_t> Last;
    for (const auto &[Software, Each] : Seen)
      if (Each.FromTable_)
        Last = std::max(Last.value_or(0U), Each.Rank_);
    if (!Last)
      continue;
    for (auto &[Software, Each] : Seen)
      if (!Each.FromTable_)
        Each.Rank_ = *Last + 1;
  }
}

void StreamVersions::forgetOrder(base::TimePoint Now) {
  OrderLostAt_ = Now;
  for (auto &[Pool, Seen] : Versions_)
    for (auto &[Software, Each] : Seen) {
      Each.Rank_ = 0;
      Each.WrittenRank_.reset();
    }
}

void StreamVersions::sent(StreamOrigin Origin) {
  auto Found = Streams_.find(Origin.Attempt_);
  if (Found == Streams_.end()) {
    Unwritten_.push_back(Origin.Attempt_);
    insert({.Origin_ = std::move(Origin), .Own_ = true, .Queued_ = true});
    return;
  }
  Stream &Known = Found->second;
  if (!std::exchange(Known.Queued_, true))
    Unwritten_.push_back(Origin.Attempt_);
  Known.HadOtherVersion_ |=
      Known.WasTaken_ && Known.Origin_.Software_ != Origin.Software_;
  Known.Origin_ = std::move(Origin);
  Known.Written_ = false;
  Known.Own_ = true;
}

void StreamVersions::add(StreamOrigin Origin) {
  auto Known = Streams_.find(Origin.Attempt_);
  if (Known == Streams_.end()) {
    insert({.Origin_ = std::move(Origin), .Written_ = true});
    return;
  }
  const StreamOrigin &Earlier = Known->second.Origin_;
  if (!Known->second.Own_ && std::tie(Origin.Write_, Origin.BeganAt_) >
                                 std::tie(Earlier.Write_, Earlier.BeganAt_))
    Known->second = {.Origin_ = std::move(Origin), .Written_ = true};
}

void StreamVersions::insert(Stream Inserted) {
  std::string Attempt = Inserted.Origin_.Attempt_;
  Streams_.emplace(Attempt, std::move(Inserted));
  Order_.push_back(std::move(Attempt));
  if (Order_.size() <= MaxStreams)
    return;
  auto Dropped = Streams_.find(Order_.front());
  DroppedBeganAt_ = std::max(DroppedBeganAt_,
                             std::optional(Dropped->second.Origin_.BeganAt_));
  Streams_.erase(Dropped);
  Order_.pop_front();
}

const StreamOrigin *StreamVersions::find(const std::string &Attempt) const {
  auto Known = Streams_.find(Attempt);
  return Known == Streams_.end() ? nullptr : &Known->second.Origin_;
}

bool StreamVersions::isOwn(const std::string &Attempt) const {
  auto Known = Streams_.find(Attempt);
  return Known != Streams_.end() && Known->second.Own_;
}

std::vector<const std::pair<const std::string, StreamVersions::Version> *>
StreamVersions::earliest(const base::PoolId &Pool, base::Duration Span,
                         base::TimePoint Now) const {
  std::vector<const Versions::value_type *> Found;
  auto Seen = Versions_.find(Pool);
  if (Seen == Versions_.end())
    return Found;
  for (const auto &Each : Seen->second) {
    if (Now - Each.second.LastSeenAt_ >= Span)
      continue;
    if (!Found.empty() && Each.second.Rank_ < Found.front()->second.Rank_)
      Found.clear();
    if (Found.empty() || Each.second.Rank_ == Found.front()->second.Rank_)
      Found.push_back(&Each);
  }
  return Found;
}

std::optional<std::string>
StreamVersions::firstVersion(const base::PoolId &Pool, base::Duration Span,
                             base::TimePoint Now) const {
  auto Earliest = earliest(Pool, Span, Now);
  if (Earliest.size() != 1 || !isHistoryComplete(Now) ||
      (UnreadableAt_ && Now - *UnreadableAt_ < Span))
    return std::nullopt;
  // A router that can't read the table assumes what it has seen for long.
  if (HistoryKnown_ && !Earliest.front()->second.Confirmed_)
    return std::nullopt;
  const std::string &First = Earliest.front()->first;
  if (OrderLostAt_ && Now - *OrderLostAt_ < WriteTime &&
      !isAlone(Pool, First, Span, Now))
    return std::nullopt;
  return First;
}

bool StreamVersions::isAlone(const base::PoolId &Pool,
                             const std::string &Software, base::Duration Span,
                             base::TimePoint Now) const {
  auto Seen = Versions_.find(Pool);
  return Seen == Versions_.end() ||
         std::none_of(Seen->second.begin(), Seen->second.end(),
                      [&](const auto &Each) {
                        return Each.first != Software &&
                               Now - Each.second.LastSeenAt_ < Span;
                      });
}

std::optional<std::string>
StreamVersions::versionOfUnwritten(const base::PoolId &Pool,
                                   base::TimePoint Now) const {
  auto First = firstVersion(Pool, Lifetime, Now);
  // A stream that was dropped may be of any version.
  if (First && DroppedBeganAt_ && Now - *DroppedBeganAt_ < Lifetime &&
      !isAlone(Pool, *First, Lifetime, Now))
    return std::nullopt;
  return First;
}

std::optional<std::string>
StreamVersions::onlyVersion(const base::PoolId &Pool,
                            base::TimePoint Now) const {
  auto First = firstVersion(Pool, Lifetime, Now);
  if (First && !isAlone(Pool, *First, Lifetime, Now))
    return std::nullopt;
  return First;
}

bool StreamVersions::isOrdered(const base::PoolId &Pool,
                               base::TimePoint Now) const {
  return earliest(Pool, WriteTime, Now).size() <= 1;
}

bool StreamVersions::needsWriting(const base::PoolId &Pool,
                                  const std::string &Software,
                                  base::TimePoint Now) const {
  if (!isTableKnown(Now))
    return true;
  auto Earliest = earliest(Pool, WriteTime, Now);
  if (Earliest.size() == 1)
    return Earliest.front()->first != Software ||
           !Earliest.front()->second.Confirmed_;
  // Routers that read these ranks assume nothing, for as long as the versions
  // count for them.
  return std::any_of(Earliest.begin(), Earliest.end(), [Now](const auto *Each) {
    return Each->second.WrittenRank_ != Each->second.Rank_ ||
           Now - Each->second.WrittenAt_ >= WriteTime - Lifetime;
  });
}

bool StreamVersions::isWritten(const std::string &Attempt) const {
  auto Known = Streams_.find(Attempt);
  return Known != Streams_.end() && Known->second.Written_;
}

bool StreamVersions::mayBeTakenForAnother(const std::string &Attempt) const {
  auto Known = Streams_.find(Attempt);
  return Known != Streams_.end() && Known->second.HadOtherVersion_ &&
         !Known->second.Written_;
}

bool StreamVersions::isAmbiguous(const base::PoolId &Pool,
                                 base::TimePoint Now) const {
  auto Found = Versions_.find(Pool);
  // What needs writing is written, also at the only version.
  return Found == Versions_.end() || !isHistoryComplete(Now) ||
         !isTableKnown(Now) ||
         std::any_of(
             Found->second.begin(), Found->second.end(),
             [](const auto &Each) { return !Each.second.Confirmed_; }) ||
         std::count_if(Found->second.begin(), Found->second.end(),
                       [Now](const auto &Each) {
                         return Now - Each.second.LastSeenAt_ < WriteTime;
                       }) != 1;
}

std::vector<StreamOrigin> StreamVersions::takeUnwritten(base::TimePoint Now) {
  std::vector<StreamOrigin> Taken;
  std::map<base::PoolId, bool> Ambiguous;
  for (const auto &[Pool, Seen] : Versions_)
    Ambiguous[Pool] = isAmbiguous(Pool, Now);
  if (std::none_of(Ambiguous.begin(), Ambiguous.end(),
                   [](const auto &Each) { return Each.second; }))
    return Taken;
  std::erase_if(Unwritten_, [&](const std::string &Attempt) {
    auto Found = Streams_.find(Attempt);
    if (Found == Streams_.end())
      return true;
    Stream &Each = Found->second;
    if (!Ambiguous[Each.Origin_.Pool_])
      return false;
    Each.Queued_ = false;
    Each.WasTaken_ = true;
    Taken.push_back(Each.Origin_);
    return true;
  });
  return Taken;
}

void StreamVersions::markWritten(const std::vector<StreamOrigin> &Written) {
  for (const StreamOrigin &Each : Written) {
    auto Known = Streams_.find(Each.Attempt_);
    if (Known != Streams_.end() &&
        Known->second.Origin_.Software_ == Each.Software_)
      Known->second.Written_ = true;
  }
}

std::vector<PoolVersion> StreamVersions::versions() const {
  std::vector<PoolVersion> All;
  for (const auto &[Pool, Seen] : Versions_)
    for (const auto &[Software, Each] : Seen)
      if (Each.Confirmed_)
        All.push_back({Pool, Software, Each.LastSeenAt_, Each.Rank_});
  return All;
}

void StreamVersions::markVersionsWritten(
    const std::vector<PoolVersion> &Written, base::TimePoint At) {
  for (const PoolVersion &Each : Written) {
    auto Seen = Versions_.find(Each.Pool_);
    if (Seen == Versions_.end())
      continue;
    auto Known = Seen->second.find(Each.Software_);
    if (Known == Seen->second.end())
      continue;
    Known->second.WrittenRank_ = Each.Rank_;
    Known->second.WrittenAt_ = At;
  }
}

void StreamVersions::sweep(base::TimePoint Now) {
  while (!Order_.empty() &&
         Now - Streams_.at(Order_.front()).Origin_.BeganAt_ >= Lifetime) {
    Streams_.erase(Order_.front());
    Order_.pop_front();
  }
  std::erase_if(Unwritten_, [this](const std::string &Each) {
    return !Streams_.contains(Each);
  });
  for (auto &[Pool, Seen] : Versions_)
    std::erase_if(Seen, [Now](const auto &Each) {
      return Now - Each.second.LastSeenAt_ >= WriteTime;
    });
}

} // namespace camphorwind::direct
