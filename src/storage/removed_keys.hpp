/// Versions of recently removed keys. An outdated copy of a record, read before the record's
/// removal and applied later, must not restore the record.
#pragma once
#include <algorithm>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <utility>

namespace damsonport {

/// Keeps removals in two generations, which bounds the number of entries.
class RemovedKeys {
 public:
  /// `writes_per_s`: maximum write rate of the key-value store, which bounds the rate of removals.
  explicit RemovedKeys(double writes_per_s)
      : generation_size_(
            std::max(min_generation_size, static_cast<size_t>(writes_per_s * min_retention_s))) {}

  /// Records that the key was removed at this version.
  void record_removal(const std::string& key, uint64_t version) {
    // Drops only the older generation: a read in progress may still return a record that was
    // removed a moment ago.
    if (current_generation_.size() >= generation_size_)
      previous_generation_ = std::exchange(current_generation_, {});
    current_generation_[key] = version;
  }

  /// Whether this version of the key is not newer than its removal. A newer version deletes the
  /// entry of the removal.
  bool is_stale_write(const std::string& key, uint64_t version) {
    for (auto* generation : {&current_generation_, &previous_generation_}) {
      auto removed = generation->find(key);
      if (removed == generation->end()) continue;
      if (version <= removed->second) return true;
      generation->erase(removed);
    }
    return false;
  }

 private:
  // Minimum time for which a removal is kept, longer than a read waits for a response.
  static constexpr double min_retention_s = 5;
  static constexpr size_t min_generation_size = 4096;
  const size_t generation_size_;
  // Key -> version of the removal. The previous generation is dropped as a whole.
  std::unordered_map<std::string, uint64_t> current_generation_;
  std::unordered_map<std::string, uint64_t> previous_generation_;
};

}  // namespace damsonport
