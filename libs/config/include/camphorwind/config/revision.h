#ifndef CAMPHORWIND_CONFIG_REVISION_H
#define CAMPHORWIND_CONFIG_REVISION_H

#include "camphorwind/base/codec.h"
#include "camphorwind/base/result.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

/// Accepted configurations as they are named, and kept in the table.
namespace camphorwind::config {

/// Names one accepted text. Versions grow by one with each acceptance; 0 means
/// that there is none. The hash proves which text a version has.
struct Revision {
  std::uint64_t Version_ = 0;
  std::string Hash_;

  friend bool operator==(const Revision &, const Revision &) = default;
  MSGPACK_DEFINE(Version_, Hash_)
};

/// Returns `17-1f0c...`, or `none`.
std::string toString(const Revision &Value);

/// Returns the hash of a configuration text: BLAKE2b, 32 hexadecimal digits.
std::string hashOfText(std::string_view Text);

/// Row that names the revision in force.
inline constexpr std::string_view CurrentKey = "config/current";
/// Prefix of the rows that keep what was accepted before.
inline constexpr std::string_view HistoryPrefix = "config/history/";
/// How many of those rows are kept.
inline constexpr std::uint64_t HistoryLength = 10'000;

/// Returns the row that keeps \p Version; keys sort by version.
std::string historyKey(std::uint64_t Version);
/// Returns the object that holds the text of \p Value.
std::string textObject(const Revision &Value);
/// Returns the object that holds the packed Patch from the version before.
std::string patchObject(const Revision &Value);

/// What the table keeps about an acceptance.
struct RevisionRecord {
  Revision Revision_;
  /// Who accepted it.
  std::string Operator_;
  /// When, by the operator's clock, in whole seconds.
  std::chrono::sys_seconds AcceptedAt_{};
  /// Tells one acceptance from all others, also of the same text.
  std::string Nonce_;

  friend bool operator==(const RevisionRecord &,
                         const RevisionRecord &) = default;
};

/// Why a row is not a RevisionRecord.
enum class RecordError { NotJson, WrongShape };

/// Return the row's JSON text, and the record of such a text.
std::string encode(const RevisionRecord &Value);
base::Result<RevisionRecord, RecordError> decodeRecord(std::string_view Text);

} // namespace camphorwind::config

#endif // CAMPHORWIND_CONFIG_REVISION_H
