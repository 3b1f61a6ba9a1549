#include "coordination/scheduling/preemption.hpp"

#include <algorithm>

#include "coordination/scheduling/contains.hpp"
#include "coordination/scheduling/equivalence_class.hpp"

namespace damsonport::scheduling {

namespace {

// Costs of a preemption, weighted like seconds.
constexpr double base_cost = 2;
constexpr double cost_per_priority = 15;
constexpr double service_cost = 60;    // users notice the loss of a replica
constexpr double short_run_cost = 10;  // for a run shorter than min_useful_run_s
constexpr double guaranteed_cost = 15;

// A task without checkpoints loses its run time, which is counted up to this multiple of its
// estimated run time: a task that has run for longer shows that the estimate is wrong.
constexpr double max_lost_run_time_in_estimates = 2;
constexpr double min_estimate_s = 1;

// A task may be stopped without a grace period if it loses at most this multiple of its grace
// period.
constexpr double max_unsaved_run_time_in_grace_periods = 2;

// Jobs of at least this priority are never preempted to reclaim the guaranteed quota of another
// team.
constexpr int production_priority = 3;

bool is_urgent_service(const JobSnapshot& job) {
  return job.service && job.priority >= urgent_priority;
}

// Whether stopping the victim frees a resource that is still lacking for `need`.
bool frees_lacking_resource(const Resources& victim, const Resources& need,
                            const Resources& capacity) {
  return (victim.gpus > 0 && need.gpus > capacity.gpus) ||
         (victim.cpus > 0 && need.cpus > capacity.cpus) ||
         (victim.memory_gb > 0 && need.memory_gb > capacity.memory_gb);
}

}  // namespace

bool Preemptor::may_preempt(JobIndex job, const RunningTaskSnapshot& victim) const {
  const JobSnapshot& victim_job = context_.snapshot.jobs[victim.job];
  // A victim must also come later in the queue than the job. Otherwise the victim would take the
  // capacity back, and the two jobs would preempt each other forever.
  if (context_.queue.urgency(job) <= context_.queue.urgency(victim.job)) return false;
  if (context_.state.is_stopping(victim)) return false;
  if (victim_job.gang && context_.state.is_gang_stopping(victim.job)) return false;
  if (victim_job.priority < context_.snapshot.jobs[job].priority) return true;
  return may_reclaim_guarantee(job, victim.job);
}

// A team may reclaim its guaranteed quota by preempting jobs of other teams that are beyond their
// own guaranteed quota. Services are exempt because users notice the loss of a replica.
bool Preemptor::may_reclaim_guarantee(JobIndex job, JobIndex victim) const {
  const JobSnapshot& victim_job = context_.snapshot.jobs[victim];
  return context_.queue.within_guarantee(job) && !context_.queue.within_guarantee(victim) &&
         victim_job.team != context_.snapshot.jobs[job].team && !victim_job.service &&
         victim_job.priority < production_priority;
}

std::optional<double> Preemptor::start_objective_s(JobIndex job) const {
  const double of_class = context_.snapshot.jobs[job].start_within_s;
  const double of_guarantee = context_.snapshot.guarantee_within_s;
  const bool guaranteed = context_.queue.within_guarantee(job) && of_guarantee > 0;
  if (of_class > 0) return guaranteed ? std::min(of_class, of_guarantee) : of_class;
  if (guaranteed) return of_guarantee;
  return std::nullopt;
}

double Preemptor::run_time_s(const RunningTaskSnapshot& task) const {
  return std::max(context_.snapshot.steady_now - task.running_since, 0.0);
}

// On average, a task stops halfway between two checkpoints.
double Preemptor::unsaved_run_time_s(const RunningTaskSnapshot& task) const {
  return std::min(run_time_s(task), context_.snapshot.jobs[task.job].checkpoint_s / 2);
}

// A task with frequent checkpoints loses little when it is stopped without a grace period. This is
// done only if the job would otherwise miss its start-up objective.
bool Preemptor::skips_grace_period(JobIndex job, MachineIndex machine,
                                   const RunningTaskSnapshot& victim) const {
  const JobSnapshot& victim_job = context_.snapshot.jobs[victim.job];
  if (victim_job.gang) return false;  // a gang saves its state as a whole
  const double grace_s = victim_job.grace_s;
  if (grace_s <= 0) return false;
  if (unsaved_run_time_s(victim) > max_unsaved_run_time_in_grace_periods * grace_s) return false;
  const std::optional<double> objective_s = start_objective_s(job);
  if (!objective_s) return false;
  const double delay_s =
      image_delay(context_.snapshot.jobs[job], context_.snapshot.machines[machine]);
  return delay_s + grace_s > *objective_s;
}

double Preemptor::preemption_cost(JobIndex job, MachineIndex machine,
                                  const RunningTaskSnapshot& victim) const {
  const JobSnapshot& victim_job = context_.snapshot.jobs[victim.job];
  const double max_loss =
      std::max(victim_job.estimate_s, min_estimate_s) * max_lost_run_time_in_estimates;
  // A task with checkpoints that gets its grace period loses only the grace period.
  const double lost = victim_job.checkpoint_s > 0 ? 0 : std::min(run_time_s(victim), max_loss);
  double cost = skips_grace_period(job, machine, victim) ? unsaved_run_time_s(victim)
                                                         : lost + victim_job.grace_s;
  cost = cost + base_cost + victim_job.priority * cost_per_priority;
  if (victim_job.service) cost += service_cost;
  if (run_time_s(victim) < context_.snapshot.min_useful_run_s) cost += short_run_cost;
  if (context_.queue.within_guarantee(victim.job)) cost += guaranteed_cost;
  if (!victim_job.gang) return cost;
  return cost * static_cast<double>(context_.state.find_gang_tasks(victim.job)->size());
}

// A job for which no victims were found shows that there are none for any job that needs at least
// as much under the same constraints and may not preempt more tasks.
bool Preemptor::is_known_to_lack_victims(JobIndex job, PreemptionScope scope) const {
  const JobSnapshot& pending = context_.snapshot.jobs[job];
  const QueueOrder& queue = context_.queue;
  const auto& known = context_.state.ledger.jobs_without_victims[static_cast<size_t>(scope)];
  return std::any_of(known.begin(), known.end(), [&](JobIndex other) {
    const JobSnapshot& representative = context_.snapshot.jobs[other];
    const bool same_guarantee =
        !queue.within_guarantee(job) ||
        (queue.within_guarantee(other) && representative.team == pending.team);
    return representative.need.fits(pending.need) &&
           has_same_constraints(representative, pending) &&
           queue.urgency(job) <= queue.urgency(other) &&
           pending.priority <= representative.priority && same_guarantee;
  });
}

std::vector<size_t> Preemptor::find_victims(JobIndex job, MachineIndex machine,
                                            PreemptionScope scope) const {
  const std::vector<RunningTaskSnapshot>& running =
      context_.snapshot.machines[machine].running_tasks;
  const std::vector<size_t>& preempted = context_.state.ledger.preempted[machine];
  std::vector<size_t> victims;
  for (size_t i = 0; i < running.size(); ++i) {
    if (!may_preempt(job, running[i])) continue;
    const bool spared = scope == PreemptionScope::exclude_urgent_services &&
                        is_urgent_service(context_.snapshot.jobs[running[i].job]);
    if (!spared && !contains(preempted, i)) victims.push_back(i);
  }
  std::sort(victims.begin(), victims.end(), [&](size_t left, size_t right) {
    return preemption_cost(job, machine, running[left]) <
           preemption_cost(job, machine, running[right]);
  });
  return victims;
}

std::optional<Preemptor::Plan> Preemptor::plan_on(JobIndex job, MachineIndex machine,
                                                  PreemptionScope scope) const {
  const JobSnapshot& starting = context_.snapshot.jobs[job];
  const MachineSnapshot& target = context_.snapshot.machines[machine];
  Resources capacity = context_.state.ledger.free[machine] + context_.state.ledger.freeing[machine];
  Plan plan{image_delay(starting, target), machine, {}};
  for (const size_t victim : find_victims(job, machine, scope)) {
    if (starting.need.fits(capacity)) break;
    const RunningTaskSnapshot& task = target.running_tasks[victim];
    const Resources& victim_need = context_.snapshot.jobs[task.job].need;
    if (!frees_lacking_resource(victim_need, starting.need, capacity)) continue;
    capacity += victim_need;
    plan.cost += preemption_cost(job, machine, task);
    plan.victims.push_back(victim);
  }
  if (plan.victims.empty() || !starting.need.fits(capacity)) return std::nullopt;
  return plan;
}

std::optional<Preemptor::Plan> Preemptor::find_cheapest(JobIndex job, PreemptionScope scope) {
  std::optional<Plan> best;
  for (MachineIndex machine; machine < context_.snapshot.machines.size(); ++machine) {
    if (context_.state.lowest_urgency_on(machine) >= context_.queue.urgency(job)) continue;
    ++context_.decisions.machines_examined;
    if (!context_.feasibility.is_feasible(job, machine)) continue;
    std::optional<Plan> plan = plan_on(job, machine, scope);
    if (plan && (!best || plan->cost < best->cost)) best = std::move(plan);
  }
  return best;
}

void Preemptor::stop_task(MachineIndex machine, size_t running_task_index, double grace_s) {
  CapacityLedger& ledger = context_.state.ledger;
  const RunningTaskSnapshot& task =
      context_.snapshot.machines[machine].running_tasks[running_task_index];
  context_.decisions.preemptions.push_back({machine, running_task_index, grace_s});
  ledger.preempted[machine].push_back(running_task_index);
  ledger.freeing[machine] += context_.snapshot.jobs[task.job].need;
}

void Preemptor::stop_gang(JobIndex gang) {
  const double grace_s = context_.snapshot.jobs[gang].grace_s;
  for (const GangTask& task : *context_.state.find_gang_tasks(gang)) {
    stop_task(task.machine, task.running_task_index, grace_s);
    context_.state.ledger.freeing_machines.push_back(task.machine);
  }
}

void Preemptor::execute(JobIndex job, const Plan& plan) {
  CapacityLedger& ledger = context_.state.ledger;
  for (const size_t victim : plan.victims) {
    const RunningTaskSnapshot& task =
        context_.snapshot.machines[plan.machine].running_tasks[victim];
    const JobSnapshot& victim_job = context_.snapshot.jobs[task.job];
    // The victim was already stopped together with another task of its gang.
    if (contains(ledger.preempted[plan.machine], victim)) continue;
    if (victim_job.gang) {
      stop_gang(task.job);
    } else {
      const bool skip_grace_period = skips_grace_period(job, plan.machine, task);
      stop_task(plan.machine, victim, skip_grace_period ? 0 : victim_job.grace_s);
    }
  }
  context_.state.allocate_freeing(job, plan.machine);
  ledger.freeing_machines.push_back(plan.machine);
  // The victims may free more capacity than this job uses, so other jobs may find capacity now.
  for (std::vector<JobIndex>& known : ledger.jobs_without_victims) known.clear();
}

bool Preemptor::preempt_for(JobIndex job, PreemptionScope scope) {
  if (is_known_to_lack_victims(job, scope)) return false;
  const std::optional<Plan> best = find_cheapest(job, scope);
  if (best) {
    execute(job, *best);
    return true;
  }
  if (represents_class(context_.snapshot, context_.snapshot.jobs[job]))
    context_.state.ledger.jobs_without_victims[static_cast<size_t>(scope)].push_back(job);
  return false;
}

bool Preemptor::frees_within(JobIndex job, const Plan& plan, double within_s) const {
  double longest_s = context_.state.time_to_save_s(plan.machine);
  for (const size_t victim : plan.victims) {
    const RunningTaskSnapshot& task =
        context_.snapshot.machines[plan.machine].running_tasks[victim];
    const JobSnapshot& victim_job = context_.snapshot.jobs[task.job];
    if (victim_job.gang) return false;  // too much lost work for one start
    if (!skips_grace_period(job, plan.machine, task))
      longest_s = std::max(longest_s, victim_job.grace_s);
  }
  return longest_s < within_s;
}

// Score of the machine of the plan after its victims are stopped.
double Preemptor::score_after_preemption(JobIndex job, const Plan& plan) const {
  const MachineSnapshot& machine = context_.snapshot.machines[plan.machine];
  Resources capacity =
      context_.state.ledger.free[plan.machine] + context_.state.ledger.freeing[plan.machine];
  for (const size_t victim : plan.victims)
    capacity += context_.snapshot.jobs[machine.running_tasks[victim].job].need;
  return context_.scorer.score(job, plan.machine, capacity);
}

bool Preemptor::preempt_with_cached_image(JobIndex job, double within_s, double score) {
  const JobSnapshot& starting = context_.snapshot.jobs[job];
  std::optional<Plan> best;
  double best_cost = score;
  for (MachineIndex machine; machine < context_.snapshot.machines.size(); ++machine) {
    if (context_.state.lowest_urgency_on(machine) >= context_.queue.urgency(job)) continue;
    if (!has_image(context_.snapshot.machines[machine], starting.image)) continue;
    ++context_.decisions.machines_examined;
    if (!context_.feasibility.is_feasible(job, machine)) continue;
    std::optional<Plan> plan = plan_on(job, machine, PreemptionScope::exclude_urgent_services);
    if (!plan || plan->cost >= best_cost) continue;
    // If the machine scores worse than the one that is free now, the task would not start on it
    // once the capacity is free. The victims would start there again, and be preempted again.
    if (score_after_preemption(job, *plan) >= score || !frees_within(job, *plan, within_s))
      continue;
    best_cost = plan->cost;
    best = std::move(plan);
  }
  if (!best) return false;
  execute(job, *best);
  return true;
}

}  // namespace damsonport::scheduling
