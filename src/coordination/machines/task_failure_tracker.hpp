/// Tracks failed tasks to decide how long a job backs off and which machines are drained as faulty.
/// Pure: the caller passes in the time and the machines.
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

/// Keeps the backoff of each job and the attribution of its failures. Owned by the shard leader,
/// for the duration of one lease. A new shard leader starts without earlier failures, except for
/// those that it derives from the records, see suspect_job(). Times are seconds of the loop's
/// clock.
class TaskFailureTracker {
 public:
  explicit TaskFailureTracker(const Settings& settings) : settings_(settings) {}

  /// Removes all failures and backoffs, for a new lease.
  void clear();
  /// Removes a job that has ended; see FaultAttribution::forget_job().
  void forget_job(const std::string& job);
  /// Removes a machine that has left the fleet.
  void forget_machine(const std::string& machine);

  /// Records that, according to the records, the job had many attempts without a success.
  void suspect_job(const std::string& job) { attribution_.suspect_job(job); }
  /// Records that a task of the job ended in error on the machine. A faulty job backs off, twice as
  /// long after each error. Returns whether the job is faulty; if not, the caller has the job avoid
  /// the machine.
  [[nodiscard]] bool note_error(const std::string& job, const std::string& machine, double now);
  /// Records that a machine refused a task of the job: the job backs off for a short time.
  void note_refusal(const std::string& job, double now);
  /// See FaultAttribution::note_success().
  void note_success(const std::string& job, const std::string& machine, double started) {
    attribution_.note_success(job, machine, started);
  }

  /// Whether the job is backing off, so that none of its tasks may be started now.
  [[nodiscard]] bool is_backing_off(const std::string& job, double now) const;
  /// The recorded failures; valid as long as this object.
  [[nodiscard]] const FaultAttribution& attribution() const { return attribution_; }

  /// Machines whose state (Machine::faulty_since) has to change; both lists in the order of the
  /// ids.
  struct Review {
    std::vector<std::string> recovered;  ///< drained as faulty, but not faulty any more
    std::vector<std::string> faulty;     ///< newly faulty; a limited share of the fleet at a time
  };
  /// Removes old failures and evaluates all machines. `is_return_requested`: whether the machine is
  /// to be returned to the cloud; such a machine stays drained.
  [[nodiscard]] Review review(const std::map<std::string, Machine>& machines,
                              const std::function<bool(const std::string&)>& is_return_requested,
                              double now);

 private:
  struct Backoff {
    double until = 0;
    int errors = 0;  // number of failed tasks
  };
  const Settings& settings_;
  FaultAttribution attribution_;
  std::unordered_map<std::string, Backoff> backoffs_;  // by job
};

}  // namespace damsonport
