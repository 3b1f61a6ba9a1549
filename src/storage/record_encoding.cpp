#include "storage/record_encoding.hpp"

#include <algorithm>

namespace damsonport {

Json encode_chunk(const TaskChunk& chunk) {
  Json value = {{fields::next_task, chunk.next}};
  if (!chunk.live.empty()) {
    auto& list = value[fields::live_tasks] = Json::array();
    for (auto& task : chunk.live) list.push_back({task.index, task.attempt, task.machine});
  }
  if (!chunk.waiting.empty()) {
    auto& list = value[fields::waiting_tasks] = Json::array();
    for (auto& task : chunk.waiting) list.push_back({task.index, task.attempt});
  }
  return value;
}

TaskChunk decode_chunk(const Json& value) {
  TaskChunk chunk;
  chunk.next = value.value(fields::next_task, 0u);
  if (auto list = value.find(fields::live_tasks); list != value.end())
    for (auto& entry : *list)
      chunk.live.push_back({entry.at(0).get<uint32_t>(), entry.at(1).get<uint64_t>(),
                            entry.at(2).get<std::string>()});
  if (auto list = value.find(fields::waiting_tasks); list != value.end())
    for (auto& entry : *list)
      chunk.waiting.push_back({entry.at(0).get<uint32_t>(), entry.at(1).get<uint64_t>()});
  return chunk;
}

Json encode_job_record(const JobSpec& spec, uint32_t chunk_size) {
  auto record = encode_job(spec);
  record[fields::chunk_size] = chunk_size;
  return record;
}

JobRecordState decode_job_state(const Json& value) {
  JobRecordState state;
  state.chunk_size = std::max(1u, value.value(fields::chunk_size, 1u));
  state.chunk_layout = value.value(fields::chunk_layout, 0u);
  state.cancelled = value.value(fields::cancelled, 0) != 0;
  if (state.cancelled) state.cancelled_at = value.value(fields::cancelled_at, 0.0);
  return state;
}

Json encode_final_state(FinalState state, uint64_t done) {
  const bool cancelled = state == FinalState::cancelled;
  return {{fields::final_state, cancelled ? fields::state_cancelled : fields::state_done},
          {fields::done_tasks, done}};
}

FinalState decode_final_state(const Json& value) {
  const bool done = value.value(fields::final_state, std::string()) == fields::state_done;
  return done ? FinalState::done : FinalState::cancelled;
}

namespace {

Json encode_lease(const ShardLease& lease) {
  Json value = {{fields::controller, lease.controller},
                {fields::incarnation, lease.incarnation},
                {fields::fencing_token, lease.fencing_token}};
  if (lease.covers_unassigned) value[fields::covers_unassigned] = true;
  if (!lease.machines.empty()) value[fields::machines] = lease.machines;
  if (lease.acquired_fencing_token != 0)
    value[fields::acquired_fencing_token] = lease.acquired_fencing_token;
  return value;
}

ShardLease decode_lease(const Json& value) {
  ShardLease lease;
  lease.controller = value.value(fields::controller, std::string());
  lease.incarnation = value.value(fields::incarnation, uint64_t{0});
  lease.fencing_token = value.value(fields::fencing_token, uint64_t{0});
  lease.covers_unassigned = value.value(fields::covers_unassigned, false);
  lease.acquired_fencing_token = value.value(fields::acquired_fencing_token, uint64_t{0});
  if (auto machines = value.find(fields::machines); machines != value.end())
    lease.machines = machines->get<std::vector<std::string>>();
  return lease;
}

// Position of the agent epoch in a stored exit. Versions that don't know it ignore it.
constexpr size_t agent_epoch_position = 5;

ForwardedExit decode_forwarded_exit(const Json& value) {
  const int cause = value.at(4).get<int>();
  // A cause that only a later version knows still ends the attempt, but never as a success.
  const bool known = cause > 0 && cause <= static_cast<int>(ExitCause::gang_incomplete);
  return {value.at(0).get<std::string>(),
          {value.at(1).get<std::string>(), value.at(2).get<uint32_t>()},
          value.at(3).get<uint64_t>(),
          known ? static_cast<ExitCause>(cause) : ExitCause::stopped,
          value.size() > agent_epoch_position ? value.at(agent_epoch_position).get<uint64_t>() : 0};
}

}  // namespace

Json encode_shard_table(const ShardTable& table) {
  Json leases = Json::array();
  for (auto& lease : table.leases) leases.push_back(encode_lease(lease));
  return {{fields::leases, std::move(leases)}, {fields::renewals, table.renewals}};
}

ShardTable decode_shard_table(const Json& value) {
  ShardTable table;
  table.renewals = value.value(fields::renewals, uint64_t{0});
  if (auto leases = value.find(fields::leases); leases != value.end())
    for (auto& lease : *leases) table.leases.push_back(decode_lease(lease));
  return table;
}

Json encode_leader(const LeaderRecord& leader) {
  return {{fields::controller, leader.controller}, {fields::incarnation, leader.incarnation}};
}

LeaderRecord decode_leader(const Json& value) {
  return {value.value(fields::controller, std::string()),
          value.value(fields::incarnation, uint64_t{0})};
}

Json encode_forwarded_exit(const ForwardedExit& exit) {
  Json value = {exit.machine, exit.task.job, exit.task.index, exit.attempt,
                static_cast<int>(exit.cause)};
  if (exit.agent_epoch != 0) value.push_back(exit.agent_epoch);
  return value;
}

Json encode_forwarded_exits(const ForwardedExits& forwarded) {
  Json list = Json::array();
  for (auto& exit : forwarded.exits) list.push_back(encode_forwarded_exit(exit));
  return {{fields::fencing_token, forwarded.fencing_token}, {fields::exits, std::move(list)}};
}

ForwardedExits decode_forwarded_exits(const Json& value) {
  ForwardedExits forwarded;
  forwarded.fencing_token = value.value(fields::fencing_token, uint64_t{0});
  if (auto exits = value.find(fields::exits); exits != value.end())
    for (auto& exit : *exits) forwarded.exits.push_back(decode_forwarded_exit(exit));
  return forwarded;
}

Json encode_tombstone(const std::vector<std::string>& machines) {
  return {{fields::machines, machines}};
}

std::vector<std::string> decode_tombstone(const Json& value) {
  return value.value(fields::machines, std::vector<std::string>());
}

Json encode_scale_out_record(const ScaleOutRequest& request) {
  return {{fields::machine_type, request.type},
          {fields::zone, request.zone},
          {fields::spot, request.spot},
          {fields::machine_count, request.count}};
}

ScaleOutRequest decode_scale_out_record(const std::string& id, const Json& value) {
  return {id, value.value(fields::machine_type, std::string()),
          value.value(fields::zone, std::string()), value.value(fields::spot, false),
          value.value(fields::machine_count, 0)};
}

Json encode_version(uint64_t version) { return {{fields::version, version}}; }

uint64_t decode_version(const Json& value) { return value.value(fields::version, uint64_t{0}); }

}  // namespace damsonport
