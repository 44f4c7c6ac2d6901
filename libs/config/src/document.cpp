#include "camphorwind/config/detail/document.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>
#include <limits>
#include <unordered_set>

namespace camphorwind::config::detail {

namespace {

using Json = nlohmann::json;

/// Counts the lines that the JSON lexer has consumed.
struct LineCounter {
  std::size_t Line_ = 1;
  char Last_ = '\0';
};

/// Feeds the lexer and keeps a LineCounter up to date.
class CountingIterator {
public:
  using iterator_category = std::input_iterator_tag; // NOLINT
  using value_type = char;
  using difference_type = std::ptrdiff_t; // NOLINT
  using pointer = const char *;           // NOLINT
  using reference = const char &;         // NOLINT

  CountingIterator(const char *Position, LineCounter *Counter)
      : Position_(Position), Counter_(Counter) {}

  reference operator*() const { return *Position_; }
  CountingIterator &operator++() {
    Counter_->Last_ = *Position_;
    if (*Position_ == '\n')
      ++Counter_->Line_;
    ++Position_;
    return *this;
  }
  friend bool operator!=(const CountingIterator &A, const CountingIterator &B) {
    return A.Position_ != B.Position_;
  }

private:
  const char *Position_;
  LineCounter *Counter_;
};

/// A list or object that is not yet closed.
struct OpenNode {
  Node Node_;
  std::string Path_;
  /// Of an object: the key whose value comes next, and the keys seen.
  std::string Key_;
  std::size_t KeyLine_ = 1;
  std::unordered_set<std::string> Keys_;
};

/// Builds a Node from the events of the JSON parser. The function names are
/// those that the parser calls.
class DocumentBuilder {
public:
  DocumentBuilder(std::string_view Text, const std::string &FileName,
                  const LineCounter &Counter)
      : Text_(Text), FileName_(FileName), Counter_(Counter) {}

  // NOLINTBEGIN(readability-identifier-naming)
  bool null() { return add(std::monostate()); }
  bool boolean(bool Value) { return add(Value); }
  bool number_integer(std::int64_t Value) { return addNumber(Value); }
  bool number_unsigned(std::uint64_t Value) {
    if (Value >
        static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max()))
      return addNumber(static_cast<double>(Value));
    return addNumber(static_cast<std::int64_t>(Value));
  }
  bool number_float(double Value, const std::string &) {
    return addNumber(Value);
  }
  bool string(std::string &Value) { return add(std::move(Value)); }
  bool binary(Json::binary_t &) { return false; }
  bool start_object(std::size_t) { return open(Node::Object()); }
  bool start_array(std::size_t) { return open(Node::List()); }
  bool end_object() { return close(); }
  bool end_array() { return close(); }
  bool key(std::string &Value) {
    OpenNode &Top = Open_.back();
    Top.Key_ = std::move(Value);
    Top.KeyLine_ = Counter_.Line_;
    if (!Top.Keys_.insert(Top.Key_).second)
      report(FaultKind::DuplicateKey, Counter_.Line_, childPath(),
             "the key a second time", "each key once in an object");
    return true;
  }
  bool parse_error(std::size_t Position, const std::string &LastToken,
                   const Json::exception &) {
    std::size_t End = std::min(Position, Text_.size());
    auto Before = Text_.substr(0, End > 0 ? End - 1 : 0);
    auto Lines = std::count(Before.begin(), Before.end(), '\n');
    bool AtEnd = Position > Text_.size();
    report(FaultKind::Syntax, 1 + static_cast<std::size_t>(Lines),
           Open_.empty() ? std::string() : Open_.back().Path_,
           AtEnd ? "the end of the file"
                 : shorten(LastToken) + " in the wrong place",
           "JSON with // and /* */ comments");
    return false;
  }
  // NOLINTEND(readability-identifier-naming)

  void report(FaultKind Kind, std::size_t Line, std::string Path,
              std::string Found, std::string Allowed) {
    Faults_.push_back({Kind,
                       FileName_,
                       Line,
                       std::move(Path),
                       std::move(Found),
                       std::move(Allowed),
                       {}});
  }

