#include "storage/record_cache.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <span>

namespace damsonport {

namespace {
constexpr size_t max_finals = 8192;  // the rest is read back on demand
// Removals remembered against late copies of our own reads: at least so many, and all of so many
// seconds, which is longer than a read waits for its answer.
constexpr size_t least_removals_kept = 4096;
constexpr double removals_kept_s = 5;
const std::map<Assignment, uint64_t> no_assignments;
}  // namespace

bool Job::all_started(uint32_t chunk) const {
  auto it = chunks.find(chunk);
  if (it == chunks.end()) return false;
  const TaskChunk& record = it->second.record;
  return record.next == size_of(chunk) && record.waiting.empty();
}

namespace {
// The entries of a record whose tasks lie in [first, end), by their index within the chunk.
template <class Entry>
std::span<const Entry> entries_within(const std::vector<Entry>& entries, uint32_t first,
                                      uint32_t end) {
  return {first_from(entries, first), first_from(entries, end)};
}

// Calls `use` with each written chunk that has tasks of the range, the chunk's number, and the part
// of the range that lies in it.
template <class Use>
void for_each_chunk(const Job& job, TaskRange range, Use use) {
  for (auto it = job.chunks.lower_bound(range.first / job.chunk_size); it != job.chunks.end();
       ++it) {
    const uint32_t start = it->first * job.chunk_size;
    if (start >= range.end()) return;
    const uint32_t first = std::max(range.first, start) - start;
    const uint32_t end = std::min(range.end() - start, job.chunk_size);
    use(it->second.record, it->first, TaskRange{first, end - first});
  }
}
}  // namespace

std::vector<PlacedTask> Job::live_tasks(TaskRange range) const {
  std::vector<PlacedTask> out;
  for_each_chunk(*this, range, [&](const TaskChunk& record, uint32_t n, TaskRange within) {
    for (auto& task : entries_within(record.live, within.first, within.end()))
      out.push_back({{spec.id, n * chunk_size + task.index}, task.attempt, task.machine});
  });
  return out;
}

TaskRangeSummary Job::summarize(TaskRange range) const {
  TaskRangeSummary out;
  for_each_chunk(*this, range, [&](const TaskChunk& record, uint32_t, TaskRange within) {
    const auto running = entries_within(record.live, within.first, within.end());
    const auto waiting = entries_within(record.waiting, within.first, within.end());
    for (auto& task : running) {
      out.has_mixed_attempts |= out.live_attempt != 0 && out.live_attempt != task.attempt;
      out.live_attempt = std::max(out.live_attempt, task.attempt);
    }
    for (auto& task : waiting) out.last_attempt = std::max(out.last_attempt, task.attempt);
    const uint32_t started = std::clamp(record.next, within.first, within.end()) - within.first;
    const auto unfinished = static_cast<uint32_t>(running.size() + waiting.size());
    out.live += static_cast<uint32_t>(running.size());
    out.done += started - unfinished;
  });
  out.last_attempt = std::max(out.last_attempt, out.live_attempt);
  return out;
}

RecordCache::RecordCache(Loop& loop, KeyValueClient& store, double min_watch_gap_s,
                         double clock_off_s, double writes_per_s)
    : loop_(loop),
      store_(store),
      min_watch_gap_s_(min_watch_gap_s),
      clock_off_s_(clock_off_s),
      max_removed_(
          std::max(least_removals_kept, static_cast<size_t>(writes_per_s * removals_kept_s))) {}

Job* RecordCache::job(const std::string& id) {
  auto it = jobs_.find(id);
  return it == jobs_.end() ? nullptr : it->second.get();
}

const FinalState* RecordCache::final_state(const std::string& id) const {
  auto it = finals_.find(id);
  return it == finals_.end() ? nullptr : &it->second;
}

void RecordCache::remember_final(const std::string& id, FinalState state) {
  if (!finals_.emplace(id, state).second) return;
  if (final_order_.size() < max_finals) {
    final_order_.push_back(id);
    return;
  }
  finals_.erase(final_order_[final_next_]);
  final_order_[final_next_] = id;
  final_next_ = (final_next_ + 1) % max_finals;
}

const std::map<Assignment, uint64_t>& RecordCache::assigned(const std::string& machine) const {
  auto it = assigned_.find(machine);
  return it == assigned_.end() ? no_assignments : it->second;
}

bool RecordCache::places(const TaskId& task, uint64_t attempt, const std::string& machine) {
  Job* placed = job(task.job);
  if (!placed) return false;
  auto& tasks = assigned(machine);
  auto it = tasks.find({placed, task.index});
  return it != tasks.end() && it->second == attempt;
}

uint64_t RecordCache::chunk_version(const std::string& id, uint32_t chunk) const {
  auto it = jobs_.find(id);
  if (it == jobs_.end()) return 0;
  auto c = it->second->chunks.find(chunk);
  return c == it->second->chunks.end() ? 0 : c->second.version;
}

uint64_t RecordCache::unattached_version(const std::string& key) const {
  auto it = unattached_chunks_.find(key);
  return it == unattached_chunks_.end() ? 0 : it->second.version;
}

void RecordCache::apply_writes(const std::vector<Write>& writes, uint64_t revision) {
  for (auto& w : writes)
    if (w.key.starts_with(keys::cached_prefix)) apply({w.key, w.value, revision, w.lease});
}

void RecordCache::apply(const KeyValue& key_value) {
  const std::string& key = key_value.key;
  if (is_stale_write(key_value)) return;
  auto tail = [&](const std::string& prefix) { return key.substr(prefix.size()); };
  if (key.starts_with(keys::job_prefix)) {
    apply_job(tail(keys::job_prefix), key_value);
  } else if (key.starts_with(keys::chunk_prefix)) {
    apply_chunk(tail(keys::chunk_prefix), key_value);
  } else if (key == keys::shard_table) {
    if (key_value.version <= shard_table_version_) return;
    shard_table_ = key_value.value.is_null() ? ShardTable{} : decode_shard_table(key_value.value);
    shard_table_version_ = key_value.version;
  } else if (key == keys::leader) {
    if (key_value.version <= leader_version_) return;
    has_leader_ = !key_value.value.is_null();
    if (has_leader_) leader_ = decode_leader(key_value.value);
    leader_version_ = key_value.version;
  } else if (key.starts_with(keys::tombstone_prefix)) {
    std::erase_if(tombstones_, [&](auto& mark) { return mark.second == key; });
    if (key_value.value.is_object())
      for (auto& id : key_value.value.value("machines", std::vector<std::string>()))
        tombstones_[id] = key;
  } else if (key.starts_with(keys::scale_out_request_prefix)) {
    auto id = tail(keys::scale_out_request_prefix);
    if (key_value.value.is_null()) {
      scale_out_requests_.erase(id);
    } else {
      auto& v = key_value.value;
      scale_out_requests_[id] = {
          {id, v.value("type", std::string()), v.value("zone", std::string()),
           v.value("spot", false), v.value("count", 0)},
          key_value.version};
    }
  } else if (key.starts_with(keys::forwarded_exits_prefix)) {
    if (key_value.value.is_object()) {
      forwarded_exits_[tail(keys::forwarded_exits_prefix)] =
          decode_forwarded_exits(key_value.value);
    } else {
      forwarded_exits_.erase(tail(keys::forwarded_exits_prefix));
    }
  } else if (key.starts_with(keys::quota_prefix)) {
    apply_quota(tail(keys::quota_prefix), key_value);
  } else if (key.starts_with(keys::version_prefix)) {
    if (key_value.value.is_object())
      versions_[tail(keys::version_prefix)] = key_value.value.value("v", uint64_t{0});
  }
  if (key_value.value.is_null() && key_value.version) {
    // Never all at once: a read under way just now may bring what was removed a moment ago.
    if (removed_.size() >= max_removed_) removed_before_ = std::exchange(removed_, {});
    removed_[key] = key_value.version;
  }
}

bool RecordCache::is_stale_write(const KeyValue& key_value) {
  for (auto* removed : {&removed_, &removed_before_}) {
    auto it = removed->find(key_value.key);
    if (it == removed->end()) continue;
    if (key_value.version <= it->second) return true;
    removed->erase(it);
  }
  return false;
}

// Never removed: without it the team's limit would count as undivided.
void RecordCache::apply_quota(const std::string& team, const KeyValue& key_value) {
  auto& quota = quotas_[team];
  if (key_value.value.is_object() && key_value.version > quota.version)
    quota = {decode_quota(key_value.value), key_value.version};
}

void RecordCache::apply_job(const std::string& id, const KeyValue& key_value) {
  if (key_value.value.is_null()) {
    // A job's record goes only when it is over. That it is done is not inferred from that: a
    // cancellation may have been missed between two loads. The final state is read on demand.
    if (auto* gone = job(id); gone && key_value.version > gone->version) {
      if (gone->cancelled) remember_final(id, FinalState::cancelled);
      drop_job(id);
    }
    return;
  }
  auto& slot = jobs_[id];
  if (slot && key_value.version <= slot->version) return;
  const uint32_t chunk_size = std::max(1u, key_value.value.value(fields::chunk_size, 1u));
  const uint32_t chunk_layout = key_value.value.value(fields::chunk_layout, 0u);
  if (!slot) {
    auto spec = decode_job(key_value.value);
    if (!spec) {
      spdlog::error("the record of {} can't be read: {}", id, spec.error());
      jobs_.erase(id);
      return;
    }
    slot = std::make_unique<Job>();
    slot->spec = std::move(*spec);
  }
  // Divided anew: the chunks of the new layout were all written before the job's record.
  if (slot->chunk_layout != chunk_layout) detach_chunks(*slot);
  slot->chunk_size = chunk_size;
  slot->chunk_layout = chunk_layout;
  slot->version = key_value.version;
  slot->cancelled = key_value.value.value(fields::cancelled, 0) != 0;
  if (slot->cancelled) {
    // The age outlives holders, by the time of day, whose error counts against us twice.
    const double at = key_value.value.value(fields::cancelled_at, 0.0);
    slot->cancelled_since =
        at > 0 ? loop_.now() - std::max(loop_.wall() - at, 0.0) - 2 * clock_off_s_ : -1e9;
  }
  Job* added = slot.get();
  attach_chunks(*added);
  if (on_change) on_change(added);
}

void RecordCache::attach_chunks(Job& job) {
  for (uint32_t n = 0; n < job.chunk_count() && !unattached_chunks_.empty(); ++n) {
    auto loose = unattached_chunks_.find(job.chunk_key(n));
    if (loose == unattached_chunks_.end()) continue;
    orphaned_chunks_.erase(loose->first);
    set_chunk(job, n, decode_chunk(loose->second.value), loose->second.version);
    unattached_chunks_.erase(loose);
  }
}

void RecordCache::apply_chunk(const std::string& rest, const KeyValue& key_value) {
  const auto name = parse_chunk_name(rest);
  if (!name) return;
  auto* owner = job(name->job);
  if (!owner || owner->chunk_layout != name->chunk_layout) {
    if (key_value.value.is_null()) {
      unattached_chunks_.erase(key_value.key);
      orphaned_chunks_.erase(key_value.key);
      return;
    }
    unattached_chunks_[key_value.key] = key_value;
    // One of a later layout waits for its job to take it.
    if (!owner || name->chunk_layout < owner->chunk_layout) orphaned_chunks_.insert(key_value.key);
    return;
  }
  auto it = owner->chunks.find(name->number);
  if (it != owner->chunks.end() && key_value.version <= it->second.version) return;
  // A chunk is removed only together with or after its job.
  if (key_value.value.is_null()) return;
  set_chunk(*owner, name->number, decode_chunk(key_value.value), key_value.version);
  if (on_change) on_change(owner);
}

void RecordCache::assign(Job& job, uint32_t index, const LiveTask& task, bool add) {
  auto& on = assigned_[task.machine];
  const Assignment key{&job, index};
  if (add) {
    on[key] = task.attempt;
  } else {
    on.erase(key);
    if (on.empty()) assigned_.erase(task.machine);
  }
  if (on_assignment) on_assignment(task.machine, job, add);
}

// Only what differs is touched: a change of one task must not cost as much as the whole chunk.
void RecordCache::set_chunk(Job& job, uint32_t n, TaskChunk record, uint64_t version) {
  auto& chunk = job.chunks[n];
  const uint32_t base = n * job.chunk_size;
  TaskChunk before = std::exchange(chunk.record, std::move(record));
  chunk.version = version;
  job.live += chunk.record.live.size() - before.live.size();
  job.done += chunk.record.done_count() - before.done_count();
  auto same = [](const LiveTask* a, const LiveTask& b) {
    return a && a->attempt == b.attempt && a->machine == b.machine;
  };
  for (auto& t : before.live)
    if (!same(chunk.record.find_live(t.index), t)) assign(job, base + t.index, t, false);
  for (auto& t : chunk.record.live)
    if (!same(before.find_live(t.index), t)) assign(job, base + t.index, t, true);
}

void RecordCache::detach_chunks(Job& job) {
  for (auto& [n, chunk] : job.chunks) {
    const uint64_t version = chunk.version;
    const TaskChunk left = chunk.record;
    set_chunk(job, n, {}, version);
    unattached_chunks_[job.chunk_key(n)] = {job.chunk_key(n), encode_chunk(left), version, 0};
    orphaned_chunks_.insert(job.chunk_key(n));
  }
  job.chunks.clear();
}

void RecordCache::drop_job(const std::string& id) {
  auto it = jobs_.find(id);
  Job& job = *it->second;
  detach_chunks(job);
  // Those of a layout that it never took go as well.
  const auto prefix = keys::chunk_prefix + id + "/";
  for (auto loose = unattached_chunks_.lower_bound(prefix);
       loose != unattached_chunks_.end() && loose->first.starts_with(prefix); ++loose)
    orphaned_chunks_.insert(loose->first);
  if (on_job_gone) on_job_gone(&job);
  jobs_.erase(it);
  if (on_change) on_change(nullptr);
}

Task<bool> RecordCache::load(std::stop_token stop_token) {
  std::string after;
  uint64_t first = 0;
  double begun = 0;
  std::set<std::string> seen;
  for (;;) {
    if (!first) begun = loop_.now();
    auto page = co_await store_.range(keys::cached_prefix, after, RequestPriority::scheduling);
    if (!page.ok) {
      if (auto times = warning_.note("unreadable", loop_.now()))
        spdlog::warn("the state service can't be read yet ({} times)", *times);
      if (!co_await Sleep(loop_, loop_.uniform(0.1, 0.4), stop_token)) co_return false;
      continue;
    }
    // The watch starts from the first page: what changes while the others are read comes again.
    if (!first) first = page.revision;
    for (auto& key_value : page.key_values) {
      seen.insert(key_value.key);
      apply(key_value);
      after = key_value.key;
    }
    if (!page.more || page.key_values.empty()) break;
  }
  // After a gap in the watch, what is gone from the listing was removed meanwhile.
  std::vector<std::string> gone;
  for (auto& [id, job] : jobs_)
    if (!seen.contains(keys::job(id)) && job->version <= first) gone.push_back(keys::job(id));
  for (auto& [id, rental] : scale_out_requests_)
    if (!seen.contains(keys::scale_out_request(id)) && rental.version <= first)
      gone.push_back(keys::scale_out_request(id));
  for (auto& key : orphaned_chunks_)
    if (!seen.contains(key)) gone.push_back(key);
  for (auto& [controller, exits] : forwarded_exits_)
    if (!seen.contains(keys::forwarded_exits(controller)))
      gone.push_back(keys::forwarded_exits(controller));
  for (auto& key : gone) apply({key, Json(), first, 0});
  if (!seen.contains(keys::leader)) apply({keys::leader, Json(), first, 0});
  warning_.clear();
  revision_ = first;
  as_of_ = begun;
  co_return true;
}

Task<void> RecordCache::follow(std::stop_token stop_token) {
  while (!stop_token.stop_requested()) {
    if (!loaded_) {
      if (!co_await load(stop_token)) co_return;
      loaded_ = true;
      spdlog::info("state loaded up to revision {}: {} jobs", revision_, jobs_.size());
      if (on_change) on_change(nullptr);
    }
    double opened = loop_.now();
    auto news = co_await store_.watch(keys::cached_prefix, revision_, 10.0);
    if (stop_token.stop_requested()) co_return;
    if (news.ok) {
      for (auto& key_value : news.key_values) {
        // All the changes of one transaction share a revision; none may be skipped half-way.
        apply(key_value);
      }
      revision_ = std::max(revision_, news.revision);
      as_of_ = opened;
      if (!news.key_values.empty() && on_change) on_change(nullptr);
    } else if (news.too_old) {
      spdlog::info("the watch fell behind at revision {}: loading anew", revision_);
      loaded_ = false;
    }
    // Changes that come close together arrive in one answer.
    double gap = news.ok ? min_watch_gap_s_ : loop_.uniform(0.1, 0.3);
    double rest = opened + gap - loop_.now();
    if (rest > 0 && !co_await Sleep(loop_, rest, stop_token)) co_return;
  }
}

}  // namespace damsonport
