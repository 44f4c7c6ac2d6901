#include "camphorwind/routing/quarantine.h"

#include <algorithm>
#include <utility>

namespace camphorwind::routing {

namespace {

/// Crashes that are kept, besides those that a quarantine rests on.
constexpr std::size_t MaxCrashes = 512;
/// Most parts whose last answer is kept, in each half.
constexpr std::size_t MaxSoundParts = 50'000;

/// Returns the parts of a prompt that it may share with others.
std::span<const PromptPart> sharedParts(std::span<const PromptPart> Prompt) {
  return Prompt.first(Prompt.empty() ? 0 : Prompt.size() - 1);
}

} // namespace

void Quarantine::answered(std::span<const PromptPart> Prompt,
                          base::TimePoint SentAt, base::TimePoint Now) {
  if (LastSound_.size() >= MaxSoundParts ||
      Now - RotatedAt_ > Options_.SoundTime_) {
    OlderSound_ = std::exchange(LastSound_, {});
    RotatedAt_ = Now;
  }
  refresh();
  for (const PromptPart &Each : sharedParts(Prompt)) {
    LastSound_[Each.Id_] = Now;
    if (Blames_.contains(Each.Id_))
      acquit(Each.Id_, SentAt, Now);
  }
}

bool Quarantine::isSound(PromptPartId Part, base::TimePoint Now) const {
  for (const auto *Half : {&LastSound_, &OlderSound_}) {
    auto Found = Half->find(Part);
    if (Found != Half->end())
      return Now - Found->second <= Options_.SoundTime_;
  }
  return false;
}

std::vector<PromptPartId>
Quarantine::suspects(std::span<const PromptPart> Prompt,
                     base::TimePoint Now) const {
  std::vector<PromptPartId> Found;
  for (const PromptPart &Each : sharedParts(Prompt))
    if (!isSound(Each.Id_, Now))
      Found.push_back(Each.Id_);
  return Found;
}

void Quarantine::addCrash(const CrashReport &Report, base::TimePoint Now) {
  if (Now - Report.At_ > Options_.Memory_)
    return;
  auto [Found, New] = Crashes_.try_emplace(Report.Crash_);
  Crash &Entry = Found->second;
  if (New)
    Entry.At_ = Report.At_;
  for (PromptPartId Each : Report.Parts_)
    if (!Acquitted_.contains({Each, Report.Crash_}))
      Entry.Parts_.insert(Each);
  Changed_ = true;
  if (Crashes_.size() > MaxCrashes)
    dropOldestCrash();
  // This router may know better than the one that reported the crash.
  for (PromptPartId Each : Report.Parts_)
    if (isSound(Each, Now))
      acquit(Each, Report.At_, Now);
}

void Quarantine::dropOldestCrash() {
  refresh();
  auto Oldest = Crashes_.end();
  for (auto Each = Crashes_.begin(); Each != Crashes_.end(); ++Each) {
    const Crash &Entry = Each->second;
    bool Quarantines = std::any_of(
        Entry.Parts_.begin(), Entry.Parts_.end(),
        [&](PromptPartId Part) { return Quarantined_.contains(Part); });
    if (!Quarantines &&
        (Oldest == Crashes_.end() || Entry.At_ < Oldest->second.At_))
      Oldest = Each;
  }
  if (Oldest == Crashes_.end())
    return;
  Crashes_.erase(Oldest);
  Changed_ = true;
}

void Quarantine::addSound(const SoundReport &Report, base::TimePoint Now) {
  for (const std::string &Each : Report.Crashes_) {
    Acquitted_[{Report.Part_, Each}] = Now;
    auto Found = Crashes_.find(Each);
    if (Found != Crashes_.end())
      Found->second.Parts_.erase(Report.Part_);
  }
  Changed_ = true;
}

void Quarantine::acquit(PromptPartId Part, base::TimePoint At,
                        base::TimePoint Now) {
  refresh();
  auto Blamed = Blames_.find(Part);
  bool HeldBack = Blamed != Blames_.end() &&
                  Blamed->second.Crashes_ >= Options_.RepeatLimit_;
  SoundReport Report{Part, {}, Now};
  for (auto &[Id, Each] : Crashes_) {
    if (Each.At_ > At || Each.Parts_.erase(Part) == 0)
      continue;
    Acquitted_[{Part, Id}] = Now;
    Report.Crashes_.push_back(Id);
  }
  Changed_ = Changed_ || !Report.Crashes_.empty();
  if (HeldBack && !Report.Crashes_.empty())
    SoundReports_.push_back(std::move(Report));
}

std::vector<SoundReport> Quarantine::takeSoundReports() {
  return std::exchange(SoundReports_, {});
}

std::unordered_map<PromptPartId, Quarantine::Blame>
Quarantine::countCrashes(const std::set<std::string> &Explained) const {
  std::unordered_map<PromptPartId, std::vector<base::TimePoint>> Times;
  for (const auto &[Id, Each] : Crashes_)
    if (!Explained.contains(Id))
      for (PromptPartId Part : Each.Parts_)
        Times[Part].push_back(Each.At_);
  std::unordered_map<PromptPartId, Blame> Blames;
  for (auto &[Part, All] : Times) {
    std::sort(All.begin(), All.end());
    Blame &Result = Blames[Part];
    for (base::TimePoint Each : All) {
      if (Result.Crashes_ > 0 && Each - Result.LastAt_ < Options_.CrashSpacing_)
        continue;
      ++Result.Crashes_;
      Result.LastAt_ = Each;
    }
  }
  return Blames;
}

void Quarantine::refresh() {
  if (!std::exchange(Changed_, false))
    return;
  std::set<std::string> Explained;
  std::unordered_map<PromptPartId, Blame> Quarantined;
  Blames_ = countCrashes(Explained);
  auto Remaining = Blames_;
  for (;;) {
    std::size_t Most = 0;
    for (const auto &[Part, Each] : Remaining)
      Most = std::max(Most, Each.Crashes_);
    if (Most < Options_.QuarantineLimit_)
      break;
    // Parts with as many crashes can't be told apart before one is answered.
    for (const auto &[Part, Each] : Remaining)
      if (Each.Crashes_ == Most)
        Quarantined.emplace(Part, Blames_.at(Part));
    for (const auto &[Id, Each] : Crashes_)
      if (std::any_of(
              Each.Parts_.begin(), Each.Parts_.end(),
              [&](PromptPartId Part) { return Quarantined.contains(Part); }))
        Explained.insert(Id);
    Remaining = countCrashes(Explained);
  }
  for (const auto &[Part, Each] : Quarantined)
    if (!Quarantined_.contains(Part))
      Changes_.push_back({Part, true, Each.Crashes_});
  for (const auto &[Part, Each] : Quarantined_)
    if (!Quarantined.contains(Part))
      Changes_.push_back({Part, false, Each.Crashes_});
  Quarantined_ = std::move(Quarantined);
}

std::optional<base::Duration>
Quarantine::quarantineTime(std::span<const PromptPart> Prompt,
                           base::TimePoint Now) {
  refresh();
  if (Quarantined_.empty())
    return std::nullopt;
  std::optional<base::Duration> Longest;
  for (const PromptPart &Each : sharedParts(Prompt)) {
    auto Found = Quarantined_.find(Each.Id_);
    if (Found == Quarantined_.end())
      continue;
    base::Duration Left = Found->second.LastAt_ + Options_.Memory_ - Now;
    Longest = std::max(Longest.value_or(base::Duration::zero()),
                       std::max<base::Duration>(Left, base::Duration::zero()));
  }
  return Longest;
}

bool Quarantine::mayRepeat(std::span<const PromptPart> Prompt) {
  refresh();
  auto Parts = sharedParts(Prompt);
  return std::none_of(Parts.begin(), Parts.end(), [&](const PromptPart &Each) {
    auto Found = Blames_.find(Each.Id_);
    return Found != Blames_.end() &&
           Found->second.Crashes_ >= Options_.RepeatLimit_;
  });
}

void Quarantine::sweep(base::TimePoint Now) {
  refresh();
  std::erase_if(Acquitted_, [&](const auto &Each) {
    return Now - Each.second > Options_.Memory_;
  });
  // A quarantine lasts until its last crash is forgotten, so the earlier ones
  // are kept until then.
  auto IsNeeded = [&](PromptPartId Part) {
    auto Found = Quarantined_.find(Part);
    return Found != Quarantined_.end() &&
           Now - Found->second.LastAt_ <= Options_.Memory_;
  };
  std::size_t Expired = std::erase_if(Crashes_, [&](const auto &Each) {
    const Crash &Entry = Each.second;
    return Now - Entry.At_ > Options_.Memory_ &&
           std::none_of(Entry.Parts_.begin(), Entry.Parts_.end(), IsNeeded);
  });
  Changed_ = Changed_ || Expired > 0;
}

std::size_t Quarantine::size() {
  refresh();
  return Quarantined_.size();
}

std::vector<QuarantineChange> Quarantine::takeChanges() {
  refresh();
  return std::exchange(Changes_, {});
}

} // namespace camphorwind::routing
