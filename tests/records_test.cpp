#include "storage/records.hpp"

#include <gtest/gtest.h>

namespace damsonport {
namespace {

TEST(Chunk, RecordsStayBelowTheValueLimitInAnyState) {
  for (double kb : {1.0, 16.0, 64.0}) {
    uint32_t size = chunk_size(kb);
    ChunkRecord c;
    for (uint32_t i = 0; i < size; ++i) {
      c.start(i, 999999999, "i-0000000000");
    }
    EXPECT_LE(encode_chunk(c).dump().size(), kb * 1024);
    for (uint32_t i = 0; i < size; i += 2) c.end(i, false);
    EXPECT_LE(encode_chunk(c).dump().size(), kb * 1024);
  }
}

TEST(Chunk, AttemptsOnlyGrowAndDoneTasksLeaveNoTrace) {
  ChunkRecord c;
  uint32_t index = 9;
  uint64_t attempt = 9;
  ASSERT_TRUE(c.peek_startable(2, 0, index, attempt));
  EXPECT_EQ(index, 0u);
  EXPECT_EQ(attempt, 1u);
  c.start(0, 1, "m");
  c.end(0, false);
  ASSERT_TRUE(c.peek_startable(2, 0, index, attempt));
  EXPECT_EQ(index, 0u);
  EXPECT_EQ(attempt, 2u);
  c.start(0, 2, "m");
  c.start(1, 1, "m");
  EXPECT_FALSE(c.peek_startable(2, 0, index, attempt));
  c.end(0, true);
  EXPECT_EQ(c.done_count(), 1u);
  EXPECT_FALSE(c.finished(2));
  c.end(1, true);
  EXPECT_TRUE(c.finished(2));
}

TEST(Chunk, ComesBackFromItsValue) {
  ChunkRecord c;
  c.start(0, 3, "i-1");
  c.start(2, 1, "i-2");  // passes over 1, which waits
  auto back = decode_chunk(encode_chunk(c));
  EXPECT_EQ(back.next, 3u);
  ASSERT_EQ(back.live.size(), 2u);
  EXPECT_EQ(back.live[1].machine, "i-2");
  ASSERT_EQ(back.waiting.size(), 1u);
  EXPECT_EQ(back.waiting[0].index, 1u);
}

TEST(Blocks, ComeBackFromTheirValue) {
  Blocks b;
  b.grants.push_back({"n", 7, 41, {"i-1"}, true});
  auto back = decode_blocks(encode_blocks(b));
  ASSERT_EQ(back.grants.size(), 1u);
  EXPECT_EQ(back.grants[0].term, 41u);
  EXPECT_TRUE(back.grants[0].rest);
  EXPECT_EQ(back.grants[0].machines, std::vector<std::string>{"i-1"});
}

}  // namespace
}  // namespace damsonport
