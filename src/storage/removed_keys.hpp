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
      : generation_size_(std::max(min_kept, static_cast<size_t>(writes_per_s * kept_s))) {}

  void note(const std::string& key, uint64_t version) {
    // Never all at once: a read under way may bring what was removed a moment ago.
    if (newest_.size() >= generation_size_) before_ = std::exchange(newest_, {});
    newest_[key] = version;
  }

  /// Whether this version of the key is older than its removal. A newer one ends the note of it.
  bool is_stale_write(const std::string& key, uint64_t version) {
    for (auto* generation : {&newest_, &before_}) {
      auto removed = generation->find(key);
      if (removed == generation->end()) continue;
      if (version <= removed->second) return true;
      generation->erase(removed);
    }
    return false;
  }

 private:
  // Removals are kept at least for this long, which is longer than a read waits for its answer.
  static constexpr double kept_s = 5;
  static constexpr size_t min_kept = 4096;
  const size_t generation_size_;
  // Two generations, of which the older one is dropped as a whole.
  std::unordered_map<std::string, uint64_t> newest_;
  std::unordered_map<std::string, uint64_t> before_;
};

}  // namespace damsonport
