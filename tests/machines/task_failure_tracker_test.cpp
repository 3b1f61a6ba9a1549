/// Tests of TaskFailureTracker: backoff of jobs, and faulty machines.
#include "coordination/machines/task_failure_tracker.hpp"

#include <gtest/gtest.h>

namespace damsonport {
namespace {

using Ids = std::vector<std::string>;

class TaskFailureTrackerTest : public testing::Test {
 protected:
  TaskFailureTrackerTest() {
    settings_.heartbeat_interval_s = 10;
    settings_.lease_s = 40;
    for (int i = 1; i <= 8; ++i) machines_["i-" + std::to_string(i)];
  }
  // Lets two jobs fail on the machine that fail on no other machine.
  void fail_on(const std::string& machine, double now) {
    EXPECT_FALSE(tracker_.note_error("x-" + machine, machine, now));
    EXPECT_FALSE(tracker_.note_error("y-" + machine, machine, now));
  }
  TaskFailureTracker::Review review(double now) {
    return tracker_.review(
        machines_, [this](auto& id) { return return_requested_.contains(id); }, now);
  }

  Settings settings_;
  TaskFailureTracker tracker_{settings_};
  std::map<std::string, Machine> machines_;
  std::set<std::string> return_requested_;
};

TEST_F(TaskFailureTrackerTest, AJobThatFailsOnOneMachineDoesNotBackOff) {
  EXPECT_FALSE(tracker_.note_error("run", "i-1", 100));
  EXPECT_FALSE(tracker_.is_backing_off("run", 100));
}

TEST_F(TaskFailureTrackerTest, AFaultyJobBacksOffTwiceAsLongEachTimeUpToTwoLeases) {
  EXPECT_FALSE(tracker_.note_error("run", "i-1", 100));
  EXPECT_FALSE(tracker_.note_error("run", "i-2", 100));
  EXPECT_TRUE(tracker_.note_error("run", "i-3", 100));
  EXPECT_TRUE(tracker_.is_backing_off("run", 179));  // 10 s * 2^3
  EXPECT_FALSE(tracker_.is_backing_off("run", 180));
  EXPECT_TRUE(tracker_.note_error("run", "i-3", 200));
  EXPECT_TRUE(tracker_.is_backing_off("run", 279));
  EXPECT_FALSE(tracker_.is_backing_off("run", 280));
}

TEST_F(TaskFailureTrackerTest, ASuspectedJobBacksOffFromItsFirstErrorOn) {
  tracker_.suspect_job("run");
  EXPECT_TRUE(tracker_.note_error("run", "i-1", 100));
  EXPECT_TRUE(tracker_.is_backing_off("run", 119));  // 10 s * 2^1
  EXPECT_FALSE(tracker_.is_backing_off("run", 120));
}

TEST_F(TaskFailureTrackerTest, ARefusedJobBacksOffForHalfAHeartbeatInterval) {
  tracker_.note_refusal("run", 100);
  EXPECT_TRUE(tracker_.is_backing_off("run", 104));
  EXPECT_FALSE(tracker_.is_backing_off("run", 105));
}

TEST_F(TaskFailureTrackerTest, AnEndedJobIsRemoved) {
  tracker_.note_refusal("run", 100);
  tracker_.forget_job("run");
  EXPECT_FALSE(tracker_.is_backing_off("run", 101));
}

TEST_F(TaskFailureTrackerTest, AMachineOnWhichTwoHealthyJobsFailIsFaulty) {
  fail_on("i-3", 100);
  EXPECT_EQ(review(101).faulty, Ids{"i-3"});
  machines_["i-3"].draining = true;
  machines_["i-3"].faulty_since = 101;
  EXPECT_EQ(review(102).faulty, Ids{});
}

TEST_F(TaskFailureTrackerTest, AtMostAQuarterOfTheFleetIsFaultyAtOnce) {
  for (auto* machine : {"i-4", "i-1", "i-7"}) fail_on(machine, 100);
  EXPECT_EQ(review(101).faulty, (Ids{"i-1", "i-4"}));
  for (auto* machine : {"i-1", "i-4"}) {
    machines_[machine].draining = true;
    machines_[machine].faulty_since = 101;
  }
  EXPECT_EQ(review(102).faulty, Ids{});
  EXPECT_EQ(review(102).recovered, Ids{});
}

TEST_F(TaskFailureTrackerTest, AMachineRecoversOnceItsJobsFailElsewhere) {
  fail_on("i-3", 100);
  machines_["i-3"].draining = true;
  machines_["i-3"].faulty_since = 101;
  EXPECT_FALSE(tracker_.note_error("x-i-3", "i-4", 110));
  EXPECT_EQ(review(111).recovered, Ids{"i-3"});
}

TEST_F(TaskFailureTrackerTest, AMachineToBeReturnedDoesNotRecover) {
  machines_["i-3"].draining = true;
  machines_["i-3"].faulty_since = 101;
  return_requested_.insert("i-3");
  EXPECT_EQ(review(111).recovered, Ids{});
  return_requested_.clear();
  EXPECT_EQ(review(111).recovered, Ids{"i-3"});
}

}  // namespace
}  // namespace damsonport
