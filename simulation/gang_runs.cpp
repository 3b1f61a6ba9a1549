#include "simulation/gang_runs.hpp"

#include <cmath>

#include "simulation/simulated_fleet.hpp"

namespace damsonport::simulation {

namespace {
constexpr double min_run_s = 0.01;
}

const JobSpec& GangRuns::spec(const std::string& job) const { return *fleet_.rules().spec(job); }

std::vector<GangRuns::Member> GangRuns::members(const RunId& id) const {
  std::vector<Member> members;
  for (auto& [machine, worker] : fleet_.workers()) {
    if (worker->gone) continue;
    for (auto& [attempt, task] : worker->tasks())
      if (attempt.task.job == id.job && attempt.number == id.attempt &&
          task.report.state != TaskState::exited)
        members.push_back({worker.get(), attempt.task});
  }
  return members;
}

GangRuns::Run* GangRuns::find_running(const RunId& id) {
  auto it = runs_.find(id);
  if (it == runs_.end() || !it->second.is_running || it->second.has_ended) return nullptr;
  return &it->second;
}

double GangRuns::progress_s(const Run& run) const {
  return run.initial_progress_s + run.first_stop_at.value_or(world_.now()) - run.started_at;
}

int GangRuns::starts(const std::string& job) const {
  auto it = starts_.find(job);
  return it == starts_.end() ? 0 : it->second;
}

double GangRuns::lost_progress_s(const std::string& job) const {
  auto it = lost_progress_s_.find(job);
  return it == lost_progress_s_.end() ? 0 : it->second;
}

void GangRuns::on_task_ready(const TaskAttempt& attempt) {
  const RunId id{attempt.task.job, attempt.number};
  Run& run = runs_[id];
  if (run.is_running) return;  // the gang has started without this late task
  uint32_t ready = 0;
  for (auto& member : members(id))
    if (member.worker->is_ready_for_gang({member.task, id.attempt})) ++ready;
  if (ready >= spec(id.job).tasks) begin_run(id, run);
}

void GangRuns::begin_run(const RunId& id, Run& run) {
  run.is_running = true;
  run.started_at = world_.now();
  run.initial_progress_s = saved_progress_s_[id.job];
  ++starts_[id.job];
  for (auto& member : members(id)) member.worker->run_gang_task({member.task, id.attempt});
  const double remaining_s = std::max(fleet_.run_time(id.job) - run.initial_progress_s, min_run_s);
  run.completion = world_.in(remaining_s, [this, id] { complete(id); });
}

void GangRuns::complete(const RunId& id) {
  runs_[id].has_ended = true;
  end_tasks(id, ExitCause::done, false);
}

void GangRuns::revert_to_checkpoint(const RunId& id, Run& run) {
  run.has_ended = true;
  world_.cancel(run.completion);
  const double reached_s = progress_s(run);
  const double checkpoint_s = spec(id.job).checkpoint_s;
  double& saved_s = saved_progress_s_[id.job];
  if (checkpoint_s > 0)
    saved_s = std::max(saved_s, std::floor(reached_s / checkpoint_s) * checkpoint_s);
  lost_progress_s_[id.job] += std::max(reached_s - saved_s, 0.0);
}

void GangRuns::on_task_lost(const TaskAttempt& attempt) {
  const RunId id{attempt.task.job, attempt.number};
  Run* run = find_running(id);
  if (!run) return;
  revert_to_checkpoint(id, *run);
  const double detection_s = fleet_.settings.gang_peer_s * world_.uniform(0.4, 1.0);
  world_.in(detection_s, [this, id] { end_tasks(id, ExitCause::gang_member_lost, false); });
}

void GangRuns::end_tasks(const RunId& id, ExitCause cause, bool saved) {
  for (auto& member : members(id))
    member.worker->end_gang_task({member.task, id.attempt}, cause, saved);
}

GangRuns::StopResult GangRuns::stop_task(Worker& worker, const TaskAttempt& attempt,
                                         double grace_s) {
  const RunId id{attempt.task.job, attempt.number};
  Run* run = find_running(id);
  if (!run) return StopResult::gang_not_running;
  const JobSpec& job = spec(id.job);
  if (job.checkpoint_s <= 0 || grace_s < job.save_s) {
    // A second stop command without a grace period also ends a task that is saving.
    worker.end_gang_task(attempt, ExitCause::stopped, false);
    on_task_lost(attempt);
    return StopResult::gang_stops;
  }
  if (!run->first_stop_at) {
    run->first_stop_at = world_.now();
    world_.cancel(run->completion);
    world_.in(fleet_.settings.gang_peer_s, [this, id] { on_stop_timeout(id); });
  }
  if (run->stopped.insert(attempt.task).second && run->stopped.size() >= job.tasks)
    world_.in(job.save_s, [this, id] { save(id); });
  return StopResult::gang_stops;
}

void GangRuns::on_stop_timeout(const RunId& id) {
  Run& run = runs_[id];
  if (run.has_ended || run.stopped.size() >= spec(id.job).tasks) return;
  revert_to_checkpoint(id, run);
  end_tasks(id, ExitCause::gang_member_lost, false);
}

void GangRuns::save(const RunId& id) {
  Run& run = runs_[id];
  if (run.has_ended) return;
  run.has_ended = true;
  saved_progress_s_[id.job] = progress_s(run);
  end_tasks(id, ExitCause::stopped, true);
}

}  // namespace damsonport::simulation
