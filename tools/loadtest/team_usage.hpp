// What every team uses in all regions together, in memory that the regions' processes share, so
// that a limit is checked at the instant at which a task starts.
#pragma once
#include <atomic>
#include <cstddef>
#include <cstdint>

namespace damsonport::loadtest {

class TeamUsage {
 public:
  // Maps the memory; processes forked later share it.
  explicit TeamUsage(size_t teams);
  ~TeamUsage();
  TeamUsage(const TeamUsage&) = delete;
  TeamUsage& operator=(const TeamUsage&) = delete;

  struct Amounts {
    double cpus = 0, gpus = 0;
  };
  // Adds to what a team uses and yields the sum at that instant.
  Amounts add(size_t team, double cpus, double gpus);
  Amounts peak(size_t team) const;

 private:
  // In thousandths.
  struct Counters {
    std::atomic<int64_t> cpus, gpus, peak_cpus, peak_gpus;
  };
  static_assert(std::atomic<int64_t>::is_always_lock_free);
  size_t bytes_;
  Counters* counters_;
};

}  // namespace damsonport::loadtest
