#include "team_use.hpp"

#include <sys/mman.h>

#include <cmath>
#include <new>
#include <stdexcept>

namespace damsonport::loadtest {

namespace {

constexpr double unit = 1000;

int64_t in_units(double amount) { return std::llround(amount * unit); }

void raise_to(std::atomic<int64_t>& peak, int64_t value) {
  int64_t seen = peak.load();
  while (seen < value && !peak.compare_exchange_weak(seen, value)) {
  }
}

}  // namespace

TeamUse::TeamUse(size_t teams) : bytes_(sizeof(Row) * teams) {
  void* memory = mmap(nullptr, bytes_, PROT_READ | PROT_WRITE, MAP_SHARED | MAP_ANONYMOUS, -1, 0);
  if (memory == MAP_FAILED) throw std::runtime_error("no shared memory is to be had");
  rows_ = static_cast<Row*>(memory);
  for (size_t i = 0; i < teams; ++i) new (rows_ + i) Row{};
}

TeamUse::~TeamUse() { munmap(rows_, bytes_); }

TeamUse::Amounts TeamUse::add(size_t team, double cpus, double gpus) {
  Row& row = rows_[team];
  const int64_t c = row.cpus += in_units(cpus);
  const int64_t g = row.gpus += in_units(gpus);
  raise_to(row.peak_cpus, c);
  raise_to(row.peak_gpus, g);
  return {static_cast<double>(c) / unit, static_cast<double>(g) / unit};
}

TeamUse::Amounts TeamUse::peak(size_t team) const {
  return {static_cast<double>(rows_[team].peak_cpus) / unit,
          static_cast<double>(rows_[team].peak_gpus) / unit};
}

}  // namespace damsonport::loadtest
