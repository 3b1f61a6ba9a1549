/// Tests of proves_exit(): which forwarded exits prove that an attempt has ended.
#include <gtest/gtest.h>

#include "coordination/machines/reconcile.hpp"

namespace damsonport {
namespace {

constexpr uint64_t not_stored = 0;

ForwardedExit exit_of_epoch(uint64_t agent_epoch, ExitCause cause = ExitCause::error) {
  return {"i-1", {"run-1", 0}, 1, cause, agent_epoch};
}

Machine machine_in_epoch(uint64_t agent_epoch) {
  Machine machine;
  machine.id = "i-1";
  machine.agent_epoch = agent_epoch;
  return machine;
}

// Guards against an attempt that counts as ended although it was started again in a later epoch.
TEST(ForwardedExitProof, AnExitOfAnEarlierAgentEpochProvesNothing) {
  const Machine machine = machine_in_epoch(3);
  EXPECT_FALSE(proves_exit(exit_of_epoch(2), &machine));
  for (ExitCause cause :
       {ExitCause::stopped, ExitCause::insufficient_resources, ExitCause::other_attempt_running,
        ExitCause::not_found, ExitCause::gang_member_lost, ExitCause::gang_incomplete})
    EXPECT_FALSE(proves_exit(exit_of_epoch(2, cause), &machine));
}

TEST(ForwardedExitProof, AnExitOfTheCurrentOrALaterAgentEpochIsProof) {
  const Machine machine = machine_in_epoch(3);
  EXPECT_TRUE(proves_exit(exit_of_epoch(3), &machine));
  EXPECT_TRUE(proves_exit(exit_of_epoch(4), &machine))
      << "no start of this lease can have reached the worker in epoch 4";
}

TEST(ForwardedExitProof, AnExitIsProofIfThisLeaseHasNoMessageOfTheMachine) {
  const Machine listed_only = machine_in_epoch(0);
  EXPECT_TRUE(proves_exit(exit_of_epoch(1), nullptr));
  EXPECT_TRUE(proves_exit(exit_of_epoch(1), &listed_only));
}

TEST(ForwardedExitProof, ADoneTaskStaysDoneInLaterAgentEpochs) {
  const Machine machine = machine_in_epoch(3);
  EXPECT_TRUE(proves_exit(exit_of_epoch(1, ExitCause::done), &machine));
}

// A controller of the version before this field records exits without an epoch.
TEST(ForwardedExitProof, AnExitWithoutAgentEpochCountsAsOneOfTheFirst) {
  const Machine first = machine_in_epoch(first_agent_epoch);
  const Machine second = machine_in_epoch(first_agent_epoch + 1);
  EXPECT_TRUE(proves_exit(exit_of_epoch(not_stored), &first));
  EXPECT_FALSE(proves_exit(exit_of_epoch(not_stored), &second));
}

}  // namespace
}  // namespace damsonport
