// A fault scenario: whole controllers against the stand-ins, driven by a trace. See
// traces/scenarios/README.
#pragma once
#include "simulation/fleet.hpp"
#include "simulation/state_service.hpp"
#include "simulation/virtual_controller.hpp"

namespace damsonport::simulation {

using Words = std::map<std::string, std::string>;

class FaultScenario {
 public:
  explicit FaultScenario(uint64_t seed = 1) : world_(seed) { settings_.cloud_rps = 5; }
  // Where the files with stored records are.
  std::string fixtures_dir;
  // One line of a trace; yields a complaint, or nothing.
  std::string line(const std::string& text);
  // Plays to the end; yields broken rules and expectations that were not met.
  std::vector<std::string> play();
  // Every happening of the trace begins `seconds` later, to try its times one against another.
  double shift_s = 0;
  const World& world() const { return world_; }
  World& world() { return world_; }

 private:
  struct Event {
    double at;
    std::string verb, name;
    Words words;
  };
  void set_up();
  void store_records(const std::string& file);
  void apply(const Event& h);
  std::string unmet(const Event& h);
  std::string leader() const;
  // Hosts that a word of a trace means: n0, leader, other, nodes, state, a zone, m3, with:JOB ...
  std::vector<std::string> hosts(const std::string& word) const;
  std::vector<VirtualController*> controllers(const std::string& word);
  std::vector<Worker*> machines(const std::string& word) const;
  std::vector<std::string> jobs(const std::string& word) const;
  // Holds what controllers say of replicas against the truth, again and again.
  void watch_replicas();
  // The next changes of the job's tasks end the leader.
  struct CrashOnWrite {
    std::string key_start;
    int times = 0;
    double after_s = 0, for_s = 0;
  };
  void crash_on_write(const std::string& key);
  // What the leader's answer to a poll should say.
  void expect_shown(const Event& h);
  std::string unmet_replicas(const Event& h);
  void cut(const std::string& a, const std::string& b, const Words& w);

  // --- users
  void submit(const std::string& job, size_t node, double since, bool with_repeats);
  void cancel(const std::string& job, size_t node, double since);
  void poll(const std::string& job, size_t node);
  // A message that lacks a field, or a job that can never run.
  void odd_request(size_t node, int kind);
  void told(const std::string& job, const HttpReply& reply, double asked);
  void ask(size_t node, Method method, const std::string& path, const std::string& body,
           double patience, std::function<void(const HttpReply&, double asked)> then);
  size_t pick(const std::string& via);
  void polls(const std::string& job);
  void count_tasks(const std::string& job, int& running, int& present) const;

  World world_;
  Settings settings_;
  StateLimits limits_{150, 50, 16, 12}, announced_limits_{150, 50, 16, 12};
  std::vector<MachineType> types_;
  int node_count_ = 3;
  struct Start {
    std::string type, zone;
    bool spot;
  };
  std::vector<Start> at_start_;
  std::map<std::string, JobSpec> jobs_;
  std::map<std::string, double> run_s_;
  CrashOnWrite crash_on_write_;
  std::set<std::string> broken_jobs_;  // submitted with a mistake: they fail on every machine
  std::vector<Event> events_;
  double until_ = 100, boot_s_ = 0, drift_ = 0.0005;
  int capacity_ = 0;
  size_t page_ = 500;  // machines in one of the cloud's lists
  bool quiet_users_ = false, close_looks_ = false;
  std::string stored_;                 // a file with records of an earlier version
  std::map<std::string, int> writes_;  // changes of the state service, by key
  std::set<std::string> polled_;
  std::map<std::string, std::string> looked_;  // what close looks were last taken at

  std::unique_ptr<StateService> state_;
  std::unique_ptr<Fleet> fleet_;
  VirtualNetwork::Streams streams_;
  std::vector<std::unique_ptr<VirtualController>> controllers_;
  std::vector<std::string> machine_order_;
  std::vector<std::string> unmet_;
};

// "run-1..run-4" and "run-1,run-2" spelt out.
std::vector<std::string> spell_out(const std::string& word);

}  // namespace damsonport::simulation
