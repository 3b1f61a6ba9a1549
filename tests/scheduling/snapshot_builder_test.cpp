// Tests of SnapshotBuilder: the snapshot entries of jobs and machines after changes, and the reuse
// of entries.
#include "coordination/scheduling/snapshot_builder.hpp"

#include <gtest/gtest.h>

#include "simulation/virtual_network.hpp"
#include "simulation/world.hpp"

namespace damsonport {
namespace {

constexpr StateLimits limits{150, 50, 16, 12};
constexpr uint32_t tasks_per_chunk = 8;

Settings test_settings() {
  Settings settings;
  settings.state = {"10.9.0.1", 80};
  settings.state_limits = {limits, limits};
  settings.zones = {"a", "b"};
  settings.teams.resize(1);
  settings.teams[0].name = "t";
  settings.teams[0].cpus_max = 40;
  return settings;
}

class SnapshotBuilderTest : public ::testing::Test {
 protected:
  SnapshotBuilderTest() { builder_.begin_lease(); }

  Job& add_job(const std::string& id, uint32_t tasks = 4) {
    JobSpec spec;
    spec.id = id;
    spec.job_class = "c";
    spec.team = "t";
    spec.tasks = tasks;
    spec.cpus = 2;
    spec.memory_gb = 1.5;
    spec.image = "img";
    spec.image_gb = 1;
    spec.zone = "b";
    cache_.apply({keys::job(id), encode_job_record(spec, tasks_per_chunk), ++revision_, 0});
    if (!cache_.job(id))
      throw std::logic_error("the record cache has no job " + id + " after its record was applied");
    Job& job = *cache_.job(id);
    builder_.mark_job_changed(job);
    return job;
  }
  void start_task(const std::string& job, const std::string& machine) {
    TaskChunk chunk;
    chunk.start(0, 1, machine);
    cache_.apply({keys::chunk(job, 0), encode_chunk(chunk), ++revision_, 0});
    builder_.mark_job_changed(*cache_.job(job));
    builder_.mark_machine_changed(machine);
  }
  Machine& add_machine(const std::string& id) {
    Machine& machine = machines_[id];
    machine.id = id;
    machine.zone = "a";
    builder_.mark_machine_changed(id);
    return machine;
  }
  void refresh() { builder_.refresh(machines_, unreachable_zones_, booting_); }
  const scheduling::JobSnapshot& job_entry(const std::string& id) const {
    for (auto& entry : builder_.snapshot().jobs)
      if (entry.id == id) return entry;
    throw std::out_of_range(id);
  }
  const scheduling::MachineSnapshot& machine_entry(const std::string& id) const {
    return builder_.snapshot().machines[*machines_.at(id).snapshot_index];
  }
  SnapshotBuilder::Callbacks callbacks() {
    SnapshotBuilder::Callbacks callbacks;
    callbacks.is_cancelled = [this](const Job& job) { return job.spec.id == cancelled_; };
    callbacks.is_backing_off = [this](const std::string& job) { return job == backing_off_; };
    callbacks.startable_gang_tasks = [](const Job&, TaskRange gang) { return gang.count; };
    callbacks.stop_grace_s = [](const JobSpec&) { return 7.0; };
    callbacks.running_since = [](const TaskId&, uint64_t) { return 900.0; };
    callbacks.is_ending = [this](const PlacedTask& task) { return task.machine == ending_on_; };
    callbacks.is_schedulable = [this](const Machine& machine) { return machine.id != drained_; };
    callbacks.total_resources = [](const Machine&) { return scheduling::Resources{8, 0, 32}; };
    callbacks.free_resources = [](const Machine&) { return scheduling::Resources{6, 0, 30}; };
    return callbacks;
  }

