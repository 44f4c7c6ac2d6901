#include "camphorwind/routing/quarantine.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <ostream>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

using namespace camphorwind;
using namespace camphorwind::routing;
using namespace std::chrono_literals;

namespace {

constexpr Suspect part(std::uint64_t Id) {
  return {Suspect::Kind::PromptPart, Id};
}
constexpr Suspect request(std::uint64_t Id) {
  return {Suspect::Kind::Request, Id};
}

constexpr Suspect Bad = part(1);
constexpr Suspect Shared = part(2);
constexpr Suspect New = part(3);
/// A request that comes again and again.
constexpr Suspect Deadly = request(7);

base::TimePoint at(std::chrono::milliseconds Time) {
  return base::TimePoint(1h) + Time;
}

/// The suspects of a request that comes once, with \p Parts in its prompt.
std::vector<Suspect> once(std::vector<Suspect> Parts) {
  static std::uint64_t Id = 1'000'000;
  Parts.push_back(request(++Id));
  return Parts;
}

struct CrashStep {
  std::chrono::milliseconds At_;
  std::vector<Suspect> Suspects_;
};

/// Crashes, and answers to requests with a part, seen by one router.
struct QuarantineCase {
  std::string_view Name_;
  std::vector<CrashStep> Crashes_;
  /// When prompts with part New were sent that were answered.
  std::vector<std::chrono::milliseconds> NewAnsweredAt_;
  bool BadQuarantined_ = false;
  bool NewQuarantined_ = false;
  bool DeadlyQuarantined_ = false;
};

std::ostream &operator<<(std::ostream &Out, const QuarantineCase &Value) {
  return Out << Value.Name_;
}

class QuarantineTest : public testing::TestWithParam<QuarantineCase> {};

TEST_P(QuarantineTest, BlamesWhatExplainsMostCrashes) {
  const QuarantineCase &Case = GetParam();
  Quarantine Tested;
  std::size_t Number = 0;
  base::TimePoint Now = at(0ms);
  for (const CrashStep &Each : Case.Crashes_) {
    Now = std::max(Now, at(Each.At_));
    Tested.addCrash({std::to_string(++Number), Each.Suspects_, at(Each.At_)},
                    Now);
  }
  for (std::chrono::milliseconds Each : Case.NewAnsweredAt_)
    Tested.answered(once({New}), at(Each), Now + 1s);
  Now += 1s;
  EXPECT_EQ(Tested.quarantineTime(once({Shared, Bad}), Now).has_value(),
            Case.BadQuarantined_);
  EXPECT_EQ(Tested.quarantineTime(once({New}), Now).has_value(),
            Case.NewQuarantined_);
  EXPECT_EQ(Tested.quarantineTime(std::vector{Deadly}, Now).has_value(),
            Case.DeadlyQuarantined_);
  EXPECT_FALSE(Tested.quarantineTime(once({Shared}), Now));
}

INSTANTIATE_TEST_SUITE_P(
    Crashes, QuarantineTest,
    testing::Values(
        QuarantineCase{"none", {}},
        QuarantineCase{"two_crashes", {{0ms, {Bad}}, {1s, {Bad}}}},
        QuarantineCase{"three_crashes",
                       {{0ms, {Bad}}, {1s, {Bad}}, {2s, {Bad}}},
                       {},
                       true},
        QuarantineCase{"three_at_once",
                       {{0ms, {Bad}}, {50ms, {Bad}}, {100ms, {Bad}}}},
        QuarantineCase{"bystander_in_three_of_four",
                       {{0ms, {Bad, New}},
                        {1s, {Bad, New}},
                        {2s, {Bad, New}},
                        {3s, {Bad}}},
                       {},
                       true},
        QuarantineCase{"bystander_in_all",
                       {{0ms, {Bad, New}}, {1s, {Bad, New}}, {2s, {Bad, New}}},
                       {},
                       true,
                       true},
        QuarantineCase{"bystander_in_all_answered_later",
                       {{0ms, {Bad, New}}, {1s, {Bad, New}}, {2s, {Bad, New}}},
                       {2500ms},
                       true},
        QuarantineCase{"answer_sent_before_the_crashes",
                       {{0ms, {New}}, {1s, {New}}, {2s, {New}}},
                       {-100ms},
                       false,
                       true},
        QuarantineCase{"two_culprits",
                       {{0ms, {Bad}},
                        {1s, {New}},
                        {2s, {Bad}},
                        {3s, {New}},
                        {4s, {Bad}},
                        {5s, {New}}},
                       {},
                       true,
                       true},
        QuarantineCase{"request_of_a_plain_service",
                       {{0ms, {Deadly}}, {1s, {Deadly}}, {2s, {Deadly}}},
                       {},
                       false,
                       false,
                       true},
        QuarantineCase{
            "request_with_a_part_of_its_own",
            {{0ms, {Deadly, New}}, {1s, {Deadly, New}}, {2s, {Deadly, New}}},
            {},
            false,
            false,
            true},
        QuarantineCase{"part_of_several_requests",
                       {{0ms, {Deadly, Bad}},
                        {1s, {Deadly, Bad}},
                        {2s, {Deadly, Bad}},
                        {3s, {Bad}}},
                       {},
                       true},
        QuarantineCase{"request_and_part",
                       {{0ms, {Deadly}},
                        {1s, {Deadly}},
                        {2s, {Deadly}},
                        {3s, {Bad}},
                        {4s, {Bad}},
                        {5s, {Bad}}},
                       {},
                       true,
                       false,
                       true},
        QuarantineCase{"request_at_once",
                       {{0ms, {Deadly, New}},
                        {50ms, {Deadly, New}},
                        {100ms, {Deadly, New}}},
                       {},
                       false,
                       false,
                       true}),
    [](const auto &Info) { return std::string(Info.param.Name_); });

TEST(QuarantineStateTest, LastPartOfAPromptIsNoSuspect) {
  std::vector<PromptPart> Prompt{{Shared.Id_, 100}, {Bad.Id_, 100}};
  EXPECT_EQ(suspectsIn(Prompt, Deadly.Id_),
            (std::vector<Suspect>{Deadly, Shared}));
  EXPECT_EQ(suspectsIn({}, Deadly.Id_), std::vector<Suspect>{Deadly});
}

TEST(QuarantineStateTest, WhatWasAnsweredLatelyIsNotBlamed) {
  Quarantine Tested;
  std::vector<Suspect> Answered{Deadly, Shared};
  Tested.answered(Answered, at(0ms), at(500ms));
  std::vector<Suspect> InFlight{Deadly, Shared, Bad};
  EXPECT_EQ(Tested.blamable(InFlight, at(5s)), std::vector<Suspect>{Bad});
  EXPECT_EQ(Tested.blamable(InFlight, at(6s)), InFlight);
}

TEST(QuarantineStateTest, RequestsAreNotRepeatedFromTheSecondCrash) {
  Quarantine Tested;
  Tested.addCrash({"e1", {Bad}, at(0ms)}, at(0ms));
  EXPECT_TRUE(Tested.mayRepeat(once({Bad})));
  Tested.addCrash({"e2", {Bad}, at(1s)}, at(1s));
  EXPECT_FALSE(Tested.mayRepeat(once({Shared, Bad})));
  EXPECT_TRUE(Tested.mayRepeat(once({Shared})));
}

TEST(QuarantineStateTest, ReportsOfOneCrashCountOnce) {
  Quarantine Tested;
  for (int Router = 0; Router < 5; ++Router)
    Tested.addCrash({"e1", {Bad}, at(Router * 1s)}, at(Router * 1s));
  EXPECT_EQ(Tested.size(), 0u);
}

TEST(QuarantineStateTest, EndsAfterTheTimeThatItStates) {
  Quarantine Tested;
  for (int Crash = 0; Crash < 3; ++Crash)
    Tested.addCrash({std::to_string(Crash), {Bad}, at(Crash * 1s)},
                    at(Crash * 1s));
  auto Left = Tested.quarantineTime(once({Bad}), at(2s));
  ASSERT_TRUE(Left);
  Tested.sweep(at(2s) + *Left - 1ms);
  EXPECT_EQ(Tested.takeChanges().size(), 1u);
  Tested.sweep(at(2s) + *Left + 1ms);
  EXPECT_EQ(Tested.size(), 0u);
  EXPECT_FALSE(Tested.takeChanges().at(0).Quarantined_);
}

/// Guards against a quarantine that ends early because many other engines
/// crash.
TEST(QuarantineStateTest, OutlastsManyCrashesOfOtherCauses) {
  Quarantine Tested;
  constexpr int Crashes = 1000;
  for (int Crash = 0; Crash < Crashes; ++Crash) {
    Suspect Blamed =
        Crash < 3 ? Bad : part(100 + static_cast<std::uint64_t>(Crash));
    Tested.addCrash({std::to_string(Crash), {Blamed}, at(Crash * 300ms)},
                    at(Crash * 300ms));
  }
  EXPECT_TRUE(Tested.quarantineTime(once({Bad}), at(Crashes * 300ms)));
}

TEST(QuarantineStateTest, AnAnswerElsewhereReleasesThePartEverywhere) {
  Quarantine Here;
  Quarantine There;
  for (int Crash = 0; Crash < 3; ++Crash) {
    CrashReport Report{std::to_string(Crash), {New}, at(Crash * 1s)};
    Here.addCrash(Report, at(2s));
    There.addCrash(Report, at(2s));
  }
  EXPECT_EQ(Here.size(), 1u);
  There.answered(once({New}), at(2500ms), at(3s));
  EXPECT_EQ(There.size(), 0u);
  std::vector<SoundReport> Reports = There.takeSoundReports();
  ASSERT_EQ(Reports.size(), 1u);
  Here.addSound(Reports[0], at(3s));
  EXPECT_EQ(Here.size(), 0u);
  // A report that arrives late, from a third router.
  Here.addCrash({"1", {New}, at(1s)}, at(4s));
  Here.addCrash({"2", {New}, at(2s)}, at(4s));
  EXPECT_EQ(Here.size(), 0u);
}

/// A fleet before engines that crash under one part, or one request.
struct FleetCase {
  std::string Name_;
  unsigned Routers_ = 4;
  unsigned Engines_ = 12;
  /// Requests per second of all callers, and those with the part among them.
  double Rate_ = 150;
  double BadRate_ = 2;
  unsigned Seed_ = 1;
  /// Time up to which requests with the part are answered like others.
  std::chrono::milliseconds SoundUntil_{0};
  /// One request with a document of its own crashes engines, instead of a part.
  bool IsRequest_ = false;
  /// Requests have no prompts.
  bool IsPlain_ = false;
  /// Routers repeat a request once after its engine has crashed.
  bool Repeats_ = false;
  /// Requests with the part come so many at once, each from another caller,
  /// every BurstInterval, instead of one by one.
  unsigned Burst_ = 0;
  /// Engines that end at once, whatever they run, every LossInterval.
  unsigned Lost_ = 0;
  /// Time between the ends of two of these.
  std::chrono::milliseconds LossSpacing_{0};
};

std::ostream &operator<<(std::ostream &Out, const FleetCase &Value) {
  return Out << Value.Name_;
}

/// Simulates routers and engines in steps of 10 ms. Reports reach the other
/// routers after a delay; engines return 4 s after a crash.
class FleetWorld {
public:
  explicit FleetWorld(const FleetCase &Case)
      : Case_(Case), Random_(Case.Seed_), Routers_(Case.Routers_),
        Engines_(Case.Engines_) {}

