#include "coordination/scheduling/snapshot_index.hpp"

#include <algorithm>

#include "coordination/scheduling/gangs.hpp"

namespace damsonport {

const std::vector<scheduling::JobIndex>& SnapshotIndex::get_or_create(
    Job& job, std::vector<scheduling::JobSnapshot>& jobs, bool& created) {
  auto [it, added] = entries_.try_emplace(&job);
  created = added;
  if (!added) return it->second;
  const uint32_t count = std::max(gang_count(job.spec), 1U);
  for (uint32_t gang = 0; gang < count; ++gang) {
    const JobIndex entry(allocate_index(free_, jobs));
    owners_.resize(jobs.size());
    owners_[entry] = {&job, gang};
    it->second.push_back(entry);
  }
  return it->second;
}

void SnapshotIndex::release(const Job* job, std::vector<scheduling::JobSnapshot>& jobs) {
  const auto it = entries_.find(job);
  if (it == entries_.end()) return;
  for (const JobIndex entry : it->second) {
    jobs[entry] = {};
    owners_[entry] = {};
    free_.push_back(entry);
  }
  entries_.erase(it);
}

scheduling::JobIndex SnapshotIndex::entry_of(const Job* job, uint32_t task) const {
  return entries_.at(job)[gang_of(job->spec, task)];
}

void SnapshotIndex::clear() {
  entries_.clear();
  owners_.clear();
  free_.clear();
}

}  // namespace damsonport
