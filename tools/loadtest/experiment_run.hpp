// One run of an experiment: starts the processes, strikes with the faults, samples, and ends all.
#pragma once
#include <memory>
#include <ostream>

#include "child_process.hpp"
#include "controller_processes.hpp"
#include "results.hpp"
#include "team_usage.hpp"

namespace damsonport::loadtest {

class ExperimentRun {
 public:
  ExperimentRun(const ExperimentPlan& plan, const std::string& directory,
                const std::string& program, std::ostream& progress);
  // Ends early when `stop` is set.
  Results run(const volatile bool& stop);

 private:
  // A process that is sampled, with its figures as of the last second.
  struct SampledProcess {
    std::string role;
    size_t region = 0;
    double cpu_s = 0;
  };
  struct ScheduledAction {
    double at_s;
    std::function<void()> action;
  };
  void start_all();
  void schedule_faults();
  void inject_fault(const Fault& fault);
  void kill_controllers(std::vector<ControllerProcesses::Process*> targets,
                        const std::string& description, double for_s);
  void read_messages();
  void sample(bool measured);
  void sample_process(pid_t pid, double previous_runs_cpu_s, const std::string& key,
                      const std::string& role, size_t region, bool measured, double& memory_mb);
  void print_progress();
  void print_placement(const Json& second);
  void finish();
  double elapsed() const;
  std::string describe(const Fault& fault) const;

  const ExperimentPlan& plan_;
  std::ostream& progress_;
  TeamUsage team_usage_;
  std::vector<std::unique_ptr<ChildProcess>> key_value_stores_, region_processes_;
  std::unique_ptr<ChildProcess> region_links_;
  std::unique_ptr<ControllerProcesses> controllers_;
  double started_at_ = 0;
  std::vector<std::string> shard_leaders_;  // by region
  std::vector<Json> latest_region_reports_;
  std::map<std::string, SampledProcess> sampled_;
  std::map<std::string, std::pair<double, double>> second_of_role_;
  std::vector<ScheduledAction> scheduled_actions_;
  std::map<size_t, size_t>
      unresolved_faults_;  // region -> place of a fault that waits for a holder
  double last_starts_ = 0;
  size_t final_messages_ = 0;
  Results results_;
};

}  // namespace damsonport::loadtest
