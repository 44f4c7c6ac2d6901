#include "camphorwind/config/configuration.h"

#include <algorithm>

namespace camphorwind::config {

namespace {

template <class Accepts>
const Route *findRouteIf(const std::map<RouteId, Route> &Routes,
                         const base::AccountId &Account, Accepts Matches) {
  const Route *ForAll = nullptr;
  for (const auto &[Id, Candidate] : Routes) {
    if (!Matches(Candidate))
      continue;
    const auto &Accounts = Candidate.Accounts_;
    if (std::find(Accounts.begin(), Accounts.end(), Account) != Accounts.end())
      return &Candidate;
    if (Accounts.empty() && ForAll == nullptr)
      ForAll = &Candidate;
  }
  return ForAll;
}

bool isUnder(std::string_view Path, std::string_view Prefix) {
  if (!Path.starts_with(Prefix))
    return false;
  return Path.size() == Prefix.size() || Prefix.back() == '/' ||
         Path[Prefix.size()] == '/' || Path[Prefix.size()] == '?';
}

} // namespace

const Endpoint *Configuration::findEndpoint(const base::EndpointId &Id) const {
  for (const auto &[PoolName, Candidates] : Pools_)
    for (const Endpoint &Candidate : Candidates.Endpoints_)
      if (Candidate.Id_ == Id)
        return &Candidate;
  return nullptr;
}

const Route *Configuration::findRoute(const base::AccountId &Account,
                                      const ModelId &Model) const {
  return findRouteIf(Routes_, Account, [&](const Route &Candidate) {
    return Candidate.Model_ == Model;
  });
}

const Route *Configuration::findRoute(const base::AccountId &Account,
                                      const ServiceId &Service) const {
  return findRouteIf(Routes_, Account, [&](const Route &Candidate) {
    return Candidate.Service_ == Service;
  });
}

const ServiceCall *Configuration::findCall(const ServiceId &Service,
                                           std::string_view Method,
                                           std::string_view Path) const {
  auto Found = Services_.find(Service);
  if (Found == Services_.end())
    return nullptr;
  for (const ServiceCall &Call : Found->second.Calls_)
    if (Call.Method_ == Method && isUnder(Path, Call.Path_))
      return &Call;
  return nullptr;
}

} // namespace camphorwind::config
