#include "protocol/settings.hpp"

#include <filesystem>

#include "protocol/text_file.hpp"
#include "protocol/toml_text.hpp"

namespace damsonport {

namespace {

// Collects the first problem by the name of its field.
struct Reader {
  std::string problem;
  void fail(const std::string& field, const std::string& what) {
    if (problem.empty()) problem = field + ": " + what;
  }
  std::string text(const toml::table& t, const char* key, const std::string& prefix = {}) {
    auto v = t[key].value<std::string>();
    if (!v || v->empty()) fail(prefix + key, t.contains(key) ? "must be a text" : "is missing");
    return v.value_or("");
  }
  double number(const toml::table& t, const char* key, const std::string& prefix, double low) {
    auto v = t[key].value<double>();
    if (!v) {
      fail(prefix + key, t.contains(key) ? "must be a number" : "is missing");
      return low;
    }
    if (!(*v >= low) || *v > 1e12) fail(prefix + key, "is out of range");
    return *v;
  }
  // As number(), but a field that is missing has a default.
  double number_or(const toml::table& t, const char* key, const std::string& prefix, double low,
                   double otherwise) {
    return t.contains(key) ? number(t, key, prefix, low) : otherwise;
  }
  Endpoint endpoint(const toml::table& t, const char* key, const std::string& prefix = {}) {
    Endpoint out;
    auto value = text(t, key, prefix);
    if (!value.empty() && !parse_endpoint(value, out)) fail(prefix + key, "must be IPV4:PORT");
    return out;
  }
  const toml::table& table(const toml::table& t, const char* key, const std::string& prefix = {}) {
    static const toml::table empty;
    auto* found = t[key].as_table();
    if (!found) fail(prefix + key, "is missing");
    return found ? *found : empty;
  }
};

template <class F>
void each(const toml::table& t, const char* key, Reader& r, const std::string& name, F f) {
  if (!t.contains(key)) return;
  auto* list = t[key].as_array();
  if (!list) return r.fail(name, "must be a list of tables");
  int i = 0;
  for (auto& item : *list) {
    auto prefix = name + "[" + std::to_string(i++) + "].";
    if (auto* entry = item.as_table()) {
      f(*entry, prefix);
    } else {
      r.fail(prefix, "must be a table");
    }
  }
}

// The least that the service must offer for the records to be written at all.
constexpr double least_rate = 1, least_value_kb = 1, least_txn_writes = 3;

StateLimits read_present_limits(Reader& r, const toml::table& t, const std::string& prefix) {
  StateLimits out;
  out.requests_per_s = r.number(t, "rps", prefix, least_rate);
  out.writes_per_s = r.number(t, "write_rps", prefix, least_rate);
  out.value_kb = r.number(t, "value_kb", prefix, least_value_kb);
  out.txn_writes = static_cast<int>(r.number(t, "txn_ops", prefix, least_txn_writes));
  return out;
}

// What `next` does not name stays as it is.
StateLimits read_announced_limits(Reader& r, const toml::table& t, const std::string& prefix,
                                  const StateLimits& present) {
  StateLimits out;
  out.requests_per_s = r.number_or(t, "rps", prefix, least_rate, present.requests_per_s);
  out.writes_per_s = r.number_or(t, "write_rps", prefix, least_rate, present.writes_per_s);
  out.value_kb = r.number_or(t, "value_kb", prefix, least_value_kb, present.value_kb);
  out.txn_writes =
      static_cast<int>(r.number_or(t, "txn_ops", prefix, least_txn_writes, present.txn_writes));
  return out;
}

StateLimitSettings read_state_limits(Reader& r, const toml::table& state) {
  const StateLimits present = read_present_limits(r, state, "deployment.state.");
  if (!state.contains("next")) return {present, present};
  auto* next = state["next"].as_table();
  if (!next) {
    r.fail("deployment.state.next", "must be a table");
    return {present, present};
  }
  return {present, read_announced_limits(r, *next, "deployment.state.next.", present)};
}

}  // namespace

double Settings::within(const std::string& kind, const std::string& cls) const {
  for (auto& o : objectives)
    if (o.kind == kind && o.cls == cls) return o.within_s;
  return 0;
}

const TeamSettings* Settings::team(const std::string& name) const {
  for (auto& t : teams)
    if (t.name == name) return &t;
  return nullptr;
}

Result<Settings> parse_settings(const std::string& toml_text) {
  auto parsed = parse_toml(toml_text);
  if (!parsed) return Error{parsed.error()};
  const toml::table& root = *parsed;
  Reader r;
  Settings s;
  s.node_name = r.text(root, "node_name");
  s.zone = r.text(root, "location");
  s.listen = r.endpoint(root, "listen");
  s.mesh_listen = r.endpoint(root, "mesh_addr");
  each(root, "known", r, "known", [&](const toml::table& t, const std::string& p) {
    s.peers.push_back(
        {r.text(t, "node_name", p), r.text(t, "location", p), r.endpoint(t, "endpoint", p)});
  });
  auto& endpoints = r.table(root, "endpoints");
  s.cloud = r.endpoint(endpoints, "cloud", "endpoints.");
  s.state = r.endpoint(endpoints, "state", "endpoints.");
  auto& d = r.table(root, "deployment");
  s.nodes = static_cast<int>(r.number(d, "initial_size", "deployment.", 1));
  s.clock_off_s = r.number(d, "clock_off_ms", "deployment.", 0) / 1000;
  if (auto* zones = d["zones"].as_array())
    for (auto& z : *zones)
      if (auto name = z.value<std::string>()) s.zones.push_back(*name);
  if (s.zones.empty()) r.fail("deployment.zones", "must be a list of names");
  each(d, "teams", r, "deployment.teams", [&](const toml::table& t, const std::string& p) {
    TeamSettings team;
    team.name = r.text(t, "name", p);
    team.cpus = r.number(t, "cpus", p, 0);
    team.cpus_max = r.number(t, "cpus_max", p, 0);
    team.gpus = r.number(t, "gpus", p, 0);
    team.gpus_max = r.number(t, "gpus_max", p, 0);
    s.teams.push_back(std::move(team));
  });
  each(d, "objectives", r, "deployment.objectives", [&](const toml::table& t, const std::string&) {
    s.objectives.push_back({t["kind"].value_or(std::string()), t["class"].value_or(std::string()),
                            t["within_s"].value_or(0.0)});
  });
  auto& workers = r.table(d, "workers", "deployment.");
  s.report_s = r.number(workers, "report_s", "deployment.workers.", 0.01);
  s.lease_s = r.number(workers, "lease_s", "deployment.workers.", 0.01);
  s.cancel_s = r.number(workers, "cancel_s", "deployment.workers.", 0.01);
  // Known to every platform that has gangs; elsewhere they only bound how long a gang is held.
  s.gang_wait_s = r.number_or(workers, "gang_wait_s", "deployment.workers.", 0.01, s.cancel_s);
  s.gang_peer_s = r.number_or(workers, "gang_peer_s", "deployment.workers.", 0.01, s.lease_s / 2);
  s.state_limits = read_state_limits(r, r.table(d, "state", "deployment."));
  auto& cloud = r.table(d, "cloud", "deployment.");
  s.cloud_rps = r.number(cloud, "rps", "deployment.cloud.", 0.01);
  s.list_lag_s = r.number(cloud, "list_lag_s", "deployment.cloud.", 0);
  auto& resources = r.table(d, "resources", "deployment.");
  s.max_sockets = static_cast<int>(r.number(resources, "max_sockets", "deployment.resources.", 32));
  if (!r.problem.empty()) return Error{r.problem};
  return s;
}

Result<Settings> load_settings(const std::string& path) {
  auto text = read_text_file(path);
  if (!text) return Error{text.error()};
  auto settings = parse_settings(*text);
  if (!settings) return Error{path + ": " + settings.error()};
  // The operators' file lies beside the platform's, with the ending .sexp.
  auto own = std::filesystem::path(path).replace_extension(".sexp").string();
  if (auto own_text = read_text_file(own)) {
    auto tuning = parse_tuning(*own_text);
    if (!tuning) return Error{own + ": " + tuning.error()};
    settings->tuning = *tuning;
  }
  return settings;
}

}  // namespace damsonport
