#ifndef CAMPHORWIND_BASE_MEMORY_TABLE_H
#define CAMPHORWIND_BASE_MEMORY_TABLE_H

#include "camphorwind/base/table.h"

#include <map>
#include <string>
#include <string_view>

namespace camphorwind::base {

/// The transactional table in memory, for tests and virtual-time measurements.
/// Synchronous: the driver decides when an answer arrives, or whether it does.
class MemoryTable {
public:
  /// Runs \p Change; answers Committed or Conflict.
  TransactionResult transact(const Transaction &Change) {
    TransactionResult Result;
    for (const RowCondition &Condition : Change.Conditions_) {
      const Row Found = at(Condition.Key_);
      if (Found.Version_ != Condition.Version_)
        Result.Current_.push_back(Found);
    }
    if (!Result.Current_.empty()) {
      Result.Status_ = TransactionStatus::Conflict;
      return Result;
    }
    Result.Status_ = TransactionStatus::Committed;
    Result.Version_ = ++LastVersion_;
    for (const RowWrite &Write : Change.Writes_) {
      if (Write.Value_)
        Rows_[Write.Key_] = {Write.Key_, LastVersion_, *Write.Value_};
      else
        Rows_.erase(Write.Key_);
    }
    return Result;
  }

  /// Returns the row with the key \p Key, with version 0 where there is none.
  Row at(const std::string &Key) const {
    const auto Found = Rows_.find(Key);
    return Found == Rows_.end() ? Row{Key, 0, {}} : Found->second;
  }

  ReadResult read(const std::string &Key) const {
    ReadResult Result{ReadStatus::Ok, {}};
    const Row Found = at(Key);
    if (Found.Version_ != 0)
      Result.Rows_.push_back(Found);
    return Result;
  }

  /// Reads every row whose key starts with \p Prefix.
  ReadResult scan(std::string_view Prefix) const {
    ReadResult Result{ReadStatus::Ok, {}};
    for (auto Each = Rows_.lower_bound(std::string(Prefix));
         Each != Rows_.end() && Each->first.starts_with(Prefix); ++Each)
      Result.Rows_.push_back(Each->second);
    return Result;
  }

private:
  std::map<std::string, Row> Rows_;
  RowVersion LastVersion_ = 0;
};

} // namespace camphorwind::base

#endif // CAMPHORWIND_BASE_MEMORY_TABLE_H
