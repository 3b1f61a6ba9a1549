#include "storage/task_chunk.hpp"

#include <gtest/gtest.h>

#include "storage/record_encoding.hpp"
#include "storage/record_limits.hpp"

namespace damsonport {
namespace {

TEST(TaskChunk, FitsTheValueLimitInAnyState) {
  for (double kb : {1.0, 16.0, 64.0}) {
    uint32_t size = chunk_size(kb);
    TaskChunk chunk;
    for (uint32_t i = 0; i < size; ++i) {
      chunk.start(i, 999999999, "i-0000000000");
    }
    EXPECT_LE(encode_chunk(chunk).dump().size(), kb * 1024);
    for (uint32_t i = 0; i < size; i += 2) chunk.end_attempt(i, TaskEnd::restart);
    EXPECT_LE(encode_chunk(chunk).dump().size(), kb * 1024);
  }
}

TEST(TaskChunk, AttemptsIncreaseAndDoneTasksTakeNoSpace) {
  TaskChunk chunk;
  auto next = chunk.next_startable(2);
  ASSERT_TRUE(next);
  EXPECT_EQ(next->index, 0u);
  EXPECT_EQ(next->attempt, 1u);
  chunk.start(0, 1, "m");
  chunk.end_attempt(0, TaskEnd::restart);
  next = chunk.next_startable(2);
  ASSERT_TRUE(next);
  EXPECT_EQ(next->index, 0u);
  EXPECT_EQ(next->attempt, 2u);
  chunk.start(0, 2, "m");
  chunk.start(1, 1, "m");
  EXPECT_FALSE(chunk.next_startable(2));
  chunk.end_attempt(0, TaskEnd::done);
  EXPECT_EQ(chunk.done_count(), 1u);
  EXPECT_FALSE(chunk.finished(2));
  chunk.end_attempt(1, TaskEnd::done);
  EXPECT_TRUE(chunk.finished(2));
}

TEST(TaskChunk, RoundTripsThroughItsEncoding) {
  TaskChunk chunk;
  chunk.start(0, 3, "i-1");
  chunk.start(2, 1, "i-2");  // task 1 becomes waiting
  auto decoded = decode_chunk(encode_chunk(chunk));
  EXPECT_EQ(decoded.next, 3u);
  ASSERT_EQ(decoded.live.size(), 2u);
  EXPECT_EQ(decoded.live[1].machine, "i-2");
  ASSERT_EQ(decoded.waiting.size(), 1u);
  EXPECT_EQ(decoded.waiting[0].index, 1u);
}

}  // namespace
}  // namespace damsonport
