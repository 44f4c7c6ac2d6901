#ifndef CAMPHORWIND_BASE_TABLE_H
#define CAMPHORWIND_BASE_TABLE_H

#include <chrono>
#include <concepts>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

/// What the platform's transactional table takes and answers. Coordination
/// parts emit a Transaction as an action and take its TransactionResult as an
/// event; only drivers talk to the table.
namespace camphorwind::base {

/// Version of a table row; grows with every write, 0 where no row exists.
using RowVersion = std::uint64_t;

/// A row as read: `Version_ == 0` when it does not exist.
struct Row {
  std::string Key_;
  RowVersion Version_ = 0;
  /// JSON text.
  std::string Value_;
};

/// Holds if the row still has this version (0: does not exist).
struct RowCondition {
  std::string Key_;
  RowVersion Version_ = 0;
};

/// Puts a value, or deletes the row where there is none.
struct RowWrite {
  std::string Key_;
  std::optional<std::string> Value_;
};

/// All writes happen if every condition holds, else none.
struct Transaction {
  std::vector<RowCondition> Conditions_;
  std::vector<RowWrite> Writes_;
};

/// How a transaction ended, as far as its sender knows.
enum class TransactionStatus {
  Committed,   ///< Every write took effect.
  Conflict,    ///< A condition failed; nothing was written.
  NotSent,     ///< The table was not reached; nothing was written.
  Unavailable, ///< The table refused; nothing was written.
  Unknown,     ///< The reply is missing; the writes may have taken effect.
};

/// The end of a transaction.
struct TransactionResult {
  TransactionStatus Status_ = TransactionStatus::Unknown;
  /// With Committed: the version given to every written row.
  RowVersion Version_ = 0;
  /// With Conflict: the rows whose condition failed, as they are now.
  std::vector<Row> Current_;
  /// The table's own steady clock as it answered, if it states one.
  std::optional<std::chrono::milliseconds> TableTime_;
  /// See ReadResult::Era_.
  std::optional<std::uint64_t> Era_;
};

/// How a read ended.
enum class ReadStatus { Ok, Unavailable };

/// The rows that a read found, in key order.
struct ReadResult {
  ReadStatus Status_ = ReadStatus::Unavailable;
  std::vector<Row> Rows_;
  /// The table's own steady clock as it answered, if it states one.
  std::optional<std::chrono::milliseconds> TableTime_;
  /// Rises each time the table was restored from a copy, which loses the latest
  /// writes and gives their versions out again. Unset if the table does not
  /// state it or did not answer.
  std::optional<std::uint64_t> Era_;
};

/// Asynchronous access to the table. Callbacks run on the caller's loop, later
/// than the call; each is called exactly once.
template <class T>
concept Table = requires(T &Target, Transaction Change, std::string Key,
                         std::function<void(TransactionResult)> OnResult,
                         std::function<void(ReadResult)> OnRead) {
  Target.transact(std::move(Change), std::move(OnResult));
  Target.read(std::move(Key), std::move(OnRead));
  Target.scan(std::move(Key), std::move(OnRead));
};

} // namespace camphorwind::base

#endif // CAMPHORWIND_BASE_TABLE_H
