#include "camphorwind/direct/endpoint-list.h"

#include <set>
#include <utility>

namespace camphorwind::direct {

std::string_view toString(DepartureReason Reason) {
  switch (Reason) {
  case DepartureReason::Draining:
    return "draining";
  case DepartureReason::Leaving:
    return "leaving";
  case DepartureReason::Unlisted:
    return "unlisted";
  case DepartureReason::Restarted:
    return "restarted";
  }
  return "unknown";
}

namespace {

bool isSameStart(const ListedEndpoint &Left, const ListedEndpoint &Right) {
  return Left.StartId_ == Right.StartId_ && Left.Address_ == Right.Address_ &&
         Left.Pool_ == Right.Pool_;
}

} // namespace

void EndpointList::markUnusable(const base::EndpointId &Endpoint,
                                DepartureReason Reason) {
  MissingUntil_.erase(Endpoint);
  auto Found = Usable_.find(Endpoint);
  if (Found == Usable_.end())
    return;
  if (Reason == DepartureReason::Unlisted)
    Unlisted_.insert_or_assign(Endpoint, Found->second);
  Changes_.push_back({std::move(Found->second), true, Reason});
  Usable_.erase(Found);
}

bool EndpointList::hasDeparted(const ListedEndpoint &Entry) const {
  auto Found = Departed_.find(Entry.Endpoint_);
  return Found != Departed_.end() && isSameStart(Found->second, Entry);
}

bool EndpointList::wasUnlisted(const ListedEndpoint &Entry) const {
  auto Found = Unlisted_.find(Entry.Endpoint_);
  return Found != Unlisted_.end() && isSameStart(Found->second, Entry);
}

void EndpointList::markRestored(base::TimePoint Now) {
  Restored_ = true;
  ReachableAgainAt_ = Now;
}

void EndpointList::markLeaving(const base::EndpointId &Endpoint) {
  auto Found = Usable_.find(Endpoint);
  if (Found == Usable_.end())
    return;
  Departed_.insert_or_assign(Endpoint, Found->second);
  markUnusable(Endpoint, DepartureReason::Leaving);
}

void EndpointList::put(const ListedEndpoint &Entry, base::TimePoint) {
  if (Entry.Draining_) {
    Departed_.insert_or_assign(Entry.Endpoint_, Entry);
    markUnusable(Entry.Endpoint_, DepartureReason::Draining);
    return;
  }
  if (hasDeparted(Entry))
    return;
  Unlisted_.erase(Entry.Endpoint_);
  MissingUntil_.erase(Entry.Endpoint_);
  auto Found = Usable_.find(Entry.Endpoint_);
  if (Found != Usable_.end()) {
    if (Found->second == Entry)
      return;
    if (!isSameStart(Found->second, Entry))
      markUnusable(Entry.Endpoint_, DepartureReason::Restarted);
  }
  bool New = Usable_.insert_or_assign(Entry.Endpoint_, Entry).second;
  Changes_.push_back({Entry, !New, std::nullopt});
}

void EndpointList::remove(const base::EndpointId &Endpoint,
                          base::TimePoint Now) {
  if (!Usable_.contains(Endpoint))
    return;
  if (ReachableAgainAt_ && Now - *ReachableAgainAt_ < ReregistrationGrace) {
    MissingUntil_.try_emplace(Endpoint,
                              *ReachableAgainAt_ + ReregistrationGrace);
    return;
  }
  markUnusable(Endpoint, DepartureReason::Unlisted);
}

void EndpointList::replace(const std::vector<ListedEndpoint> &Entries,
                           base::TimePoint Now) {
  Loaded_ = true;
  bool Restored = std::exchange(Restored_, false);
  std::set<base::EndpointId> Listed;
  for (const ListedEndpoint &Each : Entries) {
    Listed.insert(Each.Endpoint_);
    if (!Restored || !wasUnlisted(Each))
      put(Each, Now);
  }
  std::vector<base::EndpointId> Missing;
  for (const auto &[Id, Each] : Usable_)
    if (!Listed.contains(Id))
      Missing.push_back(Id);
  for (const base::EndpointId &Each : Missing)
    remove(Each, Now);
}

void EndpointList::setReachable(bool Reachable, base::TimePoint Now) {
  if (Reachable && !Reachable_)
    ReachableAgainAt_ = Now;
  Reachable_ = Reachable;
}

void EndpointList::tick(base::TimePoint Now) {
  // A missing entry may have been renewed unseen while the list can't be read.
  if (!Reachable_)
    return;
  std::vector<base::EndpointId> Expired;
  for (const auto &[Id, Until] : MissingUntil_)
    if (Now >= Until)
      Expired.push_back(Id);
  for (const base::EndpointId &Each : Expired)
    markUnusable(Each, DepartureReason::Unlisted);
}

std::vector<EndpointChange> EndpointList::takeChanges() {
  return std::exchange(Changes_, {});
}

const ListedEndpoint *
EndpointList::find(const base::EndpointId &Endpoint) const {
  auto Found = Usable_.find(Endpoint);
  return Found == Usable_.end() ? nullptr : &Found->second;
}

} // namespace camphorwind::direct
