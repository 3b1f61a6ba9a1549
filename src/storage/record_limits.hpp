/// Size limits of records: each record has to fit into one value of the key-value store.
///
/// `value_kb` is the store's limit for one value, in KiB of its JSON text.
#pragma once
#include <cstddef>
#include <cstdint>

#include "protocol/messages.hpp"
#include "storage/task_chunk.hpp"

namespace damsonport {

/// Size of a value in bytes, as the key-value store measures it: the length of its JSON text.
size_t stored_size(const Json& value);

/// Whether the chunk's record fits and still fits after one more task is started.
bool chunk_fits(const TaskChunk& chunk, double value_kb);
/// Number of tasks per chunk with which a chunk's record fits in any state of its tasks.
uint32_t chunk_size(double value_kb);

/// Whether the job's record fits throughout the job's lifetime, including the fields that a
/// cancellation adds.
bool job_record_fits(const JobSpec& spec, double value_kb);

/// Maximum number of machines in one tombstone.
size_t machines_per_tombstone(double value_kb);

}  // namespace damsonport
