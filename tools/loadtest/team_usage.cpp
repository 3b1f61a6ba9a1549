#include "team_usage.hpp"

#include <sys/mman.h>

#include <cmath>
#include <new>
#include <stdexcept>

namespace damsonport::loadtest {

namespace {

constexpr double thousandths_per_unit = 1000;

int64_t to_thousandths(double amount) { return std::llround(amount * thousandths_per_unit); }

// Sets the peak to the value if the value is larger.
void raise_to(std::atomic<int64_t>& peak, int64_t value) {
  int64_t seen = peak.load();
  while (seen < value && !peak.compare_exchange_weak(seen, value)) {
  }
}

}  // namespace

TeamUsage::TeamUsage(size_t teams) : bytes_(sizeof(Counters) * teams) {
  void* memory = mmap(nullptr, bytes_, PROT_READ | PROT_WRITE, MAP_SHARED | MAP_ANONYMOUS, -1, 0);
  if (memory == MAP_FAILED) throw std::runtime_error("cannot map shared memory");
  counters_ = static_cast<Counters*>(memory);
  for (size_t i = 0; i < teams; ++i) new (counters_ + i) Counters{};
}

TeamUsage::~TeamUsage() { munmap(counters_, bytes_); }

TeamUsage::Amounts TeamUsage::add(size_t team, double cpus, double gpus) {
  Counters& counters = counters_[team];
  const int64_t c = counters.cpus += to_thousandths(cpus);
  const int64_t g = counters.gpus += to_thousandths(gpus);
  raise_to(counters.peak_cpus, c);
  raise_to(counters.peak_gpus, g);
  return {static_cast<double>(c) / thousandths_per_unit,
          static_cast<double>(g) / thousandths_per_unit};
}

TeamUsage::Amounts TeamUsage::peak(size_t team) const {
  return {static_cast<double>(counters_[team].peak_cpus) / thousandths_per_unit,
          static_cast<double>(counters_[team].peak_gpus) / thousandths_per_unit};
}

}  // namespace damsonport::loadtest
