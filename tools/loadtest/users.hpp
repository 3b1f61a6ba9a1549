/// The simulated users of one region: they submit jobs by the plan, retry submissions at other
/// controllers as the protocol asks, poll jobs and cancel them.
#pragma once
#include <map>
#include <string>
#include <vector>

#include "experiment_plan.hpp"
#include "real_time_world.hpp"
#include "simulation/simulated_fleet.hpp"

namespace damsonport::loadtest {

/// Measured values. All are kept, so that quantiles are exact.
using Samples = std::vector<float>;

/// Counts and times are of this region since the start of the run.
class Users {
 public:
  /// `plan`, `world` and `fleet` must outlive the users.
  Users(const ExperimentPlan& plan, size_t region, RealTimeWorld& world,
        simulation::SimulatedFleet& fleet);
  /// Schedules the first submissions and polls.
  void start();
  /// Cancels up to `count` accepted services, in the order of their acceptance, at random times
  /// within a second.
  void cancel_services(size_t count);
  /// Must be called whenever a task starts on a machine.
  void on_task_started(const TaskId& task);

  uint64_t starts() const { return starts_; }
  uint64_t submitted() const { return next_job_; }
  uint64_t accepted() const { return accepted_; }
  /// Seconds from the first attempt to submit a job until one of its tasks is on a machine.
  /// `submitted_at` is in seconds since the start of the run.
  struct Wait {
    float submitted_at, seconds;
  };
  /// By load, of jobs submitted after the warm-up.
  const std::map<std::string, std::vector<Wait>>& waits() const { return waits_; }
  /// Seconds from the first attempt to submit a job to its acceptance, after the warm-up.
  const Samples& accept_times() const { return accept_times_; }
  /// Number of responses by request and status, such as "submission 201" or "poll 200".
  const std::map<std::string, uint64_t>& response_counts() const { return response_counts_; }

 private:
  // A job whose submission has been sent at least once.
  struct SubmittedJob {
    const Load* load;
    double submitted_at;
    bool accepted = false, cancelled = false;
    std::vector<bool> started;  // by task index
  };
  // Schedules the next submission of the load, after a random delay.
  void schedule_next_job(const Load& load);
  void submit(const Load& load);
  // Retries at the region's next controller on errors other than a rejection, until
  // `submission_timeout_s` after `first_attempt_at`.
  void send_submission(const std::string& job, size_t controller, double first_attempt_at);
  void cancel(const std::string& job, size_t controller);
  // Polls a random accepted job at a random controller, and schedules the next poll.
  void poll();
  bool measured() const { return world_.now() >= plan_.warmup_s; }
  std::string controller_host(size_t controller) const;

  const ExperimentPlan& plan_;
  size_t region_;
  RealTimeWorld& world_;
  simulation::SimulatedFleet& fleet_;
  std::map<std::string, SubmittedJob> jobs_;
  std::vector<std::string> accepted_jobs_;  // ids, in order of acceptance
  uint64_t next_job_ = 0, starts_ = 0, accepted_ = 0;
  std::map<std::string, std::vector<Wait>> waits_;
  Samples accept_times_;
  std::map<std::string, uint64_t> response_counts_;
};

}  // namespace damsonport::loadtest
