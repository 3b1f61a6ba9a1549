#include "controllers.hpp"

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

ProcessFigures read_figures(pid_t pid) {
  ProcessFigures out;
  std::ifstream stat(fmt::format("/proc/{}/stat", pid));
  std::string text;
  if (!std::getline(stat, text)) return out;
  // Behind the name, which may have blanks in it.
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

Controllers::Controllers(const Experiment& plan, std::string directory, std::string program)
    : plan_(plan), directory_(std::move(directory)), program_(std::move(program)) {
  if (!plan.settings.replicas.classes.empty()) write_replicas();
  for (size_t r = 0; r < plan.regions; ++r) {
    if (plan.regions > 1 && plan.divide_limits) write_regions(r);
    for (size_t n = 0; n < plan.controllers[r]; ++n) {
      One one;
      one.name = addresses::controller_name(r, n);
      one.region = r;
      one.host = addresses::controller(r, n);
      write_settings(one, n);
      all_.push_back(std::move(one));
    }
  }
}

Controllers::~Controllers() {
  for (auto& one : all_) kill(one);
}

std::string Controllers::path(const One& one, const char* ending) const {
  return directory_ + "/" + one.name + ending;
}

void Controllers::write_settings(const One& one, size_t n) const {
  const auto& s = plan_.settings;
  toml::array zones, teams, known;
  for (size_t z = 0; z < plan_.zones; ++z) zones.push_back(addresses::zone_name(one.region, z));
  for (auto& team : s.teams) teams.push_back(team_table(team));
  const size_t count = plan_.controllers[one.region];
  for (size_t other = 0; other < count; ++other) {
    if (other == n) continue;
    known.push_back(toml::table{
        {"node_name", addresses::controller_name(one.region, other)},
        {"location", addresses::zone_name(one.region, other % plan_.zones)},
        {"endpoint", endpoint(addresses::controller(one.region, other), addresses::peer_port)}});
  }
  const auto& limits = s.state_limits.present();
  const toml::table root{
      {"node_name", one.name},
      {"location", addresses::zone_name(one.region, n % plan_.zones)},
      {"listen", endpoint(one.host, addresses::api_port)},
      {"mesh_addr", endpoint(one.host, addresses::peer_port)},
      {"known", std::move(known)},
      {"endpoints",
       toml::table{{"cloud", endpoint(addresses::cloud(one.region), addresses::cloud_port)},
                   {"state", endpoint(addresses::state(one.region), addresses::state_port)}}},
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
  std::ofstream(path(one, ".toml")) << root << "\n";
}

bool Controllers::knows_replicas(size_t region) const {
  return plan_.replicas_in_force[region] && !plan_.settings.replicas.classes.empty();
}

std::string Controllers::replicas_path() const { return directory_ + "/replicas.sexp"; }

void Controllers::write_replicas() const {
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

// Controllers of other regions are found by way of the link.
void Controllers::write_regions(size_t region) const {
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

void Controllers::start(One& one) {
  const auto settings = path(one, ".toml"), log = path(one, ".log");
  const auto regions = fmt::format("{}/{}.regions", directory_, addresses::region_name(one.region));
  const pid_t pid = fork();
  if (pid < 0) throw std::runtime_error("no process is to be had");
  if (pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(fd, STDERR_FILENO);
    std::vector<std::string> words{program_, "--config", settings};
    if (plan_.regions > 1 && plan_.divide_limits) words.insert(words.end(), {"--regions", regions});
    if (knows_replicas(one.region)) words.insert(words.end(), {"--replicas", replicas_path()});
    std::vector<char*> arguments;
    arguments.reserve(words.size() + 1);
    for (auto& word : words) arguments.push_back(word.data());
    arguments.push_back(nullptr);
    execv(program_.c_str(), arguments.data());
    _exit(127);
  }
  one.pid = pid;
}

void Controllers::kill(One& one) {
  if (one.pid == 0) return;
  one.ended_cpu_s += read_figures(one.pid).cpu_s();
  ::kill(one.pid, SIGKILL);
  waitpid(one.pid, nullptr, 0);
  one.pid = 0;
}

void Controllers::signal(const One& one, int number) {
  if (one.pid != 0) ::kill(one.pid, number);
}

std::vector<Controllers::One*> Controllers::find(size_t region, const std::string& name) {
  std::vector<One*> out;
  for (auto& one : all_)
    if (one.region == region && (name.empty() || one.name == name)) out.push_back(&one);
  return out;
}

int Controllers::restart_ended(double now) {
  constexpr double restart_pause_s = 2;
  int ended = 0;
  for (auto& one : all_) {
    if (one.pid == 0 || waitpid(one.pid, nullptr, WNOHANG) != one.pid) continue;
    spdlog::error("{} has ended by itself; its log: {}", one.name, path(one, ".log"));
    one.pid = 0;
    one.restart_at = now + restart_pause_s;
    ++ended;
  }
  for (auto& one : all_) {
    if (one.restart_at == 0 || one.restart_at > now) continue;
    one.restart_at = 0;
    start(one);
  }
  return ended;
}

}  // namespace damsonport::loadtest
