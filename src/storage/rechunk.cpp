#include "storage/rechunk.hpp"

#include <algorithm>
#include <span>

namespace damsonport {

namespace {

enum class TaskPhase : uint8_t { never_started, done, waiting, live };

struct TaskRecord {
  TaskPhase phase = TaskPhase::never_started;
  uint64_t attempt = 0;
  std::string machine;
};

std::vector<TaskRecord> collect_tasks(const Job& job) {
  std::vector<TaskRecord> tasks(job.spec.tasks);
  for (auto& [number, chunk] : job.chunks) {
    const uint32_t start = number * job.chunk_size;
    for (uint32_t i = 0; i < chunk.record.next; ++i) tasks[start + i].phase = TaskPhase::done;
    for (auto& task : chunk.record.waiting)
      tasks[start + task.index] = {TaskPhase::waiting, task.attempt, {}};
    for (auto& task : chunk.record.live)
      tasks[start + task.index] = {TaskPhase::live, task.attempt, task.machine};
  }
  return tasks;
}

uint32_t first_never_started(std::span<const TaskRecord> tasks) {
  uint32_t next = 0;
  for (uint32_t i = 0; i < tasks.size(); ++i)
    if (tasks[i].phase != TaskPhase::never_started) next = i + 1;
  return next;
}

TaskChunk make_chunk(std::span<const TaskRecord> tasks) {
  TaskChunk chunk;
  chunk.next = first_never_started(tasks);
  for (uint32_t i = 0; i < chunk.next; ++i) {
    const TaskRecord& task = tasks[i];
    // A never-started task before `next` becomes a waiting task without an attempt.
    if (task.phase == TaskPhase::waiting || task.phase == TaskPhase::never_started)
      chunk.waiting.push_back({i, task.attempt});
    if (task.phase == TaskPhase::live) chunk.live.push_back({i, task.attempt, task.machine});
  }
  return chunk;
}

}  // namespace

std::map<uint32_t, TaskChunk> rechunk(const Job& job, uint32_t chunk_size) {
  const auto tasks = collect_tasks(job);
  std::map<uint32_t, TaskChunk> chunks;
  for (uint32_t first = 0; first < job.spec.tasks; first += chunk_size) {
    const uint32_t size = std::min(chunk_size, job.spec.tasks - first);
    auto chunk = make_chunk(std::span(tasks).subspan(first, size));
    if (chunk.next > 0) chunks[first / chunk_size] = std::move(chunk);
  }
  return chunks;
}

}  // namespace damsonport
