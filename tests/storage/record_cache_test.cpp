#include "storage/record_cache.hpp"

#include <gtest/gtest.h>

#include "transport/event_http.hpp"

namespace damsonport {
namespace {

TEST(RecordCache, OneTombstoneNamesManyMachines) {
  EventLoop loop;
  RecordCache cache(loop, 0, 50);
  cache.apply({keys::tombstone("a"), {{"machines", {"i-1", "i-2"}}}, 5, 0});
  cache.apply({keys::tombstone("b"), {{"machines", {"i-3"}}}, 6, 0});
  EXPECT_TRUE(cache.has_tombstone("i-1") && cache.has_tombstone("i-2") &&
              cache.has_tombstone("i-3"));
  EXPECT_FALSE(cache.has_tombstone("i-4"));
}

JobSpec two_task_job() {
  JobSpec spec;
  spec.id = "run-1";
  spec.job_class = "c";
  spec.team = "t";
  spec.image = "img";
  spec.tasks = 2;
  spec.cpus = 1;
  return spec;
}

// An outdated read, applied after the removal of its job, must not restore the job, even
// after many other removals.
TEST(RecordCache, StaleWriteDoesNotRestoreARemovedJob) {
  EventLoop loop;
  RecordCache cache(loop, 0, 50);
  const KeyValue outdated_read{keys::job("run-1"), encode_job(two_task_job()), 1, 0};
  cache.apply(outdated_read);
  ASSERT_NE(cache.job("run-1"), nullptr);
  for (uint64_t i = 0; i < 4095; ++i)
    cache.apply({keys::scale_out_request("r-" + std::to_string(i)), Json(), 2 + i, 0});
  cache.apply({keys::job("run-1"), Json(), 5000, 0});
  cache.apply({keys::scale_out_request("r-last"), Json(), 5001, 0});
  cache.apply(outdated_read);
  EXPECT_EQ(cache.job("run-1"), nullptr);
}

// A new version of a chunk reports only the assignments that differ, not all tasks of the chunk.
TEST(RecordCache, ReportsOnlyAssignmentsThatChanged) {
  EventLoop loop;
  RecordCache cache(loop, 0, 50);
  std::string reported;
  cache.events().on_assignment = [&](const std::string& machine, const Job&,
                                     AssignmentChange change) {
    reported += (change == AssignmentChange::added ? "+" : "-") + machine + " ";
  };
  auto value = encode_job(two_task_job());
  value["chunk"] = 10;
  cache.apply({keys::job("run-1"), value, 1, 0});
  TaskChunk chunk;
  chunk.start(0, 1, "i-1");
  cache.apply({keys::chunk("run-1", 0), encode_chunk(chunk), 2, 0});
  chunk.start(1, 1, "i-2");
  cache.apply({keys::chunk("run-1", 0), encode_chunk(chunk), 3, 0});
  chunk.end_attempt(0, TaskEnd::done);
  cache.apply({keys::chunk("run-1", 0), encode_chunk(chunk), 4, 0});
  EXPECT_EQ(reported, "+i-1 +i-2 -i-1 ");
  EXPECT_EQ(cache.job("run-1")->live, 1u);
  EXPECT_EQ(cache.job("run-1")->done, 1u);
  EXPECT_TRUE(cache.assignments_on("i-1").empty());
}

}  // namespace
}  // namespace damsonport