  simulation::World world_{1};
  simulation::VirtualLoop loop_{world_, "n0", std::seed_seq{1}, 1, 0};
  simulation::VirtualNetwork::Streams streams_;
  simulation::VirtualNetwork network_{loop_, "10.0.0.1", streams_};
  std::unique_ptr<HttpClient> http_ = network_.client();
  Settings settings_ = test_settings();
  KeyValueClient store_{loop_, *http_, settings_.state, settings_.state_limits};
  RecordCache cache_{loop_, 0, 50};
  MachineTypeCatalog catalog_{loop_, *http_, settings_};
  quotas::TeamQuotas quotas_{settings_, nullptr, cache_};
  FaultAttribution faults_;
  uint64_t revision_ = 1;
  std::string cancelled_, backing_off_, ending_on_, drained_;
  std::map<std::string, Machine> machines_;
  std::set<std::string> unreachable_zones_;
  std::vector<SnapshotBuilder::BootingMachine> booting_;
  SnapshotBuilder builder_{{loop_, settings_, cache_, catalog_, quotas_, faults_}, callbacks()};
};

TEST_F(SnapshotBuilderTest, DescribesAJob) {
  add_job("run-1", 4);
  refresh();
  const auto& entry = job_entry("run-1");
  EXPECT_EQ(entry.team, 0u);
  EXPECT_EQ(builder_.snapshot().teams[0].limit.cpus, 40);
  EXPECT_EQ(entry.need.cpus, 2);
  EXPECT_EQ(entry.pending_tasks, 4u);
  EXPECT_EQ(entry.unfinished_tasks, 4u);
  EXPECT_FALSE(entry.begun);
  EXPECT_EQ(entry.grace_s, 7);
  EXPECT_EQ(builder_.zone_name(entry.zone), "b");
  EXPECT_EQ(builder_.zone_name(0), "");
}

TEST_F(SnapshotBuilderTest, DescribesAMachineAndItsTasks) {
  add_job("run-1");
  Machine& machine = add_machine("i-1");
  machine.failed_jobs["run-9"] = 1;
  start_task("run-1", "i-1");
  ending_on_ = "i-1";
  refresh();
  const auto& entry = machine_entry("i-1");
  EXPECT_TRUE(entry.schedulable);
  EXPECT_EQ(entry.total.cpus, 8);
  EXPECT_EQ(entry.free.cpus, 6);
  EXPECT_EQ(entry.failed_jobs, std::vector<std::string>{"run-9"});
  ASSERT_EQ(entry.running_tasks.size(), 1u);
  EXPECT_EQ(builder_.job_at(entry.running_tasks[0].job).spec.id, "run-1");
  EXPECT_EQ(entry.running_tasks[0].attempt, 1u);
  EXPECT_EQ(entry.running_tasks[0].running_since, 900);
  EXPECT_TRUE(entry.running_tasks[0].stopping);
  EXPECT_TRUE(job_entry("run-1").begun);
  EXPECT_EQ(job_entry("run-1").pending_tasks, 3u);
}

TEST_F(SnapshotBuilderTest, OnlyMarkedEntriesAreUpdated) {
  Machine& machine = add_machine("i-1");
  refresh();
  machine.spot = true;
  refresh();
  EXPECT_FALSE(machine_entry("i-1").spot);
  builder_.mark_machine_changed("i-1");
  refresh();
  EXPECT_TRUE(machine_entry("i-1").spot);
}

TEST_F(SnapshotBuilderTest, EachRefreshEvaluatesWhetherMachinesAreSchedulable) {
  add_machine("i-1");
  refresh();
  EXPECT_TRUE(machine_entry("i-1").schedulable);
  drained_ = "i-1";
  refresh();
  EXPECT_FALSE(machine_entry("i-1").schedulable);
  drained_.clear();
  unreachable_zones_ = {"a"};
  refresh();
  EXPECT_FALSE(machine_entry("i-1").schedulable);
}

TEST_F(SnapshotBuilderTest, EachRefreshEvaluatesJobsThatBackOff) {
  add_job("run-1");
  backing_off_ = "run-1";
  refresh();
  EXPECT_EQ(job_entry("run-1").pending_tasks, 0u);
  EXPECT_TRUE(builder_.has_held_back_jobs());
  backing_off_.clear();  // without a call of mark_job_changed()
  refresh();
  EXPECT_EQ(job_entry("run-1").pending_tasks, 4u);
  EXPECT_FALSE(builder_.has_held_back_jobs());
}

TEST_F(SnapshotBuilderTest, FaultyJobRunsOneTaskAtATime) {
  add_job("run-1");
  for (auto* machine : {"i-7", "i-8", "i-9"}) faults_.note_failure("run-1", machine, 1);
  ASSERT_TRUE(faults_.is_job_faulty("run-1"));
  refresh();
  EXPECT_TRUE(job_entry("run-1").faulty);
  EXPECT_EQ(job_entry("run-1").pending_tasks, 1u);
  start_task("run-1", "i-1");
  refresh();
  EXPECT_EQ(job_entry("run-1").pending_tasks, 0u);
}

TEST_F(SnapshotBuilderTest, CancelledJobHasNoPendingTasks) {
  add_job("run-1");
  cancelled_ = "run-1";
  refresh();
  EXPECT_TRUE(job_entry("run-1").cancelled);
  EXPECT_EQ(job_entry("run-1").pending_tasks, 0u);
}

TEST_F(SnapshotBuilderTest, EntriesOfRemovedJobsAndMachinesAreReused) {
  Job& job = add_job("run-1");
  add_machine("i-1");
  refresh();
  builder_.forget_machine(machines_.at("i-1"));
  machines_.erase("i-1");
  builder_.forget_job(job);
  EXPECT_TRUE(builder_.snapshot().jobs[0].id.empty());
  EXPECT_FALSE(builder_.snapshot().machines[0].schedulable);
  add_job("run-2");
  add_machine("i-2");
  refresh();
  EXPECT_EQ(builder_.snapshot().jobs.size(), 1u);
  EXPECT_EQ(builder_.snapshot().machines.size(), 1u);
  EXPECT_EQ(builder_.resolve_start(scheduling::JobIndex(0), scheduling::MachineIndex(0)).job,
            "run-2");
  EXPECT_EQ(builder_.resolve_start(scheduling::JobIndex(0), scheduling::MachineIndex(0)).machine,
            "i-2");
}

TEST_F(SnapshotBuilderTest, EachRefreshReplacesTheBootingMachines) {
  booting_ = {{"g", "b", true, {4, 1, 16}}};
  refresh();
  ASSERT_EQ(builder_.snapshot().booting.size(), 1u);
  EXPECT_EQ(builder_.zone_name(builder_.snapshot().booting[0].zone), "b");
  EXPECT_TRUE(builder_.snapshot().booting[0].spot);
  EXPECT_EQ(builder_.snapshot().booting[0].capacity.gpus, 1);
  booting_.clear();
  refresh();
  EXPECT_TRUE(builder_.snapshot().booting.empty());
}

TEST_F(SnapshotBuilderTest, NewLeaseStartsWithAnEmptySnapshot) {
  add_job("run-1");
  add_machine("i-1");
  refresh();
  machines_.clear();
  builder_.begin_lease();
  refresh();
  EXPECT_TRUE(builder_.snapshot().jobs.empty());
  EXPECT_TRUE(builder_.snapshot().machines.empty());
}

}  // namespace
}  // namespace damsonport
