// Tests of gangs.hpp: the action for a gang depending on its status, and the attempt numbers of
// gangs.
#include "coordination/scheduling/gangs.hpp"

#include <gtest/gtest.h>

namespace damsonport {
namespace {

constexpr double replacement_timeout_s = 20;

GangStatus status_of(uint32_t live, uint32_t done = 0) {
  GangStatus gang;
  gang.tasks = 4;
  gang.live = live;
  gang.done = done;
  return gang;
}

TEST(GangAction, StartsWhenNoTaskIsLive) {
  EXPECT_EQ(gang_action(status_of(0), replacement_timeout_s), GangAction::start);
  EXPECT_EQ(gang_action(status_of(4), replacement_timeout_s), GangAction::none);
  EXPECT_EQ(gang_action(status_of(0, 4), replacement_timeout_s), GangAction::none);
  // Without a live task, the missing task of a gang is started even if the others are done. While a
  // task is live, the gang is done and the live task is about to report it.
  EXPECT_EQ(gang_action(status_of(0, 3), replacement_timeout_s), GangAction::start);
  EXPECT_EQ(gang_action(status_of(1, 2), replacement_timeout_s), GangAction::none);
}

TEST(GangAction, MissingTaskIsReplacedUntilTheGangRuns) {
  auto gang = status_of(3);
  EXPECT_EQ(gang_action(gang, replacement_timeout_s), GangAction::replace_missing);
  gang.incomplete_s = replacement_timeout_s;
  EXPECT_EQ(gang_action(gang, replacement_timeout_s), GangAction::abandon);
  gang = status_of(3);
  gang.has_run = true;
  EXPECT_EQ(gang_action(gang, replacement_timeout_s), GangAction::abandon);
  gang = status_of(3);
  gang.stopping = true;
  EXPECT_EQ(gang_action(gang, replacement_timeout_s), GangAction::abandon);
}

TEST(GangAction, BrokenAttemptIsAbandoned) {
  auto gang = status_of(4);
  gang.broken = true;
  EXPECT_EQ(gang_action(gang, replacement_timeout_s), GangAction::abandon);
}

Job make_gang_job(uint32_t tasks, uint32_t chunk_size) {
  Job job;
  job.spec.kind = JobKind::gang;
  job.spec.tasks = tasks;
  job.chunk_size = chunk_size;
  return job;
}

TEST(GangAttempt, MissingTaskJoinsTheAttemptOfLiveTasks) {
  auto gang = make_gang_job(4, 2);
  EXPECT_EQ(next_attempt(gang, gang_range(gang.spec, 0)), 1u);
  auto& first = gang.chunks[0].record;
  first.start(0, 1, "i-1");
  first.start(1, 1, "i-2");
  // After a partial start, or with a task missing, the other tasks start under the same attempt.
  EXPECT_EQ(live_attempt(gang, gang_range(gang.spec, 0)), 1u);
  EXPECT_EQ(next_attempt(gang, gang_range(gang.spec, 0)), 1u);
  first.end_attempt(0, TaskEnd::restart);
  EXPECT_EQ(next_attempt(gang, gang_range(gang.spec, 0)), 1u);
  first.end_attempt(1, TaskEnd::restart);
  EXPECT_EQ(live_attempt(gang, gang_range(gang.spec, 0)), 0u);
  EXPECT_EQ(next_attempt(gang, gang_range(gang.spec, 0)), 2u);
  // An older version counted attempts per task: the next attempt exceeds the highest one of any
  // task.
  gang.chunks[1].record.start(0, 7, "i-1");
  gang.chunks[1].record.end_attempt(0, TaskEnd::restart);
  EXPECT_EQ(next_attempt(gang, gang_range(gang.spec, 0)), 8u);
}

}  // namespace
}  // namespace damsonport
