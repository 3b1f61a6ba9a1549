#include "storage/record_encoding.hpp"

#include <gtest/gtest.h>

namespace damsonport {
namespace {

TEST(ForwardedExits, RoundTripThroughTheirEncoding) {
  ForwardedExits r{
      7, {{"i-1", {"run-1", 3}, 2, ExitCause::done}, {"i-2", {"run-2", 0}, 1, ExitCause::peers}}};
  const auto back = decode_forwarded_exits(encode_forwarded_exits(r));
  EXPECT_EQ(back.fencing_token, 7u);
  EXPECT_EQ(back.exits, r.exits);
  // An exit with a cause that only a later version knows ends the attempt, but not as a success.
  auto later = encode_forwarded_exits(r);
  later["exits"][0][4] = 99;
  EXPECT_EQ(decode_forwarded_exits(later).exits[0].cause, ExitCause::stopped);
}

TEST(ShardTable, RoundTripsThroughItsEncoding) {
  ShardTable b;
  b.leases.push_back({"n", 7, 41, {"i-1"}, true});
  auto back = decode_shard_table(encode_shard_table(b));
  ASSERT_EQ(back.leases.size(), 1u);
  EXPECT_EQ(back.leases[0].fencing_token, 41u);
  EXPECT_TRUE(back.leases[0].covers_unassigned);
  EXPECT_EQ(back.leases[0].machines, std::vector<std::string>{"i-1"});
}

}  // namespace
}  // namespace damsonport
