/// How the stand-in workers run gangs, written from the protocol: the tasks of an attempt find each
/// other, start and complete together, and notice when one of them is gone.
#pragma once
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "protocol/messages.hpp"
#include "simulation/world.hpp"

namespace damsonport::simulation {

class SimulatedFleet;
class Worker;
struct TaskAttempt;

/// Called by workers, on the world's single thread.
class GangRuns {
 public:
  GangRuns(World& world, SimulatedFleet& fleet) : world_(world), fleet_(fleet) {}
  /// A task has its image and waits for the others; the last one starts them all.
  void on_task_ready(const TaskAttempt& attempt);
  /// A task of the gang is gone, or its machine stands still.
  void on_task_lost(const TaskAttempt& attempt);
  /// Whether stopping the task was left to its gang.
  enum class StopResult : uint8_t { gang_stops, gang_not_running };
  [[nodiscard]] StopResult stop_task(Worker& worker, const TaskAttempt& attempt, double grace_s);

  /// Attempts of the job that began to run.
  int starts(const std::string& job) const;
  /// Progress that was lost with attempts that ended without saving.
  double lost_progress_s(const std::string& job) const;

 private:
  struct RunId {
    std::string job;
    uint64_t attempt = 0;
    auto operator<=>(const RunId&) const = default;
  };
  struct Run {
    bool is_running = false;
    bool has_ended = false;
    double started_at = 0;
    double initial_progress_s = 0;
    std::optional<double> first_stop_at;
    std::set<TaskId> stopped;  // tasks that were told to stop
    World::EventId completion;
  };
  struct Member {
    Worker* worker;
    TaskId task;
  };
  std::vector<Member> members(const RunId& id) const;
  /// Null: the gang doesn't run.
  Run* find_running(const RunId& id);
  double progress_s(const Run& run) const;
  void begin_run(const RunId& id, Run& run);
  void complete(const RunId& id);
  /// Ends without saving: back to the last checkpoint.
  void revert_to_checkpoint(const RunId& id, Run& run);
  void end_tasks(const RunId& id, ExitCause cause, bool saved);
  void save(const RunId& id);
  /// Some of the tasks were not told to stop in time.
  void on_stop_timeout(const RunId& id);
  const JobSpec& spec(const std::string& job) const;

  World& world_;
  SimulatedFleet& fleet_;
  std::map<RunId, Run> runs_;
  std::map<std::string, double> saved_progress_s_;  // kept outside the machines, by job
  std::map<std::string, int> starts_;               // by job
  std::map<std::string, double> lost_progress_s_;   // by job
};

}  // namespace damsonport::simulation
