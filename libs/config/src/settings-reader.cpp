#include "camphorwind/config/settings-reader.h"

#include "camphorwind/config/detail/document.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <limits>
#include <unordered_map>

namespace camphorwind::config {

using detail::Node;

namespace detail {

/// What a SettingsReader and its sections share.
struct ReaderState {
  std::string File_;
  Node Root_;
  Faults Faults_;
  /// The path and the keys asked for, of every object visited.
  struct Visit {
    std::string Path_;
    std::vector<std::string> Keys_;
  };
  std::unordered_map<const Node *, Visit> Visits_;
};

} // namespace detail

namespace {

struct DurationUnit {
  std::string_view Name_;
  base::Duration Length_;
};

using namespace std::chrono_literals;

constexpr std::array<DurationUnit, 6> DurationUnits = {{{"h", 1h},
                                                        {"min", 1min},
                                                        {"s", 1s},
                                                        {"ms", 1ms},
                                                        {"us", 1us},
                                                        {"ns", 1ns}}};

bool isNameCharacter(char Character) {
  return (Character >= 'a' && Character <= 'z') ||
         (Character >= 'A' && Character <= 'Z') ||
         (Character >= '0' && Character <= '9') || Character == '-' ||
         Character == '_' || Character == '.';
}

constexpr std::size_t MaxNameBytes = 64;

const std::string &allowedName() {
  static const std::string Allowed =
      "a name of letters, digits, '-', '_' and '.', at most " +
      std::to_string(MaxNameBytes);
  return Allowed;
}

bool isName(std::string_view Text) {
  return !Text.empty() && Text.size() <= MaxNameBytes &&
         std::all_of(Text.begin(), Text.end(), isNameCharacter);
}

bool isHex(std::string_view Text) {
  return std::all_of(Text.begin(), Text.end(), [](char Character) {
    return (Character >= '0' && Character <= '9') ||
           (Character >= 'a' && Character <= 'f') ||
           (Character >= 'A' && Character <= 'F');
  });
}

std::string inQuotes(std::string_view Text) {
  return "\"" + std::string(Text) + "\"";
}

std::string joined(const std::vector<std::string> &Names) {
  constexpr std::size_t MaxNames = 12;
  std::string Text;
  for (std::size_t Index = 0; Index < Names.size(); ++Index) {
    if (Index == MaxNames)
      return Text + " and " + std::to_string(Names.size() - Index) + " more";
    Text += (Index == 0 ? "" : ", ") + inQuotes(Names[Index]);
  }
  return Text;
}

std::string realText(double Value) {
  std::string Text = std::to_string(Value);
  Text.erase(Text.find_last_not_of('0') + 1);
  if (Text.back() == '.')
    Text.pop_back();
  return Text;
}

} // namespace

std::string toString(base::Duration Value) {
  if (Value == base::Duration::zero())
    return "0s";
  for (const DurationUnit &Unit : DurationUnits)
    if (Value % Unit.Length_ == base::Duration::zero())
      return std::to_string(Value / Unit.Length_) + std::string(Unit.Name_);
  return std::to_string(Value.count()) + "ns";
}

std::optional<base::Duration> durationFromString(std::string_view Text) {
  std::int64_t Count = 0;
  const char *End = Text.data() + Text.size();
  auto [Rest, Error] = std::from_chars(Text.data(), End, Count);
  if (Error != std::errc() || Count < 0)
    return std::nullopt;
  std::string_view Name(Rest, static_cast<std::size_t>(End - Rest));
  for (const DurationUnit &Unit : DurationUnits) {
    if (Name != Unit.Name_)
      continue;
    if (Count > base::Duration::max() / Unit.Length_)
      return std::nullopt;
    return Count * Unit.Length_;
  }
  return std::nullopt;
}

Section::Section(detail::ReaderState &State, const Node *Object,
                 std::size_t Line, std::string Path)
    : State_(&State), Object_(Object), Line_(Line), Path_(std::move(Path)) {
  if (Object_ != nullptr)
    State_->Visits_[Object_].Path_ = Path_;
}

std::string Section::pathOf(std::string_view Key) const {
  if (Key.empty())
    return Path_;
  return Path_.empty() ? std::string(Key) : Path_ + "." + std::string(Key);
}

void Section::faultAt(FaultKind Kind, std::size_t Line, std::string Path,
                      std::string Found, std::string Allowed,
                      std::string Nearest) {
  State_->Faults_.push_back({Kind, State_->File_, Line, std::move(Path),
                             std::move(Found), std::move(Allowed),
                             std::move(Nearest)});
}

void Section::fault(FaultKind Kind, std::string_view Key, std::string Found,
                    std::string Allowed, std::string Nearest) {
  const Node *Value = Key.empty() ? Object_ : find(Key);
  faultAt(Kind, Value != nullptr ? Value->Line_ : Line_, pathOf(Key),
          std::move(Found), std::move(Allowed), std::move(Nearest));
}

void Section::wrongType(std::string_view Key, const Node &Found,
                        std::string_view Allowed) {
  faultAt(FaultKind::WrongType, Found.Line_, pathOf(Key),
          detail::describe(Found), std::string(Allowed));
}

const Node *Section::find(std::string_view Key) {
  if (Object_ == nullptr)
    return nullptr;
  std::vector<std::string> &Keys = State_->Visits_[Object_].Keys_;
  if (std::find(Keys.begin(), Keys.end(), Key) == Keys.end())
    Keys.emplace_back(Key);
  return peek(Key);
}

const Node *Section::peek(std::string_view Key) const {
  if (Object_ == nullptr)
    return nullptr;
  for (const detail::Member &Member : std::get<Node::Object>(Object_->Value_))
    if (Member.Key_ == Key)
      return &Member.Value_;
  return nullptr;
}

const Node *Section::require(std::string_view Key) {
  const Node *Value = find(Key);
  if (Value == nullptr)
    faultAt(FaultKind::MissingKey, Line_, pathOf(Key), "nothing",
            "a value; the key is required");
  return Value;
}

const Node *Section::wanted(std::string_view Key, bool HasDefault) {
  return HasDefault ? find(Key) : require(Key);
}

bool Section::has(std::string_view Key) const { return peek(Key) != nullptr; }

std::size_t Section::size(std::string_view Key) const {
  const Node *Value = peek(Key);
  if (Value == nullptr)
    return 0;
  if (const auto *Items = std::get_if<Node::List>(&Value->Value_))
    return Items->size();
  if (const auto *Members = std::get_if<Node::Object>(&Value->Value_))
    return Members->size();
  return 1;
}

std::string Section::text(std::string_view Key) {
  const Node *Value = require(Key);
  if (Value == nullptr)
    return {};
  const auto *Text = std::get_if<std::string>(&Value->Value_);
  if (Text != nullptr && !Text->empty())
    return *Text;
  if (Text == nullptr)
    wrongType(Key, *Value, "text that is not empty");
  else
    fault(FaultKind::NotAllowed, Key, "\"\"", "text that is not empty");
  return {};
}

std::string Section::text(std::string_view Key, std::string Default) {
  return find(Key) == nullptr ? std::move(Default) : text(Key);
}

std::string Section::name(std::string_view Key) {
  const Node *Value = require(Key);
  if (Value == nullptr)
    return {};
  const auto *Text = std::get_if<std::string>(&Value->Value_);
  if (Text != nullptr && isName(*Text))
    return *Text;
  if (Text == nullptr)
    wrongType(Key, *Value, allowedName());
  else
    fault(FaultKind::NotAllowed, Key, detail::describe(*Value), allowedName());
  return {};
}

std::string Section::checkedReference(std::size_t Line, const std::string &Path,
                                      const std::string &Found,
                                      const NameSet &Known,
                                      std::string_view What) {
  if (Known.contains(Found))
    return Found;
  std::vector<std::string> Names(Known.begin(), Known.end());
  std::string Allowed = std::string(What) + " defined in this file";
  Allowed += Known.empty() ? " (there is none)" : ": " + joined(Names);
  faultAt(FaultKind::UnknownReference, Line, Path, inQuotes(Found),
          std::move(Allowed), std::string(nearestName(Found, Names)));
  return {};
}

std::string Section::reference(std::string_view Key, const NameSet &Known,
                               std::string_view What) {
  std::string Found = name(Key);
  if (Found.empty())
    return {};
  return checkedReference(find(Key)->Line_, pathOf(Key), Found, Known, What);
}

std::size_t Section::choice(std::string_view Key,
                            const std::vector<std::string> &Names,
                            std::optional<std::size_t> Default) {
  const Node *Value = wanted(Key, Default.has_value());
  std::size_t Fallback = Default.value_or(0);
  if (Value == nullptr)
    return Fallback;
  const auto *Text = std::get_if<std::string>(&Value->Value_);
  if (Text == nullptr) {
    wrongType(Key, *Value, "one of " + joined(Names));
    return Fallback;
  }
  auto Found = std::find(Names.begin(), Names.end(), *Text);
  if (Found != Names.end())
    return static_cast<std::size_t>(Found - Names.begin());
  fault(FaultKind::NotAllowed, Key, detail::describe(*Value),
        "one of " + joined(Names), std::string(nearestName(*Text, Names)));
  return Fallback;
}

std::int64_t Section::integer(std::string_view Key, Range<std::int64_t> Bounds,
                              std::optional<std::int64_t> Default) {
  const Node *Value = wanted(Key, Default.has_value());
  std::int64_t Fallback = Default.value_or(Bounds.Low_);
  if (Value == nullptr)
    return Fallback;
  std::string Allowed = "a whole number from " + std::to_string(Bounds.Low_) +
                        " to " + std::to_string(Bounds.High_);
  const auto *Number = std::get_if<std::int64_t>(&Value->Value_);
  if (Number == nullptr) {
    wrongType(Key, *Value, Allowed);
    return Fallback;
  }
  if (*Number >= Bounds.Low_ && *Number <= Bounds.High_)
    return *Number;
  fault(FaultKind::OutOfRange, Key, std::to_string(*Number), Allowed);
  return Fallback;
}

double Section::real(std::string_view Key, Range<double> Bounds,
                     std::optional<double> Default) {
  const Node *Value = wanted(Key, Default.has_value());
  double Fallback = Default.value_or(Bounds.Low_);
  if (Value == nullptr)
    return Fallback;
  std::string Allowed = "a number from " + realText(Bounds.Low_) + " to " +
                        realText(Bounds.High_);
  double Number = std::numeric_limits<double>::quiet_NaN();
  if (const auto *Real = std::get_if<double>(&Value->Value_))
    Number = *Real;
  else if (const auto *Whole = std::get_if<std::int64_t>(&Value->Value_))
    Number = static_cast<double>(*Whole);
  if (std::isnan(Number)) {
    wrongType(Key, *Value, Allowed);
    return Fallback;
  }
  if (Number >= Bounds.Low_ && Number <= Bounds.High_)
    return Number;
  fault(FaultKind::OutOfRange, Key, detail::describe(*Value), Allowed);
  return Fallback;
}

bool Section::flag(std::string_view Key, std::optional<bool> Default) {
  const Node *Value = wanted(Key, Default.has_value());
  bool Fallback = Default.value_or(false);
  if (Value == nullptr)
    return Fallback;
  if (const auto *Flag = std::get_if<bool>(&Value->Value_))
    return *Flag;
  wrongType(Key, *Value, "true or false");
  return Fallback;
}

base::Duration Section::duration(std::string_view Key, DurationRange Bounds,
                                 std::optional<base::Duration> Default) {
  const Node *Value = wanted(Key, Default.has_value());
  base::Duration Fallback = Default.value_or(Bounds.Low_);
  if (Value == nullptr)
    return Fallback;
  std::string Allowed = "a duration from " + inQuotes(toString(Bounds.Low_)) +
                        " to " + inQuotes(toString(Bounds.High_)) +
                        " (units h, min, s, ms, us, ns)";
  const auto *Text = std::get_if<std::string>(&Value->Value_);
  if (Text == nullptr) {
    wrongType(Key, *Value, Allowed);
    return Fallback;
  }
  std::optional<base::Duration> Parsed = durationFromString(*Text);
  if (!Parsed) {
    fault(FaultKind::NotAllowed, Key, detail::describe(*Value), Allowed);
    return Fallback;
  }
  if (*Parsed >= Bounds.Low_ && *Parsed <= Bounds.High_)
    return *Parsed;
  fault(FaultKind::OutOfRange, Key, detail::describe(*Value), Allowed);
  return Fallback;
}

namespace {

constexpr std::string_view AllowedAddress =
    "an IP number with a port, such as \"10.0.0.7:8080\"";

std::optional<base::Address> peerAddressFromString(std::string_view Text) {
  std::optional<base::Address> Parsed = base::addressFromString(Text);
  if (Parsed && Parsed->Port_ == 0)
    return std::nullopt;
  return Parsed;
}

} // namespace

std::optional<base::Address> Section::optionalAddress(std::string_view Key) {
  const Node *Value = find(Key);
  if (Value == nullptr)
    return std::nullopt;
  const auto *Text = std::get_if<std::string>(&Value->Value_);
  if (Text == nullptr) {
    wrongType(Key, *Value, AllowedAddress);
    return std::nullopt;
  }
  std::optional<base::Address> Parsed = base::addressFromString(*Text);
  if (!Parsed)
    fault(FaultKind::NotAllowed, Key, detail::describe(*Value),
          std::string(AllowedAddress));
  return Parsed;
}

base::Address Section::address(std::string_view Key) {
  if (require(Key) == nullptr)
    return {};
  return optionalAddress(Key).value_or(base::Address());
}

base::Address Section::peerAddress(std::string_view Key) {
  base::Address Value = address(Key);
  if (!Value.Ip_.empty() && Value.Port_ == 0)
    fault(FaultKind::NotAllowed, Key, inQuotes(base::toString(Value)),
          std::string(AllowedAddress) + ", the port not 0");
  return Value;
}

std::string Section::hex(std::string_view Key, std::size_t Size) {
  const Node *Value = require(Key);
  if (Value == nullptr)
    return {};
  std::string Allowed = std::to_string(Size * 2) + " hexadecimal digits";
  const auto *Text = std::get_if<std::string>(&Value->Value_);
  if (Text == nullptr) {
    wrongType(Key, *Value, Allowed);
    return {};
  }
  if (Text->size() != Size * 2 || !isHex(*Text)) {
    fault(FaultKind::NotAllowed, Key, detail::describe(*Value), Allowed);
    return {};
  }
  std::string Lower = *Text;
  for (char &Character : Lower)
    if (Character >= 'A' && Character <= 'F')
      Character = static_cast<char>(Character - 'A' + 'a');
  return Lower;
}

std::vector<std::pair<std::string, std::size_t>>
Section::textList(std::string_view Key) {
  std::vector<std::pair<std::string, std::size_t>> Texts;
  const Node *Value = find(Key);
  if (Value == nullptr)
    return Texts;
  const auto *Items = std::get_if<Node::List>(&Value->Value_);
  if (Items == nullptr) {
    wrongType(Key, *Value, "a list of texts");
    return Texts;
  }
  for (std::size_t Index = 0; Index < Items->size(); ++Index) {
    const Node &Item = (*Items)[Index];
    if (const auto *Text = std::get_if<std::string>(&Item.Value_)) {
      Texts.emplace_back(*Text, Item.Line_);
      continue;
    }
    wrongType(std::string(Key) + "[" + std::to_string(Index) + "]", Item,
              "text");
    Texts.emplace_back();
  }
  return Texts;
}

std::vector<std::string> Section::texts(std::string_view Key) {
  std::vector<std::string> Texts;
  for (auto &[Text, Line] : textList(Key))
    if (Line != 0)
      Texts.push_back(std::move(Text));
  return Texts;
}

std::vector<std::string> Section::names(std::string_view Key) {
  std::vector<std::string> Names;
  for (auto &[Text, Line] : textList(Key)) {
    if (Line != 0 && !isName(Text))
      faultAt(FaultKind::NotAllowed, Line, pathOf(Key), inQuotes(Text),
              allowedName());
    else if (Line != 0)
      Names.push_back(std::move(Text));
  }
  return Names;
}

std::vector<std::string> Section::references(std::string_view Key,
                                             const NameSet &Known,
                                             std::string_view What) {
  std::vector<std::string> Names;
  std::size_t Index = 0;
  for (auto &[Text, Line] : textList(Key)) {
    std::string Path = pathOf(Key) + "[" + std::to_string(Index++) + "]";
    if (Line == 0)
      continue;
    std::string Name = checkedReference(Line, Path, Text, Known, What);
    if (Name.empty())
      continue;
    if (std::find(Names.begin(), Names.end(), Name) != Names.end())
      faultAt(FaultKind::NotAllowed, Line, Path, inQuotes(Name) + " again",
              "each " + std::string(What) + " once");
    else
      Names.push_back(std::move(Name));
  }
  return Names;
}

std::vector<base::Address> Section::addresses(std::string_view Key) {
  std::vector<base::Address> Addresses;
  std::size_t Index = 0;
  for (auto &[Text, Line] : textList(Key)) {
    std::string Path = pathOf(Key) + "[" + std::to_string(Index++) + "]";
    if (Line == 0)
      continue;
    if (auto Parsed = peerAddressFromString(Text))
      Addresses.push_back(*Parsed);
    else
      faultAt(FaultKind::NotAllowed, Line, Path, inQuotes(Text),
              std::string(AllowedAddress));
  }
  return Addresses;
}

Section Section::section(std::string_view Key) {
  const Node *Value = find(Key);
  if (Value != nullptr &&
      !std::holds_alternative<Node::Object>(Value->Value_)) {
    wrongType(Key, *Value, "an object");
    Value = nullptr;
  }
  std::size_t Line = Value != nullptr ? Value->Line_ : Line_;
  return {*State_, Value, Line, pathOf(Key)};
}

std::vector<Entry> Section::entries(std::string_view Key) {
  std::vector<Entry> Entries;
  const Node *Value = find(Key);
  if (Value == nullptr)
    return Entries;
  const auto *Members = std::get_if<Node::Object>(&Value->Value_);
  if (Members == nullptr) {
    wrongType(Key, *Value, "an object that maps names to objects");
    return Entries;
  }
  for (const detail::Member &Member : *Members) {
    std::string Path = pathOf(Key) + "." + Member.Key_;
    if (!isName(Member.Key_)) {
      faultAt(FaultKind::NotAllowed, Member.Line_, Path,
              "the key " + inQuotes(Member.Key_), allowedName());
      continue;
    }
    if (!std::holds_alternative<Node::Object>(Member.Value_.Value_)) {
      faultAt(FaultKind::WrongType, Member.Line_, Path,
              detail::describe(Member.Value_), "an object");
      continue;
    }
    Entries.push_back({Member.Key_, Section(*State_, &Member.Value_,
                                            Member.Line_, std::move(Path))});
  }
  return Entries;
}

NameSet Section::entryNames(std::string_view Key) const {
  NameSet Names;
  const Node *Value = peek(Key);
  if (Value == nullptr)
    return Names;
  const auto *Members = std::get_if<Node::Object>(&Value->Value_);
  if (Members == nullptr)
    return Names;
  for (const detail::Member &Named : *Members)
    if (isName(Named.Key_))
      Names.insert(Named.Key_);
  return Names;
}

std::vector<Section> Section::sections(std::string_view Key) {
  std::vector<Section> Sections;
  const Node *Value = find(Key);
  if (Value == nullptr)
    return Sections;
  const auto *Items = std::get_if<Node::List>(&Value->Value_);
  if (Items == nullptr) {
    wrongType(Key, *Value, "a list of objects");
    return Sections;
  }
  for (std::size_t Index = 0; Index < Items->size(); ++Index) {
    const Node &Item = (*Items)[Index];
    std::string Name = std::string(Key) + "[" + std::to_string(Index) + "]";
    if (std::holds_alternative<Node::Object>(Item.Value_))
      Sections.push_back(Section(*State_, &Item, Item.Line_, pathOf(Name)));
    else
      wrongType(Name, Item, "an object");
  }
  return Sections;
}

base::Result<SettingsReader, Faults>
SettingsReader::parse(std::string_view Text, std::string FileName) {
  base::Result<Node, Faults> Document = detail::parseDocument(Text, FileName);
  if (!Document)
    return base::failure(std::move(Document).error());
  if (!std::holds_alternative<Node::Object>(Document.value().Value_))
    return base::failure(
        Faults{{FaultKind::WrongType, FileName, Document.value().Line_, "",
                detail::describe(Document.value()), "an object", ""}});
  auto State = std::make_unique<detail::ReaderState>();
  State->File_ = std::move(FileName);
  State->Root_ = std::move(Document).value();
  return SettingsReader(std::move(State));
}

SettingsReader::SettingsReader(std::unique_ptr<detail::ReaderState> State)
    : State_(std::move(State)) {}
SettingsReader::SettingsReader(SettingsReader &&Other) noexcept = default;
SettingsReader &
SettingsReader::operator=(SettingsReader &&Other) noexcept = default;
SettingsReader::~SettingsReader() = default;

Section SettingsReader::root() {
  return {*State_, &State_->Root_, State_->Root_.Line_, ""};
}

Faults SettingsReader::takeFaults() {
  Faults Found = std::move(State_->Faults_);
  State_->Faults_.clear();
  for (const auto &[Object, Visit] : State_->Visits_) {
    for (const detail::Member &Member :
         std::get<Node::Object>(Object->Value_)) {
      const std::vector<std::string> &Keys = Visit.Keys_;
      if (std::find(Keys.begin(), Keys.end(), Member.Key_) != Keys.end())
        continue;
      std::string Path =
          Visit.Path_.empty() ? Member.Key_ : Visit.Path_ + "." + Member.Key_;
      Found.push_back({FaultKind::UnknownKey, State_->File_, Member.Line_,
                       std::move(Path), "an unknown key", joined(Keys),
                       std::string(nearestName(Member.Key_, Keys))});
    }
  }
  std::sort(Found.begin(), Found.end(), [](const Fault &A, const Fault &B) {
    return std::tie(A.Line_, A.KeyPath_, A.Found_) <
           std::tie(B.Line_, B.KeyPath_, B.Found_);
  });
  return Found;
}

} // namespace camphorwind::config
