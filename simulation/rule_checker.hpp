/// Checks the rules of the protocol while real controllers run against the simulated environment:
/// the responses to users, and where and when tasks run. The checks follow the protocol and share
/// no code with the controllers.
#pragma once
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "config/settings.hpp"
#include "protocol/messages.hpp"
#include "simulation/replica_checker.hpp"
#include "simulation/world.hpp"

namespace damsonport::simulation {

class Worker;

/// Returns whether the task occupies resources of its machine, which it also does while it saves or
/// waits for its gang.
bool occupies_machine(const TaskStatus& task);

/// Collects the violations of the rules. Users and workers report each event to the checker.
class RuleChecker {
 public:
  /// `settings` must outlive the checker.
  RuleChecker(World& world, const Settings& settings)
      : world_(world), settings_(settings), replicas_(world, [this](auto& rule, auto& description) {
          report_violation(rule, description);
        }) {}

  // --- called by users

  /// Handles the first submission of a job; resubmissions are ignored.
  void on_submission(const JobSpec& spec) { specs_.emplace(spec.id, spec); }
  /// Checks a response to a user's request that was sent at `requested_at`. `state` is the job's
  /// status in the response, or empty.
  void on_response(const std::string& job, int status, const std::string& state,
                   double requested_at);
  /// Handles a user's request to cancel a job.
  void on_cancel_request(const std::string& job) { cancel_requested_.insert(job); }

  // --- called by workers

  /// Checks the start of a task that has fetched its image. The task counts as present until
  /// on_task_left().
  void on_task_started(const Worker& worker, const TaskId& task, uint64_t attempt);
  void on_task_left(const Worker& worker, const TaskId& task);
  void on_task_done(const TaskId& task) { done_.insert(task); }

  /// Called for each start of a task, after the checks.
  std::function<void(const TaskId& task)> on_start;
  /// Called with the change of a team's usage when a task starts or leaves.
  std::function<void(const std::string& team, double cpus, double gpus)> on_use;

  // --- results

  /// Records the violation of a rule with the current time of the world.
  void report_violation(const std::string& rule, const std::string& description);
  const std::vector<std::string>& violations() const { return violations_; }
  ReplicaChecker& replicas() { return replicas_; }
  /// Returns the job as its user submitted it, or null if nobody has submitted it.
  const JobSpec* spec(const std::string& job) const;
  bool is_done(const TaskId& task) const { return done_.contains(task); }
  /// The number of tasks that started after the cancellation of their job was confirmed.
  int starts_after_cancellation() const { return starts_after_cancellation_; }
  /// Returns whether the job's final status in responses to users was `state` (`done` or
  /// `aborted`).
  bool ended_as(const std::string& job, const std::string& state) const;
  bool is_accepted(const std::string& job) const { return accepted_at_.contains(job); }
  /// Returns the accepted jobs without a cancel request.
  std::vector<std::string> jobs_to_serve() const;
  /// Returns when a user last got a response about the job, or nothing if there was none.
  std::optional<double> last_response_at(const std::string& job) const;

 private:
  struct Usage {
    double cpus = 0;
    double gpus = 0;
  };
  struct FinalState {
    double at;
    std::string state;
  };
  void check_known_job_response(const std::string& job, int status, bool was_accepted);
  void check_final_state(const std::string& job, const std::string& state, double requested_at);
  void check_cancelled_job_is_gone(const std::string& job);
  void check_single_instance(const std::string& machine, const TaskId& task);
  void check_not_cancelled(const std::string& machine, const TaskId& task);
  void check_placement(const JobSpec& spec, const Worker& worker, const TaskId& task);
  void check_quota(const std::string& team);
  void count_usage(const JobSpec& spec, const std::string& zone, int sign);

  World& world_;
  const Settings& settings_;
  std::map<std::string, JobSpec> specs_;
  std::map<std::string, double> accepted_at_;  // by job; time of the first response that says so
  std::map<std::string, double> last_response_at_;  // by job
  std::map<std::string, FinalState> final_states_;
  std::set<std::string> cancel_requested_;
  std::set<TaskId> done_;
  std::vector<std::string> violations_;
  // The tasks that are on machines now.
  std::map<TaskId, std::vector<std::string>> machines_of_;
  std::map<std::string, std::map<std::string, int>> tasks_in_zone_;  // by job
  std::map<std::string, Usage> usage_;                               // by team
  int starts_after_cancellation_ = 0;
  ReplicaChecker replicas_;
};

}  // namespace damsonport::simulation
