#include "experiment_plan.hpp"

#include <sys/sysinfo.h>

#include <algorithm>
#include <map>
#include <numeric>

#include "config/text_file.hpp"
#include "config/toml_reader.hpp"

namespace damsonport::loadtest {

namespace {

constexpr int max_process_limit = 200;
constexpr double max_memory_share = 0.5;
// Memory of one worker, task and process; estimated from the runs in experiments/results.
constexpr double worker_kb = 220, task_kb = 3.5, process_mb = 40;

// Of the host that the tool runs on.
double host_memory_mb() {
  struct sysinfo info {};
  sysinfo(&info);
  return static_cast<double>(info.totalram) * info.mem_unit / (1024 * 1024);
}

// Adds the kinds of fields that plans have and controllers' settings don't.
class PlanReader : public TomlReader {
 public:
  using TomlReader::TomlReader;

  // Reads one number for all regions or a list with one number for each region.
  std::vector<double> numbers_by_region(const TomlTable& t, const char* key, size_t count,
                                        double low, double high) {
    auto* list = (*t.values)[key].as_array();
    if (!list) return std::vector<double>(count, required(t, key, low, high));
    std::vector<double> out;
    for (auto& item : *list) out.push_back(item.value_or(low - 1));
    const bool fits = out.size() == count && std::all_of(out.begin(), out.end(), [&](double v) {
                        return v >= low && v <= high;
                      });
    if (!fits) fail(t, key, "must have a number in range for each region");
    out.resize(count, low);
    return out;
  }
  // Reads a list of indexes below `count`. Empty if the field is missing.
  std::vector<size_t> indexes(const TomlTable& t, const char* key, size_t count) {
    std::vector<size_t> out;
    if (!t.contains(key)) return out;
    auto* list = (*t.values)[key].as_array();
    if (!list) fail(t, key, "must be a list of numbers");
    if (!list) return out;
    for (auto& item : *list) {
      const auto value = item.value<int64_t>();
      if (!value || *value < 0 || static_cast<size_t>(*value) >= count) {
        fail(t, key, "must have numbers from 0 to " + std::to_string(count - 1));
        return {};
      }
      out.push_back(static_cast<size_t>(*value));
    }
    return out;
  }
  // Reads a text that must be one of the keys of `choices`.
  template <class T>
  T one_of(const TomlTable& t, const char* key, const std::map<std::string, T>& choices) {
    auto it = choices.find(text(t, key));
    if (it != choices.end()) return it->second;
    std::string all;
    for (auto& [name, value] : choices) all += (all.empty() ? "" : ", ") + name;
    fail(t, key, "must be one of " + all);
    return choices.begin()->second;
  }
};

const std::map<std::string, Priority> priorities = {{"idle", Priority::idle},
                                                    {"normal", Priority::normal},
                                                    {"high", Priority::high},
                                                    {"production", Priority::production}};
// Plans say "holder" for the shard leader and "state" for the key-value store.
const std::map<std::string, FaultKind> fault_kinds = {
    {"kill_holder", FaultKind::kill_shard_leader},
    {"kill_region", FaultKind::kill_region},
    {"pause_holder", FaultKind::pause_shard_leader},
    {"cut_regions", FaultKind::cut_regions},
    {"hang_zone", FaultKind::hang_zone},
    {"state_outage", FaultKind::key_value_store_outage},
    {"cancel_jobs", FaultKind::cancel_jobs},
    {"kill_machines", FaultKind::kill_machines}};

constexpr double max_amount = 1e9, max_duration_s = 7200;

void read_regions(PlanReader& r, const TomlTable& t, ExperimentPlan& out) {
  out.regions = static_cast<size_t>(r.number(t, "count", 1, 1, 10));
  out.zones = static_cast<size_t>(r.number(t, "zones", 1, 1, 8));
  for (double n : r.numbers_by_region(t, "controllers", out.regions, 1, 9))
    out.controllers.push_back(static_cast<size_t>(n));
  for (double n : r.numbers_by_region(t, "workers", out.regions, 1, 20000))
    out.workers.push_back(static_cast<int>(n));
  out.polls_per_s.assign(out.regions, 0);
  if (t.contains("polls_per_s"))
    out.polls_per_s = r.numbers_by_region(t, "polls_per_s", out.regions, 0, 100000);
  out.link_delay_s = r.number(t, "link_delay_ms", 40, 0, 2000) / 1000;
  out.divide_limits = (*t.values)["divide_limits"].value_or(true);
}

void read_settings(PlanReader& r, const TomlTable& root, Settings& s) {
  const auto w = r.table(root, "worker");
  s.heartbeat_interval_s = r.number(w, "report_s", 1.5, 0.1, 60);
  s.lease_s = r.number(w, "lease_s", 12, 1, 600);
  s.cancel_s = r.number(w, "cancel_s", 42, 1, 600);
  s.gang_wait_s = s.cancel_s;
  s.gang_peer_s = s.lease_s / 2;
  const auto state = r.table(root, "state");
  StateLimits limits;
  limits.requests_per_s = r.number(state, "rps", 150, 1, max_amount);
  limits.writes_per_s = r.number(state, "write_rps", 50, 1, max_amount);
  limits.value_kb = r.number(state, "value_kb", 16, 1, 1024);
  limits.txn_writes = static_cast<int>(r.number(state, "txn_ops", 12, 3, 1000));
  s.state_limits = {limits, limits};
  s.cloud_rps = 5;
  s.list_lag_s = 10;
  s.max_sockets = static_cast<int>(r.number(root, "controller_sockets", 600, 64, 19000));
}

void read_teams(PlanReader& r, const TomlTable& t, Settings& s) {
  const auto count = static_cast<int>(r.number(t, "count", 1, 1, 1000));
  TeamSettings team;
  team.cpus = r.number(t, "cpus", 0, 0, max_amount);
  team.cpus_max = r.number(t, "cpus_max", 0, 0, max_amount);
  team.gpus = r.number(t, "gpus", 0, 0, max_amount);
  team.gpus_max = r.number(t, "gpus_max", 0, 0, max_amount);
  for (int i = 0; i < count; ++i) {
    team.name = "team-" + std::to_string(i);
    s.teams.push_back(team);
  }
}

void read_machines(PlanReader& r, const TomlTable& root, ExperimentPlan& out) {
  for (auto& t : r.tables(root, "machine")) {
    MachineType type;
    type.name = r.text(t, "name");
    type.cpus = r.required(t, "cpus", 0, max_amount);
    type.gpus = r.number(t, "gpus", 0, 0, max_amount);
    type.memory_gb = r.required(t, "memory_gb", 0, max_amount);
    type.cache_gb = r.number(t, "cache_gb", 200, 0, max_amount);
    type.fetch_gb_per_s = r.number(t, "fetch_gb_per_s", 10, 0.001, max_amount);
    type.price = 1;
    type.spot_price = 0.25;
    type.boot_s = r.number(t, "boot_s", 30, 0.1, max_duration_s);
    out.machines.push_back(type);
    out.machine_share.push_back(r.number(t, "share", 1, 0, max_amount));
  }
  if (out.machines.empty()) r.fail(root, "machine", "is missing");
}

void read_loads(PlanReader& r, const TomlTable& root, ExperimentPlan& out) {
  for (auto& t : r.tables(root, "load")) {
    Load load;
    load.name = r.text(t, "name");
    load.priority = r.one_of(t, "priority", priorities);
    load.run_s = r.number(t, "run_s", 0, 0, max_duration_s);
    load.service = load.run_s == 0;
    load.tasks = static_cast<uint32_t>(r.number(t, "tasks", 1, 1, 100000));
    load.tasks_spread = r.number(t, "tasks_spread", 0, 0, 0.9);
    load.cpus = r.required(t, "cpus", 0, max_amount);
    load.gpus = r.number(t, "gpus", 0, 0, max_amount);
    load.memory_gb = r.number(t, "memory_gb", 1, 0, max_amount);
    load.image_gb = r.number(t, "image_gb", 1, 0, max_amount);
    load.jobs_per_s = r.required(t, "jobs_per_s", 0, 10000);
    load.from_s = r.number(t, "from_s", 0, 0, max_duration_s);
    load.until_s = r.number(t, "until_s", out.seconds, 0, max_duration_s);
    load.cancelled_share = r.number(t, "cancelled_share", 0, 0, 1);
    load.regions = r.indexes(t, "regions", out.regions);
    load.teams = r.indexes(t, "teams", out.settings.teams.size());
    out.loads.push_back(std::move(load));
  }
}

void read_faults(PlanReader& r, const TomlTable& root, ExperimentPlan& out) {
  for (auto& t : r.tables(root, "fault")) {
    Fault fault;
    fault.kind = r.one_of(t, "kind", fault_kinds);
    fault.at_s = r.required(t, "at_s", 0, max_duration_s);
    fault.for_s = r.number(t, "for_s", 5, 0.1, max_duration_s);
    const auto last = static_cast<double>(out.regions - 1);
    fault.region = static_cast<size_t>(r.number(t, "region", 0, 0, last));
    fault.other_region = static_cast<size_t>(r.number(t, "other", 0, 0, last));
    fault.zone = static_cast<size_t>(r.number(t, "zone", 0, 0, static_cast<double>(out.zones - 1)));
    fault.count = static_cast<size_t>(r.number(t, "count", 1, 1, max_amount));
    out.faults.push_back(fault);
  }
}

// The field `file` has the entries of the replicas file that operators write.
void read_replicas(PlanReader& r, const TomlTable& root, ExperimentPlan& out) {
  out.replica_policies_enabled.assign(out.regions, true);
  if (!root.contains("replicas")) return;
  const TomlTable t = r.table(root, "replicas");
  auto replicas = parse_replicas("(replicas " + r.text(t, "file") + ")");
  if (replicas) {
    out.settings.replicas = *replicas;
  } else {
    r.fail(t, "file", replicas.error());
  }
  if (!t.contains("in_force")) return;
  const auto enabled = r.numbers_by_region(t, "in_force", out.regions, 0, 1);
  for (size_t region = 0; region < out.regions; ++region)
    out.replica_policies_enabled[region] = enabled[region] == 1;
}

void check_resource_limits(PlanReader& r, const ExperimentPlan& plan) {
  if (plan.process_count() > plan.max_processes)
    r.fail(r.root(), "regions.controllers",
           "the plan takes " + std::to_string(plan.process_count()) + " processes, of " +
               std::to_string(plan.max_processes));
  if (plan.estimated_memory_mb() > plan.max_memory_mb)
    r.fail(r.root(), "regions.workers",
           "the plan takes about " + std::to_string(static_cast<int>(plan.estimated_memory_mb())) +
               " MB of memory, of " + std::to_string(static_cast<int>(plan.max_memory_mb)));
  if (plan.warmup_s >= plan.seconds) r.fail(r.root(), "warmup_s", "must be less than seconds");
}

}  // namespace

int ExperimentPlan::process_count() const {
  const size_t all = std::accumulate(controllers.begin(), controllers.end(), size_t{0});
  // The tool itself, two for each region (workers with cloud and users, key-value store), the
  // controllers, one for the links if there are several regions, and those that send malformed
  // requests.
  const size_t clients = malformed_clients ? regions : 0;
  return static_cast<int>(1 + 2 * regions + all + clients + (regions > 1 ? 1 : 0));
}

double ExperimentPlan::estimated_memory_mb() const {
  const double all = std::accumulate(workers.begin(), workers.end(), 0.0);
  constexpr double tasks_on_a_worker = 24;
  return all * (worker_kb + tasks_on_a_worker * task_kb) / 1024 + process_count() * process_mb;
}

Result<ExperimentPlan> parse_plan(const std::string& toml_text) {
  auto parsed = parse_toml(toml_text);
  if (!parsed) return Error{parsed.error()};
  PlanReader r(*parsed);
  const TomlTable& root = r.root();
  ExperimentPlan out;
  out.title = r.text(root, "title");
  out.seconds = r.required(root, "seconds", 1, max_duration_s);
  out.warmup_s = r.number(root, "warmup_s", 0, 0, max_duration_s);
  out.seed = static_cast<uint64_t>(r.number(root, "seed", 1, 0, 1e15));
  const double memory_limit_mb = host_memory_mb() * max_memory_share;
  out.max_memory_mb = r.number(root, "max_memory_mb", memory_limit_mb, 1, memory_limit_mb);
  out.max_processes =
      static_cast<int>(r.number(root, "max_processes", max_process_limit, 1, max_process_limit));
  read_regions(r, r.table(root, "regions"), out);
  read_settings(r, root, out.settings);
  read_teams(r, r.table(root, "teams"), out.settings);
  read_machines(r, root, out);
  read_loads(r, root, out);
  read_faults(r, root, out);
  out.malformed_clients = (*root.values)["malformed_clients"].value_or(false);
  read_replicas(r, root, out);
  if (r.ok()) check_resource_limits(r, out);
  if (!r.ok()) return r.error();
  return out;
}

Result<ExperimentPlan> load_plan(const std::string& path) {
  return parse_text_file(path, parse_plan);
}

}  // namespace damsonport::loadtest
