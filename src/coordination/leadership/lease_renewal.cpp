#include "coordination/leadership/lease_renewal.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "coordination/leadership/renewal_policy.hpp"

namespace damsonport {

namespace {
// A machine that keeps coming for this share of its lease is taken to miss its holder.
constexpr double missing_share = 0.25;
// A machine that was not here for this share of its lease is forgotten.
constexpr double forgotten_share = 0.5;
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

// Silence never counts as proof that a task is gone and a machine is returned first, so running
// tasks may be kept past the grant's end; only what was cancelled bounds it.
bool LeaseRenewal::may_renew(bool first) const {
  RenewalState s;
  s.in_contact = contact_.in_contact();
  s.peer_in_contact = peer_network_.any_peer_reaches_store(contact_.limit_s());
  s.alone = peer_network_.is_isolated();
  s.first_visit = first;
  const double now = loop_.now();
  s.staleness_s = now - std::max(cache_.as_of(), cancellations_.watermark(now));
  return decide_renewal(s, staleness_bound_s(settings_.cancel_s, settings_.lease_s)) ==
         RenewalDecision::renew;
}

bool LeaseRenewal::note_visit(const std::string& machine) {
  const double now = loop_.now();
  auto [it, fresh] = misrouted_.try_emplace(machine, MisroutedMachine{now, now, false});
  it->second.last = now;
  return fresh;
}

const ShardLease* LeaseRenewal::recorded_holder() const {
  const ShardLease* held = nullptr;
  for (auto& grant : cache_.shard_table().leases)
    if (grant.covers_unassigned) held = &grant;
  return held;
}

bool LeaseRenewal::should_answer(const MisroutedMachine& machine,
                                 const std::string& shard_leader) const {
  const double patience = missing_share * settings_.lease_s;
  // A machine that can reach one controller in five makes the round of all in most of a lease, so
  // the second visit would be too late: where we can't reach the holder either, and its key stands
  // longer than a dead node's would, the first visit is answered.
  const bool apart = peer_network_.since_last_heartbeat_s(shard_leader) > patience &&
                     cache_.has_leader() && cache_.leader().controller == shard_leader;
  // Where only the way between controllers is closed the machine must be sent back to its holder
  // each other time, or it would seem lost to it. In a cut there is nowhere to send it.
  const bool cut_off = apart && !contact_.in_contact();
  const bool overdue = apart || loop_.now() - machine.since >= patience;
  return cut_off || (overdue && !machine.answered);
}

std::vector<Command> LeaseRenewal::stops_of_cancelled(const Heartbeat& heartbeat) {
  std::vector<Command> commands;
  for (auto& task : heartbeat.tasks) {
    const Job* job = cache_.job(task.task.job);
    const bool cancelled = (job && job->cancelled) || cancellations_.is_cancelled(task.task.job);
    if (task.state != TaskState::exited && cancelled)
      commands.push_back({Command::Op::stop, task.task, task.attempt, 0});
  }
  return commands;
}

// Mostly the holder's name. But where a cut lies between a machine and its holder, the machine
// comes back, and its tasks would end with its lease. Any node that knows the holder's term from
// the state service may renew that lease: the records stay the holder's alone, no start is ordered
// and nothing forgotten here, and silence never proves to the holder that a task is gone. Tasks of
// cancelled jobs are stopped, since the holder can't do it.
HttpResponse LeaseRenewal::answer(const Heartbeat& heartbeat) {
  const ShardLease* held = recorded_holder();
  if (!held) return {421, encode_redirect({}), 0};
  // A peer may hold a newer grant than the records that we have read say, ours among them.
  const auto newest = peer_network_.newest_shard_leader();
  const std::string& shard_leader =
      newest && newest->fencing_token > held->fencing_token ? newest->controller : held->controller;
  if (shard_leader == settings_.controller_name) return {421, encode_redirect({}), 0};
  note_visit(heartbeat.machine);
  MisroutedMachine& machine = misrouted_.at(heartbeat.machine);
  const bool answers = cache_.loaded() && heartbeat.fencing_token <= held->fencing_token &&
                       should_answer(machine, shard_leader) && may_renew(false);
  if (!answers) {
    // The node named by the records, unless it seems dead. After an answer it is named in any case:
    // it may be back in reach, or only our own way to it be closed.
    const bool named = peer_network_.alive(shard_leader) || machine.answered;
    machine.answered = false;
    return {421, encode_redirect(named ? shard_leader : std::string()), 0};
  }
  machine.answered = true;
  const auto commands = stops_of_cancelled(heartbeat);
  forward_exits(heartbeat, held->fencing_token);
  spdlog::debug("answered {} for {}", heartbeat.machine, shard_leader);
  return {200, encode_heartbeat_response(held->fencing_token, commands), 0};
}

void LeaseRenewal::forward_exits(const Heartbeat& heartbeat, uint64_t fencing_token) {
  // Before the machine has learned the term an older holder's orders may still reach it.
  if (heartbeat.fencing_token != fencing_token) return;
  for (auto& task : heartbeat.tasks)
    if (task.state == TaskState::exited)
      exit_forwarder_.saw(fencing_token, {heartbeat.machine, task.task, task.attempt, task.cause});
}

uint64_t LeaseRenewal::misrouted_machines() const {
  // One that came by and found its holder is none.
  return static_cast<uint64_t>(
      std::count_if(misrouted_.begin(), misrouted_.end(), [&](auto& entry) {
        return entry.second.last - entry.second.since > missing_share / 2 * settings_.lease_s;
      }));
}

void LeaseRenewal::forget_old_visits() {
  const double before = loop_.now() - settings_.lease_s * forgotten_share;
  std::erase_if(misrouted_, [&](auto& entry) { return entry.second.last < before; });
}

}  // namespace damsonport
