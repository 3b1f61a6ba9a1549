#include <spdlog/spdlog.h>

#include "addresses.hpp"
#include "emulator_loop.hpp"
#include "emulator_processes.hpp"
#include "simulation/simulated_fleet.hpp"
#include "users.hpp"

namespace damsonport::loadtest {

namespace {

// CPUs and accelerators; covers rounding in the sums of a team's usage.
constexpr double quota_tolerance = 1e-6;

// The simulated cloud, workers and users of one region.
class RegionProcess {
 public:
  RegionProcess(const ExperimentPlan& plan, size_t region, TeamUsage& usage, ParentChannel& parent)
      : plan_(plan),
        region_(region),
        team_usage_(usage),
        parent_(parent),
        emulator_(parent, [this](const Json& command) { handle_command(command); }),
        world_(emulator_.loop(), plan.seed * 1000 + region),
        settings_(region_settings(plan, region)),
        types_(plan.machines) {
    world_.set_port(addresses::cloud(region), addresses::cloud_port);
    std::vector<simulation::ControllerAddress> controllers;
    for (size_t n = 0; n < plan.controllers[region]; ++n) {
      controllers.push_back(
          {addresses::controller_name(region, n), addresses::controller(region, n)});
      world_.set_port(controllers.back().host, addresses::api_port);
    }
    for (auto& type : types_) type.zones = settings_.zones;
    fleet_ = std::make_unique<simulation::SimulatedFleet>(world_, settings_, types_, controllers,
                                                          addresses::workers_prefix(region));
    fleet_->cloud().set_capacity(plan.workers[region]);
    users_ = std::make_unique<Users>(plan, region, world_, *fleet_);
    auto& rules = fleet_->rules();
    rules.on_start = [this](const TaskId& task) { users_->on_task_started(task); };
    rules.on_use = [this](const std::string& team, double cpus, double gpus) {
      record_team_usage(team, cpus, gpus);
    };
    if (!plan.replica_policies_enabled[region]) rules.replicas().skip_rules();
    add_workers();
    users_->start();
  }

  void run() {
    emulator_.run([this] { send_report(); });
  }

 private:
  static Settings region_settings(const ExperimentPlan& plan, size_t region) {
    Settings s = plan.settings;
    s.zones.clear();
    for (size_t z = 0; z < plan.zones; ++z) s.zones.push_back(addresses::zone_name(region, z));
    s.cloud = {addresses::cloud(region), addresses::cloud_port};
    s.state = {addresses::key_value_store(region), addresses::key_value_store_port};
    return s;
  }

  // Adds the planned number of workers: machine types in proportion to their shares, zones in turn.
  void add_workers() {
    double all = 0;
    for (double share : plan_.machine_share) all += share;
    std::vector<double> pending_shares(plan_.machine_share.size());
    for (int i = 0; i < plan_.workers[region_]; ++i) {
      for (size_t t = 0; t < pending_shares.size(); ++t)
        pending_shares[t] += plan_.machine_share[t] / all;
      const auto type =
          std::max_element(pending_shares.begin(), pending_shares.end()) - pending_shares.begin();
      pending_shares[static_cast<size_t>(type)] -= 1;
      fleet_->add_up(types_[static_cast<size_t>(type)].name,
                     settings_.zones[static_cast<size_t>(i) % settings_.zones.size()], false);
    }
  }

  // Called when a task starts or ends; reports a violation if a start takes the team over its limit
  // in all regions together.
  void record_team_usage(const std::string& team, double cpus, double gpus) {
    const size_t index = std::stoul(team.substr(team.find('-') + 1));
    const auto now = team_usage_.add(index, cpus, gpus);
    const auto& limits = settings_.teams[index];
    const bool over =
        (limits.cpus_max > 0 && cpus > 0 && now.cpus > limits.cpus_max + quota_tolerance) ||
        (limits.gpus_max > 0 && gpus > 0 && now.gpus > limits.gpus_max + quota_tolerance);
    if (over)
      fleet_->rules().report_violation("quota", team + " uses " + std::to_string(now.cpus) +
                                                    " CPUs and " + std::to_string(now.gpus) +
                                                    " accelerators over all regions");
  }

