/// Names of the fields of stored records, in one place.
///
/// They are part of the stored data and never change; the identifiers here are the terms that the
/// code uses for them (docs/glossary.md).
#pragma once

namespace damsonport::fields {

// Of a job's record, beside the fields of the job itself.
inline constexpr const char* cancelled = "x";
inline constexpr const char* cancelled_at = "x_at";  // time of day, seconds
inline constexpr const char* chunk_size = "chunk";
inline constexpr const char* chunk_layout = "layout";

// Of a chunk: the first task that was never started, and the tasks that are live or waiting.
inline constexpr const char* next_task = "n";
inline constexpr const char* live_tasks = "l";
inline constexpr const char* waiting_tasks = "w";

// Of a final state.
inline constexpr const char* final_state = "s";
inline constexpr const char* done_tasks = "n";
inline constexpr const char* state_done = "done";
inline constexpr const char* state_cancelled = "aborted";

// Of the shard table and its leases, of the leader and of forwarded exits.
inline constexpr const char* leases = "grants";
inline constexpr const char* renewals = "renewals";
inline constexpr const char* controller = "node";
inline constexpr const char* incarnation = "inc";
inline constexpr const char* fencing_token = "term";
inline constexpr const char* covers_unassigned = "rest";
inline constexpr const char* machines = "machines";  // of tombstones as well
inline constexpr const char* exits = "exits";

// Of a scale-out request.
inline constexpr const char* machine_type = "type";
inline constexpr const char* zone = "zone";
inline constexpr const char* spot = "spot";
inline constexpr const char* machine_count = "count";

// Of a controller's version.
inline constexpr const char* version = "v";

// Of a team's quota in this region.
inline constexpr const char* initial_quota = "initial";
inline constexpr const char* sent_quota = "sent";
inline constexpr const char* received_quota = "received";

}  // namespace damsonport::fields
