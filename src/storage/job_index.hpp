/// Index of the jobs that the records describe, with their task chunks, and of the assigned tasks
/// by machine.
///
/// The index is a part of the RecordCache, which decodes the job records and ignores outdated ones.
#pragma once
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>

#include "storage/job.hpp"
#include "storage/unattached_chunks.hpp"

namespace damsonport {

/// A task that the records assign to a machine.
struct Assignment {
  Job* job;
  uint32_t index;  // of the task in its job
  // Compares job IDs and not addresses, so that equal histories lead to equal decisions.
  bool operator<(const Assignment& other) const {
    return job != other.job ? job->spec.id < other.job->spec.id : index < other.index;
  }
};
/// The tasks that the records assign to one machine, with their attempts.
using MachineAssignments = std::map<Assignment, uint64_t>;

/// Whether a change of the records adds an assignment or removes it.
enum class AssignmentChange : uint8_t { added, removed };

/// Callbacks for changes of the records. Empty functions are not called.
struct RecordEvents {
  /// Called with a job after a change of its record or of one of its chunks was applied; called
  /// with null after a job was removed, after all records were loaded, and after watched changes
  /// were applied.
  std::function<void(Job*)> on_change;
  /// Called for each task that a change assigns to a machine or removes from it.
  std::function<void(const std::string& machine, const Job&, AssignmentChange)> on_assignment;
  /// Called before the object of a removed job is destroyed.
  std::function<void(Job*)> on_job_removed;
};

/// Owns the Job objects. Used by the coroutines of one loop.
class JobIndex {
 public:
  /// `events` must outlive the index.
  explicit JobIndex(const RecordEvents& events) : events_(events) {}

  /// The state of a job in a new version of its record.
  struct JobUpdate {
    uint64_t version;
    uint32_t chunk_size;
    uint32_t chunk_layout;
    bool cancelled;
    double cancelled_since;  // steady time in seconds; only used when `cancelled`
  };
  /// Adds a job that the index doesn't have yet. The caller calls update() with the job's state
  /// next.
  Job& add(const std::string& job_id, JobSpec spec);
  /// Applies a new version of the job's record. When the job has a new chunk layout, its old chunks
  /// become orphaned and the chunks of the new layout are attached.
  void update(Job& job, const JobUpdate& update);
  /// Removes a job that the index has. The job's chunks become orphaned.
  void remove(const std::string& job_id);
  /// Applies a chunk's record or its removal; outdated versions are ignored.
  void apply_chunk(const ChunkName& name, const KeyValue& chunk);

  /// Returns the job with this ID, or null.
  Job* find(const std::string& job_id) const;
  const std::unordered_map<std::string, std::unique_ptr<Job>>& jobs() const { return jobs_; }
  /// The tasks that the records assign to this machine; empty for machines without tasks.
  const MachineAssignments& assignments_on(const std::string& machine) const;
  /// The assignments by machine, for machines with at least one task.
  const std::unordered_map<std::string, MachineAssignments>& assignments() const {
    return assignments_;
  }
  /// Whether the records assign this attempt of the task to the machine.
  bool has_assignment(const TaskId& task, uint64_t attempt, const std::string& machine) const;
  /// Version of a chunk of the job's present layout. The version is 0 when the chunk was never
  /// written, which is also how a precondition states that a key is absent.
  uint64_t chunk_version(const std::string& job_id, uint32_t number) const;
  const UnattachedChunks& unattached() const { return unattached_; }

 private:
  void set_chunk(Job& job, uint32_t number, TaskChunk record, uint64_t version);
  void assign(Job& job, const LiveTask& task, uint32_t chunk_start, AssignmentChange change);
  void detach_chunks(Job& job);
  void attach_chunks(Job& job);
  void notify(Job* changed) const;

  const RecordEvents& events_;
  std::unordered_map<std::string, std::unique_ptr<Job>> jobs_;
  UnattachedChunks unattached_;
  std::unordered_map<std::string, MachineAssignments> assignments_;
};

}  // namespace damsonport
