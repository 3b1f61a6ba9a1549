#include "config/settings.hpp"

#include <filesystem>

#include "config/text_file.hpp"
#include "config/toml_reader.hpp"

namespace damsonport {

namespace {

// Minimum limits of the key-value store with which records can be written at all.
constexpr double min_rate = 1;
constexpr double min_value_kb = 1;
constexpr double min_txn_writes = 3;
// Upper bounds, larger than any expected deployment, and small enough for an int.
constexpr double max_txn_writes = 1e9;
constexpr double max_controllers = 1e6;
constexpr double max_sockets = 1e9;
constexpr double min_sockets = 32;
constexpr double min_cloud_rps = 0.01;
constexpr double min_period_s = 0.01;
constexpr double ms_per_s = 1000;

StateLimits read_present_limits(TomlReader& reader, const TomlTable& table) {
  StateLimits out;
  out.requests_per_s = reader.required(table, "rps", min_rate);
  out.writes_per_s = reader.required(table, "write_rps", min_rate);
  out.value_kb = reader.required(table, "value_kb", min_value_kb);
  out.txn_writes =
      static_cast<int>(reader.required(table, "txn_ops", min_txn_writes, max_txn_writes));
  return out;
}

// Limits that the table `next` omits stay as they are at present.
StateLimits read_announced_limits(TomlReader& reader, const TomlTable& table,
                                  const StateLimits& present) {
  StateLimits out;
  out.requests_per_s = reader.number(table, "rps", present.requests_per_s, min_rate);
  out.writes_per_s = reader.number(table, "write_rps", present.writes_per_s, min_rate);
  out.value_kb = reader.number(table, "value_kb", present.value_kb, min_value_kb);
  out.txn_writes = static_cast<int>(
      reader.number(table, "txn_ops", present.txn_writes, min_txn_writes, max_txn_writes));
  return out;
}

StateLimitSettings read_state_limits(TomlReader& reader, const TomlTable& state) {
  const StateLimits present = read_present_limits(reader, state);
  return {present, read_announced_limits(reader, reader.table(state, "next"), present)};
}

Endpoint read_endpoint(TomlReader& reader, const TomlTable& table, const char* key) {
  Endpoint out;
  const auto value = reader.text(table, key);
  if (!value.empty() && !parse_endpoint(value, out)) reader.fail(table, key, "must be IPV4:PORT");
  return out;
}

TeamSettings read_team(TomlReader& reader, const TomlTable& table) {
  TeamSettings team;
  team.name = reader.text(table, "name");
  team.cpus = reader.required(table, "cpus", 0);
  team.cpus_max = reader.required(table, "cpus_max", 0);
  team.gpus = reader.required(table, "gpus", 0);
  team.gpus_max = reader.required(table, "gpus_max", 0);
  return team;
}

// A field of the wrong type is treated as missing.
Objective read_objective(const TomlTable& table) {
  const auto& values = *table.values;
  return {values["kind"].value_or(std::string()), values["class"].value_or(std::string()),
          values["within_s"].value_or(0.0)};
}

void read_workers(TomlReader& reader, const TomlTable& table, Settings& settings) {
  settings.heartbeat_interval_s = reader.required(table, "report_s", min_period_s);
  settings.lease_s = reader.required(table, "lease_s", min_period_s);
  settings.cancel_s = reader.required(table, "cancel_s", min_period_s);
  // Every platform that supports gangs states these two. On other platforms the defaults only bound
  // how long capacity is reserved for a gang.
  settings.gang_wait_s = reader.number(table, "gang_wait_s", settings.cancel_s, min_period_s);
  settings.gang_peer_s = reader.number(table, "gang_peer_s", settings.lease_s / 2, min_period_s);
}

void read_deployment(TomlReader& reader, const TomlTable& deployment, Settings& settings) {
  settings.controller_count =
      static_cast<int>(reader.required(deployment, "initial_size", 1, max_controllers));
  settings.clock_off_s = reader.required(deployment, "clock_off_ms", 0) / ms_per_s;
  if (auto* zones = (*deployment.values)["zones"].as_array())
    for (auto& zone : *zones)
      if (auto name = zone.value<std::string>()) settings.zones.push_back(*name);
  if (settings.zones.empty()) reader.fail(deployment, "zones", "must be a list of names");
  for (auto& table : reader.tables(deployment, "teams"))
    settings.teams.push_back(read_team(reader, table));
  for (auto& table : reader.tables(deployment, "objectives"))
    settings.objectives.push_back(read_objective(table));
  read_workers(reader, reader.required_table(deployment, "workers"), settings);
  settings.state_limits = read_state_limits(reader, reader.required_table(deployment, "state"));
  const auto cloud = reader.required_table(deployment, "cloud");
  settings.cloud_rps = reader.required(cloud, "rps", min_cloud_rps);
  settings.list_lag_s = reader.required(cloud, "list_lag_s", 0);
  const auto resources = reader.required_table(deployment, "resources");
  settings.max_sockets =
      static_cast<int>(reader.required(resources, "max_sockets", min_sockets, max_sockets));
}

}  // namespace

double Settings::objective_s(const std::string& kind, const std::string& job_class) const {
  for (auto& objective : objectives)
    if (objective.kind == kind && objective.job_class == job_class) return objective.within_s;
  return 0;
}

const TeamSettings* Settings::team(const std::string& name) const {
  for (auto& team : teams)
    if (team.name == name) return &team;
  return nullptr;
}

Result<Settings> parse_settings(const std::string& toml_text) {
  auto parsed = parse_toml(toml_text);
  if (!parsed) return Error{parsed.error()};
  TomlReader reader(*parsed);
  const TomlTable& root = reader.root();
  Settings settings;
  settings.controller_name = reader.text(root, "node_name");
  settings.zone = reader.text(root, "location");
  settings.listen = read_endpoint(reader, root, "listen");
  settings.peer_listen = read_endpoint(reader, root, "mesh_addr");
  for (auto& table : reader.tables(root, "known"))
    settings.peers.push_back({reader.text(table, "node_name"), reader.text(table, "location"),
                              read_endpoint(reader, table, "endpoint")});
  const auto endpoints = reader.required_table(root, "endpoints");
  settings.cloud = read_endpoint(reader, endpoints, "cloud");
  settings.state = read_endpoint(reader, endpoints, "state");
  read_deployment(reader, reader.required_table(root, "deployment"), settings);
  if (!reader.ok()) return reader.error();
  return settings;
}

Result<Settings> load_settings(const std::string& path) {
  auto settings = parse_text_file(path, parse_settings);
  if (!settings) return settings;
  // The operators' file has the same path as the platform's, with the extension .sexp.
  auto own = std::filesystem::path(path).replace_extension(".sexp").string();
  if (auto own_text = read_text_file(own)) {
    auto tuning = parse_tuning(*own_text);
    if (!tuning) return tuning.error_in(own);
    settings->tuning = *tuning;
  }
  return settings;
}

}  // namespace damsonport
