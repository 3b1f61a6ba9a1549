/// Executes the commands of a worker and runs its tasks.
#include <algorithm>

#include "simulation/simulated_fleet.hpp"
#include "simulation/worker.hpp"

namespace damsonport::simulation {

namespace {
constexpr double min_fetch_s = 0.05;  // for a cached image
constexpr double min_run_s = 0.01;
constexpr double tolerance = 1e-6;  // for sums of resources
}  // namespace

void Worker::serve(Method method, const std::string& target, const std::string& body,
                   const World::ResponseHandler& respond) {
  if (loses_incoming_messages || loses_requests) return;
  if (method == Method::get && target == "/show") return respond({200, encode(heartbeat())});
  const Json message = decode_map(body);
  if (target != "/commands" || !message.is_object() || !message.contains("helm") ||
      !message.contains("watch"))
    return respond({400, {}});
  if (command_delay_s > 0) {
    world_.in(command_delay_s, [this, message] {
      if (!gone && !is_hung()) accept_commands(message);
    });
    return;
  }
  const int status = accept_commands(message) ? 200 : 409;
  respond({status, encode(heartbeat())});
}

bool Worker::accept_commands(const Json& message) {
  const uint64_t fencing_token = message["helm"];
  const uint64_t agent_epoch = message["watch"];
  if (fencing_token < fencing_token_ || agent_epoch != agent_epoch_) return false;
  learn_fencing_token(fencing_token);
  execute(message.value("orders", Json::array()));
  return true;
}

void Worker::execute(const Json& commands) {
  for (auto& command : commands) {
    TaskAttempt attempt;
    if (!parse_task_id(command.at("hand").get<std::string>(), attempt.task)) continue;
    attempt.number = command.at("launch");
    const std::string verb = command.at("order");
    auto it = tasks_.find(attempt);
    if (verb == "run" && it == tasks_.end()) {
      check_not_removed(attempt);
      start(attempt);
    }
    if (verb == "halt" && it != tasks_.end()) stop(it->second, command.value("slack_s", 0.0));
    if (verb == "reap" && it != tasks_.end() && it->second.report.state == TaskState::exited) {
      tasks_.erase(it);
      removed_.insert(attempt);
    }
  }
}

// An exit that the worker reported before the removal would otherwise look like the end of the
// attempt that is started now.
void Worker::check_not_removed(const TaskAttempt& attempt) const {
  if (!removed_.contains(attempt)) return;
  fleet_.rules().report_violation(
      "attempt_reused", attempt.task.text() + " attempt " + std::to_string(attempt.number) +
                            " is started on " + id + " again in one agent epoch under one lease");
}

void Worker::clear_timer(RunningTask& task) {
  if (task.has_timer) world_.cancel(task.next_step);
  task.has_timer = false;
}

void Worker::set_timer(RunningTask& task, double seconds, std::function<void(RunningTask&)> then) {
  clear_timer(task);
  const TaskAttempt attempt{task.report.task, task.report.attempt};
  task.has_timer = true;
  task.since = world_.now();
  task.next_step = world_.in(seconds, [this, attempt, then = std::move(then)] {
    auto it = tasks_.find(attempt);
    if (it == tasks_.end()) return;
    it->second.has_timer = false;
    then(it->second);
  });
}

bool Worker::has_room_for_all_tasks() const {
  double cpus = 0;
  double gpus = 0;
  double memory_gb = 0;
  for (auto& [attempt, task] : tasks_) {
    if (task.report.state == TaskState::exited) continue;
    const JobSpec* spec = fleet_.rules().spec(attempt.task.job);
    if (!spec) continue;
    cpus += spec->cpus;
    gpus += spec->gpus;
    memory_gb += spec->memory_gb;
  }
  const MachineType* own = fleet_.find_type(type);
  return !own || (cpus <= own->cpus + tolerance && gpus <= own->gpus + tolerance &&
                  memory_gb <= own->memory_gb + tolerance);
}

double Worker::image_fetch_s(const JobSpec& spec) const {
  const MachineType* own = fleet_.find_type(type);
  if (images_.contains(spec.image) || !own) return min_fetch_s;
  return min_fetch_s + spec.image_gb / own->fetch_gb_per_s;
}

void Worker::start(const TaskAttempt& attempt) {
  RunningTask& task = tasks_[attempt];
  task.report.task = attempt.task;
  task.report.attempt = attempt.number;
  const JobSpec* spec = fleet_.rules().spec(attempt.task.job);
  if (!spec) return exit(task, ExitCause::not_found);
  const bool has_other_attempt = std::any_of(tasks_.begin(), tasks_.end(), [&](auto& entry) {
    return entry.first.task == attempt.task && entry.first != attempt &&
           entry.second.report.state != TaskState::exited;
  });
  if (has_other_attempt) return exit(task, ExitCause::other_attempt_running);
  if (!has_room_for_all_tasks()) return exit(task, ExitCause::insufficient_resources);
  task.report.state = TaskState::fetching;
  set_timer(task, image_fetch_s(*spec),
            [this, attempt](RunningTask&) { on_image_fetched(attempt); });
  on_change();
}

void Worker::on_image_fetched(const TaskAttempt& attempt) {
  RunningTask& task = tasks_.at(attempt);
  const JobSpec& spec = *fleet_.rules().spec(attempt.task.job);
  images_.insert(spec.image);
  fleet_.count_start(spec.id);
  if (fails_tasks || fleet_.is_broken(spec.id)) return exit(task, ExitCause::error);
  if (fleet_.rules().is_done(attempt.task)) return exit(task, ExitCause::done);
  // From now on the task occupies the machine, and the rule checker counts it as present.
  task.report.state = TaskState::running;
  fleet_.rules().on_task_started(*this, attempt.task, attempt.number);
  if (spec.kind == JobKind::gang) return wait_for_gang(attempt);
  task.progress_s = fleet_.saved_progress_s(attempt.task);
  task.since = world_.now();
  if (spec.kind != JobKind::service) run_until_done(task, min_run_s);
  on_change();
}

void Worker::run_until_done(RunningTask& task, double min_s) {
  const double left_s = fleet_.run_time(task.report.task.job) - task.progress_s;
  set_timer(task, std::max(left_s, min_s),
            [this](RunningTask& ended) { exit(ended, ExitCause::done); });
}

void Worker::wait_for_gang(const TaskAttempt& attempt) {
  RunningTask& task = tasks_.at(attempt);
  task.report.state = TaskState::waiting;
  set_timer(task, fleet_.settings.gang_wait_s,
            [this](RunningTask& alone) { exit(alone, ExitCause::gang_incomplete); });
  on_change();
  fleet_.gangs().on_task_ready(attempt);
}

bool Worker::is_ready_for_gang(const TaskAttempt& attempt) const {
  auto it = tasks_.find(attempt);
  return !is_hung() && it != tasks_.end() && it->second.report.state == TaskState::waiting;
}

void Worker::run_gang_task(const TaskAttempt& attempt) {
  RunningTask& task = tasks_.at(attempt);
  clear_timer(task);
  task.report.state = TaskState::running;
  on_change();
}

void Worker::end_gang_task(const TaskAttempt& attempt, ExitCause cause, bool saved) {
  if (is_hung()) {
    world_.at(hung_until_, [this, attempt, cause, saved] {
      if (!gone) end_gang_task(attempt, cause, saved);
    });
    return;
  }
  auto it = tasks_.find(attempt);
  if (it != tasks_.end() && it->second.report.state != TaskState::exited)
    exit(it->second, cause, saved);
}

void Worker::report_lost_gang_tasks() {
  std::vector<TaskAttempt> running;
  for (auto& [attempt, task] : tasks_) {
    const JobSpec* spec = fleet_.rules().spec(attempt.task.job);
    if (spec && spec->kind == JobKind::gang && task.report.state == TaskState::running)
      running.push_back(attempt);
  }
  for (auto& attempt : running) fleet_.gangs().on_task_lost(attempt);
}

void Worker::stop(RunningTask& task, double grace_s) {
  if (task.report.state == TaskState::exited) return;
  const TaskAttempt attempt{task.report.task, task.report.attempt};
  const bool runs = task.report.state == TaskState::running;
  if (runs && fleet_.gangs().stop_task(*this, attempt, grace_s) == GangRuns::StopResult::gang_stops)
    return;
  const JobSpec* spec = fleet_.rules().spec(attempt.task.job);
  const bool saves = spec && spec->checkpoint_s > 0 && runs && grace_s >= spec->save_s;
  if (!saves) return exit(task, ExitCause::stopped);
  task.progress_s += world_.now() - task.since;
  task.report.state = TaskState::saving;
  set_timer(task, spec->save_s, [this](RunningTask& saved) {
    fleet_.save_progress(saved.report.task, saved.progress_s);
    exit(saved, ExitCause::stopped, true);
  });
  on_change();
}

void Worker::exit(RunningTask& task, ExitCause cause, bool saved) {
  clear_timer(task);
  if (occupies_machine(task.report)) fleet_.rules().on_task_left(*this, task.report.task);
  if (cause == ExitCause::done) fleet_.rules().on_task_done(task.report.task);
  task.report.state = TaskState::exited;
  task.report.cause = cause;
  task.report.saved = saved;
  on_change();
}

void Worker::resume_after_hang(const TaskAttempt& attempt, TaskState state) {
  auto it = tasks_.find(attempt);
  if (gone || it == tasks_.end() || it->second.report.state != state) return;
  RunningTask& task = it->second;
  switch (state) {
    case TaskState::fetching:
      return on_image_fetched(attempt);
    case TaskState::running:
      return run_until_done(task, 0);
    case TaskState::waiting:
      return wait_for_gang(attempt);
    case TaskState::saving:
      return exit(task, ExitCause::stopped, true);
    case TaskState::exited:
      return;
  }
}

void Worker::drop_tasks() {
  for (auto& [attempt, task] : tasks_) {
    clear_timer(task);
    if (occupies_machine(task.report)) fleet_.rules().on_task_left(*this, attempt.task);
  }
  tasks_.clear();
  removed_.clear();
}

}  // namespace damsonport::simulation
