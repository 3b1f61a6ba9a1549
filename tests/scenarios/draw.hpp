// Draws for scenarios, the same for the same seed.
#pragma once
#include <cstdint>
#include <random>
#include <string>

namespace damsonport::simulation {

class Draw {
 public:
  explicit Draw(uint64_t seed) : random_(seed) {}
  double between(double low, double high) {
    return std::uniform_real_distribution<double>(low, high)(random_);
  }
  int upto(int n) { return std::uniform_int_distribution<int>(0, n - 1)(random_); }
  bool chance(double p) { return between(0, 1) < p; }
  template <class... T>
  std::string of(T... words) {
    const char* all[] = {words...};
    return all[upto(static_cast<int>(sizeof...(words)))];
  }

 private:
  std::mt19937_64 random_;
};

}  // namespace damsonport::simulation
