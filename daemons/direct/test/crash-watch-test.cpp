#include "crash-watch.h"

#include <gtest/gtest.h>

#include <chrono>
#include <memory>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

namespace camphorwind::direct {
namespace {

using namespace std::chrono_literals;

/// What listens at the endpoint after an attempt there broke.
enum class Listener { Same, None };

struct CrashCase {
  std::string_view Name_;
  Listener Listener_ = Listener::Same;
  bool Crashed_ = false;
};

std::ostream &operator<<(std::ostream &Out, const CrashCase &Value) {
  return Out << Value.Name_;
}

class CrashWatchTest : public testing::TestWithParam<CrashCase> {
protected:
  CrashWatchTest() : Loop_(std::move(net::Loop::create().value())) {}

  void wait(std::chrono::milliseconds Span) {
    net::Timer Pause(*Loop_, [this] { Loop_->stop(); });
    Pause.start(Span);
    Loop_->run();
  }

  std::unique_ptr<net::Loop> Loop_;
};

/// Guards against requests that are blamed for connections which broke while
/// their endpoint went on.
TEST_P(CrashWatchTest, OnlyARefusedConnectionIsACrash) {
  auto Listening = std::move(net::listenOn({"127.0.0.1", 0}).value());
  ListedEndpoint Endpoint;
  Endpoint.Endpoint_ = base::EndpointId("i-1");
  Endpoint.StartId_ = "7";
  Endpoint.Address_ = net::localAddress(Listening.fd()).value();
  if (GetParam().Listener_ == Listener::None)
    Listening.close();
  std::vector<routing::CrashReport> Crashes;
  CrashWatch Watch(
      *Loop_, [&](const ListedEndpoint &, const routing::CrashReport &Report) {
        Crashes.push_back(Report);
      });
  constexpr routing::Suspect Request{routing::Suspect::Kind::Request, 3};
  constexpr routing::Suspect Part{routing::Suspect::Kind::PromptPart, 1};
  constexpr routing::Suspect Other{routing::Suspect::Kind::PromptPart, 2};
  Watch.attemptBroken(Endpoint, {Request, Part});
  Watch.attemptBroken(Endpoint, {Part, Other});
  wait(500ms);
  if (!GetParam().Crashed_) {
    EXPECT_TRUE(Crashes.empty());
    return;
  }
  ASSERT_EQ(Crashes.size(), 1u);
  EXPECT_EQ(Crashes[0].Crash_, "i-1/7");
  EXPECT_EQ(Crashes[0].Suspects_,
            (std::vector<routing::Suspect>{Part, Other, Request}));
}

INSTANTIATE_TEST_SUITE_P(
    Listeners, CrashWatchTest,
    testing::Values(CrashCase{"still_listening", Listener::Same, false},
                    CrashCase{"refused", Listener::None, true}),
    [](const auto &Info) { return std::string(Info.param.Name_); });

} // namespace
} // namespace camphorwind::direct
