/// The deployment of a scenario: real controllers and the simulated key-value store, cloud and
/// workers, in one virtual world.
#pragma once
#include <memory>
#include <string>
#include <vector>

#include "scenarios/scenario_plan.hpp"
#include "simulation/key_value_store.hpp"
#include "simulation/simulated_fleet.hpp"
#include "simulation/virtual_controller.hpp"

namespace damsonport::simulation {

/// Owns the controllers and the simulated services of a scenario, and selects them by the names in
/// a trace.
class ScenarioDeployment {
 public:
  /// The start functions read the plan, which must outlive the deployment.
  ScenarioDeployment(World& world, ScenarioPlan& plan) : world_(world), plan_(plan) {}

  /// Starts the simulated services and the initial machines. The controllers are started
  /// afterwards.
  void start_simulators();
  void start_controllers();

  KeyValueStore& store() { return *store_; }
  SimulatedFleet& fleet() { return *fleet_; }
  const SimulatedFleet& fleet() const { return *fleet_; }
  const std::vector<std::unique_ptr<VirtualController>>& controllers() const {
    return controllers_;
  }
  size_t index_of(const VirtualController& controller) const;

  /// Returns the controllers that a trace names: n0, leader, others, nodes, all or zone:a, or
  /// several of these separated by commas. `leader` is the controller that the key-value store
  /// names as shard leader now.
  std::vector<VirtualController*> select_controllers(const std::string& word) const;
  /// Returns the machines that a trace names: m1 (the first initial machine), machines, zone:a,
  /// with:JOB or with:JOB/0.
  std::vector<Worker*> select_machines(const std::string& word) const;
  /// Returns the hosts that a trace names: controllers and machines as above, state or cloud.
  std::vector<std::string> select_hosts(const std::string& word) const;

  struct TaskCounts {
    int running = 0;
    int present = 0;  // on a machine and not exited
  };
  TaskCounts count_tasks(const std::string& job) const;
  /// The number of changes of the job's records in the key-value store so far.
  int record_writes(const std::string& job) const;
  /// Whether the records in the key-value store place this attempt on the machine.
  bool is_recorded(const TaskAttempt& attempt, const std::string& machine) const;

  /// The next `times` changes of records with this key prefix crash the shard leader after
  /// `after_s` seconds, for `down_s` seconds.
  struct CrashOnWrite {
    std::string key_prefix;
    int times = 0;
    double after_s = 0;
    double down_s = 0;
  };
  void crash_leader_on_write(CrashOnWrite crash) { crash_on_write_ = std::move(crash); }

 private:
  void complete_settings();
  Settings controller_settings(size_t index) const;
  std::string leader() const;
  std::string machine_name(const std::string& id) const;
  static bool runs_task_of(const Worker& worker, const std::string& job_or_task);
  void on_record_change(const std::string& key, const Json& value);
  void note_leases(const Json& shard_table);

  World& world_;
  ScenarioPlan& plan_;
  std::unique_ptr<KeyValueStore> store_;
  std::unique_ptr<SimulatedFleet> fleet_;
  VirtualNetwork::Streams streams_;
  std::vector<ControllerAddress> controller_addresses_;
  std::vector<std::unique_ptr<VirtualController>> controllers_;
  std::vector<std::string> initial_machines_;  // ids, in the order of the trace
  std::map<std::string, int> writes_;          // number of changes, by key
  CrashOnWrite crash_on_write_;
  std::map<uint64_t, std::string> lease_by_token_;
};

}  // namespace damsonport::simulation
