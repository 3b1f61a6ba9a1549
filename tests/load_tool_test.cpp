// Tests of the load tool: plans, quantiles, waits outside outages, and the usage of teams that is
// summed over processes.
#include <gtest/gtest.h>

#include "experiment_plan.hpp"
#include "results.hpp"
#include "team_usage.hpp"

namespace damsonport::loadtest {
namespace {

const std::string complete_plan = R"(
title = "t"
seconds = 60
[regions]
count = 2
zones = 3
controllers = [2, 1]
workers = 100
[teams]
count = 3
gpus_max = 16
[[machine]]
name = "g"
cpus = 64
gpus = 8
memory_gb = 512
[[load]]
name = "batch"
priority = "normal"
tasks = 10
cpus = 2
run_s = 30
jobs_per_s = 0.5
regions = [1]
[[fault]]
kind = "cut_regions"
at_s = 10
other = 1
)";

TEST(ExperimentPlan, ParsesCompletePlan) {
  auto plan = parse_plan(complete_plan);
  ASSERT_TRUE(plan) << plan.error();
  EXPECT_EQ(plan->controllers, (std::vector<size_t>{2, 1}));
  EXPECT_EQ(plan->workers, (std::vector<int>{100, 100}));
  EXPECT_EQ(plan->settings.teams.size(), 3u);
  EXPECT_EQ(plan->process_count(), 1 + 2 * 2 + 3 + 1);
  ASSERT_EQ(plan->loads.size(), 1u);
  EXPECT_FALSE(plan->loads[0].service);
  EXPECT_EQ(plan->loads[0].regions, std::vector<size_t>{1});
  ASSERT_EQ(plan->faults.size(), 1u);
  EXPECT_EQ(plan->faults[0].kind, FaultKind::cut_regions);
}

// The complete plan with the first occurrence of `old_text` replaced.
std::string replaced(const std::string& old_text, const std::string& new_text) {
  std::string text = complete_plan;
  text.replace(text.find(old_text), old_text.size(), new_text);
  return text;
}

TEST(ExperimentPlan, ParseErrorNamesField) {
  const std::pair<std::string, std::string> cases[] = {
      {replaced("seconds = 60", ""), "seconds: is missing"},
      {replaced("seconds = 60", "seconds = -1"), "seconds: must be a number from 1"},
      {replaced("controllers = [2, 1]", "controllers = [2]"), "regions.controllers: must have"},
      {replaced("workers = 100", "workers = 200000"), "regions.workers: must be a number"},
      {replaced("\"normal\"", "\"soon\""), "load[0].priority: must be one of high, idle"},
      {replaced("regions = [1]", "regions = [2]"), "load[0].regions: must have numbers from 0"},
      {replaced("\"cut_regions\"", "\"flood\""), "fault[0].kind: must be one of"},
      {replaced("[[machine]]", "[[engine]]"), "machine: is missing"},
      {replaced("title = \"t\"", "title ="), "line 2"}};
  for (auto& [text, expected_error] : cases) {
    auto plan = parse_plan(text);
    ASSERT_FALSE(plan) << expected_error;
    EXPECT_NE(plan.error().find(expected_error), std::string::npos) << plan.error();
  }
}

TEST(ExperimentPlan, ParsesJobCountOfFault) {
  const auto plan =
      parse_plan(replaced("kind = \"cut_regions\"", "kind = \"cancel_jobs\"\ncount = 2000"));
  ASSERT_TRUE(plan) << plan.error();
  EXPECT_EQ(plan->faults[0].kind, FaultKind::cancel_jobs);
  EXPECT_EQ(plan->faults[0].count, 2000u);
}

TEST(ExperimentPlan, RejectsPlanOverResourceLimits) {
  auto plan = parse_plan("max_memory_mb = 100\n" + complete_plan);
  ASSERT_FALSE(plan);
  EXPECT_NE(plan.error().find("of memory, of 100"), std::string::npos) << plan.error();
  plan = parse_plan("max_processes = 8\n" + complete_plan);
  ASSERT_FALSE(plan);
  EXPECT_NE(plan.error().find("9 processes, of 8"), std::string::npos) << plan.error();
  plan = parse_plan("max_processes = 201\n" + complete_plan);
  ASSERT_FALSE(plan) << "a plan must not raise the limit of 200 processes";
}

TEST(Quantiles, AreExactOrderStatistics) {
  std::vector<float> values;
  for (int i = 100; i >= 1; --i) values.push_back(static_cast<float>(i));
  const auto q = quantiles(values);
  EXPECT_EQ(q.count, 100u);
  EXPECT_EQ(q.p50, 50);
  EXPECT_EQ(q.p99, 99);
  EXPECT_EQ(q.max, 100);
  EXPECT_EQ(quantiles({}).count, 0u);
}

TEST(Waits, ExcludeOutagesAndFailovers) {
  Results results;
  const Json waits = {
      {"urgent", {{10.0, 0.5}, {19.5, 0.25}, {19.5, 3.0}, {21.0, 1.0}, {30.0, 0.5}}}};
  results.region_reports = {{{"waits", waits}}, {{"waits", waits}}};
  FaultRecord killed, outage, cut;
  killed.at_s = 20, killed.without_shard_leader_s = 2;
  outage.at_s = 29, outage.outage_s = 5, outage.region = 1;
  cut.at_s = 10;
  results.faults = {killed, outage, cut};
  EXPECT_EQ(start_waits(results, WaitFilter::all)["urgent"].size(), 10u);
  EXPECT_EQ(start_waits(results, WaitFilter::excluding_outages)["urgent"],
            (std::vector<float>{0.5, 0.25, 0.5, 0.5, 0.25, 3.0, 1.0}));
}

TEST(TeamUsage, SumsAndTracksPeak) {
  TeamUsage usage(2);
  usage.add(1, 2, 1.5);
  const auto sum = usage.add(1, 4, 0.5);
  EXPECT_DOUBLE_EQ(sum.cpus, 6);
  EXPECT_DOUBLE_EQ(sum.gpus, 2);
  usage.add(1, -6, -2);
  EXPECT_DOUBLE_EQ(usage.peak(1).cpus, 6);
  EXPECT_DOUBLE_EQ(usage.add(1, 0, 0).cpus, 0);
  EXPECT_DOUBLE_EQ(usage.peak(0).cpus, 0);
}

}  // namespace
}  // namespace damsonport::loadtest
