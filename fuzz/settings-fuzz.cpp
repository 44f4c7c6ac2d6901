#include "camphorwind/config/diff.h"
#include "camphorwind/config/parse.h"
#include "camphorwind/config/revision.h"

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

using namespace camphorwind;

/// Parses arbitrary bytes as a configuration: a refusal names at least one
/// fault, each with a line of the file.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  std::string_view Text(reinterpret_cast<const char *>(Data), Size);
  auto Parsed = config::parse(Text, "fuzz.json");
  if (!Parsed) {
    if (Parsed.error().empty())
      std::abort();
    for (const config::Fault &Found : Parsed.error())
      if (Found.Line_ == 0 || Found.Line_ > Size + 1)
        std::abort();
  }
  // The same bytes as an object and as a patch that a peer might send.
  (void)config::decodeRecord(Text);
  auto Change = base::unpack<config::Patch>(Text);
  if (Change)
    (void)config::applyPatch("first\nsecond\nthird\n", Change.value());
  return 0;
}
