/// Computes the total and the free resources of a machine from its type, the records and its last
/// heartbeat.
#pragma once
#include "coordination/autoscaling/machine_type_catalog.hpp"
#include "coordination/machines/machine.hpp"
#include "coordination/scheduling/scheduler.hpp"
#include "storage/record_cache.hpp"

namespace damsonport {

/// All resources of the machine; zero if the catalog doesn't list its type.
scheduling::Resources total_resources(const Machine& machine, const MachineTypeCatalog& catalog);

/// The resources of the machine that no task occupies. The tasks that the records place on the
/// machine count as occupying it, and so do all other tasks of its last heartbeat that have not
/// exited. While the machine reports a task of an unknown job, whose size is unknown, no CPUs are
/// free.
scheduling::Resources free_resources(const Machine& machine, const MachineTypeCatalog& catalog,
                                     RecordCache& cache);

}  // namespace damsonport
