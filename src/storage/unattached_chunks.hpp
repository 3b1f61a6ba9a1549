/// Task chunks that belong to no known job, or to a layout that their job doesn't have.
///
/// A chunk is read before its job where a listing returns it earlier in the order of keys, and
/// before its job has the chunk's layout while the job is being rechunked. Chunks that no job can
/// use any more are orphaned.
#pragma once
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "storage/key_value.hpp"
#include "storage/record_keys.hpp"

namespace damsonport {

/// Whether a job may still use an unattached chunk.
enum class ChunkUse : uint8_t { expected, orphaned };

/// The unattached chunks of a JobIndex, which decides about the use of each chunk.
class UnattachedChunks {
 public:
  /// Adds the chunk or replaces its earlier version.
  void put(const KeyValue& chunk, ChunkUse use);
  void remove(const std::string& key);
  /// Removes the chunk and returns it, to be attached to its job; nullopt when it isn't unattached.
  std::optional<KeyValue> take(const std::string& key);
  /// Marks all unattached chunks of a removed job as orphaned.
  void orphan_chunks_of(const std::string& job_id);

  bool empty() const { return chunks_.empty(); }
  /// Version of the chunk. The version is 0 when the chunk isn't unattached; in a precondition, 0
  /// states that the key is absent.
  uint64_t version(const std::string& key) const;
  /// Keys of the orphaned chunks, which are to be removed from the store.
  const std::set<std::string>& orphaned() const { return orphaned_; }

 private:
  std::map<std::string, KeyValue> chunks_;
  std::set<std::string> orphaned_;
};

}  // namespace damsonport
