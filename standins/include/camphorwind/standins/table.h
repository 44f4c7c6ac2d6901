#ifndef CAMPHORWIND_STANDINS_TABLE_H
#define CAMPHORWIND_STANDINS_TABLE_H

#include "camphorwind/base/table.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace camphorwind::standins {

/// How often a table was used.
struct TableCounts {
  std::uint64_t Reads_ = 0;
  std::uint64_t Writes_ = 0;
  std::uint64_t Conflicts_ = 0;
};

/// A transactional table in memory.
class MemoryTable {
public:
  /// Applies \p Change whole or not at all; the result is never Unknown.
  base::TransactionResult transact(const base::Transaction &Change);
  /// Returns the row, or nothing if it does not exist.
  std::vector<base::Row> read(const std::string &Key);
  /// Returns the rows whose key starts with \p Prefix, in key order.
  std::vector<base::Row> scan(const std::string &Prefix);

  const TableCounts &counts() const { return Counts_; }

private:
  base::Row rowAt(const std::string &Key) const;

  std::map<std::string, base::Row> Rows_;
  base::RowVersion LastVersion_ = 0;
  TableCounts Counts_;
};

} // namespace camphorwind::standins

#endif // CAMPHORWIND_STANDINS_TABLE_H
