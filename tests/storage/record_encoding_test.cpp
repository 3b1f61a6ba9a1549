#include "storage/record_encoding.hpp"

#include <gtest/gtest.h>

namespace damsonport {
namespace {

TEST(ForwardedExits, RoundTripThroughTheirEncoding) {
  ForwardedExits forwarded{7,
                           {{"i-1", {"run-1", 3}, 2, ExitCause::done},
                            {"i-2", {"run-2", 0}, 1, ExitCause::gang_member_lost}}};
  const auto decoded = decode_forwarded_exits(encode_forwarded_exits(forwarded));
  EXPECT_EQ(decoded.fencing_token, 7u);
  EXPECT_EQ(decoded.exits, forwarded.exits);
  // An exit with a cause that only a later version knows ends the attempt, but not as a success.
  auto later = encode_forwarded_exits(forwarded);
  later["exits"][0][4] = 99;
  EXPECT_EQ(decode_forwarded_exits(later).exits[0].cause, ExitCause::stopped);
}

// The stored form is a contract: versions without the agent epoch read the first five elements.
TEST(ForwardedExits, AgentEpochIsAppendedIfItIsKnown) {
  const ForwardedExits forwarded{7,
                                 {{"i-1", {"run-1", 3}, 2, ExitCause::error, 4},
                                  {"i-2", {"run-2", 0}, 1, ExitCause::stopped}}};
  const std::string stored =
      R"({"exits":[["i-1","run-1",3,2,3,4],["i-2","run-2",0,1,2]],"term":7})";
  EXPECT_EQ(encode_forwarded_exits(forwarded).dump(), stored);
  EXPECT_EQ(decode_forwarded_exits(Json::parse(stored)).exits, forwarded.exits);
}

// The stored form is a contract: versions without the field take "term" for the token of the lease.
TEST(ShardTable, TheFirstTokenIsStoredBesideARaisedOne) {
  ShardTable table;
  table.leases.push_back({"n", 7, 41, {}, true, 30});
  const Json stored = encode_shard_table(table);
  EXPECT_EQ(stored.at("grants").at(0).at("term"), 41);
  EXPECT_EQ(stored.at("grants").at(0).at("first"), 30);
  EXPECT_EQ(decode_shard_table(stored).leases[0].first_fencing_token(), 30u);
  table.leases[0].acquired_fencing_token = 0;
  EXPECT_FALSE(encode_shard_table(table).at("grants").at(0).contains("first"));
  EXPECT_EQ(decode_shard_table(encode_shard_table(table)).leases[0].first_fencing_token(), 41u);
}

TEST(ShardTable, RoundTripsThroughItsEncoding) {
  ShardTable table;
  table.leases.push_back({"n", 7, 41, {"i-1"}, true, 0});
  auto decoded = decode_shard_table(encode_shard_table(table));
  ASSERT_EQ(decoded.leases.size(), 1u);
  EXPECT_EQ(decoded.leases[0].fencing_token, 41u);
  EXPECT_TRUE(decoded.leases[0].covers_unassigned);
  EXPECT_EQ(decoded.leases[0].machines, std::vector<std::string>{"i-1"});
}

}  // namespace
}  // namespace damsonport
