#include "coordination/quotas/team_demand.hpp"

namespace damsonport::quotas {

namespace {

scheduling::Resources times(const JobSpec& spec, uint64_t tasks) {
  const auto n = static_cast<double>(tasks);
  return {spec.cpus * n, spec.gpus * n, spec.memory_gb * n};
}

void take_smaller(double& smallest, double need) {
  if (need > 0 && (smallest == 0 || need < smallest)) smallest = need;
}

}  // namespace

Demands measure_demands(const RecordCache& cache) {
  Demands demands;
  for (auto& [id, job] : cache.jobs()) {
    auto& spec = job->spec;
    auto& demand = demands[spec.team];
    demand.used += times(spec, job->live);
    const uint64_t waiting = job->cancelled ? 0 : job->unstarted();
    if (waiting == 0) continue;
    demand.need += times(spec, waiting);
    if (spec.priority >= Priority::high) demand.urgent_need += times(spec, waiting);
    take_smaller(demand.smallest.cpus, spec.cpus);
    take_smaller(demand.smallest.gpus, spec.gpus);
  }
  return demands;
}

}  // namespace damsonport::quotas
