#include <gtest/gtest.h>

#include "coordination/machines/fault_attribution.hpp"

namespace damsonport {
namespace {

TEST(FaultAttribution, TwoSoundJobsThatFailOnAMachineAreItsFault) {
  FaultAttribution evidence;
  evidence.failed("run-1", "i-1", 1);
  EXPECT_FALSE(evidence.is_machine_faulty("i-1"));
  evidence.failed("run-1", "i-1", 2);
  EXPECT_FALSE(evidence.is_machine_faulty("i-1"));  // one job is not enough
  evidence.failed("run-2", "i-1", 3);
  EXPECT_TRUE(evidence.is_machine_faulty("i-1"));
}

// As on the operators' day: two jobs submitted with a mistake meet on a sound machine.
TEST(FaultAttribution, JobsThatFailElsewhereTooDontBlameAMachine) {
  FaultAttribution evidence;
  evidence.failed("run-1", "i-1", 1);
  evidence.failed("run-1", "i-2", 2);
  evidence.failed("run-2", "i-2", 2);
  EXPECT_FALSE(evidence.is_machine_faulty("i-2"));
  evidence.failed("run-1", "i-3", 3);
  EXPECT_TRUE(evidence.is_job_faulty("run-1"));
}

TEST(FaultAttribution, BlameIsTakenBackOnceAJobFailsElsewhere) {
  FaultAttribution evidence;
  evidence.failed("run-1", "i-1", 1);
  evidence.failed("run-2", "i-1", 1);
  EXPECT_TRUE(evidence.is_machine_faulty("i-1"));
  evidence.failed("run-2", "i-2", 9);
  EXPECT_FALSE(evidence.is_machine_faulty("i-1"));
}

TEST(FaultAttribution, AJobThatWorksElsewhereBlamesAllMachinesItFailsOn) {
  FaultAttribution evidence;
  for (auto* machine : {"i-1", "i-2", "i-3"}) {
    evidence.failed("run-1", machine, 1);
    evidence.failed("run-2", machine, 1);
  }
  EXPECT_TRUE(evidence.is_job_faulty("run-1"));
  EXPECT_FALSE(evidence.is_machine_faulty("i-1"));
  evidence.worked("run-1", "i-4", 2);
  evidence.worked("run-2", "i-4", 2);
  EXPECT_FALSE(evidence.is_job_faulty("run-1"));
  EXPECT_TRUE(evidence.is_machine_faulty("i-1"));
}

TEST(FaultAttribution, OnlyWhatBeganAfterTheFailuresSpeaksForAMachine) {
  FaultAttribution evidence;
  evidence.failed("run-1", "i-1", 10);
  evidence.failed("run-2", "i-1", 11);
  evidence.worked("run-3", "i-1", 5);  // has run there since long before
  EXPECT_TRUE(evidence.is_machine_faulty("i-1"));
  evidence.worked("run-3", "i-1", 12);
  EXPECT_FALSE(evidence.is_machine_faulty("i-1"));
}

TEST(FaultAttribution, ASuspectFromTheRecordsIsAtFaultUntilItWorks) {
  FaultAttribution evidence;
  evidence.suspect("run-1");
  EXPECT_TRUE(evidence.is_job_faulty("run-1"));
  evidence.failed("run-1", "i-1", 1);
  EXPECT_FALSE(evidence.is_machine_faulty("i-1"));
  evidence.worked("run-1", "i-2", 2);
  EXPECT_FALSE(evidence.is_job_faulty("run-1"));
  evidence.forget_job("run-1");
  EXPECT_TRUE(evidence.any()) << "it failed on i-1 and worked elsewhere";
  evidence.forget_failures_before(2);
  EXPECT_FALSE(evidence.any());
}

TEST(FaultAttribution, BlameOfAJobThatWorkedElsewhereOutlastsIt) {
  FaultAttribution evidence;
  for (auto* job : {"run-1", "run-2"}) {
    evidence.failed(job, "i-1", 10);
    evidence.worked(job, "i-2", 11);
    evidence.forget_job(job);
  }
  EXPECT_TRUE(evidence.is_machine_faulty("i-1"));
  evidence.forget_failures_before(10);
  EXPECT_TRUE(evidence.is_machine_faulty("i-1"));
  evidence.forget_failures_before(11);
  EXPECT_FALSE(evidence.is_machine_faulty("i-1"));
}

TEST(FaultAttribution, BlameOfAJobThatWorkedNowhereGoesWithIt) {
  FaultAttribution evidence;
  for (auto* job : {"run-1", "run-2"}) {
    evidence.failed(job, "i-1", 10);
    evidence.forget_job(job);
  }
  EXPECT_FALSE(evidence.is_machine_faulty("i-1"));
  EXPECT_FALSE(evidence.any());
}

TEST(FaultAttribution, WhatWorksOnAMachineClearsItOfEndedJobsToo) {
  FaultAttribution evidence;
  for (auto* job : {"run-1", "run-2"}) {
    evidence.failed(job, "i-1", 10);
    evidence.worked(job, "i-2", 11);
    evidence.forget_job(job);
  }
  evidence.worked("run-3", "i-1", 12);
  EXPECT_FALSE(evidence.is_machine_faulty("i-1"));
}

}  // namespace
}  // namespace damsonport
