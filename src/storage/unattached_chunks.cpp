#include "storage/unattached_chunks.hpp"

namespace damsonport {

void UnattachedChunks::put(const KeyValue& chunk, ChunkUse use) {
  chunks_[chunk.key] = chunk;
  if (use == ChunkUse::orphaned) orphaned_.insert(chunk.key);
}

void UnattachedChunks::remove(const std::string& key) {
  chunks_.erase(key);
  orphaned_.erase(key);
}

std::optional<KeyValue> UnattachedChunks::take(const std::string& key) {
  auto chunk = chunks_.extract(key);
  if (chunk.empty()) return std::nullopt;
  orphaned_.erase(key);
  return std::move(chunk.mapped());
}

void UnattachedChunks::orphan_chunks_of(const std::string& job_id) {
  const auto prefix = keys::chunks_of(job_id);
  for (auto chunk = chunks_.lower_bound(prefix);
       chunk != chunks_.end() && chunk->first.starts_with(prefix); ++chunk)
    orphaned_.insert(chunk->first);
}

uint64_t UnattachedChunks::version(const std::string& key) const {
  auto chunk = chunks_.find(key);
  return chunk == chunks_.end() ? 0 : chunk->second.version;
}

}  // namespace damsonport
