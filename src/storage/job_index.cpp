#include "storage/job_index.hpp"

#include <utility>

#include "storage/record_encoding.hpp"

namespace damsonport {

namespace {
const MachineAssignments no_assignments;

bool is_same_attempt(const LiveTask* a, const LiveTask& b) {
  return a && a->attempt == b.attempt && a->machine == b.machine;
}
}  // namespace

void JobIndex::notify(Job* changed) const {
  if (events_.on_change) events_.on_change(changed);
}

Job& JobIndex::add(const std::string& job_id, JobSpec spec) {
  auto& slot = jobs_[job_id];
  slot = std::make_unique<Job>();
  slot->spec = std::move(spec);
  return *slot;
}

void JobIndex::update(Job& job, const JobUpdate& update) {
  // The job was rechunked: all chunks of the new layout were written before the job's record.
  if (job.chunk_layout != update.chunk_layout) detach_chunks(job);
  job.chunk_size = update.chunk_size;
  job.chunk_layout = update.chunk_layout;
  job.version = update.version;
  job.cancelled = update.cancelled;
  if (job.cancelled) job.cancelled_since = update.cancelled_since;
  attach_chunks(job);
  notify(&job);
}

void JobIndex::remove(const std::string& job_id) {
  auto it = jobs_.find(job_id);
  Job& job = *it->second;
  detach_chunks(job);
  // Chunks of a layout that the job's record never had become orphaned too.
  unattached_.orphan_chunks_of(job_id);
  if (events_.on_job_removed) events_.on_job_removed(&job);
  jobs_.erase(it);
  notify(nullptr);
}

void JobIndex::apply_chunk(const ChunkName& name, const KeyValue& chunk) {
  Job* job = find(name.job);
  if (!job || job->chunk_layout != name.chunk_layout) {
    if (chunk.value.is_null()) {
      unattached_.remove(chunk.key);
      return;
    }
    // A chunk of a later layout stays unattached until the job's record has that layout.
    const bool orphaned = !job || name.chunk_layout < job->chunk_layout;
    unattached_.put(chunk, orphaned ? ChunkUse::orphaned : ChunkUse::expected);
    return;
  }
  auto known = job->chunks.find(name.number);
  if (known != job->chunks.end() && chunk.version <= known->second.version) return;
  // A chunk is removed only together with its job or after it, so removing the job covers this.
  if (chunk.value.is_null()) return;
  set_chunk(*job, name.number, decode_chunk(chunk.value), chunk.version);
  notify(job);
}

Job* JobIndex::find(const std::string& job_id) const {
  auto it = jobs_.find(job_id);
  return it == jobs_.end() ? nullptr : it->second.get();
}

const MachineAssignments& JobIndex::assignments_on(const std::string& machine) const {
  auto it = assignments_.find(machine);
  return it == assignments_.end() ? no_assignments : it->second;
}

bool JobIndex::has_assignment(const TaskId& task, uint64_t attempt,
                              const std::string& machine) const {
  Job* job = find(task.job);
  if (!job) return false;
  auto& tasks = assignments_on(machine);
  auto it = tasks.find({job, task.index});
  return it != tasks.end() && it->second == attempt;
}

uint64_t JobIndex::chunk_version(const std::string& job_id, uint32_t number) const {
  const Job* job = find(job_id);
  if (!job) return 0;
  auto chunk = job->chunks.find(number);
  return chunk == job->chunks.end() ? 0 : chunk->second.version;
}

// Reports only the assignments that differ, so that a change of one task is not as expensive as a
// change of the whole chunk.
void JobIndex::set_chunk(Job& job, uint32_t number, TaskChunk record, uint64_t version) {
  auto& chunk = job.chunks[number];
  const uint32_t start = number * job.chunk_size;
  TaskChunk before = std::exchange(chunk.record, std::move(record));
  chunk.version = version;
  job.live += chunk.record.live.size() - before.live.size();
  job.done += chunk.record.done_count() - before.done_count();
  for (auto& task : before.live)
    if (!is_same_attempt(chunk.record.find_live(task.index), task))
      assign(job, task, start, AssignmentChange::removed);
  for (auto& task : chunk.record.live)
    if (!is_same_attempt(before.find_live(task.index), task))
      assign(job, task, start, AssignmentChange::added);
}

void JobIndex::assign(Job& job, const LiveTask& task, uint32_t chunk_start,
                      AssignmentChange change) {
  auto& tasks = assignments_[task.machine];
  const Assignment assignment{&job, chunk_start + task.index};
  if (change == AssignmentChange::added) {
    tasks[assignment] = task.attempt;
  } else {
    tasks.erase(assignment);
    if (tasks.empty()) assignments_.erase(task.machine);
  }
  if (events_.on_assignment) events_.on_assignment(task.machine, job, change);
}

// Moves the job's chunks to the unattached chunks as orphaned, to be removed from the store.
void JobIndex::detach_chunks(Job& job) {
  for (auto& [number, chunk] : job.chunks) {
    const uint64_t version = chunk.version;
    const TaskChunk detached = chunk.record;
    set_chunk(job, number, {}, version);
    unattached_.put({job.chunk_key(number), encode_chunk(detached), version, 0},
                    ChunkUse::orphaned);
  }
  job.chunks.clear();
}

// Attaches the chunks that were read before the job's record, or before the version of the record
// that has their layout.
void JobIndex::attach_chunks(Job& job) {
  for (uint32_t number = 0; number < job.chunk_count() && !unattached_.empty(); ++number) {
    const auto chunk = unattached_.take(job.chunk_key(number));
    if (chunk) set_chunk(job, number, decode_chunk(chunk->value), chunk->version);
  }
}

}  // namespace damsonport
