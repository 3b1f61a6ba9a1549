#include "scenarios/scenario_deployment.hpp"

#include <algorithm>

namespace damsonport::simulation {

namespace {
const std::string store_host = "10.2.0.1";
const std::string cloud_host = "10.2.0.2";
constexpr uint16_t store_port = 2379;
constexpr uint16_t cloud_port = 8443;
constexpr uint16_t controller_port = 8080;
constexpr uint16_t peer_port = 8081;
}  // namespace

void ScenarioDeployment::complete_settings() {
  Settings& settings = plan_.settings;
  if (settings.heartbeat_interval_s == 0) {
    settings.heartbeat_interval_s = 1.5;
    settings.lease_s = 12;
    settings.cancel_s = 42;
  }
  if (settings.gang_wait_s == 0) {
    settings.gang_wait_s = 40;
    settings.gang_peer_s = 6;
  }
  settings.state_limits = {plan_.store_limits, plan_.announced_store_limits};
  settings.list_lag_s = 4;
  settings.max_sockets = 600;
  if (settings.zones.empty()) settings.zones = {"a"};
  settings.controller_count = plan_.controller_count;
  settings.state = {store_host, store_port};
  settings.cloud = {cloud_host, cloud_port};
  if (settings.teams.empty()) settings.teams.push_back({"t", 0, 0, 0, 0});
}

void ScenarioDeployment::start_simulators() {
  complete_settings();
  for (int i = 0; i < plan_.controller_count; ++i)
    controller_addresses_.push_back({"n" + std::to_string(i), "10.0.0." + std::to_string(i + 1)});
  store_ = std::make_unique<KeyValueStore>(world_, store_host, plan_.store_limits);
  store_->on_change = [this](const std::string& key, const Json& value) {
    on_record_change(key, value);
  };
  fleet_ = std::make_unique<SimulatedFleet>(world_, plan_.settings, plan_.machine_types,
                                            controller_addresses_);
  fleet_->lease_of = [this](uint64_t token) { return lease_by_token_[token]; };
  fleet_->cloud().set_capacity(plan_.cloud_capacity);
  fleet_->cloud().set_boot_time(plan_.boot_s);
  fleet_->cloud().set_page_size(plan_.cloud_page_size);
  fleet_->set_broken_jobs(plan_.broken_jobs);
  for (auto& [job, seconds] : plan_.run_time_s) fleet_->set_run_time(job, seconds);
  for (auto& machine : plan_.initial_machines)
    initial_machines_.push_back(fleet_->add_up(machine.type, machine.zone, machine.spot).id);
}

Settings ScenarioDeployment::controller_settings(size_t index) const {
  Settings settings = plan_.settings;
  const auto zone_of = [&](size_t i) { return settings.zones[i % settings.zones.size()]; };
  settings.controller_name = controller_addresses_[index].name;
  settings.zone = zone_of(index);
  settings.listen = {controller_addresses_[index].host, controller_port};
  settings.peer_listen = {controller_addresses_[index].host, peer_port};
  for (size_t peer = 0; peer < controller_addresses_.size(); ++peer)
    if (peer != index)
      settings.peers.push_back({controller_addresses_[peer].name,
                                zone_of(peer),
                                {controller_addresses_[peer].host, peer_port}});
  return settings;
}

void ScenarioDeployment::start_controllers() {
  for (size_t i = 0; i < controller_addresses_.size(); ++i) {
    const double clock_rate = 1 + (i % 2 ? plan_.clock_drift : 0);
    controllers_.push_back(std::make_unique<VirtualController>(
        world_, streams_, controller_settings(i), std::nullopt, clock_rate));
    controllers_.back()->start();
  }
}

// A lease keeps its holder and the token with which it was acquired when its token is raised.
void ScenarioDeployment::note_leases(const Json& shard_table) {
  for (auto& lease : decode_shard_table(shard_table).leases)
    lease_by_token_[lease.fencing_token] = lease.controller + "#" +
                                           std::to_string(lease.incarnation) + "#" +
                                           std::to_string(lease.first_fencing_token());
}

void ScenarioDeployment::on_record_change(const std::string& key, const Json& value) {
  ++writes_[key];
  if (key == keys::shard_table) note_leases(value);
  if (crash_on_write_.times == 0 || !key.starts_with(crash_on_write_.key_prefix)) return;
  --crash_on_write_.times;
  world_.in(crash_on_write_.after_s, [this, down_s = crash_on_write_.down_s] {
    for (auto* controller : select_controllers("leader")) controller->crash(down_s);
  });
}

int ScenarioDeployment::record_writes(const std::string& job) const {
  int writes = 0;
  for (auto& [key, count] : writes_)
    if (key.ends_with("/" + job) || key.find("/" + job + "/") != std::string::npos) writes += count;
  return writes;
}

bool ScenarioDeployment::is_recorded(const TaskAttempt& attempt, const std::string& machine) const {
  const Json entry = {attempt.task.index, attempt.number, machine};
  const std::string prefix = keys::chunks_of(attempt.task.job);
  return std::any_of(store_->all().begin(), store_->all().end(), [&](const auto& stored) {
    if (!stored.first.starts_with(prefix)) return false;
    const Json live = stored.second.value.value(fields::live_tasks, Json::array());
    return std::find(live.begin(), live.end(), entry) != live.end();
  });
}

std::string ScenarioDeployment::leader() const {
  auto* record = store_->value("d/l");
  return record ? record->value("node", std::string()) : std::string();
}

size_t ScenarioDeployment::index_of(const VirtualController& controller) const {
  auto it = std::find_if(controllers_.begin(), controllers_.end(),
                         [&](auto& other) { return other.get() == &controller; });
  return static_cast<size_t>(it - controllers_.begin());
}

std::vector<VirtualController*> ScenarioDeployment::select_controllers(
    const std::string& word) const {
  const std::string leader_name = leader();
  std::vector<VirtualController*> selected;
  for (auto& part : split_list(word))
    for (auto& controller : controllers_) {
      const bool leads = controller->name() == leader_name;
      if (part == controller->name() || part == "nodes" || part == "all" ||
          (part == "leader" && leads) || (part == "others" && !leads) ||
          part == "zone:" + controller->zone())
        selected.push_back(controller.get());
    }
  return selected;
}

std::string ScenarioDeployment::machine_name(const std::string& id) const {
  auto it = std::find(initial_machines_.begin(), initial_machines_.end(), id);
  return "m" + std::to_string(it - initial_machines_.begin() + 1);
}

bool ScenarioDeployment::runs_task_of(const Worker& worker, const std::string& job_or_task) {
  return std::any_of(worker.tasks().begin(), worker.tasks().end(), [&](auto& entry) {
    const TaskId& task = entry.first.task;
    return (task.job == job_or_task || task.text() == job_or_task) &&
           entry.second.report.state != TaskState::exited;
  });
}

std::vector<Worker*> ScenarioDeployment::select_machines(const std::string& word) const {
  constexpr std::string_view with_task = "with:";
  std::vector<Worker*> selected;
  for (auto& part : split_list(word))
    for (auto& [id, worker] : fleet_->workers()) {
      if (worker->gone) continue;
      if (part == "machines" || part == machine_name(id) || part == "zone:" + worker->zone ||
          (part.starts_with(with_task) && runs_task_of(*worker, part.substr(with_task.size()))))
        selected.push_back(worker.get());
    }
  return selected;
}

std::vector<std::string> ScenarioDeployment::select_hosts(const std::string& word) const {
  std::vector<std::string> hosts;
  for (auto& part : split_list(word)) {
    if (part == "state") hosts.push_back(store_host);
    if (part == "cloud") hosts.push_back(cloud_host);
    for (auto* controller : select_controllers(part)) hosts.push_back(controller->host());
    for (auto* worker : select_machines(part)) hosts.push_back(worker->host);
  }
  return hosts;
}

ScenarioDeployment::TaskCounts ScenarioDeployment::count_tasks(const std::string& job) const {
  TaskCounts counts;
  for (auto& [id, worker] : fleet_->workers())
    for (auto& [attempt, task] : worker->tasks()) {
      if (attempt.task.job != job || task.report.state == TaskState::exited) continue;
      ++counts.present;
      if (task.report.state == TaskState::running) ++counts.running;
    }
  return counts;
}

}  // namespace damsonport::simulation
