#include "camphorwind/membership/host-view.h"

#include <algorithm>

namespace camphorwind::membership {

HostView::Known &HostView::know(const base::HostId &Host, base::TimePoint Now) {
  auto [Found, New] = Hosts_.try_emplace(Host);
  if (New)
    Found->second = {{Host, {}, HostState::Live}, Now, Now};
  return Found->second;
}

void HostView::listed(const std::vector<HostEntry> &Hosts,
                      base::TimePoint Now) {
  LastListAt_ = Now;
  for (const HostEntry &Entry : Hosts) {
    Known &Its = know(Entry.Host_, Now);
    Its.ListedAt_ = Now;
    Its.Entry_.Domain_ = Entry.Domain_;
    if (Entry.State_ == HostState::Leaving)
      Its.Entry_.State_ = HostState::Leaving;
  }
}

void HostView::heard(const base::HostId &Host, base::TimePoint Now) {
  know(Host, Now).HeardAt_ = Now;
}

void HostView::leaving(const base::HostId &Host, base::TimePoint Now) {
  Known &Its = know(Host, Now);
  Its.HeardAt_ = Now;
  Its.Entry_.State_ = HostState::Leaving;
}

bool HostView::goneAt(const Known &Host, base::TimePoint Now) const {
  return LastListAt_ - Host.ListedAt_ > Lag_ && Now - Host.HeardAt_ > Lag_;
}

bool HostView::usable(const base::HostId &Host, base::TimePoint Now) const {
  auto Found = Hosts_.find(Host);
  return Found != Hosts_.end() &&
         Found->second.Entry_.State_ == HostState::Live &&
         !goneAt(Found->second, Now);
}

bool HostView::gone(const base::HostId &Host, base::TimePoint Now) const {
  auto Found = Hosts_.find(Host);
  return Found == Hosts_.end() || goneAt(Found->second, Now);
}

std::vector<HostEntry> HostView::usableHosts(base::TimePoint Now) const {
  std::vector<HostEntry> Usable;
  for (const auto &[Host, Its] : Hosts_)
    if (usable(Host, Now))
      Usable.push_back(Its.Entry_);
  std::sort(
      Usable.begin(), Usable.end(),
      [](const HostEntry &A, const HostEntry &B) { return A.Host_ < B.Host_; });
  return Usable;
}

void HostView::forgetGone(base::TimePoint Now) {
  std::erase_if(Hosts_,
                [&](const auto &Item) { return goneAt(Item.second, Now); });
}

} // namespace camphorwind::membership
