/// The deployment of a scenario: whole controllers against the stand-ins of the key-value store,
/// the cloud and the workers, all in one virtual world.
#pragma once
#include <memory>
#include <string>
#include <vector>

#include "scenarios/scenario_plan.hpp"
#include "simulation/key_value_store.hpp"
#include "simulation/simulated_fleet.hpp"
#include "simulation/virtual_controller.hpp"

namespace damsonport::simulation {

class ScenarioDeployment {
 public:
  /// The plan is read by the start functions below and must outlive the deployment.
  ScenarioDeployment(World& world, ScenarioPlan& plan) : world_(world), plan_(plan) {}

  /// First the stand-ins with the machines that are up, then the controllers.
  void start_simulators();
  void start_controllers();

  KeyValueStore& store() { return *store_; }
  SimulatedFleet& fleet() { return *fleet_; }
  const SimulatedFleet& fleet() const { return *fleet_; }
  const std::vector<std::unique_ptr<VirtualController>>& controllers() const {
    return controllers_;
  }
  size_t index_of(const VirtualController& controller) const;

  /// Controllers that a word of a trace means: n0, leader, others, nodes, all, zone:a; several with
  /// commas. The leader is the one that the key-value store names now.
  std::vector<VirtualController*> select_controllers(const std::string& word) const;
  /// Machines: m1 (the first that was up at the start), machines, zone:a, with:JOB, with:JOB/0.
  std::vector<Worker*> select_machines(const std::string& word) const;
  /// Hosts of controllers and machines as above, or state, or cloud.
  std::vector<std::string> select_hosts(const std::string& word) const;

  struct TaskCounts {
    int running = 0;
    int present = 0;  // on their machines in any state but exited
  };
  TaskCounts count_tasks(const std::string& job) const;
  /// Changes of the job's records in the key-value store so far.
  int record_writes(const std::string& job) const;

  /// The next `times` changes of records whose key starts like this crash the leader.
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
  void on_record_change(const std::string& key);

  World& world_;
  ScenarioPlan& plan_;
  std::unique_ptr<KeyValueStore> store_;
  std::unique_ptr<SimulatedFleet> fleet_;
  VirtualNetwork::Streams streams_;
  std::vector<ControllerAddress> controller_addresses_;
  std::vector<std::unique_ptr<VirtualController>> controllers_;
  std::vector<std::string> initial_machines_;  // ids, in the order of the trace
  std::map<std::string, int> writes_;          // changes of records, by key
  CrashOnWrite crash_on_write_;
};

}  // namespace damsonport::simulation
