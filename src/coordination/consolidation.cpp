#include "coordination/consolidation.hpp"

#include <algorithm>
#include <limits>
#include <vector>

namespace damsonport::consolidation {

namespace {

using placing::Amounts;
using placing::Input;
using placing::JobView;
using placing::LiveView;
using placing::MachineView;

// What it costs to move a task, in relation to a standing replica with accelerators.
constexpr double yielding_cost = 0.5, cpu_only_cost = 0.25;

template <class T>
bool contains(const std::vector<T>& list, const T& item) {
  return std::find(list.begin(), list.end(), item) != list.end();
}

// Goes elsewhere by itself, without a place being found for it beforehand.
bool yields(const JobView& job) { return job.spot && job.checkpoint_s > 0; }

class Search {
 public:
  Search(const Input& fleet, const Limits& limits) : fleet_(fleet), limits_(limits) {}

  std::optional<size_t> run() const {
    std::optional<size_t> best;
    double best_cost = std::numeric_limits<double>::infinity();
    for (size_t m = 0; m < fleet_.machines.size(); ++m) {
      auto& machine = fleet_.machines[m];
      if (!may_go(machine)) continue;
      const double cost = move_cost(machine) / machine.price_share;
      if (cost < best_cost && all_find_room(m)) best = m, best_cost = cost;
    }
    return best;
  }

 private:
  const JobView& job_of(const LiveView& task) const { return fleet_.jobs[task.job]; }

  bool may_go(const MachineView& machine) const {
    if (!machine.open || machine.spot || machine.live.empty()) return false;
    if (machine.price_share < limits_.least_price_share) return false;
    const bool dispensable = machine.total.gpus > 0 ? machine.total.gpus <= limits_.spare_gpus
                                                    : machine.total.cpus <= limits_.spare_cpus;
    return dispensable && used_share(machine) <= limits_.most_used_share &&
           std::all_of(machine.live.begin(), machine.live.end(),
                       [&](auto& task) { return may_move(task); });
  }

  bool may_move(const LiveView& task) const {
    auto& job = job_of(task);
    if (job.gang || job.cancelled || task.stopping) return false;
    const bool settled = fleet_.steady_now - task.since >= limits_.settled_s;
    return yields(job) || (job.service && settled);
  }

  // By tasks that don't give way, of accelerators or else of CPUs.
  double used_share(const MachineView& machine) const {
    Amounts used;
    for (auto& task : machine.live)
      if (!yields(job_of(task))) used += job_of(task).need;
    return machine.total.gpus > 0 ? used.gpus / machine.total.gpus
                                  : used.cpus / std::max(machine.total.cpus, 1e-9);
  }

  double move_cost(const MachineView& machine) const {
    double cost = 0;
    for (auto& task : machine.live) {
      auto& job = job_of(task);
      cost += yields(job) ? yielding_cost : job.need.gpus > 0 ? 1 : cpu_only_cost;
    }
    return cost;
  }

  bool suits(const JobView& job, const MachineView& machine) const {
    return machine.open && !machine.spot && !machine.live.empty() &&
           (job.types.empty() || contains(job.types, machine.type)) &&
           !contains(machine.bad_jobs, job.id) && placing::holds(machine, job.image);
  }

  // In the same zone, so that whatever a job's rules say of zones holds as before.
  bool all_find_room(size_t from) const {
    std::vector<Amounts> free;
    for (auto& machine : fleet_.machines) free.push_back(machine.free);
    for (auto& task : fleet_.machines[from].live) {
      auto& job = job_of(task);
      if (yields(job)) continue;
      const auto target = fullest_with_room(from, job, free);
      if (!target) return false;
      free[*target] -= job.need;
    }
    return true;
  }

  std::optional<size_t> fullest_with_room(size_t from, const JobView& job,
                                          const std::vector<Amounts>& free) const {
    std::optional<size_t> best;
    for (size_t m = 0; m < fleet_.machines.size(); ++m) {
      auto& machine = fleet_.machines[m];
      if (m == from || machine.zone != fleet_.machines[from].zone) continue;
      if (!job.need.fits(free[m]) || !suits(job, machine)) continue;
      if (!best || free[m].gpus < free[*best].gpus) best = m;
    }
    return best;
  }

  const Input& fleet_;
  const Limits& limits_;
};

}  // namespace

std::optional<size_t> machine_to_empty(const Input& fleet, const Limits& limits) {
  return Search(fleet, limits).run();
}

}  // namespace damsonport::consolidation
