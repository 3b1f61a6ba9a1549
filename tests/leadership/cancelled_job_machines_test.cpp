#include "coordination/leadership/cancelled_job_machines.hpp"

#include <gtest/gtest.h>

namespace damsonport {
namespace {

using Machines = std::vector<std::string>;

TEST(CancelledJobMachines, MachineThatAControllerStopsListingIsReleased) {
  CancelledJobMachines job;
  EXPECT_FALSE(job.any_statement());
  EXPECT_TRUE(job.note("n0/1", {true, {"m1", "m2"}}));
  EXPECT_TRUE(job.note("n1/1", {true, {"m1", "m2", "m3"}}));
  EXPECT_FALSE(job.note("n1/1", {true, {"m1", "m2", "m3"}}));
  EXPECT_TRUE(job.note("n0/1", {true, {"m2"}}));
  EXPECT_EQ(job.listed(), (Machines{"m2", "m3"}));
  EXPECT_TRUE(job.is_released("m1"));
  // A controller that has not read the end of the tasks yet doesn't bring the machine back.
  EXPECT_FALSE(job.note("n1/1", {true, {"m1", "m2", "m3"}}));
}

TEST(CancelledJobMachines, IncompleteListReleasesNothing) {
  CancelledJobMachines job;
  job.note("n0/1", {true, {"m1", "m2"}});
  EXPECT_FALSE(job.note("n0/1", {false, {"m1"}}));
  EXPECT_EQ(job.listed(), (Machines{"m1", "m2"}));
}

// A controller may not have read a start that was committed just before the cancellation.
TEST(CancelledJobMachines, MachineThatAControllerNeverListedIsNotReleased) {
  CancelledJobMachines job;
  job.note("n0/1", {true, {}});
  job.note("n1/1", {true, {"m1"}});
  job.note("n0/1", {true, {}});
  job.note("n1/2", {true, {}});  // an incarnation that knows less than the one before
  EXPECT_EQ(job.listed(), Machines{"m1"});
}

TEST(CancelledJobMachines, EndOfTheJobReleasesAll) {
  CancelledJobMachines job;
  job.note("n0/1", {true, {"m1", "m2"}});
  EXPECT_TRUE(job.release_all());
  EXPECT_FALSE(job.release_all());
  EXPECT_TRUE(job.listed().empty());
}

}  // namespace
}  // namespace damsonport
