#include "nodelink/frames.h"

#include <gtest/gtest.h>

namespace pearspar::nodelink {
namespace {

std::string frame_of(char letter, const std::string& rest) {
  std::size_t size = rest.size() + 1;
  std::string out{static_cast<char>(size >> 24), static_cast<char>(size >> 16), static_cast<char>(size >> 8),
                  static_cast<char>(size), letter};
  return out + rest;
}

TEST(Frames, CallFrameHoldsALineAndATextForEachPart) {
  std::vector<OutgoingPart> parts = {{"9b1f.3", 3, 240, "c41e77d0"}, {"9b1f.11", 11, 7, "a\nb"}};
  EXPECT_EQ(call_frame(parts), frame_of('m', "9b1f.3 3 d=240 8\nc41e77d09b1f.11 11 d=7 3\na\nb"));
  EXPECT_EQ(give_up_frame("9b1f.3"), frame_of('n', "9b1f.3"));
  EXPECT_EQ(probe_frame(false), frame_of('o', ""));
  EXPECT_EQ(probe_frame(true), frame_of('p', ""));
}

TEST(Frames, FrameIsCompleteWithItsLastByte) {
  std::string bytes = frame_of('q', "rest") + "more";
  FrameView frame;
  for (std::size_t size = 0; size < 9; ++size)
    EXPECT_EQ(next_frame(std::string_view(bytes).substr(0, size), frame), FrameResult::more) << size;
  ASSERT_EQ(next_frame(bytes, frame), FrameResult::whole);
  EXPECT_EQ(frame.letter, 'q');
  EXPECT_EQ(frame.rest, "rest");
  EXPECT_EQ(frame.size, 9u);
}

// A corrupt length must neither be waited for nor allocated.
TEST(Frames, InvalidLengthIsBroken) {
  FrameView frame;
  EXPECT_EQ(next_frame(std::string(4, '\0'), frame), FrameResult::broken);
  EXPECT_EQ(next_frame("\xff\xff\xff\xff", frame), FrameResult::broken);
  EXPECT_EQ(next_frame("GET ", frame), FrameResult::broken);
}

TEST(Frames, AnswerIsALineAndAValue) {
  auto answer = parse_answer("9b1f.3 good 1840277719 inflight=7,util=0.61\nva\nlue");
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->id, "9b1f.3");
  EXPECT_EQ(answer->end, PartOutcome::served);
  EXPECT_EQ(answer->report, "inflight=7,util=0.61");
  EXPECT_EQ(answer->value, "va\nlue");
  EXPECT_EQ(parse_answer("x bad 0 -\n")->end, PartOutcome::error);
  EXPECT_EQ(parse_answer("x later 0 -\n")->end, PartOutcome::refused);
  EXPECT_EQ(parse_answer("x later 0 -\n")->report, "");
  for (const char* bad : {"", "x good 1 -", "\n", " good 1 -\n", "x fine 1 -\n", "x\n"})
    EXPECT_FALSE(parse_answer(bad)) << bad;
}

TEST(Frames, ReportValuesFollowTheSettings) {
  std::vector<std::string> fields = {"throughput", "outstanding", "strange"};
  EXPECT_EQ(parse_report("inflight=7,util=0.61,qps=12.5", fields), (std::vector<double>{12.5, 7, 0}));
  EXPECT_EQ(parse_report("throughput=3", fields), (std::vector<double>{3, 0, 0}));
  EXPECT_TRUE(parse_report("util=0.61", fields).empty());
  EXPECT_TRUE(parse_report("", fields).empty());
  EXPECT_TRUE(parse_report("qps=x,=,,qps", fields).empty());
}

}  // namespace
}  // namespace pearspar::nodelink
