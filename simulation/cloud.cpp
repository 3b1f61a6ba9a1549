#include "simulation/cloud.hpp"

#include <algorithm>
#include <utility>

#include "simulation/simulated_fleet.hpp"

namespace damsonport::simulation {

namespace {
constexpr double response_delay_s = 0.1;
constexpr double rate_burst_s = 2;  // calls in a burst, in seconds of the rate
constexpr double min_snapshot_interval_s = 0.5;

std::string query_field(const std::map<std::string, std::string>& query, const std::string& name) {
  auto it = query.find(name);
  return it == query.end() ? std::string() : it->second;
}
}  // namespace

Cloud::Cloud(World& world, const Settings& settings, std::vector<MachineType> machine_types,
             SimulatedFleet& fleet)
    : world_(world), settings_(settings), machine_types_(std::move(machine_types)), fleet_(fleet) {
  world_.serve(
      settings.cloud.host, [this](auto&, Method method, auto& target, auto& body, auto respond) {
        world_.in(response_delay_s,
                  [this, method, target, body, respond] { respond(handle(method, target, body)); });
      });
}

void Cloud::add_machine(const MachineInfo& info) {
  machines_[info.id] = {info.address, info.type, info.zone, info.spot, world_.now()};
}

bool Cloud::try_consume_call() {
  const double passed_s = world_.now() - std::exchange(calls_counted_at_, world_.now());
  calls_left_ =
      std::min(settings_.cloud_rps * rate_burst_s, calls_left_ + passed_s * settings_.cloud_rps);
  if (calls_left_ < 1) {
    ++rejected_for_rate_;
    return false;
  }
  calls_left_ -= 1;
  return true;
}

HttpClientResponse Cloud::handle(Method method, const std::string& target,
                                 const std::string& body) {
  if (!try_consume_call()) return {429, {}};
  if (outage_) return {503, encode({{"error", "trouble"}})};
  if (target == "/catalog") return catalog();
  if (method == Method::get) return list(target);
  const Json request = decode_map(body);
  if (target == "/hosts/return") return return_machines(request);
  return rent_machines(request);
}

HttpClientResponse Cloud::catalog() const {
  Json types = Json::array();
  for (auto& type : machine_types_)
    types.push_back({{"name", type.name},
                     {"cores", type.cpus},
                     {"accelerators", type.gpus},
                     {"memory_gb", type.memory_gb},
                     {"local_gb", type.cache_gb},
                     {"pull_gb_per_s", type.fetch_gb_per_s},
                     {"hourly", type.price},
                     {"spot_price", type.spot_price},
                     {"ready_s", type.boot_s},
                     {"docks", type.zones}});
  return {200, encode({{"hulls", std::move(types)}})};
}

HttpClientResponse Cloud::list(const std::string& target) {
  const auto query = query_of(target);
  const auto limit = query_field(query, "limit");
  const size_t most = limit.empty() ? page_size_ : std::min<size_t>(page_size_, std::stoul(limit));
  return {200, encode(list_page(query_field(query, "since"), most))};
}

Json Cloud::list_now() const {
  Json machines = Json::array();
  for (auto& [id, machine] : machines_)
    machines.push_back({{"ref", id},
                        {"address", machine.address},
                        {"hull", machine.type},
                        {"dock", machine.zone},
                        {"tender", machine.spot},
                        {"status", machine.is_up ? "running" : "starting"},
                        {"held_s", world_.now() - machine.requested_at}});
  return machines;
}

Json Cloud::list_page(const std::string& since, size_t limit) {
  const double now = world_.now();
  if (snapshots_.empty() || now - snapshots_.back().taken_at >= min_snapshot_interval_s)
    snapshots_.push_back({now, list_now()});
  const double shown_until = now - settings_.list_lag_s;
  while (snapshots_.size() > 1 && snapshots_[1].taken_at <= shown_until) snapshots_.pop_front();
  Json shown = Json::array();
  bool more = false;
  if (snapshots_.front().taken_at <= shown_until)
    for (auto& machine : snapshots_.front().machines) {
      if (machine["ref"].get_ref<const std::string&>() <= since) continue;
      more = shown.size() >= limit;
      if (more) break;
      shown.push_back(machine);
    }
  return {{"vessels", std::move(shown)}, {"more", more}};
}

HttpClientResponse Cloud::return_machines(const Json& request) {
  for (auto& name : request.at("vessels")) {
    const std::string id = name;
    if (auto* worker = fleet_.find(id)) {
      worker->terminate();
      ++returned_;
    }
    machines_.erase(id);
  }
  return {200, encode(Json::object())};
}

HttpClientResponse Cloud::rent_machines(const Json& request) {
  const std::string key = request.at("charter");
  if (responses_by_request_.contains(key)) return {200, encode(responses_by_request_[key])};
  const int count =
      std::min(request.at("count").get<int>(), capacity_ - static_cast<int>(machines_.size()));
  if (count <= 0) return {503, encode({{"error", "no capacity"}})};
  Json ids = Json::array();
  for (int i = 0; i < count; ++i) {
    const Worker& worker = fleet_.add(request.at("hull"), request.at("dock"), request.at("tender"));
    ++rented_;
    ids.push_back(worker.id);
    boot(worker.id, worker.type);
  }
  responses_by_request_[key] = {{"vessels", ids}};
  return {200, encode(responses_by_request_[key])};
}

void Cloud::boot(const std::string& id, const std::string& type) {
  double boot_s = boot_s_;
  for (auto& known : machine_types_)
    if (known.name == type && boot_s == 0) boot_s = known.boot_s;
  if (boot_s < 0) return;  // the machine stays in the state `starting`
  world_.in(boot_s, [this, id] {
    auto* worker = fleet_.find(id);
    if (!worker) return;
    mark_up(id);
    worker->begin();
  });
}

}  // namespace damsonport::simulation
