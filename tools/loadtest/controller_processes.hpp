/// The real controller processes of an experiment: writes their settings files, starts, signals and
/// restarts them, and reads their processor time and memory.
#pragma once
#include <sys/types.h>

#include <map>
#include <string>
#include <vector>

#include "experiment_plan.hpp"

namespace damsonport::loadtest {

/// Processor time since the start of a process and its present resident memory, from /proc.
struct ProcessUsage {
  double user_s = 0, system_s = 0, resident_mb = 0;
  double cpu_s() const { return user_s + system_s; }
};
/// All figures are 0 if the process doesn't exist.
ProcessUsage read_process_usage(pid_t pid);

/// Owns the controller processes of all regions and kills them when it is destroyed.
class ControllerProcesses {
 public:
  /// Writes the settings files of all controllers, but starts none. `plan` must outlive this
  /// object. `directory` receives settings and logs; `program` is the path of the controller's
  /// executable.
  ControllerProcesses(const ExperimentPlan& plan, std::string directory, std::string program);
  ~ControllerProcesses();
  ControllerProcesses(const ControllerProcesses&) = delete;
  ControllerProcesses& operator=(const ControllerProcesses&) = delete;

  /// One controller, which may be started several times in a run.
  struct Process {
    std::string name;
    size_t region = 0;
    std::string host;
    pid_t pid = 0;                   // 0 while not running
    double previous_runs_cpu_s = 0;  // of earlier processes of this controller
    double restart_at = 0;           // after an unexpected exit; 0 if none
  };
  /// Throws if no child process can be forked.
  void start(Process& process);
  /// Kills with SIGKILL and waits for the end. Does nothing if the controller isn't running.
  void kill(Process& process);
  /// Does nothing if the controller isn't running.
  void signal(const Process& process, int number);
  /// The region's controllers with this name; all controllers of the region if the name is empty.
  std::vector<Process*> find(size_t region, const std::string& name = {});
  std::vector<Process>& all() { return processes_; }
  /// Returns how many controllers have exited unexpectedly since the last call, and starts each
  /// again after a pause. `now` is in seconds since the start of the run.
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
