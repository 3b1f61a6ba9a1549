#include "simulation/rule_checker.hpp"

#include <fmt/format.h>

#include <algorithm>

#include "simulation/worker.hpp"

namespace damsonport::simulation {

namespace {
constexpr double resource_tolerance = 1e-6;  // for sums of resources
constexpr double deadline_margin_s = 0.01;   // lets events at the deadline itself happen first
}  // namespace

bool occupies_machine(const TaskStatus& task) {
  return task.state == TaskState::running || task.state == TaskState::saving ||
         task.state == TaskState::waiting;
}

const JobSpec* RuleChecker::spec(const std::string& job) const {
  auto it = specs_.find(job);
  return it == specs_.end() ? nullptr : &it->second;
}

void RuleChecker::report_violation(const std::string& rule, const std::string& description) {
  violations_.push_back(rule + " at " + std::to_string(world_.now()) + ": " + description);
}

bool RuleChecker::ended_as(const std::string& job, const std::string& state) const {
  auto it = final_states_.find(job);
  return it != final_states_.end() && it->second.state == state;
}

void RuleChecker::on_response(const std::string& job, int status, const std::string& state,
                              double requested_at) {
  const auto accepted = accepted_at_.find(job);
  check_known_job_response(job, status,
                           accepted != accepted_at_.end() && accepted->second < requested_at);
  if (status != 200 && status != 201) return;
  if (!specs_.contains(job)) return report_violation("invented", job);
  accepted_at_.try_emplace(job, world_.now());
  last_response_at_[job] = world_.now();
  check_final_state(job, state, requested_at);
}

void RuleChecker::check_known_job_response(const std::string& job, int status, bool was_accepted) {
  const bool denies_job = status == 404 || status == 400 || status == 422;
  if (denies_job && was_accepted)
    report_violation("forgotten", job + " is answered " + std::to_string(status));
}

void RuleChecker::check_final_state(const std::string& job, const std::string& state,
                                    double requested_at) {
  const auto ended = final_states_.find(job);
  const bool has_ended = ended != final_states_.end();
  if (has_ended && ended->second.at < requested_at && state != ended->second.state)
    report_violation("went_back", job + " was " + ended->second.state + " and is " + state);
  if (state == "done") {
    for (uint32_t i = 0; i < specs_.at(job).tasks; ++i)
      if (!done_.contains({job, i})) {
        report_violation("not_done", job);
        break;
      }
  }
  if (state == "aborted" && !cancel_requested_.contains(job))
    report_violation("went_back", job + " is cancelled by nobody");
  if (state != "done" && state != "aborted") return;
  if (has_ended && ended->second.state != state)
    report_violation("went_back", job + " is both " + ended->second.state + " and " + state);
  const bool is_first = final_states_.try_emplace(job, FinalState{world_.now(), state}).second;
  if (!is_first || state == "done") return;
  world_.in(settings_.cancel_s + deadline_margin_s,
            [this, job] { check_cancelled_job_is_gone(job); });
}

std::vector<std::string> RuleChecker::jobs_to_serve() const {
  std::vector<std::string> jobs;
  for (auto& [job, at] : accepted_at_)
    if (!cancel_requested_.contains(job)) jobs.push_back(job);
  return jobs;
}

std::optional<double> RuleChecker::last_response_at(const std::string& job) const {
  auto it = last_response_at_.find(job);
  if (it == last_response_at_.end()) return std::nullopt;
  return it->second;
}

void RuleChecker::check_cancelled_job_is_gone(const std::string& job) {
  for (auto it = machines_of_.lower_bound({job, 0});
       it != machines_of_.end() && it->first.job == job; ++it)
    for (auto& machine : it->second)
      report_violation("ran_cancelled", it->first.text() + " is still on " + machine);
}

void RuleChecker::count_usage(const JobSpec& spec, const std::string& zone, int sign) {
  auto& usage = usage_[spec.team];
  usage.cpus += sign * spec.cpus;
  usage.gpus += sign * spec.gpus;
  tasks_in_zone_[spec.id][zone] += sign;
  if (on_use) on_use(spec.team, sign * spec.cpus, sign * spec.gpus);
}

void RuleChecker::on_task_started(const Worker& worker, const TaskId& task, uint64_t attempt) {
  const JobSpec* job = spec(task.job);
  if (!job) return report_violation("ran_unknown", task.text());
  check_not_cancelled(worker.id, task);
  check_single_instance(worker.id, task);
  machines_of_[task].push_back(worker.id);
  count_usage(*job, worker.zone, 1);
  check_placement(*job, worker, task);
  replicas_.on_part_started(*job, task, attempt, worker.id);
  check_quota(job->team);
  if (on_start) on_start(task);
}

void RuleChecker::check_not_cancelled(const std::string& machine, const TaskId& task) {
  auto ended = final_states_.find(task.job);
  if (ended == final_states_.end() || ended->second.state != "aborted") return;
  ++starts_after_cancellation_;
  if (world_.now() > ended->second.at + settings_.cancel_s)
    report_violation("ran_cancelled", task.text() + " starts on " + machine);
}

void RuleChecker::check_single_instance(const std::string& machine, const TaskId& task) {
  auto it = machines_of_.find(task);
  if (it == machines_of_.end()) return;
  for (auto& other : it->second)
    if (other != machine)
      report_violation("ran_twice", fmt::format("{} starts on {} while it is on {}", task.text(),
                                                machine, other));
}

void RuleChecker::check_quota(const std::string& team_name) {
  const auto* team = settings_.team(team_name);
  if (!team) return;
  const Usage& usage = usage_[team_name];
  const bool over_cpus = team->cpus_max > 0 && usage.cpus > team->cpus_max + resource_tolerance;
  const bool over_gpus = team->gpus_max > 0 && usage.gpus > team->gpus_max + resource_tolerance;
  if (over_cpus || over_gpus)
    report_violation("quota", fmt::format("{} uses {} accelerators and {} CPUs", team_name,
                                          usage.gpus, usage.cpus));
}

void RuleChecker::check_placement(const JobSpec& spec, const Worker& worker, const TaskId& task) {
  if (!spec.types.empty() &&
      std::find(spec.types.begin(), spec.types.end(), worker.type) == spec.types.end())
    report_violation("wrong_place", task.text() + " starts on a " + worker.type);
  if (!spec.zone.empty() && spec.zone != worker.zone)
    report_violation("wrong_place", task.text() + " starts in " + worker.zone);
  if (worker.spot && !spec.spot)
    report_violation("wrong_place", task.text() + " starts on a spot machine");
  auto& zones = tasks_in_zone_[spec.id];
  const auto used_zones =
      std::count_if(zones.begin(), zones.end(), [](auto& entry) { return entry.second > 0; });
  if (spec.one_zone && used_zones > 1)
    report_violation("wrong_place", task.text() + " in a second zone");
  if (spec.spread && zones[worker.zone] > static_cast<int>((spec.tasks + 1) / 2))
    report_violation("wrong_place", task.text() + " is one too many in " + worker.zone);
}

void RuleChecker::on_task_left(const Worker& worker, const TaskId& task) {
  const JobSpec* job = spec(task.job);
  auto it = machines_of_.find(task);
  if (!job || it == machines_of_.end()) return;
  auto& machines = it->second;
  auto machine = std::find(machines.begin(), machines.end(), worker.id);
  if (machine == machines.end())
    return report_violation("checker", task.text() + " leaves a machine twice");
  machines.erase(machine);
  replicas_.on_part_left(*job, task, worker.id);
  if (machines.empty()) machines_of_.erase(it);
  count_usage(*job, worker.zone, -1);
  auto zones = tasks_in_zone_.find(task.job);
  if (std::all_of(zones->second.begin(), zones->second.end(),
                  [](auto& entry) { return entry.second == 0; }))
    tasks_in_zone_.erase(zones);
}

}  // namespace damsonport::simulation
