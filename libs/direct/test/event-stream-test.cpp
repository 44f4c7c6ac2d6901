#include "camphorwind/direct/event-stream.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <optional>
#include <ostream>
#include <string>
#include <string_view>
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
  RC_ASSERT(Stream.eventCount() == 3u);
  RC_ASSERT(Stream.finish() == "");
}

TEST(EventStreamTest, BuffersAnIncompleteEvent) {
  EventStream Stream;
  EXPECT_EQ(Stream.append("id: 1\ndata: a\n\nid: 2\nda"), "id: 1\ndata: a\n\n");
  EXPECT_EQ(Stream.lastId(), 1u);
}

/// Guards against events that a caller gets twice, because an endpoint begins
/// anew instead of going on.
TEST(EventStreamTest, ResponseThatDoesNotGoOnIsNotJoined) {
  EventStream Stream;
  Stream.append("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  Stream.discardUnfinished();
  EXPECT_EQ(Stream.append("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"), "");
  EXPECT_TRUE(Stream.repeated());
  Stream.discardUnfinished();
  EXPECT_EQ(Stream.append("id: 3\ndata: c\n\n"), "id: 3\ndata: c\n\n");
  EXPECT_FALSE(Stream.repeated());
}

TEST(EventStreamTest, CommentIsNoEvent) {
  EventStream Stream;
  EXPECT_EQ(Stream.append(": hello\n\n"), ": hello\n\n");
  EXPECT_EQ(Stream.eventCount(), 0u);
}

TEST(EventStreamTest, ResumesAfterTheLastCompleteEvent) {
  EventStream Stream;
  Stream.append("id: 1\ndata: a\n\nid: 2\nda");
  Stream.discardUnfinished();
  EXPECT_EQ(Stream.append("id: 2\ndata: b\n\n"), "id: 2\ndata: b\n\n");
  EXPECT_EQ(Stream.lastId(), 2u);
}

struct FinishCase {
  std::string_view Name_;
  /// Bytes after the last complete event.
  std::string_view Rest_;
  bool InsideEvent_ = false;
};

std::ostream &operator<<(std::ostream &Out, const FinishCase &Value) {
  return Out << Value.Name_;
}

class EventStreamFinishTest : public testing::TestWithParam<FinishCase> {};

/// Guards against streams that break off inside an event and count as complete.
TEST_P(EventStreamFinishTest, TellsWhetherTheStreamEndedInsideAnEvent) {
  const FinishCase &Case = GetParam();
  EventStream Stream;
  EXPECT_EQ(Stream.append("data: a\n\n" + std::string(Case.Rest_)),
            "data: a\n\n");
  EXPECT_EQ(Stream.unfinishedBytes(), Case.Rest_.size());
  std::optional<std::string> Rest = Stream.finish();
  ASSERT_EQ(Rest.has_value(), !Case.InsideEvent_);
  if (Rest) {
    EXPECT_EQ(*Rest, Case.Rest_);
  }
}

INSTANTIATE_TEST_SUITE_P(
    Rests, EventStreamFinishTest,
    testing::Values(FinishCase{"nothing", "", false},
                    FinishCase{"part_of_a_field", "dat", true},
                    FinishCase{"part_of_a_value", "data: b", true},
                    FinishCase{"lines_without_empty_line", "data: b\n", true},
                    FinishCase{"crlf_without_empty_line", "data: b\r\n", true},
                    FinishCase{"half_of_an_empty_line", "data: b\r\n\r", true},
                    FinishCase{"part_of_a_comment", ": b", true},
                    FinishCase{"comment_then_field", ": b\nid: 1", true},
                    FinishCase{"comment", ": b\n", false},
                    FinishCase{"empty_line", "\n", false},
                    FinishCase{"empty_line_crlf", "\r\n", false}),
    [](const auto &Info) { return std::string(Info.param.Name_); });

TEST(EventStreamTest, LastIdStartsAtTheCallersLastEvent) {
  EventStream Stream(7);
  EXPECT_EQ(Stream.lastId(), 7u);
  Stream.append("data: without id\n\n");
  EXPECT_EQ(Stream.lastId(), 7u);
}

} // namespace
