/// The expectations of a scenario. traces/scenarios/README lists the verbs.
#pragma once
#include <string>
#include <vector>

#include "scenarios/scenario_deployment.hpp"
#include "scenarios/scenario_users.hpp"

namespace damsonport::simulation {

/// Checks the expectations of a trace and collects the failures.
class ScenarioChecks {
 public:
  ScenarioChecks(World& world, const ScenarioPlan& plan, ScenarioDeployment& deployment,
                 ScenarioUsers& users)
      : world_(world), plan_(plan), deployment_(deployment), users_(users) {}
  /// Checks an expectation. The check happens now, or with the response if it takes a user's
  /// request.
  void check(const ScenarioEvent& event);
  /// Adds a failure that is not a mismatch of an expectation, such as an unknown verb.
  void add_failure(const std::string& text) { failures_.push_back(text); }
  /// The expectations that were not met so far.
  const std::vector<std::string>& failures() const { return failures_; }

 private:
  using Handler = void (ScenarioChecks::*)(const ScenarioEvent& event);
  static Handler handler_of(const std::string& verb);

  // Machines and the key-value store.
  void check_machines_returned(const ScenarioEvent& event);
  void check_machines_rented(const ScenarioEvent& event);
  void check_reports(const ScenarioEvent& event);
  void check_sessions(const ScenarioEvent& event);
  void check_recorded(const ScenarioEvent& event);
  void check_unused(const ScenarioEvent& event);
  void check_writes(const ScenarioEvent& event);
  void check_refused_for_size(const ScenarioEvent& event);
  // Jobs.
  void check_served(const ScenarioEvent& event);
  void check_served_job(const ScenarioEvent& event, const JobSpec& spec);
  void check_running(const ScenarioEvent& event);
  void check_gone(const ScenarioEvent& event);
  void check_told(const ScenarioEvent& event);
  void check_accepted(const ScenarioEvent& event);
  void check_unaccepted(const ScenarioEvent& event);
  void check_shown(const ScenarioEvent& event);
  void check_starts(const ScenarioEvent& event);
  void check_late_starts(const ScenarioEvent& event);
  // Gangs and replicas of several parts.
  void check_gang_starts(const ScenarioEvent& event);
  void check_progress_kept(const ScenarioEvent& event);
  void check_replicas_ready(const ScenarioEvent& event);
  void check_replicas_whole(const ScenarioEvent& event);
  void check_replica_count(const ScenarioEvent& event, const std::string& job, uint32_t count);
  void check_replicas_repaired(const ScenarioEvent& event);
  uint32_t replicas_claimed_ready(const std::string& job) const;

  void add_mismatch(const ScenarioEvent& event, const std::string& text) {
    mismatches_ += event.verb + " " + text + "; ";
  }

  World& world_;
  const ScenarioPlan& plan_;
  ScenarioDeployment& deployment_;
  ScenarioUsers& users_;
  std::string mismatches_;  // of the expectation that is being checked
  std::vector<std::string> failures_;
};

}  // namespace damsonport::simulation
