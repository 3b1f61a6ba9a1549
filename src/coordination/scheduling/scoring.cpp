#include "coordination/scheduling/scoring.hpp"

#include <algorithm>
#include <cmath>

#include "coordination/scheduling/contains.hpp"

namespace damsonport::scheduling {

namespace {

// All penalties are weighted like seconds of delay.
constexpr double missed_objective_penalty = 25;
// For using an empty machine, which could be scaled in otherwise. Applies to the most expensive
// machine type, and to other types in proportion to their price.
constexpr double empty_machine_penalty = 15;
// For a job that may run on spot machines: keeps on-demand machines free for other jobs.
constexpr double on_demand_penalty = 3;
constexpr double slow_machine_penalty = 20;  // at speed 0, proportionally less at higher speeds
// For each task of the same service on the machine: replicas are placed on different machines, so
// that the loss of one machine affects few of them.
constexpr double same_machine_penalty = 2;

// Accelerators are stranded when too little CPU or memory is left on their machine to use them. If
// a task has to strand accelerators, machines with few usable accelerators are preferred, so that
// the stranded ones are concentrated on few machines.
constexpr double cpu_task_on_accelerator_penalty = 15;
constexpr double stranded_accelerator_penalty = 30;
constexpr double usable_accelerator_penalty = 5;  // for each usable one left

constexpr double fragmentation_weight = 4;  // for each slot of the largest task that is lost
constexpr double free_gpus_weight = 0.3;
constexpr double free_cpus_weight = 0.5;

// For each machine that a gang uses: the loss of any machine stops the whole gang.
constexpr double gang_machine_penalty = 2;
constexpr double gang_stranded_accelerator_penalty = 10;

constexpr double min_fetch_gb_per_s = 1e-3;  // avoids a division by zero

// On average, half of a fetch that is under way is still to be done.
constexpr double remaining_fetch_share = 0.5;

}  // namespace

double image_delay(const JobSnapshot& job, const MachineSnapshot& machine) {
  const double fetch_s = job.image_gb / std::max(machine.fetch_gb_per_s, min_fetch_gb_per_s);
  if (contains(machine.fetching, job.image)) return fetch_s * remaining_fetch_share;
  if (contains(machine.images, job.image)) return 0;
  // The fetches that are under way on the machine come first.
  return fetch_s * (1.0 + static_cast<double>(machine.fetching.size()));
}

double miss_probability(double fetch_s, double objective_s) {
  if (objective_s <= 0 || fetch_s <= 0) return 0;
  const double shortest = fetch_s * 2 / 3;
  const double longest = fetch_s * 4 / 3;
  return std::clamp((longest - objective_s) / (longest - shortest), 0.0, 1.0);
}

AcceleratorDemand AcceleratorDemand::from_jobs(const SchedulerSnapshot& snapshot) {
  const bool any_on_demand =
      std::any_of(snapshot.jobs.begin(), snapshot.jobs.end(),
                  [](const JobSnapshot& job) { return job.need.gpus > 0 && !job.spot; });
  AcceleratorDemand demand;
  for (const JobSnapshot& job : snapshot.jobs) {
    const Resources& need = job.need;
    if (need.gpus <= 0 || (any_on_demand && job.spot)) continue;
    demand.largest_task_gpus = std::max(demand.largest_task_gpus, need.gpus);
    demand.cpus_per_gpu = std::max(demand.cpus_per_gpu, need.cpus / need.gpus);
    demand.memory_gb_per_gpu = std::max(demand.memory_gb_per_gpu, need.memory_gb / need.gpus);
  }
  return demand;
}

double AcceleratorDemand::usable_gpus(const Resources& capacity) const {
  double usable = std::max(capacity.gpus, 0.0);
  if (cpus_per_gpu > 0) usable = std::min(usable, capacity.cpus / cpus_per_gpu);
  if (memory_gb_per_gpu > 0) usable = std::min(usable, capacity.memory_gb / memory_gb_per_gpu);
  return std::max(usable, 0.0);
}

bool Scorer::uses_empty_machine(const JobSnapshot& job, MachineIndex machine) const {
  const MachineSnapshot& target = snapshot_.machines[machine];
  if (!target.running_tasks.empty() || state_.ledger.tasks_on[machine] > 0) return false;
  // An empty machine with the cached image is intended for jobs with a start-up objective and gets
  // no penalty for them.
  return job.start_within_s <= 0 || !has_image(target, job.image);
}

double Scorer::score(JobIndex job, MachineIndex machine, const Resources& capacity) const {
  const JobSnapshot& job_snapshot = snapshot_.jobs[job];
  const MachineSnapshot& target = snapshot_.machines[machine];
  double score = image_delay(job_snapshot, target);
  score += missed_objective_penalty * miss_probability(score, job_snapshot.start_within_s);
  if (job_snapshot.spot && !target.spot) score += on_demand_penalty;
  score += (1.0 - std::min(target.speed, 1.0)) * slow_machine_penalty;
  if (uses_empty_machine(job_snapshot, machine))
    score += empty_machine_penalty * target.relative_price;
  if (job_snapshot.service) score += same_machine_penalty * state_.ledger.tasks_on[machine];
  return add_packing_penalty(score, job_snapshot, target, capacity);
}

// The terms of a score have to be added one by one in this order. The result of a floating-point
// sum depends on the order of its terms, and equal scores have to stay equal.
double Scorer::add_packing_penalty(double score, const JobSnapshot& job,
                                   const MachineSnapshot& machine,
                                   const Resources& capacity) const {
  const Resources left = capacity - job.need;
  if (machine.total.gpus > 0 && job.need.gpus <= 0)
    return add_cpu_task_penalty(score, capacity, left);
  if (job.need.gpus > 0 && accelerator_demand_.largest_task_gpus > 0) {
    score += fragmentation_penalty(capacity.gpus, left.gpus, job.need.gpus);
    return score + free_gpus_weight * left.gpus / std::max(machine.total.gpus, 1.0);
  }
  return score + free_cpus_weight * left.cpus / std::max(machine.total.cpus, 1.0);
}

double Scorer::add_cpu_task_penalty(double score, const Resources& capacity,
                                    const Resources& left) const {
  score += cpu_task_on_accelerator_penalty;
  const double usable_before = accelerator_demand_.usable_gpus(capacity);
  const double usable_after = accelerator_demand_.usable_gpus(left);
  if (usable_after < usable_before - resource_tolerance)
    score += stranded_accelerator_penalty + usable_accelerator_penalty * usable_after;
  return score + 1.0 / (1.0 + left.cpus);
}

double Scorer::fragmentation_penalty(double free_gpus, double left_gpus, double need_gpus) const {
  const double largest = accelerator_demand_.largest_task_gpus;
  const double slots_before = std::floor(free_gpus / largest + resource_tolerance);
  const double slots_after = std::floor(left_gpus / largest + resource_tolerance);
  const double slots_broken = slots_before - slots_after - need_gpus / largest;
  return slots_broken > resource_tolerance ? fragmentation_weight * slots_broken : 0;
}

double Scorer::gang_score(JobIndex job, MachineIndex machine, uint32_t tasks) const {
  const JobSnapshot& job_snapshot = snapshot_.jobs[job];
  const MachineSnapshot& target = snapshot_.machines[machine];
  const Resources& free = state_.ledger.free[machine];
  double score = image_delay(job_snapshot, target);
  score += (1.0 - std::min(target.speed, 1.0)) * slow_machine_penalty;
  score +=
      gang_machine_penalty * std::ceil(static_cast<double>(job_snapshot.pending_tasks) / tasks);
  if (job_snapshot.replica) score += same_machine_penalty * state_.ledger.tasks_on[machine];
  if (target.total.gpus <= 0 || job_snapshot.need.gpus > 0) return score;
  Resources left = free;
  for (uint32_t i = 0; i < tasks; ++i) left -= job_snapshot.need;
  score += cpu_task_on_accelerator_penalty;
  const double stranded_gpus =
      accelerator_demand_.usable_gpus(free) - accelerator_demand_.usable_gpus(left);
  return score + gang_stranded_accelerator_penalty * stranded_gpus;
}

}  // namespace damsonport::scheduling
