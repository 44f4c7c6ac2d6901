#include "camphorwind/routing/quarantine.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace camphorwind::routing {

namespace {

/// Crashes that are kept, besides those that a quarantine rests on.
constexpr std::size_t MaxCrashes = 512;
/// Most suspects whose last answer is kept, in each half.
constexpr std::size_t MaxSound = 50'000;

} // namespace

std::string_view toString(Suspect::Kind Kind) {
  return Kind == Suspect::Kind::Request ? "request" : "prompt_part";
}

std::vector<Suspect> suspectsIn(std::span<const PromptPart> Prompt,
                                std::uint64_t Request) {
  std::vector<Suspect> Found{{Suspect::Kind::Request, Request}};
  for (std::size_t Part = 0; Part + 1 < Prompt.size(); ++Part)
    Found.push_back({Suspect::Kind::PromptPart, Prompt[Part].Id_});
  return Found;
}

void Quarantine::answered(std::span<const Suspect> Suspects,
                          base::TimePoint SentAt, base::TimePoint Now) {
  if (LastSound_.size() >= MaxSound || Now - RotatedAt_ > Options_.SoundTime_) {
    OlderSound_ = std::exchange(LastSound_, {});
    RotatedAt_ = Now;
  }
  refresh();
  for (const Suspect &Each : Suspects) {
    LastSound_[Each] = Now;
    if (Blames_.contains(Each))
      acquit(Each, SentAt, Now);
  }
}

bool Quarantine::isSound(const Suspect &Tested, base::TimePoint Now) const {
  for (const auto *Half : {&LastSound_, &OlderSound_}) {
    auto Found = Half->find(Tested);
    if (Found != Half->end())
      return Now - Found->second <= Options_.SoundTime_;
  }
  return false;
}

std::vector<Suspect> Quarantine::blamable(std::span<const Suspect> Suspects,
                                          base::TimePoint Now) const {
  std::vector<Suspect> Found;
  std::copy_if(Suspects.begin(), Suspects.end(), std::back_inserter(Found),
               [&](const Suspect &Each) { return !isSound(Each, Now); });
  return Found;
}

void Quarantine::addCrash(const CrashReport &Report, base::TimePoint Now) {
  if (Now - Report.At_ > Options_.Memory_)
    return;
  auto [Found, New] = Crashes_.try_emplace(Report.Crash_);
  Crash &Entry = Found->second;
  if (New)
    Entry.At_ = Report.At_;
  for (const Suspect &Each : Report.Suspects_)
    if (!Acquitted_.contains({Each, Report.Crash_}))
      Entry.Suspects_.insert(Each);
  Changed_ = true;
  if (Crashes_.size() > MaxCrashes)
    dropOldestCrash();
  // This router may know better than the one that reported the crash.
  for (const Suspect &Each : Report.Suspects_)
    if (isSound(Each, Now))
      acquit(Each, Report.At_, Now);
}

bool Quarantine::isExplained(const Crash &Entry, const Blames &Blamed) {
  return std::any_of(
      Entry.Suspects_.begin(), Entry.Suspects_.end(),
      [&](const Suspect &Each) { return Blamed.contains(Each); });
}

