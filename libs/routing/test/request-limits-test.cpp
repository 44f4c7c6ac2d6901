#include "camphorwind/routing/request-limits.h"

#include "camphorwind/routing/limit-claims.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <ostream>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace camphorwind::routing {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

const base::EndpointId Engine("engine");
const base::TimePoint Start{1000s};

/// The bound that the platform states on what an endpoint may get: in any
/// window, this many times the limit and this many requests more.
constexpr milliseconds Window = 4s;
constexpr double LimitFactor = 1.5;
constexpr double Extra = 5;
/// A router is bound this long after an endpoint has told it of the limit.
constexpr milliseconds BoundAfter = 500ms;
/// No router is bound this long after the limit was first stated.
constexpr milliseconds Settling = 3s;

/// A fleet whose routers all send to one endpoint with a limit.
struct FleetCase {
  std::string Name_;
  std::size_t Routers_ = 4;
  double PerSecond_ = 2;
  /// Requests that arrive at each router with callers, per second.
  double ArrivalsPerSecond_ = 10;
  /// Number of routers with callers; all if 0.
  std::size_t WithCallers_ = 0;
  /// Largest error of a router's clock.
  milliseconds ClockError_ = 0ms;
  /// Interval at which one router after another starts again, and thus knows
  /// nothing; 0 for none.
  milliseconds RestartInterval_ = 0ms;
  /// Interval at which a router joins the fleet. Each router learns of it up to
  /// a second later. 0 for none.
  milliseconds JoinInterval_ = 0ms;
  /// Factor by which each answer changes the limit up or down; 1 for none.
  double Jitter_ = 1;
  /// No request arrives before this time, counted from the first statement.
  milliseconds QuietUntil_ = 0ms;
  /// Least share of what the endpoint takes that it has to get.
  double LeastShare_ = 0;
  /// Routers claim turns in a table that all of them read.
  bool Claims_ = false;
  /// When the table is away, counted from the first statement.
  milliseconds AwayFrom_ = 0ms;
  milliseconds AwayUntil_ = 0ms;
  /// From this time on all routers have callers; never if 0.
  milliseconds AllHaveCallersFrom_ = 0ms;
  /// Interval at which the callers move to the next routers; 0 for none.
  milliseconds MoveInterval_ = 0ms;
};

std::ostream &operator<<(std::ostream &Out, const FleetCase &Value) {
  return Out << Value.Name_;
}

class Fleet {
public:
  static constexpr milliseconds Step = 10ms;
  static constexpr milliseconds AnswerTime = 60ms;

  Fleet(const FleetCase &Case, unsigned Seed) : Case_(Case), Random_(Seed) {
    for (std::size_t Index = 0; Index < Case.Routers_; ++Index)
      addRouter();
    for (Router &Each : Routers_) {
      Each.Limits_.setPlace(Each.Place_, Each.ClockOffset_, Start);
      Each.NextRead_ =
          Start + milliseconds(static_cast<int>(draw(0, ReadInterval.count())));
    }
  }

  void run(milliseconds Length) {
    for (milliseconds Elapsed = 0ms; Elapsed < Length; Elapsed += Step) {
      Now_ = Start + Elapsed;
      change(Elapsed);
      bool IsAway = Elapsed >= Case_.AwayFrom_ && Elapsed < Case_.AwayUntil_;
      for (std::size_t Index = 0; Index < Routers_.size(); ++Index) {
        if (Case_.Claims_)
          exchangeClaims(Routers_[Index], IsAway);
        step(Routers_[Index], Index, Elapsed);
      }
    }
  }

  /// Returns the most requests in any window beyond what is allowed.
  double worstExcess() const {
    std::deque<base::TimePoint> Recent;
    double Worst = -1e9;
    for (base::TimePoint Each : Counted_) {
      Recent.push_back(Each);
      while (Recent.front() <= Each - Window)
        Recent.pop_front();
      if (Each < Start + Settling)
        continue;
      double Seconds = std::chrono::duration<double>(Window).count();
      double Allowed = LimitFactor * Case_.PerSecond_ * Seconds + Extra;
      Worst = std::max(Worst, static_cast<double>(Recent.size()) - Allowed);
    }
    return Worst;
  }
  std::size_t sent() const { return Sent_; }

private:
  struct Router {
    RequestLimits Limits_;
    FleetPlace Place_;
    FleetTime ClockOffset_{0};
    std::optional<base::TimePoint> ToldAt_;
    std::deque<base::TimePoint> Answers_;
    LimitClaims Claims_;
    bool IsClaiming_ = false;
    base::TimePoint NextRead_{};
    /// Place that the router learns of at this time.
    std::deque<std::pair<base::TimePoint, FleetPlace>> News_;
  };

