// The holder's dealings with the cloud: what is there, what is lost, rented and given back.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <limits>

#include "coordination/autoscaling/headroom.hpp"
#include "coordination/shard_leader/shard_leader.hpp"

namespace damsonport {

namespace {
// Leases for which a kind that was refused counts as scarce.
constexpr double scarce_leases = 10;
constexpr double slow_boot = 1.6;    // times boot_s: the room is no longer counted on
constexpr double never_boots = 4.0;  // times boot_s: returned
}  // namespace

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
    note_starting(listed);
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

void ShardLeader::note_starting(const ListedMachine& listed) {
  constexpr double unknown_boot_s = 60;
  const double now = loop_.now();
  auto* type = deps_.catalog.type(listed.type);
  const double boot_s = type ? type->boot_s : unknown_boot_s;
  auto [b, fresh] = booting_.try_emplace(
      listed.id, Booting{listed.type, listed.zone, listed.spot, now - listed.age_s});
  // Older than it can be: up and not yet listed as such, or never coming.
  if (machines_.contains(listed.id) && machines_.at(listed.id).agent_epoch != 0) {
    booting_.erase(b);
  } else if (now - b->second.since > boot_s * never_boots) {
    scale_in_.request(listed.id, "it does not boot");
  }
}

// Takes no new tasks and is returned when empty; a replacement comes through the spare room.
void ShardLeader::drain(Machine& m, const std::string& why) {
  if (m.draining) return;
  m.drain_why = why;
  m.draining = true;
  mark_changed(m.id);
  scheduling_requested_ = true;
}

void ShardLeader::detect_dead_machines() {
  FailureDetector::FleetFacts facts;
  facts.has_tombstone = [this](auto& id) { return cache_.has_tombstone(id); };
  facts.is_leaving = [this](auto& id) { return scale_in_.is_leaving(id); };
  facts.has_assignments = [this](auto& id) { return !cache_.assigned(id).empty(); };
  facts.silent_peers = deps_.peer_network.unreachable_peers();
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
    if (m.notice_at) {
      // What can save is stopped in time to do it.
      for (auto& [a, attempt] : cache_.assigned(id)) {
        auto& s = a.job->spec;
        TaskId name{s.id, a.index};
        double left = *m.notice_at - now;
        double grace = stop_grace(s);
        if (stopping_.contains(name)) continue;
        bool saves = s.checkpoint_s > 0;
        if (saves ? left < grace + 2 * settings_.heartbeat_interval_s
                  : left < settings_.heartbeat_interval_s / 2) {
          if (s.gang_size() > 0) {
            stop_gang(*a.job, gang_containing(s, a.index), grace);
          } else {
            stop_task({name, attempt, id}, grace);
          }
        }
      }
    }
    // The jobs that failed here are tried elsewhere first, which may take the blame back.
    const bool in_dispute = m.failing_since > 0 && now - m.failing_since < settings_.lease_s;
    const bool empty = cache_.assigned(id).empty() && m.tasks.empty() && m.agent_epoch != 0;
    if (m.draining && empty && !in_dispute)
      scale_in_.request(id, "empty and drained (" + m.drain_why + ")");
    // Its answers don't reach it: sessions end though we answer every report.
    if (m.failed_sends >= 3 && m.lost_epochs >= 1) scale_in_.request(id, "it can't be answered");
  }
}

