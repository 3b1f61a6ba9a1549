#include "scenarios/scenario_parser.hpp"

#include <algorithm>
#include <map>
#include <set>

namespace damsonport::simulation {

namespace {

std::string rest_of(std::istringstream& line) {
  std::string rest;
  std::getline(line, rest);
  return rest;
}

StateLimits read_limits(const Options& options, const StateLimits& defaults) {
  return {options.number("rps", defaults.requests_per_s),
          options.number("writes", defaults.writes_per_s), options.number("kb", defaults.value_kb),
          options.integer("ops", defaults.txn_writes)};
}

JobKind read_job_kind(const Options& options) {
  if (options.contains("service")) return JobKind::service;
  if (options.contains("gang")) return JobKind::gang;
  return JobKind::batch;
}

void read_priority(const Options& options, JobSpec& spec) {
  constexpr std::pair<const char*, Priority> priorities[] = {{"idle", Priority::idle},
                                                             {"normal", Priority::normal},
                                                             {"high", Priority::high},
                                                             {"production", Priority::production}};
  for (auto& [word, priority] : priorities)
    if (options.contains(word)) spec.priority = priority;
}

JobSpec read_job(const std::string& id, const Options& options) {
  JobSpec spec;
  spec.id = id;
  spec.job_class = options.text("class", "c");
  spec.team = options.text("team", "t");
  spec.kind = read_job_kind(options);
  read_priority(options, spec);
  spec.tasks = static_cast<uint32_t>(options.number("tasks", 1));
  spec.cpus = options.number("cpus", 1);
  spec.gpus = options.number("gpus");
  spec.memory_gb = options.number("memory", 1);
  spec.types = split_list(options.text("types"));
  spec.zone = options.text("zone");
  spec.one_zone = options.contains("one_zone");
  spec.spread = options.contains("spread");
  spec.spot = options.contains("spot");
  spec.image = options.text("image", "img");
  spec.image_gb = options.number("gb", 1);
  spec.checkpoint_s = options.number("checkpoint");
  spec.save_s = options.number("save");
  return spec;
}

}  // namespace

ScenarioParser::Handler ScenarioParser::handler_of(const std::string& verb) {
  static const std::map<std::string, Handler> handlers = {
      {"announced", &ScenarioParser::parse_announced_limits},
      {"at", &ScenarioParser::parse_action},
      {"close_looks", &ScenarioParser::parse_query_after_changes},
      {"cloud", &ScenarioParser::parse_cloud},
      {"controllers", &ScenarioParser::parse_controllers},
      {"expect", &ScenarioParser::parse_final_expectation},
      {"jobs", &ScenarioParser::parse_jobs},
      {"machines", &ScenarioParser::parse_machines},
      {"quiet", &ScenarioParser::parse_quiet},
      {"replicas", &ScenarioParser::parse_replica_entries},
      {"state", &ScenarioParser::parse_store_limits},
      {"stored", &ScenarioParser::parse_stored_records},
      {"team", &ScenarioParser::parse_team},
      {"tuning", &ScenarioParser::parse_tuning_entries},
      {"type", &ScenarioParser::parse_machine_type},
      {"varied_writing", &ScenarioParser::parse_varied_writing},
      {"until", &ScenarioParser::parse_end},
      {"workers", &ScenarioParser::parse_workers},
  };
  auto it = handlers.find(verb);
  return it == handlers.end() ? nullptr : it->second;
}

std::optional<std::string> ScenarioParser::parse_line(const std::string& text) {
  std::istringstream line(text.substr(0, text.find('#')));
  std::string verb;
  line >> verb;
  if (verb.empty()) return {};
  const Handler handler = handler_of(verb);
  if (!handler) return "unknown line: " + text;
  return (this->*handler)(line);
}

// controllers N zones=a,b [drift=0.0005]
ScenarioParser::Error ScenarioParser::parse_controllers(std::istringstream& line) {
  line >> plan_.controller_count;
  const auto options = Options::read(line);
  plan_.settings.zones = split_list(options.text("zones", "a"));
  plan_.clock_drift = options.number("drift", plan_.clock_drift);
  return {};
}

// workers [report=S] [lease=S] [cancel=S] [gang_wait=S] [gang_peer=S]
ScenarioParser::Error ScenarioParser::parse_workers(std::istringstream& line) {
  const auto options = Options::read(line);
  Settings& settings = plan_.settings;
  settings.heartbeat_interval_s = options.number("report", 1.5);
  settings.lease_s = options.number("lease", 12);
  settings.cancel_s = options.number("cancel", 42);
  settings.gang_wait_s = options.number("gang_wait", 40);
  settings.gang_peer_s = options.number("gang_peer", 6);
  return {};
}

// state [rps=N] [writes=N] [kb=N] [ops=N]
ScenarioParser::Error ScenarioParser::parse_store_limits(std::istringstream& line) {
  plan_.store_limits = read_limits(Options::read(line), plan_.store_limits);
  plan_.announced_store_limits = plan_.store_limits;
  return {};
}

// announced [rps=N] ...: the limits of the key-value store after `lower_limits`
ScenarioParser::Error ScenarioParser::parse_announced_limits(std::istringstream& line) {
  plan_.announced_store_limits = read_limits(Options::read(line), plan_.store_limits);
  return {};
}

// team NAME [cpus=N] [cpus_max=N] [gpus=N] [gpus_max=N]
ScenarioParser::Error ScenarioParser::parse_team(std::istringstream& line) {
  std::string name;
  line >> name;
  const auto options = Options::read(line);
  plan_.settings.teams.push_back({name, options.number("cpus"), options.number("cpus_max"),
                                  options.number("gpus"), options.number("gpus_max")});
  return {};
}

// type NAME cpus=N gpus=N [memory=GB] [cache=GB] [fetch=GB/S] [price=N] [boot=S] [zones=a,b]
ScenarioParser::Error ScenarioParser::parse_machine_type(std::istringstream& line) {
  MachineType type;
  line >> type.name;
  const auto options = Options::read(line);
  type.cpus = options.number("cpus");
  type.gpus = options.number("gpus");
  type.memory_gb = options.number("memory", 1000);
  type.cache_gb = options.number("cache", 500);
  type.fetch_gb_per_s = options.number("fetch", 10);
  type.price = options.number("price", 10);
  type.spot_price = type.price / 4;
  type.boot_s = options.number("boot", 30);
  type.zones = split_list(options.text("zones", "a"));
  plan_.machine_types.push_back(std::move(type));
  return {};
}

// machines N type=T zone=Z [spot]: machines that are up at the start
ScenarioParser::Error ScenarioParser::parse_machines(std::istringstream& line) {
  int count = 0;
  line >> count;
  const auto options = Options::read(line);
  for (int i = 0; i < count; ++i)
    plan_.initial_machines.push_back(
        {options.text("type"), options.text("zone", "a"), options.contains("spot")});
  return {};
}

// cloud capacity=N [boot=S] [rps=N] [page=MACHINES]
ScenarioParser::Error ScenarioParser::parse_cloud(std::istringstream& line) {
  const auto options = Options::read(line);
  plan_.cloud_capacity = options.integer("capacity");
  plan_.settings.cloud_rps = options.number("rps", plan_.settings.cloud_rps);
  plan_.cloud_page_size =
      static_cast<size_t>(options.number("page", static_cast<double>(plan_.cloud_page_size)));
  plan_.boot_s = options.number("boot");
  return {};
}

// tuning ENTRIES: in the syntax of the operators' file
ScenarioParser::Error ScenarioParser::parse_tuning_entries(std::istringstream& line) {
  auto tuning = parse_tuning("(damsonport " + rest_of(line) + ")");
  if (!tuning) return tuning.error();
  plan_.settings.tuning = *tuning;
  return {};
}

// replicas ENTRIES: in the syntax of the operators' file
ScenarioParser::Error ScenarioParser::parse_replica_entries(std::istringstream& line) {
  auto replicas = parse_replicas("(replicas " + rest_of(line) + ")");
  if (!replicas) return replicas.error();
  plan_.settings.replicas = *replicas;
  return {};
}

// jobs NAMES tasks=N cpus=N run=S ...
ScenarioParser::Error ScenarioParser::parse_jobs(std::istringstream& line) {
  std::string names;
  line >> names;
  const auto options = Options::read(line);
  const double run_time_s = options.number("run", 60);
  for (auto& id : expand_names(names)) {
    JobSpec spec = read_job(id, options);
    spec.estimate_s = spec.kind == JobKind::service ? 0 : run_time_s;
    plan_.run_time_s[id] = run_time_s;
    if (options.contains("broken")) plan_.broken_jobs.insert(id);
    plan_.settings.replicas.apply_to(spec);
    plan_.jobs[id] = std::move(spec);
  }
  return {};
}

// stored FILE: loads records that an earlier version wrote
ScenarioParser::Error ScenarioParser::parse_stored_records(std::istringstream& line) {
  line >> plan_.stored_records;
  return {};
}

// quiet: users don't poll on their own
ScenarioParser::Error ScenarioParser::parse_quiet(std::istringstream&) {
  plan_.users_poll = false;
  return {};
}

// varied_writing: users write their submissions in different forms of CBOR
ScenarioParser::Error ScenarioParser::parse_varied_writing(std::istringstream&) {
  plan_.users_vary_writing = true;
  return {};
}

// close_looks: users query all controllers right after each change
ScenarioParser::Error ScenarioParser::parse_query_after_changes(std::istringstream&) {
  plan_.users_query_after_changes = true;
  return {};
}

// until SECONDS: the end of the scenario
ScenarioParser::Error ScenarioParser::parse_end(std::istringstream& line) {
  line >> plan_.end_s;
  return {};
}

// at SECONDS VERB ..., or at SECONDS expect VERB ...
ScenarioParser::Error ScenarioParser::parse_action(std::istringstream& line) {
  ScenarioEvent event;
  line >> event.at_s >> event.verb;
  if (event.verb == "expect") {
    add_expectation(event.at_s, line);
  } else {
    add_event(std::move(event), line);
  }
  return {};
}

// expect VERB ...: an expectation at the end of the scenario
ScenarioParser::Error ScenarioParser::parse_final_expectation(std::istringstream& line) {
  add_expectation(plan_.end_s, line);
  return {};
}

void ScenarioParser::add_expectation(double at_s, std::istringstream& line) {
  ScenarioEvent event;
  event.at_s = at_s;
  event.kind = ScenarioEvent::Kind::expectation;
  line >> event.verb;
  add_event(std::move(event), line);
}

void ScenarioParser::add_event(ScenarioEvent event, std::istringstream& line) {
  static const std::set<std::string> verbs_without_target = {
      "cloud_outage", "lower_limits", "malformed", "odd", "outage", "served", "slow"};
  if (!verbs_without_target.contains(event.verb)) line >> event.target;
  event.options = Options::read(line);
  plan_.events.push_back(std::move(event));
}

}  // namespace damsonport::simulation
