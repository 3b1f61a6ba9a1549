#include "coordination/shard_leader/shard_leader.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <limits>

#include "coordination/api/responses.hpp"
#include "coordination/machines/machine_capacity.hpp"

namespace damsonport {

namespace {

void log_outdated_exit(const ForwardedExit& exit, const std::string& controller,
                       const Machine& reporter) {
  spdlog::info(
      "ignoring the exit of {} attempt {} on {} that {} forwards: it is of agent epoch {}, "
      "the machine is in {}",
      exit.task.text(), exit.attempt, exit.machine, controller, exit.agent_epoch,
      reporter.agent_epoch);
}

}  // namespace

ShardLeader::ShardLeader(Dependencies deps)
    : deps_(deps),
      loop_(deps.loop),
      settings_(deps.settings),
      tuning_(deps.settings.tuning),
      cache_(deps.cache),
      lease_({loop_, settings_, deps.store, cache_, deps.election, deps.peer_network,
              deps.incarnation},
             {[this] { on_lease_acquired(); }, [this] { on_lease_lost(); },
              [this] { on_token_raised(); }}),
      contact_(settings_, deps.store),
      lease_renewal_(loop_, settings_, cache_, deps.peer_network, deps.cancellations,
                     deps.exit_forwarder, contact_),
      machine_list_(loop_, settings_, deps.http),
      orphan_cleanup_(loop_, settings_, cache_, deps.http, deps.peer_network, deps.cancellations,
                      contact_, machine_list_, CommandDispatcher::max_concurrent_sends(settings_)),
      failure_detector_(settings_),
      gangs_(loop_, settings_, *this),
      replicas_(loop_, settings_, cache_, *this, gangs_),
      task_failures_(settings_),
      stragglers_(tuning_),
      scale_in_(scale_in_dependencies()),
      autoscaler_(autoscaler_dependencies()),
      rechunker_(loop_, settings_, cache_, deps.store, deps.versions,
                 [this](Transaction transaction, std::stop_token stop_token) {
                   return commit_chunks(std::move(transaction), std::move(stop_token));
                 }),
      commands_(loop_, settings_, deps.http, dispatcher_callbacks()),
      snapshot_builder_(
          {loop_, settings_, cache_, deps.catalog, deps.quotas, task_failures_.attribution()},
          snapshot_callbacks()) {}

bool ShardLeader::is_still_wanted(const Machine& m, const Command& command) const {
  if (command.op != Command::Op::start) return true;
  return !exits_.contains(command.task) &&
         cache_.has_assignment(command.task, command.attempt, m.id);
}

CommandDispatcher::Callbacks ShardLeader::dispatcher_callbacks() {
  CommandDispatcher::Callbacks callbacks;
  callbacks.fencing_token = [this] { return lease_.fencing_token(); };
  callbacks.take_message_token = [this](Machine& m, const std::vector<Command>& commands) {
    return take_message_token(m, commands, lease_.tokens());
  };
  callbacks.is_leading = [this] { return is_leading(); };
  callbacks.find_machine = [this](const std::string& id) {
    auto it = machines_.find(id);
    return it == machines_.end() ? nullptr : &it->second;
  };
  callbacks.is_suspected = [this](const Machine& m) {
    return failure_detector_.is_suspected(m, loop_.now());
  };
  callbacks.is_needed = [this](const Machine& m, const Command& command) {
    if (!is_still_wanted(m, command)) return false;
    // The start of a cancelled task that is never sent can't arrive: the next heartbeat proves that
    // the task doesn't run.
    return command.op != Command::Op::start || !is_cancelled(*cache_.job(command.task.job));
  };
  callbacks.on_send_failed = [this](const std::string& id) { mark_machine_changed(id); };
  callbacks.on_reachable_again = [this](const std::string& id) {
    mark_machine_changed(id);
    scheduling_requested_ = true;
    deps_.changed.notify();
  };
  callbacks.on_status = [this](Machine& m, const Heartbeat& status, double requested_at) {
    std::vector<Command> commands;
    process_heartbeat(m, status, true, requested_at, commands);
    return commands;
  };
  return callbacks;
}

SnapshotBuilder::Callbacks ShardLeader::snapshot_callbacks() {
  SnapshotBuilder::Callbacks callbacks;
  callbacks.is_cancelled = [this](const Job& job) { return is_cancelled(job); };
  callbacks.is_backing_off = [this](const std::string& job) {
    return task_failures_.is_backing_off(job, loop_.now());
  };
  callbacks.startable_gang_tasks = [this](const Job& job, TaskRange gang) {
    return startable_gang_tasks(job, gang);
  };
  callbacks.stop_grace_s = [this](const JobSpec& spec) { return stop_grace_s(spec); };
  callbacks.running_since = [this](const TaskId& task, uint64_t attempt) {
    return running_since(task, attempt);
  };
  callbacks.is_ending = [this](const PlacedTask& task) {
    return is_stopping(task) || exits_.contains(task.id);
  };
  callbacks.is_schedulable = [this](const Machine& m) { return is_schedulable(m); };
  callbacks.total_resources = [this](const Machine& m) {
    return total_resources(m, deps_.catalog);
  };
  callbacks.free_resources = [this](const Machine& m) {
    return free_resources(m, deps_.catalog, cache_);
  };
  return callbacks;
}

double ShardLeader::running_since(const TaskId& task, uint64_t attempt) const {
  constexpr double infinity = std::numeric_limits<double>::infinity();
  // An attempt that was started under an earlier lease has been running for long.
  auto attempts = attempts_.find(task);
  if (attempts == attempts_.end()) return -infinity;
  auto it = attempts->second.find(attempt);
  if (it == attempts->second.end()) return -infinity;
  if (it->second.running_at == 0) return infinity;  // not seen running yet
  return it->second.running_at;
}

void ShardLeader::apply_forwarded_exits() {
  if (!lease_.records_current()) return;
  std::set<ForwardedExit> outdated;
  for (auto& [controller, forwarded] : cache_.forwarded_exits()) {
    if (forwarded.fencing_token < lease_.tokens().first ||
        forwarded.fencing_token > lease_.tokens().newest)
      continue;
    for (auto& exit : forwarded.exits) {
      const bool is_committed = !cache_.has_assignment(exit.task, exit.attempt, exit.machine);
      if (is_committed || exits_.contains(exit.task)) continue;
      const Machine* reporter = find_machine(exit.machine);
      if (!proves_exit(exit, reporter)) {
        outdated.insert(exit);
        if (!outdated_exits_.contains(exit)) log_outdated_exit(exit, controller, *reporter);
        continue;
      }
      spdlog::debug("{} attempt {} ended on {} in agent epoch {}, as {} says", exit.task.text(),
                    exit.attempt, exit.machine, exit.agent_epoch, controller);
      note_exit(exit.task, {exit.attempt, exit.cause, exit.machine});
    }
  }
  outdated_exits_ = std::move(outdated);
}

void ShardLeader::on_lease_acquired() {
  failure_detector_.begin_lease(lease_.acquired_at());
  lease_renewal_.clear();
  machines_.clear();
  deduplicator_.clear();
  attempts_.clear();
  exits_.clear();
  stop_requests_.clear();
  cancelled_jobs_.clear();
  scale_in_.begin_lease(lease_.fencing_token());
  rechunker_.clear();
  jobs_with_uncommitted_starts_ = 0;
  commands_.begin_lease();
  autoscaler_.begin_lease(lease_.fencing_token());
  stragglers_.clear();
  gangs_.clear();
  replicas_.clear();
  task_failures_.clear();
  scheduling_requested_ = true;
  next_machine_list_at_ = 0;
  // Machines that an earlier shard leader created get time for a heartbeat before the first scale
  // out. The very first shard leader has no such machines.
  const bool is_first_lease = cache_.shard_table().renewals <= 1;
  next_scaling_at_ =
      lease_.acquired_at() + (is_first_lease ? 0 : 2 * settings_.heartbeat_interval_s);
  deps_.quotas.begin_lease();
  quota_changes_due_ = true;
  snapshot_builder_.begin_lease();
  finalizable_jobs_.clear();
  for (auto& [id, assigned] : cache_.assignments()) machine(id);
  // An earlier shard leader wrote these tombstones, and may not have returned the machines.
  // Machines on which nothing is placed any more are returned again if the machine list names them.
  for (auto& [id, mark] : cache_.tombstones())
    if (!cache_.assignments_on(id).empty()) scale_in_.resume(id);
  for (auto& [id, job] : cache_.jobs()) {
    if (is_cancelled(*job)) cancelled_jobs_.insert(id);
    if (is_finalizable(*job)) finalizable_jobs_.insert(id);
    if (failed_under_earlier_leases(*job)) task_failures_.suspect_job(id);
    replicas_.add_job(*job);
    snapshot_builder_.mark_job_changed(*job);
  }
  spdlog::info(
      "shard lease with fencing token {} acquired, records read up to revision {}: "
      "{} machines in the records, {} jobs",
      lease_.fencing_token(), cache_.revision(), machines_.size(), cache_.jobs().size());
  if (deps_.quotas.divided() && !deps_.quotas.exchanging())
    spdlog::warn(
        "the teams' limits are divided by the records, but no regions file is given: "
        "this controller transfers no quota between regions");
}

// A repeated heartbeat gets no commands, so one with exits that may be removed now has to be
// processed.
void ShardLeader::on_token_raised() {
  for (auto& [id, m] : machines_)
    if (m.kept_exits > 0) deduplicator_.forget(id);
}

void ShardLeader::on_lease_lost() {
  scale_in_.end_lease();
  autoscaler_.end_lease();
}

void ShardLeader::job_changed(Job* job) {
  if (lease_.fencing_token() != 0 && job) {
    scheduling_requested_ = true;
    snapshot_builder_.mark_job_changed(*job);
    replicas_.add_job(*job);
    if (is_finalizable(*job)) finalizable_jobs_.insert(job->spec.id);
    if (is_cancelled(*job)) stop_cancelled(*job);
  }
  deps_.changed.notify();
}

void ShardLeader::job_gone(Job* job) {
  snapshot_builder_.forget_job(*job);
  stragglers_.forget_job(job->spec.id);
  gangs_.forget_job(job->spec.id);
  replicas_.forget_job(job->spec.id);
  task_failures_.forget_job(job->spec.id);
  finalizable_jobs_.erase(job->spec.id);
  cancelled_jobs_.erase(job->spec.id);
  TaskId first{job->spec.id, 0};
  for (auto it = attempts_.lower_bound(first);
       it != attempts_.end() && it->first.job == job->spec.id;)
    it = attempts_.erase(it);
}

Task<void> ShardLeader::run(std::stop_token stop_token) {
  while (!stop_token.stop_requested()) {
    if (!cache_.loaded()) {
      if (!co_await Sleep(loop_, 0.1, stop_token)) co_return;
      continue;
    }
    StepResult result = StepResult::idle;
    if (co_await lease_.renew(stop_token) == ShardRole::leader) {
      if (is_leading()) apply_forwarded_exits();
      result = co_await commit_exits(stop_token);
      if (is_leading()) result = combine(co_await commit_final_states(stop_token), result);
      if (is_leading() && lease_.records_current())
        result = combine(co_await rechunk(stop_token), result);
      if (is_leading()) result = combine(co_await commit_quotas(stop_token), result);
      if (is_leading()) result = combine(co_await commit_starts(stop_token), result);
    }
    if (result == StepResult::busy) continue;
    double pause = std::min(0.25, settings_.heartbeat_interval_s / 6);
    co_await deps_.changed.wait(pause, stop_token);
    // Events in quick succession are handled by one scheduling cycle.
    if (!co_await Sleep(loop_, 0.01, stop_token)) co_return;
  }
}

Task<void> ShardLeader::run_maintenance(std::stop_token stop_token) {
  const double tick = settings_.heartbeat_interval_s / 4;
  while (!stop_token.stop_requested()) {
    if (!co_await Sleep(loop_, tick, stop_token)) co_return;
    lease_renewal_.forget_old_heartbeats();
    std::erase_if(images_seen_, [&](auto& entry) { return cache_.has_tombstone(entry.first); });
    if (!is_leading() || lease_.is_deposed()) {
      co_await orphan_cleanup_.run_once(stop_token);
      continue;
    }
    failure_detector_.note_tick(loop_.now(), tick);
    if (!lease_.records_current() || !deps_.catalog.loaded()) {
      // If the store went out right after this lease was acquired, the other controllers leave the
      // cleanup to this one, as they see its lease.
      co_await orphan_cleanup_.run_once(stop_token);
      continue;
    }
    co_await maintain_shard(stop_token);
  }
}

Task<void> ShardLeader::maintain_shard(std::stop_token stop_token) {
  step_down_if_unreachable();
  review_unanswering_machines();
  detect_dead_machines();
  return_machines_keeping_cancelled_tasks();
  check_stragglers();
  review_faults();
  check_drains();
  review_gangs();
  // Time alone changes what can be placed: back-offs end, and machines become suspected.
  if (pending_tasks_ > 0 || snapshot_builder_.has_held_back_jobs()) scheduling_requested_ = true;
  co_await scale_in_and_out(stop_token);
  deps_.changed.notify();
}

Task<void> ShardLeader::scale_in_and_out(std::stop_token stop_token) {
  if (deps_.election.is_leading()) {
    co_await scale_in_.return_machines(ScaleInTracker::Selection::all, stop_token);
    if (is_leading() && loop_.now() >= next_scaling_at_) {
      next_scaling_at_ = loop_.now() + settings_.heartbeat_interval_s / 2;
      autoscaler_.run(unschedulable_, stop_token);
    }
  } else if (scale_in_.tracker().any_keeps_cancelled_task()) {
    // This controller is no longer cluster leader, but still holds the shard lease, because in an
    // outage its successor has failed as well. The other controllers still see its lease, and so
    // don't return these machines.
    co_await scale_in_.return_machines(ScaleInTracker::Selection::only_with_cancelled_task,
                                       stop_token);
  }
}

void ShardLeader::step_down_if_unreachable() {
  const double now = loop_.now();
  const double recency_s = lease_.heartbeat_recency_s();
  const auto reachable = std::count_if(machines_.begin(), machines_.end(), [&](auto& entry) {
    auto& [id, m] = entry;
    return m.agent_epoch != 0 && now - m.last_heartbeat_at < recency_s;
  });
  lease_.step_down_if_unreachable(static_cast<size_t>(reachable));
}

std::optional<HttpResponse> ShardLeader::refusal_response(const std::string& machine,
                                                          uint64_t fencing_token) {
  // A newer shard leader exists: a response of 200 would only keep the worker here while its lease
  // runs out.
  if (fencing_token > lease_.tokens().newest) return HttpResponse{421, encode_redirect({}), 0};
  const bool lacks_contact = deps_.peer_network.is_isolated() && !contact_.in_contact();
  if (!lease_renewal_.may_renew(lacks_contact ? lease_renewal_.note_heartbeat(machine)
                                              : HeartbeatOccurrence::repeated))
    return HttpResponse{503, {}, 0};
  return std::nullopt;
}

std::vector<replicas::ReplicaStatus> ShardLeader::replica_statuses() {
  return is_leading() ? replicas_.statuses() : std::vector<replicas::ReplicaStatus>{};
}

HttpResponse ShardLeader::on_heartbeat(const HttpRequest& request) {
  if (auto answer = answer_repeated_heartbeat(request)) return *answer;
  auto error = cbor::DecodeError::none;
  const Json message = decode_map(request.body, error);
  if (error != cbor::DecodeError::none) return undecodable(describe(error));
  const auto heartbeat = decode_heartbeat(message);
  if (!heartbeat) return bad_request(heartbeat.error());
  return on_decoded_heartbeat(*heartbeat, request);
}

// Only heartbeats that this shard leader processed itself are remembered, so the worker is known to
// have learned its fencing token.
std::optional<HttpResponse> ShardLeader::answer_repeated_heartbeat(const HttpRequest& request) {
  if (!is_leading() || lease_.is_deposed()) return std::nullopt;
  const auto repeat = deduplicator_.find(request.body);
  if (!repeat || task_failures_.attribution().has_failures() ||
      scale_in_.tracker().is_declared_dead(repeat->machine))
    return std::nullopt;
  auto it = machines_.find(repeat->machine);
  if (it == machines_.end() || repeat->sequence <= it->second.sequence) return std::nullopt;
  Machine& m = it->second;
  if (auto refused = refusal_response(m.id, m.fencing_token)) return refused;
  const double now = loop_.now();
  m.sequence = repeat->sequence;
  m.last_heartbeat_at = m.last_repeated_heartbeat_at = now;
  m.tasks_as_of = std::max(m.tasks_as_of, request.previous_response_at);
  if (m.has_live_tasks()) m.idle_since = now;
  m.starts_in_response.clear();
  const uint64_t token = take_message_token(m, {}, lease_.tokens());
  return HttpResponse{200, encode_heartbeat_response(token, {}), 0};
}

HttpResponse ShardLeader::on_decoded_heartbeat(const Heartbeat& heartbeat,
                                               const HttpRequest& request) {
  // The cloud has confirmed the machine's return, so the heartbeat is a late copy.
  if (scale_in_.tracker().is_returned(heartbeat.machine)) return {421, encode_redirect({}), 0};
  if (!is_leading() || lease_.is_deposed()) return lease_renewal_.answer_misrouted(heartbeat);
  if (auto refused = refusal_response(heartbeat.machine, heartbeat.fencing_token)) return *refused;
  std::vector<Command> commands;
  Machine& m = machine(heartbeat.machine);
  if (heartbeat.newer_than(m.agent_epoch, m.sequence)) {
    // A worker has one heartbeat in flight at a time, so the response to the previous one was
    // either received or dropped.
    m.starts_in_response.clear();
    if (process_heartbeat(m, heartbeat, false, request.previous_response_at, commands))
      deduplicator_.remember(m.id, request.body, heartbeat.sequence);
    std::erase_if(commands, [&](const Command& c) { return !is_still_wanted(m, c); });
    for (auto& c : commands)
      if (c.op == Command::Op::start) m.starts_in_response.insert({c.task, c.attempt});
  }
  const uint64_t token = take_message_token(m, commands, lease_.tokens());
  for (auto& c : commands) log_command(c, m, token, "in the response to a heartbeat");
  return {200, encode_heartbeat_response(token, commands), 0};
}

}  // namespace damsonport
