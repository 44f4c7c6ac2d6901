#include "camphorwind/request/tickets.h"

#include <gtest/gtest.h>

using namespace camphorwind;
using namespace camphorwind::request;
using namespace std::chrono_literals;

namespace {

const base::Incarnation Agent("agent-1");
const base::Incarnation Router("router-1");
constexpr base::TimePoint Start(1h);

struct TicketCase {
  const char *Name_;
  bool Leaves_;
  bool Seals_;
  base::Incarnation ShownAgent_;
  base::Duration Age_;
  std::optional<base::RefusalReason> Refusal_;
};

class TicketsTest : public testing::TestWithParam<TicketCase> {};

TEST_P(TicketsTest, ChecksStarts) {
  Tickets Granted(Agent);
  auto Reply = Granted.onHeartbeat({Router, 7}, Start);
  ASSERT_TRUE(Reply.Ticket_);
  if (GetParam().Leaves_)
    Granted.leave();
  if (GetParam().Seals_)
    Granted.seal(Router);
  AttemptRef Attempt{base::AttemptId("x"), GetParam().ShownAgent_,
                     Reply.Ticket_->GrantedAt_};
  EXPECT_EQ(Granted.check(Router, Attempt, Start + GetParam().Age_),
            GetParam().Refusal_);
}

INSTANTIATE_TEST_SUITE_P(
    Table, TicketsTest,
    testing::Values(TicketCase{"Fresh", false, false, Agent, 1999ms,
                               std::nullopt},
                    TicketCase{"Lapsed", false, false, Agent, 2s,
                               base::RefusalReason::TicketLapsed},
                    TicketCase{"OtherIncarnation", false, false,
                               base::Incarnation("agent-0"), 1ms,
                               base::RefusalReason::TicketLapsed},
                    TicketCase{"LeavingHonoursOutstanding", true, false, Agent,
                               1s, std::nullopt},
                    TicketCase{"LeavingAndLapsed", true, false, Agent, 3s,
                               base::RefusalReason::AgentLeaving},
                    TicketCase{"SealedAtOnce", false, true, Agent, 1ms,
                               base::RefusalReason::RouterSealed}),
    [](const auto &Info) { return Info.param.Name_; });

TEST(TicketsTest, LeavingGrantsNothingAndEndsWithTheLastTicket) {
  Tickets Granted(Agent);
  EXPECT_FALSE(Granted.anyValid(Start));
  Granted.onHeartbeat({Router, 1}, Start);
  Granted.leave();
  auto Reply = Granted.onHeartbeat({Router, 2}, Start + 1s);
  EXPECT_FALSE(Reply.Ticket_);
  EXPECT_TRUE(Reply.Leaving_);
  EXPECT_TRUE(Granted.anyValid(Start + 2s));
  EXPECT_FALSE(Granted.anyValid(Start + 2001ms));
}

} // namespace
