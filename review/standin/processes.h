// Starts the project's program as the deploy file says, with settings like those of a small
// deployment, and ends what it has started.
#pragma once
#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <fstream>
#include <sstream>

#include "base.h"

namespace standin {

// The figures of a settings file. The defaults are those of the claims office in Riga.
struct Deployment {
  std::vector<std::string> zones{"riga-centrs", "jelgava"};
  double report_s = 3, lease_s = 32, cancel_s = 62;
  double state_rps = 200, state_write_rps = 80, value_kb = 16;
  int txn_ops = 48;
  double cloud_rps = 4, list_lag_s = 4;
  std::string team = "auditlapa-00";
  double gpus = 56, gpus_max = 128;
};

struct ControllerPlace {
  std::string name, zone;
  int listen = 0, mesh = 0, cloud = 0, state = 0;
  std::vector<int> peer_ports;  // by controller: where this one reaches the others
};

inline std::string settings_text(const Deployment& d, const std::vector<ControllerPlace>& all,
                                 size_t self) {
  std::ostringstream out;
  const auto& own = all[self];
  auto at = [](int port) { return "\"127.0.0.1:" + std::to_string(port) + "\"\n"; };
  out << "node_name = \"" << own.name << "\"\nlocation = \"" << own.zone << "\"\n"
      << "listen = " << at(own.listen) << "mesh_addr = " << at(own.mesh);
  for (size_t i = 0; i < all.size(); ++i)
    if (i != self)
      out << "[[known]]\nnode_name = \"" << all[i].name << "\"\nlocation = \"" << all[i].zone
          << "\"\nendpoint = " << at(own.peer_ports[i]);
  out << "[endpoints]\ncloud = " << at(own.cloud) << "state = " << at(own.state)
      << "[deployment]\ninitial_size = " << all.size() << "\nzones = [";
  for (auto& zone : d.zones) out << '"' << zone << "\", ";
  out << std::fixed << "]\nclock_off_ms = 5.0\n[[deployment.teams]]\nname = \"" << d.team
      << "\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = " << d.gpus << "\ngpus_max = " << d.gpus_max
      << "\n[deployment.workers]\nreport_s = " << d.report_s << "\nlease_s = " << d.lease_s
      << "\ngang_wait_s = 30.0\ngang_peer_s = 6.0\ncancel_s = " << d.cancel_s
      << "\n[deployment.state]\nrps = " << d.state_rps << "\nwrite_rps = " << d.state_write_rps
      << "\nvalue_kb = " << d.value_kb << "\ntxn_ops = " << d.txn_ops
      << "\n[deployment.cloud]\nrps = " << d.cloud_rps << "\nlist_lag_s = " << d.list_lag_s
      << "\n[deployment.resources]\ncores = 0.08\nmem_mb = 40.0\nmax_sockets = 700\n";
  return out.str();
}

// The controllers' processes.
class Processes {
 public:
  // `run`: the command of the deploy file. `folder`: for settings and logs.
  Processes(std::string run, std::string folder, std::vector<ControllerPlace> places,
            const Deployment& deployment)
      : folder_(std::move(folder)), places_(std::move(places)), ids_(places_.size(), 0) {
    instance() = this;
    std::istringstream words(run);
    for (std::string word; words >> word;) command_.push_back(word);
    for (size_t i = 0; i < places_.size(); ++i)
      std::ofstream(settings_file(i)) << settings_text(deployment, places_, i);
  }
  void start(size_t i) {
    std::vector<std::string> words = command_;
    words.push_back(settings_file(i));
    std::vector<char*> arguments;
    for (auto& word : words) arguments.push_back(word.data());
    arguments.push_back(nullptr);
    const std::string log = folder_ + "/" + places_[i].name + ".log";
    const pid_t parent = getpid();
    const pid_t id = fork();
    if (id == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (getppid() != parent) _exit(1);
      const int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(fd, 2);
      setenv("LOG_LEVEL", "debug", 1);
      execv(arguments[0], arguments.data());
      _exit(127);
    }
    ids_[i] = id;
    record("%s is started", places_[i].name.c_str());
  }
  void signal(size_t i, int number) {
    if (ids_[i] > 0) ::kill(ids_[i], number);
    record("%s gets signal %d", places_[i].name.c_str(), number);
  }
  void kill(size_t i) {
    if (ids_[i] <= 0) return;
    ::kill(ids_[i], SIGCONT);
    ::kill(ids_[i], SIGKILL);
    waitpid(ids_[i], nullptr, 0);
    ids_[i] = 0;
    record("%s is killed", places_[i].name.c_str());
  }
  // Kills all processes and ends the program with this status.
  [[noreturn]] static void finish(int status) {
    if (instance())
      for (size_t i = 0; i < instance()->ids_.size(); ++i) instance()->kill(i);
    record("RESULT: %d", status);
    fflush(nullptr);
    _exit(status);
  }
  // Whether the process has ended by itself.
  bool has_ended(size_t i) {
    if (ids_[i] <= 0 || waitpid(ids_[i], nullptr, WNOHANG) != ids_[i]) return false;
    ids_[i] = 0;
    return true;
  }

 private:
  static Processes*& instance() {
    static Processes* only = nullptr;
    return only;
  }
  std::string settings_file(size_t i) const { return folder_ + "/" + places_[i].name + ".toml"; }
  std::string folder_;
  std::vector<ControllerPlace> places_;
  std::vector<pid_t> ids_;
  std::vector<std::string> command_;
};

// Waits until the condition holds. Ends the program with 2 if that takes too long: the case could
// not run.
template <class Condition>
void require(const char* what, double seconds, Condition condition) {
  const double until = now() + seconds;
  while (!condition()) {
    if (now() > until) {
      record("could not run: %s", what);
      fprintf(stderr, "could not run: %s\n", what);
      Processes::finish(2);
    }
    sleep_s(0.05);
  }
  record("reached: %s", what);
}

}  // namespace standin
