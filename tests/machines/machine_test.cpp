#include "coordination/machines/machine.hpp"

#include <gtest/gtest.h>

namespace damsonport {
namespace {

constexpr double worker_lease_s = 12;
constexpr double margin_s = 1.5;

Machine unanswering_since(double time) {
  Machine machine;
  machine.failed_sends = Machine::max_failed_sends;
  machine.unanswered_since = time;
  return machine;
}

TEST(MachineReceivesResponses, OnceItsEpochHasOutlivedALeaseSinceTheFirstFailure) {
  Machine machine = unanswering_since(100);
  machine.tasks_as_of = 113;
  EXPECT_FALSE(machine.receives_responses(worker_lease_s, margin_s));
  machine.tasks_as_of = 114;
  EXPECT_TRUE(machine.receives_responses(worker_lease_s, margin_s));
}

// An agent without responses starts an epoch once a lease.
TEST(MachineReceivesResponses, NotWhileItsAgentRestarts) {
  Machine machine = unanswering_since(100);
  machine.agent_epoch_changed_at = 108;
  machine.tasks_as_of = 119;
  EXPECT_FALSE(machine.receives_responses(worker_lease_s, margin_s));
}

// The heartbeats of a machine whose connections are new may have been held up for long.
TEST(MachineReceivesResponses, NotByHeartbeatsOfUnknownAge) {
  Machine machine = unanswering_since(100);
  machine.last_heartbeat_at = 200;
  EXPECT_FALSE(machine.receives_responses(worker_lease_s, margin_s));
}

}  // namespace
}  // namespace damsonport
