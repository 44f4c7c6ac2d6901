#include "camphorwind/base/random.h"

namespace camphorwind::base {

Random systemRandom() {
  pcg_extras::seed_seq_from<std::random_device> Seed;
  return Random(Seed);
}

} // namespace camphorwind::base
