/// Rechunking: divides a job's tasks into chunks of another size.
///
/// A chunk's record has to fit into a value of the key-value store. When a lower value limit is
/// announced, the tasks of large jobs are rechunked: the records of the new layout are computed
/// here, and the Rechunker (coordination/scheduling) writes them. This module has no side effects.
#pragma once
#include <cstdint>
#include <map>

#include "storage/job.hpp"

namespace damsonport {

/// Returns the job's tasks in chunks of `chunk_size` tasks, by chunk number; tasks keep their
/// states and attempts. Chunks without a task that was ever started have no entry.
std::map<uint32_t, TaskChunk> rechunk(const Job& job, uint32_t chunk_size);

}  // namespace damsonport
