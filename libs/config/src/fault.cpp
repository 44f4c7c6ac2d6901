#include "camphorwind/config/fault.h"

#include <algorithm>
#include <numeric>

namespace camphorwind::config {

namespace {

std::size_t editDistance(std::string_view A, std::string_view B) {
  std::vector<std::size_t> Row(B.size() + 1);
  std::iota(Row.begin(), Row.end(), std::size_t{0});
  for (std::size_t I = 1; I <= A.size(); ++I) {
    std::size_t Diagonal = Row[0];
    Row[0] = I;
    for (std::size_t J = 1; J <= B.size(); ++J) {
      std::size_t Replace = Diagonal + (A[I - 1] == B[J - 1] ? 0 : 1);
      Diagonal = Row[J];
      Row[J] = std::min({Replace, Row[J] + 1, Row[J - 1] + 1});
    }
  }
  return Row.back();
}

} // namespace

std::string_view toString(FaultKind Kind) {
  switch (Kind) {
  case FaultKind::Syntax:
    return "syntax";
  case FaultKind::TooLarge:
    return "too_large";
  case FaultKind::DuplicateKey:
    return "duplicate_key";
  case FaultKind::UnknownKey:
    return "unknown_key";
  case FaultKind::MissingKey:
    return "missing_key";
  case FaultKind::WrongType:
    return "wrong_type";
  case FaultKind::OutOfRange:
    return "out_of_range";
  case FaultKind::NotAllowed:
    return "not_allowed";
  case FaultKind::UnknownReference:
    return "unknown_reference";
  }
  return "invalid";
}

std::string toString(const Fault &Value) {
  std::string Text = Value.File_ + ":" + std::to_string(Value.Line_) + ": ";
  if (!Value.KeyPath_.empty())
    Text += Value.KeyPath_ + ": ";
  Text += "found " + Value.Found_ + "; allowed: " + Value.Allowed_;
  if (!Value.Nearest_.empty())
    Text += "; did you mean \"" + Value.Nearest_ + "\"?";
  return Text;
}

std::string_view nearestName(std::string_view Name,
                             const std::vector<std::string> &Candidates) {
  constexpr std::size_t MaxNameBytes = 128;
  if (Name.empty() || Name.size() > MaxNameBytes)
    return {};
  std::string_view Nearest;
  std::size_t Least = std::max<std::size_t>(2, Name.size() / 3) + 1;
  for (const std::string &Candidate : Candidates) {
    std::size_t Distance = editDistance(Name, Candidate);
    if (Distance < Least && Distance < Candidate.size()) {
      Least = Distance;
      Nearest = Candidate;
    }
  }
  return Nearest;
}

} // namespace camphorwind::config
