/// Tests of FailureDetector: suspected machines, dead machines and unreachable zones.
#include "coordination/machines/failure_detector.hpp"

#include <gtest/gtest.h>

namespace damsonport {
namespace {

class FailureDetectorTest : public testing::Test {
 protected:
  FailureDetectorTest() {
    settings_.heartbeat_interval_s = 10;
    settings_.lease_s = 40;
    facts_.has_tombstone = [](auto&) { return false; };
    facts_.is_leaving = [this](auto& id) { return leaving_.contains(id); };
    facts_.has_assignments = [this](auto& id) { return assigned_.contains(id); };
    detector_.begin_lease(0);
  }

  // Adds a machine of this zone with its last heartbeat at this time.
  Machine& add(const std::string& id, double last_heartbeat_at, const std::string& zone = "a") {
    Machine& machine = machines_[id];
    machine.id = id;
    machine.zone = zone;
    machine.agent_epoch = 1;
    machine.last_heartbeat_at = last_heartbeat_at;
    return machine;
  }
  // The ids of the machines that are declared dead.
  std::vector<std::string> dead(double now) {
    std::vector<std::string> ids;
    for (auto& suspected : detector_.detect(machines_, facts_, now))
      if (suspected.is_dead) ids.push_back(suspected.id);
    return ids;
  }
  // Seconds without a heartbeat after which a machine is certainly dead, unless in a mass outage.
  double sure_timeout_s() const { return settings_.lease_s * 2; }

  Settings settings_;
  FailureDetector detector_{settings_};
  std::map<std::string, Machine> machines_;
  std::set<std::string> leaving_, assigned_;
  FailureDetector::FleetFacts facts_;
};

TEST_F(FailureDetectorTest, AMachineIsSuspectedAfterTheTimeout) {
  const Machine& machine = add("i-1", 100);
  const double timeout_s = detector_.suspect_after_s();
  EXPECT_FALSE(detector_.is_suspected(machine, 100 + timeout_s * 0.99));
  EXPECT_TRUE(detector_.is_suspected(machine, 100 + timeout_s * 1.01));
}

TEST_F(FailureDetectorTest, MissedHeartbeatsAreCountedFromTheBeginningOfTheLease) {
  const Machine& machine = add("i-1", 100);
  detector_.begin_lease(500);
  EXPECT_DOUBLE_EQ(detector_.since_last_heartbeat_s(machine, 501), 1);
}

TEST_F(FailureDetectorTest, TimeInWhichTheProcessWasStalledIsNotCounted) {
  const Machine& machine = add("i-1", 100);
  detector_.note_tick(100, 1);
  detector_.note_tick(102, 1);  // late, but within the limit for a stall
  EXPECT_DOUBLE_EQ(detector_.since_last_heartbeat_s(machine, 102), 2);
  detector_.note_tick(106, 1);
  EXPECT_DOUBLE_EQ(detector_.since_last_heartbeat_s(machine, 107), 1);
}

TEST_F(FailureDetectorTest, OnlyTheMachineWithoutHeartbeatsIsDeclaredDead) {
  for (auto* id : {"i-1", "i-2", "i-3"}) add(id, 100 + sure_timeout_s());
  add("i-2", 100);
  EXPECT_EQ(dead(100 + sure_timeout_s()), std::vector<std::string>{"i-2"});
}

TEST_F(FailureDetectorTest, AMachineThatRespondsToRequestsIsNotDeclaredDead) {
  add("i-1", 100).last_direct_response_at = 100 + sure_timeout_s();
  auto suspected = detector_.detect(machines_, facts_, 100 + sure_timeout_s());
  ASSERT_EQ(suspected.size(), 1U);
  EXPECT_FALSE(suspected[0].is_dead);
}

TEST_F(FailureDetectorTest, LeavingMachinesAreNotExamined) {
  add("i-1", 100);
  leaving_.insert("i-1");
  EXPECT_TRUE(detector_.detect(machines_, facts_, 100 + sure_timeout_s()).empty());
}

TEST_F(FailureDetectorTest, NoMachineIsDeclaredDeadDuringAMassOutage) {
  for (auto* id : {"i-1", "i-2", "i-3", "i-4"}) add(id, 100);
  EXPECT_TRUE(dead(100 + sure_timeout_s()).empty());
  EXPECT_EQ(dead(100 + settings_.lease_s * 3.1).size(), 4U);
}

TEST_F(FailureDetectorTest, AMachineWithoutFirstHeartbeatGetsMoreTimePerUnreachableController) {
  Machine& machine = add("i-1", 100);
  machine.agent_epoch = 0;
  assigned_.insert("i-1");
  EXPECT_FALSE(dead(100 + sure_timeout_s()).empty());
  facts_.unreachable_peers = 1 + static_cast<int>(sure_timeout_s());
  EXPECT_TRUE(dead(100 + sure_timeout_s()).empty());
}

TEST_F(FailureDetectorTest, AZoneWithoutHeartbeatsIsUnreachableBeforeItsMachinesAreSuspected) {
  const double now = 100 + detector_.suspect_after_s() * 0.9;
  for (int i = 0; i < 40; ++i) {
    add("a-" + std::to_string(i), 100, "a");
    add("b-" + std::to_string(i), now, "b");
  }
  EXPECT_FALSE(detector_.is_suspected(machines_.at("a-0"), now));
  EXPECT_EQ(detector_.unreachable_zones(machines_, now), std::set<std::string>{"a"});
}

TEST_F(FailureDetectorTest, OneMachineWithHeartbeatsKeepsItsZoneReachable) {
  const double now = 100 + detector_.suspect_after_s() * 0.9;
  for (int i = 0; i < 40; ++i) add("a-" + std::to_string(i), 100, "a");
  add("a-0", now, "a");
  EXPECT_TRUE(detector_.unreachable_zones(machines_, now).empty());
}

}  // namespace
}  // namespace damsonport
