#include "camphorwind/direct/fingerprint.h"

#include <xxhash.h>

namespace camphorwind::direct {

std::uint64_t fingerprint(const RequestContent &Request) {
  std::uint64_t Hash = 0;
  // Each field is hashed by itself, so that bytes can't move from one to the
  // next.
  for (std::string_view Each : {Request.Method_, Request.Host_, Request.Target_,
                                Request.Account_, Request.Body_})
    Hash = XXH3_64bits_withSeed(Each.data(), Each.size(), Hash + Each.size());
  return Hash;
}

} // namespace camphorwind::direct
