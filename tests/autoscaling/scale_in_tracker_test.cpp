/// Progress of machine returns: transitions between the states, effects of heartbeats and return
/// calls, and tombstones that are written after an outage of the key-value store.
#include "coordination/autoscaling/scale_in_tracker.hpp"

#include <gtest/gtest.h>

namespace damsonport {
namespace {

using Selection = ScaleInTracker::Selection;
using Machines = std::vector<std::string>;

TEST(ScaleInTracker, RequestsMachineOnce) {
  ScaleInTracker tracker;
  EXPECT_FALSE(tracker.is_requested("i-1"));
  EXPECT_TRUE(tracker.request("i-1", ScaleInCause::policy));
  EXPECT_FALSE(tracker.request("i-1", ScaleInCause::policy));
  EXPECT_TRUE(tracker.is_requested("i-1"));
  EXPECT_FALSE(tracker.is_returned("i-1"));
}

TEST(ScaleInTracker, ListsRequestedMachinesInOrderOfIds) {
  ScaleInTracker tracker;
  for (auto* machine : {"i-3", "i-1", "i-2"}) tracker.request(machine, ScaleInCause::policy);
  EXPECT_EQ(tracker.ready_for_return(Selection::all), (Machines{"i-1", "i-2", "i-3"}));
}

TEST(ScaleInTracker, MachineIsNotReadyWhileReturnCallIsInFlight) {
  ScaleInTracker tracker;
  tracker.request("i-1", ScaleInCause::policy);
  tracker.begin_return_call("i-1");
  EXPECT_EQ(tracker.ready_for_return(Selection::all), Machines{});
  EXPECT_TRUE(tracker.is_requested("i-1"));
  tracker.end_return_call("i-1");
  EXPECT_EQ(tracker.ready_for_return(Selection::all), Machines{"i-1"});
}

TEST(ScaleInTracker, ReturnedMachineIsNeverRequestedAgain) {
  ScaleInTracker tracker;
  tracker.request("i-1", ScaleInCause::policy);
  EXPECT_FALSE(tracker.confirm_return("i-1"));
  EXPECT_TRUE(tracker.is_returned("i-1"));
  EXPECT_FALSE(tracker.is_requested("i-1"));
  EXPECT_FALSE(tracker.request("i-1", ScaleInCause::policy));
  EXPECT_EQ(tracker.ready_for_return(Selection::all), Machines{});
}

TEST(ScaleInTracker, HeartbeatBeforeTombstoneRetainsDeadMachine) {
  ScaleInTracker tracker;
  tracker.request("i-1", ScaleInCause::declared_dead);
  EXPECT_TRUE(tracker.is_declared_dead("i-1"));
  EXPECT_TRUE(tracker.note_heartbeat("i-1", false));
  EXPECT_FALSE(tracker.is_declared_dead("i-1"));
  EXPECT_FALSE(tracker.is_requested("i-1"));
  EXPECT_TRUE(tracker.request("i-1", ScaleInCause::policy));
}

TEST(ScaleInTracker, HeartbeatAfterTombstoneDoesNotRetainDeadMachine) {
  ScaleInTracker tracker;
  tracker.request("i-1", ScaleInCause::declared_dead);
  EXPECT_FALSE(tracker.note_heartbeat("i-1", true));
  EXPECT_FALSE(tracker.is_declared_dead("i-1"));
  EXPECT_TRUE(tracker.is_requested("i-1"));
}

TEST(ScaleInTracker, HeartbeatDoesNotRetainMachineRequestedForOtherCause) {
  ScaleInTracker tracker;
  tracker.request("i-1", ScaleInCause::policy);
  EXPECT_FALSE(tracker.note_heartbeat("i-1", false));
  EXPECT_TRUE(tracker.is_requested("i-1"));
}

TEST(ScaleInTracker, HeartbeatDuringCallRetainsMachineWithoutSecondCall) {
  ScaleInTracker tracker;
  tracker.request("i-1", ScaleInCause::declared_dead);
  tracker.begin_return_call("i-1");
  EXPECT_TRUE(tracker.note_heartbeat("i-1", false));
  tracker.request("i-1", ScaleInCause::policy);
  EXPECT_EQ(tracker.ready_for_return(Selection::all), Machines{});
  tracker.end_return_call("i-1");
  EXPECT_EQ(tracker.ready_for_return(Selection::all), Machines{"i-1"});
}

TEST(ScaleInTracker, ConfirmReturnReportsWhetherMachineWasDeclaredDead) {
  ScaleInTracker tracker;
  tracker.request("i-1", ScaleInCause::declared_dead);
  EXPECT_TRUE(tracker.confirm_return("i-1"));
  EXPECT_FALSE(tracker.is_declared_dead("i-1"));
}

TEST(ScaleInTracker, SelectsOnlyMachinesWithCancelledTasks) {
  ScaleInTracker tracker;
  tracker.request("i-1", ScaleInCause::policy);
  tracker.request("i-2", ScaleInCause::policy);
  EXPECT_FALSE(tracker.any_keeps_cancelled_task());
  EXPECT_FALSE(tracker.request("i-2", ScaleInCause::keeps_cancelled_task));
  EXPECT_FALSE(tracker.request("i-2", ScaleInCause::keeps_cancelled_task));
  EXPECT_TRUE(tracker.keeps_cancelled_task("i-2"));
  EXPECT_EQ(tracker.ready_for_return(Selection::only_with_cancelled_task), Machines{"i-2"});
  tracker.confirm_return("i-2");
  EXPECT_FALSE(tracker.any_keeps_cancelled_task());
}

TEST(ScaleInTracker, ListsDeferredTombstonesUntilWritten) {
  ScaleInTracker tracker;
  for (auto* machine : {"i-3", "i-1", "i-2"}) {
    tracker.request(machine, ScaleInCause::keeps_cancelled_task);
    tracker.defer_tombstone(machine);
    tracker.defer_tombstone(machine);  // repeated after a failed return call
    tracker.confirm_return(machine);
  }
  EXPECT_EQ(tracker.awaiting_tombstone(2), (Machines{"i-1", "i-2"}));
  tracker.note_tombstone_written("i-1");
  tracker.note_tombstone_written("i-1");
  EXPECT_EQ(tracker.awaiting_tombstone(2), (Machines{"i-2", "i-3"}));
  EXPECT_TRUE(tracker.is_returned("i-1"));
}

TEST(ScaleInTracker, ClearRemovesAllRecords) {
  ScaleInTracker tracker;
  tracker.request("i-1", ScaleInCause::keeps_cancelled_task);
  tracker.request("i-2", ScaleInCause::policy);
  tracker.defer_tombstone("i-1");
  tracker.confirm_return("i-2");
  tracker.clear();
  EXPECT_FALSE(tracker.any_keeps_cancelled_task());
  EXPECT_FALSE(tracker.is_returned("i-2"));
  EXPECT_EQ(tracker.ready_for_return(Selection::all), Machines{});
  EXPECT_EQ(tracker.awaiting_tombstone(9), Machines{});
}

}  // namespace
}  // namespace damsonport