  void run(std::chrono::milliseconds Span) {
    for (auto End = Now_ + Span; Now_ < End; Now_ += Step) {
      deliver();
      for (Engine &Each : Engines_)
        serve(Each);
      for (unsigned Index = 0; Index < Case_.Lost_; ++Index)
        if (isDue(LossInterval, Index * Case_.LossSpacing_))
          crash(Engines_[Index]);
      if (Case_.Burst_ > 0 && isDue(BurstInterval, 0ms))
        for (unsigned Count = 0; Count < Case_.Burst_; ++Count)
          ask(true);
      std::bernoulli_distribution IsBad(Case_.BadRate_ * StepSeconds);
      for (unsigned Count = std::poisson_distribution<unsigned>(
               Case_.Rate_ * StepSeconds)(Random_);
           Count > 0; --Count)
        ask(false);
      if (IsBad(Random_))
        ask(true);
    }
  }

  int Crashes_ = 0;
  /// Requests that crash engines, sent after the crash from which routers
  /// should know and the time that they have to learn of it.
  int SentLate_ = 0;
  int SoundAsked_ = 0;
  int SoundRefused_ = 0;

private:
  static constexpr auto Step = 10ms;
  static constexpr double StepSeconds = 0.01;
  static constexpr auto ReportDelay = 200ms;
  static constexpr auto LearnTime = 3000ms;
  static constexpr auto BurstInterval = 3400ms;
  static constexpr auto LossInterval = 7000ms;

