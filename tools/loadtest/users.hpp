// The users of one region: they submit jobs by the plan, come back as the protocol says, poll and
// cancel.
#pragma once
#include <map>
#include <string>
#include <vector>

#include "experiment_plan.hpp"
#include "real_time_world.hpp"
#include "simulation/simulated_fleet.hpp"

namespace damsonport::loadtest {

// Measured values, kept whole so that quantiles are exact.
using Samples = std::vector<float>;

class Users {
 public:
  Users(const ExperimentPlan& plan, size_t region, RealTimeWorld& world,
        simulation::SimulatedFleet& fleet);
  void start();
  // Calls off so many services that run, the oldest first, within a second.
  void cancel_services(size_t count);
  // Called when a task is on its machine.
  void on_task_started(const TaskId& task);

  uint64_t starts() const { return starts_; }
  uint64_t submitted() const { return next_job_; }
  uint64_t accepted() const { return accepted_; }
  // From the first attempt to submit to the task being on a machine.
  struct Wait {
    float submitted_at, seconds;
  };
  // By load; after the warm-up.
  const std::map<std::string, std::vector<Wait>>& waits() const { return waits_; }
  const Samples& accept_times() const { return accept_times_; }
  // Answers by status, of submissions and of polls.
  const std::map<std::string, uint64_t>& response_counts() const { return response_counts_; }

 private:
  struct SubmittedJob {
    const Load* load;
    double submitted_at;
    bool accepted = false, cancelled = false;
    std::vector<bool> started;
  };
  void schedule_next_job(const Load& load);
  void submit(const Load& load);
  void send_submission(const std::string& job, size_t controller, double first_attempt_at);
  void cancel(const std::string& job, size_t controller);
  void poll();
  bool measured() const { return world_.now() >= plan_.warmup_s; }
  std::string controller_host(size_t controller) const;

  const ExperimentPlan& plan_;
  size_t region_;
  RealTimeWorld& world_;
  simulation::SimulatedFleet& fleet_;
  std::map<std::string, SubmittedJob> jobs_;
  std::vector<std::string> accepted_jobs_;  // accepted jobs, to be polled
  uint64_t next_job_ = 0, starts_ = 0, accepted_ = 0;
  std::map<std::string, std::vector<Wait>> waits_;
  Samples accept_times_;
  std::map<std::string, uint64_t> response_counts_;
};

}  // namespace damsonport::loadtest
