#include "configuration-edit.h"

#include <algorithm>

namespace camphorwind::ctl {

namespace {

/// Walks over a JSON text with comments that is known to be well formed.
class Scanner {
public:
  explicit Scanner(std::string_view Text) : Text_(Text) {}

  std::size_t position() const { return At_; }
  bool atEnd() const { return At_ >= Text_.size(); }
  char current() const { return atEnd() ? '\0' : Text_[At_]; }
  void step() { ++At_; }

  /// Skips white space and comments.
  void skipBlank() {
    for (;;) {
      At_ = std::min(Text_.find_first_not_of(" \t\r\n", At_), Text_.size());
      if (Text_.substr(At_, 2) == "//")
        At_ = std::min(Text_.find('\n', At_), Text_.size());
      else if (Text_.substr(At_, 2) == "/*")
        At_ = std::min(Text_.find("*/", At_ + 2), Text_.size() - 2) + 2;
      else
        return;
    }
  }

  /// Reads a quoted text, without decoding it.
  std::string_view quoted() {
    std::size_t Start = ++At_;
    while (!atEnd() && current() != '"')
      At_ += current() == '\\' ? 2 : 1;
    std::string_view Found = Text_.substr(Start, At_ - Start);
    step();
    return Found;
  }

  /// Skips one value of any kind.
  void skipValue() {
    int Depth = 0;
    do {
      skipBlank();
      char Here = current();
      if (Here == '"') {
        quoted();
        continue;
      }
      if (Here == '{' || Here == '[')
        ++Depth;
      if (Here == '}' || Here == ']')
        --Depth;
      if (Depth == 0 && Here != '}' && Here != ']') {
        At_ = std::min(Text_.find_first_of(",}] \t\r\n/", At_), Text_.size());
        return;
      }
      step();
    } while (Depth > 0 && !atEnd());
  }

private:
  std::string_view Text_;
  std::size_t At_ = 0;
};

/// Moves to the value of the outermost object's member \p Name.
bool findMember(Scanner &Walk, std::string_view Name) {
  Walk.skipBlank();
  if (Walk.current() != '{')
    return false;
  Walk.step();
  for (;;) {
    Walk.skipBlank();
    if (Walk.current() != '"')
      return false;
    std::string_view Found = Walk.quoted();
    Walk.skipBlank();
    Walk.step();
    Walk.skipBlank();
    if (Found == Name)
      return true;
    Walk.skipValue();
    Walk.skipBlank();
    if (Walk.current() == ',')
      Walk.step();
  }
}

} // namespace

base::Result<std::string, EditError> addMember(std::string_view Text,
                                               std::string_view Section,
                                               std::string_view Name,
                                               std::string_view Value) {
  return addMemberAt(Text, {Section}, Name, Value);
}

base::Result<std::string, EditError>
addMemberAt(std::string_view Text, std::initializer_list<std::string_view> Path,
            std::string_view Name, std::string_view Value) {
  Scanner Walk(Text);
  for (std::string_view Step : Path)
    if (!findMember(Walk, Step))
      return base::failure(EditError::NoSuchSection);
  if (Walk.current() != '{')
    return base::failure(EditError::NotAnObject);
  Walk.step();
  std::size_t Insert = Walk.position();
  Walk.skipBlank();
  bool Empty = Walk.current() == '}';
  std::string Edited(Text.substr(0, Insert));
  Edited += "\n    \"";
  Edited += Name;
  Edited += "\": ";
  Edited += Value;
  Edited += Empty ? "\n  " : ",";
  Edited += Text.substr(Insert);
  return Edited;
}

} // namespace camphorwind::ctl
