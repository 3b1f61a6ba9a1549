/// The jobs that the records describe, with their chunks, and the tasks by machine.
///
/// Part of the RecordCache, which decodes the records and decides which of them are newer.
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

/// A task on a machine, according to the records.
struct Assignment {
  Job* job;
  uint32_t index;  // in the job
  // By name and not by address, so that equal histories are decided equally.
  bool operator<(const Assignment& other) const {
    return job != other.job ? job->spec.id < other.job->spec.id : index < other.index;
  }
};
/// The tasks on one machine, with their attempts.
using MachineAssignments = std::map<Assignment, uint64_t>;

enum class AssignmentChange : uint8_t { added, removed };

/// Callbacks for changes of the records. Unset functions are not called.
struct RecordEvents {
  /// After every applied change; the argument is the job concerned, or null.
  std::function<void(Job*)> on_change;
  /// For each task that a change puts on a machine or takes from it.
  std::function<void(const std::string& machine, const Job&, AssignmentChange)> on_assignment;
  /// Before a job's object goes away.
  std::function<void(Job*)> on_job_removed;
};

class JobIndex {
 public:
  /// `events` outlives the index.
  explicit JobIndex(const RecordEvents& events) : events_(events) {}

  /// The state that a new version of a job's record gives.
  struct JobUpdate {
    uint64_t version;
    uint32_t chunk_size;
    uint32_t chunk_layout;
    bool cancelled;
    double cancelled_since;  // only where it is cancelled
  };
  /// Adds a job that is unknown so far; an update with its state follows.
  Job& add(const std::string& job_id, JobSpec spec);
  void update(Job& job, const JobUpdate& update);
  /// The job's chunks are kept as orphaned ones.
  void remove(const std::string& job_id);
  /// Applies a chunk's record, or its removal.
  void apply_chunk(const ChunkName& name, const KeyValue& chunk);

  /// Null when there is no such job.
  Job* find(const std::string& job_id) const;
  const std::unordered_map<std::string, std::unique_ptr<Job>>& jobs() const { return jobs_; }
  /// The tasks on this machine; empty for machines that no record names.
  const MachineAssignments& assignments_on(const std::string& machine) const;
  /// Machines with at least one task.
  const std::unordered_map<std::string, MachineAssignments>& assignments() const {
    return assignments_;
  }
  /// Whether the records place this attempt of the task on the machine.
  bool has_assignment(const TaskId& task, uint64_t attempt, const std::string& machine) const;
  /// Version of a chunk of the job's layout; 0, as in preconditions, when it was never written.
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
