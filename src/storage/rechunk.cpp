#include "storage/rechunk.hpp"

#include <algorithm>

namespace damsonport {

namespace {
enum class TaskPhase : uint8_t { untouched, done, waiting, live };

struct TaskEntry {
  TaskPhase phase = TaskPhase::untouched;
  uint64_t attempt = 0;
  std::string machine;
};

std::vector<TaskEntry> entries_of(const Job& job) {
  std::vector<TaskEntry> tasks(job.spec.tasks);
  for (auto& [n, chunk] : job.chunks) {
    const uint32_t base = n * job.chunk_size;
    for (uint32_t i = 0; i < chunk.record.next; ++i) tasks[base + i].phase = TaskPhase::done;
    for (auto& t : chunk.record.waiting)
      tasks[base + t.index] = {TaskPhase::waiting, t.attempt, {}};
    for (auto& t : chunk.record.live)
      tasks[base + t.index] = {TaskPhase::live, t.attempt, t.machine};
  }
  return tasks;
}

TaskChunk record_of(const TaskEntry* tasks, uint32_t size) {
  TaskChunk record;
  for (uint32_t i = 0; i < size; ++i)
    if (tasks[i].phase != TaskPhase::untouched) record.next = i + 1;
  for (uint32_t i = 0; i < record.next; ++i) {
    const bool waits =
        tasks[i].phase == TaskPhase::waiting || tasks[i].phase == TaskPhase::untouched;
    if (waits) record.waiting.push_back({i, tasks[i].attempt});
    if (tasks[i].phase == TaskPhase::live)
      record.live.push_back({i, tasks[i].attempt, tasks[i].machine});
  }
  return record;
}
}  // namespace

std::map<uint32_t, TaskChunk> rechunk(const Job& job, uint32_t chunk_size) {
  const auto tasks = entries_of(job);
  std::map<uint32_t, TaskChunk> out;
  for (uint32_t first = 0; first < job.spec.tasks; first += chunk_size) {
    const uint32_t size = std::min(chunk_size, job.spec.tasks - first);
    auto record = record_of(tasks.data() + first, size);
    if (record.next > 0) out[first / chunk_size] = std::move(record);
  }
  return out;
}

}  // namespace damsonport