  /// Number of crashes from which routers should know.
  int crashesUntilKnown() const { return Case_.IsRequest_ ? 3 : 5; }

  struct Request {
    std::vector<Suspect> Suspects_;
    std::size_t Router_ = 0;
    base::TimePoint SentAt_{};
    base::TimePoint BeginsAt_{};
    base::TimePoint EndsAt_{};
    bool Bad_ = false;
    bool Repeated_ = false;
  };
  struct Engine {
    std::vector<Request> Running_;
    base::TimePoint BackAt_{};
    int Starts_ = 0;
  };
  struct Message {
    base::TimePoint At_{};
    std::size_t From_ = 0;
    CrashReport Crash_;
    std::vector<SoundReport> Sound_;
  };

  bool isDue(std::chrono::milliseconds Interval,
             std::chrono::milliseconds Offset) const {
    base::Duration Since = Now_ - at(0ms) - Offset;
    return Since > base::Duration::zero() &&
           Since % Interval == base::Duration::zero();
  }

  std::size_t pick(std::size_t Count) {
    return std::uniform_int_distribution<std::size_t>(0, Count - 1)(Random_);
  }

  void ask(bool IsBad) {
    // Sound requests share the first part and one of 40 documents, half of
    // which appear only in the course of the run.
    constexpr std::uint64_t FirstDocument = 100;
    auto Age = std::chrono::duration_cast<std::chrono::seconds>(Now_ - at(0ms));
    std::size_t Documents =
        20 + std::min<std::size_t>(20, static_cast<std::size_t>(Age.count()));
    Suspect Document = part(FirstDocument + pick(Documents));
    Request Made;
    Made.Bad_ = IsBad;
    if (IsBad && Case_.IsRequest_)
      Made.Suspects_ = {Deadly, Shared, New};
    else if (IsBad)
      Made.Suspects_ = once({Shared, Document, Bad});
    else
      Made.Suspects_ = once({Shared, Document});
    if (Case_.IsPlain_)
      std::erase_if(Made.Suspects_, [](const Suspect &Each) {
        return Each.Kind_ == Suspect::Kind::PromptPart;
      });
    Made.Router_ = pick(Routers_.size());
    SoundAsked_ += IsBad ? 0 : 1;
    if (!send(Made))
      SoundRefused_ += IsBad ? 0 : 1;
  }

