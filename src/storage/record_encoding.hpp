/// Encodes the shared records as JSON values for the key-value store, and decodes them.
///
/// The field names are in record_fields.hpp. The decoders accept records written by any deployed
/// version of the program. Optional fields have defaults; a field of the wrong JSON type throws
/// Json::exception.
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

/// Encodes the record of a newly accepted job, whose tasks are divided into chunks of `chunk_size`.
/// decode_job() decodes the job's specification from the record, decode_job_state() the other
/// fields.
Json encode_job_record(const JobSpec& spec, uint32_t chunk_size);
JobRecordState decode_job_state(const Json& value);

/// `done`: number of the job's tasks that are done.
Json encode_final_state(FinalState state, uint64_t done);
FinalState decode_final_state(const Json& value);

Json encode_shard_table(const ShardTable& table);
ShardTable decode_shard_table(const Json& value);

Json encode_leader(const LeaderRecord& leader);
LeaderRecord decode_leader(const Json& value);

/// Encodes one entry of a ForwardedExits record. Callers measure the entry to find out how many
/// entries fit into the record.
Json encode_forwarded_exit(const ForwardedExit& exit);
Json encode_forwarded_exits(const ForwardedExits& forwarded);
ForwardedExits decode_forwarded_exits(const Json& value);

/// A tombstone lists machines that are being returned to the cloud, or were returned, and are never
/// used again.
Json encode_tombstone(const std::vector<std::string>& machines);
std::vector<std::string> decode_tombstone(const Json& value);

/// The stored form of a scale-out request. The request message to the cloud has another encoding.
Json encode_scale_out_record(const ScaleOutRequest& request);
ScaleOutRequest decode_scale_out_record(const std::string& id, const Json& value);

/// The program version that a controller has recorded.
Json encode_version(uint64_t version);
uint64_t decode_version(const Json& value);

}  // namespace damsonport
