/// Attributes failures of tasks either to the machine or to the job. Pure: the caller passes in the
/// time.
#pragma once
#include <map>
#include <set>
#include <string>

namespace damsonport {

/// Decides which machines and which jobs are faulty.
///
/// A machine is faulty if several jobs failed on it that succeed elsewhere or have failed on no
/// other machine yet. A job is faulty if it failed on several machines and succeeded on none. Later
/// results of a job change the attribution of its earlier failures, so each query evaluates all
/// recorded results, and a machine or a job may stop being faulty.
///
/// Owned by the shard leader, for the duration of one lease.
class FaultAttribution {
 public:
  /// Records that a task of the job ended in error on the machine.
  void note_failure(const std::string& job, const std::string& machine, double now);
  /// Records that a task of the job, running since `started`, succeeded on the machine, or ran for
  /// longer than a failing task does. The machine's failures are cleared only if the task started
  /// after the last of them.
  void note_success(const std::string& job, const std::string& machine, double started);
  /// Marks the job as faulty until its first success: the records from an earlier shard leader show
  /// many attempts without a success.
  void suspect_job(const std::string& job);

  [[nodiscard]] bool is_job_faulty(const std::string& job) const;
  [[nodiscard]] bool is_machine_faulty(const std::string& machine) const;

  /// Whether any failure is recorded.
  [[nodiscard]] bool has_failures() const { return !jobs_.empty() || !machines_.empty(); }

  /// Removes a job that has ended. If it succeeded on any machine, its failures still count against
  /// machines, since the job can no longer become faulty.
  void forget_job(const std::string& job);
  /// Removes the failures of ended jobs on machines whose last failure was before `before`.
  void forget_failures_before(double before);
  void forget_machine(const std::string& machine);
  void clear();

 private:
  struct JobResults {
    std::set<std::string> failed_on;
    bool has_succeeded = false, suspected = false;
  };
  bool counts_against_machine(const std::string& job) const;
  std::map<std::string, JobResults> jobs_;
  // Failures on the machine since the last success that cleared them.
  struct MachineFailures {
    std::set<std::string> failed_jobs;
    // Ended jobs that failed on this machine and succeeded on another one; counted up to the number
    // that makes the machine faulty.
    size_t ended_jobs = 0;
    double last_failure = 0;
    bool empty() const { return failed_jobs.empty() && ended_jobs == 0; }
  };
  std::map<std::string, MachineFailures> machines_;
};

}  // namespace damsonport
