#include "../refusals.h"

#include <gtest/gtest.h>

#include <string>

namespace camphorwind::daemons {
namespace {

class ErrorAnswerTest : public testing::TestWithParam<base::RefusalReason> {};

/// Guards against a status that tells the caller "not run", in the answer to a
/// request that ran or may have run.
TEST_P(ErrorAnswerTest, StatusStatesNotRunOnlyIfTheRequestHasNotRun) {
  for (base::Ran Ran : {base::Ran::Yes, base::Ran::Unknown}) {
    CallerError Error;
    Error.Reason_ = GetParam();
    Error.Ran_ = Ran;
    EXPECT_FALSE(isNotExecutedStatus(errorAnswer(Error).Status_));
  }
}

/// Guards against requests that have not run and whose callers are not told.
TEST_P(ErrorAnswerTest, RequestThatHasNotRunKeepsTheStatusOfItsReason) {
  CallerError Error;
  Error.Reason_ = GetParam();
  EXPECT_EQ(errorAnswer(Error).Status_, httpStatusOf(GetParam()));
}

INSTANTIATE_TEST_SUITE_P(Reasons, ErrorAnswerTest,
                         testing::ValuesIn(base::AllRefusalReasons),
                         [](const auto &Info) {
                           return std::string(base::toString(Info.param));
                         });

} // namespace
} // namespace camphorwind::daemons
