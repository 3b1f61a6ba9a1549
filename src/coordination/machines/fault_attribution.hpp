/// Attributes failures of tasks to their machine or to their job. Pure: the time is passed in.
#pragma once
#include <map>
#include <set>
#include <string>

namespace damsonport {

/// A machine is faulty if several jobs failed on it that work elsewhere, or that have failed
/// nowhere else yet. A job is faulty if it failed on several machines and worked on none.
/// What is learned of a job later changes what its failures say of machines; so every verdict is
/// worked out when it is asked for, and may be withdrawn.
///
/// Owned by the shard leader, for the time of one lease.
class FaultAttribution {
 public:
  /// A task of the job ended in error on the machine.
  void note_failure(const std::string& job, const std::string& machine, double now);
  /// A task of the job, running since `started`, succeeded on the machine or ran for longer than a
  /// failing one does. It clears the machine only if it began after the last failure there.
  void note_success(const std::string& job, const std::string& machine, double started);
  /// The records of an earlier shard leader show many attempts and no success of this job.
  void suspect_job(const std::string& job);

  [[nodiscard]] bool is_job_faulty(const std::string& job) const;
  [[nodiscard]] bool is_machine_faulty(const std::string& machine) const;

  /// Whether any failure is remembered.
  [[nodiscard]] bool has_failures() const { return !jobs_.empty() || !machines_.empty(); }

  /// The job has ended. Its failures still count against machines if it worked elsewhere,
  /// since the job can't turn out to be faulty any more.
  void forget_job(const std::string& job);
  /// Forgets the failures of ended jobs on machines on which nothing has failed since `before`.
  void forget_failures_before(double before);
  void forget_machine(const std::string& machine);
  void clear();

 private:
  struct JobRecord {
    std::set<std::string> failed_on;
    bool has_succeeded = false, suspected = false;
  };
  bool counts_against_machine(const std::string& job) const;
  std::map<std::string, JobRecord> jobs_;
  // Failures since a task last succeeded there.
  struct MachineRecord {
    std::set<std::string> failed_jobs;
    // Ended jobs that failed here and worked elsewhere; counted no further than a verdict
    // needs.
    size_t ended_jobs = 0;
    double last_failure = 0;
    bool empty() const { return failed_jobs.empty() && ended_jobs == 0; }
  };
  std::map<std::string, MachineRecord> machines_;
};

}  // namespace damsonport