  /// Returns false if the router refuses the request.
  bool send(Request Made) {
    if (Routers_[Made.Router_].quarantineTime(Made.Suspects_, Now_))
      return false;
    Engine &Target = Engines_[pick(Engines_.size())];
    if (Now_ < Target.BackAt_)
      return true;
    if (Made.Bad_ && KnownFrom_ && Now_ > *KnownFrom_ + LearnTime)
      ++SentLate_;
    Made.SentAt_ = Now_;
    Made.BeginsAt_ = Now_ + 50ms + 10ms * pick(30);
    Made.EndsAt_ = Made.BeginsAt_ + 200ms + 10ms * pick(80);
    Target.Running_.push_back(std::move(Made));
    return true;
  }

  void serve(Engine &From) {
    for (const Request &Each : From.Running_)
      if (Each.Bad_ && Now_ >= Each.BeginsAt_ &&
          Now_ >= at(Case_.SoundUntil_)) {
        crash(From);
        return;
      }
    std::erase_if(From.Running_, [&](const Request &Each) {
      if (Now_ < Each.EndsAt_)
        return false;
      Routers_[Each.Router_].answered(Each.Suspects_, Each.SentAt_, Now_);
      return true;
    });
  }

  void crash(Engine &Of) {
    if (++Crashes_ == crashesUntilKnown())
      KnownFrom_ = Now_;
    std::string Name = std::to_string(&Of - Engines_.data()) + "/" +
                       std::to_string(++Of.Starts_);
    std::map<std::size_t, std::set<Suspect>> Blamed;
    for (const Request &Each : Of.Running_)
      for (const Suspect &One :
           Routers_[Each.Router_].blamable(Each.Suspects_, Now_))
        Blamed[Each.Router_].insert(One);
    for (const auto &[Router, Suspects] : Blamed) {
      CrashReport Report{Name, {Suspects.begin(), Suspects.end()}, Now_};
      Routers_[Router].addCrash(Report, Now_);
      Messages_.push_back({Now_ + ReportDelay, Router, Report, {}});
    }
    Of.BackAt_ = Now_ + 4s;
    for (Request &Each : std::exchange(Of.Running_, {})) {
      if (!Case_.Repeats_ || std::exchange(Each.Repeated_, true) ||
          !Routers_[Each.Router_].mayRepeat(Each.Suspects_))
        continue;
      send(std::move(Each));
    }
  }

