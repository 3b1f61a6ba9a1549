// Order, rules, and the placing of jobs whose tasks start one by one.
#include "coordination/scheduling/scheduler.hpp"

#include <cmath>
#include <numeric>

#include "coordination/scheduling/scheduling_cycle.hpp"

namespace damsonport::scheduling {

namespace {
// A start that is late with a lower chance than this isn't worth a stop.
constexpr double bearable_miss_chance = 0.25;
constexpr int at_fault_urgency = -1;  // behind all others
}  // namespace

SchedulingCycle::SchedulingCycle(const SchedulerSnapshot& in)
    : in_(in),
      future_(in.machines.size()),
      used_(in.teams.size()),
      replicas_(in.machines.size()),
      least_urgent_(in.machines.size(), std::numeric_limits<int>::max()),
      stopped_(in.machines.size()),
      placement_count_of_(in.jobs.size(), nowhere),
      booting_(in.booting),
      part_on_(in.machines.size()) {
  judge_guarantees();
  prepare_placement_counts();
  free_.reserve(in.machines.size());
  for (size_t m = 0; m < in.machines.size(); ++m) count_machine(m);
  measure_shapes();
}

void SchedulingCycle::prepare_placement_counts() {
  std::unordered_map<size_t, size_t> of_replica_set;
  for (size_t j = 0; j < in_.jobs.size(); ++j) {
    auto& job = in_.jobs[j];
    if (job.waiting == 0 || job.cancelled) continue;
    order_.push_back(j);
    if (job.replica) {
      auto [it, fresh] = of_replica_set.try_emplace(job.replica_set, placement_counts_.size());
      placement_count_of_[j] = it->second;
      if (!fresh) continue;
    }
    placement_count_of_[j] = placement_counts_.size();
    placement_counts_.push_back({std::vector<uint32_t>(in_.zones.size()), {}});
  }
  if (of_replica_set.empty()) return;
  // Those that run count for those that wait.
  for (size_t j = 0; j < in_.jobs.size(); ++j)
    if (auto it = of_replica_set.find(in_.jobs[j].replica_set);
        in_.jobs[j].replica && it != of_replica_set.end())
      placement_count_of_[j] = it->second;
}

Decisions SchedulingCycle::run() {
  std::sort(order_.begin(), order_.end(), [&](size_t a, size_t b) { return precedes(a, b); });
  for (size_t j : order_) {
    recall_replicas(j);
    if (in_.jobs[j].gang) {
      place_gang(j);
    } else {
      place_job(j);
    }
    forget_replicas(j);
  }
  return std::move(out_);
}

void SchedulingCycle::count_machine(size_t m) {
  auto& machine = in_.machines[m];
  free_.push_back(machine.free);
  for (auto& l : machine.live) {
    auto& job = in_.jobs[l.job];
    if (job.team != no_team) used_[job.team] += job.need;
    if (is_stopping(l)) {
      future_[m] += job.need;
    } else {
      least_urgent_[m] = std::min(least_urgent_[m], urgency_[l.job]);
    }
    if (job.gang) gang_parts_[l.job].push_back({m, static_cast<size_t>(&l - machine.live.data())});
    if (placement_count_of_[l.job] == nowhere) continue;
    ++placement_count(l.job).in_zone[machine.zone];
    placement_count(l.job).on.push_back(m);
  }
  if (has_room(future_[m])) coming_.push_back(m);
}

void SchedulingCycle::recall_replicas(size_t j) {
  for (size_t m : placement_count(j).on) ++replicas_[m];
  parts_together_ = false;
  parts_zone_ = 0;
  if (in_.jobs[j].replica) bind_replica(j);
}

void SchedulingCycle::forget_replicas(size_t j) {
  for (size_t m : placement_count(j).on) {
    replicas_[m] = 0;
    part_on_[m] = 0;
  }
}

void SchedulingCycle::measure_shapes() {
  const bool fixed = std::any_of(in_.jobs.begin(), in_.jobs.end(),
                                 [](auto& j) { return j.need.gpus > 0 && !j.spot; });
  for (auto& j : in_.jobs) {
    if (j.need.gpus <= 0 || (fixed && j.spot)) continue;
    large_gpus_ = std::max(large_gpus_, j.need.gpus);
    cpus_per_gpu_ = std::max(cpus_per_gpu_, j.need.cpus / j.need.gpus);
    memory_per_gpu_ = std::max(memory_per_gpu_, j.need.memory_gb / j.need.gpus);
  }
}

void SchedulingCycle::judge_guarantees() {
  guaranteed_.assign(in_.jobs.size(), false);
  urgency_.assign(in_.jobs.size(), 0);
  std::vector<size_t> order(in_.jobs.size());
  std::iota(order.begin(), order.end(), 0);
  std::sort(order.begin(), order.end(), [&](size_t a, size_t b) {
    auto &ja = in_.jobs[a], &jb = in_.jobs[b];
    if (ja.accepted_at != jb.accepted_at) return ja.accepted_at < jb.accepted_at;
    return ja.replica_number < jb.replica_number;
  });
  std::vector<Resources> sum(in_.teams.size());
  for (size_t j : order) {
    auto& job = in_.jobs[j];
    if (job.team != no_team && !job.cancelled) {
      auto& g = in_.teams[job.team].guaranteed;
      auto& s = sum[job.team];
      s.cpus += job.need.cpus * job.unfinished;
      s.gpus += job.need.gpus * job.unfinished;
      constexpr double eps = 1e-6;
      guaranteed_[j] = (g.cpus > 0 || g.gpus > 0) && (g.cpus <= 0 || s.cpus <= g.cpus + eps) &&
                       (g.gpus <= 0 || s.gpus <= g.gpus + eps);
    }
    urgency_[j] = urgency(j);
  }
}

int SchedulingCycle::urgency(size_t j) const {
  auto& job = in_.jobs[j];
  if (job.faulty) return at_fault_urgency;
  // Urgent ranks first, then what is guaranteed, then the rest; by priority, and among equals
  // what is guaranteed. An urgent job past its guarantee thus isn't kept waiting by guaranteed
  // work that may be stopped and saved.
  return (job.priority >= urgent_priority ? 200
          : guaranteed_[j]                ? 100
                                          : 0) +
         job.priority * 10 + (guaranteed_[j] ? 5 : 0);
}

bool SchedulingCycle::precedes(size_t a, size_t b) const {
  if (urgency_[a] != urgency_[b]) return urgency_[a] > urgency_[b];
  auto &ja = in_.jobs[a], &jb = in_.jobs[b];
  double ta = queue_key(ja), tb = queue_key(jb);
  if (ta != tb) return ta < tb;
  if (ja.id != jb.id) return ja.id < jb.id;
  return ja.replica_number < jb.replica_number;
}

double SchedulingCycle::queue_key(const JobSnapshot& job) const {
  if (job.deadline <= 0) return job.accepted_at;
  const double patience = in_.begin_within_s * (job.begun ? 3 : 1);
  const bool behind = in_.now > job.deadline && in_.now < job.accepted_at + patience;
  return behind ? in_.now + job.accepted_at + patience : job.deadline;
}

bool SchedulingCycle::team_allows(size_t j) const {
  auto& job = in_.jobs[j];
  if (job.team == no_team) return false;
  constexpr double eps = 1e-6;
  auto& limit = in_.teams[job.team].limit;
  auto& used = used_[job.team];
  return (limit.cpus <= 0 || used.cpus + job.need.cpus <= limit.cpus + eps) &&
         (limit.gpus <= 0 || used.gpus + job.need.gpus <= limit.gpus + eps);
}

bool SchedulingCycle::zone_allows(size_t j, NameId zone) const {
  auto& job = in_.jobs[j];
  if (job.zone != 0 && job.zone != zone) return false;
  if (parts_together_ && parts_zone_ != 0 && parts_zone_ != zone) return false;
  if (!job.one_zone && !job.spread) return true;
  auto& count = placement_count(j).in_zone;
  // A machine known only from the records, after a change of holder, has no zone yet: its tasks
  // may be in any.
  const uint32_t unknown = count[0];
  if (job.one_zone) {
    if (unknown > 0) return false;
    for (NameId z = 0; z < count.size(); ++z)
      if (count[z] > 0 && z != zone) return false;
  }
  // A replica that is to lie in one zone needs a zone that may take all of it.
  const uint32_t needed = parts_together_ && parts_zone_ == 0 ? job.waiting : 1;
  return !job.spread || count[zone] + unknown + needed <= (job.tasks + 1) / 2;
}

bool SchedulingCycle::matches_constraints(size_t j, NameId type, NameId zone, bool spot) const {
  auto& job = in_.jobs[j];
  return (!spot || job.spot) && (job.types.empty() || contains(job.types, type)) &&
         zone_allows(j, zone);
}

bool SchedulingCycle::is_feasible(size_t j, size_t m) const {
  auto& job = in_.jobs[j];
  auto& machine = in_.machines[m];
  if (job.distinct_machines && part_on_[m]) return false;
  return machine.open && job.need.fits(machine.total) &&
         matches_constraints(j, machine.type, machine.zone, machine.spot) &&
         (machine.bad_jobs.empty() || !contains(machine.bad_jobs, job.id));
}

void SchedulingCycle::place_job(size_t j) {
  auto& job = in_.jobs[j];
  uint32_t left = job.waiting;
  uint32_t coming = 0;
  if (!team_allows(j)) return;
  if (!is_known_unschedulable(job)) {
    left -= start_what_fits(j, left, coming);
    if (left > 0 && team_allows(j)) mark_unschedulable(job);
  }
  if (job.faulty) return;
  uint32_t patient = 0;
  while (left > 0) {
    if (!team_allows(j)) break;
    switch (promise_room(j)) {
      case PromisedRoom::coming:
        ++coming;
        break;
      case PromisedRoom::booting:
        ++patient;
        break;
      case PromisedRoom::none:
        note_unschedulable(j, left + patient, coming);
        return;
    }
    --left;
  }
  note_unschedulable(j, patient, coming);
}

SchedulingCycle::PromisedRoom SchedulingCycle::promise_room(size_t j) {
  // Room that is being made already serves the most urgent first. Standing replicas are stopped
  // only for what no machine on its way has room for: they would come back later than it.
  if (claim_coming(j) || make_room(j, false)) return PromisedRoom::coming;
  if (claim_booting(j)) return PromisedRoom::booting;
  return make_room(j, true) ? PromisedRoom::coming : PromisedRoom::none;
}

uint32_t SchedulingCycle::start_what_fits(size_t j, uint32_t most, uint32_t& coming) {
  auto& job = in_.jobs[j];
  struct Candidate {
    double score;
    size_t machine;
    // The best on top of the heap, and among equals the first.
    bool operator<(const Candidate& o) const {
      return score != o.score ? score > o.score : machine > o.machine;
    }
  };
  std::vector<Candidate> heap;
  out_.examined += in_.machines.size();
  for (size_t m = 0; m < in_.machines.size(); ++m)
    if (job.need.fits(free_[m]) && is_feasible(j, m)) heap.push_back({score(j, m, free_[m]), m});
  std::make_heap(heap.begin(), heap.end());
  uint32_t started = 0;
  const bool hurries = job.priority >= urgent_priority && job.start_within_s > 0 && !job.faulty;
  bool beside_image = hurries;  // as long as something cheap enough is found
  while (started < most && !heap.empty() && team_allows(j)) {
    const double fetch = image_delay(job, in_.machines[heap.front().machine]);
    if (beside_image && miss_chance(fetch, job.start_within_s) > bearable_miss_chance) {
      beside_image = make_room_beside_image(j, fetch, heap.front().score);
      if (beside_image) {
        ++started;
        ++coming;
        continue;
      }
    }
    std::pop_heap(heap.begin(), heap.end());
    const size_t m = heap.back().machine;
    heap.pop_back();
    ++out_.examined;
    if (!zone_allows(j, in_.machines[m].zone)) continue;
    occupy(j, m);
    free_[m] -= job.need;
    out_.starts.push_back({j, m});
    ++started;
    if (!job.need.fits(free_[m])) continue;
    heap.push_back({score(j, m, free_[m]), m});
    std::push_heap(heap.begin(), heap.end());
  }
  return started;
}

bool SchedulingCycle::same_rules(const JobSnapshot& a, const JobSnapshot& b) {
  return a.spot == b.spot && a.zone == b.zone && a.types == b.types;
}

bool SchedulingCycle::is_known_unschedulable(const JobSnapshot& job) const {
  return std::any_of(full_.begin(), full_.end(), [&](const JobSnapshot* f) {
    return f->need.fits(job.need) && same_rules(*f, job);
  });
}

bool SchedulingCycle::represents_class(const JobSnapshot& job) const {
  if (job.one_zone || job.spread) return false;
  return std::none_of(in_.machines.begin(), in_.machines.end(),
                      [&](auto& m) { return !m.bad_jobs.empty() && contains(m.bad_jobs, job.id); });
}

void SchedulingCycle::mark_unschedulable(const JobSnapshot& job) {
  if (represents_class(job)) full_.push_back(&job);
}

void SchedulingCycle::note_unschedulable(size_t j, uint32_t left, uint32_t coming) {
  if (left) out_.unschedulable.push_back({j, left, guaranteed_[j], false, left});
  if (coming) out_.unschedulable.push_back({j, coming, guaranteed_[j], true, coming});
}

void SchedulingCycle::occupy(size_t j, size_t m) {
  used_[in_.jobs[j].team] += in_.jobs[j].need;
  ++placement_count(j).in_zone[in_.machines[m].zone];
  placement_count(j).on.push_back(m);
  ++replicas_[m];
  if (!in_.jobs[j].replica) return;
  part_on_[m] = 1;
  if (parts_together_) parts_zone_ = in_.machines[m].zone;
}

bool SchedulingCycle::claim_coming(size_t j, std::optional<BesideImage> beside_image) {
  out_.examined += coming_.size();
  auto& need = in_.jobs[j].need;
  double bound = never;
  if (beside_image) bound = beside_image->cheaper_than;
  double best = bound;
  size_t where = 0;
  for (size_t m : coming_) {
    if (!has_room(future_[m])) continue;
    if (beside_image && !(has_image(in_.machines[m], in_.jobs[j].image) &&
                          time_to_save(m) < beside_image->within_s))
      continue;
    Resources both = free_[m];
    both += future_[m];
    if (!need.fits(both) || !is_feasible(j, m)) continue;
    double c = score(j, m, both);
    if (c < best || (c == best && m < where)) best = c, where = m;
  }
  if (best == bound) return false;
  take_future(j, where);
  return true;
}

bool SchedulingCycle::claim_booting(size_t j) {
  auto& job = in_.jobs[j];
  for (auto& b : booting_) {
    if (!job.need.fits(b.room) || !matches_constraints(j, b.type, b.zone, b.spot)) continue;
    b.room -= job.need;
    used_[job.team] += job.need;  // it starts there in a moment
    if (parts_together_) parts_zone_ = b.zone;
    return true;
  }
  return false;
}

void SchedulingCycle::take_future(size_t j, size_t m) {
  auto& need = in_.jobs[j].need;
  auto part = [](double want, double& now, double& later) {
    double first = std::min(want, std::max(now, 0.0));
    now -= first;
    later -= want - first;
  };
  part(need.cpus, free_[m].cpus, future_[m].cpus);
  part(need.gpus, free_[m].gpus, future_[m].gpus);
  part(need.memory_gb, free_[m].memory_gb, future_[m].memory_gb);
  occupy(j, m);
}

uint32_t count_fitting(const Resources& need, const Resources& room) {
  double n = 1e6;
  auto bound = [&](double want, double have) {
    if (want > 0) n = std::min(n, std::floor(have / want + 1e-6));
  };
  bound(need.cpus, room.cpus);
  bound(need.gpus, room.gpus);
  bound(need.memory_gb, room.memory_gb);
  return static_cast<uint32_t>(std::max(n, 0.0));
}

bool has_image(const MachineSnapshot& m, NameId image) {
  return contains(m.images, image) && !contains(m.fetching, image);
}

Decisions place(const SchedulerSnapshot& in) { return SchedulingCycle(in).run(); }

}  // namespace damsonport::scheduling
