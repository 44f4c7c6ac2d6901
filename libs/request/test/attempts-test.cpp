#include "camphorwind/request/attempts.h"

#include <gtest/gtest.h>

using namespace camphorwind;
using namespace camphorwind::request;
using namespace std::chrono_literals;

namespace {

const base::Incarnation Agent("agent-1");
const base::Incarnation Router("router-1");
const base::Incarnation Other("router-2");
constexpr base::TimePoint Start(1h);

class AttemptsTest : public testing::Test {
protected:
  AttemptRef ref(const char *Name, base::TimePoint Ticketed = Start) const {
    return {base::AttemptId(Name), Agent, ticketTime(Ticketed)};
  }

  void start(const AttemptRef &Attempt, base::TimePoint Now) {
    StartAttempt Sent;
    Sent.Attempt_ = Attempt;
    Sent.Router_ = Router;
    Sent.TimeLeft_ = 5s;
    Subject_.onStart(Sent, Granted_, Now);
  }

  /// Takes the actions and returns those of one kind.
  template <class Kind> std::vector<Kind> sent() {
    std::vector<Kind> Found;
    for (const AgentAction &Action : Subject_.takeActions())
      if (const auto *Sent = std::get_if<SendToRouter>(&Action))
        if (const auto *Content = std::get_if<Kind>(&Sent->Message_))
          Found.push_back(*Content);
    return Found;
  }

  Tickets Granted_{Agent};
  Attempts Subject_{Agent, AttemptsSettings{}};
};

TEST_F(AttemptsTest, ARefusedAttemptStaysRefusedWhenTheStartIsRepeated) {
  Granted_.seal(Router);
  start(ref("x"), Start);
  Granted_ = Tickets(Agent);
  start(ref("x"), Start);
  EXPECT_EQ(sent<Refused>().size(), 2U);
  EXPECT_EQ(Subject_.running(), 0U);
}

TEST_F(AttemptsTest, AnAttemptAskedAboutBeforeItsStartNeverRuns) {
  Subject_.onQuery({Other, ref("x"), 0}, Start);
  auto Status = sent<AttemptStatus>();
  ASSERT_EQ(Status.size(), 1U);
  EXPECT_EQ(Status[0].State_, AttemptState::NeverRan);
  start(ref("x"), Start);
  EXPECT_EQ(sent<Refused>().size(), 1U);
  EXPECT_EQ(Subject_.running(), 0U);
}

TEST_F(AttemptsTest, AStartForAnEarlierIncarnationIsNotAnswered) {
  AttemptRef Earlier = ref("x");
  Earlier.Agent_ = base::Incarnation("agent-0");
  start(Earlier, Start);
  EXPECT_TRUE(Subject_.takeActions().empty());
}

TEST_F(AttemptsTest, AnAttemptTooOldToRememberIsNotCalledNeverRun) {
  Subject_.onQuery({Other, ref("x"), 0}, Start + 11min);
  auto Status = sent<AttemptStatus>();
  ASSERT_EQ(Status.size(), 1U);
  EXPECT_EQ(Status[0].State_, AttemptState::Forgotten);
}

TEST_F(AttemptsTest, AQueryResumesAtItsOffsetAndReplaysTheEnd) {
  start(ref("x"), Start);
  const base::AttemptId Id("x");
  Subject_.onEndpointHead(Id, {200, "text/plain"});
  Subject_.onEndpointBytes(Id, "hello ", Start);
  Subject_.onEndpointBytes(Id, "world", Start);
  Subject_.onEndpointEnd(Id, EndpointEnd::Complete, Start);
  Subject_.takeActions();
  Subject_.onQuery({Other, ref("x"), 6}, Start + 1s);
  auto Parts = sent<Chunk>();
  ASSERT_EQ(Parts.size(), 1U);
  EXPECT_EQ(Parts[0].Offset_, 6U);
  EXPECT_EQ(Parts[0].Bytes_, "world");
  Subject_.onQuery({Other, ref("x"), 11}, Start + 1s);
  auto End = sent<Finished>();
  ASSERT_EQ(End.size(), 1U);
  EXPECT_EQ(End[0].Length_, 11U);
}

TEST_F(AttemptsTest, AnEndpointThatWasNotReachedMakesTheAttemptRefused) {
  start(ref("x"), Start);
  Subject_.onEndpointEnd(base::AttemptId("x"), EndpointEnd::NotReached, Start);
  EXPECT_EQ(sent<Refused>().size(), 1U);
  Subject_.onQuery({Router, ref("x"), 0}, Start);
  EXPECT_EQ(sent<AttemptStatus>()[0].State_, AttemptState::NeverRan);
}

TEST_F(AttemptsTest, WorkPastItsDeadlineIsStopped) {
  start(ref("x"), Start);
  ASSERT_EQ(Subject_.nextTimer(), Start + 5s);
  Subject_.onTick(Start + 5s);
  auto End = sent<Finished>();
  ASSERT_EQ(End.size(), 1U);
  EXPECT_EQ(End[0].End_, AttemptEnd::DeadlineExceeded);
}

TEST_F(AttemptsTest, OnlyTheLastReaderCanCancel) {
  start(ref("x"), Start);
  Subject_.onQuery({Other, ref("x"), 0}, Start);
  Subject_.onCancel({Router, ref("x")}, Start);
  EXPECT_EQ(Subject_.running(), 1U);
  Subject_.onCancel({Other, ref("x")}, Start);
  EXPECT_EQ(Subject_.running(), 0U);
}

TEST_F(AttemptsTest, KeptAnswersAreBoundedButUncommittedOnesAreProtected) {
  Subject_ = Attempts(Agent, {.MaxKeptBytes_ = 10});
  for (const char *Name : {"a", "b", "c"}) {
    start(ref(Name), Start);
    Subject_.onEndpointBytes(base::AttemptId(Name), "12345678", Start);
    Subject_.onEndpointEnd(base::AttemptId(Name), EndpointEnd::Complete, Start);
  }
  EXPECT_EQ(Subject_.keptBytes(), 24U);
  Subject_.onCommitted(base::AttemptId("a"));
  Subject_.onTick(Start + 1s);
  EXPECT_EQ(Subject_.keptBytes(), 16U);
  Subject_.takeActions();
  Subject_.onQuery({Router, ref("a"), 0}, Start + 1s);
  EXPECT_EQ(sent<AttemptStatus>()[0].State_, AttemptState::Dropped);
  Subject_.onTick(Start + 61s);
  EXPECT_EQ(Subject_.keptBytes(), 8U);
}

} // namespace
