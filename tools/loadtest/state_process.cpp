#include <spdlog/spdlog.h>

#include "addresses.hpp"
#include "emulator.hpp"
#include "emulator_loop.hpp"
#include "real_time_world.hpp"
#include "simulation/key_value_store.hpp"
#include "storage/records.hpp"

namespace damsonport::loadtest {

namespace {

// Keys and bytes of the records, by the prefix of their names.
Json stored_json(const simulation::KeyValueStore& service) {
  std::map<std::string, std::pair<size_t, size_t>> sums;
  for (auto& [key, record] : service.all()) {
    auto& [count, bytes] = sums[key.substr(0, key.rfind('/', 3) == 1 ? 4 : 3)];
    ++count;
    bytes += stored_size(record.value);
  }
  Json out = Json::object();
  for (auto& [prefix, sum] : sums) out[prefix] = {sum.first, sum.second};
  return out;
}

}  // namespace

void run_state_service(const Experiment& plan, size_t region, ParentChannel& parent) {
  EmulatorLoop* emulator = nullptr;
  simulation::KeyValueStore* state = nullptr;
  RealTimeWorld* world_of = nullptr;
  uint64_t fencing_token = 0;
  uint64_t writes = 0;
  auto on_command = [&](const Json& command) {
    const std::string what = command.at("do");
    if (what == "outage") world_of->act([&] { state->set_down(command.at("on").get<bool>()); });
    if (what != "finish") return;
    Json quotas = Json::object();
    for (auto& [key, record] : state->all())
      if (key.starts_with(keys::quota_prefix))
        quotas[key.substr(keys::quota_prefix.size())] = record.value;
    parent.tell({{"kind", "final"},
                 {"writes", writes},
                 {"refused_for_rate", state->refused_for_rate()},
                 {"refused_for_size", state->refused_for_size()},
                 {"traffic", traffic_json(world_of->served())},
                 {"stored", stored_json(*state)},
                 {"budgets", std::move(quotas)}});
    emulator->finish();
  };
  EmulatorLoop loop(parent, on_command);
  emulator = &loop;
  RealTimeWorld world(loop.loop(), plan.seed + region);
  world_of = &world;
  world.set_port(addresses::state(region), addresses::state_port);
  simulation::KeyValueStore service(world, addresses::state(region),
                                    plan.settings.state_limits.present());
  state = &service;
  service.on_change = [&](const std::string& key, const Json& value) {
    ++writes;
    if (key != keys::shard_table || !value.is_object()) return;
    const auto shard_table = decode_shard_table(value);
    if (shard_table.leases.empty() || shard_table.leases[0].fencing_token == fencing_token) return;
    fencing_token = shard_table.leases[0].fencing_token;
    parent.tell({{"kind", "holder"},
                 {"node", shard_table.leases[0].controller},
                 {"at", loop.loop().now()}});
  };
  loop.run([&] {
    parent.tell({{"kind", "second"}, {"writes", writes}, {"keys", service.all().size()}});
  });
}

}  // namespace damsonport::loadtest
