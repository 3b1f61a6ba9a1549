/// All simulated machines of one deployment: their workers, the cloud that rents them out, and the
/// state that the workers share.
#pragma once
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "config/settings.hpp"
#include "protocol/messages.hpp"
#include "simulation/cloud.hpp"
#include "simulation/gang_runs.hpp"
#include "simulation/rule_checker.hpp"
#include "simulation/worker.hpp"
#include "simulation/world.hpp"

namespace damsonport::simulation {

/// Name and network address of a controller, as workers know them.
struct ControllerAddress {
  std::string name;
  std::string host;
};

/// Owns the workers. Workers of terminated machines are kept so that tests can inspect them.
class SimulatedFleet {
 public:
  /// `settings` must outlive the fleet. `address_prefix` is the start of all machine addresses and
  /// ends with a dot.
  SimulatedFleet(World& world, const Settings& settings, std::vector<MachineType> machine_types,
                 std::vector<ControllerAddress> controllers, std::string address_prefix = "10.1.");

  /// Adds a machine that is up and sends heartbeats from now on.
  Worker& add_up(const std::string& type, const std::string& zone, bool spot);
  /// Adds a machine that starts to boot.
  Worker& add(const std::string& type, const std::string& zone, bool spot);
  /// Returns null if there is no such machine, or if it has been terminated.
  Worker* find(const std::string& id);
  const std::map<std::string, std::unique_ptr<Worker>>& workers() const { return workers_; }
  /// Returns null if the machine type catalog has no type of this name.
  const MachineType* find_type(const std::string& name) const;

  Cloud& cloud() { return cloud_; }
  const Cloud& cloud() const { return cloud_; }
  RuleChecker& rules() { return rules_; }
  GangRuns& gangs() { return gangs_; }
  const GangRuns& gangs() const { return gangs_; }

  // --- properties of jobs

  /// The run time of each task of a job, in seconds.
  void set_run_time(const std::string& job, double seconds) { run_time_s_[job] = seconds; }
  double run_time(const std::string& job) { return run_time_s_[job]; }
  /// Sets the jobs whose tasks fail on every machine.
  void set_broken_jobs(std::set<std::string> jobs) { broken_jobs_ = std::move(jobs); }
  bool is_broken(const std::string& job) const { return broken_jobs_.contains(job); }

  /// Returns a name of the shard lease to which a fencing token belongs. By default each token is a
  /// lease of its own.
  std::function<std::string(uint64_t fencing_token)> lease_of = [](uint64_t fencing_token) {
    return std::to_string(fencing_token);
  };

  // --- state that survives the loss of machines

  /// The saved progress of a task, in seconds of its run time.
  void save_progress(const TaskId& task, double seconds) { saved_progress_s_[task] = seconds; }
  double saved_progress_s(const TaskId& task) { return saved_progress_s_[task]; }
  void count_start(const std::string& job) { ++starts_[job]; }
  /// The number of task starts of the job that fetched their image, including those that failed
  /// afterwards.
  int starts(const std::string& job) const;

  const Settings& settings;
  const std::vector<ControllerAddress> controllers;

 private:
  World& world_;
  const std::string address_prefix_;
  RuleChecker rules_;
  GangRuns gangs_;
  Cloud cloud_;
  std::map<std::string, std::unique_ptr<Worker>> workers_;  // by id
  int last_number_ = 0;                                     // of the machine that was added last
  std::map<std::string, double> run_time_s_;                // by job
  std::set<std::string> broken_jobs_;
  std::map<TaskId, double> saved_progress_s_;
  std::map<std::string, int> starts_;  // by job
};

}  // namespace damsonport::simulation
