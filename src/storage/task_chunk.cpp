#include "storage/task_chunk.hpp"

namespace damsonport {

LiveTask* TaskChunk::find_live(uint32_t index) {
  const auto it = find_entry(live, index);
  return it == live.end() ? nullptr : &*it;
}

std::optional<TaskChunk::NextStart> TaskChunk::next_startable(uint32_t size) const {
  if (!waiting.empty()) return NextStart{waiting.front().index, waiting.front().attempt + 1};
  if (next >= size) return std::nullopt;
  return NextStart{next, 1};
}

bool TaskChunk::is_startable(uint32_t index) const {
  return index >= next || find_entry(waiting, index) != waiting.end();
}

void TaskChunk::start(uint32_t index, uint64_t attempt, const std::string& machine) {
  std::erase_if(waiting, [&](const WaitingTask& w) { return w.index == index; });
  // Never-started tasks before `index` become waiting tasks without an attempt.
  while (next <= index) {
    if (next != index) waiting.push_back({next, 0});
    ++next;
  }
  std::sort(waiting.begin(), waiting.end(),
            [](const WaitingTask& a, const WaitingTask& b) { return a.index < b.index; });
  live.insert(first_at_or_after(live, index), {index, attempt, machine});
}

void TaskChunk::end_attempt(uint32_t index, TaskEnd end) {
  const auto task = find_entry(live, index);
  if (task == live.end()) return;
  const uint64_t attempt = task->attempt;
  live.erase(task);
  if (end == TaskEnd::done) return;
  waiting.insert(first_at_or_after(waiting, index), {index, attempt});
}

uint64_t TaskChunk::last_attempt() const {
  uint64_t last = 0;
  for (auto& task : live) last = std::max(last, task.attempt);
  for (auto& task : waiting) last = std::max(last, task.attempt);
  return last;
}

}  // namespace damsonport
