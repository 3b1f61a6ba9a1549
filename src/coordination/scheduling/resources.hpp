/// Amounts of CPUs, accelerators and memory, and how many tasks fit into them.
#pragma once
#include <cstdint>

namespace damsonport::scheduling {

/// Amounts are sums and differences of decimal fractions. Differences below this are rounding
/// errors: 0.1 + 0.2 CPUs still fit into 0.3.
constexpr double resource_tolerance = 1e-6;

/// What a task needs, a machine has, or a team may use.
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

  /// Whether there is anything left in any dimension.
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

/// How many tasks that need `need` each fit into `capacity`. At most a million: the answer for a
/// task that needs nothing.
[[nodiscard]] uint32_t count_fitting(const Resources& need, const Resources& capacity);

}  // namespace damsonport::scheduling
