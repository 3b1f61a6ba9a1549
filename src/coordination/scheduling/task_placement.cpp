#include "coordination/scheduling/task_placement.hpp"

#include <algorithm>
#include <vector>

namespace damsonport::scheduling {

namespace {

// Tasks are preempted for a start-up objective only if the probability of missing the objective is
// higher than this.
constexpr double max_miss_probability = 0.25;

// Whether capacity on a machine with the cached image should be freed for the job, so that its
// start doesn't have to wait for an image fetch.
bool prefers_cached_image(const JobSnapshot& job) {
  return job.priority >= urgent_priority && job.start_within_s > 0 && !job.faulty;
}

}  // namespace

/// A machine with free capacity for a task of the job.
struct TaskPlacer::Candidate {
  double score;
  MachineIndex machine;
};

/// Candidates ordered by score, the best on top. Among equal scores the lower machine index comes
/// first.
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
    progress = place_on_free_capacity(job);
    if (progress.started < pending.pending_tasks && context_.feasibility.quota_allows(job, 1))
      classes_.mark_unschedulable(pending);
  }
  if (pending.faulty) return;
  reserve_pending_capacity(job, pending.pending_tasks - progress.started, progress.reserved);
}

void TaskPlacer::reserve_pending_capacity(JobIndex job, uint32_t unplaced, uint32_t reserved) {
  uint32_t on_booting = 0;
  while (unplaced > 0 && context_.feasibility.quota_allows(job, 1)) {
    switch (pending_capacity_.reserve(job)) {
      case ReservedCapacity::freeing:
        ++reserved;
        break;
      case ReservedCapacity::booting:
        ++on_booting;
        break;
      case ReservedCapacity::none:
        context_.report_unschedulable(job, unplaced + on_booting, reserved);
        return;
    }
    --unplaced;
  }
  context_.report_unschedulable(job, on_booting, reserved);
}

TaskPlacer::CandidateHeap TaskPlacer::score_candidates(JobIndex job) {
  const Resources& need = context_.snapshot.jobs[job].need;
  const std::vector<Resources>& free = context_.state.ledger.free;
  context_.decisions.machines_examined += context_.snapshot.machines.size();
  std::vector<Candidate> candidates;
  for (MachineIndex machine; machine < context_.snapshot.machines.size(); ++machine) {
    if (!need.fits(free[machine]) || !context_.feasibility.is_feasible(job, machine)) continue;
    candidates.push_back({context_.scorer.score(job, machine, free[machine]), machine});
  }
  return CandidateHeap(std::move(candidates));
}

bool TaskPlacer::reserve_with_cached_image(JobIndex job, const Candidate& best) {
  return pending_capacity_.reserve_with_cached_image(
      job, image_delay(context_.snapshot.jobs[job], context_.snapshot.machines[best.machine]),
      best.score);
}

TaskPlacer::Progress TaskPlacer::place_on_free_capacity(JobIndex job) {
  const JobSnapshot& pending = context_.snapshot.jobs[job];
  std::vector<Resources>& free = context_.state.ledger.free;
  CandidateHeap heap = score_candidates(job);
  Progress progress;
  bool prefer_cached_image = prefers_cached_image(pending);  // until none can be freed
  while (progress.started < pending.pending_tasks && !heap.empty() &&
         context_.feasibility.quota_allows(job, 1)) {
    const MachineSnapshot& best = context_.snapshot.machines[heap.top().machine];
    if (prefer_cached_image && miss_probability(image_delay(pending, best),
                                                pending.start_within_s) > max_miss_probability) {
      prefer_cached_image = reserve_with_cached_image(job, heap.top());
      if (prefer_cached_image) {
        ++progress.started;
        ++progress.reserved;
        continue;
      }
    }
    const MachineIndex machine = heap.top().machine;
    heap.pop();
    ++context_.decisions.machines_examined;
    if (!context_.feasibility.zone_allows(job, best.zone)) continue;
    context_.state.add_task(job, machine);
    free[machine] -= pending.need;
    context_.decisions.placements.push_back({job, machine});
    ++progress.started;
    if (pending.need.fits(free[machine]))
      heap.push({context_.scorer.score(job, machine, free[machine]), machine});
  }
  return progress;
}

}  // namespace damsonport::scheduling
