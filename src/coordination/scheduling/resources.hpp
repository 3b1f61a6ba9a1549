/// Amounts of CPUs, accelerators and memory, and the number of tasks that fit into a capacity.
#pragma once
#include <cstdint>

namespace damsonport::scheduling {

/// Comparisons of amounts ignore differences up to this value. Amounts are sums and differences of
/// decimal fractions and carry rounding errors: a need of 0.1 + 0.2 CPUs has to fit into 0.3.
constexpr double resource_tolerance = 1e-6;

/// The need of a task, the capacity of a machine, or the quota or usage of a team.
struct Resources {
  double cpus = 0;
  double gpus = 0;
  double memory_gb = 0;

  /// Whether this amount fits into `capacity` in all three dimensions.
  [[nodiscard]] bool fits(const Resources& capacity) const {
    return cpus <= capacity.cpus + resource_tolerance &&
           gpus <= capacity.gpus + resource_tolerance &&
           memory_gb <= capacity.memory_gb + resource_tolerance;
  }

  /// Whether the amount is positive in any dimension.
  [[nodiscard]] bool any() const { return cpus > 0 || gpus > 0 || memory_gb > 0; }

  Resources& operator+=(const Resources& other) {
    cpus += other.cpus;
    gpus += other.gpus;
    memory_gb += other.memory_gb;
    return *this;
  }

  Resources& operator-=(const Resources& other) {
    cpus -= other.cpus;
    gpus -= other.gpus;
    memory_gb -= other.memory_gb;
    return *this;
  }
};

[[nodiscard]] inline Resources operator+(Resources left, const Resources& right) {
  left += right;
  return left;
}

[[nodiscard]] inline Resources operator-(Resources left, const Resources& right) {
  left -= right;
  return left;
}

[[nodiscard]] inline Resources operator*(const Resources& one, double times) {
  return {one.cpus * times, one.gpus * times, one.memory_gb * times};
}

/// Number of tasks with the need `need` that fit into `capacity`. The result is at most a million,
/// which is also the result for a need of zero.
[[nodiscard]] uint32_t count_fitting(const Resources& need, const Resources& capacity);

}  // namespace damsonport::scheduling
