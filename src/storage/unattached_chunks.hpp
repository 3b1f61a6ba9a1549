/// Chunks that belong to no known job, or to a layout that their job doesn't have.
///
/// Chunks arrive before their job when a listing is read in the order of keys, and before their
/// layout when a job is rechunked. Those that can't come into use any more are orphaned.
#pragma once
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "storage/key_value.hpp"
#include "storage/record_keys.hpp"

namespace damsonport {

enum class ChunkUse : uint8_t { expected, orphaned };

class UnattachedChunks {
 public:
  void put(const KeyValue& chunk, ChunkUse use);
  void remove(const std::string& key);
  /// Takes the chunk out, for its job; nothing when it isn't here.
  std::optional<KeyValue> take(const std::string& key);
  /// The job is gone: none of its chunks can come into use any more.
  void orphan_chunks_of(const std::string& job_id);

  bool empty() const { return chunks_.empty(); }
  /// Version of the chunk; 0, by which a precondition says that a key is absent, when it isn't
  /// here.
  uint64_t version(const std::string& key) const;
  /// Keys of chunks that are to be removed from the store.
  const std::set<std::string>& orphaned() const { return orphaned_; }

 private:
  std::map<std::string, KeyValue> chunks_;
  std::set<std::string> orphaned_;
};

}  // namespace damsonport
