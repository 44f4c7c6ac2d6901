#include "camphorwind/observe/log.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <fcntl.h>
#include <string>
#include <unistd.h>

using namespace camphorwind::observe;

namespace {

/// Puts a pipe that nobody reads in the place of standard output.
class FullPipe {
public:
  FullPipe() : Saved_(::dup(STDOUT_FILENO)) {
    EXPECT_EQ(::pipe(Ends_), 0);
    ::dup2(Ends_[1], STDOUT_FILENO);
  }
  ~FullPipe() {
    ::dup2(Saved_, STDOUT_FILENO);
    for (int Fd : {Saved_, Ends_[0], Ends_[1]})
      ::close(Fd);
  }

private:
  int Saved_;
  int Ends_[2] = {};
};

} // namespace

TEST(LogTest, EveryLineIsOneJsonObject) {
  startLog("test", LogLevel::Info);
  testing::internal::CaptureStdout();
  log(LogLevel::Debug, "hidden");
  log(LogLevel::Info, "shown",
      {{"account", "a\"b\xff"}, {"tokens", 3}, {"whole", true}});
  std::string Text = testing::internal::GetCapturedStdout();
  nlohmann::json Line = nlohmann::json::parse(Text, nullptr, false);
  ASSERT_FALSE(Line.is_discarded()) << Text;
  EXPECT_EQ(Line["event"], "shown");
  EXPECT_EQ(Line["tokens"], 3);
  EXPECT_EQ(Line["whole"], true);
}

TEST(LogTest, LinesBeyondTheRateAreCounted) {
  testing::internal::CaptureStdout();
  startLog("test", LogLevel::Info, {.PerSecond_ = 0, .Burst_ = 3});
  for (int Line = 0; Line < 10; ++Line)
    log(LogLevel::Info, "usual");
  // Warnings have lines of their own, and tell how many were left out.
  log(LogLevel::Warning, "urgent");
  std::string Text = testing::internal::GetCapturedStdout();
  EXPECT_EQ(droppedLogLines(), 7u);
  EXPECT_NE(Text.find("\"log_lines_dropped\",\"lines\":7"), std::string::npos)
      << Text;
  EXPECT_NE(Text.find("\"urgent\""), std::string::npos);
}

TEST(LogTest, AReaderThatStopsReadingDoesNotBlockTheProcess) {
  constexpr int Lines = 20'000;
  FullPipe Unread;
  startLog("test", LogLevel::Info, {.PerSecond_ = 0, .Burst_ = Lines});
  for (int Line = 0; Line < Lines; ++Line)
    log(LogLevel::Info, "nobody reads this");
  EXPECT_GT(droppedLogLines(), 0u);
}
