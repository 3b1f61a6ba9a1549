#include "config/settings.hpp"

#include <filesystem>

#include "config/text_file.hpp"
#include "config/toml_reader.hpp"

namespace damsonport {

namespace {

// The least that the key-value store must offer for the records to be written at all.
constexpr double min_rate = 1;
constexpr double min_value_kb = 1;
constexpr double min_txn_writes = 3;
// Beyond any system in sight, and within an int.
constexpr double max_txn_writes = 1e9;
constexpr double max_controllers = 1e6;
constexpr double max_sockets = 1e9;
constexpr double min_sockets = 32;
constexpr double min_cloud_rps = 0.01;
constexpr double min_period_s = 0.01;
constexpr double ms_per_s = 1000;

StateLimits read_present_limits(TomlReader& r, const TomlTable& t) {
  StateLimits out;
  out.requests_per_s = r.required(t, "rps", min_rate);
  out.writes_per_s = r.required(t, "write_rps", min_rate);
  out.value_kb = r.required(t, "value_kb", min_value_kb);
  out.txn_writes = static_cast<int>(r.required(t, "txn_ops", min_txn_writes, max_txn_writes));
  return out;
}

// What `next` does not name stays as it is.
StateLimits read_announced_limits(TomlReader& r, const TomlTable& t, const StateLimits& present) {
  StateLimits out;
  out.requests_per_s = r.number(t, "rps", present.requests_per_s, min_rate);
  out.writes_per_s = r.number(t, "write_rps", present.writes_per_s, min_rate);
  out.value_kb = r.number(t, "value_kb", present.value_kb, min_value_kb);
  out.txn_writes =
      static_cast<int>(r.number(t, "txn_ops", present.txn_writes, min_txn_writes, max_txn_writes));
  return out;
}

StateLimitSettings read_state_limits(TomlReader& r, const TomlTable& state) {
  const StateLimits present = read_present_limits(r, state);
  return {present, read_announced_limits(r, r.table(state, "next"), present)};
}

Endpoint read_endpoint(TomlReader& r, const TomlTable& t, const char* key) {
  Endpoint out;
  const auto value = r.text(t, key);
  if (!value.empty() && !parse_endpoint(value, out)) r.fail(t, key, "must be IPV4:PORT");
  return out;
}

TeamSettings read_team(TomlReader& r, const TomlTable& t) {
  TeamSettings team;
  team.name = r.text(t, "name");
  team.cpus = r.required(t, "cpus", 0);
  team.cpus_max = r.required(t, "cpus_max", 0);
  team.gpus = r.required(t, "gpus", 0);
  team.gpus_max = r.required(t, "gpus_max", 0);
  return team;
}

// A field that is missing or of another type counts as left out.
Objective read_objective(const TomlTable& t) {
  const auto& values = *t.values;
  return {values["kind"].value_or(std::string()), values["class"].value_or(std::string()),
          values["within_s"].value_or(0.0)};
}

void read_workers(TomlReader& r, const TomlTable& t, Settings& s) {
  s.heartbeat_interval_s = r.required(t, "report_s", min_period_s);
  s.lease_s = r.required(t, "lease_s", min_period_s);
  s.cancel_s = r.required(t, "cancel_s", min_period_s);
  // Known to every platform that has gangs; elsewhere they only bound how long a gang is held.
  s.gang_wait_s = r.number(t, "gang_wait_s", s.cancel_s, min_period_s);
  s.gang_peer_s = r.number(t, "gang_peer_s", s.lease_s / 2, min_period_s);
}

void read_deployment(TomlReader& r, const TomlTable& d, Settings& s) {
  s.controller_count = static_cast<int>(r.required(d, "initial_size", 1, max_controllers));
  s.clock_off_s = r.required(d, "clock_off_ms", 0) / ms_per_s;
  if (auto* zones = (*d.values)["zones"].as_array())
    for (auto& z : *zones)
      if (auto name = z.value<std::string>()) s.zones.push_back(*name);
  if (s.zones.empty()) r.fail(d, "zones", "must be a list of names");
  for (auto& t : r.tables(d, "teams")) s.teams.push_back(read_team(r, t));
  for (auto& t : r.tables(d, "objectives")) s.objectives.push_back(read_objective(t));
  read_workers(r, r.required_table(d, "workers"), s);
  s.state_limits = read_state_limits(r, r.required_table(d, "state"));
  const auto cloud = r.required_table(d, "cloud");
  s.cloud_rps = r.required(cloud, "rps", min_cloud_rps);
  s.list_lag_s = r.required(cloud, "list_lag_s", 0);
  const auto resources = r.required_table(d, "resources");
  s.max_sockets = static_cast<int>(r.required(resources, "max_sockets", min_sockets, max_sockets));
}

}  // namespace

double Settings::within(const std::string& kind, const std::string& job_class) const {
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
  TomlReader r(*parsed);
  const TomlTable& root = r.root();
  Settings s;
  s.controller_name = r.text(root, "node_name");
  s.zone = r.text(root, "location");
  s.listen = read_endpoint(r, root, "listen");
  s.peer_listen = read_endpoint(r, root, "mesh_addr");
  for (auto& t : r.tables(root, "known"))
    s.peers.push_back(
        {r.text(t, "node_name"), r.text(t, "location"), read_endpoint(r, t, "endpoint")});
  const auto endpoints = r.required_table(root, "endpoints");
  s.cloud = read_endpoint(r, endpoints, "cloud");
  s.state = read_endpoint(r, endpoints, "state");
  read_deployment(r, r.required_table(root, "deployment"), s);
  if (!r.ok()) return r.error();
  return s;
}

Result<Settings> load_settings(const std::string& path) {
  auto settings = parse_text_file(path, parse_settings);
  if (!settings) return settings;
  // The operators' file lies beside the platform's, with the ending .sexp.
  auto own = std::filesystem::path(path).replace_extension(".sexp").string();
  if (auto own_text = read_text_file(own)) {
    auto tuning = parse_tuning(*own_text);
    if (!tuning) return tuning.error_in(own);
    settings->tuning = *tuning;
  }
  return settings;
}

}  // namespace damsonport
