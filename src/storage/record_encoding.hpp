/// Encoding of the shared records as the values that the key-value store keeps.
///
/// Field names are in record_fields.hpp. Decoders accept what any deployed version has written.
#pragma once
#include <string>
#include <vector>

#include "protocol/messages.hpp"
#include "storage/record_fields.hpp"
#include "storage/record_types.hpp"
#include "storage/task_chunk.hpp"

namespace damsonport {

Json encode_chunk(const TaskChunk& chunk);
TaskChunk decode_chunk(const Json& value);

/// The record of a job that was just accepted. Its specification is read by decode_job().
Json encode_job_record(const JobSpec& spec, uint32_t chunk_size);
JobRecordState decode_job_state(const Json& value);

/// `done`: how many of the job's tasks are done.
Json encode_final_state(FinalState state, uint64_t done);
FinalState decode_final_state(const Json& value);

Json encode_shard_table(const ShardTable& table);
ShardTable decode_shard_table(const Json& value);

Json encode_leader(const LeaderRecord& leader);
LeaderRecord decode_leader(const Json& value);

/// One entry of a record of forwarded exits, for measuring how many fit.
Json encode_forwarded_exit(const ForwardedExit& exit);
Json encode_forwarded_exits(const ForwardedExits& forwarded);
ForwardedExits decode_forwarded_exits(const Json& value);

/// A tombstone: machines that are being returned, or were, and are never used again.
Json encode_tombstone(const std::vector<std::string>& machines);
std::vector<std::string> decode_tombstone(const Json& value);

/// A scale-out request as stored; the message to the cloud is another one.
Json encode_scale_out_record(const ScaleOutRequest& request);
ScaleOutRequest decode_scale_out_record(const std::string& id, const Json& value);

/// The version of the program that a controller has recorded.
Json encode_version(uint64_t version);
uint64_t decode_version(const Json& value);

}  // namespace damsonport
