// Draws for scenarios, the same for the same seed.
#pragma once
#include <cstdint>
#include <random>
#include <string>

namespace damsonport::simulation {

class RandomDraw {
 public:
  explicit RandomDraw(uint64_t seed) : random_(seed) {}
  double uniform(double low, double high) {
    return std::uniform_real_distribution<double>(low, high)(random_);
  }
  int below(int bound) { return std::uniform_int_distribution<int>(0, bound - 1)(random_); }
  bool chance(double probability) { return uniform(0, 1) < probability; }
  template <class... T>
  std::string one_of(T... words) {
    const char* all[] = {words...};
    return all[below(static_cast<int>(sizeof...(words)))];
  }

 private:
  std::mt19937_64 random_;
};

}  // namespace damsonport::simulation
