#include "camphorwind/request/links.h"

#include <gtest/gtest.h>

using namespace camphorwind;
using namespace camphorwind::request;
using namespace std::chrono_literals;

namespace {

constexpr base::TimePoint Start(1h);

/// Runs the monitor on a simulated clock. Heartbeats are answered at once,
/// except on connection UnresponsiveNumber_.
class LinkMonitorTest : public testing::Test {
protected:
  void runFor(base::Duration Length) {
    base::TimePoint End = Now_ + Length;
    while (Now_ <= End) {
      Subject_.onTick(Now_);
      for (const LinkAction &Action : Subject_.takeActions())
        apply(Action);
      Now_ += 10ms;
    }
  }

  void apply(const LinkAction &Action) {
    if (const auto *Dialled = std::get_if<Dial>(&Action)) {
      Dials_.push_back(Dialled->Connection_);
      if (!RefuseDials_)
        Subject_.onConnected(Dialled->Connection_, Now_);
    }
    if (const auto *Sent = std::get_if<SendHeartbeat>(&Action))
      if (Sent->Connection_ != UnresponsiveNumber_)
        Subject_.onHeard(Sent->Connection_, Now_);
    if (const auto *Closed = std::get_if<CloseConnection>(&Action))
      Closed_.push_back(Closed->Connection_);
    if (std::holds_alternative<LinkSilent>(Action))
      ++SilenceReports_;
  }

  base::TimePoint Now_ = Start;
  bool RefuseDials_ = false;
  ConnectionNumber UnresponsiveNumber_ = 0;
  std::vector<ConnectionNumber> Dials_;
  std::vector<ConnectionNumber> Closed_;
  int SilenceReports_ = 0;
  LinkMonitor Subject_{base::Incarnation("router"), LinkSettings{}};
};

TEST_F(LinkMonitorTest, AnAnsweringConnectionIsKept) {
  Subject_.start(Now_);
  runFor(30s);
  EXPECT_EQ(Subject_.current(), 1U);
  EXPECT_EQ(Dials_.size(), 1U);
  EXPECT_EQ(SilenceReports_, 0);
}

TEST_F(LinkMonitorTest, ASecondConnectionReplacesASilentOne) {
  Subject_.start(Now_);
  runFor(1s);
  UnresponsiveNumber_ = 1;
  runFor(3s);
  EXPECT_EQ(Subject_.current(), 2U);
  EXPECT_EQ(SilenceReports_, 1);
  EXPECT_EQ(Closed_, std::vector<ConnectionNumber>{1});
}

TEST_F(LinkMonitorTest, ASilentConnectionThatAnswersAgainIsUsedAgain) {
  Subject_.start(Now_);
  runFor(1s);
  RefuseDials_ = true;
  UnresponsiveNumber_ = 1;
  runFor(3s);
  EXPECT_FALSE(Subject_.current());
  UnresponsiveNumber_ = 0;
  runFor(1s);
  EXPECT_EQ(Subject_.current(), 1U);
}

TEST_F(LinkMonitorTest, AClosedConnectionIsRedialledAfterTheDelay) {
  Subject_.start(Now_);
  runFor(100ms);
  Subject_.onClosed(1, Now_);
  EXPECT_FALSE(Subject_.current());
  runFor(200ms);
  EXPECT_EQ(Dials_.size(), 1U);
  runFor(200ms);
  EXPECT_EQ(Subject_.current(), 2U);
}

TEST_F(LinkMonitorTest, TheNextTimerIsInTheFutureAfterATick) {
  Subject_.start(Now_);
  RefuseDials_ = true;
  for (int Step = 0; Step < 100; ++Step) {
    Subject_.onTick(Now_);
    for (const LinkAction &Action : Subject_.takeActions())
      apply(Action);
    ASSERT_GT(Subject_.nextTimer(), Now_);
    Now_ = Subject_.nextTimer();
  }
}

} // namespace
