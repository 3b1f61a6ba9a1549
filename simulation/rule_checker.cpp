#include <fmt/format.h>

#include <algorithm>

#include "simulation/fleet.hpp"

namespace damsonport::simulation {

namespace {
bool on_machine(const TaskReport& t) {
  return t.state == TaskState::running || t.state == TaskState::saving ||
         t.state == TaskState::waiting;
}
}  // namespace

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
  for (auto& [id, w] : fleet_.workers())
    for (auto& [attempt, t] : w->tasks())
      if (attempt.first.job == job && on_machine(t.report))
        broke("ran_cancelled", attempt.first.text() + " is still on " + id);
}

// Called when a task has its image and begins.
void RuleChecker::starts(const std::string& machine, const TaskName& task) {
  auto* s = spec(task.job);
  if (!s) return broke("ran_unknown", task.text());
  if (auto over = over_.find(task.job); over != over_.end() && over->second.second == "aborted") {
    ++starts_after_cancellation_;
    if (world_.now() > over->second.first + settings_.cancel_s)
      broke("ran_cancelled", task.text() + " starts on " + machine);
  }
  const Worker& w = *fleet_.workers().at(machine);
  if (!s->types.empty() && std::find(s->types.begin(), s->types.end(), w.type) == s->types.end())
    broke("wrong_place", task.text() + " starts on a " + w.type);
  if (!s->zone.empty() && s->zone != w.zone)
    broke("wrong_place", task.text() + " starts in " + w.zone);
  if (w.spot && !s->spot) broke("wrong_place", task.text() + " starts on a spot machine");
  double cpus = 0, gpus = 0;
  std::map<std::string, uint32_t> in_zone;
  for (auto& [id, other] : fleet_.workers())
    for (auto& [attempt, t] : other->tasks()) {
      if (!on_machine(t.report)) continue;
      auto* os = spec(attempt.first.job);
      if (os && os->team == s->team) cpus += os->cpus, gpus += os->gpus;
      if (attempt.first.job != task.job) continue;
      ++in_zone[other->zone];
      if (attempt.first == task && id != machine)
        broke("ran_twice",
              fmt::format("{} starts on {} while it is on {}", task.text(), machine, id));
    }
  if (s->one_zone && in_zone.size() > 1) broke("wrong_place", task.text() + " in a second zone");
  if (s->spread && in_zone[w.zone] > (s->tasks + 1) / 2)
    broke("wrong_place", task.text() + " is one too many in " + w.zone);
  if (auto* team = settings_.team(s->team))
    if ((team->cpus_max > 0 && cpus > team->cpus_max + 1e-6) ||
        (team->gpus_max > 0 && gpus > team->gpus_max + 1e-6))
      broke("quota", s->team + " uses " + std::to_string(gpus) + " accelerators and " +
                         std::to_string(cpus) + " CPUs");
  if (on_start) on_start(task);
}

}  // namespace damsonport::simulation
