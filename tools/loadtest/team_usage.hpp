/// The CPUs and accelerators that every team uses in all regions together. The counters are in
/// memory that the regions' processes share, so that a limit can be checked at the moment a task
/// starts.
#pragma once
#include <atomic>
#include <cstddef>
#include <cstdint>

namespace damsonport::loadtest {

/// Safe to use from several processes at once. Teams are given by their index.
class TeamUsage {
 public:
  /// Maps the memory, which processes that are forked later share. Throws if it can't be mapped.
  explicit TeamUsage(size_t teams);
  ~TeamUsage();
  TeamUsage(const TeamUsage&) = delete;
  TeamUsage& operator=(const TeamUsage&) = delete;

  struct Amounts {
    double cpus = 0, gpus = 0;
  };
  /// Adds to the team's usage, or subtracts if negative, and returns the usage right after it.
  Amounts add(size_t team, double cpus, double gpus);
  /// The largest usage so far, for CPUs and accelerators independently.
  Amounts peak(size_t team) const;

 private:
  // In thousandths of a CPU or an accelerator.
  struct Counters {
    std::atomic<int64_t> cpus, gpus, peak_cpus, peak_gpus;
  };
  static_assert(std::atomic<int64_t>::is_always_lock_free);
  size_t bytes_;
  Counters* counters_;
};

}  // namespace damsonport::loadtest
