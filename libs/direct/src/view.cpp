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
  for (const auto &[Value, Known] : KindNames)
    if (Known == Name)
      return Value;
  return std::nullopt;
}

void View::addRoute(Route Added) {
  auto &OfHost = Routes_[Added.Host_];
  std::string Prefix = Added.PathPrefix_;
  if (OfHost.insert_or_assign(std::move(Prefix), std::move(Added)).second)
    ++RouteCount_;
}

void View::addAccount(Account Added, const std::vector<std::string> &Keys) {
  for (const std::string &Key : Keys)
    AccountByKey_[Key] = Accounts_.size();
  Accounts_.push_back(std::move(Added));
}

const Route *View::findRoute(std::string_view Host,
                             std::string_view Path) const {
  auto OfHost = Routes_.find(Host);
  if (OfHost == Routes_.end())
    return nullptr;
  // Prefixes end with a slash, so only those of the path's own directories can
  // match: the longest first.
  std::size_t Slash = Path.rfind('/');
  while (Slash != std::string_view::npos) {
    auto Found = OfHost->second.find(Path.substr(0, Slash + 1));
    if (Found != OfHost->second.end())
      return &Found->second;
    if (Slash == 0)
      break;
    Slash = Path.rfind('/', Slash - 1);
  }
  return nullptr;
}

const Pool *View::findPool(const base::PoolId &Id) const {
  auto Found = Pools_.find(Id);
  return Found == Pools_.end() ? nullptr : &Found->second;
}

const Account *View::findAccount(std::string_view Key) const {
  auto Found = AccountByKey_.find(Key);
  return Found == AccountByKey_.end() ? nullptr : &Accounts_[Found->second];
}

bool ViewHolder::offer(ViewPtr Offered) {
  if (!Offered || (Current_ && Offered->Version_ <= Current_->Version_))
    return false;
  Current_ = std::move(Offered);
  return true;
}

const RouteTarget *pickTarget(const Route &From, double Draw) {
  double Total = 0;
  for (const RouteTarget &Each : From.Targets_)
    Total += Each.Weight_;
  double Left = Draw * Total;
  for (const RouteTarget &Each : From.Targets_) {
    if (Left < Each.Weight_)
      return &Each;
    Left -= Each.Weight_;
  }
  return From.Targets_.empty() ? nullptr : &From.Targets_.back();
}

} // namespace camphorwind::direct
