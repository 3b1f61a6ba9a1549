#include "coordination/machines/machine_capacity.hpp"

#include <algorithm>

namespace damsonport {

scheduling::Resources total_resources(const Machine& machine, const MachineTypeCatalog& catalog) {
  const MachineType* type = catalog.type(machine.type);
  if (!type) return {};
  return {type->cpus, type->gpus, type->memory_gb};
}

scheduling::Resources free_resources(const Machine& machine, const MachineTypeCatalog& catalog,
                                     RecordCache& cache) {
  auto free = total_resources(machine, catalog);
  auto subtract = [&](const JobSpec& spec) { free -= {spec.cpus, spec.gpus, spec.memory_gb}; };
  const auto& assigned = cache.assignments_on(machine.id);
  for (auto& [assignment, attempt] : assigned) subtract(assignment.job->spec);
  for (auto& [name, task] : machine.tasks) {
    if (task.state == TaskState::exited) continue;
    Job* job = cache.job(name.job);
    if (!job) {
      free.cpus = std::min(free.cpus, 0.0);
      continue;
    }
    if (!assigned.contains({job, name.index})) subtract(job->spec);
  }
  return free;
}

}  // namespace damsonport
