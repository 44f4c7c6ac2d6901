#include "camphorwind/direct/event-stream.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <vector>

using namespace camphorwind::direct;

namespace {

const std::string Events = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n"
                           ": comment\n\nid:3\ndata: c\n\n";

RC_GTEST_PROP(EventStreamTest, AnyCutGivesTheSameEvents, ()) {
  EventStream Tested;
  std::string Found;
  std::size_t At = 0;
  while (At < Events.size()) {
    auto Size = *rc::gen::inRange<std::size_t>(1, 9);
    Found += Tested.take(std::string_view(Events).substr(At, Size));
    At += Size;
  }
  RC_ASSERT(Found == Events);
  RC_ASSERT(Tested.lastId() == 3u);
  RC_ASSERT(Tested.events() == 4u);
  RC_ASSERT(Tested.finish().empty());
}

TEST(EventStreamTest, HoldsBackAnUnfinishedEvent) {
  EventStream Tested;
  EXPECT_EQ(Tested.take("id: 1\ndata: a\n\nid: 2\nda"), "id: 1\ndata: a\n\n");
  EXPECT_EQ(Tested.lastId(), 1u);
}

TEST(EventStreamTest, ABrokenStreamGoesOnAfterItsLastWholeEvent) {
  EventStream Tested;
  Tested.take("id: 1\ndata: a\n\nid: 2\nda");
  Tested.dropUnfinished();
  EXPECT_EQ(Tested.take("id: 2\ndata: b\n\n"), "id: 2\ndata: b\n\n");
  EXPECT_EQ(Tested.lastId(), 2u);
}

TEST(EventStreamTest, BytesAfterTheLastEventEndAWholeStream) {
  EventStream Tested;
  EXPECT_EQ(Tested.take("data: a\n"), "");
  EXPECT_EQ(Tested.finish(), "data: a\n");
}

TEST(EventStreamTest, StartsAfterTheCallersLastEvent) {
  EventStream Tested(7);
  EXPECT_EQ(Tested.lastId(), 7u);
  Tested.take("data: without id\n\n");
  EXPECT_EQ(Tested.lastId(), 7u);
}

} // namespace
