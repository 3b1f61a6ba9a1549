/// Field names of the stored records.
///
/// The field names are part of the stored data and never change. The identifiers here are the terms
/// that the code uses for the fields (docs/glossary.md).
#pragma once

namespace damsonport::fields {

// Job record: the fields other than those of the job's specification.
inline constexpr const char* cancelled = "x";
inline constexpr const char* cancelled_at = "x_at";  // seconds since the epoch
inline constexpr const char* chunk_size = "chunk";
inline constexpr const char* chunk_layout = "layout";

// Task chunk: the first task that was never started, and the live and the waiting tasks.
inline constexpr const char* next_task = "n";
inline constexpr const char* live_tasks = "l";
inline constexpr const char* waiting_tasks = "w";

// Final state.
inline constexpr const char* final_state = "s";
inline constexpr const char* done_tasks = "n";
inline constexpr const char* state_done = "done";
inline constexpr const char* state_cancelled = "aborted";

// Shard table, shard leases, leader and forwarded exits.
inline constexpr const char* leases = "grants";
inline constexpr const char* renewals = "renewals";
inline constexpr const char* controller = "node";
inline constexpr const char* incarnation = "inc";
inline constexpr const char* fencing_token = "term";
inline constexpr const char* acquired_fencing_token = "first";
inline constexpr const char* covers_unassigned = "rest";
inline constexpr const char* machines = "machines";  // also in tombstones
inline constexpr const char* exits = "exits";

// Scale-out request.
inline constexpr const char* machine_type = "type";
inline constexpr const char* zone = "zone";
inline constexpr const char* spot = "spot";
inline constexpr const char* machine_count = "count";

// Program version of a controller.
inline constexpr const char* version = "v";

// Quota of a team in this region.
inline constexpr const char* initial_quota = "initial";
inline constexpr const char* sent_quota = "sent";
inline constexpr const char* received_quota = "received";

}  // namespace damsonport::fields
