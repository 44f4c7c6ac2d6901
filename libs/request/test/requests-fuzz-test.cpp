#include "camphorwind/request/test/world.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace {

using namespace camphorwind::request::test;

rc::Gen<Step> anyStep() {
  using rc::gen::inRange;
  auto Kind =
      rc::gen::weightedElement<StepKind>({{12, StepKind::Call},
                                          {1, StepKind::KillRouter},
                                          {1, StepKind::KillAgent},
                                          {1, StepKind::LeaveAgent},
                                          {1, StepKind::PauseRouter},
                                          {2, StepKind::SilenceLink},
                                          {1, StepKind::TableOutage},
                                          {1, StepKind::DisconnectCaller}});
  auto RunFor = rc::gen::map(inRange(0, 1500), [](int Count) {
    return std::chrono::milliseconds(Count);
  });
  return rc::gen::build<Step>(
      rc::gen::set(&Step::Kind_, Kind),
      rc::gen::set(&Step::RouterChoice_, inRange(0U, 1000U)),
      rc::gen::set(&Step::Variation_, inRange(0U, 10000U)),
      rc::gen::set(&Step::RunFor_, RunFor));
}

RC_GTEST_PROP(RequestsFuzzTest, RandomFaultsCauseNoViolations, ()) {
  auto Seed = *rc::gen::arbitrary<std::uint64_t>();
  auto Script =
      *rc::gen::resize(60, rc::gen::container<std::vector<Step>>(anyStep()));
  World Simulation(Seed, WorldSettings{});
  for (const Step &Next : Script)
    Simulation.run(Next);
  const Tally &Result = Simulation.runToEnd();
  for (const std::string &Fault : Result.Faults_)
    RC_LOG() << Fault << '\n';
  RC_ASSERT(Result.violations() == 0U);
}

} // namespace
