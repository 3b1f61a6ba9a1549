// Guards against scheduling cycles and autoscaling plans whose cost grows with jobs or tasks times
// machines. The cost is measured in examined machines. The scheduling cycles run on a fleet of 1.5
// times the size of the largest deployment.
#include <gtest/gtest.h>

#include "coordination/autoscaling/autoscaler.hpp"
#include "coordination/scheduling/scheduler.hpp"

namespace damsonport::scheduling {
namespace {

constexpr size_t machines = 1800, jobs = 2500;

// All machines are full of replicas that no other job may preempt.
SchedulerSnapshot full_fleet() {
  SchedulerSnapshot snapshot;
  snapshot.teams.push_back({"t", {}, {}});
  JobSnapshot service;
  service.id = "run-standing";
  service.team = 0;
  service.service = true;
  service.priority = 3;
  service.need = {8, 1, 30};
  snapshot.jobs.push_back(service);
  for (size_t i = 0; i < machines; ++i) {
    MachineSnapshot machine;
    machine.id = "i-" + std::to_string(i);
    machine.type = snapshot.types.id("g");
    machine.zone = snapshot.zones.id("a");
    machine.total = {64, 8, 512};
    for (uint32_t n = 0; n < 8; ++n) {
      RunningTaskSnapshot task;
      task.index = static_cast<uint32_t>(i) * 8 + n;
      machine.running_tasks.push_back(task);
    }
    snapshot.machines.push_back(machine);
  }
  return snapshot;
}

void add_pending_jobs(SchedulerSnapshot& snapshot, size_t count, uint32_t tasks) {
  for (size_t i = 0; i < count; ++i) {
    JobSnapshot job;
    job.id = "run-" + std::to_string(i);
    job.team = 0;
    job.priority = 1;
    job.need = {4, 1, 12};
    job.tasks = tasks;
    job.pending_tasks = tasks;
    job.unfinished_tasks = tasks;
    job.accepted_at = static_cast<double>(i);
    snapshot.jobs.push_back(job);
  }
}

// The search for free capacity for the first job of an equivalence class also covers the other
// jobs.
TEST(SchedulingCost, EquivalentUnschedulableJobsExamineTheFleetOnce) {
  auto in = full_fleet();
  add_pending_jobs(in, jobs, 60);
  auto out = schedule(in);
  EXPECT_TRUE(out.placements.empty());
  EXPECT_TRUE(out.preemptions.empty());
  ASSERT_EQ(out.unschedulable.size(), jobs);
  // Only the search for the first job examines the machines.
  EXPECT_LE(out.machines_examined, machines);
}

// A search for victims that finds none also covers the whole equivalence class.
TEST(SchedulingCost, EquivalentJobsWithoutVictimsExamineTheFleetThreeTimes) {
  auto in = full_fleet();
  in.jobs[0].priority = 0;
  add_pending_jobs(in, jobs, 60);
  for (size_t i = 1; i < in.jobs.size(); ++i) in.jobs[i].need = {60, 8, 513};
  auto out = schedule(in);
  EXPECT_TRUE(out.preemptions.empty());
  // Three searches: for free capacity, for preemption except of urgent services, and for preemption
  // of any task.
  EXPECT_LE(out.machines_examined, 3 * machines);
}

// The machines are examined once per job, regardless of the number of tasks that start.
TEST(SchedulingCost, JobExaminesTheFleetOnceForAllItsTasks) {
  auto in = full_fleet();
  for (auto& machine : in.machines) {
    machine.running_tasks.clear();
    machine.free = machine.total;
  }
  add_pending_jobs(in, 40, 60);
  auto out = schedule(in);
  EXPECT_EQ(out.placements.size(), 40u * 60u);
  EXPECT_LE(out.machines_examined, machines * 40 + out.placements.size());
}

// A smaller task may fit where a larger one did not, so it has to be examined again.
TEST(SchedulingCost, SmallerJobIsNotInTheClassOfALargerOne) {
  auto in = full_fleet();
  in.machines[7].free = {4, 1, 12};
  add_pending_jobs(in, 2, 1);
  in.jobs[1].need = {40, 1, 12};
  auto out = schedule(in);
  ASSERT_EQ(out.placements.size(), 1u);
  EXPECT_EQ(out.placements[0].job, 2u);
  EXPECT_EQ(out.placements[0].machine, 7u);
}

// Scale-out is planned for all equal tasks at once. The test uses jobs with the maximum number of
// tasks and a fleet of the maximum size, which may grow by a quarter in one plan.
TEST(AutoscalingCost, ScaleOutGrowsWithMachinesNotWithTasksTimesMachines) {
  constexpr size_t fleet = 6000, tasks = 100000, kinds = 8;
  autoscaling::AutoscalerInput in;
  for (size_t k = 0; k < kinds; ++k) {
    MachineType type;
    type.name = "g" + std::to_string(k), type.cpus = 96, type.gpus = 8, type.memory_gb = 768;
    type.price = 1 + static_cast<double>(k), type.zones = {"a"};
    in.types.push_back(type);
    in.offers.push_back({MachineKind{type.name, "a"}});
  }
  for (size_t i = 0; i < fleet; ++i) {
    autoscaling::MachineState m;
    m.id = "i-" + std::to_string(i), m.type = "g0", m.zone = "a", m.schedulable = true;
    m.total = {96, 8, 768};
    in.machines.push_back(m);
  }
  for (int i = 0; i < 3; ++i)
    in.demand.push_back({{1, 0, 1}, static_cast<uint32_t>(tasks), {}, "", false});
  const auto plan = autoscaling::plan(in);
  int rented = 0;
  for (auto& r : plan.scale_out) rented += r.count;
  EXPECT_EQ(rented, static_cast<int>(fleet / 4));
  // Every new machine is examined once per demand, and every machine of the fleet once.
  EXPECT_LT(plan.examined, fleet * 3);
}

// Many small jobs that may use spot machines, in a large fleet: each full machine is examined once.
TEST(AutoscalingCost, SpotWorkGrowsWithMachinesNotWithJobsTimesMachines) {
  constexpr size_t fleet = 6000, spot_jobs = 2500;
  autoscaling::AutoscalerInput in;
  MachineType type;
  type.name = "g", type.cpus = 64, type.gpus = 8, type.memory_gb = 512, type.zones = {"a"};
  in.types.push_back(type);
  for (size_t i = 0; i < fleet; ++i) {
    autoscaling::MachineState m;
    m.id = "i-" + std::to_string(i), m.type = "g", m.zone = "a", m.schedulable = true,
    m.spot = i % 2 == 0;
    m.total = {64, 8, 512};
    m.has_on_demand_work = !m.spot;
    in.machines.push_back(m);
  }
  for (size_t i = 0; i < spot_jobs; ++i) in.spot_work.push_back({{5, 1, 18}, 60, {}, "", true});
  const auto plan = autoscaling::plan(in);
  EXPECT_TRUE(plan.scale_out.empty());
  EXPECT_LT(plan.examined, fleet * 3 + spot_jobs);
}

}  // namespace
}  // namespace damsonport::scheduling
