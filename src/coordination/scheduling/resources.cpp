#include "coordination/scheduling/resources.hpp"

#include <algorithm>
#include <cmath>

namespace damsonport::scheduling {

namespace {

constexpr double max_count = 1e6;  // above the task count of any job

double count_in_dimension(double need, double capacity) {
  if (need <= 0) return max_count;
  return std::floor(capacity / need + resource_tolerance);
}

}  // namespace

uint32_t count_fitting(const Resources& need, const Resources& capacity) {
  const double count = std::min({max_count, count_in_dimension(need.cpus, capacity.cpus),
                                 count_in_dimension(need.gpus, capacity.gpus),
                                 count_in_dimension(need.memory_gb, capacity.memory_gb)});
  return static_cast<uint32_t>(std::max(count, 0.0));
}

}  // namespace damsonport::scheduling
