/// Tests of FaultAttribution: which machines and jobs are faulty after failures and successes.
#include "coordination/machines/fault_attribution.hpp"

#include <gtest/gtest.h>

namespace damsonport {
namespace {

TEST(FaultAttribution, AMachineOnWhichTwoHealthyJobsFailIsFaulty) {
  FaultAttribution attribution;
  attribution.note_failure("run-1", "i-1", 1);
  EXPECT_FALSE(attribution.is_machine_faulty("i-1"));
  attribution.note_failure("run-1", "i-1", 2);
  EXPECT_FALSE(attribution.is_machine_faulty("i-1"));  // a single job is not enough
  attribution.note_failure("run-2", "i-1", 3);
  EXPECT_TRUE(attribution.is_machine_faulty("i-1"));
}

// Two jobs that were submitted with a mistake fail on the same healthy machine, which must not be
// drained for that.
TEST(FaultAttribution, JobsThatAlsoFailElsewhereDontCountAgainstAMachine) {
  FaultAttribution attribution;
  attribution.note_failure("run-1", "i-1", 1);
  attribution.note_failure("run-1", "i-2", 2);
  attribution.note_failure("run-2", "i-2", 2);
  EXPECT_FALSE(attribution.is_machine_faulty("i-2"));
  attribution.note_failure("run-1", "i-3", 3);
  EXPECT_TRUE(attribution.is_job_faulty("run-1"));
}

TEST(FaultAttribution, AMachineIsNotFaultyAnyMoreOnceAJobFailsElsewhere) {
  FaultAttribution attribution;
  attribution.note_failure("run-1", "i-1", 1);
  attribution.note_failure("run-2", "i-1", 1);
  EXPECT_TRUE(attribution.is_machine_faulty("i-1"));
  attribution.note_failure("run-2", "i-2", 9);
  EXPECT_FALSE(attribution.is_machine_faulty("i-1"));
}

TEST(FaultAttribution, AJobThatSucceedsElsewhereCountsAgainstAllMachinesItFailsOn) {
  FaultAttribution attribution;
  for (auto* machine : {"i-1", "i-2", "i-3"}) {
    attribution.note_failure("run-1", machine, 1);
    attribution.note_failure("run-2", machine, 1);
  }
  EXPECT_TRUE(attribution.is_job_faulty("run-1"));
  EXPECT_FALSE(attribution.is_machine_faulty("i-1"));
  attribution.note_success("run-1", "i-4", 2);
  attribution.note_success("run-2", "i-4", 2);
  EXPECT_FALSE(attribution.is_job_faulty("run-1"));
  EXPECT_TRUE(attribution.is_machine_faulty("i-1"));
}

TEST(FaultAttribution, OnlyTasksStartedAfterTheFailuresClearAMachine) {
  FaultAttribution attribution;
  attribution.note_failure("run-1", "i-1", 10);
  attribution.note_failure("run-2", "i-1", 11);
  attribution.note_success("run-3", "i-1", 5);  // runs since before the failures
  EXPECT_TRUE(attribution.is_machine_faulty("i-1"));
  attribution.note_success("run-3", "i-1", 12);
  EXPECT_FALSE(attribution.is_machine_faulty("i-1"));
}

TEST(FaultAttribution, AJobSuspectedFromTheRecordsIsFaultyUntilItSucceeds) {
  FaultAttribution attribution;
  attribution.suspect_job("run-1");
  EXPECT_TRUE(attribution.is_job_faulty("run-1"));
  attribution.note_failure("run-1", "i-1", 1);
  EXPECT_FALSE(attribution.is_machine_faulty("i-1"));
  attribution.note_success("run-1", "i-2", 2);
  EXPECT_FALSE(attribution.is_job_faulty("run-1"));
  attribution.forget_job("run-1");
  EXPECT_TRUE(attribution.has_failures()) << "the job failed on i-1 and succeeded elsewhere";
  attribution.forget_failures_before(2);
  EXPECT_FALSE(attribution.has_failures());
}

TEST(FaultAttribution, FailuresOfAJobThatSucceededElsewhereRemainAfterItsEnd) {
  FaultAttribution attribution;
  for (auto* job : {"run-1", "run-2"}) {
    attribution.note_failure(job, "i-1", 10);
    attribution.note_success(job, "i-2", 11);
    attribution.forget_job(job);
  }
  EXPECT_TRUE(attribution.is_machine_faulty("i-1"));
  attribution.forget_failures_before(10);
  EXPECT_TRUE(attribution.is_machine_faulty("i-1"));
  attribution.forget_failures_before(11);
  EXPECT_FALSE(attribution.is_machine_faulty("i-1"));
}

TEST(FaultAttribution, FailuresOfAJobThatNeverSucceededAreRemovedAtItsEnd) {
  FaultAttribution attribution;
  for (auto* job : {"run-1", "run-2"}) {
    attribution.note_failure(job, "i-1", 10);
    attribution.forget_job(job);
  }
  EXPECT_FALSE(attribution.is_machine_faulty("i-1"));
  EXPECT_FALSE(attribution.has_failures());
}

TEST(FaultAttribution, ASuccessClearsAMachineAlsoOfFailuresOfEndedJobs) {
  FaultAttribution attribution;
  for (auto* job : {"run-1", "run-2"}) {
    attribution.note_failure(job, "i-1", 10);
    attribution.note_success(job, "i-2", 11);
    attribution.forget_job(job);
  }
  attribution.note_success("run-3", "i-1", 12);
  EXPECT_FALSE(attribution.is_machine_faulty("i-1"));
}

}  // namespace
}  // namespace damsonport
