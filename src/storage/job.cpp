#include "storage/job.hpp"

#include <algorithm>

namespace damsonport {

namespace {
// Calls `use` for each written chunk that contains tasks of the range, with the chunk, the chunk's
// number, and the part of the range that lies in the chunk, relative to the chunk's first task.
template <class Use>
void for_each_chunk(const Job& job, TaskRange range, Use use) {
  for (auto it = job.chunks.lower_bound(range.first / job.chunk_size); it != job.chunks.end();
       ++it) {
    const uint32_t start = it->first * job.chunk_size;
    if (start >= range.end()) return;
    const uint32_t first = std::max(range.first, start) - start;
    const uint32_t end = std::min(range.end() - start, job.chunk_size);
    use(it->second.record, it->first, TaskRange{first, end - first});
  }
}
}  // namespace

bool Job::all_started(uint32_t chunk) const {
  auto it = chunks.find(chunk);
  if (it == chunks.end()) return false;
  const TaskChunk& record = it->second.record;
  return record.next == tasks_in_chunk(chunk) && record.waiting.empty();
}

std::vector<PlacedTask> Job::live_tasks(TaskRange range) const {
  std::vector<PlacedTask> out;
  for_each_chunk(*this, range, [&](const TaskChunk& record, uint32_t number, TaskRange within) {
    for (auto& task : entries_within(record.live, within.first, within.end()))
      out.push_back({{spec.id, number * chunk_size + task.index}, task.attempt, task.machine});
  });
  return out;
}

TaskRangeSummary Job::summarize(TaskRange range) const {
  TaskRangeSummary out;
  for_each_chunk(*this, range, [&](const TaskChunk& record, uint32_t, TaskRange within) {
    const auto live = entries_within(record.live, within.first, within.end());
    const auto waiting = entries_within(record.waiting, within.first, within.end());
    for (auto& task : live) {
      out.has_mixed_attempts |= out.live_attempt != 0 && out.live_attempt != task.attempt;
      out.live_attempt = std::max(out.live_attempt, task.attempt);
    }
    for (auto& task : waiting) out.last_attempt = std::max(out.last_attempt, task.attempt);
    const uint32_t started = std::clamp(record.next, within.first, within.end()) - within.first;
    const auto unfinished = static_cast<uint32_t>(live.size() + waiting.size());
    out.live += static_cast<uint32_t>(live.size());
    out.done += started - unfinished;
  });
  out.last_attempt = std::max(out.last_attempt, out.live_attempt);
  return out;
}

}  // namespace damsonport
