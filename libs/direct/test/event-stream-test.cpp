#include "camphorwind/direct/event-stream.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <vector>

using namespace camphorwind::direct;

namespace {

const std::string Events = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n"
                           ": comment\n\nid:3\ndata: c\n\n";

RC_GTEST_PROP(EventStreamTest, ChunkBoundariesDoNotChangeEvents, ()) {
  EventStream Stream;
  std::string Output;
  std::size_t Offset = 0;
  while (Offset < Events.size()) {
    auto Size = *rc::gen::inRange<std::size_t>(1, 9);
    Output += Stream.append(std::string_view(Events).substr(Offset, Size));
    Offset += Size;
  }
  RC_ASSERT(Output == Events);
  RC_ASSERT(Stream.lastId() == 3u);
  RC_ASSERT(Stream.eventCount() == 4u);
  RC_ASSERT(Stream.finish().empty());
}

TEST(EventStreamTest, BuffersAnIncompleteEvent) {
  EventStream Stream;
  EXPECT_EQ(Stream.append("id: 1\ndata: a\n\nid: 2\nda"), "id: 1\ndata: a\n\n");
  EXPECT_EQ(Stream.lastId(), 1u);
}

TEST(EventStreamTest, ResumesAfterTheLastCompleteEvent) {
  EventStream Stream;
  Stream.append("id: 1\ndata: a\n\nid: 2\nda");
  Stream.discardUnfinished();
  EXPECT_EQ(Stream.append("id: 2\ndata: b\n\n"), "id: 2\ndata: b\n\n");
  EXPECT_EQ(Stream.lastId(), 2u);
}

TEST(EventStreamTest, FinishReturnsBytesAfterTheLastEvent) {
  EventStream Stream;
  EXPECT_EQ(Stream.append("data: a\n"), "");
  EXPECT_EQ(Stream.finish(), "data: a\n");
}

TEST(EventStreamTest, LastIdStartsAtTheCallersLastEvent) {
  EventStream Stream(7);
  EXPECT_EQ(Stream.lastId(), 7u);
  Stream.append("data: without id\n\n");
  EXPECT_EQ(Stream.lastId(), 7u);
}

} // namespace
