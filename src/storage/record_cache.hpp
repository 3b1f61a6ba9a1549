// Every node's copy of the shared records, fed by one watch. A copy may lag; nothing is decided on
// it alone: writes are conditional on versions, and answers to users are confirmed.
#pragma once
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>

#include "storage/key_value_client.hpp"
#include "storage/quota_record.hpp"
#include "storage/records.hpp"
#include "storage/task_range.hpp"
#include "transport/warning_limiter.hpp"

namespace damsonport {

// A task that the records place on a machine.
struct PlacedTask {
  TaskId name;
  uint64_t attempt = 0;
  std::string machine;
};

// What the records say of some neighbouring tasks of a job.
struct TaskRangeSummary {
  uint32_t live = 0, done = 0;
  uint64_t live_attempt = 0;        // the highest of the live ones; 0: none is live
  uint64_t last_attempt = 0;        // the highest that any of them has had; 0: none was started
  bool has_mixed_attempts = false;  // live ones differ in their attempts
};

struct Job {
  JobSpec spec;
  uint64_t version = 0;
  bool cancelled = false;
  // Steady time of the cancellation, or earlier; long ago where the record doesn't say.
  double cancelled_since = 0;
  uint32_t chunk_size = 1;
  uint32_t chunk_layout = 0;  // how often the tasks were divided anew
  struct Chunk {
    TaskChunk record;
    uint64_t version = 0;
  };
  std::map<uint32_t, Chunk> chunks;  // those that were written
  uint64_t live = 0, done = 0;       // sums over the chunks

  uint32_t chunk_count() const { return (spec.tasks + chunk_size - 1) / chunk_size; }
  std::string chunk_key(uint32_t n) const { return keys::chunk(spec.id, n, chunk_layout); }
  uint32_t size_of(uint32_t chunk) const {
    return std::min(chunk_size, spec.tasks - chunk * chunk_size);
  }
  // Every task of the chunk was started at least once, and none waits to be started again.
  bool all_started(uint32_t chunk) const;
  std::vector<PlacedTask> live_tasks() const { return live_tasks({0, spec.tasks}); }
  std::vector<PlacedTask> live_tasks(TaskRange range) const;
  TaskRangeSummary summarize(TaskRange range) const;
  bool finished() const { return done == spec.tasks; }
  // Tasks neither live nor done.
  uint64_t unstarted() const { return spec.tasks - live - done; }
};

// A task on a machine, according to the records.
struct Assignment {
  Job* job;
  uint32_t index;  // in the job
  // By name and not by address, so that equal histories are decided equally.
  bool operator<(const Assignment& o) const {
    return job != o.job ? job->spec.id < o.job->spec.id : index < o.index;
  }
};

class RecordCache {
 public:
  // `writes_per_s`: the most that the state service takes.
  RecordCache(Loop& loop, KeyValueClient& store, double min_watch_gap_s, double clock_off_s,
              double writes_per_s);

  // The long-lived duty: loads everything, then follows the watch.
  Task<void> follow(std::stop_token stop_token);
  bool loaded() const { return loaded_; }
  // The cache holds every change up to this revision.
  uint64_t revision() const { return revision_; }
  // Steady time as of which the cache holds every change: when the last answered watch was opened,
  // or the load begun. Other calls to the state service say nothing of what was missed.
  double as_of() const { return as_of_; }

  // Applies one key as read or written by us; older versions are ignored.
  void apply(const KeyValue& key_value);
  // Our own committed writes, all at one revision.
  void apply_writes(const std::vector<Write>& writes, uint64_t revision);

  Job* job(const std::string& id);
  const std::unordered_map<std::string, std::unique_ptr<Job>>& jobs() const { return jobs_; }
  const FinalState* final_state(const std::string& id) const;
  void remember_final(const std::string& id, FinalState state);
  const std::map<Assignment, uint64_t>& assigned(const std::string& machine) const;
  // Whether the records place this attempt of the task on the machine.
  bool places(const TaskId& task, uint64_t attempt, const std::string& machine);
  // Machines that some record names.
  const std::unordered_map<std::string, std::map<Assignment, uint64_t>>& assignments() const {
    return assigned_;
  }
  uint64_t chunk_version(const std::string& id, uint32_t chunk) const;
  // Of a chunk's key that belongs to no layout in use; 0: none is stored.
  uint64_t unattached_version(const std::string& key) const;
  // Chunks whose job is gone: left over after a job's end, to be removed.
  const std::set<std::string>& orphaned_chunks() const { return orphaned_chunks_; }

