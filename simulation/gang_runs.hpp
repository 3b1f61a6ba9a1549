// How the stand-in workers run gangs, written from the protocol: the tasks of an attempt find each
// other, start and complete together, and notice when one of them is gone.
#pragma once
#include <map>
#include <set>

#include "protocol/messages.hpp"
#include "simulation/world.hpp"

namespace damsonport::simulation {

class Fleet;
class Worker;

class GangRuns {
 public:
  GangRuns(World& world, Fleet& fleet) : world_(world), fleet_(fleet) {}
  // A task has its image and waits for the others; the last one starts them all.
  void arrived(const TaskId& task, uint64_t attempt);
  // A task of the gang is gone, or its machine stands still.
  void lost(const TaskId& task, uint64_t attempt);
  // A task of a running gang was told to stop. False: the gang does not run, the task just exits.
  bool told_to_stop(Worker& worker, const TaskId& task, uint64_t attempt, double grace_s);
  // Attempts that began to run, of this job.
  int starts(const std::string& job) const;
  // Progress that was lost with attempts that ended without saving.
  double lost_progress(const std::string& job) const;

 private:
  using Key = std::pair<std::string, uint64_t>;
  struct Run {
    bool running = false, ended = false;
    double begun_at = 0, progress = 0;  // progress at that moment
    double first_halt = -1;
    std::set<TaskId> told;
    World::Key completion{};
  };
  struct Member {
    Worker* worker;
    TaskId task;
  };
  std::vector<Member> members(const Key& key) const;
  double progress(const Run& run) const;
  void complete(const Key& key);
  // Without having saved: back to the last checkpoint.
  void fall_back(const Key& key, Run& run);
  void end(const Key& key, ExitCause cause, bool saved);
  void save(const Key& key);

  World& world_;
  Fleet& fleet_;
  std::map<Key, Run> runs_;
  std::map<std::string, double> saved_;  // progress kept outside the machines, by job
  std::map<std::string, int> starts_;
  std::map<std::string, double> lost_progress_;
};

}  // namespace damsonport::simulation
