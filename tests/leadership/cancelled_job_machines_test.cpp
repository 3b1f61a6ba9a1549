#include "coordination/leadership/cancelled_job_machines.hpp"

#include <gtest/gtest.h>

namespace damsonport {
namespace {

using Machines = std::vector<std::string>;

TEST(CancelledJobMachines, MachineThatAControllerStopsListingIsReleased) {
  CancelledJobMachines job;
  EXPECT_FALSE(job.any_statement());
  EXPECT_TRUE(job.note("n0/1", 10, {true, {"m1", "m2"}}));
  EXPECT_TRUE(job.note("n1/1", 20, {true, {"m1", "m2", "m3"}}));
  EXPECT_FALSE(job.note("n1/1", 30, {true, {"m1", "m2", "m3"}}));
  EXPECT_TRUE(job.note("n0/1", 40, {true, {"m2"}}));
  EXPECT_EQ(job.listed(), (Machines{"m2", "m3"}));
  EXPECT_TRUE(job.is_released("m1"));
  // A controller that has not read the end of the tasks yet doesn't bring the machine back.
  EXPECT_FALSE(job.note("n1/1", 50, {true, {"m1", "m2", "m3"}}));
}

TEST(CancelledJobMachines, IncompleteListReleasesNothing) {
  CancelledJobMachines job;
  job.note("n0/1", 60, {true, {"m1", "m2"}});
  EXPECT_FALSE(job.note("n0/1", 70, {false, {"m1"}}));
  EXPECT_EQ(job.listed(), (Machines{"m1", "m2"}));
}

TEST(CancelledJobMachines, LateStatementOfAnEarlierProcessReleasesNothing) {
  CancelledJobMachines job;
  job.note("n0/1", 5, {true, {"m1"}});
  job.note("n0/2", 1, {true, {}});
  EXPECT_FALSE(job.note("n0/1", 4, {true, {}}));
  EXPECT_EQ(job.listed(), Machines{"m1"});
}

// The start and the end of a task may be read at once, so that no statement ever lists the machine.
TEST(CancelledJobMachines, OwnRecordsReleaseWhatTheyDontList) {
  CancelledJobMachines job;
  job.note("n0/1", 1, {true, {"m1", "m2"}});
  EXPECT_FALSE(job.note_own_records({false, {"m2"}}));
  EXPECT_TRUE(job.note_own_records({true, {"m2"}}));
  EXPECT_EQ(job.listed(), Machines{"m2"});
  EXPECT_TRUE(job.is_released("m1"));
  EXPECT_FALSE(job.note("n1/1", 1, {true, {"m1", "m2"}}));
}

// A controller may not have read a start that was committed just before the cancellation.
TEST(CancelledJobMachines, MachineThatAControllerNeverListedIsNotReleased) {
  CancelledJobMachines job;
  job.note("n0/1", 80, {true, {}});
  job.note("n1/1", 90, {true, {"m1"}});
  job.note("n0/1", 100, {true, {}});
  job.note("n1/2", 110, {true, {}});  // an incarnation that knows less than the one before
  EXPECT_EQ(job.listed(), Machines{"m1"});
}

TEST(CancelledJobMachines, EndOfTheJobReleasesAll) {
  CancelledJobMachines job;
  job.note("n0/1", 120, {true, {"m1", "m2"}});
  EXPECT_TRUE(job.release_all());
  EXPECT_FALSE(job.release_all());
  EXPECT_TRUE(job.listed().empty());
}

}  // namespace
}  // namespace damsonport
