/// Final states of jobs, of which the latest are remembered; the others are read on demand.
#pragma once
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "storage/record_types.hpp"

namespace damsonport {

class FinalStateCache {
 public:
  std::optional<FinalState> find(const std::string& job_id) const {
    auto it = states_.find(job_id);
    return it == states_.end() ? std::nullopt : std::optional(it->second);
  }

  /// A final state never changes: one that is known stays as it is.
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
  // Jobs in the order in which they were remembered: a ring once it is full.
  std::vector<std::string> insertion_order_;
  size_t oldest_index_ = 0;
};

}  // namespace damsonport
