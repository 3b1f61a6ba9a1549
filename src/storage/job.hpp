/// A job as described by the records: its specification, its state and its task chunks.
#pragma once
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "protocol/messages.hpp"
#include "storage/record_keys.hpp"
#include "storage/task_chunk.hpp"
#include "storage/task_range.hpp"

namespace damsonport {

/// A live task together with the machine to which the records assign it.
struct PlacedTask {
  TaskId id;
  uint64_t attempt = 0;
  std::string machine;
};

/// Counts and attempts of a range of consecutive tasks of a job, according to the records.
struct TaskRangeSummary {
  uint32_t live = 0;
  uint32_t done = 0;
  uint64_t live_attempt = 0;        // highest attempt of the live tasks; 0: none is live
  uint64_t last_attempt = 0;        // highest attempt of the live and waiting tasks; 0: none
  bool has_mixed_attempts = false;  // live tasks have different attempts
};

/// A job in a controller's RecordCache. The JobIndex owns the object, and alone changes it when
/// records are applied; pointers to it are valid until RecordEvents::on_job_removed.
struct Job {
  /// A task chunk with the revision at which it was last written.
  struct Chunk {
    TaskChunk record;
    uint64_t version = 0;
  };

  JobSpec spec;
  uint64_t version = 0;
  bool cancelled = false;
  // Steady time in seconds, at or before the cancellation; `never` when the record has no time.
  // Only meaningful while `cancelled`.
  double cancelled_since = 0;
  uint32_t chunk_size = 1;
  uint32_t chunk_layout = 0;         // number of times that the job was rechunked
  std::map<uint32_t, Chunk> chunks;  // chunks that were written, by number
  uint64_t live = 0;                 // live tasks in all chunks
  uint64_t done = 0;                 // done tasks in all chunks

  uint32_t chunk_count() const { return (spec.tasks + chunk_size - 1) / chunk_size; }
  std::string chunk_key(uint32_t number) const {
    return keys::chunk(spec.id, number, chunk_layout);
  }
  /// Number of tasks in the chunk. The last chunk may have fewer tasks than the others.
  uint32_t tasks_in_chunk(uint32_t chunk) const {
    return std::min(chunk_size, spec.tasks - chunk * chunk_size);
  }
  /// Whether every task of the chunk was started at least once and none waits for another start.
  bool all_started(uint32_t chunk) const;
  /// The live tasks, ordered by index.
  std::vector<PlacedTask> live_tasks() const { return live_tasks({0, spec.tasks}); }
  std::vector<PlacedTask> live_tasks(TaskRange range) const;
  TaskRangeSummary summarize(TaskRange range) const;
  /// Whether all tasks are done.
  bool finished() const { return done == spec.tasks; }
  /// Number of tasks that are neither live nor done.
  uint64_t startable_count() const { return spec.tasks - live - done; }
};

}  // namespace damsonport
