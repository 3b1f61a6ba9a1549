// Unit tests of the scheduler's components: resources, queue order, hard constraints, cycle state,
// scores and equivalence classes.
#include <gtest/gtest.h>

#include "coordination/scheduling/cycle_state.hpp"
#include "coordination/scheduling/equivalence_class.hpp"
#include "coordination/scheduling/feasibility.hpp"
#include "coordination/scheduling/queue_order.hpp"
#include "coordination/scheduling/resources.hpp"
#include "coordination/scheduling/scoring.hpp"

namespace damsonport::scheduling {
namespace {

/// A snapshot with one team and two machines of 8 CPUs each: m0 in zone a and m1 in zone b.
struct Fleet {
  SchedulerSnapshot snapshot;

  Fleet() {
    snapshot.teams.push_back({"team", {}, {}});
    for (const char* zone : {"a", "b"}) {
      MachineSnapshot machine;
      machine.zone = snapshot.zones.id(zone);
      machine.total = {8, 0, 64};
      machine.free = machine.total;
      snapshot.machines.push_back(machine);
    }
  }

  JobSnapshot& add_job(const std::string& id) {
    JobSnapshot job;
    job.id = id;
    job.team = 0;
    job.need = {2, 0, 4};
    job.pending_tasks = 1;
    job.unfinished_tasks = 1;
    snapshot.jobs.push_back(job);
    return snapshot.jobs.back();
  }

