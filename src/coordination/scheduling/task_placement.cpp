#include "coordination/scheduling/task_placement.hpp"

#include <algorithm>
#include <vector>

namespace damsonport::scheduling {

namespace {

// A start that misses its objective with a lower probability than this isn't worth a preemption.
constexpr double bearable_miss_probability = 0.25;

// Whether an urgent start should not wait for a fetch of its image.
bool prefers_cached_image(const JobSnapshot& job) {
  return job.priority >= urgent_priority && job.start_within_s > 0 && !job.faulty;
}

}  // namespace

struct TaskPlacer::Candidate {
  double score;
  MachineIndex machine;
};

/// Machines with free capacity for a task: the best score on top, among equals the first machine.
class TaskPlacer::CandidateHeap {
 public:
  explicit CandidateHeap(std::vector<Candidate> candidates) : candidates_(std::move(candidates)) {
    std::make_heap(candidates_.begin(), candidates_.end(), is_worse);
  }
  [[nodiscard]] bool empty() const { return candidates_.empty(); }
  [[nodiscard]] const Candidate& top() const { return candidates_.front(); }
  void push(const Candidate& candidate) {
    candidates_.push_back(candidate);
    std::push_heap(candidates_.begin(), candidates_.end(), is_worse);
  }
  void pop() {
    std::pop_heap(candidates_.begin(), candidates_.end(), is_worse);
    candidates_.pop_back();
  }

 private:
  static bool is_worse(const Candidate& left, const Candidate& right) {
    if (left.score != right.score) return left.score > right.score;
    return left.machine > right.machine;
  }

  std::vector<Candidate> candidates_;
};

void TaskPlacer::place(JobIndex job) {
  const JobSnapshot& pending = context_.snapshot.jobs[job];
  if (!context_.feasibility.quota_allows(job, 1)) return;
  Progress progress;
  if (!classes_.is_known_unschedulable(pending)) {
    progress = place_on_free(job);
    if (progress.started < pending.waiting && context_.feasibility.quota_allows(job, 1))
      classes_.mark_unschedulable(pending);
  }
  if (pending.faulty) return;
  place_on_pending(job, pending.waiting - progress.started, progress.promised);
}

void TaskPlacer::place_on_pending(JobIndex job, uint32_t unplaced, uint32_t promised) {
  uint32_t on_booting = 0;
  while (unplaced > 0 && context_.feasibility.quota_allows(job, 1)) {
    switch (pending_capacity_.promise(job)) {
      case PromisedCapacity::freeing:
        ++promised;
        break;
      case PromisedCapacity::booting:
        ++on_booting;
        break;
      case PromisedCapacity::none:
        context_.report_unschedulable(job, unplaced + on_booting, promised);
        return;
    }
    --unplaced;
  }
  context_.report_unschedulable(job, on_booting, promised);
}

TaskPlacer::CandidateHeap TaskPlacer::score_candidates(JobIndex job) {
  const Resources& need = context_.snapshot.jobs[job].need;
  const std::vector<Resources>& free = context_.state.ledger.free;
  context_.decisions.examined += context_.snapshot.machines.size();
  std::vector<Candidate> candidates;
  for (MachineIndex machine; machine < context_.snapshot.machines.size(); ++machine) {
    if (!need.fits(free[machine]) || !context_.feasibility.is_feasible(job, machine)) continue;
    candidates.push_back({context_.scorer.score(job, machine, free[machine]), machine});
  }
  return CandidateHeap(std::move(candidates));
}

bool TaskPlacer::promise_beside_image(JobIndex job, const Candidate& best) {
  return pending_capacity_.promise_beside_image(
      job, image_delay(context_.snapshot.jobs[job], context_.snapshot.machines[best.machine]),
      best.score);
}

TaskPlacer::Progress TaskPlacer::place_on_free(JobIndex job) {
  const JobSnapshot& pending = context_.snapshot.jobs[job];
  std::vector<Resources>& free = context_.state.ledger.free;
  CandidateHeap heap = score_candidates(job);
  Progress progress;
  bool beside_image = prefers_cached_image(pending);  // until no such capacity is found
  while (progress.started < pending.waiting && !heap.empty() &&
         context_.feasibility.quota_allows(job, 1)) {
    const MachineSnapshot& best = context_.snapshot.machines[heap.top().machine];
    if (beside_image && miss_probability(image_delay(pending, best), pending.start_within_s) >
                            bearable_miss_probability) {
      beside_image = promise_beside_image(job, heap.top());
      if (beside_image) {
        ++progress.started;
        ++progress.promised;
        continue;
      }
    }
    const MachineIndex machine = heap.top().machine;
    heap.pop();
    ++context_.decisions.examined;
    if (!context_.feasibility.zone_allows(job, best.zone)) continue;
    context_.state.occupy(job, machine);
    free[machine] -= pending.need;
    context_.decisions.starts.push_back({job, machine});
    ++progress.started;
    if (pending.need.fits(free[machine]))
      heap.push({context_.scorer.score(job, machine, free[machine]), machine});
  }
  return progress;
}

}  // namespace damsonport::scheduling
