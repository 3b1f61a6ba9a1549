/// Tests of HeartbeatDeduplicator: recognition of heartbeats that repeat the previous one.
#include "coordination/machines/heartbeat_deduplicator.hpp"

#include <gtest/gtest.h>

#include "protocol/messages.hpp"

namespace damsonport {
namespace {

Json heartbeat(uint64_t sequence) {
  return {{"vessel", "i-1"},
          {"address", "10.1.0.1:9000"},
          {"hull", "g"},
          {"dock", "a"},
          {"tender", false},
          {"watch", 1},
          {"tally", sequence},
          {"helm", 41},
          {"recall_s", nullptr},
          {"hands", {{{"hand", "run-1/0"}, {"launch", 2}, {"status", "running"}}}}};
}

// A deduplicator that has stored this heartbeat of the machine i-1.
HeartbeatDeduplicator deduplicator_after(const Json& last, uint64_t sequence) {
  HeartbeatDeduplicator deduplicator;
  deduplicator.remember("i-1", encode(last), sequence);
  return deduplicator;
}

TEST(HeartbeatDeduplicator, HeartbeatsThatDifferOnlyInTheSequenceNumberAreRecognised) {
  const auto deduplicator = deduplicator_after(heartbeat(300), 300);
  const auto repeat = deduplicator.find(encode(heartbeat(301)));
  ASSERT_TRUE(repeat);
  EXPECT_EQ(repeat->machine, "i-1");
  EXPECT_EQ(repeat->sequence, 301u);
}

// A heartbeat with any of these differences must be decoded and reconciled.
TEST(HeartbeatDeduplicator, HeartbeatsWithAnyOtherDifferenceAreNotRecognised) {
  const auto deduplicator = deduplicator_after(heartbeat(300), 300);
  auto expect_no_match = [&](const char* field, const Json& value) {
    Json changed = heartbeat(301);
    changed[field] = value;
    EXPECT_FALSE(deduplicator.find(encode(changed))) << field;
  };
  expect_no_match("watch", 2);
  expect_no_match("helm", 42);
  expect_no_match("recall_s", 30.0);
  expect_no_match("vessel", "i-2");
  expect_no_match("address", "10.1.0.2:9000");
  expect_no_match("hands", Json::array());
  for (auto& [key, value] :
       {std::pair<const char*, Json>{"status", "exited"}, {"launch", 3}, {"hand", "run-1/1"}}) {
    Json changed = heartbeat(301);
    changed["hands"][0][key] = value;
    EXPECT_FALSE(deduplicator.find(encode(changed))) << key;
  }
  Json with_second_task = heartbeat(301);
  with_second_task["hands"].push_back({{"hand", "run-2/0"}, {"launch", 1}, {"status", "fetching"}});
  EXPECT_FALSE(deduplicator.find(encode(with_second_task)));
}

TEST(HeartbeatDeduplicator, HeartbeatsAreForgottenByMachine) {
  auto deduplicator = deduplicator_after(heartbeat(300), 300);
  Json other = heartbeat(7);
  other["vessel"] = "i-2";
  deduplicator.remember("i-2", encode(other), 7);
  EXPECT_EQ(deduplicator.size(), 2u);
  deduplicator.forget("i-1");
  EXPECT_FALSE(deduplicator.find(encode(heartbeat(301))));
  other["tally"] = 8;
  EXPECT_TRUE(deduplicator.find(encode(other)));
  deduplicator.clear();
  EXPECT_EQ(deduplicator.size(), 0u);
}

TEST(HeartbeatDeduplicator, SequenceNumbersOfEveryEncodedLengthAreRead) {
  for (uint64_t n : {uint64_t{3}, uint64_t{23}, uint64_t{24}, uint64_t{200}, uint64_t{70000},
                     uint64_t{1} << 40}) {
    const auto deduplicator = deduplicator_after(heartbeat(n), n);
    const auto repeat = deduplicator.find(encode(heartbeat(n)));
    ASSERT_TRUE(repeat) << n;
    EXPECT_EQ(repeat->sequence, n);
  }
  // A sequence number of another encoded length is no repeat: the heartbeat is decoded and stored.
  EXPECT_FALSE(deduplicator_after(heartbeat(255), 255).find(encode(heartbeat(256))));
}

// A heartbeat is not stored if its sequence number can't be located without doubt.
TEST(HeartbeatDeduplicator, HeartbeatsWithoutAUniqueSequenceNumberAreNotStored) {
  Json twice = heartbeat(300);
  twice["hull"] = std::string(encoded_sequence_key());
  EXPECT_EQ(deduplicator_after(twice, 300).size(), 0u);
  EXPECT_EQ(deduplicator_after(heartbeat(300), 299).size(), 0u);
  Json text = heartbeat(300);
  text["tally"] = "300";
  EXPECT_EQ(deduplicator_after(text, 300).size(), 0u);
  HeartbeatDeduplicator truncated;
  const auto body = encode(heartbeat(300));
  for (size_t size = 0; size < body.size(); ++size)
    truncated.remember("i-1", body.substr(0, size), 1);
  EXPECT_EQ(truncated.size(), 0u);
}

}  // namespace
}  // namespace damsonport
