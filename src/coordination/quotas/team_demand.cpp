#include "coordination/quotas/team_demand.hpp"

namespace damsonport::quotas {

namespace {

/// Resources of `tasks` tasks of the job together.
scheduling::Resources resources_of(const JobSpec& spec, uint64_t tasks) {
  const auto n = static_cast<double>(tasks);
  return {spec.cpus * n, spec.gpus * n, spec.memory_gb * n};
}

/// Lowers `smallest` to `need`. A `smallest` of 0 means that there is no value yet; a `need` of 0
/// is ignored.
void update_smallest(double& smallest, double need) {
  if (need > 0 && (smallest == 0 || need < smallest)) smallest = need;
}

}  // namespace

Demands measure_demands(const RecordCache& cache) {
  Demands demands;
  for (const auto& [id, job] : cache.jobs()) {
    const auto& spec = job->spec;
    auto& demand = demands[spec.team];
    demand.used += resources_of(spec, job->live);
    const uint64_t pending = job->cancelled ? 0 : job->startable_count();
    if (pending == 0) continue;
    demand.need += resources_of(spec, pending);
    if (spec.priority >= Priority::high) demand.urgent_need += resources_of(spec, pending);
    update_smallest(demand.smallest_need.cpus, spec.cpus);
    update_smallest(demand.smallest_need.gpus, spec.gpus);
  }
  return demands;
}

}  // namespace damsonport::quotas
