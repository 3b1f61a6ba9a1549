// What a node answers to machines that another one holds.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "coordination/holder.hpp"

namespace damsonport {

namespace {
// A machine that keeps coming for this share of its lease is taken to miss its holder.
constexpr double missing_share = 0.25;
}  // namespace

// Mostly the holder's name. But where a cut lies between a machine and its holder, the machine
// comes back, and its tasks would end with its lease. Any node that knows the holder's term from
// the state service may renew that lease: the records stay the holder's alone, no start is ordered
// and nothing forgotten here, and silence never proves to the holder that a task is gone. Tasks of
// cancelled jobs are stopped, since the holder can't do it.
HttpResponse Holder::renew_for_holder(const Report& r) {
  const double now = loop_.now();
  const double patience = missing_share * settings_.lease_s;
  const Grant* held = nullptr;
  for (auto& g : cache_.blocks().grants)
    if (g.rest) held = &g;
  if (!held) return {421, encode_report_to({}), 0};
  // A peer may hold a newer grant than the records that we have read say, ours among them.
  const auto newest = p_.peer_network.newest_holder();
  const std::string& holder = newest.second > held->term ? newest.first : held->node;
  if (holder == settings_.node_name) return {421, encode_report_to({}), 0};
  auto [it, fresh] = misrouted_.try_emplace(r.machine, MisroutedMachine{now, now, false});
  MisroutedMachine& s = it->second;
  s.last = now;
  // A machine that can reach one controller in five makes the round of all in most of a lease, so
  // the second visit would be too late: where we can't reach the holder either, and its key stands
  // longer than a dead node's would, the first visit is answered.
  const bool apart = p_.peer_network.silence(holder) > patience && cache_.has_leader() &&
                     cache_.leader().node == holder;
  // Where only the way between controllers is closed the machine must be sent back to its holder
  // each other time, or it would seem lost to it. In a cut there is nowhere to send it.
  const bool cut_off = apart && !in_contact();
  const bool wanted = cut_off || ((apart || now - s.since >= patience) && !s.answered);
  const bool answer = cache_.loaded() && r.token <= held->term && wanted && may_renew(false);
  if (!answer) {
    // The node named by the records, unless it seems dead. After an answer it is named in any case:
    // it may be back in reach, or only our own way to it be closed.
    const bool named = p_.peer_network.alive(holder) || s.answered;
    s.answered = false;
    return {421, encode_report_to(named ? holder : std::string()), 0};
  }
  s.answered = true;
  std::vector<Command> commands;
  for (auto& t : r.tasks) {
    Job* job = cache_.job(t.task.job);
    const bool cancelled = job ? is_cancelled(*job) : p_.cancellations.cancelled(t.task.job);
    if (t.state != TaskState::exited && cancelled)
      commands.push_back({Command::Op::stop, t.task, t.attempt, 0});
  }
  relay_exits(r, held->term);
  spdlog::debug("answered {} for {}", r.machine, holder);
  return {200, encode_report_answer(held->term, commands), 0};
}

void Holder::relay_exits(const Report& r, uint64_t term) {
  // Before the machine has learned the term an older holder's orders may still reach it.
  if (r.token != term) return;
  for (auto& t : r.tasks)
    if (t.state == TaskState::exited)
      p_.exit_relay.saw(term, {r.machine, t.task, t.attempt, t.cause});
}

void Holder::take_relayed_exits() {
  if (!records_current()) return;
  for (auto& [node, relayed] : cache_.relayed_exits()) {
    if (relayed.term != term_) continue;
    for (auto& exit : relayed.exits) {
      if (exits_.contains(exit.task) || !cache_.places(exit.task, exit.attempt, exit.machine))
        continue;
      spdlog::debug("{} attempt {} ended on {}, as {} says", exit.task.text(), exit.attempt,
                    exit.machine, node);
      note_exit(exit.task, {exit.attempt, exit.cause, exit.machine});
    }
  }
}

uint64_t Holder::misrouted_machines() const {
  // One that came by and found its holder is none.
  return static_cast<uint64_t>(
      std::count_if(misrouted_.begin(), misrouted_.end(), [&](auto& entry) {
        return entry.second.last - entry.second.since > missing_share / 2 * settings_.lease_s;
      }));
}

void Holder::forget_misrouted() {
  const double before = loop_.now() - settings_.lease_s / 2;
  std::erase_if(misrouted_, [&](auto& entry) { return entry.second.last < before; });
  std::erase_if(images_seen_, [&](auto& entry) { return cache_.leaving(entry.first); });
}

}  // namespace damsonport
