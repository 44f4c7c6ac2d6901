#ifndef CAMPHORWIND_CONFIG_SETTINGS_READER_H
#define CAMPHORWIND_CONFIG_SETTINGS_READER_H

#include "camphorwind/base/address.h"
#include "camphorwind/base/result.h"
#include "camphorwind/base/time.h"
#include "camphorwind/config/fault.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// Reads checked settings from JSON with comments. All faults are collected
/// and reported at once:
///
///     auto Reader = SettingsReader::parse(Text, FileName);
///     if (!Reader)
///       return base::failure(std::move(Reader).error());
///     Section Root = Reader.value().root();
///     Settings Value;
///     Value.Name_ = Root.text("name");
///     Value.Listen_ = Root.address("listen");
///     Value.Poll_ = Root.duration("poll", {50ms, 10s}, 1s);
///     return Reader.value().finish(std::move(Value));
namespace camphorwind::config {

namespace detail {
struct Node;
struct ReaderState;
} // namespace detail

/// Names that a file defines, for checking references to them.
using NameSet = std::set<std::string, std::less<>>;

/// Inclusive bounds of a number.
template <class T> struct Range {
  T Low_{};
  T High_{};
};

/// Bounds of a duration; written as a whole number with a unit: `250ms`.
using DurationRange = Range<base::Duration>;

/// Returns \p Value with the largest unit that keeps it whole, such as `4s`.
std::string toString(base::Duration Value);

/// Parses a whole number with one of the units ns, us, ms, s, min, h.
std::optional<base::Duration> durationFromString(std::string_view Text);

struct Entry;

/// One object of the file. Every reading function returns a value that keeps
/// to its bounds, and records a fault where the file has none: functions
/// without a default record a missing key, the others return the default. Keys
/// that were never asked for are faults. Valid as long as its reader.
class Section {
public:
  /// Text that is not empty.
  std::string text(std::string_view Key);
  std::string text(std::string_view Key, std::string Default);

  /// An id: letters, digits, `-`, `_` and `.`, at most 64.
  std::string name(std::string_view Key);

  /// One of \p Known, names that this file defines; \p What says what they
  /// are, such as "pool".
  std::string reference(std::string_view Key, const NameSet &Known,
                        std::string_view What);

  /// One of \p Names, as its index.
  std::size_t choice(std::string_view Key,
                     const std::vector<std::string> &Names,
                     std::optional<std::size_t> Default = std::nullopt);

  std::int64_t integer(std::string_view Key, Range<std::int64_t> Bounds,
                       std::optional<std::int64_t> Default = std::nullopt);

  double real(std::string_view Key, Range<double> Bounds,
              std::optional<double> Default = std::nullopt);

  bool flag(std::string_view Key, std::optional<bool> Default = std::nullopt);

  base::Duration duration(std::string_view Key, DurationRange Bounds,
                          std::optional<base::Duration> Default = std::nullopt);

  /// An IP number with a port, such as `10.0.0.7:8080` or `[::1]:8080`. Port 0
  /// lets a process listen on a free port.
  base::Address address(std::string_view Key);
  /// An address that others connect to: the port is not 0.
  base::Address peerAddress(std::string_view Key);
  std::optional<base::Address> optionalAddress(std::string_view Key);

  /// Bytes written as \p Size * 2 hexadecimal digits, returned in lower case.
  std::string hex(std::string_view Key, std::size_t Size);

  /// A list of texts; empty if absent.
  std::vector<std::string> texts(std::string_view Key);

  /// A list of ids; empty if absent.
  std::vector<std::string> names(std::string_view Key);

  /// A list of distinct references to \p Known; empty if absent.
  std::vector<std::string>
  references(std::string_view Key, const NameSet &Known, std::string_view What);

  /// A list of addresses that others connect to; empty if absent.
  std::vector<base::Address> addresses(std::string_view Key);

  /// An object; if absent, one without keys, so that defaults apply.
  Section section(std::string_view Key);

  /// An object that maps ids to objects, in file order; empty if absent.
  std::vector<Entry> entries(std::string_view Key);

  /// The ids of an object that maps ids to objects, without visiting it.
  NameSet entryNames(std::string_view Key) const;

  /// A list of objects; empty if absent.
  std::vector<Section> sections(std::string_view Key);

  /// Returns whether the file has \p Key here.
  bool has(std::string_view Key) const;

  /// Returns how many items the list or object at \p Key has; 0 if absent, 1
  /// for a value of another type.
  std::size_t size(std::string_view Key) const;

  /// Records a fault at \p Key, or at this object if \p Key is empty.
  void fault(FaultKind Kind, std::string_view Key, std::string Found,
             std::string Allowed, std::string Nearest = {});

private:
  friend class SettingsReader;
  Section(detail::ReaderState &State, const detail::Node *Object,
          std::size_t Line, std::string Path);

  const detail::Node *peek(std::string_view Key) const;
  const detail::Node *find(std::string_view Key);
  const detail::Node *require(std::string_view Key);
  std::string pathOf(std::string_view Key) const;
  void wrongType(std::string_view Key, const detail::Node &Found,
                 std::string_view Allowed);
  void faultAt(FaultKind Kind, std::size_t Line, std::string Path,
               std::string Found, std::string Allowed,
               std::string Nearest = {});
  const detail::Node *wanted(std::string_view Key, bool HasDefault);
  std::vector<std::pair<std::string, std::size_t>>
  textList(std::string_view Key);
  std::string checkedReference(std::size_t Line, const std::string &Path,
                               const std::string &Found, const NameSet &Known,
                               std::string_view What);

  detail::ReaderState *State_;
  /// Null for an object that the file lacks.
  const detail::Node *Object_;
  std::size_t Line_;
  std::string Path_;
};

/// An object under its id.
struct Entry {
  std::string Name_;
  Section Section_;
};

/// One settings file being read.
class SettingsReader {
public:
  /// Parses \p Text; \p FileName only names the file in faults.
  static base::Result<SettingsReader, Faults> parse(std::string_view Text,
                                                    std::string FileName);

  SettingsReader(SettingsReader &&Other) noexcept;
  SettingsReader &operator=(SettingsReader &&Other) noexcept;
  SettingsReader(const SettingsReader &) = delete;
  SettingsReader &operator=(const SettingsReader &) = delete;
  ~SettingsReader();

  /// The outermost object.
  Section root();

  /// Returns \p Value, or every fault found so far and every unknown key.
  template <class T> base::Result<T, Faults> finish(T Value) {
    Faults Found = takeFaults();
    if (!Found.empty())
      return base::failure(std::move(Found));
    return Value;
  }

private:
  explicit SettingsReader(std::unique_ptr<detail::ReaderState> State);
  Faults takeFaults();

  std::unique_ptr<detail::ReaderState> State_;
};

} // namespace camphorwind::config

#endif // CAMPHORWIND_CONFIG_SETTINGS_READER_H
