/// Capacity that is not free yet: used by tasks that are being stopped, on booting machines, or to
/// be freed by preemption. It is promised to pending tasks, so that nothing is preempted or scaled
/// out twice for the same need.
#pragma once
#include <cstdint>
#include <optional>

#include "coordination/scheduling/cycle_context.hpp"
#include "coordination/scheduling/preemption.hpp"

namespace damsonport::scheduling {

/// Where the capacity for a pending task comes from.
enum class ReservedCapacity : uint8_t {
  none,
  freeing,  ///< tasks are being stopped for it
  booting,  ///< a machine is starting up
};

class PendingCapacity {
 public:
  PendingCapacity(const CycleContext& context, Preemptor& preemptor)
      : context_(context), preemptor_(preemptor) {}

  /// Promises capacity to one more task of the job. Preempts tasks where nothing else is left.
  [[nodiscard]] ReservedCapacity reserve(JobIndex job);
  /// For a task whose fetch of the image on the best free machine would take `fetch_s`, at `score`:
  /// promises it capacity on a machine that has the image, if that is better. May preempt tasks.
  [[nodiscard]] bool reserve_with_cached_image(JobIndex job, double fetch_s, double score);

 private:
  /// Bounds on capacity beside a cached image.
  struct CachedImageBounds {
    double within_s;   // it has to be free by then
    double max_score;  // the machine has to score better
  };
  bool reserve_freeing(JobIndex job, const std::optional<CachedImageBounds>& cached_image_bounds);
  [[nodiscard]] bool has_image_within(JobIndex job, MachineIndex machine, double within_s) const;
  bool reserve_booting(JobIndex job);

  const CycleContext context_;
  Preemptor& preemptor_;
};

}  // namespace damsonport::scheduling
