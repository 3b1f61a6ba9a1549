// Connects the shard leader with ScaleIn and the AutoscalerDriver.
#include "coordination/shard_leader/shard_leader.hpp"

namespace damsonport {

ScaleIn::Dependencies ShardLeader::scale_in_dependencies() {
  return {loop_,
          settings_,
          cache_,
          deps_.store,
          deps_.http,
          contact_,
          deps_.changed,
          deps_.incarnation,
          [this] { return is_leading(); },
          [this](const std::string& id) { mark_machine_changed(id); },
          [this](const std::string& id, bool declared_dead) {
            on_machine_returned(id, declared_dead);
          }};
}

// The machine is gone with everything that ran on it, which proves that its tasks may be started
// elsewhere.
void ShardLeader::on_machine_returned(const std::string& id, bool declared_dead) {
  autoscaler_.note_returned(id, find_machine(id), declared_dead);
  forget_machine(id);
  for (auto& [assignment, attempt] : cache_.assignments_on(id)) {
    TaskId name{assignment.job->spec.id, assignment.index};
    note_exit(name, {attempt, ExitCause::stopped, id});
  }
}

AutoscalerDriver::Dependencies ShardLeader::autoscaler_dependencies() {
  return {loop_,
          settings_,
          cache_,
          deps_.store,
          deps_.http,
          deps_.catalog,
          deps_.quotas,
          machines_,
          task_failures_.attribution(),
          failure_detector_,
          scale_in_,
          deps_.incarnation,
          [this](const Machine& m) { return is_schedulable(m); }};
}

}  // namespace damsonport