  static std::string shorten(std::string_view Text) {
    constexpr std::size_t MaxBytes = 40;
    std::string Short;
    for (char Character : Text.substr(0, MaxBytes)) {
      auto Byte = static_cast<unsigned char>(Character);
      Short += Byte < 0x20 || Byte == 0x7f ? ' ' : Character;
    }
    return Text.size() > MaxBytes ? Short + "..." : Short;
  }

  Node Root_;
  Faults Faults_;

private:
  template <class T> bool add(T Value) {
    return place(Node{Counter_.Line_, std::move(Value)});
  }

  /// A number ends with the character after it, which may be a line feed.
  template <class T> bool addNumber(T Value) {
    std::size_t Ahead = Counter_.Last_ == '\n' ? 1 : 0;
    return place(Node{Counter_.Line_ - Ahead, Value});
  }

  template <class T> bool open(T Value) {
    std::string Path = childPath();
    if (Open_.size() == MaxDocumentDepth) {
      report(FaultKind::TooLarge, Counter_.Line_, std::move(Path),
             "deeper nesting",
             "at most " + std::to_string(MaxDocumentDepth) +
                 " levels of lists and objects");
      return false;
    }
    Open_.push_back({Node{Counter_.Line_, std::move(Value)}, Path, {}, 1, {}});
    return true;
  }

  bool close() {
    Node Done = std::move(Open_.back().Node_);
    Open_.pop_back();
    return place(std::move(Done));
  }

  bool place(Node Value) {
    if (Open_.empty()) {
      Root_ = std::move(Value);
      return true;
    }
    OpenNode &Top = Open_.back();
    if (auto *Items = std::get_if<Node::List>(&Top.Node_.Value_)) {
      Items->push_back(std::move(Value));
      return true;
    }
    auto &Members = std::get<Node::Object>(Top.Node_.Value_);
    Members.push_back({Top.Key_, Top.KeyLine_, std::move(Value)});
    return true;
  }

  std::string childPath() const {
    if (Open_.empty())
      return {};
    const OpenNode &Top = Open_.back();
    if (const auto *Items = std::get_if<Node::List>(&Top.Node_.Value_))
      return Top.Path_ + "[" + std::to_string(Items->size()) + "]";
    return Top.Path_.empty() ? Top.Key_ : Top.Path_ + "." + Top.Key_;
  }

  std::string_view Text_;
  const std::string &FileName_;
  const LineCounter &Counter_;
  std::vector<OpenNode> Open_;
};

} // namespace

base::Result<Node, Faults> parseDocument(std::string_view Text,
                                         const std::string &FileName) {
  LineCounter Counter;
  DocumentBuilder Builder(Text, FileName, Counter);
  if (Text.size() > MaxDocumentBytes) {
    Builder.report(FaultKind::TooLarge, 1, {},
                   std::to_string(Text.size()) + " bytes",
                   "at most " + std::to_string(MaxDocumentBytes) + " bytes");
    return base::failure(std::move(Builder.Faults_));
  }
  CountingIterator First(Text.data(), &Counter);
  CountingIterator Last(Text.data() + Text.size(), &Counter);
  constexpr bool Strict = true;
  constexpr bool IgnoreComments = true;
  bool Complete =
      Json::sax_parse(First, Last, &Builder, Json::input_format_t::json, Strict,
                      IgnoreComments);
  if (!Complete || !Builder.Faults_.empty())
    return base::failure(std::move(Builder.Faults_));
  return std::move(Builder.Root_);
}

std::string describe(const Node &Value) {
  struct Describer {
    std::string operator()(std::monostate) const { return "null"; }
    std::string operator()(bool Flag) const { return Flag ? "true" : "false"; }
    std::string operator()(std::int64_t Number) const {
      return std::to_string(Number);
    }
    std::string operator()(double Number) const { return Json(Number).dump(); }
    std::string operator()(const std::string &Text) const {
      return "\"" + DocumentBuilder::shorten(Text) + "\"";
    }
    std::string operator()(const Node::List &) const { return "a list"; }
    std::string operator()(const Node::Object &) const { return "an object"; }
  };
  return std::visit(Describer(), Value.Value_);
}

} // namespace camphorwind::config::detail
