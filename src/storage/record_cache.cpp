#include "storage/record_cache.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace damsonport {

RecordCache::RecordCache(Loop& loop, double clock_error_s, double writes_per_s)
    : loop_(loop), clock_error_s_(clock_error_s), removed_keys_(writes_per_s) {}

void RecordCache::set_loaded(uint64_t revision, double as_of) {
  revision_ = revision;
  as_of_ = as_of;
  loaded_ = true;
}

void RecordCache::advance(uint64_t revision, double as_of) {
  revision_ = std::max(revision_, revision);
  as_of_ = as_of;
}

std::vector<std::string> RecordCache::keys_missing_from(const std::set<std::string>& listing,
                                                        uint64_t revision) const {
  std::vector<std::string> missing;
  const auto check = [&](const std::string& key) {
    if (!listing.contains(key)) missing.push_back(key);
  };
  for (auto& [id, job] : jobs())
    if (job->version <= revision) check(keys::job(id));
  for (auto& [id, request] : scale_out_requests_)
    if (request.version <= revision) check(keys::scale_out_request(id));
  for (auto& key : orphaned_chunks()) check(key);
  for (auto& [controller, exits] : forwarded_exits_) check(keys::forwarded_exits(controller));
  check(keys::leader);
  return missing;
}

void RecordCache::apply_writes(const std::vector<Write>& writes, uint64_t revision) {
  for (auto& w : writes)
    if (w.key.starts_with(keys::cached_prefix)) apply({w.key, w.value, revision, w.lease});
}

void RecordCache::apply(const KeyValue& key_value) {
  if (removed_keys_.is_stale_write(key_value.key, key_value.version)) return;
  if (const auto key = parse_record_key(key_value.key)) apply_readable_record(*key, key_value);
  if (key_value.value.is_null() && key_value.version)
    removed_keys_.record_removal(key_value.key, key_value.version);
}

// A record that can't be decoded stays as it is in the store: the cache doesn't know its version,
// so no transaction that depends on the version replaces it.
void RecordCache::apply_readable_record(const RecordKey& key, const KeyValue& key_value) {
  try {
    apply_record(key, key_value);
  } catch (const Json::exception& e) {
    spdlog::error("a record of kind {} at revision {} can't be read and is ignored: {}",
                  static_cast<int>(key.kind), key_value.version, e.what());
  }
}

void RecordCache::apply_record(const RecordKey& key, const KeyValue& key_value) {
  switch (key.kind) {
    case RecordKind::shard_table:
      return apply_shard_table(key_value);
    case RecordKind::leader:
      return apply_leader(key_value);
    case RecordKind::job:
      return apply_job(key.name, key_value);
    case RecordKind::chunk:
      if (const auto name = parse_chunk_name(key.name)) jobs_.apply_chunk(*name, key_value);
      return;
    case RecordKind::tombstone:
      return apply_tombstone(key_value);
    case RecordKind::scale_out_request:
      return apply_scale_out_request(key.name, key_value);
    case RecordKind::forwarded_exits:
      return apply_forwarded_exits(key.name, key_value);
    case RecordKind::quota:
      return apply_quota(key.name, key_value);
    case RecordKind::version:
      // Version records are never removed: they outlive the process that wrote them
      // (VersionRegistry).
      if (key_value.value.is_object()) versions_[key.name] = decode_version(key_value.value);
      return;
  }
}

void RecordCache::apply_shard_table(const KeyValue& key_value) {
  if (key_value.version <= shard_table_version_) return;
  shard_table_ = key_value.value.is_null() ? ShardTable{} : decode_shard_table(key_value.value);
  shard_table_version_ = key_value.version;
}

void RecordCache::apply_leader(const KeyValue& key_value) {
  if (key_value.version <= leader_version_) return;
  has_leader_ = !key_value.value.is_null();
  if (has_leader_) leader_ = decode_leader(key_value.value);
  leader_version_ = key_value.version;
}

// Converts the time of a cancellation to steady time. The record has the time of day, because the
// age of a cancellation has to remain known when the shard leader changes. The clocks of the writer
// and of this controller may both be wrong, hence the margin of twice the clock error.
double RecordCache::steady_time_of(double time_of_day) const {
  if (time_of_day <= 0) return never;
  const double age_s = std::max(loop_.unix_time() - time_of_day, 0.0);
  return loop_.now() - age_s - 2 * clock_error_s_;
}

void RecordCache::apply_job(const std::string& id, const KeyValue& key_value) {
  Job* known = job(id);
  if (known && key_value.version <= known->version) return;
  if (key_value.value.is_null()) {
    if (!known) return;
    // A job's record is removed only when the job is over. The removal doesn't show that the job is
    // done: the cache may have missed a cancellation between two loads. The final state is read on
    // demand.
    if (known->cancelled) cache_final_state(id, FinalState::cancelled);
    jobs_.remove(id);
    return;
  }
  const JobRecordState state = decode_job_state(key_value.value);
  if (!known) {
    auto spec = decode_job(key_value.value);
    if (!spec) {
      spdlog::error("record of job {} is invalid and is ignored: {}", id, spec.error());
      return;
    }
    known = &jobs_.add(id, std::move(*spec));
  }
  jobs_.update(*known, {key_value.version, state.chunk_size, state.chunk_layout, state.cancelled,
                        steady_time_of(state.cancelled_at)});
}

void RecordCache::apply_tombstone(const KeyValue& key_value) {
  const std::string& key = key_value.key;
  std::erase_if(tombstones_, [&](auto& tombstone) { return tombstone.second == key; });
  if (!key_value.value.is_object()) return;
  for (auto& machine : decode_tombstone(key_value.value)) tombstones_[machine] = key;
}

void RecordCache::apply_scale_out_request(const std::string& id, const KeyValue& key_value) {
  if (key_value.value.is_null()) {
    scale_out_requests_.erase(id);
  } else {
    scale_out_requests_[id] = {decode_scale_out_record(id, key_value.value), key_value.version};
  }
}

void RecordCache::apply_forwarded_exits(const std::string& controller, const KeyValue& key_value) {
  if (key_value.value.is_object()) {
    forwarded_exits_[controller] = decode_forwarded_exits(key_value.value);
  } else {
    forwarded_exits_.erase(controller);
  }
}

// Quota records are never removed: without the record, the team's limit would count as undivided.
void RecordCache::apply_quota(const std::string& team, const KeyValue& key_value) {
  auto& quota = quotas_[team];
  if (key_value.value.is_object() && key_value.version > quota.version)
    quota = {decode_quota(key_value.value), key_value.version};
}

}  // namespace damsonport
