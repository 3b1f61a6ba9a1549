// What is kept in the state service: key names, values and their bounds.
#pragma once
#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "protocol/messages.hpp"

namespace damsonport {

// Everything under one prefix is cached by every node; final states are read on demand.
namespace keys {
inline const std::string cached_prefix = "d/";
inline const std::string shard_table = "d/b";
inline const std::string leader = "d/l";
inline const std::string job_prefix = "d/j/";
inline const std::string chunk_prefix = "d/t/";
inline const std::string tombstone_prefix = "d/m/";
inline const std::string scale_out_request_prefix = "d/r/";
inline const std::string version_prefix = "d/v/";
inline const std::string forwarded_exits_prefix = "d/e/";
inline const std::string quota_prefix = "d/q/";
inline std::string job(const std::string& id) { return job_prefix + id; }
// `layout`: how often the job's tasks were divided anew. The first one's keys have no number of it.
inline std::string chunk(const std::string& id, uint32_t n, uint32_t chunk_layout = 0) {
  const std::string division = chunk_layout == 0 ? "" : std::to_string(chunk_layout) + "/";
  return chunk_prefix + id + "/" + division + std::to_string(n);
}
inline std::string tombstone(const std::string& batch) { return tombstone_prefix + batch; }
inline std::string scale_out_request(const std::string& id) {
  return scale_out_request_prefix + id;
}
inline std::string version(const std::string& controller) { return version_prefix + controller; }
inline std::string forwarded_exits(const std::string& controller) {
  return forwarded_exits_prefix + controller;
}
inline std::string quota(const std::string& team) { return quota_prefix + team; }
inline std::string final_state(const std::string& id) { return "f/" + id; }
}  // namespace keys

// What a job's record holds beside the job.
namespace fields {
inline constexpr const char* cancelled = "x";
inline constexpr const char* cancelled_at = "x_at";  // time of day
inline constexpr const char* chunk_size = "chunk";
inline constexpr const char* chunk_layout = "layout";
}  // namespace fields

// A value's size as the state service counts it: in the JSON form.
size_t stored_size(const Json& value);

// The tasks [first, first + size) of a job. Tasks below `next` that are neither waiting nor live
// are done; those from `next` on were never started. So the record's size is bounded by the
// chunk's size, however many tasks are done.
struct LiveTask {
  uint32_t index;
  uint64_t attempt;
  std::string machine;
};
struct WaitingTask {
  uint32_t index;
  uint64_t attempt;  // the last one used
};
// The first of the entries, which are in order of their tasks, that is not before this task.
template <class Entries>
auto first_from(Entries& entries, uint32_t index) {
  return std::lower_bound(entries.begin(), entries.end(), index,
                          [](const auto& entry, uint32_t i) { return entry.index < i; });
}

// What becomes of a task whose attempt is proven gone.
enum class TaskEnd : uint8_t { done, restart };

struct TaskChunk {
  uint32_t next = 0;                 // relative to the chunk
  std::vector<LiveTask> live;        // by index
  std::vector<WaitingTask> waiting;  // by index

  LiveTask* find_live(uint32_t index);
  // Index of the next task to start, and its next attempt; false when none is left.
  bool peek_startable(uint32_t size, uint32_t skip, uint32_t& index, uint64_t& attempt) const;
  // The task is neither live nor done.
  bool is_startable(uint32_t index) const;
  void start(uint32_t index, uint64_t attempt, const std::string& machine);
  // The attempt is proven gone: to be started again, or done.
  void end(uint32_t index, TaskEnd end);
  // The highest attempt that any of the tasks has had, as far as the record knows; 0: none.
  uint64_t last_attempt() const;
  bool finished(uint32_t size) const { return next == size && live.empty() && waiting.empty(); }
  uint32_t done_count() const { return next - static_cast<uint32_t>(live.size() + waiting.size()); }
};
// What stays of a job that is over.
enum class FinalState : uint8_t { done, cancelled };
Json encode_final_state(FinalState state, uint64_t done);
FinalState decode_final_state(const Json& value);
Json encode_chunk(const TaskChunk& c);
TaskChunk decode_chunk(const Json& m);
// The job, layout and number that a chunk's key names after its prefix.
struct ChunkName {
  std::string job;
  uint32_t chunk_layout = 0, number = 0;
};
std::optional<ChunkName> parse_chunk_name(std::string_view text);
// Whether the record may be written where values are bounded so, also with one more task live.
bool chunk_fits(const TaskChunk& record, double value_kb);

// A job's record, and whether it stays below `value_kb` for as long as the job exists.
Json encode_job_record(const JobSpec& spec, uint32_t chunk_size);
bool job_record_fits(const JobSpec& spec, double value_kb);
// Tasks in one chunk so that its record stays below `value_kb` whatever its state.
uint32_t chunk_size(double value_kb);

// Who may place and answer. `rest` is the grant of every machine and team not named in another.
struct ShardLease {
  std::string controller;
  uint64_t incarnation = 0;
  uint64_t fencing_token = 0;  // the token of this grant's workers
  std::vector<std::string> machines;
  bool covers_unassigned = false;
};
struct ShardTable {
  std::vector<ShardLease> leases;
  uint64_t renewals = 0;
};
Json encode_shard_table(const ShardTable& b);
ShardTable decode_shard_table(const Json& m);

// Machines whose marks fit into one value.
size_t machines_per_tombstone(double value_kb);
Json encode_tombstone(const std::vector<std::string>& machines);
Json encode_scale_out_record(const ScaleOutRequest& request);

// An exit that a controller other than the holder was told of by the machine.
struct ForwardedExit {
  std::string machine;
  TaskId task;
  uint64_t attempt = 0;
  ExitCause cause = ExitCause::none;  // stored as its number
  auto operator<=>(const ForwardedExit&) const = default;
};
struct ForwardedExits {
  uint64_t fencing_token = 0;  // that the machines had learned
  std::vector<ForwardedExit> exits;
};
Json encode_forwarded_exit(const ForwardedExit& e);
Json encode_forwarded_exits(const ForwardedExits& r);
ForwardedExits decode_forwarded_exits(const Json& m);

struct LeaderRecord {
  std::string controller;
  uint64_t incarnation = 0;
};
Json encode_leader(const LeaderRecord& l);
LeaderRecord decode_leader(const Json& m);

}  // namespace damsonport
