#include "camphorwind/standins/table.h"

namespace camphorwind::standins {

base::TransactionResult MemoryTable::transact(const base::Transaction &Change) {
  base::TransactionResult Result;
  for (const base::RowCondition &Condition : Change.Conditions_) {
    base::Row Current = rowAt(Condition.Key_);
    if (Current.Version_ != Condition.Version_)
      Result.Current_.push_back(std::move(Current));
  }
  if (!Result.Current_.empty()) {
    ++Counts_.Conflicts_;
    Result.Status_ = base::TransactionStatus::Conflict;
    return Result;
  }
  ++Counts_.Writes_;
  Result.Status_ = base::TransactionStatus::Committed;
  Result.Version_ = ++LastVersion_;
  for (const base::RowWrite &Write : Change.Writes_) {
    if (Write.Value_)
      Rows_[Write.Key_] = {Write.Key_, Result.Version_, *Write.Value_};
    else
      Rows_.erase(Write.Key_);
  }
  return Result;
}

std::vector<base::Row> MemoryTable::read(const std::string &Key) {
  ++Counts_.Reads_;
  auto Found = Rows_.find(Key);
  if (Found == Rows_.end())
    return {};
  return {Found->second};
}

std::vector<base::Row> MemoryTable::scan(const std::string &Prefix) {
  ++Counts_.Reads_;
  std::vector<base::Row> Found;
  for (auto Next = Rows_.lower_bound(Prefix);
       Next != Rows_.end() && Next->first.starts_with(Prefix); ++Next)
    Found.push_back(Next->second);
  return Found;
}

base::Row MemoryTable::rowAt(const std::string &Key) const {
  auto Found = Rows_.find(Key);
  return Found == Rows_.end() ? base::Row{Key, 0, "null"} : Found->second;
}

} // namespace camphorwind::standins