  // Removes up to `count` random machines that have running parts of replicas.
  void kill_machines(size_t count) {
    std::vector<simulation::Worker*> candidates;
    for (auto& [id, worker] : fleet_->workers()) {
      if (worker->gone) continue;
      const bool has_part =
          std::any_of(worker->tasks().begin(), worker->tasks().end(), [&](const auto& entry) {
            const JobSpec* spec = fleet_->rules().spec(entry.first.task.job);
            return spec && spec->replicated() && simulation::occupies_machine(entry.second.report);
          });
      if (has_part) candidates.push_back(worker.get());
    }
    world_.run_in_world([&] {
      for (; count > 0 && !candidates.empty(); --count) {
        const auto drawn = static_cast<std::ptrdiff_t>(world_.random64() % candidates.size());
        candidates[static_cast<size_t>(drawn)]->terminate();
        candidates.erase(candidates.begin() + drawn);
      }
    });
  }

  void handle_command(const Json& command) {
    const std::string command_name = command.at("do");
    if (command_name == "hang") {
      const auto zone = settings_.zones.at(command.at("zone").get<size_t>());
      world_.run_in_world([&] {
        for (auto& [id, worker] : fleet_->workers())
          if (!worker->gone && worker->zone == zone) worker->hang(command.at("for").get<double>());
      });
    }
    if (command_name == "kill_machines") kill_machines(command.at("count").get<size_t>());
    if (command_name == "cancel") users_->cancel_services(command.at("count").get<size_t>());
    if (command_name != "finish") return;
    Json waits = Json::object();
    for (auto& [load, values] : users_->waits()) {
      Json list = Json::array();
      for (auto& wait : values) list.push_back({wait.submitted_at, wait.seconds});
      waits[load] = std::move(list);
    }
    auto message = progress_message("final");
    message["waits"] = std::move(waits);
    message["accept_times"] = users_->accept_times();
    message["answers"] = users_->response_counts();
    message["asked"] = traffic_json(world_.client_traffic());
    message["served"] = traffic_json(world_.server_traffic());
    message["broken_rules"] = fleet_->rules().violations();
    const auto replicas = fleet_->rules().replicas().figures();
    message["replicas"] = {{"whole_again_s", replicas.whole_again_s},
                           {"complete_again_s", replicas.complete_again_s},
                           {"half_s", replicas.partial_s},
                           {"not_whole", replicas.not_whole}};
    parent_.send(message);
    emulator_.finish();
  }

  Json progress_message(const char* kind) const {
    size_t worker_count = 0, tasks = 0, sessions_lost = 0;
    for (auto& [id, worker] : fleet_->workers()) {
      if (worker->gone) continue;
      ++worker_count;
      sessions_lost += worker->agent_epoch() - 1;
      for (auto& [attempt, task] : worker->tasks())
        tasks += simulation::occupies_machine(task.report);
    }
    return {{"kind", kind},
            {"workers", worker_count},
            {"tasks", tasks},
            {"starts", users_->starts()},
            {"submitted", users_->submitted()},
            {"accepted", users_->accepted()},
            {"sessions_lost", sessions_lost},
            {"rented", fleet_->cloud().rented()},
            {"returned", fleet_->cloud().returned()},
            {"broken", fleet_->rules().violations().size()}};
  }
  void send_report() {
    constexpr int max_workers_shown = 50;
    auto message = progress_message("second");
    if (plan_.workers[region_] <= max_workers_shown) message["placement"] = placement();
    parent_.send(message);
  }
  // The tasks on each machine, for plans that are small enough to print them.
  Json placement() const {
    Json out = Json::object();
    for (auto& [id, worker] : fleet_->workers()) {
      if (worker->gone) continue;
      Json tasks = Json::array();
      for (auto& [attempt, task] : worker->tasks())
        if (simulation::occupies_machine(task.report)) tasks.push_back(attempt.task.text());
      if (!tasks.empty()) out[id + " (" + worker->zone + ")"] = std::move(tasks);
    }
    return out;
  }

  const ExperimentPlan& plan_;
  size_t region_;
  TeamUsage& team_usage_;
  ParentChannel& parent_;
  EmulatorLoop emulator_;
  RealTimeWorld world_;
  Settings settings_;
  std::vector<MachineType> types_;
  std::unique_ptr<simulation::SimulatedFleet> fleet_;
  std::unique_ptr<Users> users_;
};

}  // namespace

void run_region(const ExperimentPlan& plan, size_t region, TeamUsage& usage,
                ParentChannel& parent) {
  // Leaked on purpose: the process ends when `run` returns.
  auto* process = new RegionProcess(plan, region, usage, parent);
  process->run();
}

}  // namespace damsonport::loadtest
