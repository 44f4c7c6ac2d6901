#include "camphorwind/direct/view.h"

#include <array>
#include <utility>

namespace camphorwind::direct {

namespace {

constexpr std::array<std::pair<RequestKind, std::string_view>, 3> KindNames{
    {{RequestKind::Idempotent, "idempotent"},
     {RequestKind::NonIdempotent, "non_idempotent"},
     {RequestKind::Stream, "stream"}}};

} // namespace

std::string_view toString(RequestKind Kind) {
  for (const auto &[Value, Name] : KindNames)
    if (Value == Kind)
      return Name;
  return "unknown";
}

std::optional<RequestKind> requestKindFromString(std::string_view Name) {
  for (const auto &[Value, KnownName] : KindNames)
    if (KnownName == Name)
      return Value;
  return std::nullopt;
}

void View::addRoute(Route NewRoute) {
  auto &HostRoutes = Routes_[NewRoute.Host_];
  std::string Prefix = NewRoute.PathPrefix_;
  if (HostRoutes.insert_or_assign(std::move(Prefix), std::move(NewRoute))
          .second)
    ++RouteCount_;
}

void View::addAccount(Account NewAccount,
                      const std::vector<std::string> &Keys) {
  for (const std::string &Key : Keys)
    AccountByKey_[Key] = Accounts_.size();
  Accounts_.push_back(std::move(NewAccount));
}

const Route *View::findRoute(std::string_view Host,
                             std::string_view Path) const {
  auto HostRoutes = Routes_.find(Host);
  if (HostRoutes == Routes_.end())
    return nullptr;
  // Prefixes end with a slash, so only the parent directories of the path can
  // match. Try the longest first.
  std::size_t Slash = Path.rfind('/');
  while (Slash != std::string_view::npos) {
    auto Match = HostRoutes->second.find(Path.substr(0, Slash + 1));
    if (Match != HostRoutes->second.end())
      return &Match->second;
    if (Slash == 0)
      break;
    Slash = Path.rfind('/', Slash - 1);
  }
  return nullptr;
}

const Route *View::findRouteOfHost(std::string_view HostAndPort,
                                   std::string_view Path) const {
  std::string_view Host = HostAndPort.substr(0, HostAndPort.find(':'));
  const Route *Found = findRoute(Host, Path);
  return Found ? Found : findRoute(HostAndPort, Path);
}

const Pool *View::findPool(const base::PoolId &Id) const {
  auto Match = Pools_.find(Id);
  return Match == Pools_.end() ? nullptr : &Match->second;
}

const Account *View::findAccount(std::string_view Key) const {
  auto Match = AccountByKey_.find(Key);
  return Match == AccountByKey_.end() ? nullptr : &Accounts_[Match->second];
}

bool ViewHolder::offer(ViewPtr Candidate) {
  if (!Candidate || (Current_ && Candidate->Version_ <= Current_->Version_))
    return false;
  Current_ = std::move(Candidate);
  return true;
}

const RouteTarget *pickTarget(const Route &ForRoute, double Draw) {
  double Total = 0;
  for (const RouteTarget &Target : ForRoute.Targets_)
    Total += Target.Weight_;
  double Remaining = Draw * Total;
  for (const RouteTarget &Target : ForRoute.Targets_) {
    if (Remaining < Target.Weight_)
      return &Target;
    Remaining -= Target.Weight_;
  }
  return ForRoute.Targets_.empty() ? nullptr : &ForRoute.Targets_.back();
}

} // namespace camphorwind::direct
