/// Checks the rules of the protocol while whole controllers run against the stand-ins: what users
/// are answered, and where and when tasks run. Written from the protocol, not from the controllers.
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

/// Whether the task takes resources of its machine: also while it saves or waits for its gang.
bool occupies_machine(const TaskStatus& task);

class RuleChecker {
 public:
  /// `settings` must outlive the checker.
  RuleChecker(World& world, const Settings& settings)
      : world_(world),
        settings_(settings),
        replicas_(world, [this](auto& rule, auto& what) { report_violation(rule, what); }) {}

  // --- called by users

  void on_submission(const JobSpec& spec) { specs_.emplace(spec.id, spec); }
  /// A user got this answer to a request made at `requested_at`. `state`: of the job, if the answer
  /// names it.
  void on_response(const std::string& job, int status, const std::string& state,
                   double requested_at);
  void on_cancel_request(const std::string& job) { cancel_requested_.insert(job); }

  // --- called by workers

  /// A task has its image and begins; it counts until it leaves.
  void on_task_started(const Worker& worker, const TaskId& task, uint64_t attempt);
  void on_task_left(const Worker& worker, const TaskId& task);
  void on_task_done(const TaskId& task) { done_.insert(task); }

  /// Called after the rules were checked for a task that starts.
  std::function<void(const TaskId& task)> on_start;
  /// Called when what a team's tasks use on machines changes by so much.
  std::function<void(const std::string& team, double cpus, double gpus)> on_use;

  // --- results

  /// Notes a broken rule with the time of the world.
  void report_violation(const std::string& rule, const std::string& what);
  const std::vector<std::string>& violations() const { return violations_; }
  ReplicaChecker& replicas() { return replicas_; }
  /// The job as its user submitted it; null: nobody did.
  const JobSpec* spec(const std::string& job) const;
  bool is_done(const TaskId& task) const { return done_.contains(task); }
  /// Tasks that started after their job was confirmed as cancelled.
  int starts_after_cancellation() const { return starts_after_cancellation_; }
  /// Whether `state` (done or aborted) was the final answer about the job.
  bool ended_as(const std::string& job, const std::string& state) const;
  bool is_accepted(const std::string& job) const { return accepted_at_.contains(job); }
  /// Jobs that were accepted and that nobody asked to cancel.
  std::vector<std::string> jobs_to_serve() const;
  /// When the job was last answered about; empty: never.
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
  std::map<std::string, double> accepted_at_;       // as its user learned it first
  std::map<std::string, double> last_response_at_;  // by job
  std::map<std::string, FinalState> final_states_;
  std::set<std::string> cancel_requested_;
  std::set<TaskId> done_;
  std::vector<std::string> violations_;
  // What is on machines now.
  std::map<TaskId, std::vector<std::string>> machines_of_;
  std::map<std::string, std::map<std::string, int>> tasks_in_zone_;  // by job
  std::map<std::string, Usage> usage_;                               // by team
  int starts_after_cancellation_ = 0;
  ReplicaChecker replicas_;
};

}  // namespace damsonport::simulation
