#include "coordination/leadership/lease_renewal.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "coordination/leadership/renewal_policy.hpp"

namespace damsonport {

namespace {
// A machine that keeps sending heartbeats here for this share of its worker's lease can't reach its
// shard leader.
constexpr double unreachable_lease_share = 0.25;
// A machine whose heartbeats here span this share of its worker's lease counts as misrouted. One
// that was redirected and reached its shard leader doesn't.
constexpr double misrouted_lease_share = unreachable_lease_share / 2;
// A machine that has sent no heartbeat here for this share of its worker's lease is forgotten.
constexpr double forgotten_lease_share = 0.5;

constexpr int ok = 200;
constexpr int misdirected_request = 421;

HttpResponse redirect_to(const std::string& controller) {
  return {misdirected_request, encode_redirect(controller), 0};
}
HttpResponse redirect_anywhere() { return redirect_to({}); }
}  // namespace

LeaseRenewal::LeaseRenewal(Loop& loop, const Settings& settings, RecordCache& cache,
                           PeerNetwork& peer_network, const CancellationGossip& cancellations,
                           ExitForwarder& exit_forwarder, const StoreContact& contact)
    : loop_(loop),
      settings_(settings),
      cache_(cache),
      peer_network_(peer_network),
      cancellations_(cancellations),
      exit_forwarder_(exit_forwarder),
      contact_(contact) {}

// Running tasks may be kept alive after the shard lease has ended: missed heartbeats never prove
// that a task is gone, and no task is started elsewhere before its machine was returned to the
// cloud. Only cancellations limit for how long.
bool LeaseRenewal::may_renew(HeartbeatOccurrence occurrence) const {
  const double now = loop_.now();
  RenewalState state;
  state.reaches_store = contact_.in_contact();
  state.peer_reaches_store = peer_network_.any_peer_reaches_store(contact_.limit_s());
  state.is_isolated = peer_network_.is_isolated();
  state.is_first_heartbeat = occurrence == HeartbeatOccurrence::first;
  state.staleness_s = now - std::max(cache_.as_of(), cancellations_.watermark(now));
  const double bound_s = staleness_bound_s(settings_.cancel_s, settings_.lease_s);
  return decide_renewal(state, bound_s) == RenewalDecision::renew;
}

HeartbeatOccurrence LeaseRenewal::note_heartbeat(const std::string& machine) {
  const double now = loop_.now();
  auto [known, is_new] = misrouted_.try_emplace(machine, MisroutedMachine{now, now, false});
  known->second.last_heartbeat_at = now;
  return is_new ? HeartbeatOccurrence::first : HeartbeatOccurrence::repeated;
}

const ShardLease* LeaseRenewal::recorded_lease() const {
  const ShardLease* recorded = nullptr;
  for (auto& lease : cache_.shard_table().leases)
    if (lease.covers_unassigned) recorded = &lease;
  return recorded;
}

// A peer may have a newer lease than the records that this controller has read, which may still
// name this controller.
std::string LeaseRenewal::newest_shard_leader(const ShardLease& recorded) const {
  const auto claimed = peer_network_.newest_shard_leader();
  if (claimed && claimed->fencing_token > recorded.fencing_token) return claimed->controller;
  return recorded.controller;
}

bool LeaseRenewal::may_answer(const Heartbeat& heartbeat, const ShardLease& recorded) const {
  return cache_.loaded() && heartbeat.fencing_token <= recorded.fencing_token;
}

bool LeaseRenewal::should_answer(const MisroutedMachine& machine,
                                 const std::string& shard_leader) const {
  const double grace_s = unreachable_lease_share * settings_.lease_s;
  // A machine that reaches only one controller in five needs most of its worker's lease to try them
  // all, so an answer to its second heartbeat here would be too late. Its first one is answered if
  // this controller can't reach the shard leader either, and if the leader record has named the
  // shard leader for longer than it would name a dead controller.
  const bool leader_unreachable = peer_network_.since_last_heartbeat_s(shard_leader) > grace_s &&
                                  cache_.has_leader() && cache_.leader().controller == shard_leader;
  // If only the connection between the controllers is broken, every other heartbeat of the machine
  // must be redirected to its shard leader, which would otherwise take the machine for dead. In a
  // partition the machine can't reach any shard leader, so every heartbeat is answered.
  const bool is_partitioned = leader_unreachable && !contact_.in_contact();
  const bool is_overdue = leader_unreachable || loop_.now() - machine.first_heartbeat_at >= grace_s;
  return is_partitioned || (is_overdue && !machine.was_answered);
}

std::vector<Command> LeaseRenewal::stop_commands_for_cancelled_tasks(
    const Heartbeat& heartbeat) const {
  std::vector<Command> commands;
  for (auto& task : heartbeat.tasks) {
    const Job* job = cache_.job(task.task.job);
    const bool cancelled = (job && job->cancelled) || cancellations_.is_cancelled(task.task.job);
    if (task.state != TaskState::exited && cancelled)
      commands.push_back({Command::Op::stop, task.task, task.attempt, 0});
  }
  return commands;
}

HttpResponse LeaseRenewal::answer_misrouted(const Heartbeat& heartbeat) {
  const ShardLease* recorded = recorded_lease();
  if (!recorded) return redirect_anywhere();
  const std::string shard_leader = newest_shard_leader(*recorded);
  if (shard_leader == settings_.controller_name) return redirect_anywhere();
  note_heartbeat(heartbeat.machine);
  MisroutedMachine& machine = misrouted_.at(heartbeat.machine);
  const bool answers = may_answer(heartbeat, *recorded) && should_answer(machine, shard_leader) &&
                       may_renew(HeartbeatOccurrence::repeated);
  if (!answers) return redirect(machine, shard_leader);
  return renew(machine, heartbeat, *recorded, shard_leader);
}

// Redirects to the shard leader unless that controller seems dead. After an answer the shard leader
// is named in any case: it may be reachable again, or only this controller can't reach it.
HttpResponse LeaseRenewal::redirect(MisroutedMachine& machine,
                                    const std::string& shard_leader) const {
  const bool is_named = peer_network_.is_alive(shard_leader) || machine.was_answered;
  machine.was_answered = false;
  return is_named ? redirect_to(shard_leader) : redirect_anywhere();
}

HttpResponse LeaseRenewal::renew(MisroutedMachine& machine, const Heartbeat& heartbeat,
                                 const ShardLease& recorded, const std::string& shard_leader) {
  machine.was_answered = true;
  const auto commands = stop_commands_for_cancelled_tasks(heartbeat);
  forward_exits(heartbeat, recorded.first_fencing_token());
  spdlog::debug("answered {} for {}", heartbeat.machine, shard_leader);
  const uint64_t token = std::max(heartbeat.fencing_token, recorded.first_fencing_token());
  return {ok, encode_heartbeat_response(token, commands), 0};
}

void LeaseRenewal::forward_exits(const Heartbeat& heartbeat, uint64_t first_token) {
  // Until the machine has learned a token of this lease, commands of an earlier shard leader may
  // still reach it.
  if (heartbeat.fencing_token >= first_token) exit_forwarder_.forward(first_token, heartbeat);
}

uint64_t LeaseRenewal::misrouted_machines() const {
  const double least_s = misrouted_lease_share * settings_.lease_s;
  const auto is_misrouted = [&](const auto& entry) {
    return entry.second.last_heartbeat_at - entry.second.first_heartbeat_at > least_s;
  };
  return static_cast<uint64_t>(std::count_if(misrouted_.begin(), misrouted_.end(), is_misrouted));
}

void LeaseRenewal::forget_old_heartbeats() {
  const double oldest = loop_.now() - settings_.lease_s * forgotten_lease_share;
  std::erase_if(misrouted_, [&](auto& entry) { return entry.second.last_heartbeat_at < oldest; });
}

}  // namespace damsonport
