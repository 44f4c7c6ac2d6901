#include "camphorwind/config/diff.h"

#include <algorithm>

namespace camphorwind::config {

namespace {

using Lines = std::vector<std::string_view>;

Lines splitLines(std::string_view Text) {
  Lines Split;
  while (!Text.empty()) {
    std::size_t End = Text.find('\n');
    std::size_t Length = End == std::string_view::npos ? Text.size() : End + 1;
    Split.push_back(Text.substr(0, Length));
    Text.remove_prefix(Length);
  }
  return Split;
}

/// The part of two texts that differs, without their common ends.
struct Window {
  std::size_t Start_ = 0;
  std::size_t OldEnd_ = 0;
  std::size_t NewEnd_ = 0;
};

Window differingWindow(const Lines &Old, const Lines &New) {
  Window Part{0, Old.size(), New.size()};
  while (Part.Start_ < Part.OldEnd_ && Part.Start_ < Part.NewEnd_ &&
         Old[Part.Start_] == New[Part.Start_])
    ++Part.Start_;
  while (Part.OldEnd_ > Part.Start_ && Part.NewEnd_ > Part.Start_ &&
         Old[Part.OldEnd_ - 1] == New[Part.NewEnd_ - 1]) {
    --Part.OldEnd_;
    --Part.NewEnd_;
  }
  return Part;
}

/// A pair of equal lines, by their position in the old and the new text.
struct Match {
  std::size_t Old_ = 0;
  std::size_t New_ = 0;
};

/// Greedy search for the shortest edit script (Myers 1986). Gives up beyond
/// MaxEdits, so that time and memory stay bounded.
class EditSearch {
public:
  EditSearch(const Lines &Old, const Lines &New, const Window &Part)
      : Old_(Old), New_(New), Part_(Part),
        OldSize_(static_cast<int>(Part.OldEnd_ - Part.Start_)),
        NewSize_(static_cast<int>(Part.NewEnd_ - Part.Start_)) {}

  /// Returns the equal lines kept, in order; none if the texts differ too much.
  std::vector<Match> run() {
    std::vector<int> Reach(2 * MaxEdits + 3, 0);
    for (int Edits = 0; Edits <= MaxEdits; ++Edits) {
      Trace_.emplace_back(Reach.begin() + Center - Edits - 1,
                          Reach.begin() + Center + Edits + 2);
      for (int Diagonal = -Edits; Diagonal <= Edits; Diagonal += 2) {
        int Old = advance(Reach, Edits, Diagonal);
        if (Old >= OldSize_ && Old - Diagonal >= NewSize_)
          return walkBack(Edits);
      }
    }
    return {};
  }

private:
  static constexpr int MaxEdits = 1000;
  static constexpr int Center = MaxEdits + 1;

  static bool goesDown(int Edits, int Diagonal, int Below, int Above) {
    return Diagonal == -Edits || (Diagonal != Edits && Below < Above);
  }

  int advance(std::vector<int> &Reach, int Edits, int Diagonal) const {
    int *At = Reach.data() + Center + Diagonal;
    bool Down = goesDown(Edits, Diagonal, At[-1], At[1]);
    int Old = Down ? At[1] : At[-1] + 1;
    int New = Old - Diagonal;
    while (Old < OldSize_ && New < NewSize_ && same(Old, New)) {
      ++Old;
      ++New;
    }
    *At = Old;
    return Old;
  }

  bool same(int Old, int New) const {
    return Old_[Part_.Start_ + static_cast<std::size_t>(Old)] ==
           New_[Part_.Start_ + static_cast<std::size_t>(New)];
  }

  std::vector<Match> walkBack(int Edits) const {
    std::vector<Match> Matches;
    int Old = OldSize_;
    int New = NewSize_;
    for (; Edits >= 0; --Edits) {
      const std::vector<int> &Reach = Trace_[static_cast<std::size_t>(Edits)];
      int Diagonal = Old - New;
      const int *At = Reach.data() + Edits + 1 + Diagonal;
      bool Down = goesDown(Edits, Diagonal, At[-1], At[1]);
      int PreviousOld = Edits == 0 ? 0 : (Down ? At[1] : At[-1]);
      int PreviousNew =
          Edits == 0 ? 0 : PreviousOld - (Diagonal + (Down ? 1 : -1));
      while (Old > PreviousOld && New > PreviousNew) {
        --Old;
        --New;
        Matches.push_back({Part_.Start_ + static_cast<std::size_t>(Old),
                           Part_.Start_ + static_cast<std::size_t>(New)});
      }
      Old = PreviousOld;
      New = PreviousNew;
    }
    std::reverse(Matches.begin(), Matches.end());
    return Matches;
  }

  const Lines &Old_;
  const Lines &New_;
  Window Part_;
  int OldSize_;
  int NewSize_;
  /// For each number of edits, how far each diagonal had reached before.
  std::vector<std::vector<int>> Trace_;
};

} // namespace

Patch makePatch(std::string_view Old, std::string_view New) {
  Lines OldLines = splitLines(Old);
  Lines NewLines = splitLines(New);
  Window Part = differingWindow(OldLines, NewLines);
  std::vector<Match> Matches = EditSearch(OldLines, NewLines, Part).run();
  Matches.push_back({Part.OldEnd_, Part.NewEnd_});
  Patch Change;
  std::size_t OldNext = Part.Start_;
  std::size_t NewNext = Part.Start_;
  for (const Match &Kept : Matches) {
    if (Kept.Old_ > OldNext || Kept.New_ > NewNext) {
      Hunk Replaced{OldNext, Kept.Old_ - OldNext, {}};
      for (std::size_t Line = NewNext; Line < Kept.New_; ++Line)
        Replaced.Added_.emplace_back(NewLines[Line]);
      Change.push_back(std::move(Replaced));
    }
    OldNext = Kept.Old_ + 1;
    NewNext = Kept.New_ + 1;
  }
  return Change;
}

base::Result<std::string, PatchError> applyPatch(std::string_view Old,
                                                 const Patch &Change) {
  Lines OldLines = splitLines(Old);
  std::string New;
  New.reserve(Old.size());
  std::size_t Next = 0;
  for (const Hunk &Part : Change) {
    if (Part.Line_ < Next)
      return base::failure(PatchError::OutOfOrder);
    if (Part.Line_ > OldLines.size() ||
        Part.Removed_ > OldLines.size() - Part.Line_)
      return base::failure(PatchError::BeyondEnd);
    for (; Next < Part.Line_; ++Next)
      New += OldLines[Next];
    for (const std::string &Line : Part.Added_)
      New += Line;
    Next += Part.Removed_;
  }
  for (; Next < OldLines.size(); ++Next)
    New += OldLines[Next];
  return New;
}

std::string describePatch(std::string_view Old, const Patch &Change) {
  Lines OldLines = splitLines(Old);
  std::string Text;
  auto Append = [&](char Sign, std::string_view Line) {
    Text += Sign;
    Text += Line;
    if (!Line.ends_with('\n'))
      Text += '\n';
  };
  for (const Hunk &Part : Change) {
    Text += "@@ line " + std::to_string(Part.Line_ + 1) + " @@\n";
    for (std::size_t Index = 0; Index < Part.Removed_; ++Index)
      Append('-', OldLines[Part.Line_ + Index]);
    for (const std::string &Line : Part.Added_)
      Append('+', Line);
  }
  return Text;
}

} // namespace camphorwind::config