  const ShardTable& shard_table() const { return shard_table_; }
  uint64_t shard_table_version() const { return shard_table_version_; }
  const LeaderRecord& leader() const { return leader_; }
  uint64_t leader_version() const { return leader_version_; }
  bool has_leader() const { return has_leader_; }
  // Machines being returned, or returned: never used again.
  bool has_tombstone(const std::string& machine) const { return tombstones_.contains(machine); }
  // Machine -> the record that marks it.
  const std::map<std::string, std::string>& tombstones() const { return tombstones_; }
  struct Rental {
    ScaleOutRequest request;
    uint64_t version = 0;
  };
  const std::map<std::string, Rental>& scale_out_requests() const { return scale_out_requests_; }

  // The version that each controller has recorded of itself.
  const std::map<std::string, uint64_t>& versions() const { return versions_; }

  // Exits that controllers saw for the holder, by controller.
  const std::map<std::string, ForwardedExits>& forwarded_exits() const { return forwarded_exits_; }

  // This region's budgets of the teams' limits, by team; none where limits are not divided.
  struct Quota {
    QuotaRecord record;
    uint64_t version = 0;
  };
  const std::map<std::string, Quota>& quotas() const { return quotas_; }

  // Called after every applied change; the argument is the job concerned, or null.
  std::function<void(Job*)> on_change;
  // Called for each task that a change puts on a machine or takes from it.
  std::function<void(const std::string& machine, const Job&, bool added)> on_assignment;
  // Called before a job's object goes away.
  std::function<void(Job*)> on_job_gone;

 private:
  Task<bool> load(std::stop_token stop_token);
  bool is_stale_write(const KeyValue& key_value);
  void apply_job(const std::string& id, const KeyValue& key_value);
  void apply_quota(const std::string& team, const KeyValue& key_value);
  void apply_chunk(const std::string& rest, const KeyValue& key_value);
  void set_chunk(Job& job, uint32_t n, TaskChunk record, uint64_t version);
  void assign(Job& job, uint32_t index, const LiveTask& task, bool add);
  void drop_job(const std::string& id);
  // The job's chunks are no longer its own: kept as orphans, to be removed.
  void detach_chunks(Job& job);
  // Those that were read before the job's record, or before it took their layout.
  void attach_chunks(Job& job);

  Loop& loop_;
  KeyValueClient& store_;
  double min_watch_gap_s_, clock_off_s_;
  size_t max_removed_;
  WarningLimiter warning_;
  bool loaded_ = false;
  uint64_t revision_ = 0;
  double as_of_ = -1e9;
  std::unordered_map<std::string, std::unique_ptr<Job>> jobs_;
  // Chunks read before their job, or of a layout that it doesn't have (yet): a listing comes in
  // order of keys, a watch in order of changes.
  std::map<std::string, KeyValue> unattached_chunks_;
  std::set<std::string> orphaned_chunks_;
  std::unordered_map<std::string, std::map<Assignment, uint64_t>> assigned_;
  std::unordered_map<std::string, FinalState> finals_;
  std::vector<std::string> final_order_;
  size_t final_next_ = 0;
  // Versions of keys removed lately, so that an older copy does not bring them back: the newest and
  // those before them, which go together when there are many newer ones.
  std::unordered_map<std::string, uint64_t> removed_, removed_before_;
  ShardTable shard_table_;
  uint64_t shard_table_version_ = 0;
  LeaderRecord leader_;
  uint64_t leader_version_ = 0;
  bool has_leader_ = false;
  std::map<std::string, std::string> tombstones_;
  std::map<std::string, Rental> scale_out_requests_;
  std::map<std::string, uint64_t> versions_;
  std::map<std::string, ForwardedExits> forwarded_exits_;
  std::map<std::string, Quota> quotas_;
};

}  // namespace damsonport
