#include <spdlog/spdlog.h>

#include "addresses.hpp"
#include "emulator.hpp"
#include "emulator_loop.hpp"
#include "simulation/simulated_fleet.hpp"
#include "users.hpp"

namespace damsonport::loadtest {

namespace {

constexpr double eps = 1e-6;

class RegionProcess {
 public:
  RegionProcess(const Experiment& plan, size_t region, TeamUse& use, ParentChannel& parent)
      : plan_(plan),
        region_(region),
        use_(use),
        parent_(parent),
        emulator_(parent, [this](const Json& command) { obey(command); }),
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
    rules.on_start = [this](const TaskId& task) { users_->started(task); };
    rules.on_use = [this](const std::string& team, double cpus, double gpus) {
      count_use(team, cpus, gpus);
    };
    if (!plan.replicas_in_force[region]) rules.replicas().skip_rules();
    add_workers();
    users_->begin();
  }

  void run() {
    emulator_.run([this] { report(); });
  }

 private:
  static Settings region_settings(const Experiment& plan, size_t region) {
    Settings s = plan.settings;
    s.zones.clear();
    for (size_t z = 0; z < plan.zones; ++z) s.zones.push_back(addresses::zone_name(region, z));
    s.cloud = {addresses::cloud(region), addresses::cloud_port};
    s.state = {addresses::state(region), addresses::state_port};
    return s;
  }

  // By type in their shares, and in the zones by turns.
  void add_workers() {
    double all = 0;
    for (double share : plan_.machine_share) all += share;
    std::vector<double> due(plan_.machine_share.size());
    for (int i = 0; i < plan_.workers[region_]; ++i) {
      for (size_t t = 0; t < due.size(); ++t) due[t] += plan_.machine_share[t] / all;
      const auto type = std::max_element(due.begin(), due.end()) - due.begin();
      due[static_cast<size_t>(type)] -= 1;
      fleet_->add_up(types_[static_cast<size_t>(type)].name,
                     settings_.zones[static_cast<size_t>(i) % settings_.zones.size()], false);
    }
  }

  void count_use(const std::string& team, double cpus, double gpus) {
    const size_t index = std::stoul(team.substr(team.find('-') + 1));
    const auto now = use_.add(index, cpus, gpus);
    const auto& limits = settings_.teams[index];
    const bool over = (limits.cpus_max > 0 && cpus > 0 && now.cpus > limits.cpus_max + eps) ||
                      (limits.gpus_max > 0 && gpus > 0 && now.gpus > limits.gpus_max + eps);
    if (over)
      fleet_->rules().report_violation("quota", team + " uses " + std::to_string(now.cpus) +
                                                    " CPUs and " + std::to_string(now.gpus) +
                                                    " accelerators over all regions");
  }

  // Drawn from those with parts of replicas.
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
    world_.act([&] {
      for (; count > 0 && !candidates.empty(); --count) {
        const auto drawn = static_cast<std::ptrdiff_t>(world_.random64() % candidates.size());
        candidates[static_cast<size_t>(drawn)]->terminate();
        candidates.erase(candidates.begin() + drawn);
      }
    });
  }

  void obey(const Json& command) {
    const std::string what = command.at("do");
    if (what == "hang") {
      const auto zone = settings_.zones.at(command.at("zone").get<size_t>());
      world_.act([&] {
        for (auto& [id, worker] : fleet_->workers())
          if (!worker->gone && worker->zone == zone) worker->hang(command.at("for").get<double>());
      });
    }
    if (what == "kill_machines") kill_machines(command.at("count").get<size_t>());
    if (what == "cancel") users_->cancel_services(command.at("count").get<size_t>());
    if (what != "finish") return;
    Json waits = Json::object();
    for (auto& [load, values] : users_->waits()) {
      Json list = Json::array();
      for (auto& wait : values) list.push_back({wait.submitted_at, wait.seconds});
      waits[load] = std::move(list);
    }
    auto message = progress("final");
    message["waits"] = std::move(waits);
    message["accept_times"] = users_->accept_times();
    message["answers"] = users_->answers();
    message["asked"] = traffic_json(world_.asked());
    message["served"] = traffic_json(world_.served());
    message["broken_rules"] = fleet_->rules().violations();
    const auto replicas = fleet_->rules().replicas().figures();
    message["replicas"] = {{"whole_again_s", replicas.whole_again_s},
                           {"complete_again_s", replicas.complete_again_s},
                           {"half_s", replicas.partial_s},
                           {"not_whole", replicas.not_whole}};
    parent_.tell(message);
    emulator_.finish();
  }

  Json progress(const char* kind) const {
    size_t up = 0, tasks = 0, sessions_lost = 0;
    for (auto& [id, worker] : fleet_->workers()) {
      if (worker->gone) continue;
      ++up;
      sessions_lost += worker->agent_epoch() - 1;
      for (auto& [attempt, task] : worker->tasks())
        tasks += simulation::occupies_machine(task.report);
    }
    return {{"kind", kind},
            {"workers", up},
            {"tasks", tasks},
            {"starts", users_->starts()},
            {"submitted", users_->submitted()},
            {"accepted", users_->accepted()},
            {"sessions_lost", sessions_lost},
            {"rented", fleet_->cloud().rented()},
            {"returned", fleet_->cloud().returned()},
            {"broken", fleet_->rules().violations().size()}};
  }
  void report() {
    constexpr int most_shown = 50;
    auto message = progress("second");
    if (plan_.workers[region_] <= most_shown) message["placement"] = placement();
    parent_.tell(message);
  }
  // Tasks by machine, for plans small enough to be looked at.
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

  const Experiment& plan_;
  size_t region_;
  TeamUse& use_;
  ParentChannel& parent_;
  EmulatorLoop emulator_;
  RealTimeWorld world_;
  Settings settings_;
  std::vector<MachineType> types_;
  std::unique_ptr<simulation::SimulatedFleet> fleet_;
  std::unique_ptr<Users> users_;
};

}  // namespace

void run_region(const Experiment& plan, size_t region, TeamUse& use, ParentChannel& parent) {
  // Never taken apart: the process ends with it.
  auto* process = new RegionProcess(plan, region, use, parent);
  process->run();
}

}  // namespace damsonport::loadtest
