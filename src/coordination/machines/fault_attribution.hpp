// Whether tasks fail because of their machine or because of their job. Pure.
#pragma once
#include <map>
#include <set>
#include <string>

namespace damsonport {

// Evidence is weighed both ways: a machine is at fault on which different jobs fail that work
// elsewhere, or that have failed nowhere else yet; a job is at fault that has failed on several
// machines and worked on none. What is learned of a job later changes what its failures say of the
// machines, so every verdict is worked out when it is asked for.
class FaultAttribution {
 public:
  void failed(const std::string& job, const std::string& machine, double now);
  // A task of the job, running since `started`, was done there or ran for longer than a failing one
  // does. It speaks for the machine only if it began after the failures there.
  void worked(const std::string& job, const std::string& machine, double started);
  // Known from the records of an earlier holder: started often, and nothing came of it.
  void suspect(const std::string& job);

  bool is_job_faulty(const std::string& job) const;
  bool is_machine_faulty(const std::string& machine) const;

  // Something has failed that is still remembered.
  bool any() const { return !jobs_.empty() || !machines_.empty(); }

  // The job is over. What it says of machines stays where it worked elsewhere: it can't be at fault
  // any more.
  void forget_job(const std::string& job);
  // Blame of jobs that are over and have not been followed by another failure since `before` goes.
  void forget_failures_before(double before);
  void forget_machine(const std::string& machine);
  void clear();

 private:
  struct JobRecord {
    std::set<std::string> failed_on;
    bool worked = false, suspected = false;
  };
  bool attributes_to_machine(const std::string& job) const;
  std::map<std::string, JobRecord> jobs_;
  // Since something last worked there.
  struct MachineRecord {
    std::set<std::string> failed_jobs;
    // Of jobs that are over and had worked elsewhere; counted no further than a verdict needs.
    size_t ended_jobs = 0;
    double last_failure = 0;
    bool empty() const { return failed_jobs.empty() && ended_jobs == 0; }
  };
  std::map<std::string, MachineRecord> machines_;
};

}  // namespace damsonport
