// Compatibility with the production version during a rolling upgrade: the records and messages in
// fixtures/production.records, which the production version wrote, can be decoded, and encoding
// them again yields the same bytes.
#include <gtest/gtest.h>

#include <fstream>

#include "protocol/peer_heartbeat.hpp"
#include "storage/rechunk.hpp"
#include "storage/records.hpp"

namespace damsonport {
namespace {

std::map<std::string, std::string> production_data() {
  std::map<std::string, std::string> out;
  std::ifstream in(std::string(FIXTURES_DIR) + "/production.records");
  for (std::string text; std::getline(in, text);)
    out[text.substr(0, text.find('\t'))] = text.substr(text.find('\t') + 1);
  return out;
}

TEST(ProductionData, RecordsRoundTripUnchanged) {
  const auto stored = production_data();
  ASSERT_EQ(stored.size(), 10u);
  for (auto& [key, text] : stored) {
    if (key.starts_with(keys::chunk_prefix)) {
      EXPECT_EQ(encode_chunk(decode_chunk(Json::parse(text))).dump(), text);
    } else if (key.starts_with(keys::job_prefix)) {
      const auto value = Json::parse(text);
      auto spec = decode_job(value);
      ASSERT_TRUE(spec) << spec.error();
      EXPECT_EQ(encode_job_record(*spec, value.at(fields::chunk_size)).dump(), text);
    } else if (key == keys::shard_table) {
      EXPECT_EQ(encode_shard_table(decode_shard_table(Json::parse(text))).dump(), text);
    }
  }
}

TEST(ProductionData, HeartbeatRoundTripsUnchanged) {
  std::string bytes;
  const auto hex = production_data().at("beat");
  for (size_t i = 0; i < hex.size(); i += 2)
    bytes += static_cast<char>(std::stoi(hex.substr(i, 2), nullptr, 16));
  PeerHeartbeat heartbeat;
  size_t used = 0;
  ASSERT_EQ(decode_peer_heartbeat(bytes, heartbeat, used), FrameStatus::complete);
  EXPECT_EQ(heartbeat.controller, "n0");
  EXPECT_EQ(heartbeat.fencing_token, 77u);
  ASSERT_EQ(heartbeat.cancelled.size(), 1u);
  EXPECT_EQ(encode_peer_heartbeat(heartbeat), bytes);
}

// The production version reads only the chunk keys of the first layout and ignores unknown keys.
TEST(ProductionData, ChunkKeysOfTheFirstLayoutAreUnchanged) {
  EXPECT_EQ(keys::chunk("run-1", 3), "d/t/run-1/3");
  EXPECT_EQ(keys::chunk("run-1", 3, 2), "d/t/run-1/2/3");
  auto first = parse_chunk_name("run-1/3");
  ASSERT_TRUE(first);
  EXPECT_EQ(first->chunk_layout, 0u);
  EXPECT_EQ(first->number, 3u);
  auto later = parse_chunk_name("run-1/2/3");
  ASSERT_TRUE(later);
  EXPECT_EQ(later->chunk_layout, 2u);
  EXPECT_EQ(later->number, 3u);
  for (const char* bad : {"run-1", "run-1/", "run-1/x", "run-1/1/", "run-1/1/2/3", "run-1/-1"})
    EXPECT_FALSE(parse_chunk_name(bad)) << bad;
}

Job large_job() {
  const auto stored = production_data();
  Job job;
  const auto value = Json::parse(stored.at("d/j/run-1"));
  job.spec = *decode_job(value);
  job.chunk_size = value.at(fields::chunk_size);
  job.chunks[0].record = decode_chunk(Json::parse(stored.at("d/t/run-1/0")));
  return job;
}

TEST(Rechunk, KeepsTheStateOfEveryTask) {
  const Job job = large_job();
  constexpr double kb = 2;
  const uint32_t size = chunk_size(kb);
  EXPECT_FALSE(chunk_fits(job.chunks.at(0).record, kb));
  const auto chunks = rechunk(job, size);
  uint64_t live = 0, done = 0, waiting = 0;
  for (auto& [number, record] : chunks) {
    EXPECT_TRUE(chunk_fits(record, kb));
    live += record.live.size();
    done += record.done_count();
    waiting += record.waiting.size();
    for (auto& task : record.live) {
      TaskChunk before = job.chunks.at(0).record;
      auto* before_task = before.find_live(number * size + task.index);
      ASSERT_NE(before_task, nullptr);
      EXPECT_EQ(before_task->attempt, task.attempt);
      EXPECT_EQ(before_task->machine, task.machine);
    }
  }
  EXPECT_EQ(live, 206u);
  EXPECT_EQ(done, 10u);
  EXPECT_EQ(waiting, 4u);
  EXPECT_EQ(chunks.size(), 6u) << "chunks without a started task have no record";
}

TEST(Rechunk, NeverStartedTasksBeforeALiveOneBecomeWaiting) {
  Job job;
  job.spec.tasks = 10;
  job.chunk_size = 4;
  job.chunks[0].record.start(0, 1, "i-1");
  job.chunks[1].record.start(1, 3, "i-2");  // task 5
  const auto chunks = rechunk(job, 3);
  ASSERT_EQ(chunks.size(), 2u);
  EXPECT_EQ(chunks.at(0).next, 1u);
  EXPECT_EQ(chunks.at(1).next, 3u);  // tasks 3 and 4 are waiting, task 5 is live
  EXPECT_EQ(chunks.at(1).waiting.size(), 2u);
  EXPECT_EQ(chunks.at(1).waiting[0].attempt, 0u);
  ASSERT_EQ(chunks.at(1).live.size(), 1u);
  EXPECT_EQ(chunks.at(1).live[0].index, 2u);
}

}  // namespace
}  // namespace damsonport