  double draw(double Low, double High) {
    return std::uniform_real_distribution<>(Low, High)(Random_);
  }

  void addRouter() {
    Router Added;
    std::chrono::duration<double, std::milli> Error(Case_.ClockError_);
    Added.ClockOffset_ = std::chrono::duration_cast<FleetTime>(
        Error * draw(-1, 1) + std::chrono::hours(50));
    Routers_.push_back(std::move(Added));
    for (std::size_t Index = 0; Index < Routers_.size(); ++Index)
      Routers_[Index].Place_ = {Routers_.size(), Index};
  }

  void change(milliseconds Elapsed) {
    if (Case_.RestartInterval_ > 0ms &&
        Elapsed % Case_.RestartInterval_ == 0ms) {
      Router &Restarted = Routers_[NextRestart_++ % Routers_.size()];
      Restarted.Limits_ = RequestLimits();
      Restarted.Limits_.setPlace(Restarted.Place_, Restarted.ClockOffset_,
                                 Now_);
      Restarted.Claims_ = LimitClaims();
      Restarted.ToldAt_.reset();
      Restarted.Answers_.clear();
    }
    if (Case_.JoinInterval_ > 0ms && Elapsed % Case_.JoinInterval_ == 0ms) {
      addRouter();
      Routers_.back().Limits_.setPlace(Routers_.back().Place_,
                                       Routers_.back().ClockOffset_, Now_);
      for (Router &Each : Routers_)
        Each.News_.emplace_back(
            Now_ + milliseconds(static_cast<int>(draw(0, 1000))), Each.Place_);
    }
  }

  static constexpr milliseconds ReadInterval = 700ms;

  void exchangeClaims(Router &Each, bool IsAway) {
    std::string Name = std::to_string(Each.Place_.Index_);
    const std::string &Claim = Engine.str();
    bool IsWanted = Each.Limits_.isWanted(Engine, Now_);
    if (!IsAway) {
      if (std::exchange(Each.IsClaiming_, IsWanted) != IsWanted)
        Table_[Name] = IsWanted ? Claim : "";
      if (Now_ >= Each.NextRead_) {
        Each.NextRead_ = Now_ + ReadInterval;
        Each.Claims_.read(Table_, Name, Now_);
      }
    }
    Each.Limits_.setClaimants(
        Engine, IsWanted ? Each.Claims_.place(Claim, Now_) : std::nullopt,
        Now_);
  }

  bool hasCallers(std::size_t Index, milliseconds Elapsed) const {
    if (Case_.WithCallers_ == 0 || (Case_.AllHaveCallersFrom_ > 0ms &&
                                    Elapsed >= Case_.AllHaveCallersFrom_))
      return true;
    std::size_t First = 0;
    if (Case_.MoveInterval_ > 0ms)
      First = static_cast<std::size_t>(Elapsed / Case_.MoveInterval_) *
              Case_.WithCallers_;
    return (Index + Routers_.size() - First % Routers_.size()) %
               Routers_.size() <
           Case_.WithCallers_;
  }

  void step(Router &Each, std::size_t Index, milliseconds Elapsed) {
    while (!Each.News_.empty() && Each.News_.front().first <= Now_) {
      Each.Limits_.setPlace(Each.News_.front().second, Each.ClockOffset_, Now_);
      Each.News_.pop_front();
    }
    while (!Each.Answers_.empty() && Each.Answers_.front() <= Now_) {
      Each.Answers_.pop_front();
      if (!Each.ToldAt_)
        Each.ToldAt_ = Now_;
      // The endpoint never takes more than PerSecond_.
      Each.Limits_.state(Engine, Case_.PerSecond_ * draw(Case_.Jitter_, 1),
                         Now_);
    }
    double Chance =
        Case_.ArrivalsPerSecond_ * std::chrono::duration<double>(Step).count();
    // Each router hears of the limit by a first request.
    bool IsFirst = Elapsed == 0ms;
    bool Arrives = hasCallers(Index, Elapsed) && Elapsed >= Case_.QuietUntil_ &&
                   draw(0, 1) < Chance;
    if (Arrives)
      Each.Limits_.want(Engine, Now_);
    if (!(IsFirst || Arrives) ||
        Each.Limits_.wait(Engine, Now_) > base::Duration::zero())
      return;
    Each.Limits_.sent(Engine, Now_);
    Each.Answers_.push_back(Now_ + AnswerTime);
    if (Elapsed > 1s)
      ++Sent_;
    if (Each.ToldAt_ && *Each.ToldAt_ + BoundAfter <= Now_)
      Counted_.push_back(Now_);
  }

