// Tests of GangTracker: the next action for attempts that this leader started, and for attempts
// that an earlier leader started.
#include "coordination/scheduling/gang_tracker.hpp"

#include <gtest/gtest.h>

#include "simulation/virtual_network.hpp"

namespace damsonport {
namespace {

/// Provides fixed machines; no task is stopping or has ended.
class FakeTaskStates : public TaskStateProvider {
 public:
  bool is_stopping(const PlacedTask&) const override { return false; }
  bool has_ended(const PlacedTask&) const override { return false; }
  const Machine* find_machine(const std::string& id) const override {
    auto it = machines.find(id);
    return it == machines.end() ? nullptr : &it->second;
  }
  std::map<std::string, Machine> machines;
};

/// A service with one replica of two parts.
struct Fixture {
  simulation::World world{1};
  simulation::VirtualLoop loop{world, "n0", std::seed_seq{1}, 1, 0};
  Settings settings;
  FakeTaskStates task_states;
  GangTracker tracker{loop, settings, task_states};
  Job job;
  const TaskRange replica{0, 2};

  Fixture() {
    settings.gang_wait_s = 40;
    settings.lease_s = 12;
    job.spec.id = "run-1";
    job.spec.kind = JobKind::service;
    job.spec.tasks = job.spec.parts = 2;
    job.chunk_size = 2;
    for (const char* id : {"i-1", "i-2", "i-3"}) task_states.machines[id].agent_epoch = 1;
  }
  TaskChunk& record() { return job.chunks[0].record; }
  // `by_this_leader`: false if an earlier leader started the attempt.
  void start_both_parts(uint64_t attempt, bool by_this_leader) {
    if (by_this_leader) tracker.note_attempt_started(job, replica, attempt);
    record().start(0, attempt, "i-1");
    record().start(1, attempt, "i-2");
  }
  // The exit of the second part, which has to be started again.
  void end_second_part(ExitCause cause = ExitCause::stopped) {
    const LiveTask& part = record().live.back();
    tracker.note_exit(job, replica, {part.attempt, cause, false, part.machine});
    record().end_attempt(1, TaskEnd::restart);
  }
};

TEST(GangTracker, PartLostBeforeReadinessIsReplacedInTheAttempt) {
  Fixture f;
  f.start_both_parts(1, true);
  EXPECT_EQ(f.tracker.next_action(f.job, f.replica), GangAction::none);
  f.end_second_part();
  EXPECT_EQ(f.tracker.next_action(f.job, f.replica), GangAction::replace_missing);
  EXPECT_EQ(f.tracker.count_startable(f.job, f.replica), 1u);
  f.task_states.machines["i-1"].agent_epoch = 0;
  EXPECT_EQ(f.tracker.next_action(f.job, f.replica), GangAction::none)
      << "a machine of the gang has not sent a heartbeat yet";
}

TEST(GangTracker, PartLostAfterReadinessAbandonsTheAttempt) {
  Fixture f;
  f.start_both_parts(1, true);
  f.tracker.note_running(f.job, f.replica, 1);
  f.end_second_part();
  EXPECT_EQ(f.tracker.next_action(f.job, f.replica), GangAction::abandon);
  f.record().end_attempt(0, TaskEnd::restart);
  EXPECT_EQ(f.tracker.next_action(f.job, f.replica), GangAction::start);
  EXPECT_EQ(next_attempt(f.job, f.replica), 2u);
}

TEST(GangTracker, AttemptOfAnEarlierLeaderCountsAsReady) {
  Fixture f;
  f.start_both_parts(3, false);
  EXPECT_EQ(f.tracker.next_action(f.job, f.replica), GangAction::none);
  f.tracker.note_task_missing(f.job, f.replica, 3);
  EXPECT_EQ(f.tracker.next_action(f.job, f.replica), GangAction::abandon);
}

TEST(GangTracker, PartMissingBeforeReadinessKeepsTheAttempt) {
  Fixture f;
  f.start_both_parts(1, true);
  f.tracker.note_task_missing(f.job, f.replica, 1);
  EXPECT_EQ(f.tracker.next_action(f.job, f.replica), GangAction::none);
}

// An older version starts tasks one by one and can leave parts with different attempt numbers.
TEST(GangTracker, PartsOfTwoAttemptsAreAbandoned) {
  Fixture f;
  f.record().start(0, 1, "i-1");
  f.record().start(1, 4, "i-2");
  EXPECT_TRUE(f.tracker.status(f.job, f.replica).broken);
  EXPECT_EQ(f.tracker.next_action(f.job, f.replica), GangAction::abandon);
}

// Guards against an old exit that looks like the end of a task running now.
TEST(GangTracker, AttemptIsNotPlacedAgainWhereOneOfItsTasksEnded) {
  Fixture f;
  f.start_both_parts(1, true);
  EXPECT_TRUE(f.tracker.may_place(f.job, f.replica, 1, "i-2"));
  f.end_second_part();
  EXPECT_FALSE(f.tracker.may_place(f.job, f.replica, 1, "i-2"));
  EXPECT_TRUE(f.tracker.may_place(f.job, f.replica, 1, "i-3"));
  EXPECT_TRUE(f.tracker.may_place(f.job, f.replica, 2, "i-2")) << "the next attempt";
  f.tracker.note_not_replaceable(f.job, f.replica, 1);
  EXPECT_EQ(f.tracker.next_action(f.job, f.replica), GangAction::abandon);
}

// Guards against the same after a failover: the exit was committed by an earlier leader.
TEST(GangTracker, AttemptOfAnEarlierLeaderIsNotPlacedWhereAMachineReportsItsEnd) {
  Fixture f;
  f.start_both_parts(2, false);
  EXPECT_TRUE(f.tracker.may_place(f.job, f.replica, 2, "i-3"));
  f.tracker.note_ended_on(f.job, f.replica, 1, "i-3");
  EXPECT_TRUE(f.tracker.may_place(f.job, f.replica, 2, "i-3")) << "an earlier attempt ended there";
  f.tracker.note_ended_on(f.job, f.replica, 2, "i-3");
  EXPECT_FALSE(f.tracker.may_place(f.job, f.replica, 2, "i-3"));
}

TEST(GangTracker, SecondFailureAbandonsTheAttempt) {
  Fixture f;
  f.start_both_parts(1, true);
  f.end_second_part(ExitCause::error);
  EXPECT_EQ(f.tracker.next_action(f.job, f.replica), GangAction::replace_missing);
  f.record().start(1, 1, "i-3");
  f.end_second_part(ExitCause::error);
  EXPECT_EQ(f.tracker.next_action(f.job, f.replica), GangAction::abandon);
}

}  // namespace
}  // namespace damsonport
