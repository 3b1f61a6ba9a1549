#include "controller_processes.hpp"

#include <fcntl.h>
#include <signal.h>
#include <spdlog/spdlog.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <toml++/toml.h>
#include <unistd.h>

#include <fstream>
#include <sstream>
#include <stdexcept>

#include "addresses.hpp"

namespace damsonport::loadtest {

namespace {

std::string endpoint(const std::string& host, uint16_t port) {
  return fmt::format("{}:{}", host, port);
}

toml::table team_table(const TeamSettings& team) {
  return toml::table{{"name", team.name},
                     {"cpus", team.cpus},
                     {"cpus_max", team.cpus_max},
                     {"gpus", team.gpus},
                     {"gpus_max", team.gpus_max}};
}

}  // namespace

ProcessUsage read_process_usage(pid_t pid) {
  ProcessUsage out;
  std::ifstream stat(fmt::format("/proc/{}/stat", pid));
  std::string text;
  if (!std::getline(stat, text)) return out;
  // The fields after the process name, which ends at the last ')' and may contain spaces.
  std::istringstream fields(text.substr(text.rfind(')') + 2));
  std::string skipped;
  constexpr int before_times = 11;
  for (int i = 0; i < before_times; ++i) fields >> skipped;
  double user = 0, system = 0;
  fields >> user >> system;
  const auto ticks = static_cast<double>(sysconf(_SC_CLK_TCK));
  out.user_s = user / ticks;
  out.system_s = system / ticks;
  std::ifstream statm(fmt::format("/proc/{}/statm", pid));
  double size = 0, resident = 0;
  statm >> size >> resident;
  out.resident_mb = resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / (1024 * 1024);
  return out;
}

ControllerProcesses::ControllerProcesses(const ExperimentPlan& plan, std::string directory,
                                         std::string program)
    : plan_(plan), directory_(std::move(directory)), program_(std::move(program)) {
  if (!plan.settings.replicas.classes.empty()) write_replicas();
  for (size_t r = 0; r < plan.regions; ++r) {
    if (plan.regions > 1 && plan.divide_limits) write_regions(r);
    for (size_t n = 0; n < plan.controllers[r]; ++n) {
      Process process;
      process.name = addresses::controller_name(r, n);
      process.region = r;
      process.host = addresses::controller(r, n);
      write_settings(process, n);
      processes_.push_back(std::move(process));
    }
  }
}

ControllerProcesses::~ControllerProcesses() {
  for (auto& process : processes_) kill(process);
}

std::string ControllerProcesses::path(const Process& process, const char* ending) const {
  return directory_ + "/" + process.name + ending;
}

void ControllerProcesses::write_settings(const Process& process, size_t n) const {
  const auto& s = plan_.settings;
  toml::array zones, teams, known;
  for (size_t z = 0; z < plan_.zones; ++z) zones.push_back(addresses::zone_name(process.region, z));
  for (auto& team : s.teams) teams.push_back(team_table(team));
  const size_t count = plan_.controllers[process.region];
  for (size_t other = 0; other < count; ++other) {
    if (other == n) continue;
    known.push_back(toml::table{
        {"node_name", addresses::controller_name(process.region, other)},
        {"location", addresses::zone_name(process.region, other % plan_.zones)},
        {"endpoint",
         endpoint(addresses::controller(process.region, other), addresses::peer_port)}});
  }
  const auto& limits = s.state_limits.present();
  const toml::table root{
      {"node_name", process.name},
      {"location", addresses::zone_name(process.region, n % plan_.zones)},
      {"listen", endpoint(process.host, addresses::api_port)},
      {"mesh_addr", endpoint(process.host, addresses::peer_port)},
      {"known", std::move(known)},
      {"endpoints",
       toml::table{{"cloud", endpoint(addresses::cloud(process.region), addresses::cloud_port)},
                   {"state", endpoint(addresses::key_value_store(process.region),
                                      addresses::key_value_store_port)}}},
      {"deployment",
       toml::table{{"initial_size", static_cast<int64_t>(count)},
                   {"zones", std::move(zones)},
                   {"clock_off_ms", 5.0},
                   {"teams", std::move(teams)},
                   {"workers", toml::table{{"report_s", s.heartbeat_interval_s},
                                           {"lease_s", s.lease_s},
                                           {"cancel_s", s.cancel_s}}},
                   {"state", toml::table{{"rps", limits.requests_per_s},
                                         {"write_rps", limits.writes_per_s},
                                         {"value_kb", limits.value_kb},
                                         {"txn_ops", limits.txn_writes}}},
                   {"cloud", toml::table{{"rps", s.cloud_rps}, {"list_lag_s", s.list_lag_s}}},
                   {"resources", toml::table{{"max_sockets", s.max_sockets}}}}}};
  std::ofstream(path(process, ".toml")) << root << "\n";
}

bool ControllerProcesses::gets_replicas_file(size_t region) const {
  return plan_.replica_policies_enabled[region] && !plan_.settings.replicas.classes.empty();
}

std::string ControllerProcesses::replicas_path() const { return directory_ + "/replicas.sexp"; }

void ControllerProcesses::write_replicas() const {
  std::ofstream out(replicas_path());
  out << "(replicas";
  for (auto& policy : plan_.settings.replicas.classes)
    out << fmt::format(
        "\n  (class {} (parts {}) (distinct-machines {}) (repairs {}) (moves {}) "
        "(backoff-leases {} {}))",
        policy.job_class, policy.parts, policy.distinct_machines ? "yes" : "no", policy.repairs,
        policy.moves, policy.first_backoff_leases, policy.longest_backoff_leases);
  out << ")\n";
}

// Gives the addresses of the region's own controllers as they are, and those of other regions'
// controllers as the addresses of the link process, which adds the delay between regions.
void ControllerProcesses::write_regions(size_t region) const {
  std::ofstream out(fmt::format("{}/{}.regions", directory_, addresses::region_name(region)));
  out << "(regions\n";
  for (size_t r = 0; r < plan_.regions; ++r) {
    out << "  (region " << addresses::region_name(r) << " (share " << plan_.workers[r]
        << ") (zones";
    for (size_t z = 0; z < plan_.zones; ++z) out << " " << addresses::zone_name(r, z);
    out << ")";
    for (size_t n = 0; n < plan_.controllers[r]; ++n) {
      const auto host = r == region ? addresses::controller(r, n) : addresses::link(region, r, n);
      out << "\n    (controller " << addresses::controller_name(r, n) << " \""
          << endpoint(host, addresses::region_port) << "\")";
    }
    out << ")\n";
  }
  out << ")\n";
}

void ControllerProcesses::start(Process& process) {
  const auto settings = path(process, ".toml"), log = path(process, ".log");
  const auto regions =
      fmt::format("{}/{}.regions", directory_, addresses::region_name(process.region));
  const pid_t pid = fork();
  if (pid < 0) throw std::runtime_error("cannot fork a controller process");
  if (pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(fd, STDERR_FILENO);
    std::vector<std::string> words{program_, "--config", settings};
    if (plan_.regions > 1 && plan_.divide_limits) words.insert(words.end(), {"--regions", regions});
    if (gets_replicas_file(process.region))
      words.insert(words.end(), {"--replicas", replicas_path()});
    std::vector<char*> arguments;
    arguments.reserve(words.size() + 1);
    for (auto& word : words) arguments.push_back(word.data());
    arguments.push_back(nullptr);
    execv(program_.c_str(), arguments.data());
    _exit(127);
  }
  process.pid = pid;
}

void ControllerProcesses::kill(Process& process) {
  if (process.pid == 0) return;
  process.previous_runs_cpu_s += read_process_usage(process.pid).cpu_s();
  ::kill(process.pid, SIGKILL);
  waitpid(process.pid, nullptr, 0);
  process.pid = 0;
}

void ControllerProcesses::signal(const Process& process, int number) {
  if (process.pid != 0) ::kill(process.pid, number);
}

std::vector<ControllerProcesses::Process*> ControllerProcesses::find(size_t region,
                                                                     const std::string& name) {
  std::vector<Process*> out;
  for (auto& process : processes_)
    if (process.region == region && (name.empty() || process.name == name)) out.push_back(&process);
  return out;
}

int ControllerProcesses::restart_exited(double now) {
  constexpr double restart_pause_s = 2;
  int ended = 0;
  for (auto& process : processes_) {
    if (process.pid == 0 || waitpid(process.pid, nullptr, WNOHANG) != process.pid) continue;
    spdlog::error("controller {} exited unexpectedly; log file: {}", process.name,
                  path(process, ".log"));
    process.pid = 0;
    process.restart_at = now + restart_pause_s;
    ++ended;
  }
  for (auto& process : processes_) {
    if (process.restart_at == 0 || process.restart_at > now) continue;
    process.restart_at = 0;
    start(process);
  }
  return ended;
}

}  // namespace damsonport::loadtest
