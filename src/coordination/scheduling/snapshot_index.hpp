/// Maps jobs to their entries in SchedulerSnapshot::jobs. A job has one entry for each of its
/// gangs, or a single entry if it has no gangs. The entries of removed jobs are emptied and reused.
#pragma once
#include <unordered_map>
#include <vector>

#include "coordination/scheduling/scheduler.hpp"
#include "storage/record_cache.hpp"

namespace damsonport {

/// Owned by the SnapshotBuilder, together with the snapshot whose `jobs` are passed to the
/// functions.
class SnapshotIndex {
 public:
  using JobIndex = scheduling::JobIndex;

  /// The job and gang that an entry describes.
  struct Owner {
    Job* job = nullptr;  ///< null: the entry is empty
    uint32_t gang = 0;   ///< number of the gang within the job
  };

  /// Returns the job's entries in order of its gangs. Sets `created` if this call allocated them;
  /// the caller then has to fill them in.
  const std::vector<JobIndex>& get_or_create(Job& job, std::vector<scheduling::JobSnapshot>& jobs,
                                             bool& created);
  /// Empties the job's entries, if it has any, for reuse.
  void release(const Job* job, std::vector<scheduling::JobSnapshot>& jobs);
  /// The entry that contains a task of the job. The job must have entries.
  [[nodiscard]] JobIndex entry_of(const Job* job, uint32_t task) const;
  [[nodiscard]] const Owner& owner(JobIndex entry) const { return owners_[entry]; }
  void clear();

 private:
  std::unordered_map<const Job*, std::vector<JobIndex>> entries_;
  std::vector<Owner> owners_;  // by entry
  std::vector<size_t> free_;   // indexes of empty entries
};

/// Returns the index of an unused entry: one from the `free` list, or else a new one at the end of
/// `entries`.
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
