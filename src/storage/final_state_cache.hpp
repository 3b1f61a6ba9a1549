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
  void remember(const std::string& job_id, FinalState state) {
    if (!states_.emplace(job_id, state).second) return;
    if (order_.size() < max_states) {
      order_.push_back(job_id);
      return;
    }
    states_.erase(order_[oldest_]);
    order_[oldest_] = job_id;
    oldest_ = (oldest_ + 1) % max_states;
  }

 private:
  static constexpr size_t max_states = 8192;
  std::unordered_map<std::string, FinalState> states_;
  // Jobs in the order in which they were remembered: a ring once it is full.
  std::vector<std::string> order_;
  size_t oldest_ = 0;
};

}  // namespace damsonport
