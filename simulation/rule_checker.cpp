#include <fmt/format.h>

#include <algorithm>

#include "simulation/fleet.hpp"

namespace damsonport::simulation {

bool on_machine(const TaskStatus& task) {
  return task.state == TaskState::running || task.state == TaskState::saving ||
         task.state == TaskState::waiting;
}

const JobSpec* RuleChecker::spec(const std::string& job) const {
  auto it = specs_.find(job);
  return it == specs_.end() ? nullptr : &it->second;
}

void RuleChecker::broke(const std::string& rule, const std::string& what) {
  broken_.push_back(rule + " at " + std::to_string(world_.now()) + ": " + what);
}

bool RuleChecker::was_told(const std::string& job, const std::string& state) const {
  auto it = over_.find(job);
  return it != over_.end() && it->second.second == state;
}

void RuleChecker::told(const std::string& job, int status, const std::string& state, double asked) {
  const double now = world_.now();
  auto known = known_.find(job);
  const bool knew = known != known_.end() && known->second < asked;
  if (status == 404) {
    if (knew) broke("forgotten", job + " is answered 404");
    return;
  }
  if ((status == 400 || status == 422) && knew)
    broke("forgotten", job + " is answered " + std::to_string(status));
  if (status != 200 && status != 201) return;
  if (!specs_.contains(job)) return broke("invented", job);
  known_.try_emplace(job, now);
  answered_[job] = now;
  auto over = over_.find(job);
  if (over != over_.end() && over->second.first < asked && state != over->second.second)
    broke("went_back", job + " was " + over->second.second + " and is " + state);
  if (state == "done") {
    for (uint32_t i = 0; i < specs_.at(job).tasks; ++i)
      if (!done_.contains({job, i})) {
        broke("not_done", job);
        break;
      }
  }
  if (state == "aborted" && !asked_to_cancel_.contains(job))
    broke("went_back", job + " is cancelled by nobody");
  if (state != "done" && state != "aborted") return;
  if (over != over_.end() && over->second.second != state)
    broke("went_back", job + " is both " + over->second.second + " and " + state);
  if (!over_.try_emplace(job, now, state).second || state == "done") return;
  world_.in(settings_.cancel_s + 0.01, [this, job] { check_cancelled(job); });
}

std::vector<std::string> RuleChecker::wanted() const {
  std::vector<std::string> out;
  for (auto& [job, at] : known_)
    if (!asked_to_cancel_.contains(job)) out.push_back(job);
  return out;
}

double RuleChecker::last_answered(const std::string& job) const {
  auto it = answered_.find(job);
  return it == answered_.end() ? -1 : it->second;
}

void RuleChecker::check_cancelled(const std::string& job) {
  for (auto it = machines_of_.lower_bound({job, 0});
       it != machines_of_.end() && it->first.job == job; ++it)
    for (auto& machine : it->second)
      broke("ran_cancelled", it->first.text() + " is still on " + machine);
}

void RuleChecker::count(const JobSpec& spec, const std::string& zone, double sign) {
  auto& use = used_[spec.team];
  use.cpus += sign * spec.cpus;
  use.gpus += sign * spec.gpus;
  in_zone_[spec.id][zone] += sign > 0 ? 1 : -1;
  if (on_use) on_use(spec.team, sign * spec.cpus, sign * spec.gpus);
}

void RuleChecker::starts(const std::string& machine, const TaskId& task, uint64_t attempt) {
  auto* s = spec(task.job);
  if (!s) return broke("ran_unknown", task.text());
  if (auto over = over_.find(task.job); over != over_.end() && over->second.second == "aborted") {
    ++starts_after_cancellation_;
    if (world_.now() > over->second.first + settings_.cancel_s)
      broke("ran_cancelled", task.text() + " starts on " + machine);
  }
  const Worker& w = *fleet_.workers().at(machine);
  auto& machines = machines_of_[task];
  for (auto& other : machines)
    if (other != machine)
      broke("ran_twice",
            fmt::format("{} starts on {} while it is on {}", task.text(), machine, other));
  machines.push_back(machine);
  count(*s, w.zone, 1);
  check_place(*s, w, task);
  replicas_.part_starts(*s, task, attempt, machine);
  const auto& use = used_[s->team];
  if (auto* team = settings_.team(s->team))
    if ((team->cpus_max > 0 && use.cpus > team->cpus_max + 1e-6) ||
        (team->gpus_max > 0 && use.gpus > team->gpus_max + 1e-6))
      broke("quota",
            fmt::format("{} uses {} accelerators and {} CPUs", s->team, use.gpus, use.cpus));
  if (on_start) on_start(task);
}

void RuleChecker::check_place(const JobSpec& spec, const Worker& worker, const TaskId& task) {
  if (!spec.types.empty() &&
      std::find(spec.types.begin(), spec.types.end(), worker.type) == spec.types.end())
    broke("wrong_place", task.text() + " starts on a " + worker.type);
  if (!spec.zone.empty() && spec.zone != worker.zone)
    broke("wrong_place", task.text() + " starts in " + worker.zone);
  if (worker.spot && !spec.spot) broke("wrong_place", task.text() + " starts on a spot machine");
  auto& zones = in_zone_[spec.id];
  const auto used = std::count_if(zones.begin(), zones.end(), [](auto& z) { return z.second > 0; });
  if (spec.one_zone && used > 1) broke("wrong_place", task.text() + " in a second zone");
  if (spec.spread && zones[worker.zone] > static_cast<int>((spec.tasks + 1) / 2))
    broke("wrong_place", task.text() + " is one too many in " + worker.zone);
}

void RuleChecker::leaves(const std::string& machine, const TaskId& task) {
  auto* s = spec(task.job);
  auto it = machines_of_.find(task);
  if (!s || it == machines_of_.end()) return;
  auto at = std::find(it->second.begin(), it->second.end(), machine);
  if (at == it->second.end()) return broke("checker", task.text() + " leaves a machine twice");
  it->second.erase(at);
  replicas_.part_leaves(*s, task, machine);
  if (it->second.empty()) machines_of_.erase(it);
  count(*s, fleet_.workers().at(machine)->zone, -1);
  auto zones = in_zone_.find(task.job);
  if (std::all_of(zones->second.begin(), zones->second.end(),
                  [](auto& z) { return z.second == 0; }))
    in_zone_.erase(zones);
}

}  // namespace damsonport::simulation
