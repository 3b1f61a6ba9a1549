#include "coordination/shard_leader/shard_leader.hpp"

#include <spdlog/spdlog.h>

namespace damsonport {

ShardLeader::ShardLeader(Dependencies deps)
    : deps_(deps),
      loop_(deps.loop),
      settings_(deps.settings),
      tuning_(deps.settings.tuning),
      cache_(deps.cache),
      contact_(loop_, settings_, deps.store),
      lease_renewal_(loop_, settings_, cache_, deps.peer_network, deps.cancellations,
                     deps.exit_forwarder, contact_),
      machine_list_(loop_, settings_, deps.http),
      orphan_cleanup_(loop_, settings_, cache_, deps.http, deps.peer_network, deps.cancellations,
                      contact_, machine_list_, direct_sockets(settings_)),
      failure_detector_(settings_),
      gangs_(loop_, settings_, *this),
      replicas_(loop_, settings_, cache_, *this, gangs_),
      task_failures_(settings_),
      stragglers_(tuning_),
      scale_in_(scale_in_dependencies()),
      autoscaler_(autoscaler_dependencies()),
      rechunker_(loop_, settings_, cache_, deps.store, deps.versions,
                 [this](Transaction transaction, std::stop_token stop_token) {
                   return commit_and_apply(std::move(transaction), std::move(stop_token));
                 }) {}

const ShardLease* ShardLeader::own_lease() const {
  for (auto& g : cache_.shard_table().leases)
    if (g.controller == settings_.controller_name && g.incarnation == deps_.incarnation) return &g;
  return nullptr;
}

bool ShardLeader::is_leading() const { return fencing_token_ != 0 && own_lease() != nullptr; }

bool ShardLeader::records_current() const {
  return cache_.loaded() && cache_.revision() >= required_revision_;
}

void ShardLeader::apply_forwarded_exits() {
  if (!records_current()) return;
  for (auto& [controller, forwarded] : cache_.forwarded_exits()) {
    if (forwarded.fencing_token != fencing_token_) continue;
    for (auto& exit : forwarded.exits) {
      if (exits_.contains(exit.task) || !cache_.places(exit.task, exit.attempt, exit.machine))
        continue;
      spdlog::debug("{} attempt {} ended on {}, as {} says", exit.task.text(), exit.attempt,
                    exit.machine, controller);
      note_exit(exit.task, {exit.attempt, exit.cause, exit.machine});
    }
  }
}

void ShardLeader::on_lease_acquired() {
  auto* g = own_lease();
  fencing_token_ = g->fencing_token;
  required_revision_ = cache_.shard_table_version();
  lease_acquired_at_ = loop_.now();
  failure_detector_.begin_lease(lease_acquired_at_);
  lease_renewal_.clear();
  unreachable_since_ = 0;
  machines_.clear();
  deduplicator_.clear();
  attempts_.clear();
  exits_.clear();
  stopping_.clear();
  cancelled_.clear();
  scale_in_.begin_lease(fencing_token_);
  rechunker_.clear();
  uncommitted_starts_ = 0;
  send_queue_.clear();
  autoscaler_.begin_lease(fencing_token_);
  stragglers_.clear();
  gangs_.clear();
  replicas_.clear();
  task_failures_.clear();
  scheduling_requested_ = true;
  next_list_ = 0;
  // Machines that an earlier holder rented are heard first. The first one of all has none.
  const bool first_of_all = cache_.shard_table().renewals <= 1;
  next_scaling_at_ = lease_acquired_at_ + (first_of_all ? 0 : 2 * settings_.heartbeat_interval_s);
  deps_.quotas.begin_lease();
  quota_news_ = true;
  reset_snapshot();
  for (auto& [id, assigned] : cache_.assignments()) machine(id);
  // Marked by an earlier holder, who may not have got round to it.
  // Those on which nothing is placed any more are returned again where the machine list names them.
  for (auto& [id, mark] : cache_.tombstones())
    if (!cache_.assigned(id).empty()) scale_in_.resume(id);
  for (auto& [id, job] : cache_.jobs()) {
    if (is_cancelled(*job)) cancelled_.insert(id);
    if (is_over(*job)) over_.insert(id);
    if (failed_before(*job)) task_failures_.suspect_job(id);
    replicas_.add_job(*job);
    changed_jobs_.insert(job.get());
  }
  spdlog::info("holding the grant with term {}: {} machines named in records, {} jobs",
               fencing_token_, machines_.size(), cache_.jobs().size());
  if (deps_.quotas.divided() && !deps_.quotas.exchanging())
    spdlog::warn(
        "the teams' limits are divided by the records, but no regions file is given: "
        "nothing is moved between regions from here");
}

// One value says who holds what. While it names another the leader replaces it; while it names us
// we renew it. The term is the revision of the value that was replaced when the holder changed:
// unique and growing, because no revision occurs twice.
Task<bool> ShardLeader::renew_lease(std::stop_token stop_token) {
  const double now = loop_.now();
  const ShardLease* own = own_lease();
  if (own && fencing_token_ != own->fencing_token) on_lease_acquired();
  if (!own && fencing_token_ != 0) {
    spdlog::info("the grant with term {} has gone to another holder", fencing_token_);
    fencing_token_ = 0;
    scale_in_.end_lease();
    autoscaler_.end_lease();
  }
  if (!deps_.election.is_leading()) co_return fencing_token_ != 0;
  if (own && now < next_renewal_) co_return true;

  Transaction transaction;
  uint64_t replaced = cache_.shard_table_version();
  ShardTable next = cache_.shard_table();
  if (!own) {
    ShardLease g;
    g.controller = settings_.controller_name;
    g.incarnation = deps_.incarnation;
    // The very first value replaces nothing; the leader's key is older than any later revision.
    g.fencing_token = replaced ? replaced : cache_.leader_version();
    g.covers_unassigned = true;
    next.leases = {g};
  }
  ++next.renewals;
  transaction.preconditions[keys::shard_table] = replaced;
  transaction.preconditions[keys::leader] = cache_.leader_version();
  transaction.writes.push_back({keys::shard_table, encode_shard_table(next), 0});
  auto writes = transaction.writes;
  const double asked = loop_.now();
  auto reply = co_await deps_.store.compare_and_swap(std::move(transaction), Importance::lease);
  if (reply.outcome == TransactionOutcome::committed) {
    cache_.apply_writes(writes, reply.revision);
    // Early and often: an outage must fit into what is left of the grant.
    next_renewal_ = asked + tuning_.shard_lease_s / 6;
    if (!own) on_lease_acquired();
    co_return true;
  }
  if (reply.outcome == TransactionOutcome::conflict ||
      reply.outcome == TransactionOutcome::unknown) {
    for (auto& key : {keys::shard_table, keys::leader}) {
      auto read = co_await deps_.store.get(key, Importance::lease);
      if (read.ok && read.found) cache_.apply(read.key_value);
    }
  }
  next_renewal_ = loop_.now() + 0.2;
  if (stop_token.stop_requested()) co_return false;
  co_return is_leading();
}

void ShardLeader::job_changed(Job* job) {
  if (fencing_token_ != 0 && job) {
    scheduling_requested_ = true;
    changed_jobs_.insert(job);
    replicas_.add_job(*job);
    if (is_over(*job)) over_.insert(job->spec.id);
    if (is_cancelled(*job)) stop_cancelled(*job);
  }
  deps_.changed.notify();
}

void ShardLeader::job_gone(Job* job) {
  changed_jobs_.erase(job);
  job_index_.release(job, snapshot_.jobs);
  stragglers_.forget_job(job->spec.id);
  gangs_.forget_job(job->spec.id);
  replicas_.forget_job(job->spec.id);
  task_failures_.forget_job(job->spec.id);
  held_back_.erase(job->spec.id);
  over_.erase(job->spec.id);
  cancelled_.erase(job->spec.id);
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
    bool busy = false;
    if (co_await renew_lease(stop_token)) {
      if (is_leading()) apply_forwarded_exits();
      busy = co_await commit_exits(stop_token);
      if (is_leading()) busy = co_await commit_finals(stop_token) || busy;
      if (is_leading() && records_current())
        busy = co_await rechunker_.commit_next(stop_token) || busy;
      if (is_leading()) busy = co_await commit_quotas(stop_token) || busy;
      if (is_leading()) busy = co_await commit_starts(stop_token) || busy;
    }
    if (busy) continue;
    double pause = std::min(0.25, settings_.heartbeat_interval_s / 6);
    co_await deps_.changed.wait(pause, stop_token);
    // Events that come close together are decided together.
    if (!co_await Sleep(loop_, 0.01, stop_token)) co_return;
  }
}

