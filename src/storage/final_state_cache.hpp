/// Bounded cache of the final states of jobs. The cache keeps the states that were inserted last;
/// other states are read from the key-value store on demand.
#pragma once
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "storage/record_types.hpp"

namespace damsonport {

/// The final states of up to `max_states` jobs, by job ID.
class FinalStateCache {
 public:
  /// Returns the job's final state, or nullopt when the cache doesn't have it.
  std::optional<FinalState> find(const std::string& job_id) const {
    auto it = states_.find(job_id);
    return it == states_.end() ? std::nullopt : std::optional(it->second);
  }

  /// Inserts a final state and evicts the oldest one when the cache is full. A state that the cache
  /// already has is kept, because a final state never changes.
  void insert(const std::string& job_id, FinalState state) {
    if (!states_.emplace(job_id, state).second) return;
    if (insertion_order_.size() < max_states) {
      insertion_order_.push_back(job_id);
      return;
    }
    states_.erase(insertion_order_[oldest_index_]);
    insertion_order_[oldest_index_] = job_id;
    oldest_index_ = (oldest_index_ + 1) % max_states;
  }

 private:
  static constexpr size_t max_states = 8192;
  std::unordered_map<std::string, FinalState> states_;
  // Job IDs in the order of insertion; a ring buffer once the cache is full.
  std::vector<std::string> insertion_order_;
  size_t oldest_index_ = 0;
};

}  // namespace damsonport
