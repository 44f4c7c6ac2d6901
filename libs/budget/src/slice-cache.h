#ifndef CAMPHORWIND_BUDGET_SLICE_CACHE_H
#define CAMPHORWIND_BUDGET_SLICE_CACHE_H

#include "escrow-rows.h"

#include "camphorwind/base/table.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

namespace camphorwind::budget::detail {

/// Decoded slice rows of one era of the table, by key and version.
class SliceCache {
public:
  /// Returns the slice in \p Found, or nothing if the row can't be read.
  /// Decodes it only if its version is not that of the last call for the key.
  const std::optional<SliceRow> &decode(const base::Row &Found);
  /// Forgets the rows that were not asked for since the last call.
  void sweep();
  /// Forgets all rows. Versions are given out again in a new era.
  void clear() { Entries_.clear(); }

  std::size_t size() const { return Entries_.size(); }
  /// Number of rows that were decoded.
  std::uint64_t decodedRows() const { return DecodedRows_; }

private:
  struct Entry {
    base::RowVersion Version_ = 0;
    std::optional<SliceRow> Slice_;
    bool Used_ = true;
  };

  std::unordered_map<std::string, Entry> Entries_;
  std::uint64_t DecodedRows_ = 0;
};

} // namespace camphorwind::budget::detail

#endif // CAMPHORWIND_BUDGET_SLICE_CACHE_H
