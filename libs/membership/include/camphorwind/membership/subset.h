#ifndef CAMPHORWIND_MEMBERSHIP_SUBSET_H
#define CAMPHORWIND_MEMBERSHIP_SUBSET_H

#include "camphorwind/base/ids.h"

#include <cstddef>
#include <string_view>
#include <vector>

namespace camphorwind::membership {

/// An endpoint or host that may be chosen.
struct Member {
  base::EndpointId Endpoint_;
  base::FailureDomainId Domain_;
  friend bool operator==(const Member &, const Member &) = default;
};

/// Chooses up to \p Size of \p Members for the owner named \p Owner by
/// rendezvous hashing, spread over failure domains as evenly as their sizes
/// allow. The result depends only on the set of members, not on their order or
/// on history; a member that comes or goes moves few of the owner's choices.
/// Sorted by endpoint id.
std::vector<Member> chooseSubset(std::string_view Owner,
                                 std::vector<Member> Members, std::size_t Size);

/// Returns the members in descending order of their rendezvous weight for
/// \p Key, at most \p Size of them, whatever their domain.
std::vector<base::EndpointId> rankByRendezvous(std::string_view Key,
                                               std::vector<Member> Members,
                                               std::size_t Size);

} // namespace camphorwind::membership

#endif // CAMPHORWIND_MEMBERSHIP_SUBSET_H
