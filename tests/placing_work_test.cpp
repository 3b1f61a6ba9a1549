// Bounds the work of one placing pass by counting, on a fleet half as large again as the largest
// deployment.
#include <gtest/gtest.h>

#include "coordination/autoscaling/autoscaler.hpp"
#include "coordination/scheduling/scheduler.hpp"

namespace damsonport::scheduling {
namespace {

constexpr size_t machines = 1800, jobs = 2500;

// A full fleet: every machine runs replicas that nothing may stop.
SchedulerSnapshot full_fleet() {
  SchedulerSnapshot in;
  in.teams.push_back({"t", {}, {}});
  JobSnapshot standing;
  standing.id = "run-standing", standing.team = 0, standing.service = true;
  standing.priority = 3, standing.need = {8, 1, 30};
  in.jobs.push_back(standing);
  for (size_t i = 0; i < machines; ++i) {
    MachineSnapshot m;
    m.id = "i-" + std::to_string(i), m.type = in.types.id("g"), m.zone = in.zones.id("a");
    m.total = {64, 8, 512};
    for (uint32_t n = 0; n < 8; ++n) {
      RunningTaskSnapshot l;
      l.index = static_cast<uint32_t>(i) * 8 + n;
      m.live.push_back(l);
    }
    in.machines.push_back(m);
  }
  return in;
}

void add_waiting(SchedulerSnapshot& in, size_t count, uint32_t tasks) {
  for (size_t i = 0; i < count; ++i) {
    JobSnapshot j;
    j.id = "run-" + std::to_string(i), j.team = 0, j.priority = 1;
    j.need = {4, 1, 12}, j.tasks = j.waiting = j.unfinished = tasks;
    j.accepted_at = static_cast<double>(i);
    in.jobs.push_back(j);
  }
}

// What the first of its kind has shown isn't looked for again by the others.
TEST(PlacingWork, LikeJobsAreRefusedAsAClass) {
  auto in = full_fleet();
  add_waiting(in, jobs, 60);
  auto out = place(in);
  EXPECT_TRUE(out.starts.empty());
  EXPECT_TRUE(out.stops.empty());
  ASSERT_EQ(out.unschedulable.size(), jobs);
  // The first of them looked at every machine.
  EXPECT_LE(out.examined, machines);
}

// What may stop the tasks of others is decided as a class too, when nothing can be stopped for it.
TEST(PlacingWork, LikeJobsThatMayStopOthersAreRefusedAsAClass) {
  auto in = full_fleet();
  in.jobs[0].priority = 0;
  add_waiting(in, jobs, 60);
  for (size_t i = 1; i < in.jobs.size(); ++i) in.jobs[i].need = {60, 8, 513};
  auto out = place(in);
  EXPECT_TRUE(out.stops.empty());
  // For free room, then for what may be stopped without and with standing replicas.
  EXPECT_LE(out.examined, 3 * machines);
}

// The machines are looked at once a job, whatever number of its tasks starts.
TEST(PlacingWork, AJobCostsOneLookAtTheFleet) {
  auto in = full_fleet();
  for (auto& m : in.machines) m.live.clear(), m.free = m.total;
  add_waiting(in, 40, 60);
  auto out = place(in);
  EXPECT_EQ(out.starts.size(), 40u * 60u);
  EXPECT_LE(out.examined, machines * 40 + out.starts.size());
}

// A smaller task may still fit where a larger one did not.
TEST(PlacingWork, WhatNeedsLessIsLookedForAllTheSame) {
  auto in = full_fleet();
  in.machines[7].free = {4, 1, 12};
  add_waiting(in, 2, 1);
  in.jobs[1].need = {40, 1, 12};
  auto out = place(in);
  ASSERT_EQ(out.starts.size(), 1u);
  EXPECT_EQ(out.starts[0].job, 2u);
  EXPECT_EQ(out.starts[0].machine, 7u);
}

// What the cloud is asked for is worked out for the like at once: an array of as many tasks as a
// job may have, in a fleet of the largest size, of whose machines a quarter may be rented anew.
TEST(SizingWork, GrowsWithTheRoomsAndNotWithTheTasksTimesRooms) {
  constexpr size_t fleet = 6000, tasks = 100000, kinds = 8;
  autoscaling::AutoscalerInput in;
  for (size_t k = 0; k < kinds; ++k) {
    MachineType type;
    type.name = "g" + std::to_string(k), type.cpus = 96, type.gpus = 8, type.memory_gb = 768;
    type.price = 1 + static_cast<double>(k), type.zones = {"a"};
    in.types.push_back(type);
    in.offers.push_back({type.name, "a"});
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
  // Each of the rented is looked at for each demand, and each machine of the fleet once.
  EXPECT_LT(plan.examined, fleet * 3);
}

// Many small jobs that may use spot machines, in a large fleet: full rooms are looked at once.
TEST(SizingWork, SpotWorkGrowsWithTheRoomsAndNotWithTheJobsTimesRooms) {
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
