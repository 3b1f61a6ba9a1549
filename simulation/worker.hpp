/// Simulates a worker, the agent on one machine. The simulation follows the protocol and shares no
/// code with the controllers.
#pragma once
#include <functional>
#include <map>
#include <set>
#include <string>

#include "protocol/messages.hpp"
#include "simulation/world.hpp"

namespace damsonport::simulation {

class SimulatedFleet;

/// Identity and location of a machine.
struct MachineInfo {
  std::string id;
  std::string address;  // host:port of its worker
  std::string type;
  std::string zone;
  bool spot = false;
};

/// An attempt to run a task. A worker may hold several attempts of a task, at most one of which is
/// running.
struct TaskAttempt {
  TaskId task;
  uint64_t number = 0;
  auto operator<=>(const TaskAttempt&) const = default;
};

/// Sends heartbeats to one controller at a time, executes commands, and ends all its tasks when its
/// lease ends. Runs on the world's single thread.
class Worker {
 public:
  Worker(World& world, SimulatedFleet& fleet, const MachineInfo& info);
  /// Marks the machine as up: the worker starts to send heartbeats and to serve commands.
  void begin();
  /// Pauses the whole machine. Events that are due in the meantime happen when it resumes.
  void hang(double seconds);
  /// Removes the machine and all its tasks permanently.
  void terminate();

  /// An attempt on this worker, from its start until a controller removes it.
  struct RunningTask {
    TaskStatus report;
    double progress_s = 0;     // progress at the time `since`, in seconds of run time
    double since = 0;          // time at which the timer was set
    World::EventId next_step;  // valid if `has_timer`
    bool has_timer = false;
  };
  const std::map<TaskAttempt, RunningTask>& tasks() const { return tasks_; }
  /// The agent epoch starts at 1 and increases with each loss of the lease.
  uint64_t agent_epoch() const { return agent_epoch_; }
  /// Size of the heartbeat with the most tasks so far, in bytes of JSON.
  size_t largest_report_bytes() const { return largest_report_bytes_; }

  // --- called by GangRuns

  /// Returns whether the task has fetched its image and waits for the others, on a machine that
  /// isn't hung.
  bool is_ready_for_gang(const TaskAttempt& attempt) const;
  /// Marks a waiting task as running.
  void run_gang_task(const TaskAttempt& attempt);
  /// Ends the task at once, or when a hung machine resumes.
  void end_gang_task(const TaskAttempt& attempt, ExitCause cause, bool saved);

  const std::string id;
  const std::string address;
  const std::string host;
  const std::string type;
  const std::string zone;
  const bool spot;
  /// Set while the worker receives neither requests nor responses.
  bool loses_incoming_messages = false;
  /// Set while the worker's heartbeats are lost.
  bool loses_heartbeats = false;
  /// Set while controllers' requests to the worker are lost; its heartbeats are answered.
  bool loses_requests = false;
  /// While positive, direct commands are carried out this many seconds late and not answered.
  double command_delay_s = 0;
  /// Set while every task fails as soon as it has fetched its image.
  bool fails_tasks = false;
  bool gone = false;  // set by terminate()

  /// Keeps a copy of the current heartbeat, which redeliver_kept_heartbeat() delivers again later.
  void keep_heartbeat() { kept_heartbeat_ = encode(heartbeat()); }
  void redeliver_kept_heartbeat(const std::string& controller_host);

 private:
  // --- heartbeats and lease (worker.cpp)
  Json heartbeat();
  Json task_reports() const;
  void note_size(const Json& heartbeat);
  void schedule_heartbeat(double seconds);
  void send_heartbeat();
  void on_change();
  void on_heartbeat_response(int status, const Json& body, uint64_t agent_epoch, double sent_at);
  void on_accepted_heartbeat(const Json& body, uint64_t agent_epoch, double sent_at);
  /// Follows a redirection or selects the next controller in turn. Returns the delay in seconds
  /// until the next heartbeat.
  double select_next_controller(int status, const Json& body);
  /// Names the connection to the controller. A connection with a response that timed out isn't used
  /// again.
  std::string connection() const;
  void learn_fencing_token(uint64_t fencing_token);
  void restart_lease_timer();
  void lose_lease();
  bool is_hung() const { return world_.now() < hung_until_; }

  // --- commands and tasks (worker_tasks.cpp)
  void serve(Method method, const std::string& target, const std::string& body,
             const World::ResponseHandler& respond);
  /// Carries out the commands if they are of the present agent epoch and of no earlier fencing
  /// token. Returns whether they were.
  bool accept_commands(const Json& message);
  void execute(const Json& commands);
  /// Reports a violation if a controller has removed this attempt in the current agent epoch under
  /// the current shard lease.
  void check_not_removed(const TaskAttempt& attempt) const;
  void start(const TaskAttempt& attempt);
  bool has_room_for_all_tasks() const;
  double image_fetch_s(const JobSpec& spec) const;
  void on_image_fetched(const TaskAttempt& attempt);
  void run_until_done(RunningTask& task, double min_s);
  void wait_for_gang(const TaskAttempt& attempt);
  void stop(RunningTask& task, double grace_s);
  void exit(RunningTask& task, ExitCause cause, bool saved = false);
  void resume_after_hang(const TaskAttempt& attempt, TaskState state);
  /// Reports to the gangs that all running gang tasks of this machine are lost or paused.
  void report_lost_gang_tasks();
  void drop_tasks();
  /// Calls `then` with the task after `seconds`, unless the task ends or its timer is replaced
  /// before.
  void set_timer(RunningTask& task, double seconds, std::function<void(RunningTask&)> then);
  void clear_timer(RunningTask& task);

  World& world_;
  SimulatedFleet& fleet_;
  uint64_t agent_epoch_ = 1;
  uint64_t sequence_ = 0;        // of the last heartbeat
  uint64_t fencing_token_ = 0;   // the highest one seen
  double lease_started_at_ = 0;  // when the last accepted heartbeat was sent
  double last_heartbeat_at_ = -1e9;
  double hung_until_ = -1;
  size_t controller_ = 0;           // index of the controller that gets the heartbeats
  uint64_t connection_number_ = 0;  // increases with each new connection
  bool awaits_response_ = false;
  uint64_t heartbeat_number_ = 0;  // the heartbeat that awaits its response
  World::EventId next_heartbeat_;
  World::EventId lease_end_;
  std::map<TaskAttempt, RunningTask> tasks_;
  // Attempts that were removed in the current agent epoch under the current shard lease.
  std::set<TaskAttempt> removed_;
  std::set<std::string> images_;
  std::string kept_heartbeat_;
  size_t most_tasks_ = 0;  // in a heartbeat
  size_t largest_report_bytes_ = 0;
};

}  // namespace damsonport::simulation