// First a replacement, then no new tasks. Where the cloud has none, giving the slow machine back is
// what makes room for one, so it is drained at once; and one that does not come is not waited for.
void ShardLeader::check_stragglers() {
  const double now = loop_.now();
  std::vector<Machine*> waiting, newcomers;
  double first_flagged = std::numeric_limits<double>::infinity();
  for (auto& [id, m] : machines_) {
    if (m.replacing_since == 0 || m.draining) continue;
    waiting.push_back(&m);
    first_flagged = std::min(first_flagged, m.replacing_since);
  }
  if (waiting.empty()) return;
  for (auto& [id, m] : machines_)
    if (!m.replaces && m.first_heartbeat_at > first_flagged) newcomers.push_back(&m);
  for (Machine* straggler : waiting) {
    Machine& m = *straggler;
    auto* type = deps_.catalog.type(m.type);
    for (Machine* other : newcomers) {
      if (other->replaces || other->type != m.type ||
          other->first_heartbeat_at <= m.replacing_since)
        continue;
      other->replaces = true;
      drain(m, "straggler, replaced by " + other->id);
      break;
    }
    if (!m.draining && (scale_out_requests_.is_refused({m.type, m.zone, m.spot}) ||
                        now - m.replacing_since > slow_boot * (type ? type->boot_s : 0)))
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
  // The cloud has room for its like again: no pause after an earlier refusal stands against it.
  if (auto m = machines_.find(id); m != machines_.end() && !m->second.type.empty()) {
    scale_out_requests_.forget_refusal({m->second.type, m->second.zone, m->second.spot});
    // What ran on it shows as demand only when its exits are committed, and boots take longer
    // still.
    if (declared_dead)
      lost_capacity_.push_back({m->second.type, m->second.zone, m->second.spot, false});
  }
  booting_.erase(id);
  forget_machine(id);
  for (auto& [a, attempt] : cache_.assigned(id)) {
    TaskId name{a.job->spec.id, a.index};
    note_exit(name, {attempt, ExitCause::stopped, id});
  }
}

// How many tasks of this kind its team may run at once at the most.
uint64_t ShardLeader::team_limit(const JobSpec& spec) const {
  auto* team = settings_.team(spec.team);
  double n = 1e6;
  const auto limit = team ? deps_.quotas.limit(*team) : scheduling::Resources{};
  if (limit.cpus > 0 && spec.cpus > 0) n = std::min(n, limit.cpus / spec.cpus);
  if (limit.gpus > 0 && spec.gpus > 0) n = std::min(n, limit.gpus / spec.gpus);
  return static_cast<uint64_t>(n + 1e-6);
}

// The type of a machine that is on its way and not overdue, or null.
const MachineType* ShardLeader::coming_type(const std::string& id, const Booting& b) const {
  if (machines_.contains(id) || scale_in_.is_leaving(id)) return nullptr;
  auto* t = deps_.catalog.type(b.type);
  return t && loop_.now() - b.since <= t->boot_s * slow_boot ? t : nullptr;
}

// From the jobs that are known: a new holder expects what the last one did.
void ShardLeader::expect_arrivals(autoscaling::AutoscalerInput& in) const {
  double gpu_boot_s = 0, cpu_boot_s = 0;
  for (auto& t : in.types) {
    double& boot_s = t.gpus > 0 ? gpu_boot_s : cpu_boot_s;
    boot_s = std::max(boot_s, t.boot_s);
  }
  std::vector<headroom::Arrival> gpus, cpus;
  for (auto& [id, job] : cache_.jobs()) {
    auto& spec = job->spec;
    if (spec.spot) continue;
    const double age_s = loop_.wall() - spec.accepted_at;
    if (spec.gpus > 0) {
      gpus.push_back({age_s, spec.gpus * spec.tasks});
    } else {
      cpus.push_back({age_s, spec.cpus * spec.tasks});
    }
  }
  in.expected_gpus = headroom::expected_arrivals(gpus, gpu_boot_s, tuning_.arrival_spreads);
  in.expected_cpus = headroom::expected_arrivals(cpus, cpu_boot_s, tuning_.arrival_spreads);
}

autoscaling::AutoscalerInput ShardLeader::autoscaler_input() const {
  autoscaling::AutoscalerInput in;
  const double now = loop_.now();
  in.types = deps_.catalog.types();
  in.headroom_share = tuning_.headroom_share;
  in.cheap_headroom_share = tuning_.cheap_headroom_share;
  in.idle_replacements = tuning_.idle_replacements;
  in.demand = unschedulable_;
  expect_arrivals(in);
  for (auto& [id, job] : cache_.jobs()) {
    auto& spec = job->spec;
    if (job->cancelled || faults_.is_job_faulty(id)) continue;
    const auto tasks =
        static_cast<uint32_t>(std::min<uint64_t>(spec.tasks - job->done, team_limit(spec)));
    (spec.gpus > 0 ? in.gpu_work : in.cpu_work) += resources_per_task(spec) * tasks;
    if (spec.spot) {
      in.spot_work.push_back({resources_per_task(spec), tasks, spec.types, spec.zone, true});
      continue;
    }
    in.largest_gpus = std::max(in.largest_gpus, spec.gpus);
  }
  for (auto& t : in.types)
    for (auto& zone : t.zones)
      for (bool spot : {false, true}) {
        const MachineKind kind{t.name, zone, spot};
        autoscaling::InstanceOffer offer{t.name, zone, spot};
        offer.refused = scale_out_requests_.is_refused(kind);
        offer.scarce = scale_out_requests_.is_scarce(kind, scarce_leases * settings_.lease_s);
        offer.request_pending = scale_out_requests_.has_pending(kind);
        in.offers.push_back(offer);
      }
  for (auto& [id, m] : machines_) {
    if (scale_in_.is_leaving(id) || m.type.empty()) continue;
    autoscaling::MachineState s;
    s.id = id;
    s.type = m.type;
    s.zone = m.zone;
    s.spot = m.spot;
    s.schedulable = is_schedulable(m);
    s.total = total_of(m);
    s.free = free_of(m);
    s.empty = cache_.assigned(id).empty() && m.tasks.empty();
    s.idle_s = now - m.idle_since;
    for (auto& [image, use] : m.images.images()) s.images_gb += use.second;
    // Up but not heard yet counts as on its way.
    s.booting = m.agent_epoch == 0 && failure_detector_.since_last_heartbeat_s(m, now) <
                                          4 * settings_.heartbeat_interval_s;
    in.machines.push_back(s);
    for (auto& [a, attempt] : cache_.assigned(id)) {
      auto& spec = a.job->spec;
      if (!spec.spot) {
        in.machines.back().has_on_demand_work = true;
      } else if (spec.checkpoint_s > 0) {
        in.machines.back().preemptible += resources_per_task(spec);
      }
    }
  }
  for (auto& [id, b] : booting_) {
    auto* t = coming_type(id, b);
    if (!t) continue;
    autoscaling::MachineState s;
    s.id = id;
    s.type = b.type;
    s.zone = b.zone;
    s.spot = b.spot;
    s.booting = true;
    s.total = s.free = {t->cpus, t->gpus, t->memory_gb};
    in.machines.push_back(s);
  }
  return in;
}

void ShardLeader::scale_out(const std::stop_token& stop_token) {
  scale_out_requests_.resume(stop_token);
  auto input = autoscaler_input();
  cost_account_.charge(input.machines, input.types, loop_.now());
  if (auto line = cost_account_.report(loop_.now(), settings_.lease_s)) spdlog::info("{}", *line);
  for (auto& [id, m] : machines_) {
    const bool wanted = m.replacing_since > 0 && !m.draining && !m.replacement_asked;
    if (!wanted || scale_out_requests_.has_pending({m.type, m.zone, m.spot})) continue;
    m.replacement_asked = true;
    input.replacements.push_back({m.type, m.zone, m.spot});
  }
  std::erase_if(lost_capacity_, [&](auto& kind) {
    if (scale_out_requests_.has_pending(kind)) return false;
    input.replacements.push_back(kind);
    return true;
  });
  auto plan = autoscaling::plan(input);
  for (auto& id : plan.scale_in) scale_in_.request(id, "idle");
  for (auto& r : plan.scale_out) {
    const MachineKind& kind = r.kind;
    if (!scale_out_requests_.has_pending(kind))
      scale_out_requests_.scale_out(kind, r.count, stop_token);
  }
}

}  // namespace damsonport
