/// What a machine has and what of it is left, from its type, the records and its last heartbeat.
#pragma once
#include "coordination/autoscaling/machine_type_catalog.hpp"
#include "coordination/machines/machine.hpp"
#include "coordination/scheduling/scheduler.hpp"
#include "storage/record_cache.hpp"

namespace damsonport {

/// All of the machine's resources; none where its type is unknown.
scheduling::Resources total_resources(const Machine& machine, const MachineTypeCatalog& catalog);

/// The resources that no task holds. Everything that is or may be there counts as held: what the
/// records place there, and whatever else the machine reports. No CPUs are free as long as a task
/// of an unknown job runs there, whose size is unknown.
scheduling::Resources free_resources(const Machine& machine, const MachineTypeCatalog& catalog,
                                     RecordCache& cache);

}  // namespace damsonport
