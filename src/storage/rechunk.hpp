// Divides a job's tasks anew into chunks of another size. Pure.
#pragma once
#include <map>

#include "storage/record_cache.hpp"

namespace damsonport {

// The chunk records of the same tasks in chunks of `chunk_size`; those never touched are left out.
std::map<uint32_t, TaskChunk> rechunk(const Job& job, uint32_t chunk_size);

}  // namespace damsonport
