#include "coordination/scheduling/snapshot_index.hpp"

#include <algorithm>

#include "coordination/scheduling/gangs.hpp"

namespace damsonport {

const std::vector<size_t>& SnapshotIndex::take(Job& job,
                                               std::vector<scheduling::JobSnapshot>& views,
                                               bool& fresh) {
  auto [it, added] = slots_.try_emplace(&job);
  fresh = added;
  if (!added) return it->second;
  const uint32_t count = std::max(gang_count(job.spec), 1U);
  for (uint32_t gang = 0; gang < count; ++gang) {
    const size_t slot = take_slot(free_, views);
    owners_.resize(views.size());
    owners_[slot] = {&job, gang};
    it->second.push_back(slot);
  }
  return it->second;
}

void SnapshotIndex::release(const Job* job, std::vector<scheduling::JobSnapshot>& views) {
  auto it = slots_.find(job);
  if (it == slots_.end()) return;
  for (size_t slot : it->second) {
    views[slot] = {};
    owners_[slot] = {};
    free_.push_back(slot);
  }
  slots_.erase(it);
}

size_t SnapshotIndex::of(const Job* job, uint32_t task) const {
  return slots_.at(job)[gang_of(job->spec, task)];
}

void SnapshotIndex::clear() {
  slots_.clear();
  owners_.clear();
  free_.clear();
}

}  // namespace damsonport
