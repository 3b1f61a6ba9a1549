/// A job as the records describe it: its specification, its state, and its chunks of tasks.
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

/// A task that the records place on a machine.
struct PlacedTask {
  TaskId id;
  uint64_t attempt = 0;
  std::string machine;
};

/// What the records say of some neighbouring tasks of a job.
struct TaskRangeSummary {
  uint32_t live = 0;
  uint32_t done = 0;
  uint64_t live_attempt = 0;        // the highest of the live ones; 0: none is live
  uint64_t last_attempt = 0;        // the highest that any has had; 0: none was started
  bool has_mixed_attempts = false;  // live ones differ in their attempts
};

struct Job {
  struct Chunk {
    TaskChunk record;
    uint64_t version = 0;
  };

  JobSpec spec;
  uint64_t version = 0;
  bool cancelled = false;
  // Steady time of the cancellation, or earlier; `never` where the record doesn't say.
  double cancelled_since = 0;
  uint32_t chunk_size = 1;
  uint32_t chunk_layout = 0;         // how often the tasks were rechunked
  std::map<uint32_t, Chunk> chunks;  // those that were written, by number
  uint64_t live = 0;                 // sum over the chunks
  uint64_t done = 0;                 // sum over the chunks

  uint32_t chunk_count() const { return (spec.tasks + chunk_size - 1) / chunk_size; }
  std::string chunk_key(uint32_t number) const {
    return keys::chunk(spec.id, number, chunk_layout);
  }
  /// Tasks in the chunk; the last one may be smaller than the others.
  uint32_t tasks_in_chunk(uint32_t chunk) const {
    return std::min(chunk_size, spec.tasks - chunk * chunk_size);
  }
  /// Every task of the chunk was started at least once, and none waits to be started again.
  bool all_started(uint32_t chunk) const;
  std::vector<PlacedTask> live_tasks() const { return live_tasks({0, spec.tasks}); }
  std::vector<PlacedTask> live_tasks(TaskRange range) const;
  TaskRangeSummary summarize(TaskRange range) const;
  bool finished() const { return done == spec.tasks; }
  /// Tasks neither live nor done.
  uint64_t startable_count() const { return spec.tasks - live - done; }
};

}  // namespace damsonport
