#include "experiment_run.hpp"

#include <fmt/format.h>
#include <signal.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>

#include "addresses.hpp"
#include "emulator_processes.hpp"
#include "malformed_clients.hpp"

namespace damsonport::loadtest {

namespace {

constexpr double poll_interval_s = 0.05, progress_interval_s = 5, final_message_timeout_s = 30;

// Seconds of CLOCK_MONOTONIC, which is the same in all processes.
double steady_now() {
  timespec ts{};
  clock_gettime(CLOCK_MONOTONIC, &ts);
  return static_cast<double>(ts.tv_sec) + static_cast<double>(ts.tv_nsec) * 1e-9;
}

}  // namespace

ExperimentRun::ExperimentRun(const ExperimentPlan& plan, const std::string& directory,
                             const std::string& program, std::ostream& progress)
    : plan_(plan), progress_(progress), team_usage_(plan.settings.teams.size()) {
  controllers_ = std::make_unique<ControllerProcesses>(plan, directory, program);
  shard_leaders_.resize(plan.regions);
  latest_region_reports_.resize(plan.regions);
  results_.region_reports.resize(plan.regions);
  results_.key_value_store_reports.resize(plan.regions);
  results_.region_roles.resize(plan.regions);
}

double ExperimentRun::elapsed() const { return steady_now() - started_at_; }

void ExperimentRun::start_all() {
  started_at_ = steady_now();
  for (size_t r = 0; r < plan_.regions; ++r)
    key_value_stores_.push_back(std::make_unique<ChildProcess>(
        fmt::format("state service {}", r),
        [this, r](ParentChannel& parent) { run_key_value_store(plan_, r, parent); }));
  if (plan_.regions > 1)
    region_links_ = std::make_unique<ChildProcess>(
        "links", [this](ParentChannel& parent) { run_region_links(plan_, parent); });
  for (size_t r = 0; r < plan_.regions; ++r)
    region_processes_.push_back(std::make_unique<ChildProcess>(
        fmt::format("site {}", r),
        [this, r](ParentChannel& parent) { run_region(plan_, r, team_usage_, parent); }));
  if (plan_.malformed_clients)
    for (size_t r = 0; r < plan_.regions; ++r)
      malformed_clients_.push_back(std::make_unique<ChildProcess>(
          fmt::format("malformed clients {}", r),
          [this, r](ParentChannel& parent) { run_malformed_clients(plan_, r, parent); }));
  for (auto& process : controllers_->all()) controllers_->start(process);
}

std::vector<ChildProcess*> ExperimentRun::emulators() const {
  std::vector<ChildProcess*> out;
  for (auto& child : key_value_stores_) out.push_back(child.get());
  for (auto& child : region_processes_) out.push_back(child.get());
  for (auto& child : malformed_clients_) out.push_back(child.get());
  if (region_links_) out.push_back(region_links_.get());
  return out;
}

// Without one of its emulators, what a run measures means nothing.
bool ExperimentRun::has_lost_emulator() {
  bool is_lost = false;
  for (ChildProcess* child : emulators()) {
    if (!child->has_ended()) continue;
    results_.rule_violations.push_back(child->name() + " ended by itself");
    is_lost = true;
  }
  return is_lost;
}

// --- faults

std::string ExperimentRun::describe(const Fault& fault) const {
  switch (fault.kind) {
    case FaultKind::kill_shard_leader:
      return fmt::format("holder of region {} killed", fault.region);
    case FaultKind::kill_region:
      return fmt::format("all controllers of region {} killed", fault.region);
    case FaultKind::pause_shard_leader:
      return fmt::format("holder of region {} stopped for {:.0f} s", fault.region, fault.for_s);
    case FaultKind::cut_regions:
      return fmt::format("regions {} and {} cut for {:.0f} s", fault.region, fault.other_region,
                         fault.for_s);
    case FaultKind::hang_zone:
      return fmt::format("zone {} of region {} hangs for {:.0f} s", fault.zone, fault.region,
                         fault.for_s);
    case FaultKind::key_value_store_outage:
      return fmt::format("state service of region {} out for {:.0f} s", fault.region, fault.for_s);
    case FaultKind::kill_machines:
      return fmt::format("{} machines of region {} lost", fault.count, fault.region);
    case FaultKind::cancel_jobs:
      return fmt::format("{} jobs of region {} cancelled", fault.count, fault.region);
  }
  return {};
}

void ExperimentRun::kill_controllers(std::vector<ControllerProcesses::Process*> targets,
                                     const std::string& description, double for_s) {
  for (auto* process : targets) controllers_->kill(*process);
  const size_t region = targets.empty() ? 0 : targets.front()->region;
  if (!targets.empty()) unresolved_faults_[region] = results_.faults.size();
  results_.faults.push_back({description, elapsed(), -1, region, 0});
  scheduled_actions_.push_back({elapsed() + for_s, [this, targets] {
                                  for (auto* process : targets) controllers_->start(*process);
                                }});
}

void ExperimentRun::inject_fault(const Fault& fault) {
  const auto description = describe(fault);
  auto record_fault = [this, &fault, description] {
    const double outage_s = fault.kind == FaultKind::key_value_store_outage ? fault.for_s : 0;
    results_.faults.push_back({description, elapsed(), -1, fault.region, outage_s});
  };
  auto schedule_end = [this, fault](std::function<void()> action) {
    scheduled_actions_.push_back({elapsed() + fault.for_s, std::move(action)});
  };
  switch (fault.kind) {
    case FaultKind::kill_shard_leader:
      return kill_controllers(controllers_->find(fault.region, shard_leaders_[fault.region]),
                              description, fault.for_s);
    case FaultKind::kill_region:
      return kill_controllers(controllers_->find(fault.region), description, fault.for_s);
    case FaultKind::pause_shard_leader: {
      auto targets = controllers_->find(fault.region, shard_leaders_[fault.region]);
      for (auto* process : targets) controllers_->signal(*process, SIGSTOP);
      unresolved_faults_[fault.region] = results_.faults.size();
      record_fault();
      return schedule_end([this, targets] {
        for (auto* process : targets) controllers_->signal(*process, SIGCONT);
      });
    }
    case FaultKind::cut_regions:
      region_links_->send(
          {{"do", "cut"}, {"a", fault.region}, {"b", fault.other_region}, {"on", true}});
      record_fault();
      return schedule_end([this, fault] {
        region_links_->send(
            {{"do", "cut"}, {"a", fault.region}, {"b", fault.other_region}, {"on", false}});
      });
    case FaultKind::hang_zone:
      region_processes_[fault.region]->send(
          {{"do", "hang"}, {"zone", fault.zone}, {"for", fault.for_s}});
      return record_fault();
    case FaultKind::kill_machines:
      region_processes_[fault.region]->send({{"do", "kill_machines"}, {"count", fault.count}});
      return record_fault();
    case FaultKind::cancel_jobs:
      region_processes_[fault.region]->send({{"do", "cancel"}, {"count", fault.count}});
      return record_fault();
    case FaultKind::key_value_store_outage:
      key_value_stores_[fault.region]->send({{"do", "outage"}, {"on", true}});
      record_fault();
      return schedule_end([this, fault] {
        key_value_stores_[fault.region]->send({{"do", "outage"}, {"on", false}});
      });
  }
}

void ExperimentRun::schedule_faults() {
  for (auto& fault : plan_.faults)
    scheduled_actions_.push_back({fault.at_s, [this, &fault] { inject_fault(fault); }});
}

// --- messages and measurements

void ExperimentRun::read_messages() {
  for (size_t r = 0; r < plan_.regions; ++r) {
    for (auto& message : key_value_stores_[r]->messages()) {
      const std::string kind = message.at("kind");
      if (kind == "final") {
        results_.key_value_store_reports[r] = message;
        ++final_messages_;
      }
      if (kind != "holder") continue;
      shard_leaders_[r] = message.at("node");
      const double at = message.at("at").get<double>() - started_at_;
      results_.shard_leader_changes.push_back({r, shard_leaders_[r], at});
      if (auto unresolved = unresolved_faults_.find(r); unresolved != unresolved_faults_.end()) {
        auto& fault = results_.faults[unresolved->second];
        fault.without_shard_leader_s = at - fault.at_s;
        unresolved_faults_.erase(unresolved);
      }
    }
    for (auto& message : region_processes_[r]->messages()) {
      if (message.at("kind") == "final") {
        results_.region_reports[r] = message;
        ++final_messages_;
      } else {
        latest_region_reports_[r] = message;
      }
    }
  }
  for (auto& clients : malformed_clients_)
    for (auto& message : clients->messages()) read_health_checks(message);
  if (!region_links_) return;
  for (auto& message : region_links_->messages()) results_.link_bytes = message.at("bytes");
}

void ExperimentRun::read_health_checks(const Json& message) {
  ++final_messages_;
  results_.malformed_requests += message.at("requests").get<uint64_t>();
  results_.health_checks += message.at("health_checks").get<uint64_t>();
  const auto late = message.at("late_health_checks").get<uint64_t>();
  if (late == 0) return;
  results_.rule_violations.push_back(
      fmt::format("{} health checks were not answered within a second", late));
}

void ExperimentRun::sample_process(pid_t pid, double previous_runs_cpu_s, const std::string& key,
                                   const std::string& role, size_t region, bool measured,
                                   double& memory_mb) {
  const auto now = read_process_usage(pid);
  memory_mb += now.resident_mb;
  auto& last = sampled_[key];
  const double total = previous_runs_cpu_s + now.cpu_s();
  const double used = std::max(total - last.cpu_s, 0.0);
  last.cpu_s = total;
  if (!measured) return;
  results_.roles[role].add_second(used, now.resident_mb);
  results_.region_roles[region][role].add_second(used, now.resident_mb);
}

// Must be called once a second: the processor time since the last call counts as that of a second.
void ExperimentRun::sample(bool measured) {
  double memory_mb = read_process_usage(getpid()).resident_mb;
  for (auto& process : controllers_->all()) {
    const bool is_leader = shard_leaders_[process.region] == process.name;
    sample_process(process.pid, process.previous_runs_cpu_s, process.name,
                   is_leader ? "holder" : "other controller", process.region,
                   measured && process.pid != 0, memory_mb);
  }
  for (size_t r = 0; r < plan_.regions; ++r) {
    sample_process(key_value_stores_[r]->pid(), 0, key_value_stores_[r]->name(),
                   "state service (stand-in)", r, measured, memory_mb);
    sample_process(region_processes_[r]->pid(), 0, region_processes_[r]->name(),
                   "hollow workers, cloud, users", r, measured, memory_mb);
  }
  if (region_links_)
    sample_process(region_links_->pid(), 0, region_links_->name(), "links between regions", 0,
                   measured, memory_mb);
  results_.peak_memory_mb = std::max(results_.peak_memory_mb, memory_mb);
  double starts = 0, tasks = 0;
  for (auto& second : latest_region_reports_) {
    if (!second.is_object()) continue;
    starts += second.at("starts").get<double>();
    tasks += second.at("tasks").get<double>();
  }
  results_.starts_per_s_with_warmup.push_back(starts - last_starts_);
  if (measured) {
    results_.starts_per_s.push_back(starts - last_starts_);
    results_.tasks.push_back(tasks);
    results_.measured_s += 1;
  }
  last_starts_ = starts;
}

void ExperimentRun::print_placement(const Json& second) {
  if (!second.is_object() || !second.contains("placement")) return;
  for (auto& [machine, tasks] : second["placement"].items()) {
    progress_ << "         " << machine << ":";
    for (auto& task : tasks) progress_ << " " << task.get<std::string>();
    progress_ << "\n";
  }
}

void ExperimentRun::print_progress() {
  double workers = 0, tasks = 0, starts = 0, broken = 0;
  for (auto& second : latest_region_reports_) {
    if (!second.is_object()) continue;
    workers += second.at("workers").get<double>();
    tasks += second.at("tasks").get<double>();
    starts += second.at("starts").get<double>();
    broken += second.at("broken").get<double>();
  }
  std::string leaders;
  for (auto& shard_leader : shard_leaders_)
    leaders += fmt::format(" {}", shard_leader.empty() ? "-" : shard_leader);
  progress_ << fmt::format(
                   "{:5.0f} s  {:.0f} workers  {:.0f} tasks on them  {:.0f} started  {:.0f} rules "
                   "broken  holders:{}",
                   elapsed(), workers, tasks, starts, broken, leaders)
            << std::endl;
  for (auto& second : latest_region_reports_) print_placement(second);
}

void ExperimentRun::finish() {
  for (ChildProcess* child : emulators()) child->send({{"do", "finish"}});
  const double until = steady_now() + (lost_emulator_ ? 0 : final_message_timeout_s);
  const size_t expected_messages =
      key_value_stores_.size() + region_processes_.size() + malformed_clients_.size();
  while (final_messages_ < expected_messages && steady_now() < until) {
    usleep(20000);
    read_messages();
  }
  controllers_.reset();
  for (size_t r = 0; r < plan_.regions; ++r) {
    if (!results_.region_reports[r].is_object() ||
        !results_.key_value_store_reports[r].is_object()) {
      results_.rule_violations.push_back(fmt::format("region {} sent no final report", r));
      results_.region_reports[r] = {{"waits", Json::object()},
                                    {"accept_times", Json::array()},
                                    {"asked", Json::object()},
                                    {"served", Json::object()}};
      results_.key_value_store_reports[r] = {{"budgets", Json::object()}};
      continue;
    }
    for (auto& rule : results_.region_reports[r].at("broken_rules"))
      results_.rule_violations.push_back(
          fmt::format("{}: {}", addresses::region_name(r), rule.get<std::string>()));
  }
}

Results ExperimentRun::run(const volatile bool& stop) {
  schedule_faults();
  start_all();
  double next_sample = 1, next_progress = progress_interval_s;
  while (elapsed() < plan_.seconds && !stop && !lost_emulator_) {
    usleep(static_cast<useconds_t>(poll_interval_s * 1e6));
    read_messages();
    results_.unexpected_exits += controllers_->restart_exited(elapsed());
    lost_emulator_ = has_lost_emulator();
    // By index, because an action may append further ones, such as the end of a fault.
    for (size_t i = 0; i < scheduled_actions_.size(); ++i) {
      if (scheduled_actions_[i].at_s > elapsed()) continue;
      auto action = std::move(scheduled_actions_[i].action);
      scheduled_actions_.erase(scheduled_actions_.begin() + static_cast<std::ptrdiff_t>(i--));
      action();
    }
    if (elapsed() >= next_sample) {
      sample(elapsed() >= plan_.warmup_s);
      next_sample += 1;
    }
    if (elapsed() >= next_progress) {
      print_progress();
      next_progress += progress_interval_s;
    }
  }
  finish();
  return std::move(results_);
}

}  // namespace damsonport::loadtest
