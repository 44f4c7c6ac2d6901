#include "camphorwind/direct/stream-versions.h"

#include <algorithm>
#include <utility>

namespace camphorwind::direct {

void StreamVersions::markListed(const base::PoolId &Pool,
                                const std::string &Software,
                                base::TimePoint Now) {
  Versions_[Pool].insert_or_assign(Software, Now);
}

void StreamVersions::addVersion(const PoolVersion &Seen) {
  base::TimePoint &LastSeen = Versions_[Seen.Pool_]
                                  .try_emplace(Seen.Software_, Seen.LastSeenAt_)
                                  .first->second;
  LastSeen = std::max(LastSeen, Seen.LastSeenAt_);
}

void StreamVersions::began(StreamOrigin Origin) {
  Unwritten_.push_back(Origin.Attempt_);
  add(std::move(Origin));
}

void StreamVersions::add(StreamOrigin Origin) {
  std::string Attempt = Origin.Attempt_;
  if (!Streams_.try_emplace(Attempt, std::move(Origin)).second)
    return;
  Order_.push_back(std::move(Attempt));
  if (Order_.size() <= MaxStreams)
    return;
  Streams_.erase(Order_.front());
  Order_.pop_front();
}

const StreamOrigin *StreamVersions::find(const std::string &Attempt) const {
  auto Known = Streams_.find(Attempt);
  return Known == Streams_.end() ? nullptr : &Known->second;
}

std::optional<std::string>
StreamVersions::onlyVersion(const base::PoolId &Pool,
                            base::TimePoint Now) const {
  auto Seen = Versions_.find(Pool);
  if (Seen == Versions_.end() ||
      (!HistoryKnown_ && Now - StartedAt_ < Lifetime))
    return std::nullopt;
  std::optional<std::string> Only;
  for (const auto &[Software, LastSeen] : Seen->second) {
    if (Now - LastSeen >= Lifetime)
      continue;
    if (Only)
      return std::nullopt;
    Only = Software;
  }
  return Only;
}

std::vector<StreamOrigin> StreamVersions::takeUnwritten(base::TimePoint Now) {
  std::map<base::PoolId, bool> IsAmbiguous;
  for (const auto &[Pool, Seen] : Versions_)
    IsAmbiguous[Pool] = !onlyVersion(Pool, Now);
  std::vector<StreamOrigin> Taken;
  if (std::none_of(IsAmbiguous.begin(), IsAmbiguous.end(),
                   [](const auto &Each) { return Each.second; }))
    return Taken;
  std::erase_if(Unwritten_, [&](const std::string &Attempt) {
    const StreamOrigin *Origin = find(Attempt);
    if (Origin && !IsAmbiguous[Origin->Pool_])
      return false;
    if (Origin)
      Taken.push_back(*Origin);
    return true;
  });
  return Taken;
}

std::vector<PoolVersion> StreamVersions::versions() const {
  std::vector<PoolVersion> All;
  for (const auto &[Pool, Seen] : Versions_)
    for (const auto &[Software, LastSeen] : Seen)
      All.push_back({Pool, Software, LastSeen});
  return All;
}

void StreamVersions::sweep(base::TimePoint Now) {
  while (!Order_.empty() &&
         Now - Streams_.at(Order_.front()).BeganAt_ >= Lifetime) {
    Streams_.erase(Order_.front());
    Order_.pop_front();
  }
  std::erase_if(Unwritten_, [this](const std::string &Each) {
    return !Streams_.contains(Each);
  });
  for (auto &[Pool, Seen] : Versions_)
    std::erase_if(Seen, [Now](const auto &Each) {
      return Now - Each.second >= Lifetime;
    });
}

} // namespace camphorwind::direct
