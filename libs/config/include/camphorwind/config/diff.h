#ifndef CAMPHORWIND_CONFIG_DIFF_H
#define CAMPHORWIND_CONFIG_DIFF_H

#include "camphorwind/base/codec.h"
#include "camphorwind/base/result.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// Differences between two texts, line by line: shown to operators, and sent
/// in place of a whole configuration.
namespace camphorwind::config {

/// Lines of the old text replaced by others.
struct Hunk {
  /// First line replaced, counted from 0.
  std::uint64_t Line_ = 0;
  /// How many lines of the old text go.
  std::uint64_t Removed_ = 0;
  /// Lines put in their place, with their line ends.
  std::vector<std::string> Added_;

  friend bool operator==(const Hunk &, const Hunk &) = default;
  MSGPACK_DEFINE(Line_, Removed_, Added_)
};

/// Hunks in line order; they do not overlap.
using Patch = std::vector<Hunk>;

/// Why a patch does not fit a text.
enum class PatchError { OutOfOrder, BeyondEnd };

/// Returns a short patch that turns \p Old into \p New.
Patch makePatch(std::string_view Old, std::string_view New);

/// Returns \p Old with \p Change applied.
base::Result<std::string, PatchError> applyPatch(std::string_view Old,
                                                 const Patch &Change);

/// Returns \p Change as lines with `-` and `+`, each hunk under a line
/// `@@ line N @@`.
std::string describePatch(std::string_view Old, const Patch &Change);

} // namespace camphorwind::config

#endif // CAMPHORWIND_CONFIG_DIFF_H
