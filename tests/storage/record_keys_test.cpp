#include "storage/record_keys.hpp"

#include <gtest/gtest.h>

#include <utility>
#include <vector>

namespace damsonport {
namespace {

TEST(RecordKeys, EveryKeyIsParsedAsItsKind) {
  const std::vector<std::pair<std::string, RecordKind>> keys_and_kinds = {
      {keys::job("a"), RecordKind::job},
      {keys::chunk("a", 3, 2), RecordKind::chunk},
      {keys::tombstone("a"), RecordKind::tombstone},
      {keys::scale_out_request("a"), RecordKind::scale_out_request},
      {keys::version("a"), RecordKind::version},
      {keys::forwarded_exits("a"), RecordKind::forwarded_exits},
      {keys::quota("a"), RecordKind::quota},
      {keys::shard_table, RecordKind::shard_table},
      {keys::leader, RecordKind::leader},
  };
  for (auto& [key, kind] : keys_and_kinds) {
    EXPECT_TRUE(key.starts_with(keys::cached_prefix)) << key;
    const auto parsed = parse_record_key(key);
    ASSERT_TRUE(parsed) << key;
    EXPECT_EQ(parsed->kind, kind) << key;
  }
  const auto chunk = parse_record_key(keys::chunk("run-1", 3, 2));
  ASSERT_TRUE(chunk);
  EXPECT_EQ(chunk->name, "run-1/2/3");
}

TEST(RecordKeys, KeysOfUnknownKindsAreNotParsed) {
  for (const char* key : {"", "d/", "d/bb", "d/ll", "d/x/1", "f/run-1"})
    EXPECT_FALSE(parse_record_key(key)) << key;
  EXPECT_FALSE(keys::final_state("run-1").starts_with(keys::cached_prefix));
}

}  // namespace
}  // namespace damsonport
