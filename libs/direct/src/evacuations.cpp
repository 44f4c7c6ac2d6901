#include "camphorwind/direct/evacuations.h"

#include <set>
#include <utility>

namespace camphorwind::direct {

void Evacuations::begin(const base::FailureDomainId &Domain) {
  auto [Found, New] = Domains_.insert_or_assign(Domain, std::nullopt);
  if (New)
    Changes_.push_back({Domain, true});
}

void Evacuations::end(const base::FailureDomainId &Domain) {
  Domains_.erase(Domain);
  Changes_.push_back({Domain, false});
}

void Evacuations::replace(const std::vector<base::FailureDomainId> &Domains,
                          base::TimePoint Now) {
  bool Restored = std::exchange(Restored_, false);
  std::set<base::FailureDomainId> Listed(Domains.begin(), Domains.end());
  std::vector<base::FailureDomainId> Missing;
  for (auto &[Domain, GraceEnd] : Domains_) {
    if (Listed.contains(Domain) || GraceEnd)
      continue;
    if (Restored)
      GraceEnd = Now + RestoreGrace;
    else
      Missing.push_back(Domain);
  }
  for (const base::FailureDomainId &Each : Missing)
    end(Each);
  for (const base::FailureDomainId &Each : Domains)
    begin(Each);
}

void Evacuations::tick(base::TimePoint Now) {
  std::vector<base::FailureDomainId> Expired;
  for (const auto &[Domain, GraceEnd] : Domains_)
    if (GraceEnd && Now >= *GraceEnd)
      Expired.push_back(Domain);
  for (const base::FailureDomainId &Each : Expired)
    end(Each);
}

std::vector<base::FailureDomainId> Evacuations::domains() const {
  std::vector<base::FailureDomainId> Found;
  for (const auto &[Domain, GraceEnd] : Domains_)
    Found.push_back(Domain);
  return Found;
}

std::vector<EvacuationChange> Evacuations::takeChanges() {
  return std::exchange(Changes_, {});
}

} // namespace camphorwind::direct
