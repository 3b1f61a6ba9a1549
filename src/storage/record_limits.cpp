#include "storage/record_limits.hpp"

#include <algorithm>

#include "storage/record_encoding.hpp"

namespace damsonport {

namespace {
constexpr double bytes_per_kb = 1024;
// The longest entry as JSON text, [9999,1844674407370955161,"i-0000000000"], plus a margin.
constexpr double max_chunk_entry_bytes = 48;
constexpr double chunk_overhead_bytes = 64;
// Upper bound for stores that accept large values: every change of a task writes its whole chunk.
constexpr double max_chunk_size = 1024;
// Upper bound for the fields that a cancellation adds to the job's record.
constexpr size_t cancellation_bytes = 64;
constexpr double max_machine_entry_bytes = 24;
constexpr double tombstone_overhead_bytes = 64;
constexpr double max_machines_per_tombstone = 100;
}  // namespace

size_t stored_size(const Json& value) {
  return value.dump(-1, ' ', false, Json::error_handler_t::replace).size();
}

bool chunk_fits(const TaskChunk& chunk, double value_kb) {
  const double limit = value_kb * bytes_per_kb - max_chunk_entry_bytes;
  const auto entries = static_cast<double>(chunk.live.size() + chunk.waiting.size());
  // Most chunks are far below the limit and don't have to be encoded to be measured.
  if (chunk_overhead_bytes + max_chunk_entry_bytes * entries <= limit) return true;
  return static_cast<double>(stored_size(encode_chunk(chunk))) <= limit;
}

uint32_t chunk_size(double value_kb) {
  const double fits = (value_kb * bytes_per_kb - chunk_overhead_bytes) / max_chunk_entry_bytes;
  return static_cast<uint32_t>(std::clamp(fits, 1.0, max_chunk_size));
}

bool job_record_fits(const JobSpec& spec, double value_kb) {
  const auto record = encode_job_record(spec, chunk_size(value_kb));
  return static_cast<double>(stored_size(record) + cancellation_bytes) <= value_kb * bytes_per_kb;
}

size_t machines_per_tombstone(double value_kb) {
  const double fits =
      (value_kb * bytes_per_kb - tombstone_overhead_bytes) / max_machine_entry_bytes;
  return static_cast<size_t>(std::clamp(fits, 1.0, max_machines_per_tombstone));
}

}  // namespace damsonport
