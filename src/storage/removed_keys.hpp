/// Versions of the keys that were removed lately, so that an older copy of a record, read before
/// the removal and applied after it, doesn't bring the record back.
#pragma once
#include <algorithm>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <utility>

namespace damsonport {

class RemovedKeys {
 public:
  /// `writes_per_s`: the most that the key-value store takes.
  explicit RemovedKeys(double writes_per_s)
      : generation_size_(
            std::max(min_generation_size, static_cast<size_t>(writes_per_s * min_retention_s))) {}

  void record_removal(const std::string& key, uint64_t version) {
    // Never all at once: a read under way may bring what was removed a moment ago.
    if (current_generation_.size() >= generation_size_)
      previous_generation_ = std::exchange(current_generation_, {});
    current_generation_[key] = version;
  }

  /// Whether this version of the key is older than its removal. A newer one ends the note of
  /// it.
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
  // Removals are kept at least for this long, which is longer than a read waits for its answer.
  static constexpr double min_retention_s = 5;
  static constexpr size_t min_generation_size = 4096;
  const size_t generation_size_;
  // Two generations, of which the older one is dropped as a whole.
  std::unordered_map<std::string, uint64_t> current_generation_;
  std::unordered_map<std::string, uint64_t> previous_generation_;
};

}  // namespace damsonport
