#include "experiment_run.hpp"

#include <fmt/format.h>
#include <signal.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>

#include "addresses.hpp"
#include "emulator.hpp"

namespace damsonport::loadtest {

namespace {

constexpr double step_s = 0.05, progress_every_s = 5, finish_patience_s = 30;

// Of the clock that all processes share.
double steady_now() {
  timespec ts{};
  clock_gettime(CLOCK_MONOTONIC, &ts);
  return static_cast<double>(ts.tv_sec) + static_cast<double>(ts.tv_nsec) * 1e-9;
}

}  // namespace

ExperimentRun::ExperimentRun(const Experiment& plan, const std::string& directory,
                             const std::string& program, std::ostream& progress)
    : plan_(plan), progress_(progress), use_(plan.settings.teams.size()) {
  controllers_ = std::make_unique<Controllers>(plan, directory, program);
  holders_.resize(plan.regions);
  region_seconds_.resize(plan.regions);
  results_.regions.resize(plan.regions);
  results_.states.resize(plan.regions);
  results_.region_roles.resize(plan.regions);
}

double ExperimentRun::elapsed() const { return steady_now() - begun_; }

void ExperimentRun::start_all() {
  begun_ = steady_now();
  for (size_t r = 0; r < plan_.regions; ++r)
    states_.push_back(std::make_unique<ChildProcess>(
        fmt::format("state service {}", r),
        [this, r](ParentChannel& parent) { run_state_service(plan_, r, parent); }));
  if (plan_.regions > 1)
    links_ = std::make_unique<ChildProcess>(
        "links", [this](ParentChannel& parent) { run_links(plan_, parent); });
  for (size_t r = 0; r < plan_.regions; ++r)
    region_processes_.push_back(std::make_unique<ChildProcess>(
        fmt::format("site {}", r),
        [this, r](ParentChannel& parent) { run_region(plan_, r, use_, parent); }));
  for (auto& one : controllers_->all()) controllers_->start(one);
}

// --- faults

std::string ExperimentRun::describe(const Fault& fault) const {
  switch (fault.kind) {
    case FaultKind::kill_holder:
      return fmt::format("holder of region {} killed", fault.region);
    case FaultKind::kill_region:
      return fmt::format("all controllers of region {} killed", fault.region);
    case FaultKind::pause_holder:
      return fmt::format("holder of region {} stopped for {:.0f} s", fault.region, fault.for_s);
    case FaultKind::cut_regions:
      return fmt::format("regions {} and {} cut for {:.0f} s", fault.region, fault.other,
                         fault.for_s);
    case FaultKind::hang_zone:
      return fmt::format("zone {} of region {} hangs for {:.0f} s", fault.zone, fault.region,
                         fault.for_s);
    case FaultKind::state_outage:
      return fmt::format("state service of region {} out for {:.0f} s", fault.region, fault.for_s);
    case FaultKind::kill_machines:
      return fmt::format("{} machines of region {} lost", fault.count, fault.region);
    case FaultKind::cancel_jobs:
      return fmt::format("{} jobs of region {} cancelled", fault.count, fault.region);
  }
  return {};
}

void ExperimentRun::kill_controllers(std::vector<Controllers::One*> victims,
                                     const std::string& what, double for_s) {
  for (auto* one : victims) controllers_->kill(*one);
  const size_t region = victims.empty() ? 0 : victims.front()->region;
  if (!victims.empty()) open_fault_[region] = results_.faults.size();
  results_.faults.push_back({what, elapsed(), -1, region, 0});
  faults_.push_back({elapsed() + for_s, [this, victims] {
                       for (auto* one : victims) controllers_->start(*one);
                     }});
}

void ExperimentRun::plan_fault(const Fault& fault) {
  const auto what = describe(fault);
  auto note = [this, &fault, what] {
    const double outage_s = fault.kind == FaultKind::state_outage ? fault.for_s : 0;
    results_.faults.push_back({what, elapsed(), -1, fault.region, outage_s});
  };
  auto later = [this, fault](std::function<void()> act) {
    faults_.push_back({elapsed() + fault.for_s, std::move(act)});
  };
  switch (fault.kind) {
    case FaultKind::kill_holder:
      return kill_controllers(controllers_->find(fault.region, holders_[fault.region]), what,
                              fault.for_s);
    case FaultKind::kill_region:
      return kill_controllers(controllers_->find(fault.region), what, fault.for_s);
    case FaultKind::pause_holder: {
      auto victims = controllers_->find(fault.region, holders_[fault.region]);
      for (auto* one : victims) controllers_->signal(*one, SIGSTOP);
      open_fault_[fault.region] = results_.faults.size();
      note();
      return later([this, victims] {
        for (auto* one : victims) controllers_->signal(*one, SIGCONT);
      });
    }
    case FaultKind::cut_regions:
      links_->tell({{"do", "cut"}, {"a", fault.region}, {"b", fault.other}, {"on", true}});
      note();
      return later([this, fault] {
        links_->tell({{"do", "cut"}, {"a", fault.region}, {"b", fault.other}, {"on", false}});
      });
    case FaultKind::hang_zone:
      region_processes_[fault.region]->tell(
          {{"do", "hang"}, {"zone", fault.zone}, {"for", fault.for_s}});
      return note();
    case FaultKind::kill_machines:
      region_processes_[fault.region]->tell({{"do", "kill_machines"}, {"count", fault.count}});
      return note();
    case FaultKind::cancel_jobs:
      region_processes_[fault.region]->tell({{"do", "cancel"}, {"count", fault.count}});
      return note();
    case FaultKind::state_outage:
      states_[fault.region]->tell({{"do", "outage"}, {"on", true}});
      note();
      return later([this, fault] {
        states_[fault.region]->tell({{"do", "outage"}, {"on", false}});
      });
  }
}

void ExperimentRun::plan_faults() {
  for (auto& fault : plan_.faults)
    faults_.push_back({fault.at_s, [this, &fault] { plan_fault(fault); }});
}

// --- what is heard and measured

void ExperimentRun::hear() {
  for (size_t r = 0; r < plan_.regions; ++r) {
    for (auto& message : states_[r]->messages()) {
      const std::string kind = message.at("kind");
      if (kind == "final") {
        results_.states[r] = message;
        ++finals_;
      }
      if (kind != "holder") continue;
      holders_[r] = message.at("node");
      const double at = message.at("at").get<double>() - begun_;
      results_.holder_changes.push_back({r, holders_[r], at});
      if (auto open = open_fault_.find(r); open != open_fault_.end()) {
        auto& fault = results_.faults[open->second];
        fault.without_holder_s = at - fault.at_s;
        open_fault_.erase(open);
      }
    }
    for (auto& message : region_processes_[r]->messages()) {
      if (message.at("kind") == "final") {
        results_.regions[r] = message;
        ++finals_;
      } else {
        region_seconds_[r] = message;
      }
    }
  }
  if (!links_) return;
  for (auto& message : links_->messages()) results_.link_bytes = message.at("bytes");
}

void ExperimentRun::sample_process(pid_t pid, double ended_cpu_s, const std::string& key,
                                   const std::string& role, size_t region, bool measured,
                                   double& memory_mb) {
  const auto now = read_figures(pid);
  memory_mb += now.resident_mb;
  auto& last = sampled_[key];
  const double total = ended_cpu_s + now.cpu_s();
  const double used = std::max(total - last.cpu_s, 0.0);
  last.cpu_s = total;
  if (!measured) return;
  results_.roles[role].add_second(used, now.resident_mb);
  results_.region_roles[region][role].add_second(used, now.resident_mb);
}

// Called once a second.
void ExperimentRun::sample(bool measured) {
  double memory_mb = read_figures(getpid()).resident_mb;
  for (auto& one : controllers_->all()) {
    const bool holds = holders_[one.region] == one.name;
    sample_process(one.pid, one.ended_cpu_s, one.name, holds ? "holder" : "other controller",
                   one.region, measured && one.pid != 0, memory_mb);
  }
  for (size_t r = 0; r < plan_.regions; ++r) {
    sample_process(states_[r]->pid(), 0, states_[r]->name(), "state service (stand-in)", r,
                   measured, memory_mb);
    sample_process(region_processes_[r]->pid(), 0, region_processes_[r]->name(),
                   "hollow workers, cloud, users", r, measured, memory_mb);
  }
  if (links_)
    sample_process(links_->pid(), 0, links_->name(), "links between regions", 0, measured,
                   memory_mb);
  results_.peak_memory_mb = std::max(results_.peak_memory_mb, memory_mb);
  double starts = 0, tasks = 0;
  for (auto& second : region_seconds_) {
    if (!second.is_object()) continue;
    starts += second.at("starts").get<double>();
    tasks += second.at("tasks").get<double>();
  }
  results_.whole_starts_per_s.push_back(starts - last_starts_);
  if (measured) {
    results_.starts_per_s.push_back(starts - last_starts_);
    results_.tasks.push_back(tasks);
    results_.measured_s += 1;
  }
  last_starts_ = starts;
}

void ExperimentRun::show_placement(const Json& second) {
  if (!second.is_object() || !second.contains("placement")) return;
  for (auto& [machine, tasks] : second["placement"].items()) {
    progress_ << "         " << machine << ":";
    for (auto& task : tasks) progress_ << " " << task.get<std::string>();
    progress_ << "\n";
  }
}

void ExperimentRun::show_progress() {
  double workers = 0, tasks = 0, starts = 0, broken = 0;
  for (auto& second : region_seconds_) {
    if (!second.is_object()) continue;
    workers += second.at("workers").get<double>();
    tasks += second.at("tasks").get<double>();
    starts += second.at("starts").get<double>();
    broken += second.at("broken").get<double>();
  }
  std::string holders;
  for (auto& shard_leader : holders_)
    holders += fmt::format(" {}", shard_leader.empty() ? "-" : shard_leader);
  progress_ << fmt::format(
                   "{:5.0f} s  {:.0f} workers  {:.0f} tasks on them  {:.0f} started  {:.0f} rules "
                   "broken  holders:{}",
                   elapsed(), workers, tasks, starts, broken, holders)
            << std::endl;
  for (auto& second : region_seconds_) show_placement(second);
}

void ExperimentRun::finish() {
  for (auto& child : states_) child->tell({{"do", "finish"}});
  for (auto& child : region_processes_) child->tell({{"do", "finish"}});
  if (links_) links_->tell({{"do", "finish"}});
  const double until = steady_now() + finish_patience_s;
  while (finals_ < 2 * plan_.regions && steady_now() < until) {
    usleep(20000);
    hear();
  }
  controllers_.reset();
  for (size_t r = 0; r < plan_.regions; ++r) {
    if (!results_.regions[r].is_object() || !results_.states[r].is_object()) {
      results_.broken_rules.push_back(fmt::format("region {} gave no final word", r));
      results_.regions[r] = {{"waits", Json::object()},
                             {"accept_times", Json::array()},
                             {"asked", Json::object()},
                             {"served", Json::object()}};
      results_.states[r] = {{"budgets", Json::object()}};
      continue;
    }
    for (auto& rule : results_.regions[r].at("broken_rules"))
      results_.broken_rules.push_back(
          fmt::format("{}: {}", addresses::region_name(r), rule.get<std::string>()));
  }
}

Results ExperimentRun::run(const volatile bool& stop) {
  plan_faults();
  start_all();
  double next_sample = 1, next_progress = progress_every_s;
  while (elapsed() < plan_.seconds && !stop) {
    usleep(static_cast<useconds_t>(step_s * 1e6));
    hear();
    results_.ended_by_themselves += controllers_->restart_ended(elapsed());
    // A fault may add its own end.
    for (size_t i = 0; i < faults_.size(); ++i) {
      if (faults_[i].at_s > elapsed()) continue;
      auto act = std::move(faults_[i].act);
      faults_.erase(faults_.begin() + static_cast<std::ptrdiff_t>(i--));
      act();
    }
    if (elapsed() >= next_sample) {
      sample(elapsed() >= plan_.warmup_s);
      next_sample += 1;
    }
    if (elapsed() >= next_progress) {
      show_progress();
      next_progress += progress_every_s;
    }
  }
  finish();
  return std::move(results_);
}

}  // namespace damsonport::loadtest
