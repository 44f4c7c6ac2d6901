#include "camphorwind/routing/limit-claims.h"

#include <algorithm>
#include <cstddef>
#include <string_view>
#include <utility>

namespace camphorwind::routing {

std::string LimitClaims::encode(const std::vector<std::string> &Claims) {
  std::string Text;
  std::size_t Count = 0;
  for (const std::string &Each : Claims) {
    if (Count++ == MaxClaims)
      break;
    Text += Text.empty() ? Each : " " + Each;
  }
  return Text;
}

void LimitClaims::read(const std::map<std::string, std::string> &Texts,
                       const std::string &Self, base::TimePoint Now) {
  bool AfterGap = !ReadAt_ || Now - *ReadAt_ > MaxReadAge;
  ReadAt_ = Now;
  Self_ = Self;
  Claimants_.clear();
  std::map<std::string, base::TimePoint> OwnSince;
  for (const auto &[Router, Text] : Texts) {
    for (std::string_view Rest = Text; !Rest.empty();) {
      std::size_t End = std::min(Rest.find(' '), Rest.size());
      std::string Claim(Rest.substr(0, End));
      Rest.remove_prefix(std::min(End + 1, Rest.size()));
      // Texts are read in the order of their routers.
      std::vector<std::string> &Claimants = Claimants_[Claim];
      Claimants.push_back(Router);
      if (Router != Self)
        continue;
      auto Known = OwnSince_.find(Claim);
      bool IsKnown = Known != OwnSince_.end() && !AfterGap;
      OwnSince.emplace(std::move(Claim), IsKnown ? Known->second : Now);
    }
  }
  OwnSince_ = std::move(OwnSince);
}

std::optional<FleetPlace> LimitClaims::place(const std::string &Claim,
                                             base::TimePoint Now) const {
  auto Own = OwnSince_.find(Claim);
  if (Own == OwnSince_.end() || Now - *ReadAt_ > MaxReadAge ||
      Now - Own->second < EstablishTime)
    return std::nullopt;
  const std::vector<std::string> &Routers = Claimants_.at(Claim);
  auto Index =
      std::lower_bound(Routers.begin(), Routers.end(), Self_) - Routers.begin();
  return FleetPlace{Routers.size(), static_cast<std::size_t>(Index)};
}

} // namespace camphorwind::routing
