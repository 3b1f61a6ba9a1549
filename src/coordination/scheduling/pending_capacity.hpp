/// Capacity that is not free yet: capacity that stopping tasks still use, capacity of booting
/// machines, and capacity that preemption can free. It is reserved for pending tasks, so that no
/// tasks are preempted and no machines are scaled out twice for the same need.
#pragma once
#include <cstdint>
#include <optional>

#include "coordination/scheduling/cycle_context.hpp"
#include "coordination/scheduling/preemption.hpp"

namespace damsonport::scheduling {

/// Kind of capacity that was reserved for a pending task.
enum class ReservedCapacity : uint8_t {
  none,     ///< nothing was reserved
  freeing,  ///< on a machine whose tasks are being stopped
  booting,  ///< on a booting machine
};

/// Used for one scheduling cycle. The preemptor has to outlive the object.
class PendingCapacity {
 public:
  PendingCapacity(const CycleContext& context, Preemptor& preemptor)
      : context_(context), preemptor_(preemptor) {}

  /// Reserves capacity for one more task of the job. May preempt tasks.
  [[nodiscard]] ReservedCapacity reserve(JobIndex job);
  /// Reserves capacity for one more task of the job on a machine that has the job's image cached,
  /// if that is better than starting now on the best machine with free capacity. `fetch_s`: time
  /// in seconds that the image fetch on that machine would take. `score`: score of that machine.
  /// May preempt tasks.
  [[nodiscard]] bool reserve_with_cached_image(JobIndex job, double fetch_s, double score);

 private:
  /// Requirements for capacity on a machine with the cached image.
  struct CachedImageBounds {
    double within_s;   // seconds in which the capacity has to be free
    double max_score;  // the machine's score has to be lower
  };
  bool reserve_freeing(JobIndex job, const std::optional<CachedImageBounds>& cached_image_bounds);
  /// Whether the machine has the job's image cached and its stopping tasks end within `within_s`.
  [[nodiscard]] bool has_image_within(JobIndex job, MachineIndex machine, double within_s) const;
  bool reserve_booting(JobIndex job);

  const CycleContext context_;
  Preemptor& preemptor_;
};

}  // namespace damsonport::scheduling
