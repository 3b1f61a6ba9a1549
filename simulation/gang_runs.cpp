#include "simulation/gang_runs.hpp"

#include <cmath>

#include "simulation/fleet.hpp"

namespace damsonport::simulation {

std::vector<GangRuns::Member> GangRuns::members(const Key& key) const {
  std::vector<Member> out;
  for (auto& [id, worker] : fleet_.workers()) {
    if (worker->gone) continue;
    for (auto& [attempt, task] : worker->tasks())
      if (attempt.first.job == key.first && attempt.second == key.second &&
          task.report.state != TaskState::exited)
        out.push_back({worker.get(), attempt.first});
  }
  return out;
}

double GangRuns::progress(const Run& run) const {
  const double until = run.first_halt >= 0 ? run.first_halt : world_.now();
  return run.progress + until - run.begun_at;
}

int GangRuns::starts(const std::string& job) const {
  auto it = starts_.find(job);
  return it == starts_.end() ? 0 : it->second;
}

double GangRuns::lost_progress(const std::string& job) const {
  auto it = lost_progress_.find(job);
  return it == lost_progress_.end() ? 0 : it->second;
}

void GangRuns::arrived(const TaskId& task, uint64_t attempt) {
  const Key key{task.job, attempt};
  auto& run = runs_[key];
  if (run.running) return;  // too late: it waits alone
  uint32_t ready = 0;
  for (auto& m : members(key)) ready += m.worker->ready_for_gang(m.task, attempt);
  if (ready < fleet_.rules().spec(task.job)->tasks) return;
  run.running = true;
  run.begun_at = world_.now();
  run.progress = saved_[task.job];
  ++starts_[task.job];
  for (auto& m : members(key)) m.worker->run_gang_task(m.task, attempt);
  const double left = std::max(fleet_.run_time(task.job) - run.progress, 0.01);
  run.completion = world_.in(left, [this, key] { complete(key); });
}

void GangRuns::complete(const Key& key) {
  runs_[key].ended = true;
  for (auto& m : members(key)) m.worker->end_gang_task(m.task, key.second, ExitCause::done, false);
}

void GangRuns::fall_back(const Key& key, Run& run) {
  run.ended = true;
  world_.cancel(run.completion);
  const double reached = progress(run);
  const double every = fleet_.rules().spec(key.first)->checkpoint_s;
  double& saved = saved_[key.first];
  if (every > 0) saved = std::max(saved, std::floor(reached / every) * every);
  lost_progress_[key.first] += std::max(reached - saved, 0.0);
}

void GangRuns::lost(const TaskId& task, uint64_t attempt) {
  const Key key{task.job, attempt};
  auto it = runs_.find(key);
  if (it == runs_.end() || !it->second.running || it->second.ended) return;
  fall_back(key, it->second);
  const double notice = fleet_.settings.gang_peer_s * world_.uniform(0.4, 1.0);
  world_.in(notice, [this, key] { end(key, ExitCause::peers, false); });
}

void GangRuns::end(const Key& key, ExitCause cause, bool saved) {
  for (auto& m : members(key)) m.worker->end_gang_task(m.task, key.second, cause, saved);
}

bool GangRuns::told_to_stop(Worker& worker, const TaskId& task, uint64_t attempt, double grace_s) {
  const Key key{task.job, attempt};
  auto it = runs_.find(key);
  if (it == runs_.end() || !it->second.running || it->second.ended) return false;
  Run& run = it->second;
  auto* spec = fleet_.rules().spec(task.job);
  if (spec->checkpoint_s <= 0 || grace_s < spec->save_s) {
    // With a second halt without grace a task that saves ends, too.
    worker.end_gang_task(task, attempt, ExitCause::stopped, false);
    lost(task, attempt);
    return true;
  }
  if (run.first_halt < 0) {
    run.first_halt = world_.now();
    world_.cancel(run.completion);
    world_.in(fleet_.settings.gang_peer_s, [this, key] {
      Run& late = runs_[key];
      if (late.ended || late.told.size() >= fleet_.rules().spec(key.first)->tasks) return;
      fall_back(key, late);
      end(key, ExitCause::peers, false);
    });
  }
  if (run.told.insert(task).second && run.told.size() >= spec->tasks)
    world_.in(spec->save_s, [this, key] { save(key); });
  return true;
}

void GangRuns::save(const Key& key) {
  Run& run = runs_[key];
  if (run.ended) return;
  run.ended = true;
  saved_[key.first] = progress(run);
  end(key, ExitCause::stopped, true);
}

}  // namespace damsonport::simulation
