/// Every controller's copy of the shared records.
///
/// The copy is fed by the RecordWatcher and by what the controller itself reads and writes. It may
/// lag behind the store, so nothing is decided on it alone: writes are conditional on versions, and
/// answers to users are confirmed.
#pragma once
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "storage/final_state_cache.hpp"
#include "storage/job_index.hpp"
#include "storage/key_value_client.hpp"
#include "storage/quota_record.hpp"
#include "storage/records.hpp"
#include "storage/removed_keys.hpp"
#include "storage/steady_time.hpp"
#include "transport/loop.hpp"

namespace damsonport {

/// Decodes and applies records. The watcher's coroutine moves the revision; any coroutine of the
/// controller's loop may apply what it read or wrote.
class RecordCache {
 public:
  /// `clock_error_s`: how far the time of day may be off. `writes_per_s`: the most that the store
  /// takes.
  RecordCache(Loop& loop, double clock_error_s, double writes_per_s);
  RecordCache(const RecordCache&) = delete;
  RecordCache& operator=(const RecordCache&) = delete;

  /// Applies a key as it was read; versions older than the known one are ignored.
  void apply(const KeyValue& key_value);
  /// Applies our own committed writes, all at one revision.
  void apply_writes(const std::vector<Write>& writes, uint64_t revision);

  // For the watcher: how far the cache has followed the store.
  /// Everything was read, at this revision, by a listing that began at steady time `as_of`.
  void set_loaded(uint64_t revision, double as_of);
  /// Changes up to this revision were applied, as a watch opened at steady time `as_of` gave them.
  void advance(uint64_t revision, double as_of);
  /// Changes were missed: the cache counts as not loaded until everything was read again.
  void mark_not_loaded() { loaded_ = false; }
  /// Keys that the cache has and a complete listing at `revision` doesn't: they were removed.
  std::vector<std::string> keys_missing_from(const std::set<std::string>& listing,
                                             uint64_t revision) const;

  bool loaded() const { return loaded_; }
  /// The cache holds every change up to this revision.
  uint64_t revision() const { return revision_; }
  /// Steady time as of which the cache holds every change: when the last answered watch was opened,
  /// or the listing begun. Other calls to the store say nothing of what was missed.
  double as_of() const { return as_of_; }
  /// Set by the controller that owns the cache.
  RecordEvents& events() { return events_; }

  // Jobs and the tasks on machines: see JobIndex.
  Job* job(const std::string& id) const { return jobs_.find(id); }
  const auto& jobs() const { return jobs_.jobs(); }
  const MachineAssignments& assignments_on(const std::string& machine) const {
    return jobs_.assignments_on(machine);
  }
  const auto& assignments() const { return jobs_.assignments(); }
  bool has_assignment(const TaskId& task, uint64_t attempt, const std::string& machine) const {
    return jobs_.has_assignment(task, attempt, machine);
  }
  uint64_t chunk_version(const std::string& job_id, uint32_t number) const {
    return jobs_.chunk_version(job_id, number);
  }
  uint64_t unattached_version(const std::string& key) const {
    return jobs_.unattached().version(key);
  }
  /// Keys of chunks that are left over after their job's end, to be removed.
  const std::set<std::string>& orphaned_chunks() const { return jobs_.unattached().orphaned(); }

  /// Nothing where it isn't known here; it may be in the store.
  std::optional<FinalState> final_state(const std::string& job_id) const {
    return final_states_.find(job_id);
  }
  void cache_final_state(const std::string& job_id, FinalState state) {
    final_states_.insert(job_id, state);
  }

  const ShardTable& shard_table() const { return shard_table_; }
  uint64_t shard_table_version() const { return shard_table_version_; }
  /// The last known leader; only valid while has_leader().
  const LeaderRecord& leader() const { return leader_; }
  uint64_t leader_version() const { return leader_version_; }
  bool has_leader() const { return has_leader_; }

  /// Machines that are being returned, or were, and are never used again.
  bool has_tombstone(const std::string& machine) const { return tombstones_.contains(machine); }
  /// Machine -> key of the record that names it.
  const std::map<std::string, std::string>& tombstones() const { return tombstones_; }

  struct StoredScaleOutRequest {
    ScaleOutRequest request;
    uint64_t version = 0;
  };
  /// By the request's id.
  const std::map<std::string, StoredScaleOutRequest>& scale_out_requests() const {
    return scale_out_requests_;
  }
  /// The version of the program that each controller has recorded.
  const std::map<std::string, uint64_t>& versions() const { return versions_; }
  /// Exits for the shard leader, by the controller that recorded them.
  const std::map<std::string, ForwardedExits>& forwarded_exits() const { return forwarded_exits_; }

  struct StoredQuota {
    QuotaRecord record;
    uint64_t version = 0;
  };
  /// This region's quotas by team; none where limits are not divided among regions.
  const std::map<std::string, StoredQuota>& quotas() const { return quotas_; }

 private:
  void apply_record(const RecordKey& key, const KeyValue& key_value);
  void apply_shard_table(const KeyValue& key_value);
  void apply_leader(const KeyValue& key_value);
  void apply_job(const std::string& id, const KeyValue& key_value);
  void apply_tombstone(const KeyValue& key_value);
  void apply_scale_out_request(const std::string& id, const KeyValue& key_value);
  void apply_forwarded_exits(const std::string& controller, const KeyValue& key_value);
  void apply_quota(const std::string& team, const KeyValue& key_value);
  double steady_time_of(double time_of_day) const;

  Loop& loop_;
  const double clock_error_s_;
  bool loaded_ = false;
  uint64_t revision_ = 0;
  double as_of_ = never;
  RecordEvents events_;
  JobIndex jobs_{events_};
  FinalStateCache final_states_;
  RemovedKeys removed_keys_;
  ShardTable shard_table_;
  uint64_t shard_table_version_ = 0;
  LeaderRecord leader_;
  uint64_t leader_version_ = 0;
  bool has_leader_ = false;
  std::map<std::string, std::string> tombstones_;
  std::map<std::string, StoredScaleOutRequest> scale_out_requests_;
  std::map<std::string, uint64_t> versions_;
  std::map<std::string, ForwardedExits> forwarded_exits_;
  std::map<std::string, StoredQuota> quotas_;
};

}  // namespace damsonport
