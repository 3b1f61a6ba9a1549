#include "coordination/scheduling/cycle_state.hpp"

#include <algorithm>
#include <limits>

#include "coordination/scheduling/contains.hpp"

namespace damsonport::scheduling {

CycleState::CycleState(const SchedulerSnapshot& snapshot, const QueueOrder& queue)
    : snapshot_(snapshot),
      queue_(queue),
      lowest_urgency_(snapshot.machines.size(), std::numeric_limits<int>::max()),
      placement_count_index_(snapshot.jobs.size()) {
  const size_t machines = snapshot.machines.size();
  ledger.free.reserve(machines);
  ledger.freeing.resize(machines);
  ledger.team_usage.resize(snapshot.teams.size());
  ledger.preempted.resize(machines);
  ledger.booting = snapshot.booting;
  ledger.tasks_on.resize(machines);
  ledger.part_on.resize(machines);
  create_placement_counts();
  for (MachineIndex machine; machine < machines; ++machine) add_machine(machine);
}

void CycleState::create_placement_counts() {
  std::unordered_map<size_t, size_t> count_index_of_replica_set;
  for (JobIndex index; index < snapshot_.jobs.size(); ++index) {
    const JobSnapshot& job = snapshot_.jobs[index];
    if (job.pending_tasks == 0 || job.cancelled) continue;
    if (job.replica) {
      const auto [it, added] =
          count_index_of_replica_set.try_emplace(job.replica_set, placement_counts_.size());
      placement_count_index_[index] = it->second;
      if (!added) continue;
    }
    placement_count_index_[index] = placement_counts_.size();
    placement_counts_.push_back({std::vector<uint32_t>(snapshot_.zones.size()), {}});
  }
  if (!count_index_of_replica_set.empty()) share_placement_counts(count_index_of_replica_set);
}

// A replica without pending tasks shares the count of the pending replicas of the same job.
void CycleState::share_placement_counts(
    const std::unordered_map<size_t, size_t>& count_index_of_replica_set) {
  for (JobIndex index; index < snapshot_.jobs.size(); ++index) {
    const JobSnapshot& job = snapshot_.jobs[index];
    if (!job.replica) continue;
    const auto it = count_index_of_replica_set.find(job.replica_set);
    if (it != count_index_of_replica_set.end()) placement_count_index_[index] = it->second;
  }
}

// The only step of a cycle that iterates over all running tasks.
void CycleState::add_machine(MachineIndex index) {
  const MachineSnapshot& machine = snapshot_.machines[index];
  ledger.free.push_back(machine.free);
  for (size_t i = 0; i < machine.running_tasks.size(); ++i) {
    const RunningTaskSnapshot& task = machine.running_tasks[i];
    const JobSnapshot& job = snapshot_.jobs[task.job];
    if (job.team) ledger.team_usage[*job.team] += job.need;
    if (is_stopping(task)) {
      ledger.freeing[index] += job.need;
    } else {
      lowest_urgency_[index] = std::min(lowest_urgency_[index], queue_.urgency(task.job));
    }
    if (job.gang) gang_tasks_[task.job].push_back({index, i});
    if (!placement_count_index_[task.job]) continue;
    PlacementCount& count = mutable_placement_count(task.job);
    ++count.in_zone[machine.zone];
    count.machines.push_back(index);
  }
  if (ledger.freeing[index].any()) ledger.freeing_machines.push_back(index);
}

void CycleState::begin_job(JobIndex job) {
  for (const MachineIndex machine : placement_count(job).machines) ++ledger.tasks_on[machine];
  parts_in_one_zone_ = false;
  ledger.parts_zone = any_zone;
  if (snapshot_.jobs[job].replica) constrain_parts_to_zone(job);
}

void CycleState::end_job(JobIndex job) {
  for (const MachineIndex machine : placement_count(job).machines) {
    ledger.tasks_on[machine] = 0;
    ledger.part_on[machine] = 0;
  }
}

// Running parts determine the zone of the pending parts. If they already run in several zones, the
// pending parts are not restricted to one zone.
void CycleState::constrain_parts_to_zone(JobIndex replica) {
  parts_in_one_zone_ = true;
  const std::vector<GangTask>* parts = find_gang_tasks(replica);
  if (!parts) return;
  for (const GangTask& part : *parts) {
    const NameId zone = snapshot_.machines[part.machine].zone;
    const bool same_zone = ledger.parts_zone == any_zone || ledger.parts_zone == zone;
    parts_in_one_zone_ = parts_in_one_zone_ && same_zone;
    ledger.parts_zone = zone;
    ledger.part_on[part.machine] = 1;
  }
}

const std::vector<GangTask>* CycleState::find_gang_tasks(JobIndex gang) const {
  const auto it = gang_tasks_.find(gang);
  return it == gang_tasks_.end() ? nullptr : &it->second;
}

bool CycleState::is_gang_stopping(JobIndex gang) const {
  const std::vector<GangTask>& tasks = gang_tasks_.at(gang);
  return std::any_of(tasks.begin(), tasks.end(), [this](const GangTask& task) {
    return is_stopping(snapshot_.machines[task.machine].running_tasks[task.running_task_index]);
  });
}

double CycleState::time_to_save_s(MachineIndex machine) const {
  double longest = 0;
  const std::vector<RunningTaskSnapshot>& running = snapshot_.machines[machine].running_tasks;
  for (size_t i = 0; i < running.size(); ++i)
    if (is_stopping(running[i]) || contains(ledger.preempted[machine], i))
      longest = std::max(longest, snapshot_.jobs[running[i].job].grace_s);
  return longest;
}

void CycleState::add_task(JobIndex job, MachineIndex machine) {
  const JobSnapshot& job_snapshot = snapshot_.jobs[job];
  const NameId zone = snapshot_.machines[machine].zone;
  ledger.team_usage[*job_snapshot.team] += job_snapshot.need;
  PlacementCount& count = mutable_placement_count(job);
  ++count.in_zone[zone];
  count.machines.push_back(machine);
  ++ledger.tasks_on[machine];
  if (!job_snapshot.replica) return;
  ledger.part_on[machine] = 1;
  if (parts_in_one_zone_) ledger.parts_zone = zone;
}

namespace {

void take_free_first(double need, double& free, double& freeing) {
  const double from_free = std::min(need, std::max(free, 0.0));
  free -= from_free;
  freeing -= need - from_free;
}

}  // namespace

void CycleState::allocate_freeing(JobIndex job, MachineIndex machine) {
  const Resources& need = snapshot_.jobs[job].need;
  Resources& free = ledger.free[machine];
  Resources& freeing = ledger.freeing[machine];
  take_free_first(need.cpus, free.cpus, freeing.cpus);
  take_free_first(need.gpus, free.gpus, freeing.gpus);
  take_free_first(need.memory_gb, free.memory_gb, freeing.memory_gb);
  add_task(job, machine);
}

void CycleState::restore(JobIndex job, Checkpoint&& checkpoint) {
  ledger = std::move(checkpoint.ledger);
  mutable_placement_count(job) = std::move(checkpoint.placement_count);
}

}  // namespace damsonport::scheduling