Task<void> ShardLeader::run_maintenance(std::stop_token stop_token) {
  const double tick = settings_.heartbeat_interval_s / 4;
  while (!stop_token.stop_requested()) {
    if (!co_await Sleep(loop_, tick, stop_token)) co_return;
    lease_renewal_.forget_old_visits();
    std::erase_if(images_seen_, [&](auto& entry) { return cache_.has_tombstone(entry.first); });
    if (!is_leading() || is_deposed()) {
      co_await orphan_cleanup_.run_once(stop_token);
      continue;
    }
    failure_detector_.note_tick(loop_.now(), tick);
    if (!records_current() || !deps_.catalog.known()) continue;
    step_down_if_unreachable();
    detect_dead_machines();
    check_cancelled_tasks();
    check_stragglers();
    review_faults();
    check_drains();
    review_gangs();
    // What changes with time alone: pauses that are over, machines in doubt.
    if (pending_tasks_ > 0 || !held_back_.empty()) scheduling_requested_ = true;
    if (deps_.election.is_leading()) {
      co_await scale_in_.return_machines(ScaleInTracker::Selection::all, stop_token);
      if (is_leading() && loop_.now() >= next_scaling_at_) {
        next_scaling_at_ = loop_.now() + settings_.heartbeat_interval_s / 2;
        autoscaler_.run(unschedulable_, stop_token);
      }
    } else if (scale_in_.tracker().any_keeps_cancelled_task()) {
      // A holder whose leadership ended and whose successor is gone too, in an outage: what others
      // can't return, since they see it hold.
      co_await scale_in_.return_machines(ScaleInTracker::Selection::only_with_cancelled_task,
                                         stop_token);
    }
    deps_.changed.notify();
  }
}

