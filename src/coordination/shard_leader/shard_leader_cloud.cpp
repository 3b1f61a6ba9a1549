// The holder's dealings with the cloud: what is there, what is lost, rented and given back.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <limits>

#include "coordination/shard_leader/shard_leader.hpp"

namespace damsonport {

// A duty of its own: a long list takes seconds, in which silence must be watched all the same.
Task<void> ShardLeader::follow_machine_list(std::stop_token stop_token) {
  const double tick_s = settings_.heartbeat_interval_s / 4;
  while (!stop_token.stop_requested()) {
    if (!co_await Sleep(loop_, tick_s, stop_token)) co_return;
    const bool due = loop_.now() >= next_list_;
    if (!due || !leads_cluster_and_shard() || !records_current() || !deps_.catalog.known())
      continue;
    next_list_ = loop_.now() + settings_.list_lag_s / 2;
    MachineListReader::Take take = [this](auto& listed) { note_listed(listed); };
    MachineListReader::KeepGoing keep_going = [this, fencing_token = fencing_token_] {
      return fencing_token == fencing_token_ && leads_cluster_and_shard();
    };
    co_await machine_list_.read(std::move(take), std::move(keep_going), stop_token);
  }
}

bool ShardLeader::leads_cluster_and_shard() const {
  return is_leading() && !is_deposed() && deps_.election.is_leading();
}

void ShardLeader::note_listed(const ListedMachine& listed) {
  if (scale_in_.tracker().is_returned(listed.id)) return;  // the list lags
  if (cache_.has_tombstone(listed.id)) {
    // The list lags, so a machine that is gone may still stand in it; asking twice is harmless.
    scale_in_.resume(listed.id);
    return;
  }
  if (listed.state == "failed") {
    scale_in_.request(listed.id, "it failed");
  } else if (listed.state == "starting") {
    autoscaler_.note_starting(listed);
  } else if (listed.state == "running") {
    Machine& m = machine(listed.id);
    if (m.agent_epoch != 0) return;
    m.address = listed.address;
    m.type = listed.type;
    m.zone = listed.zone;
    m.spot = listed.spot;
    mark_changed(listed.id);
  }
}

// Takes no new tasks and is returned when empty; a replacement comes through the spare room.
void ShardLeader::drain(Machine& m, const std::string& why) {
  if (m.draining) return;
  m.drain_reason = why;
  m.draining = true;
  mark_changed(m.id);
  scheduling_requested_ = true;
}

void ShardLeader::detect_dead_machines() {
  FailureDetector::FleetFacts facts;
  facts.has_tombstone = [this](auto& id) { return cache_.has_tombstone(id); };
  facts.is_leaving = [this](auto& id) { return scale_in_.is_leaving(id); };
  facts.has_assignments = [this](auto& id) { return !cache_.assigned(id).empty(); };
  facts.silent_peers = deps_.peer_network.silent_peers();
  for (auto& machine : failure_detector_.detect(machines_, facts, loop_.now())) {
    scheduling_requested_ = true;
    start_probe(machine.id);
    if (!machine.is_dead) continue;
    scale_in_.request(machine.id,
                      "silent for " + std::to_string(static_cast<int>(machine.silent_s)) + " s",
                      ScaleInCause::declared_dead);
  }
}

void ShardLeader::check_drains() {
  const double now = loop_.now();
  for (auto& [id, m] : machines_) {
    // Not for good: where few machines fit, a job that failed once on each would never run again.
    if (std::erase_if(m.failed_jobs,
                      [&](auto& failed) { return now - failed.second > 2 * settings_.lease_s; }))
      mark_changed(id);
    if (scale_in_.is_leaving(id)) continue;
    if (m.preempted_at) {
      // What can save is stopped in time to do it.
      for (auto& [a, attempt] : cache_.assigned(id)) {
        auto& s = a.job->spec;
        TaskId name{s.id, a.index};
        double left = *m.preempted_at - now;
        double grace = stop_grace(s);
        if (stopping_.contains(name)) continue;
        bool saves = s.checkpoint_s > 0;
        if (saves ? left < grace + 2 * settings_.heartbeat_interval_s
                  : left < settings_.heartbeat_interval_s / 2) {
          if (s.gang_size() > 0) {
            stop_gang(*a.job, gang_with(s, a.index), grace);
          } else {
            stop_task({name, attempt, id}, grace);
          }
        }
      }
    }
    // The jobs that failed here are tried elsewhere first, which may take the blame back.
    const bool in_dispute = m.faulty_since > 0 && now - m.faulty_since < settings_.lease_s;
    const bool empty = cache_.assigned(id).empty() && m.tasks.empty() && m.agent_epoch != 0;
    if (m.draining && empty && !in_dispute)
      scale_in_.request(id, "empty and drained (" + m.drain_reason + ")");
    // Its answers don't reach it: sessions end though we answer every report.
    if (m.failed_sends >= 3 && m.agent_restarts >= 1) scale_in_.request(id, "it can't be answered");
  }
}

// First a replacement, then no new tasks. Where the cloud has none, giving the slow machine back is
// what makes room for one, so it is drained at once; and one that does not come is not waited for.
void ShardLeader::check_stragglers() {
  const double now = loop_.now();
  std::vector<Machine*> waiting, newcomers;
  double first_flagged = std::numeric_limits<double>::infinity();
  for (auto& [id, m] : machines_) {
    if (m.straggler_since == 0 || m.draining) continue;
    waiting.push_back(&m);
    first_flagged = std::min(first_flagged, m.straggler_since);
  }
  if (waiting.empty()) return;
  for (auto& [id, m] : machines_)
    if (!m.is_replacement && m.first_heartbeat_at > first_flagged) newcomers.push_back(&m);
  for (Machine* straggler : waiting) {
    Machine& m = *straggler;
    auto* type = deps_.catalog.type(m.type);
    for (Machine* other : newcomers) {
      if (other->is_replacement || other->type != m.type ||
          other->first_heartbeat_at <= m.straggler_since)
        continue;
      other->is_replacement = true;
      drain(m, "straggler, replaced by " + other->id);
      break;
    }
    if (!m.draining && (autoscaler_.is_refused({m.type, m.zone, m.spot}) ||
                        now - m.straggler_since > BootingMachines::late_after_s(type)))
      drain(m, "straggler, no replacement to be had");
  }
}

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
          [this](const std::string& id) { mark_changed(id); },
          [this](const std::string& id, bool declared_dead) {
            on_machine_returned(id, declared_dead);
          }};
}

// Gone, with everything on it: the proof that lets its tasks start elsewhere.
void ShardLeader::on_machine_returned(const std::string& id, bool declared_dead) {
  autoscaler_.note_returned(id, find_machine(id), declared_dead);
  forget_machine(id);
  for (auto& [a, attempt] : cache_.assigned(id)) {
    TaskId name{a.job->spec.id, a.index};
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
          faults_,
          failure_detector_,
          scale_in_,
          deps_.incarnation,
          [this](const Machine& m) { return is_schedulable(m); }};
}

}  // namespace damsonport
