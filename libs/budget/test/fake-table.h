#ifndef CAMPHORWIND_BUDGET_TEST_FAKE_TABLE_H
#define CAMPHORWIND_BUDGET_TEST_FAKE_TABLE_H

#include "camphorwind/base/table.h"

#include <chrono>
#include <map>
#include <string>

namespace camphorwind::budget::test {

/// In-memory table whose time the caller passes in.
class FakeTable {
public:
  /// Makes the copy that restore() goes back to.
  void makeCopy() {
    CopiedRows_ = Rows_;
    CopiedVersion_ = Version_;
  }

  /// Loses all writes since makeCopy(); versions are given out again.
  void restore() {
    Rows_ = CopiedRows_;
    Version_ = CopiedVersion_;
    ++Era_;
  }

  base::TransactionResult apply(const base::Transaction &Change,
                                std::chrono::milliseconds Now) {
    base::TransactionResult Result;
    Result.TableTime_ = Now;
    Result.Era_ = Era_;
    bool Holds = true;
    for (const base::RowCondition &Each : Change.Conditions_)
      Holds = Holds && versionOf(Each.Key_) == Each.Version_;
    if (!Holds) {
      Result.Status_ = base::TransactionStatus::Conflict;
      for (const base::RowCondition &Each : Change.Conditions_)
        if (auto Found = Rows_.find(Each.Key_); Found != Rows_.end())
          Result.Current_.push_back(Found->second);
      return Result;
    }
    ++Version_;
    for (const base::RowWrite &Each : Change.Writes_) {
      if (Each.Value_)
        Rows_[Each.Key_] = {Each.Key_, Version_, *Each.Value_};
      else
        Rows_.erase(Each.Key_);
    }
    Result.Status_ = base::TransactionStatus::Committed;
    Result.Version_ = Version_;
    return Result;
  }

  base::ReadResult scan(std::chrono::milliseconds Now) const {
    base::ReadResult Result;
    Result.Status_ = base::ReadStatus::Ok;
    Result.TableTime_ = Now;
    Result.Era_ = Era_;
    for (const auto &[Key, Row] : Rows_)
      Result.Rows_.push_back(Row);
    return Result;
  }

private:
  base::RowVersion versionOf(const std::string &Key) const {
    auto Found = Rows_.find(Key);
    return Found == Rows_.end() ? 0 : Found->second.Version_;
  }

  std::map<std::string, base::Row> Rows_;
  base::RowVersion Version_ = 0;
  std::uint64_t Era_ = 1;
  std::map<std::string, base::Row> CopiedRows_;
  base::RowVersion CopiedVersion_ = 0;
};

} // namespace camphorwind::budget::test

#endif // CAMPHORWIND_BUDGET_TEST_FAKE_TABLE_H
