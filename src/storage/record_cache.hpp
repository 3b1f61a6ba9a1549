/// A controller's cached copy of the shared records.
///
/// The RecordWatcher and the controller's own reads and writes update the cache. The cache may lag
/// behind the store, so no decision relies on it alone: writes are conditional on versions, and
/// responses to users are confirmed by the store.
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

/// Decodes and applies records. Only the watcher's coroutine advances the revision; any coroutine
/// of the controller's loop may apply records that it read or wrote.
class RecordCache {
 public:
  /// `clock_error_s`: bound on the error of the time of day, in seconds. `writes_per_s`: maximum
  /// write rate of the store.
  RecordCache(Loop& loop, double clock_error_s, double writes_per_s);
  RecordCache(const RecordCache&) = delete;
  RecordCache& operator=(const RecordCache&) = delete;

  /// Applies a record as it was read, or its removal; outdated versions are ignored.
  void apply(const KeyValue& key_value);
  /// Applies this controller's own committed writes; all have the same revision.
  void apply_writes(const std::vector<Write>& writes, uint64_t revision);

  // For the RecordWatcher: the revision up to which the cache has followed the store.
  /// All records were read, as of this revision, by a listing that began at steady time `as_of`.
  void set_loaded(uint64_t revision, double as_of);
  /// All changes up to this revision were applied, as returned by a watch that was opened at steady
  /// time `as_of`.
  void advance(uint64_t revision, double as_of);
  /// Changes were missed: the cache is not loaded until all records were read again.
  void mark_not_loaded() { loaded_ = false; }
  /// Keys that are in the cache but not in a complete listing as of `revision`: the keys were
  /// removed from the store.
  std::vector<std::string> keys_missing_from(const std::set<std::string>& listing,
                                             uint64_t revision) const;

  /// Whether all records were read and no change was missed since.
  bool loaded() const { return loaded_; }
  /// The cache holds every change up to this revision.
  uint64_t revision() const { return revision_; }
  /// Steady time as of which the cache holds every change: the time at which the last successful
  /// watch was opened, or the listing was started. Other calls to the store don't show whether the
  /// cache missed changes.
  double as_of() const { return as_of_; }
  /// The callbacks, which the controller that owns the cache sets.
  RecordEvents& events() { return events_; }

  // Jobs and assignments: see JobIndex.
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
  /// Keys of the chunks that no job can use any more, which are to be removed from the store.
  const std::set<std::string>& orphaned_chunks() const { return jobs_.unattached().orphaned(); }

  /// The job's final state; nullopt when it isn't cached, though the store may have it.
  std::optional<FinalState> final_state(const std::string& job_id) const {
    return final_states_.find(job_id);
  }
  void cache_final_state(const std::string& job_id, FinalState state) {
    final_states_.insert(job_id, state);
  }

  /// The shard leases; empty when the record doesn't exist.
  const ShardTable& shard_table() const { return shard_table_; }
  uint64_t shard_table_version() const { return shard_table_version_; }
  /// The last known leader; only valid while has_leader().
  const LeaderRecord& leader() const { return leader_; }
  uint64_t leader_version() const { return leader_version_; }
  bool has_leader() const { return has_leader_; }

  /// Whether the machine is being returned to the cloud or was returned, and is never used again.
  bool has_tombstone(const std::string& machine) const { return tombstones_.contains(machine); }
  /// Machine ID -> key of the tombstone that names the machine.
  const std::map<std::string, std::string>& tombstones() const { return tombstones_; }

  /// A scale-out request with the version of its record.
  struct StoredScaleOutRequest {
    ScaleOutRequest request;
    uint64_t version = 0;
  };
  /// The stored scale-out requests, by request ID.
  const std::map<std::string, StoredScaleOutRequest>& scale_out_requests() const {
    return scale_out_requests_;
  }
  /// The program version that each controller has recorded, by controller.
  const std::map<std::string, uint64_t>& versions() const { return versions_; }
  /// The exits recorded for the shard leader, by the controller that recorded them.
  const std::map<std::string, ForwardedExits>& forwarded_exits() const { return forwarded_exits_; }

  /// A quota record with its version.
  struct StoredQuota {
    QuotaRecord record;
    uint64_t version = 0;
  };
  /// This region's quota records by team; empty when the teams' limits are not divided among
  /// regions.
  const std::map<std::string, StoredQuota>& quotas() const { return quotas_; }

 private:
  void apply_readable_record(const RecordKey& key, const KeyValue& key_value);
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