void Quarantine::dropOldestCrash() {
  refresh();
  auto Oldest = Crashes_.end();
  for (auto Each = Crashes_.begin(); Each != Crashes_.end(); ++Each) {
    const Crash &Entry = Each->second;
    if (!isExplained(Entry, Quarantined_) &&
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
    Acquitted_[{Report.Suspect_, Each}] = Now;
    auto Found = Crashes_.find(Each);
    if (Found != Crashes_.end())
      Found->second.Suspects_.erase(Report.Suspect_);
  }
  Changed_ = true;
}

void Quarantine::acquit(const Suspect &Sound, base::TimePoint At,
                        base::TimePoint Now) {
  refresh();
  auto Blamed = Blames_.find(Sound);
  bool HeldBack = Blamed != Blames_.end() &&
                  (Blamed->second.Rounds_ >= Options_.RepeatLimit_ ||
                   Blamed->second.IsQuarantinable_);
  SoundReport Report{Sound, {}, Now};
  for (auto &[Id, Each] : Crashes_) {
    if (Each.At_ > At || Each.Suspects_.erase(Sound) == 0)
      continue;
    Acquitted_[{Sound, Id}] = Now;
    Report.Crashes_.push_back(Id);
  }
  Changed_ = Changed_ || !Report.Crashes_.empty();
  if (HeldBack && !Report.Crashes_.empty())
    SoundReports_.push_back(std::move(Report));
}

std::vector<SoundReport> Quarantine::takeSoundReports() {
  return std::exchange(SoundReports_, {});
}

Quarantine::Blames
Quarantine::countCrashes(const std::set<std::string> &Explained) const {
  std::map<Suspect, std::vector<const Crash *>> CrashesOf;
  for (const auto &[Id, Each] : Crashes_)
    if (!Explained.contains(Id))
      for (const Suspect &One : Each.Suspects_)
        CrashesOf[One].push_back(&Each);
  Blames Counted;
  for (auto &[One, All] : CrashesOf) {
    std::sort(All.begin(), All.end(),
              [](const Crash *Left, const Crash *Right) {
                return Left->At_ < Right->At_;
              });
    Counted.emplace(One, countRounds(One, All));
  }
  return Counted;
}

Quarantine::Blame
Quarantine::countRounds(const Suspect &Counted,
                        const std::vector<const Crash *> &Crashes) const {
  Blame Result;
  Result.Crashes_ = Crashes.size();
  bool IsSpaced = Counted.Kind_ == Suspect::Kind::PromptPart;
  for (const Crash *Each : Crashes) {
    if (IsSpaced && Result.Rounds_ > 0 &&
        Each->At_ - Result.LastAt_ < Options_.CrashSpacing_)
      continue;
    ++Result.Rounds_;
    Result.LastAt_ = Each->At_;
  }
  Result.IsQuarantinable_ =
      Result.Rounds_ >= Options_.QuarantineLimit_ || isBurst(Counted, Crashes);
  return Result;
}

bool Quarantine::isBurst(const Suspect &Counted,
                         const std::vector<const Crash *> &Crashes) const {
  if (Crashes.size() < Options_.BurstLimit_)
    return false;
  auto IsNear = [&](base::TimePoint At) {
    return std::any_of(Crashes.begin(), Crashes.end(), [&](const Crash *Each) {
      return std::chrono::abs(Each->At_ - At) < Options_.CrashSpacing_;
    });
  };
  auto Others =
      std::count_if(Crashes_.begin(), Crashes_.end(), [&](const auto &Each) {
        return !Each.second.Suspects_.contains(Counted) &&
               IsNear(Each.second.At_);
      });
  return static_cast<double>(Others) <=
         Options_.MaxOtherCrashes_ * static_cast<double>(Crashes.size());
}

std::vector<Suspect> Quarantine::mostBlamed(const Blames &Remaining) const {
  std::size_t Most = 0;
  for (const auto &[One, Each] : Remaining)
    if (Each.IsQuarantinable_)
      Most = std::max(Most, Each.Crashes_);
  auto IsMost = [&](const Blame &Each) {
    return Each.Crashes_ == Most && Each.IsQuarantinable_;
  };
  std::vector<Suspect> Found;
  // Suspects of one kind with as many crashes can't be told apart before one is
  // answered.
  bool IsRequest = false;
  for (const auto &[One, Each] : Remaining)
    IsRequest =
        IsRequest || (IsMost(Each) && One.Kind_ == Suspect::Kind::Request);
  for (const auto &[One, Each] : Remaining)
    if (IsMost(Each) && (One.Kind_ == Suspect::Kind::Request) == IsRequest)
      Found.push_back(One);
  return Found;
}

void Quarantine::refresh() {
  if (!std::exchange(Changed_, false))
    return;
  std::set<std::string> Explained;
  Blames Quarantined;
  Blames_ = countCrashes(Explained);
  for (auto Next = mostBlamed(Blames_); !Next.empty();
       Next = mostBlamed(countCrashes(Explained))) {
    for (const Suspect &One : Next)
      Quarantined.emplace(One, Blames_.at(One));
    for (const auto &[Id, Each] : Crashes_)
      if (isExplained(Each, Quarantined))
        Explained.insert(Id);
  }
  for (const auto &[One, Each] : Quarantined)
    if (!Quarantined_.contains(One))
      Changes_.push_back({One, true, Each.Crashes_});
  for (const auto &[One, Each] : Quarantined_)
    if (!Quarantined.contains(One))
      Changes_.push_back({One, false, Each.Crashes_});
  Quarantined_ = std::move(Quarantined);
}

std::optional<base::Duration>
Quarantine::quarantineTime(std::span<const Suspect> Suspects,
                           base::TimePoint Now) {
  refresh();
  if (Quarantined_.empty())
    return std::nullopt;
  std::optional<base::Duration> Longest;
  for (const Suspect &Each : Suspects) {
    auto Found = Quarantined_.find(Each);
    if (Found == Quarantined_.end())
      continue;
    base::Duration Left = Found->second.LastAt_ + Options_.Memory_ - Now;
    Longest = std::max(Longest.value_or(base::Duration::zero()),
                       std::max<base::Duration>(Left, base::Duration::zero()));
  }
  return Longest;
}

bool Quarantine::mayRepeat(std::span<const Suspect> Suspects) {
  refresh();
  return std::none_of(Suspects.begin(), Suspects.end(),
                      [&](const Suspect &Each) {
                        auto Found = Blames_.find(Each);
                        return Found != Blames_.end() &&
                               Found->second.Rounds_ >= Options_.RepeatLimit_;
                      });
}

void Quarantine::sweep(base::TimePoint Now) {
  refresh();
  std::erase_if(Acquitted_, [&](const auto &Each) {
    return Now - Each.second > Options_.Memory_;
  });
  // A quarantine lasts until its last crash is forgotten, so the earlier ones
  // are kept until then.
  auto IsNeeded = [&](const Suspect &Each) {
    auto Found = Quarantined_.find(Each);
    return Found != Quarantined_.end() &&
           Now - Found->second.LastAt_ <= Options_.Memory_;
  };
  std::size_t Expired = std::erase_if(Crashes_, [&](const auto &Each) {
    const Crash &Entry = Each.second;
    return Now - Entry.At_ > Options_.Memory_ &&
           std::none_of(Entry.Suspects_.begin(), Entry.Suspects_.end(),
                        IsNeeded);
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