  void add_live_task(JobIndex job, MachineIndex machine) {
    RunningTaskSnapshot task;
    task.job = job;
    snapshot.machines[machine].running_tasks.push_back(task);
    snapshot.machines[machine].free -= snapshot.jobs[job].need;
  }
};

const JobIndex first_job{0};
const JobIndex second_job{1};
const MachineIndex m0{0};
const MachineIndex m1{1};

TEST(Resources, RoundingErrorsAreToleratedInFits) {
  const Resources sum = Resources{0.1, 0, 0} + Resources{0.2, 0, 0};
  EXPECT_TRUE(sum.fits({0.3, 0, 0}));
  EXPECT_FALSE(sum.fits({0.29, 0, 0}));
  EXPECT_FALSE((Resources{1, 1, 0}).fits({1, 0, 0}));
}

TEST(Resources, CountIsLimitedByTheScarcestResource) {
  EXPECT_EQ(count_fitting({2, 1, 4}, {8, 3, 64}), 3u);
  EXPECT_EQ(count_fitting({0.1, 0, 0}, {0.3, 0, 0}), 3u);
  EXPECT_EQ(count_fitting({2, 0, 0}, {-2, 0, 0}), 0u);
}

TEST(QueueOrder, SortsByPriorityThenGuaranteeThenAge) {
  Fleet fleet;
  fleet.snapshot.teams.push_back({"guaranteed", {4, 0, 0}, {}});
  fleet.add_job("old").accepted_at = 1;
  fleet.add_job("young").accepted_at = 2;
  fleet.add_job("urgent").priority = urgent_priority;
  JobSnapshot& guaranteed = fleet.add_job("guaranteed");
  guaranteed.team = 1;
  guaranteed.accepted_at = 3;
  fleet.add_job("cancelled").cancelled = true;
  fleet.add_job("running").pending_tasks = 0;
  const QueueOrder queue(fleet.snapshot);
  std::vector<std::string> order;
  for (const JobIndex job : queue.pending_jobs()) order.push_back(fleet.snapshot.jobs[job].id);
  EXPECT_EQ(order, (std::vector<std::string>{"urgent", "guaranteed", "old", "young"}));
}

TEST(QueueOrder, GuaranteeIsAllottedInOrderOfAcceptance) {
  Fleet fleet;
  fleet.snapshot.teams[0].guaranteed = {3, 0, 0};
  fleet.add_job("young").accepted_at = 2;
  fleet.add_job("old").accepted_at = 1;
  const QueueOrder queue(fleet.snapshot);
  EXPECT_FALSE(queue.within_guarantee(first_job));
  EXPECT_TRUE(queue.within_guarantee(second_job));
}

TEST(QueueOrder, FaultyJobComesLast) {
  Fleet fleet;
  JobSnapshot& faulty = fleet.add_job("faulty");
  faulty.faulty = true;
  faulty.priority = urgent_priority;
  fleet.add_job("sound");
  const QueueOrder queue(fleet.snapshot);
  EXPECT_EQ(queue.pending_jobs(), (std::vector<JobIndex>{second_job, first_job}));
}

TEST(Feasibility, QuotaLimitCountsRunningTasks) {
  Fleet fleet;
  fleet.snapshot.teams[0].limit = {6, 0, 0};
  fleet.add_job("job");
  fleet.add_live_task(first_job, m0);
  const QueueOrder queue(fleet.snapshot);
  const CycleState state(fleet.snapshot, queue);
  const Feasibility feasibility(fleet.snapshot, state);
  EXPECT_TRUE(feasibility.quota_allows(first_job, 2));
  EXPECT_FALSE(feasibility.quota_allows(first_job, 3));
}

TEST(Feasibility, JobWithoutTeamNeverStarts) {
  Fleet fleet;
  fleet.add_job("job").team.reset();
  const QueueOrder queue(fleet.snapshot);
  const CycleState state(fleet.snapshot, queue);
  EXPECT_FALSE(Feasibility(fleet.snapshot, state).quota_allows(first_job, 1));
}

TEST(Feasibility, SpreadLimitsAZoneToHalfOfTheTasks) {
  Fleet fleet;
  JobSnapshot& job = fleet.add_job("job");
  job.spread = true;
  job.tasks = 3;
  job.pending_tasks = 2;
  fleet.add_live_task(first_job, m0);
  const QueueOrder queue(fleet.snapshot);
  CycleState state(fleet.snapshot, queue);
  const Feasibility feasibility(fleet.snapshot, state);
  EXPECT_EQ(feasibility.zone_allowance(first_job, fleet.snapshot.zones.id("a")), 1u);
  EXPECT_EQ(feasibility.zone_allowance(first_job, fleet.snapshot.zones.id("b")), 2u);
  state.begin_job(first_job);
  state.add_task(first_job, m0);
  EXPECT_FALSE(feasibility.is_feasible(first_job, m0));
  EXPECT_TRUE(feasibility.is_feasible(first_job, m1));
}

TEST(Feasibility, MachineConstraintsHold) {
  Fleet fleet;
  fleet.add_job("job");
  const QueueOrder queue(fleet.snapshot);
  const CycleState state(fleet.snapshot, queue);
  const Feasibility feasibility(fleet.snapshot, state);
  MachineSnapshot& machine = fleet.snapshot.machines[m0];
  EXPECT_TRUE(feasibility.is_feasible(first_job, m0));
  machine.spot = true;
  EXPECT_FALSE(feasibility.is_feasible(first_job, m0));
  machine.spot = false;
  machine.schedulable = false;
  EXPECT_FALSE(feasibility.is_feasible(first_job, m0));
  machine.schedulable = true;
  machine.failed_jobs = {"job"};
  EXPECT_FALSE(feasibility.is_feasible(first_job, m0));
}

TEST(CycleState, RestoreUndoesAReservation) {
  Fleet fleet;
  fleet.add_job("job");
  const QueueOrder queue(fleet.snapshot);
  CycleState state(fleet.snapshot, queue);
  state.begin_job(first_job);
  CycleState::Checkpoint checkpoint = state.checkpoint(first_job);
  state.allocate_freeing(first_job, m0);
  EXPECT_EQ(state.ledger.free[m0].cpus, 6);
  EXPECT_EQ(state.ledger.team_usage[0].cpus, 2);
  EXPECT_EQ(state.placement_count(first_job).machines.size(), 1u);
  state.restore(first_job, std::move(checkpoint));
  EXPECT_EQ(state.ledger.free[m0].cpus, 8);
  EXPECT_EQ(state.ledger.team_usage[0].cpus, 0);
  EXPECT_TRUE(state.placement_count(first_job).machines.empty());
}

TEST(CycleState, FreeCapacityIsTakenBeforeFreeingCapacity) {
  Fleet fleet;
  fleet.add_job("job");
  fleet.snapshot.machines[m0].free.cpus = 1.5;
  const QueueOrder queue(fleet.snapshot);
  CycleState state(fleet.snapshot, queue);
  state.begin_job(first_job);
  state.ledger.freeing[m0] = {4, 0, 0};
  state.allocate_freeing(first_job, m0);
  EXPECT_EQ(state.ledger.free[m0].cpus, 0);
  EXPECT_EQ(state.ledger.freeing[m0].cpus, 3.5);
}

TEST(Scoring, MissProbabilityRisesWithFetchTime) {
  EXPECT_EQ(miss_probability(5, 10), 0);
  EXPECT_DOUBLE_EQ(miss_probability(10, 10), 0.5);
  EXPECT_EQ(miss_probability(20, 10), 1);
  EXPECT_EQ(miss_probability(20, 0), 0) << "a job without an objective can't miss it";
}

TEST(Scoring, CachedImageScoresBetterThanAFetch) {
  Fleet fleet;
  JobSnapshot& job = fleet.add_job("job");
  job.image = fleet.snapshot.images.id("image");
  job.image_gb = 10;
  fleet.snapshot.machines[m1].images = {job.image};
  const QueueOrder queue(fleet.snapshot);
  const CycleState state(fleet.snapshot, queue);
  const Scorer scorer(fleet.snapshot, state);
  const Resources free = fleet.snapshot.machines[m0].free;
  EXPECT_EQ(scorer.score(first_job, m0, free) - scorer.score(first_job, m1, free), 10);
}

TEST(EquivalenceClass, LargerNeedWithSameConstraintsIsKnownUnschedulable) {
  Fleet fleet;
  fleet.add_job("small");
  fleet.add_job("large").need = {4, 0, 4};
  UnschedulableClasses classes(fleet.snapshot);
  classes.mark_unschedulable(fleet.snapshot.jobs[first_job]);
  EXPECT_TRUE(classes.is_known_unschedulable(fleet.snapshot.jobs[second_job]));
  fleet.snapshot.jobs[second_job].spot = true;
  EXPECT_FALSE(classes.is_known_unschedulable(fleet.snapshot.jobs[second_job]));
}

TEST(EquivalenceClass, SpreadJobDoesNotRepresentAClass) {
  Fleet fleet;
  fleet.add_job("job").spread = true;
  UnschedulableClasses classes(fleet.snapshot);
  classes.mark_unschedulable(fleet.snapshot.jobs[first_job]);
  EXPECT_FALSE(classes.is_known_unschedulable(fleet.snapshot.jobs[first_job]));
}

}  // namespace
}  // namespace damsonport::scheduling
