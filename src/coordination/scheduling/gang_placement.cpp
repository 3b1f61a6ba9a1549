// Gangs: all their tasks are placed by one decision or none is.
#include <cmath>

#include "coordination/scheduling/scheduling_cycle.hpp"

namespace damsonport::scheduling {

namespace {
// Seconds that each further machine of a gang counts for: the loss of any one stops all of it.
constexpr double machine_cost = 2;
// Seconds that a part of another replica of the job counts for: one machine's loss would take both.
constexpr double sibling_cost = 2;
// Seconds that a CPU task on a machine with accelerators counts for, and an accelerator that loses
// the CPUs or memory beside it.
constexpr double accelerator_machine_cost = 15, lost_accelerator_cost = 10;
constexpr double slow_machine_cost = 20;
}  // namespace

bool SchedulingCycle::team_allows_whole(size_t j) const {
  auto& job = in_.jobs[j];
  if (job.team == no_team) return false;
  constexpr double eps = 1e-6;
  auto& limit = in_.teams[job.team].limit;
  auto& used = used_[job.team];
  const double tasks = job.waiting;
  return (limit.cpus <= 0 || used.cpus + tasks * job.need.cpus <= limit.cpus + eps) &&
         (limit.gpus <= 0 || used.gpus + tasks * job.need.gpus <= limit.gpus + eps);
}

// How many more tasks of the job this zone may take.
uint32_t SchedulingCycle::zone_allowance(size_t j, NameId zone) const {
  auto& job = in_.jobs[j];
  if (!zone_allows(j, zone)) return 0;
  if (!job.spread) return job.waiting;
  auto& count = placement_count(j).in_zone;
  return (job.tasks + 1) / 2 - count[zone] - count[0];
}

// The gang starts with its slowest fetch and runs at the speed of its slowest machine.
double SchedulingCycle::gang_machine_cost(size_t j, size_t m, uint32_t tasks) const {
  auto& job = in_.jobs[j];
  auto& machine = in_.machines[m];
  double c = image_delay(job, machine);
  c += (1.0 - std::min(machine.speed, 1.0)) * slow_machine_cost;
  c += machine_cost * std::ceil(static_cast<double>(job.waiting) / tasks);
  if (job.replica) c += sibling_cost * replicas_[m];
  if (machine.total.gpus > 0 && job.need.gpus <= 0) {
    Resources left = free_[m];
    for (uint32_t i = 0; i < tasks; ++i) left -= job.need;
    c += accelerator_machine_cost;
    c += lost_accelerator_cost * (usable_gpus(free_[m]) - usable_gpus(left));
  }
  return c;
}

SchedulingCycle::GangPlan SchedulingCycle::plan_gang_in(size_t j, NameId zone,
                                                        bool only_with_image) const {
  auto& job = in_.jobs[j];
  struct Candidate {
    double score;
    size_t machine;
    uint32_t fits;
    bool operator<(const Candidate& o) const {
      return score != o.score ? score < o.score : machine < o.machine;
    }
  };
  std::vector<Candidate> candidates;
  for (size_t m = 0; m < in_.machines.size(); ++m) {
    auto& machine = in_.machines[m];
    if (!job.need.fits(free_[m]) || machine.straggler || !is_feasible(j, m)) continue;
    if (zone != 0 && machine.zone != zone) continue;
    if (only_with_image && !has_image(machine, job.image)) continue;
    const uint32_t most = job.distinct_machines ? 1 : job.waiting;
    const uint32_t fits = std::min(count_fitting(job.need, free_[m]), most);
    if (fits > 0) candidates.push_back({gang_machine_cost(j, m, fits), m, fits});
  }
  std::sort(candidates.begin(), candidates.end());

  GangPlan plan;
  std::vector<uint32_t> in_zone(in_.zones.size());
  for (auto& c : candidates) {
    const NameId where = in_.machines[c.machine].zone;
    const auto left = job.waiting - static_cast<uint32_t>(plan.machines.size());
    const uint32_t allowance = zone_allowance(j, where) - in_zone[where];
    const uint32_t tasks = std::min({c.fits, left, allowance});
    if (tasks == 0) continue;
    in_zone[where] += tasks;
    plan.machines.insert(plan.machines.end(), tasks, c.machine);
    plan.score = std::max(plan.score, c.score);
    if (plan.machines.size() == job.waiting) break;
  }
  return plan;
}

SchedulingCycle::GangPlan SchedulingCycle::plan_gang(size_t j) const {
  auto& job = in_.jobs[j];
  std::vector<NameId> zones{0};
  if (job.one_zone || parts_together_) {
    zones.clear();
    for (NameId z = 1; z < in_.zones.size(); ++z)
      if (zone_allows(j, z)) zones.push_back(z);
  }
  GangPlan best;
  auto consider = [&](GangPlan plan) {
    if (plan.machines.size() < best.machines.size()) return;
    const bool better = plan.machines.size() > best.machines.size() || plan.score < best.score;
    if (better) best = std::move(plan);
  };
  // Machines that all hold the image start the gang at once; one fetch holds all of it up.
  for (NameId zone : zones) consider(plan_gang_in(j, zone, true));
  if (best.machines.size() == job.waiting) return best;
  best = {};
  for (NameId zone : zones) consider(plan_gang_in(j, zone, false));
  return best;
}

void SchedulingCycle::take_gang_plan(size_t j, const GangPlan& plan) {
  for (size_t m : plan.machines) {
    free_[m] -= in_.jobs[j].need;
    occupy(j, m);
  }
}

NameId SchedulingCycle::zone_of(const GangPlan& plan) const {
  return plan.machines.empty() ? 0 : in_.machines[plan.machines.front()].zone;
}

bool SchedulingCycle::may_hold_room(size_t j) const {
  const double waited = in_.now - in_.jobs[j].accepted_at;
  return !room_held_ && waited >= in_.gang_hold_after_s &&
         waited < in_.gang_hold_after_s + in_.gang_hold_for_s;
}

bool SchedulingCycle::reserve_for_gang(size_t j, const GangPlan& partial) {
  // What a failed try changed is put back: nothing is stopped for a gang that doesn't start.
  auto free = free_, future = future_, used = used_;
  auto replicas = replicas_;
  auto part_on = part_on_;
  const NameId parts_zone = parts_zone_;
  auto stopped = stopped_;
  auto coming_machines = coming_;
  auto booting = booting_;
  auto places = placement_count(j);
  auto hopeless = hopeless_;
  const size_t stops = out_.stops.size();

  take_gang_plan(j, partial);
  uint32_t coming = 0, booted = 0;
  auto left = in_.jobs[j].waiting - static_cast<uint32_t>(partial.machines.size());
  for (; left > 0; --left) {
    const PromisedRoom promised = promise_room(j);
    if (promised == PromisedRoom::none) break;
    ++(promised == PromisedRoom::booting ? booted : coming);
  }
  if (left == 0) {
    note_unschedulable(j, booted, coming);
    return true;
  }
  free_ = std::move(free);
  future_ = std::move(future);
  used_ = std::move(used);
  replicas_ = std::move(replicas);
  part_on_ = std::move(part_on);
  parts_zone_ = parts_zone;
  stopped_ = std::move(stopped);
  coming_ = std::move(coming_machines);
  booting_ = std::move(booting);
  placement_count(j) = std::move(places);
  hopeless_ = std::move(hopeless);
  out_.stops.resize(stops);
  return false;
}

void SchedulingCycle::place_gang(size_t j) {
  auto& job = in_.jobs[j];
  if (!team_allows_whole(j)) return;
  if (sibling_found_no_room(j)) {
    out_.unschedulable.push_back(*replica_set_without_capacity_);
    out_.unschedulable.back().job = j;
    return;
  }
  const GangPlan plan = plan_gang(j);
  if (plan.machines.size() == job.waiting) {
    take_gang_plan(j, plan);
    out_.gangs.push_back({j, plan.machines});
    return;
  }
  if (job.faulty) return;
  if (reserve_for_gang(j, plan)) return;
  if (may_hold_room(j)) {
    room_held_ = true;
    take_gang_plan(j, plan);
  }
  note_unschedulable_gang(j, plan);
}

void SchedulingCycle::note_unschedulable_gang(size_t j, const GangPlan& plan) {
  auto& job = in_.jobs[j];
  note_unschedulable(j, job.waiting, 0);
  UnschedulableTasks& unschedulable = out_.unschedulable.back();
  unschedulable.missing = job.waiting - static_cast<uint32_t>(plan.machines.size());
  unschedulable.one_zone = job.one_zone || parts_together_;
  if (unschedulable.one_zone) unschedulable.zone = zone_of(plan);
  if (unschedulable.zone == 0 && job.replica) unschedulable.zone = only_zone_for(j, plan);
  const bool whole = job.replica && !gang_parts_.contains(j);
  if (whole) replica_set_without_capacity_ = unschedulable;
}

// Room in another zone would be rented in vain.
NameId SchedulingCycle::only_zone_for(size_t j, const GangPlan& plan) const {
  auto& job = in_.jobs[j];
  const auto missing = job.waiting - static_cast<uint32_t>(plan.machines.size());
  std::vector<uint32_t> planned(in_.zones.size());
  for (size_t m : plan.machines) ++planned[in_.machines[m].zone];
  NameId only = 0;
  for (NameId zone = 1; zone < in_.zones.size(); ++zone) {
    const uint32_t allowance = zone_allowance(j, zone);
    const uint32_t left = allowance - std::min(allowance, planned[zone]);
    if (left < (parts_together_ ? missing : 1)) continue;
    if (only != 0) return 0;
    only = zone;
  }
  return only;
}

// Free room only shrinks during a pass.
bool SchedulingCycle::sibling_found_no_room(size_t j) const {
  if (!in_.jobs[j].replica || !replica_set_without_capacity_ || gang_parts_.contains(j))
    return false;
  return in_.jobs[replica_set_without_capacity_->job].replica_set == in_.jobs[j].replica_set;
}

void SchedulingCycle::bind_replica(size_t j) {
  parts_together_ = true;
  if (auto parts = gang_parts_.find(j); parts != gang_parts_.end())
    for (auto& part : parts->second) {
      const NameId zone = in_.machines[part.machine].zone;
      parts_together_ &= parts_zone_ == 0 || parts_zone_ == zone;
      parts_zone_ = zone;
      part_on_[part.machine] = 1;
    }
  parts_together_ = parts_together_ && fits_one_zone(j);
}

// The user's spread is a rule, and parts in one zone are a wish: where no zone may take all that
// wait, they are divided.
bool SchedulingCycle::fits_one_zone(size_t j) const {
  auto& job = in_.jobs[j];
  if (!job.spread) return true;
  for (NameId zone = 1; zone < in_.zones.size(); ++zone)
    if (zone_allowance(j, zone) >= job.waiting) return true;
  return false;
}

}  // namespace damsonport::scheduling
