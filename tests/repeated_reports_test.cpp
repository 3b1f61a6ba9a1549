// Reports that are recognized as saying what the last one said.
#include <gtest/gtest.h>

#include "coordination/machines/heartbeat_deduplicator.hpp"
#include "protocol/messages.hpp"

namespace damsonport {
namespace {

Json report(uint64_t sequence) {
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

HeartbeatDeduplicator remembering(const Json& last, uint64_t sequence) {
  HeartbeatDeduplicator reports;
  reports.remember("i-1", encode(last), sequence);
  return reports;
}

TEST(HeartbeatDeduplicator, DifferInTheirNumberAlone) {
  const auto reports = remembering(report(300), 300);
  const auto repeat = reports.find(encode(report(301)));
  ASSERT_TRUE(repeat);
  EXPECT_EQ(repeat->machine, "i-1");
  EXPECT_EQ(repeat->sequence, 301u);
}

// Each of these must be looked into.
TEST(HeartbeatDeduplicator, AnyOtherDifferenceIsSeen) {
  const auto reports = remembering(report(300), 300);
  auto differs = [&](const char* field, const Json& value) {
    Json m = report(301);
    m[field] = value;
    EXPECT_FALSE(reports.find(encode(m))) << field;
  };
  differs("watch", 2);
  differs("helm", 42);
  differs("recall_s", 30.0);
  differs("vessel", "i-2");
  differs("address", "10.1.0.2:9000");
  differs("hands", Json::array());
  for (auto& [key, value] :
       {std::pair<const char*, Json>{"status", "exited"}, {"launch", 3}, {"hand", "run-1/1"}}) {
    Json m = report(301);
    m["hands"][0][key] = value;
    EXPECT_FALSE(reports.find(encode(m))) << key;
  }
  Json more = report(301);
  more["hands"].push_back({{"hand", "run-2/0"}, {"launch", 1}, {"status", "fetching"}});
  EXPECT_FALSE(reports.find(encode(more)));
}

TEST(HeartbeatDeduplicator, AreForgottenByMachine) {
  auto reports = remembering(report(300), 300);
  Json other = report(7);
  other["vessel"] = "i-2";
  reports.remember("i-2", encode(other), 7);
  EXPECT_EQ(reports.size(), 2u);
  reports.forget("i-1");
  EXPECT_FALSE(reports.find(encode(report(301))));
  other["tally"] = 8;
  EXPECT_TRUE(reports.find(encode(other)));
  reports.clear();
  EXPECT_EQ(reports.size(), 0u);
}

TEST(HeartbeatDeduplicator, NumbersOfEveryEncodedLengthAreRead) {
  for (uint64_t n : {uint64_t{3}, uint64_t{23}, uint64_t{24}, uint64_t{200}, uint64_t{70000},
                     uint64_t{1} << 40}) {
    const auto reports = remembering(report(n), n);
    const auto repeat = reports.find(encode(report(n)));
    ASSERT_TRUE(repeat) << n;
    EXPECT_EQ(repeat->sequence, n);
  }
  // Of another length: decoded once, and remembered anew.
  EXPECT_FALSE(remembering(report(255), 255).find(encode(report(256))));
}

// Where the number isn't found for sure nothing is remembered.
TEST(HeartbeatDeduplicator, AreNotGuessedAt) {
  Json twice = report(300);
  twice["hull"] = std::string(encoded_sequence_key());
  EXPECT_EQ(remembering(twice, 300).size(), 0u);
  EXPECT_EQ(remembering(report(300), 299).size(), 0u);
  Json text = report(300);
  text["tally"] = "300";
  EXPECT_EQ(remembering(text, 300).size(), 0u);
  HeartbeatDeduplicator cut;
  const auto body = encode(report(300));
  for (size_t size = 0; size < body.size(); ++size) cut.remember("i-1", body.substr(0, size), 1);
  EXPECT_EQ(cut.size(), 0u);
}

}  // namespace
}  // namespace damsonport
