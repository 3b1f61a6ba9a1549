// Tests of the pure functions for replicas of several parts: settings, records, readiness, states
// and repairs.
#include <gtest/gtest.h>

#include "config/replica_settings.hpp"
#include "coordination/api/admission.hpp"
#include "coordination/machines/machine.hpp"
#include "coordination/replicas/repair_policy.hpp"
#include "coordination/replicas/replica_state.hpp"
#include "simulation/submission.hpp"

namespace damsonport::replicas {
namespace {

TEST(ReplicaSettings, ClassHasItsPolicyAndDefaults) {
  auto settings = parse_replicas(R"(; a comment
(replicas
  (class big (parts 2) (distinct-machines yes) (repairs 7) (moves 0) (backoff-leases 0.25 8))
  (class huge (parts 4)))
)");
  ASSERT_TRUE(settings) << settings.error();
  const ReplicaPolicy* big = settings->find("big");
  ASSERT_NE(big, nullptr);
  EXPECT_EQ(big->parts, 2u);
  EXPECT_TRUE(big->distinct_machines);
  EXPECT_EQ(big->repairs, 7u);
  EXPECT_EQ(big->moves, 0u);
  EXPECT_EQ(big->first_backoff_leases, 0.25);
  EXPECT_EQ(big->longest_backoff_leases, 8);
  EXPECT_EQ(settings->find("huge")->parts, 4u);
  EXPECT_FALSE(settings->find("huge")->distinct_machines);
  EXPECT_EQ(settings->find("small"), nullptr);
  EXPECT_EQ(settings->policy("small").parts, 1u);
}

TEST(ReplicaSettings, ErrorListsAllProblemsWithTheirLines) {
  auto settings = parse_replicas(
      "(replicas\n"
      "  (class one (parts 1))\n"
      "  (class two (parts 2) (repairs 0)\n"
      "    (moves x) (colour red))\n"
      "  (class three (distinct-machines perhaps) (backoff-leases 3 1) (parts 2))\n"
      "  (class two (parts 2))\n"
      "  (class four (backoff-leases 1))\n"
      "  (rack a))");
  ASSERT_FALSE(settings);
  for (const char* problem :
       {"line 2: class one: parts must be a whole number from 2 to 1024",
        "line 3: class two: repairs must be", "line 4: class two: moves must be",
        "line 4: class two: unknown entry 'colour'",
        "line 5: class three: distinct-machines must be yes or no",
        "line 5: class three: the first backoff is longer than the longest",
        "class two is named twice", "line 7: class four: parts is missing",
        "line 7: class four: backoff-leases must be two numbers",
        "line 8: expected (class NAME ...)"})
    EXPECT_NE(settings.error().find(problem), std::string::npos) << problem << "\nin\n"
                                                                 << settings.error();
  EXPECT_FALSE(parse_replicas("(replicas (class a (parts 2))"));
  EXPECT_FALSE(parse_replicas("(gangs)"));
}

TEST(ReplicaSettings, TheExampleIsValid) {
  auto settings = load_replicas(std::string(FIXTURES_DIR) + "/../../deploy/replicas.example.sexp");
  ASSERT_TRUE(settings) << settings.error();
  EXPECT_EQ(settings->classes.size(), 1u);
}

JobSpec replicated_job() {
  JobSpec spec;
  spec.id = "run-1";
  spec.job_class = "big";
  spec.team = "t";
  spec.image = "img";
  spec.kind = JobKind::service;
  spec.tasks = 6;
  spec.parts = 2;
  spec.distinct_machines = true;
  return spec;
}

TEST(ReplicaRecord, JobRecordKeepsTheNumberOfParts) {
  auto again = decode_job(encode_job(replicated_job()));
  ASSERT_TRUE(again) << again.error();
  EXPECT_EQ(again->parts, 2u);
  EXPECT_TRUE(again->distinct_machines);
  JobSpec plain = replicated_job();
  plain.parts = 1;
  plain.distinct_machines = false;
  EXPECT_FALSE(encode_job(plain).contains("parts")) << "the record of a plain job doesn't grow";
}

// Only operators may set these fields, so they are ignored like unknown fields in a submission.
TEST(ReplicaRecord, SubmissionDoesNotSetTheNumberOfParts) {
  Json message = simulation::submission_of(replicated_job());
  message["parts"] = 3;
  message["distinct_machines"] = true;
  auto spec = decode_submission(message);
  ASSERT_TRUE(spec) << spec.error();
  EXPECT_EQ(spec->parts, 1u);
  EXPECT_FALSE(spec->distinct_machines);
  message["parts"] = "many";
  message["distinct_machines"] = 7;
  EXPECT_TRUE(decode_submission(message));
}

TEST(ReplicaRecord, TaskCountNotDivisibleByPartsIsRejected) {
  Settings settings;
  settings.teams.push_back({"t", 0, 0, 0, 0});
  MachineType type;
  type.name = "g";
  JobSpec spec = replicated_job();
  EXPECT_EQ(check_admission(spec, settings, {type}), AdmissionResult::admitted);
  spec.tasks = 5;
  EXPECT_EQ(check_admission(spec, settings, {type}), AdmissionResult::indivisible_replicas);
  spec.kind = JobKind::batch;
  EXPECT_EQ(check_admission(spec, settings, {type}), AdmissionResult::admitted)
      << "only services have replicas";
}

TEST(ReplicaRecord, RangeIsSummarizedAcrossTaskChunks) {
  Job job;
  job.spec = replicated_job();
  job.chunk_size = 3;  // replica 1 is tasks 2 and 3, in two chunks
  EXPECT_EQ(job.summarize({2, 2}).last_attempt, 0u);
  job.chunks[0].record.start(2, 4, "i-1");
  auto record = job.summarize({2, 2});
  EXPECT_EQ(record.live, 1u);
  EXPECT_EQ(record.live_attempt, 4u);
  EXPECT_EQ(next_attempt(job, {2, 2}), 4u);
  EXPECT_EQ(next_attempt(job, {0, 2}), 1u) << "replica 0 was never started";
  job.chunks[1].record.start(0, 5, "i-2");
  record = job.summarize({2, 2});
  EXPECT_TRUE(record.has_mixed_attempts);
  EXPECT_EQ(job.live_tasks({2, 2}).size(), 2u);
  EXPECT_EQ(job.live_tasks({2, 2})[1].id.index, 3u);
  EXPECT_TRUE(job.live_tasks({0, 2}).empty());
  EXPECT_TRUE(job.live_tasks({4, 2}).empty());
  job.chunks[0].record.end_attempt(2, TaskEnd::restart);
  job.chunks[1].record.end_attempt(0, TaskEnd::restart);
  EXPECT_EQ(job.summarize({2, 2}).last_attempt, 5u);
  EXPECT_EQ(next_attempt(job, {2, 2}), 6u);
}

TEST(Readiness, RequiresAllPartsUnderOneAttemptByRecentHeartbeats) {
  constexpr double now = 100, max_age_s = 6;
  const PartStatus first{true, 3, true, 97}, second{true, 3, true, 99};
  const auto ready = judge_readiness({first, second}, now, max_age_s);
  EXPECT_TRUE(ready.ready);
  EXPECT_EQ(ready.attempt, 3u);
  EXPECT_EQ(ready.as_of, 97);
  PartStatus other = second;
  other.attempt = 4;
  EXPECT_FALSE(judge_readiness({first, other}, now, max_age_s).ready)
      << "the parts have different attempts";
  other = second;
  other.running = false;
  EXPECT_FALSE(judge_readiness({first, other}, now, max_age_s).ready) << "a part is not running";
  other = second;
  other.as_of = 93.9;
  EXPECT_FALSE(judge_readiness({first, other}, now, max_age_s).ready) << "a heartbeat is too old";
  EXPECT_FALSE(judge_readiness({first, {}}, now, max_age_s).ready) << "a part is not placed";
  EXPECT_FALSE(judge_readiness({}, now, max_age_s).ready);
}

TEST(ReplicaState, FollowsFromRecordsAndHeartbeats) {
  ReplicaObservation s;
  s.gang.tasks = 2;
  EXPECT_EQ(replica_state(s), ReplicaState::queued);
  s.gang.live = 1, s.last_attempt = 1;
  EXPECT_EQ(replica_state(s), ReplicaState::starting);
  s.gang.live = 2;
  EXPECT_EQ(replica_state(s), ReplicaState::starting);
  s.ready = s.gang.has_run = true;
  EXPECT_EQ(replica_state(s), ReplicaState::ready);
  s.ready = false;
  EXPECT_EQ(replica_state(s), ReplicaState::degraded);
  s.gang.broken = true;
  EXPECT_EQ(replica_state(s), ReplicaState::stopping);
  s = {};
  s.gang.tasks = 2, s.last_attempt = 1;
  EXPECT_EQ(replica_state(s), ReplicaState::repairing)
      << "no part is left, and the next attempt is pending";
  s.gang.live = 2, s.last_attempt = 2;
  EXPECT_EQ(replica_state(s), ReplicaState::repairing);
  s.gang.stopping = true;
  EXPECT_EQ(replica_state(s), ReplicaState::stopping);
}

TEST(Backoff, DoublesUpToItsLimitWithJitter) {
  ReplicaPolicy policy;
  policy.first_backoff_leases = 0.5;
  policy.longest_backoff_leases = 3;
  constexpr double lease = 10;
  EXPECT_EQ(backoff_s(policy, 0, lease, 1), 0);
  EXPECT_EQ(backoff_s(policy, 1, lease, 1), 5);
  EXPECT_EQ(backoff_s(policy, 2, lease, 1), 10);
  EXPECT_EQ(backoff_s(policy, 3, lease, 1), 20);
  EXPECT_EQ(backoff_s(policy, 4, lease, 1), 30);
  EXPECT_EQ(backoff_s(policy, 1000, lease, 1), 30);
  EXPECT_EQ(backoff_s(policy, 1, lease, 0), 2.5);
}

TEST(Repairs, AreBoundedAndTakeTurns) {
  constexpr double now = 100, turn = 3;
  std::vector<RepairCandidate> candidates(4);
  EXPECT_EQ(choose_repairs(candidates, 0, 2, now, turn), (std::vector<size_t>{0, 1}));
  EXPECT_EQ(choose_repairs(candidates, 1, 2, now, turn), (std::vector<size_t>{0}));
  EXPECT_TRUE(choose_repairs(candidates, 2, 2, now, turn).empty());
  EXPECT_TRUE(choose_repairs(candidates, 5, 2, now, turn).empty());
  // Candidates keep a turn in progress; after the turn the others get one.
  candidates[2] = {0, 98, true};
  candidates[3] = {0, 98, true};
  EXPECT_EQ(choose_repairs(candidates, 0, 2, now, turn), (std::vector<size_t>{2, 3}));
  EXPECT_EQ(choose_repairs(candidates, 0, 2, now + turn, turn), (std::vector<size_t>{0, 1}));
  candidates[0].backoff_until = now + 1;
  candidates[2] = candidates[3] = {0, 50, false};
  EXPECT_EQ(choose_repairs(candidates, 0, 2, now, turn), (std::vector<size_t>{1, 2}))
      << "a candidate in its retry delay is skipped";
}

Heartbeat heartbeat(uint64_t agent_epoch, uint64_t sequence) {
  Heartbeat r;
  r.machine = "i-1";
  r.agent_epoch = agent_epoch;
  r.sequence = sequence;
  return r;
}

// A heartbeat may have been delayed for minutes, and doesn't state when it was sent.
TEST(HeartbeatTime, IsKnownFromTheConnectionOrAProbe) {
  Machine m;
  ASSERT_TRUE(apply_heartbeat(m, heartbeat(1, 5), 100, false));
  EXPECT_EQ(m.tasks_as_of, 0) << "the first heartbeat of its connection";
  ASSERT_TRUE(apply_heartbeat(m, heartbeat(1, 6), 102, false, 100));
  EXPECT_EQ(m.tasks_as_of, 100);
  ASSERT_TRUE(apply_heartbeat(m, heartbeat(1, 8), 130, false));
  EXPECT_EQ(m.tasks_as_of, 100) << "newer state of unknown age";
  ASSERT_TRUE(apply_heartbeat(m, heartbeat(1, 9), 132, true, 131.5));
  EXPECT_EQ(m.tasks_as_of, 131.5);
  EXPECT_FALSE(apply_heartbeat(m, heartbeat(1, 7), 140, false, 139));
  EXPECT_EQ(m.tasks_as_of, 131.5) << "an old heartbeat";
}

}  // namespace
}  // namespace damsonport::replicas
