#include "coordination/scheduling/start_edits.hpp"

#include <algorithm>

namespace damsonport {

StartableTask find_startable(const Job& job, ChunkEdits& edits,
                             const std::function<bool(const TaskChunk&)>& must_wait) {
  StartableTask found;
  for (; found.chunk < job.chunk_count(); ++found.chunk) {
    if (job.all_started(found.chunk)) continue;
    TaskChunk* record = edits.edit(job, found.chunk);
    found.full = record == nullptr;
    if (found.full) return found;
    const uint32_t size = job.size_of(found.chunk);
    const auto next = record->peek_startable(size);
    if (!next) continue;
    found.index = next->index;
    found.attempt = next->attempt;
    if (must_wait(*record)) continue;
    found.record = record;
    return found;
  }
  return found;
}

std::vector<CommittedStart> edit_gang_starts(const Job& job, const DecidedGang& gang,
                                             size_t committed, uint64_t attempt,
                                             ChunkEdits& edits) {
  std::vector<CommittedStart> started;
  auto all_placed = [&] { return committed + started.size() >= gang.starts.size(); };
  for (uint32_t n = gang.tasks.first / job.chunk_size; n * job.chunk_size < gang.tasks.end(); ++n) {
    if (all_placed()) break;
    if (job.all_started(n)) continue;
    auto* record = edits.edit(job, n);
    if (!record) break;
    const uint32_t chunk_start = n * job.chunk_size;
    const uint32_t first = std::max(gang.tasks.first, chunk_start) - chunk_start;
    const uint32_t end = std::min(gang.tasks.end() - chunk_start, job.size_of(n));
    for (uint32_t index = first; index < end && !all_placed(); ++index) {
      if (!record->is_startable(index)) continue;
      if (!edits.take_entry()) break;
      auto& place = gang.starts[committed + started.size()];
      record->start(index, attempt, place.machine);
      started.push_back(
          {{job.spec.id, chunk_start + index}, attempt, place.machine, place.image_cached});
    }
  }
  return started;
}

}  // namespace damsonport
