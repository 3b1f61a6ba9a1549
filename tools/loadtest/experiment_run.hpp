/// One run of an experiment: starts all processes, injects the planned faults, samples processor
/// time and memory once a second, and ends all processes.
#pragma once
#include <memory>
#include <ostream>

#include "child_process.hpp"
#include "controller_processes.hpp"
#include "results.hpp"
#include "team_usage.hpp"

namespace damsonport::loadtest {

/// Owns the processes of a run. `run` may be called once.
class ExperimentRun {
 public:
  /// `plan` and `progress` must outlive the run. `directory` receives the controllers' settings and
  /// logs; `program` is the path of the controller's executable. Progress lines are written to
  /// `progress` during the run.
  ExperimentRun(const ExperimentPlan& plan, const std::string& directory,
                const std::string& program, std::ostream& progress);
  /// Returns when the plan's time is over, or earlier if a signal handler sets `stop`; the results
  /// then cover the time until the stop.
  Results run(const volatile bool& stop);

 private:
  // The last sample of a process.
  struct SampledProcess {
    std::string role;
    size_t region = 0;
    double cpu_s = 0;
  };
  // Injects a fault or ends it, at a time since the start of the run.
  struct ScheduledAction {
    double at_s;
    std::function<void()> action;
  };
  void start_all();
  // The child processes that stand for what the controllers talk to.
  std::vector<ChildProcess*> emulators() const;
  // Whether an emulator has ended by itself; reports it as a broken rule.
  bool has_lost_emulator();
  // Takes the final message of the clients that send malformed requests.
  void read_health_checks(const Json& message);
  void schedule_faults();
  // Starts the fault now, records it in the results, and schedules its end.
  void inject_fault(const Fault& fault);
  // Kills the controllers and schedules their restart in `for_s` seconds.
  void kill_controllers(std::vector<ControllerProcesses::Process*> targets,
                        const std::string& description, double for_s);
  // Takes the messages of all child processes that have arrived.
  void read_messages();
  // Samples all processes. `measured`: the warm-up is over, so the sample goes into the results.
  void sample(bool measured);
  // Adds the process's resident memory to `memory_mb`.
  void sample_process(pid_t pid, double previous_runs_cpu_s, const std::string& key,
                      const std::string& role, size_t region, bool measured, double& memory_mb);
  void print_progress();
  // Prints the tasks on each machine, for plans that are small enough to report them.
  void print_placement(const Json& second);
  // Collects the final messages of the child processes and ends the controllers.
  void finish();
  // Seconds since the start of the run.
  double elapsed() const;
  std::string describe(const Fault& fault) const;

  const ExperimentPlan& plan_;
  std::ostream& progress_;
  TeamUsage team_usage_;
  std::vector<std::unique_ptr<ChildProcess>> key_value_stores_, region_processes_,
      malformed_clients_;
  std::unique_ptr<ChildProcess> region_links_;
  std::unique_ptr<ControllerProcesses> controllers_;
  double started_at_ = 0;                   // CLOCK_MONOTONIC, seconds
  std::vector<std::string> shard_leaders_;  // names, by region; empty if unknown
  std::vector<Json> latest_region_reports_;
  std::map<std::string, SampledProcess> sampled_;
  std::map<std::string, std::pair<double, double>> second_of_role_;
  std::vector<ScheduledAction> scheduled_actions_;
  // By region, the index in `results_.faults` of the last fault that took the shard leader away.
  // The entry is removed when the next shard leader is known.
  std::map<size_t, size_t> unresolved_faults_;
  double last_starts_ = 0;
  size_t final_messages_ = 0;
  bool lost_emulator_ = false;
  Results results_;
};

}  // namespace damsonport::loadtest
