#include "coordination/machines/machine.hpp"

#include <spdlog/spdlog.h>

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

bool Machine::may_remove(const AttemptKey& key, uint64_t removal_token) const {
  if (starts_in_response.contains(key)) return false;
  auto start = starts_in_requests.find(key);
  return start == starts_in_requests.end() || start->second < removal_token;
}

bool Machine::has_live_tasks() const {
  return std::any_of(tasks.begin(), tasks.end(),
                     [](auto& task) { return task.second.state != TaskState::exited; });
}

uint64_t take_message_token(Machine& machine, const std::vector<Command>& commands,
                            const FencingTokens& tokens) {
  uint64_t token = std::max(machine.fencing_token, machine.sent_fencing_token);
  token = std::clamp(token, tokens.first, tokens.newest);
  for (auto& command : commands)
    if (command.op == Command::Op::remove &&
        !machine.may_remove({command.task, command.attempt}, token))
      token = tokens.newest;
  machine.sent_fencing_token = token;
  return token;
}

void log_command(const Command& command, const Machine& machine, uint64_t fencing_token,
                 std::string_view way) {
  constexpr const char* names[] = {"start", "stop", "remove"};
  spdlog::debug("{} {} attempt {} on {} in agent epoch {} under fencing token {} {}",
                names[static_cast<size_t>(command.op)], command.task.text(), command.attempt,
                machine.id, machine.agent_epoch, fencing_token, way);
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
    machine.starts_in_requests.clear();
    machine.starts_in_response.clear();
    machine.pending_commands.clear();
  }
  machine.agent_epoch = heartbeat.agent_epoch;
  machine.sequence = heartbeat.sequence;
  machine.fencing_token = std::max(machine.fencing_token, heartbeat.fencing_token);
  std::erase_if(machine.starts_in_requests,
                [&](auto& start) { return start.second < machine.fencing_token; });
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
  machine.other_exits.clear();
  for (auto& t : heartbeat.tasks) {
    auto [it, fresh] = machine.tasks.emplace(t.task, t);
    if (fresh) continue;
    // A heartbeat can list a task several times: with exited attempts and with a later one.
    TaskStatus other = t;
    if (it->second.state == TaskState::exited || it->second.attempt < t.attempt)
      std::swap(it->second, other);
    if (other.state == TaskState::exited) machine.other_exits.emplace(other.task, other.attempt);
  }
  return true;
}

}  // namespace damsonport