  void deliver() {
    for (std::size_t Router = 0; Router < Routers_.size(); ++Router)
      if (auto Sound = Routers_[Router].takeSoundReports(); !Sound.empty())
        Messages_.push_back({Now_ + ReportDelay, Router, {}, Sound});
    while (!Messages_.empty() && Messages_.front().At_ <= Now_) {
      Message Due = std::move(Messages_.front());
      Messages_.pop_front();
      for (std::size_t Router = 0; Router < Routers_.size(); ++Router) {
        if (Router == Due.From_)
          continue;
        if (!Due.Crash_.Crash_.empty())
          Routers_[Router].addCrash(Due.Crash_, Now_);
        for (const SoundReport &Each : Due.Sound_)
          Routers_[Router].addSound(Each, Now_);
      }
    }
  }

  FleetCase Case_;
  std::mt19937 Random_;
  std::vector<Quarantine> Routers_;
  std::vector<Engine> Engines_;
  std::deque<Message> Messages_;
  base::TimePoint Now_ = at(0ms);
  std::optional<base::TimePoint> KnownFrom_;
};

class QuarantineFleetTest : public testing::TestWithParam<FleetCase> {};

/// Guards against a prompt part, or a request, that crashes engine after engine
/// while it comes at any router, and against the refusal of sound requests that
/// share their other parts.
TEST_P(QuarantineFleetTest, WhatOneRouterLearnsTheOthersKnowInTime) {
  FleetWorld World(GetParam());
  World.run(60s);
  constexpr int MaxSentLate = 3;
  EXPECT_GE(World.Crashes_, 3);
  EXPECT_LE(World.SentLate_, MaxSentLate);
  // A twentieth of what may be lost by the rule for sound requests.
  constexpr double MaxRefused = 0.025;
  EXPECT_LE(World.SoundRefused_, MaxRefused * World.SoundAsked_);
}

std::vector<FleetCase> fleetCases() {
  std::vector<FleetCase> Cases;
  for (unsigned Seed = 1; Seed <= 20; ++Seed) {
    Cases.push_back({"small", 4, 12, 150, 2, Seed});
    Cases.push_back({"slow_series", 4, 12, 150, 0.3, Seed});
    Cases.push_back({"many_routers", 60, 180, 1500, 3, Seed});
    Cases.push_back({"fast_series", 24, 72, 600, 20, Seed});
    Cases.push_back({"sound_at_first", 4, 12, 150, 1, Seed, 20s});
    Cases.push_back({"request", 4, 12, 150, 2, Seed, 0s, true});
    Cases.push_back(
        {"request_repeated", 4, 12, 150, 2, Seed, 0s, true, false, true});
    Cases.push_back(
        {"plain_request", 4, 4, 20, 0.4, Seed, 0s, true, true, true});
    Cases.push_back(
        {"plain_request_many", 100, 80, 500, 5, Seed, 0s, true, true, true});
    for (unsigned Burst : {2U, 4U, 8U}) {
      FleetCase Case{"burst_of_" + std::to_string(Burst), 4, 12, 150, 0, Seed};
      Case.Burst_ = Burst;
      Cases.push_back(Case);
      Case.Name_ += "_repeated";
      Case.Repeats_ = true;
      Cases.push_back(Case);
    }
    FleetCase Many{"burst_many_routers", 60, 180, 1500, 0, Seed};
    Many.Burst_ = 20;
    Many.Repeats_ = true;
    Cases.push_back(Many);
    for (unsigned Lost : {6U, 12U}) {
      FleetCase Case{"lost_" + std::to_string(Lost), 4, 12, 150, 0, Seed};
      Case.Lost_ = Lost;
      Case.Repeats_ = true;
      Cases.push_back(Case);
      Case.Name_ += "_in_turn";
      Case.LossSpacing_ = 20ms;
      Cases.push_back(Case);
    }
  }
  return Cases;
}

INSTANTIATE_TEST_SUITE_P(Fleets, QuarantineFleetTest,
                         testing::ValuesIn(fleetCases()), [](const auto &Info) {
                           return Info.param.Name_ + "_" +
                                  std::to_string(Info.param.Seed_);
                         });

} // namespace
