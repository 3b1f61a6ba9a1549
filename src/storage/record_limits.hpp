/// Bounds on the sizes of records, which have to fit into a value of the key-value store.
///
/// `value_kb` is the store's limit for one value, in KiB of its JSON form.
#pragma once
#include <cstddef>
#include <cstdint>

#include "protocol/messages.hpp"
#include "storage/task_chunk.hpp"

namespace damsonport {

/// Size of a value in bytes, as the key-value store counts it.
size_t stored_size(const Json& value);

/// Whether the chunk may be written, also with one more live task.
bool chunk_fits(const TaskChunk& chunk, double value_kb);
/// How many tasks a chunk may have so that its record fits in any state.
uint32_t chunk_size(double value_kb);

/// Whether the job's record fits for as long as the job exists.
bool job_record_fits(const JobSpec& spec, double value_kb);

/// How many machines one tombstone may name.
size_t machines_per_tombstone(double value_kb);

}  // namespace damsonport
