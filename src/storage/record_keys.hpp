/// Keys of the records in the key-value store.
///
/// Every key that the controllers share is built and parsed here. The key texts are part of the
/// stored data, which several versions of the program read during a rolling upgrade, so they never
/// change.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace damsonport {

namespace keys {

/// Every controller keeps all records under this prefix in its RecordCache. Final states have
/// another prefix because there are too many of them to cache; they are read on demand.
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
inline const std::string final_state_prefix = "f/";

inline std::string job(const std::string& id) { return job_prefix + id; }

/// Key of a task chunk. `layout` is the number of times that the job was rechunked; keys of the
/// first layout, 0, don't contain the layout.
inline std::string chunk(const std::string& job_id, uint32_t number, uint32_t layout = 0) {
  const std::string layout_part = layout == 0 ? "" : std::to_string(layout) + "/";
  return chunk_prefix + job_id + "/" + layout_part + std::to_string(number);
}
/// Common prefix of the keys of all chunks of a job, in every layout.
inline std::string chunks_of(const std::string& job_id) { return chunk_prefix + job_id + "/"; }

/// Key of a tombstone, which names a batch of machines.
inline std::string tombstone(const std::string& batch) { return tombstone_prefix + batch; }
inline std::string scale_out_request(const std::string& id) {
  return scale_out_request_prefix + id;
}
inline std::string version(const std::string& controller) { return version_prefix + controller; }
inline std::string forwarded_exits(const std::string& controller) {
  return forwarded_exits_prefix + controller;
}
inline std::string quota(const std::string& team) { return quota_prefix + team; }
inline std::string final_state(const std::string& job_id) { return final_state_prefix + job_id; }

}  // namespace keys

/// The kinds of records under `keys::cached_prefix`.
enum class RecordKind : uint8_t {
  shard_table,
  leader,
  job,
  chunk,
  tombstone,
  scale_out_request,
  version,
  forwarded_exits,
  quota,
};

/// A parsed record key.
struct RecordKey {
  RecordKind kind;
  std::string name;  // key without the prefix of the kind; empty for kinds with a single record
};
/// Parses the key of a record under `keys::cached_prefix`; nullopt for keys of a kind that this
/// version of the program doesn't know.
std::optional<RecordKey> parse_record_key(std::string_view key);

/// The parts of a chunk's key: job, layout and number.
struct ChunkName {
  std::string job;
  uint32_t chunk_layout = 0;  // number of times that the job was rechunked
  uint32_t number = 0;        // position of the chunk in its job, from 0
};
/// Parses a chunk's key without `keys::chunk_prefix`; nullopt when the text is malformed.
std::optional<ChunkName> parse_chunk_name(std::string_view text);

}  // namespace damsonport
