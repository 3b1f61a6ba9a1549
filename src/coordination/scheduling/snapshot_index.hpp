/// Which entries of SchedulerSnapshot::jobs belong to which job: one for each of its gangs, or a
/// single one. Entries of jobs that are gone stay empty until they are used again.
#pragma once
#include <unordered_map>
#include <vector>

#include "coordination/scheduling/scheduler.hpp"
#include "storage/record_cache.hpp"

namespace damsonport {

/// Owned by the shard leader, beside the snapshot whose `jobs` it is passed.
class SnapshotIndex {
 public:
  using JobIndex = scheduling::JobIndex;

  struct Owner {
    Job* job = nullptr;  ///< null: the entry is empty
    uint32_t gang = 0;   ///< the number of the gang within the job
  };

  /// The job's entries, by gang. `created`: they were created by this call and are to be filled in.
  const std::vector<JobIndex>& get_or_create(Job& job, std::vector<scheduling::JobSnapshot>& jobs,
                                             bool& created);
  /// Empties the job's entries, if it has any.
  void release(const Job* job, std::vector<scheduling::JobSnapshot>& jobs);
  /// The entry of one of the job's tasks. The job has to have its entries.
  [[nodiscard]] JobIndex entry_of(const Job* job, uint32_t task) const;
  [[nodiscard]] const Owner& owner(JobIndex entry) const { return owners_[entry]; }
  void clear();

 private:
  std::unordered_map<const Job*, std::vector<JobIndex>> entries_;
  std::vector<Owner> owners_;  // by entry
  std::vector<size_t> free_;   // empty entries
};

/// Position of an unused entry: one that became free, or a new one at the end.
template <class T>
[[nodiscard]] size_t allocate_index(std::vector<size_t>& free, std::vector<T>& entries) {
  if (free.empty()) {
    entries.emplace_back();
    return entries.size() - 1;
  }
  const size_t index = free.back();
  free.pop_back();
  return index;
}

}  // namespace damsonport
