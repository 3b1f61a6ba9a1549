/// Dividing a job's tasks into chunks of another size.
///
/// A chunk's record has to fit into a value of the key-value store. When the store announces a
/// smaller limit, the tasks of large jobs are rechunked: the records of a new layout are computed
/// here, and the Rechunker (coordination/scheduling) writes them. Pure: nothing is read or written.
#pragma once
#include <cstdint>
#include <map>

#include "storage/job.hpp"

namespace damsonport {

/// The job's tasks, with the states and attempts that they have, in chunks of `chunk_size`, by
/// number. Chunks none of whose tasks was ever started have no record.
std::map<uint32_t, TaskChunk> rechunk(const Job& job, uint32_t chunk_size);

}  // namespace damsonport
