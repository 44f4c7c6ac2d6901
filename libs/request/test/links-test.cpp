#include "camphorwind/request/links.h"

#include <gtest/gtest.h>

using namespace camphorwind;
using namespace camphorwind::request;
using namespace std::chrono_literals;

namespace {

constexpr base::TimePoint Start(1h);

/// Lets the monitor run; connections in Mute_ swallow everything.
class LinkMonitorTest : public testing::Test {
protected:
  void runFor(base::Duration Span) {
    base::TimePoint End = Now_ + Span;
    while (Now_ <= End) {
      Subject_.onTick(Now_);
      for (const LinkAction &Action : Subject_.takeActions())
        act(Action);
      Now_ += 10ms;
    }
  }

  void act(const LinkAction &Action) {
    if (const auto *Wanted = std::get_if<Dial>(&Action)) {
      Dials_.push_back(Wanted->Connection_);
      if (!Refuse_)
        Subject_.onConnected(Wanted->Connection_, Now_);
    }
    if (const auto *Beat = std::get_if<SendHeartbeat>(&Action))
      if (Beat->Connection_ != Mute_)
        Subject_.onHeard(Beat->Connection_, Now_);
    if (const auto *Closed = std::get_if<CloseConnection>(&Action))
      Closed_.push_back(Closed->Connection_);
    if (std::holds_alternative<LinkSilent>(Action))
      ++Silences_;
  }

  base::TimePoint Now_ = Start;
  bool Refuse_ = false;
  ConnectionNumber Mute_ = 0;
  std::vector<ConnectionNumber> Dials_;
  std::vector<ConnectionNumber> Closed_;
  int Silences_ = 0;
  LinkMonitor Subject_{base::Incarnation("router"), LinkSettings{}};
};

TEST_F(LinkMonitorTest, AnAnsweringConnectionIsKept) {
  Subject_.start(Now_);
  runFor(30s);
  EXPECT_EQ(Subject_.current(), 1U);
  EXPECT_EQ(Dials_.size(), 1U);
  EXPECT_EQ(Silences_, 0);
}

TEST_F(LinkMonitorTest, ASecondConnectionReplacesASilentOne) {
  Subject_.start(Now_);
  runFor(1s);
  Mute_ = 1;
  runFor(3s);
  EXPECT_EQ(Subject_.current(), 2U);
  EXPECT_EQ(Silences_, 1);
  EXPECT_EQ(Closed_, std::vector<ConnectionNumber>{1});
}

TEST_F(LinkMonitorTest, AConnectionThatAnswersAgainIsUsedAgain) {
  Subject_.start(Now_);
  runFor(1s);
  Refuse_ = true;
  Mute_ = 1;
  runFor(3s);
  EXPECT_FALSE(Subject_.current());
  Mute_ = 0;
  runFor(1s);
  EXPECT_EQ(Subject_.current(), 1U);
}

TEST_F(LinkMonitorTest, AClosedConnectionIsDialledAgainAfterAPause) {
  Subject_.start(Now_);
  runFor(100ms);
  Subject_.onClosed(1, Now_);
  EXPECT_FALSE(Subject_.current());
  runFor(200ms);
  EXPECT_EQ(Dials_.size(), 1U);
  runFor(200ms);
  EXPECT_EQ(Subject_.current(), 2U);
}

TEST_F(LinkMonitorTest, TimersLieAheadOnceTheirWorkIsDone) {
  Subject_.start(Now_);
  Refuse_ = true;
  for (int Step = 0; Step < 100; ++Step) {
    Subject_.onTick(Now_);
    for (const LinkAction &Action : Subject_.takeActions())
      act(Action);
    ASSERT_GT(Subject_.nextTimer(), Now_);
    Now_ = Subject_.nextTimer();
  }
}

} // namespace
