// What a machine costs a task, in seconds or what counts like them.
#include <cmath>

#include "coordination/scheduling/scheduling_cycle.hpp"

namespace damsonport::scheduling {

namespace {
constexpr double missed_cost = 25;  // seconds that a start later than expected counts for
// Seconds that the use of an empty machine counts for, which could else be given back: on the
// dearest type, on others in proportion to their price.
constexpr double opening_cost = 15;
}  // namespace

double SchedulingCycle::usable_gpus(const Resources& room) const {
  double n = std::max(room.gpus, 0.0);
  if (cpus_per_gpu_ > 0) n = std::min(n, room.cpus / cpus_per_gpu_);
  if (memory_per_gpu_ > 0) n = std::min(n, room.memory_gb / memory_per_gpu_);
  return std::max(n, 0.0);
}

double SchedulingCycle::image_delay(const JobSnapshot& job, const MachineSnapshot& m) const {
  double fetch = job.image_gb / std::max(m.fetch_gb_per_s, 1e-3);
  if (contains(m.fetching, job.image)) return fetch * 0.5;
  if (contains(m.images, job.image)) return 0;
  return fetch * (1.0 + static_cast<double>(m.fetching.size()));
}

double SchedulingCycle::miss_chance(double fetch, double within) {
  if (within <= 0 || fetch <= 0) return 0;
  const double least = fetch * 2 / 3, most = fetch * 4 / 3;
  return std::clamp((most - within) / (most - least), 0.0, 1.0);
}

bool SchedulingCycle::uses_empty_machine(size_t j, size_t m) const {
  auto& machine = in_.machines[m];
  if (!machine.live.empty() || replicas_[m] > 0) return false;
  // It was kept for such a start.
  return in_.jobs[j].start_within_s <= 0 || !has_image(machine, in_.jobs[j].image);
}

double SchedulingCycle::score(size_t j, size_t m, const Resources& room) const {
  auto& job = in_.jobs[j];
  auto& machine = in_.machines[m];
  double c = image_delay(job, machine);
  c += missed_cost * miss_chance(c, job.start_within_s);
  if (job.spot && !machine.spot) c += 3;  // what may use cheap machines leaves others free
  c += (1.0 - std::min(machine.speed, 1.0)) * 20;
  if (uses_empty_machine(j, m)) c += opening_cost * machine.price_share;
  // Replicas apart, so that one machine's loss takes few of them.
  if (job.service) c += 2.0 * replicas_[m];
  if (machine.total.gpus > 0 && job.need.gpus <= 0) {
    // Accelerators without CPUs or memory beside them are lost room. Where it can't be helped, it
    // is lost on machines that are of little use already, and not a little of it on each.
    c += 15;
    Resources left = room;
    left -= job.need;
    const double precedes = usable_gpus(room), after = usable_gpus(left);
    if (after < precedes - 1e-6) c += 30 + 5 * after;
    c += 1.0 / (1.0 + left.cpus);
  } else if (job.need.gpus > 0 && large_gpus_ > 0) {
    double left = room.gpus - job.need.gpus;
    double broken = std::floor(room.gpus / large_gpus_ + 1e-6) -
                    std::floor(left / large_gpus_ + 1e-6) - job.need.gpus / large_gpus_;
    if (broken > 1e-6) c += 4 * broken;
    c += 0.3 * left / std::max(machine.total.gpus, 1.0);
  } else {
    c += 0.5 * (room.cpus - job.need.cpus) / std::max(machine.total.cpus, 1.0);
  }
  return c;
}

}  // namespace damsonport::scheduling
