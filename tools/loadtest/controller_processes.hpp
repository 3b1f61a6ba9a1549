// The real controller processes of an experiment: their files, their lives and what they take.
#pragma once
#include <sys/types.h>

#include <map>
#include <string>
#include <vector>

#include "experiment_plan.hpp"

namespace damsonport::loadtest {

// What a process has taken, as the kernel counts it.
struct ProcessUsage {
  double user_s = 0, system_s = 0, resident_mb = 0;
  double cpu_s() const { return user_s + system_s; }
};
// Nothing where the process is gone.
ProcessUsage read_process_usage(pid_t pid);

class ControllerProcesses {
 public:
  // `directory`: for settings and logs. `program`: the controller.
  ControllerProcesses(const ExperimentPlan& plan, std::string directory, std::string program);
  ~ControllerProcesses();
  ControllerProcesses(const ControllerProcesses&) = delete;
  ControllerProcesses& operator=(const ControllerProcesses&) = delete;

  struct Process {
    std::string name;
    size_t region = 0;
    std::string host;
    pid_t pid = 0;
    double previous_runs_cpu_s = 0;  // of its earlier lives
    double restart_at = 0;           // ended by itself; 0: no
  };
  void start(Process& process);
  void kill(Process& process);
  void signal(const Process& process, int number);
  // Of a region; without a name, all of it.
  std::vector<Process*> find(size_t region, const std::string& name = {});
  std::vector<Process>& all() { return processes_; }
  // Those that ended by themselves since the last call; started again after a while.
  int restart_exited(double now);

 private:
  void write_settings(const Process& process, size_t n) const;
  void write_regions(size_t region) const;
  bool gets_replicas_file(size_t region) const;
  std::string replicas_path() const;
  void write_replicas() const;
  std::string path(const Process& process, const char* ending) const;

  const ExperimentPlan& plan_;
  std::string directory_, program_;
  std::vector<Process> processes_;
};

}  // namespace damsonport::loadtest