  const FleetCase &Case_;
  std::mt19937 Random_;
  base::TimePoint Now_ = Start;
  std::vector<Router> Routers_;
  /// Published claims by router.
  std::map<std::string, std::string> Table_;
  std::size_t NextRestart_ = 0;
  std::vector<base::TimePoint> Counted_;
  std::size_t Sent_ = 0;
};

class RequestLimitFleetTest : public testing::TestWithParam<FleetCase> {};

/// Guards against routers that keep a limit each for itself, so that the
/// endpoint gets as many times more as there are routers.
TEST_P(RequestLimitFleetTest, AllRoutersTogetherKeepTheLimit) {
  const FleetCase &Case = GetParam();
  constexpr milliseconds Length = 60s;
  constexpr unsigned Seeds = 5;
  for (unsigned Seed = 1; Seed <= Seeds; ++Seed) {
    Fleet Tested(Case, Seed);
    Tested.run(Length);
    EXPECT_LE(Tested.worstExcess(), 0) << "seed " << Seed;
    double Taken =
        Case.PerSecond_ *
        std::chrono::duration<double>(Length - Case.QuietUntil_).count();
    EXPECT_GE(static_cast<double>(Tested.sent()), Case.LeastShare_ * Taken)
        << "seed " << Seed;
  }
}

INSTANTIATE_TEST_SUITE_P(
    Fleets, RequestLimitFleetTest,
    testing::Values(
        FleetCase{.Name_ = "one_router", .Routers_ = 1, .LeastShare_ = 0.9},
        FleetCase{.Name_ = "four_routers", .LeastShare_ = 0.9},
        FleetCase{.Name_ = "four_routers_below_one",
                  .PerSecond_ = 0.4,
                  .LeastShare_ = 0.8},
        FleetCase{.Name_ = "high_limit",
                  .PerSecond_ = 30,
                  .ArrivalsPerSecond_ = 40,
                  .LeastShare_ = 0.9},
        FleetCase{.Name_ = "hundreds", .Routers_ = 300, .LeastShare_ = 0.9},
        FleetCase{.Name_ = "hundreds_few_arrivals",
                  .Routers_ = 300,
                  .ArrivalsPerSecond_ = 1,
                  .LeastShare_ = 0.5},
        FleetCase{.Name_ = "hundreds_below_one",
                  .Routers_ = 300,
                  .PerSecond_ = 0.3,
                  .LeastShare_ = 0.7},
        FleetCase{.Name_ = "hundreds_after_a_quiet_time",
                  .Routers_ = 300,
                  .QuietUntil_ = 40s,
                  .LeastShare_ = 0.8},
        FleetCase{.Name_ = "hundreds_with_clock_errors",
                  .Routers_ = 300,
                  .ClockError_ = 500ms,
                  .LeastShare_ = 0.9},
        FleetCase{.Name_ = "callers_at_one_router", .WithCallers_ = 1},
        FleetCase{.Name_ = "routers_start_again",
                  .Routers_ = 40,
                  .RestartInterval_ = 500ms},
        FleetCase{.Name_ = "routers_join",
                  .Routers_ = 20,
                  .JoinInterval_ = 1s,
                  .LeastShare_ = 0.6},
        FleetCase{.Name_ = "limit_changes_with_each_answer",
                  .Routers_ = 12,
                  .PerSecond_ = 6,
                  .Jitter_ = 0.9,
                  .LeastShare_ = 0.6},
        FleetCase{.Name_ = "nothing", .Routers_ = 300, .PerSecond_ = 0},
        FleetCase{.Name_ = "all_claim",
                  .Routers_ = 40,
                  .LeastShare_ = 0.9,
                  .Claims_ = true},
        FleetCase{.Name_ = "one_of_four_claims",
                  .WithCallers_ = 1,
                  .LeastShare_ = 0.5,
                  .Claims_ = true},
        FleetCase{.Name_ = "one_of_hundreds_claims",
                  .Routers_ = 300,
                  .WithCallers_ = 1,
                  .LeastShare_ = 0.4,
                  .Claims_ = true},
        FleetCase{.Name_ = "claim_of_a_high_limit",
                  .Routers_ = 300,
                  .PerSecond_ = 10,
                  .ArrivalsPerSecond_ = 30,
                  .WithCallers_ = 1,
                  .LeastShare_ = 0.4,
                  .Claims_ = true},
        FleetCase{.Name_ = "claims_while_the_table_is_away",
                  .Routers_ = 40,
                  .WithCallers_ = 2,
                  .Claims_ = true,
                  .AwayFrom_ = 20s,
                  .AwayUntil_ = 35s},
        FleetCase{.Name_ = "callers_come_to_all_at_once",
                  .Routers_ = 300,
                  .PerSecond_ = 10,
                  .WithCallers_ = 1,
                  .Claims_ = true,
                  .AllHaveCallersFrom_ = 30s},
        FleetCase{.Name_ = "callers_come_while_the_table_is_away",
                  .Routers_ = 300,
                  .PerSecond_ = 10,
                  .WithCallers_ = 1,
                  .Claims_ = true,
                  .AwayFrom_ = 30s,
                  .AwayUntil_ = 45s,
                  .AllHaveCallersFrom_ = 30s},
        FleetCase{.Name_ = "callers_move",
                  .Routers_ = 60,
                  .PerSecond_ = 6,
                  .WithCallers_ = 3,
                  .Claims_ = true,
                  .MoveInterval_ = 4s},
        FleetCase{.Name_ = "claiming_routers_start_again",
                  .Routers_ = 40,
                  .WithCallers_ = 4,
                  .RestartInterval_ = 500ms,
                  .Claims_ = true}),
    [](const auto &Info) { return Info.param.Name_; });

