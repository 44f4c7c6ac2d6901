#include "camphorwind/net/loop.h"

#include <gtest/gtest.h>

#include <chrono>
#include <string>
#include <thread>
#include <unistd.h>
#include <vector>

using namespace camphorwind::net;

namespace {

TEST(LoopTest, RunsPostedTasksInOrder) {
  auto Owner = std::move(Loop::create().value());
  std::vector<int> Order;
  Timer KeepAlive(*Owner, [] {});
  KeepAlive.start(std::chrono::hours(1));
  Owner->post([&] {
    Order.push_back(1);
    Owner->post([&] {
      Order.push_back(3);
      Owner->stop();
    });
  });
  Owner->post([&] { Order.push_back(2); });
  Owner->run();
  EXPECT_EQ(Order, (std::vector<int>{1, 2, 3}));
}

TEST(LoopTest, RepeatingTimerFiresUntilStopped) {
  auto Owner = std::move(Loop::create().value());
  int Count = 0;
  Timer Ticker(*Owner, [&] {
    if (++Count == 3)
      Owner->stop();
  });
  Ticker.startRepeating(std::chrono::milliseconds(1));
  Owner->run();
  EXPECT_EQ(Count, 3);
  Ticker.stop();
  EXPECT_FALSE(Ticker.active());
}

/// Guards against timeouts that fire though what they wait for has arrived.
TEST(LoopTest, ReadyFilesComeBeforeExpiredTimers) {
  auto Owner = std::move(Loop::create().value());
  int Ends[2];
  ASSERT_EQ(::pipe(Ends), 0);
  std::string Order;
  FdWatcher Readable(*Owner, [&](bool, bool) {
    Order += 'f';
    Readable.stop();
  });
  Readable.start(Ends[0], Interest::Read);
  Timer Expired(*Owner, [&] {
    Order += 't';
    Owner->stop();
  });
  Expired.start(std::chrono::milliseconds(1));
  ASSERT_EQ(::write(Ends[1], "x", 1), 1);
  std::this_thread::sleep_for(std::chrono::milliseconds(5));
  Owner->run();
  EXPECT_EQ(Order, "ft");
  ::close(Ends[0]);
  ::close(Ends[1]);
}

} // namespace
