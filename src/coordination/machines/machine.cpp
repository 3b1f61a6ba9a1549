#include "coordination/machines/machine.hpp"

#include <algorithm>

namespace damsonport {

void ImageCache::note_use(const std::string& image, double gb, double now, double cache_gb) {
  auto& entry = images_[image];
  entry = {std::max(entry.first, now), gb};
  for (;;) {
    double sum = 0;
    auto oldest = images_.begin();
    for (auto it = images_.begin(); it != images_.end(); ++it) {
      sum += it->second.second;
      if (it->second.first < oldest->second.first) oldest = it;
    }
    if (sum <= cache_gb || images_.size() <= 1 || oldest->first == image) return;
    images_.erase(oldest);
  }
}

bool Machine::receives_responses(double worker_lease_s, double margin_s) const {
  const double same_epoch_since = std::max(unanswered_since, agent_epoch_changed_at);
  return tasks_as_of - same_epoch_since > worker_lease_s + margin_s;
}

bool apply_heartbeat(Machine& machine, const Heartbeat& heartbeat, double now, bool direct,
                     double as_of) {
  // Copies of older messages may arrive seconds or more than a lease late and say nothing about the
  // current state.
  if (!heartbeat.newer_than(machine.agent_epoch, machine.sequence)) return false;
  if (heartbeat.agent_epoch != machine.agent_epoch) {
    // All tasks of the previous epoch have ended, and the worker rejects its commands from now on.
    if (machine.agent_epoch != 0) machine.agent_epoch_changed_at = now;
    machine.starts_in_flight.clear();
    machine.starts_unacknowledged.clear();
    machine.starts_in_response.clear();
    machine.pending_commands.clear();
  }
  machine.agent_epoch = heartbeat.agent_epoch;
  machine.sequence = heartbeat.sequence;
  machine.fencing_token = std::max(machine.fencing_token, heartbeat.fencing_token);
  machine.address = heartbeat.address;
  machine.type = heartbeat.type;
  machine.zone = heartbeat.zone;
  machine.spot = heartbeat.spot;
  (direct ? machine.last_direct_response_at : machine.last_heartbeat_at) = now;
  machine.tasks_as_of = std::max(machine.tasks_as_of, as_of);
  if (machine.first_heartbeat_at == 0) machine.first_heartbeat_at = now;
  if (heartbeat.notice_s) {
    machine.preempted_at = now + *heartbeat.notice_s;
  } else {
    machine.preempted_at.reset();
  }
  machine.tasks.clear();
  for (auto& t : heartbeat.tasks) {
    auto [it, fresh] = machine.tasks.emplace(t.task, t);
    // A heartbeat can list a task twice: with an exited attempt and with a later one.
    if (!fresh && (it->second.state == TaskState::exited || it->second.attempt < t.attempt))
      it->second = t;
  }
  return true;
}

}  // namespace damsonport
