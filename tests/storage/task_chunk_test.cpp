#include "storage/task_chunk.hpp"

#include <gtest/gtest.h>

#include "storage/record_encoding.hpp"
#include "storage/record_limits.hpp"

namespace damsonport {
namespace {

TEST(TaskChunk, FitsTheValueLimitInAnyState) {
  for (double kb : {1.0, 16.0, 64.0}) {
    uint32_t size = chunk_size(kb);
    TaskChunk c;
    for (uint32_t i = 0; i < size; ++i) {
      c.start(i, 999999999, "i-0000000000");
    }
    EXPECT_LE(encode_chunk(c).dump().size(), kb * 1024);
    for (uint32_t i = 0; i < size; i += 2) c.end_attempt(i, TaskEnd::restart);
    EXPECT_LE(encode_chunk(c).dump().size(), kb * 1024);
  }
}

TEST(TaskChunk, AttemptsIncreaseAndDoneTasksTakeNoSpace) {
  TaskChunk c;
  auto next = c.next_startable(2);
  ASSERT_TRUE(next);
  EXPECT_EQ(next->index, 0u);
  EXPECT_EQ(next->attempt, 1u);
  c.start(0, 1, "m");
  c.end_attempt(0, TaskEnd::restart);
  next = c.next_startable(2);
  ASSERT_TRUE(next);
  EXPECT_EQ(next->index, 0u);
  EXPECT_EQ(next->attempt, 2u);
  c.start(0, 2, "m");
  c.start(1, 1, "m");
  EXPECT_FALSE(c.next_startable(2));
  c.end_attempt(0, TaskEnd::done);
  EXPECT_EQ(c.done_count(), 1u);
  EXPECT_FALSE(c.finished(2));
  c.end_attempt(1, TaskEnd::done);
  EXPECT_TRUE(c.finished(2));
}

TEST(TaskChunk, RoundTripsThroughItsEncoding) {
  TaskChunk c;
  c.start(0, 3, "i-1");
  c.start(2, 1, "i-2");  // task 1 becomes waiting
  auto back = decode_chunk(encode_chunk(c));
  EXPECT_EQ(back.next, 3u);
  ASSERT_EQ(back.live.size(), 2u);
  EXPECT_EQ(back.live[1].machine, "i-2");
  ASSERT_EQ(back.waiting.size(), 1u);
  EXPECT_EQ(back.waiting[0].index, 1u);
}

}  // namespace
}  // namespace damsonport
