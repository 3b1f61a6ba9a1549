/// What failed tasks mean: how long a job is held back, and which machines take no more tasks
/// because they are faulty. Pure: the time and the machines are passed in.
#pragma once
#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "config/settings.hpp"
#include "coordination/machines/fault_attribution.hpp"
#include "coordination/machines/machine.hpp"

namespace damsonport {

/// Owned by the shard leader, for the time of one lease; a new shard leader begins without
/// knowledge of earlier failures, except for suspect_job(). Times are seconds of the loop's clock.
class TaskFailureTracker {
 public:
  explicit TaskFailureTracker(const Settings& settings) : settings_(settings) {}

  /// A lease begins.
  void clear();
  void forget_job(const std::string& job);
  void forget_machine(const std::string& machine);

  /// The records show many attempts and no success of this job.
  void suspect_job(const std::string& job) { attribution_.suspect_job(job); }
  /// A task of the job ended in error on the machine. A faulty job is held back, each time for
  /// twice as long. Yields whether the job is faulty; otherwise it avoids the machine.
  [[nodiscard]] bool note_error(const std::string& job, const std::string& machine, double now);
  /// The machine refused a task of the job: the job is held back for a short time.
  void note_refusal(const std::string& job, double now);
  /// See FaultAttribution::note_success().
  void note_success(const std::string& job, const std::string& machine, double started) {
    attribution_.note_success(job, machine, started);
  }

  /// No task of the job is to be started now.
  [[nodiscard]] bool is_backing_off(const std::string& job, double now) const;
  [[nodiscard]] const FaultAttribution& attribution() const { return attribution_; }

  /// Which machines change between faulty (Machine::faulty_since) and not; both lists in the order
  /// of the ids.
  struct Review {
    std::vector<std::string> recovered;
    std::vector<std::string> faulty;  ///< a bounded share of the fleet at a time
  };
  /// Forgets old failures and judges the machines. `is_return_requested`: the machine is to be
  /// returned to the cloud, and stays drained.
  [[nodiscard]] Review review(const std::map<std::string, Machine>& machines,
                              const std::function<bool(const std::string&)>& is_return_requested,
                              double now);

 private:
  struct Backoff {
    double until = 0;
    int errors = 0;  // tasks that failed
  };
  const Settings& settings_;
  FaultAttribution attribution_;
  std::unordered_map<std::string, Backoff> backoffs_;  // by job
};

}  // namespace damsonport
