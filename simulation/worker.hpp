/// Stand-in of a worker: the agent on one machine. Written from the protocol, not from the
/// controllers.
#pragma once
#include <functional>
#include <map>
#include <set>
#include <string>

#include "protocol/messages.hpp"
#include "simulation/world.hpp"

namespace damsonport::simulation {

class SimulatedFleet;

/// Identity and place of a machine.
struct MachineInfo {
  std::string id;
  std::string address;  // host:port of its worker
  std::string type;
  std::string zone;
  bool spot = false;
};

/// An attempt to run a task; a worker may hold several of one task, of which one at most runs.
struct TaskAttempt {
  TaskId task;
  uint64_t number = 0;
  auto operator<=>(const TaskAttempt&) const = default;
};

/// Sends heartbeats to one controller at a time, carries out commands, and ends all its tasks when
/// its lease ends. All of it runs on the world's single thread.
class Worker {
 public:
  Worker(World& world, SimulatedFleet& fleet, const MachineInfo& info);
  /// The machine is up: heartbeats begin, and commands are served.
  void begin();
  /// The whole machine stands still; what was due meanwhile happens afterwards.
  void hang(double seconds);
  /// The machine is gone, with all its tasks, for good.
  void terminate();

  struct RunningTask {
    TaskStatus report;
    double progress_s = 0;     // of its run time, when `since` was
    double since = 0;          // when its timer was set
    World::EventId next_step;  // valid while has_timer
    bool has_timer = false;
  };
  const std::map<TaskAttempt, RunningTask>& tasks() const { return tasks_; }
  /// Counts the leases that this worker lost, from 1 on.
  uint64_t agent_epoch() const { return agent_epoch_; }

  // --- called by GangRuns

  /// Whether the task has its image and waits for the others, on a machine that doesn't hang.
  bool is_ready_for_gang(const TaskAttempt& attempt) const;
  void run_gang_task(const TaskAttempt& attempt);
  /// On a machine that hangs: when it goes on.
  void end_gang_task(const TaskAttempt& attempt, ExitCause cause, bool saved);

  const std::string id;
  const std::string address;
  const std::string host;
  const std::string type;
  const std::string zone;
  const bool spot;
  bool loses_incoming_messages = false;
  bool loses_heartbeats = false;
  bool fails_tasks = false;
  bool gone = false;  // set by terminate()

  /// Keeps a copy of a heartbeat, to arrive once more at any time.
  void keep_heartbeat() { kept_heartbeat_ = encode(heartbeat()); }
  void redeliver_kept_heartbeat(const std::string& controller_host);

 private:
  // --- heartbeats and lease (worker.cpp)
  Json heartbeat();
  Json task_reports() const;
  void schedule_heartbeat(double seconds);
  void send_heartbeat();
  void on_change();
  void on_heartbeat_response(int status, const Json& body, uint64_t agent_epoch, double sent_at);
  void on_accepted_heartbeat(const Json& body, uint64_t agent_epoch, double sent_at);
  /// Follows a redirection or goes on to the next controller; yields seconds until it is asked.
  double select_next_controller(int status, const Json& body);
  /// Names the connection to the controller; one without an answer in time is not used again.
  std::string connection() const;
  void learn_fencing_token(uint64_t fencing_token);
  void restart_lease_timer();
  void lose_lease();
  bool is_hung() const { return world_.now() < hung_until_; }

  // --- commands and tasks (worker_tasks.cpp)
  void serve(Method method, const std::string& target, const std::string& body,
             const World::ResponseHandler& respond);
  void execute(const Json& commands);
  void start(const TaskAttempt& attempt);
  bool has_room_for_all_tasks() const;
  double image_fetch_s(const JobSpec& spec) const;
  void on_image_fetched(const TaskAttempt& attempt);
  void run_until_done(RunningTask& task, double min_s);
  void wait_for_gang(const TaskAttempt& attempt);
  void stop(RunningTask& task, double grace_s);
  void exit(RunningTask& task, ExitCause cause, bool saved = false);
  void resume_after_hang(const TaskAttempt& attempt, TaskState state);
  /// The other tasks of their gangs notice that all tasks here are gone or stand still.
  void report_lost_gang_tasks();
  void drop_tasks();
  /// Calls `then` with the task after so long, unless it ends or gets another timer before.
  void set_timer(RunningTask& task, double seconds, std::function<void(RunningTask&)> then);
  void clear_timer(RunningTask& task);

  World& world_;
  SimulatedFleet& fleet_;
  uint64_t agent_epoch_ = 1;
  uint64_t sequence_ = 0;        // of heartbeats
  uint64_t fencing_token_ = 0;   // the highest that was seen
  double lease_started_at_ = 0;  // when the last heartbeat was sent that was accepted
  double last_heartbeat_at_ = -1e9;
  double hung_until_ = -1;
  size_t controller_ = 0;           // that heartbeats go to, by index
  uint64_t connection_number_ = 0;  // counts the connections
  bool awaits_response_ = false;
  uint64_t heartbeat_number_ = 0;  // of the one that awaits its answer
  World::EventId next_heartbeat_;
  World::EventId lease_end_;
  std::map<TaskAttempt, RunningTask> tasks_;
  std::set<std::string> images_;
  std::string kept_heartbeat_;
};

}  // namespace damsonport::simulation
