#include "storage/record_limits.hpp"

#include <gtest/gtest.h>

#include "storage/record_encoding.hpp"

namespace damsonport {
namespace {

std::string long_name(size_t bytes) { return std::string(bytes, 'n'); }

// The largest records of every kind except jobs, chunks and forwarded exits have to fit the
// smallest value limit that a store has announced.
TEST(RecordLimits, LargestRecordsFitTheAnnouncedValueLimit) {
  constexpr double kb = 2;
  const auto fits = [](const Json& value) {
    return static_cast<double>(stored_size(value)) <= kb * 1024;
  };
  EXPECT_TRUE(fits(encode_leader({long_name(64), UINT64_MAX})));
  ShardTable shard_table;
  shard_table.leases.push_back({long_name(64), UINT64_MAX, UINT64_MAX, {}, true});
  shard_table.renewals = UINT64_MAX;
  EXPECT_TRUE(fits(encode_shard_table(shard_table)));
  std::vector<std::string> machines(machines_per_tombstone(kb), "i-000000000000000000");
  EXPECT_TRUE(fits({{"machines", machines}}));
  EXPECT_TRUE(
      fits({{"type", long_name(200)}, {"zone", long_name(200)}, {"spot", false}, {"count", 50}}));
  EXPECT_TRUE(fits({{"s", "aborted"}, {"n", UINT64_MAX}}));
  EXPECT_TRUE(fits({{"v", UINT64_MAX}}));
  EXPECT_LE(machines_per_tombstone(1000), 100u);
}

TEST(RecordLimits, DetectsAJobRecordThatCannotFit) {
  JobSpec spec;
  spec.id = "run-" + long_name(60);
  spec.job_class = spec.team = spec.image = long_name(200);
  spec.zone = long_name(64);
  spec.types = {long_name(64), long_name(64)};
  EXPECT_TRUE(job_record_fits(spec, 2));
  EXPECT_FALSE(job_record_fits(spec, 1));
  // Control characters take more bytes because JSON escapes them.
  spec.job_class = spec.image = std::string(200, '\x01');
  EXPECT_FALSE(job_record_fits(spec, 2));
}

}  // namespace
}  // namespace damsonport
