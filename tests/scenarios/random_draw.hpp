/// Random draws for generated scenarios.
#pragma once
#include <cstdint>
#include <random>
#include <string>

namespace damsonport::simulation {

/// A generator of random values. Equal seeds give equal sequences of values.
class RandomDraw {
 public:
  explicit RandomDraw(uint64_t seed) : random_(seed) {}
  /// Draws a number between `low` and `high`.
  double uniform(double low, double high) {
    return std::uniform_real_distribution<double>(low, high)(random_);
  }
  /// Draws an integer from 0 to `bound` - 1.
  int below(int bound) { return std::uniform_int_distribution<int>(0, bound - 1)(random_); }
  /// Returns true with this probability.
  bool chance(double probability) { return uniform(0, 1) < probability; }
  /// Draws one of the words with equal probability.
  template <class... T>
  std::string one_of(T... words) {
    const char* all[] = {words...};
    return all[below(static_cast<int>(sizeof...(words)))];
  }

 private:
  std::mt19937_64 random_;
};

}  // namespace damsonport::simulation
