#include <spdlog/spdlog.h>

#include "addresses.hpp"
#include "emulator_loop.hpp"
#include "emulator_processes.hpp"
#include "real_time_world.hpp"
#include "simulation/key_value_store.hpp"
#include "storage/records.hpp"

namespace damsonport::loadtest {

namespace {

// Number and bytes of the records, by the prefix of their keys.
Json stored_json(const simulation::KeyValueStore& store) {
  std::map<std::string, std::pair<size_t, size_t>> sums;
  for (auto& [key, record] : store.all()) {
    auto& [count, bytes] = sums[key.substr(0, key.rfind('/', 3) == 1 ? 4 : 3)];
    ++count;
    bytes += stored_size(record.value);
  }
  Json out = Json::object();
  for (auto& [prefix, sum] : sums) out[prefix] = {sum.first, sum.second};
  return out;
}

}  // namespace

void run_key_value_store(const ExperimentPlan& plan, size_t region, ParentChannel& parent) {
  EmulatorLoop* emulator_pointer = nullptr;
  simulation::KeyValueStore* store_pointer = nullptr;
  RealTimeWorld* world_pointer = nullptr;
  uint64_t fencing_token = 0;
  uint64_t writes = 0;
  auto on_command = [&](const Json& command) {
    const std::string command_name = command.at("do");
    if (command_name == "outage")
      world_pointer->run_in_world([&] { store_pointer->set_down(command.at("on").get<bool>()); });
    if (command_name != "finish") return;
    Json quotas = Json::object();
    for (auto& [key, record] : store_pointer->all())
      if (key.starts_with(keys::quota_prefix))
        quotas[key.substr(keys::quota_prefix.size())] = record.value;
    parent.send({{"kind", "final"},
                 {"writes", writes},
                 {"refused_for_rate", store_pointer->refused_for_rate()},
                 {"refused_for_size", store_pointer->refused_for_size()},
                 {"traffic", traffic_json(world_pointer->server_traffic())},
                 {"stored", stored_json(*store_pointer)},
                 {"budgets", std::move(quotas)}});
    emulator_pointer->finish();
  };
  EmulatorLoop loop(parent, on_command);
  emulator_pointer = &loop;
  RealTimeWorld world(loop.loop(), plan.seed + region);
  world_pointer = &world;
  world.set_port(addresses::key_value_store(region), addresses::key_value_store_port);
  simulation::KeyValueStore store(world, addresses::key_value_store(region),
                                  plan.settings.state_limits.present());
  store_pointer = &store;
  store.on_change = [&](const std::string& key, const Json& value) {
    ++writes;
    if (key != keys::shard_table || !value.is_object()) return;
    const auto shard_table = decode_shard_table(value);
    if (shard_table.leases.empty() || shard_table.leases[0].fencing_token == fencing_token) return;
    fencing_token = shard_table.leases[0].fencing_token;
    parent.send({{"kind", "holder"},
                 {"node", shard_table.leases[0].controller},
                 {"at", loop.loop().now()}});
  };
  loop.run([&] {
    parent.send({{"kind", "second"}, {"writes", writes}, {"keys", store.all().size()}});
  });
}

}  // namespace damsonport::loadtest
