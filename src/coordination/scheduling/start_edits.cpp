#include "coordination/scheduling/start_edits.hpp"

#include <algorithm>

namespace damsonport {

StartableTask find_startable_task(const Job& job, ChunkEdits& edits,
                                  const std::function<bool(const TaskChunk&)>& must_wait) {
  StartableTask found;
  for (; found.chunk < job.chunk_count(); ++found.chunk) {
    if (job.all_started(found.chunk)) continue;
    TaskChunk* record = edits.edit(job, found.chunk);
    found.transaction_full = record == nullptr;
    if (found.transaction_full) return found;
    const uint32_t size = job.tasks_in_chunk(found.chunk);
    const auto next = record->next_startable(size);
    if (!next) continue;
    found.index = next->index;
    found.attempt = next->attempt;
    if (must_wait(*record)) continue;
    found.record = record;
    return found;
  }
  return found;
}

namespace {

/// Adds the starts of a gang's tasks to the chunks of one transaction.
class GangStartEditor {
 public:
  GangStartEditor(const Job& job, const DecidedGang& gang, size_t committed, uint64_t attempt,
                  ChunkEdits& edits)
      : job_(job), gang_(gang), committed_(committed), attempt_(attempt), edits_(edits) {}

  std::vector<CommittedStart> run() {
    const uint32_t first_chunk = gang_.tasks.first / job_.chunk_size;
    for (uint32_t chunk = first_chunk; chunk * job_.chunk_size < gang_.tasks.end(); ++chunk) {
      if (all_placed()) break;
      if (job_.all_started(chunk)) continue;
      TaskChunk* record = edits_.edit(job_, chunk);
      if (!record) break;
      edit_chunk(chunk, *record);
    }
    return std::move(started_);
  }

 private:
  [[nodiscard]] size_t placed() const { return committed_ + started_.size(); }
  [[nodiscard]] bool all_placed() const { return placed() >= gang_.starts.size(); }

  void edit_chunk(uint32_t chunk, TaskChunk& record) {
    const uint32_t chunk_start = chunk * job_.chunk_size;
    const uint32_t first = std::max(gang_.tasks.first, chunk_start) - chunk_start;
    const uint32_t end = std::min(gang_.tasks.end() - chunk_start, job_.tasks_in_chunk(chunk));
    for (uint32_t index = first; index < end && !all_placed(); ++index) {
      if (!record.is_startable(index)) continue;
      if (!edits_.reserve_task_entry()) break;
      const DecidedStart& start = gang_.starts[placed()];
      record.start(index, attempt_, start.machine);
      const TaskId task{job_.spec.id, chunk_start + index};
      started_.push_back({task, attempt_, start.machine, start.image_cached});
    }
  }

  const Job& job_;
  const DecidedGang& gang_;
  const size_t committed_;
  const uint64_t attempt_;
  ChunkEdits& edits_;
  std::vector<CommittedStart> started_;
};

}  // namespace

std::vector<CommittedStart> edit_gang_starts(const Job& job, const DecidedGang& gang,
                                             size_t committed, uint64_t attempt,
                                             ChunkEdits& edits) {
  return GangStartEditor(job, gang, committed, attempt, edits).run();
}

}  // namespace damsonport