TEST(RequestLimitsTest, EndpointWithoutALimitIsAdmitted) {
  RequestLimits Limits;
  EXPECT_EQ(Limits.wait(Engine, Start), base::Duration::zero());
}

TEST(RequestLimitsTest, OnlyNewsAreReported) {
  RequestLimits Limits;
  EXPECT_TRUE(Limits.state(Engine, 2, Start));
  EXPECT_FALSE(Limits.state(Engine, 2, Start + 1s));
  EXPECT_TRUE(Limits.state(Engine, 1, Start + 2s));
}

/// An answer without a limit.
struct LimitEndCase {
  std::string Name_;
  /// When the request was sent, counted from the statement of the limit.
  milliseconds SentAfter_;
  bool Ends_ = false;
};

std::ostream &operator<<(std::ostream &Out, const LimitEndCase &Value) {
  return Out << Value.Name_;
}

class LimitEndTest : public testing::TestWithParam<LimitEndCase> {};

TEST_P(LimitEndTest, OnlyAnswersToLaterRequestsEndTheLimit) {
  RequestLimits Limits;
  Limits.state(Engine, 0.1, Start);
  EXPECT_EQ(Limits.end(Engine, Start + GetParam().SentAfter_),
            GetParam().Ends_);
  EXPECT_EQ(Limits.wait(Engine, Start + 1ms) == base::Duration::zero(),
            GetParam().Ends_);
}

INSTANTIATE_TEST_SUITE_P(Times, LimitEndTest,
                         testing::Values(LimitEndCase{"sent_before", -10ms},
                                         LimitEndCase{"sent_later", 10ms,
                                                      true}),
                         [](const auto &Info) { return Info.param.Name_; });

TEST(RequestLimitsTest, WaitEndsAtTheNextTurn) {
  RequestLimits Limits;
  Limits.setPlace({4, 1}, 0s, Start);
  Limits.state(Engine, 2, Start);
  base::Duration Wait = Limits.wait(Engine, Start);
  EXPECT_GT(Wait, base::Duration::zero());
  EXPECT_LE(Wait, 2s);
  base::TimePoint Turn = Start + Wait + 1ms;
  EXPECT_EQ(Limits.wait(Engine, Turn), base::Duration::zero());
  Limits.sent(Engine, Turn);
  EXPECT_GT(Limits.wait(Engine, Turn), 1900ms);
}

} // namespace
} // namespace camphorwind::routing
