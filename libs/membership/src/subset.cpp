#include "camphorwind/membership/subset.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <map>

namespace camphorwind::membership {

namespace {

struct Weighted {
  std::uint64_t Weight_ = 0;
  Member Member_;
};

std::uint64_t weightOf(std::string_view Key, std::string_view Name) {
  XXH64_hash_t Seed = XXH3_64bits(Key.data(), Key.size());
  return XXH3_64bits_withSeed(Name.data(), Name.size(), Seed);
}

bool heavier(const Weighted &Left, const Weighted &Right) {
  if (Left.Weight_ != Right.Weight_)
    return Left.Weight_ > Right.Weight_;
  return Left.Member_.Endpoint_ < Right.Member_.Endpoint_;
}

std::vector<Weighted> weigh(std::string_view Key, std::vector<Member> Members) {
  std::vector<Weighted> Ranked;
  Ranked.reserve(Members.size());
  for (Member &Candidate : Members) {
    std::uint64_t Weight = weightOf(Key, Candidate.Endpoint_.str());
    Ranked.push_back({Weight, std::move(Candidate)});
  }
  std::sort(Ranked.begin(), Ranked.end(), heavier);
  return Ranked;
}

/// The owner's own order of the domains, so that the places that are left over
/// after an even split fall on different domains for different owners.
std::vector<std::vector<Member>> groupByDomain(std::string_view Owner,
                                               std::vector<Weighted> Ranked) {
  std::map<base::FailureDomainId, std::vector<Member>> Domains;
  for (Weighted &Entry : Ranked)
    Domains[Entry.Member_.Domain_].push_back(std::move(Entry.Member_));
  std::vector<std::pair<std::uint64_t, std::vector<Member>>> Ordered;
  Ordered.reserve(Domains.size());
  for (auto &[Domain, Members] : Domains)
    Ordered.emplace_back(weightOf(Owner, Domain.str()), std::move(Members));
  std::sort(Ordered.begin(), Ordered.end(),
            [](const auto &A, const auto &B) { return A.first > B.first; });
  std::vector<std::vector<Member>> Groups;
  Groups.reserve(Ordered.size());
  for (auto &Entry : Ordered)
    Groups.push_back(std::move(Entry.second));
  return Groups;
}

} // namespace

std::vector<Member> chooseSubset(std::string_view Owner,
                                 std::vector<Member> Members,
                                 std::size_t Size) {
  Size = std::min(Size, Members.size());
  std::vector<std::vector<Member>> Groups =
      groupByDomain(Owner, weigh(Owner, std::move(Members)));
  std::vector<Member> Chosen;
  Chosen.reserve(Size);
  for (std::size_t Rank = 0; Chosen.size() < Size; ++Rank)
    for (std::vector<Member> &Group : Groups)
      if (Rank < Group.size() && Chosen.size() < Size)
        Chosen.push_back(std::move(Group[Rank]));
  std::sort(Chosen.begin(), Chosen.end(), [](const Member &A, const Member &B) {
    return A.Endpoint_ < B.Endpoint_;
  });
  return Chosen;
}

std::vector<base::EndpointId> rankByRendezvous(std::string_view Key,
                                               std::vector<Member> Members,
                                               std::size_t Size) {
  std::vector<Weighted> Ranked = weigh(Key, std::move(Members));
  Ranked.resize(std::min(Size, Ranked.size()));
  std::vector<base::EndpointId> Endpoints;
  Endpoints.reserve(Ranked.size());
  for (Weighted &Entry : Ranked)
    Endpoints.push_back(std::move(Entry.Member_.Endpoint_));
  return Endpoints;
}

} // namespace camphorwind::membership
