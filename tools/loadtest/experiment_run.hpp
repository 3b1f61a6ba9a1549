// One run of an experiment: starts the processes, strikes with the faults, samples, and ends all.
#pragma once
#include <memory>
#include <ostream>

#include "child_process.hpp"
#include "controllers.hpp"
#include "results.hpp"
#include "team_use.hpp"

namespace damsonport::loadtest {

class ExperimentRun {
 public:
  ExperimentRun(const Experiment& plan, const std::string& directory, const std::string& program,
                std::ostream& progress);
  // Ends early when `stop` is set.
  Results run(const volatile bool& stop);

 private:
  // A process that is sampled, with its figures as of the last second.
  struct Sampled {
    std::string role;
    size_t region = 0;
    double cpu_s = 0;
  };
  struct PendingFault {
    double at_s;
    std::function<void()> act;
  };
  void start_all();
  void plan_faults();
  void plan_fault(const Fault& fault);
  void kill_controllers(std::vector<Controllers::One*> victims, const std::string& what,
                        double for_s);
  void hear();
  void sample(bool measured);
  void sample_process(pid_t pid, double ended_cpu_s, const std::string& key,
                      const std::string& role, size_t region, bool measured, double& memory_mb);
  void show_progress();
  void show_placement(const Json& second);
  void finish();
  double elapsed() const;
  std::string describe(const Fault& fault) const;

  const Experiment& plan_;
  std::ostream& progress_;
  TeamUse use_;
  std::vector<std::unique_ptr<ChildProcess>> states_, region_processes_;
  std::unique_ptr<ChildProcess> links_;
  std::unique_ptr<Controllers> controllers_;
  double begun_ = 0;
  std::vector<std::string> holders_;  // by region
  std::vector<Json> region_seconds_;
  std::map<std::string, Sampled> sampled_;
  std::map<std::string, std::pair<double, double>> second_of_role_;
  std::vector<PendingFault> faults_;
  std::map<size_t, size_t> open_fault_;  // region -> place of a fault that waits for a holder
  double last_starts_ = 0;
  size_t finals_ = 0;
  Results results_;
};

}  // namespace damsonport::loadtest
