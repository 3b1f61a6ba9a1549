// The real controller processes of an experiment: their files, their lives and what they take.
#pragma once
#include <sys/types.h>

#include <map>
#include <string>
#include <vector>

#include "experiment.hpp"

namespace damsonport::loadtest {

// What a process has taken, as the kernel counts it.
struct ProcessFigures {
  double user_s = 0, system_s = 0, resident_mb = 0;
  double cpu_s() const { return user_s + system_s; }
};
// Nothing where the process is gone.
ProcessFigures read_figures(pid_t pid);

class Controllers {
 public:
  // `directory`: for settings and logs. `program`: the controller.
  Controllers(const Experiment& plan, std::string directory, std::string program);
  ~Controllers();
  Controllers(const Controllers&) = delete;
  Controllers& operator=(const Controllers&) = delete;

  struct One {
    std::string name;
    size_t region = 0;
    std::string host;
    pid_t pid = 0;
    double ended_cpu_s = 0;  // of its earlier lives
    double restart_at = 0;   // ended by itself; 0: no
  };
  void start(One& one);
  void kill(One& one);
  void signal(const One& one, int number);
  // Of a region; without a name, all of it.
  std::vector<One*> find(size_t region, const std::string& name = {});
  std::vector<One>& all() { return all_; }
  // Those that ended by themselves since the last call; started again after a while.
  int restart_ended(double now);

 private:
  void write_settings(const One& one, size_t n) const;
  void write_regions(size_t region) const;
  bool knows_replicas(size_t region) const;
  std::string replicas_path() const;
  void write_replicas() const;
  std::string path(const One& one, const char* ending) const;

  const Experiment& plan_;
  std::string directory_, program_;
  std::vector<One> all_;
};

}  // namespace damsonport::loadtest
