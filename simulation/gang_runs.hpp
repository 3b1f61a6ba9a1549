/// Simulates how workers run gangs. The tasks of an attempt find each other, start and complete
/// together, and detect the loss of a task. The simulation follows the protocol and shares no code
/// with the controllers.
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

/// Coordinates the tasks of all gangs of a fleet and keeps their progress. Workers call the
/// functions on the world's single thread.
class GangRuns {
 public:
  GangRuns(World& world, SimulatedFleet& fleet) : world_(world), fleet_(fleet) {}
  /// Handles a task that has fetched its image and waits for the others. The last task of the gang
  /// starts all of them.
  void on_task_ready(const TaskAttempt& attempt);
  /// Handles the loss of a task, or the hang of its machine. The other tasks of the gang end once
  /// they have detected the loss.
  void on_task_lost(const TaskAttempt& attempt);
  /// Says who stops a task: its gang does, or the gang isn't running and the worker must do it.
  enum class StopResult : uint8_t { gang_stops, gang_not_running };
  /// Handles a stop command for a task. The gang saves its progress once all its tasks have got the
  /// command, if `grace_s` is long enough for that.
  [[nodiscard]] StopResult stop_task(Worker& worker, const TaskAttempt& attempt, double grace_s);

  /// The number of attempts of the job that have started to run.
  int starts(const std::string& job) const;
  /// The progress of the job, in seconds of run time, that was lost with attempts that ended
  /// without saving.
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
    std::set<TaskId> stopped;  // tasks that have got a stop command
    World::EventId completion;
  };
  struct Member {
    Worker* worker;
    TaskId task;
  };
  std::vector<Member> members(const RunId& id) const;
  /// Returns null if the gang isn't running.
  Run* find_running(const RunId& id);
  double progress_s(const Run& run) const;
  void begin_run(const RunId& id, Run& run);
  void complete(const RunId& id);
  /// Ends a run without saving; its progress reverts to the last checkpoint.
  void revert_to_checkpoint(const RunId& id, Run& run);
  void end_tasks(const RunId& id, ExitCause cause, bool saved);
  void save(const RunId& id);
  /// Reverts to the last checkpoint if some of the tasks haven't got a stop command in time.
  void on_stop_timeout(const RunId& id);
  const JobSpec& spec(const std::string& job) const;

  World& world_;
  SimulatedFleet& fleet_;
  std::map<RunId, Run> runs_;
  std::map<std::string, double> saved_progress_s_;  // by job; survives the loss of machines
  std::map<std::string, int> starts_;               // by job
  std::map<std::string, double> lost_progress_s_;   // by job
};

}  // namespace damsonport::simulation