// A holder that hears few of its machines while they come to other nodes can't do its work. It
// gives the leadership up, and one that they reach takes over. Where nobody else hears them either,
// the fault is theirs, and nothing is gained by going.
void ShardLeader::step_down_if_unreachable() {
  // A report period and a half, over which a healthy machine reports at least once.
  constexpr double heard_within_reports = 1.5, deaf_lease_share = 0.125;
  const double now = loop_.now();
  const double heard_within = heard_within_reports * settings_.heartbeat_interval_s;
  size_t received = 0;
  for (auto& [id, m] : machines_)
    received += now - m.last_heartbeat_at < heard_within && m.agent_epoch != 0;
  // After a takeover they come here by way of the others.
  const bool acknowledged = now - lease_acquired_at_ > 3 * settings_.heartbeat_interval_s;
  const bool deaf = acknowledged && deps_.peer_network.misrouted_machines() > received;
  if (!deaf || !deps_.election.is_leading()) {
    unreachable_since_ = 0;
    return;
  }
  if (unreachable_since_ == 0) unreachable_since_ = now;
  if (now - unreachable_since_ < settings_.lease_s * deaf_lease_share) return;
  spdlog::warn("{} machines heard here and {} by other controllers: giving the leadership up",
               received, deps_.peer_network.misrouted_machines());
  deps_.election.step_down();
  unreachable_since_ = 0;
}

std::optional<HttpResponse> ShardLeader::refusal(const std::string& machine,
                                                 uint64_t fencing_token) {
  // A newer holder exists: a 200 would only hold the worker here while its lease runs out.
  if (fencing_token > fencing_token_) return HttpResponse{421, encode_redirect({}), 0};
  const bool lost = deps_.peer_network.alone() && !contact_.in_contact();
  if (!lease_renewal_.may_renew(lost && lease_renewal_.note_visit(machine)))
    return HttpResponse{503, {}, 0};
  return std::nullopt;
}

std::vector<replicas::ReplicaStatus> ShardLeader::replica_statuses() {
  return is_leading() ? replicas_.statuses() : std::vector<replicas::ReplicaStatus>{};
}

HttpResponse ShardLeader::on_heartbeat(const HttpRequest& request) {
  if (auto answer = answer_repeated_heartbeat(request)) return *answer;
  const auto heartbeat = decode_heartbeat(decode_map(request.body));
  if (!heartbeat) return {400, encode({{"error", heartbeat.error()}}), 0};
  return on_decoded_heartbeat(*heartbeat, request);
}

// Only what the holder itself took last is remembered, so its token is known to be ours.
std::optional<HttpResponse> ShardLeader::answer_repeated_heartbeat(const HttpRequest& request) {
  if (!is_leading() || is_deposed()) return std::nullopt;
  const auto repeat = deduplicator_.find(request.body);
  if (!repeat || task_failures_.attribution().any() ||
      scale_in_.tracker().is_declared_dead(repeat->machine))
    return std::nullopt;
  auto it = machines_.find(repeat->machine);
  if (it == machines_.end() || repeat->sequence <= it->second.sequence) return std::nullopt;
  Machine& m = it->second;
  if (auto no = refusal(m.id, m.fencing_token)) return no;
  const double now = loop_.now();
  m.sequence = repeat->sequence;
  m.last_heartbeat_at = m.last_repeat_at = now;
  m.tasks_as_of = std::max(m.tasks_as_of, request.previous_answer_at);
  if (!m.tasks.empty()) m.idle_since = now;
  m.starts_in_response.clear();
  return HttpResponse{200, encode_heartbeat_response(fencing_token_, {}), 0};
}

HttpResponse ShardLeader::on_decoded_heartbeat(const Heartbeat& r, const HttpRequest& request) {
  // Gone, as the cloud said: this is a late copy.
  if (scale_in_.tracker().is_returned(r.machine)) return {421, encode_redirect({}), 0};
  if (!is_leading() || is_deposed()) return lease_renewal_.answer(r);
  if (auto no = refusal(r.machine, r.fencing_token)) return *no;
  std::vector<Command> commands;
  Machine& m = machine(r.machine);
  if (r.newer_than(m.agent_epoch, m.sequence)) {
    // One report is in flight at a time, so the answer to the one before was taken or dropped.
    m.starts_in_response.clear();
    if (process_heartbeat(m, r, false, request.previous_answer_at, commands))
      deduplicator_.remember(m.id, request.body, r.sequence);
    std::erase_if(commands, [&](const Command& c) { return !still_wanted(m, c); });
    for (auto& c : commands)
      if (c.op == Command::Op::start) m.starts_in_response.insert({c.task, c.attempt});
  }
  return {200, encode_heartbeat_response(fencing_token_, commands), 0};
}

}  // namespace damsonport
