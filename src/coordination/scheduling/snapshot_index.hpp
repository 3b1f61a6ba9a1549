// Which places in placement's view a job has: one for each of its gangs, else a single one. Places
// of jobs that are gone stay empty until they are used again.
#pragma once
#include <unordered_map>
#include <vector>

#include "coordination/scheduling/scheduler.hpp"
#include "storage/record_cache.hpp"

namespace damsonport {

class SnapshotIndex {
 public:
  struct Owner {
    Job* job = nullptr;  // null: the place is empty
    uint32_t gang = 0;
  };
  // The job's places, taken now where it has none yet; `fresh` tells which.
  const std::vector<size_t>& take(Job& job, std::vector<scheduling::JobSnapshot>& views,
                                  bool& fresh);
  void release(const Job* job, std::vector<scheduling::JobSnapshot>& views);
  // Where the job's task is counted; the job has its places.
  size_t of(const Job* job, uint32_t task) const;
  const Owner& owner(size_t slot) const { return owners_[slot]; }
  void clear();

 private:
  std::unordered_map<const Job*, std::vector<size_t>> slots_;
  std::vector<Owner> owners_;
  std::vector<size_t> free_;
};

// A place that became free, or a new one at the end.
template <class T>
size_t take_slot(std::vector<size_t>& free, std::vector<T>& places) {
  if (free.empty()) {
    places.emplace_back();
    return places.size() - 1;
  }
  const size_t slot = free.back();
  free.pop_back();
  return slot;
}

}  // namespace damsonport
