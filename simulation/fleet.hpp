// Stand-ins for workers and cloud, and the checker of the protocol's rules. Written from the
// protocol.
#pragma once
#include <deque>

#include "config/settings.hpp"
#include "protocol/messages.hpp"
#include "simulation/gang_runs.hpp"
#include "simulation/replica_checker.hpp"
#include "simulation/world.hpp"

namespace damsonport::simulation {

class Fleet;

// On its machine, also while it saves or waits for the rest of its gang.
bool on_machine(const TaskStatus& task);

// What users were told, and which rules are broken.
class RuleChecker {
 public:
  RuleChecker(World& world, const Settings& settings, const Fleet& fleet)
      : world_(world),
        settings_(settings),
        fleet_(fleet),
        replicas_(world, [this](auto& rule, auto& what) { broke(rule, what); }) {}
  void submitted(const JobSpec& spec) { specs_.emplace(spec.id, spec); }
  const JobSpec* spec(const std::string& job) const;
  // A user got this answer to a question asked at `asked`.
  void told(const std::string& job, int status, const std::string& state, double asked);
  void asked_to_cancel(const std::string& job) { asked_to_cancel_.insert(job); }
  // A task has its image and begins; it counts until it leaves.
  void starts(const std::string& machine, const TaskId& task, uint64_t attempt);
  void leaves(const std::string& machine, const TaskId& task);
  ReplicaChecker& replicas() { return replicas_; }
  void done(const TaskId& task) { done_.insert(task); }
  bool is_done(const TaskId& task) const { return done_.contains(task); }
  // Called after the rules were checked for a task that starts.
  std::function<void(const TaskId& task)> on_start;
  // What a team's tasks on machines take changes by so much.
  std::function<void(const std::string& team, double cpus, double gpus)> on_use;
  void broke(const std::string& rule, const std::string& what);
  const std::vector<std::string>& broken() const { return broken_; }
  int starts_after_cancellation() const { return starts_after_cancellation_; }
  bool was_told(const std::string& job, const std::string& state) const;
  bool accepted(const std::string& job) const { return known_.contains(job); }
  // Accepted, and nobody asked for its end.
  std::vector<std::string> wanted() const;
  double last_answered(const std::string& job) const;

 private:
  void check_cancelled(const std::string& job);
  void check_place(const JobSpec& spec, const Worker& worker, const TaskId& task);
  void count(const JobSpec& spec, const std::string& zone, double sign);
  World& world_;
  const Settings& settings_;
  const Fleet& fleet_;
  std::map<std::string, JobSpec> specs_;
  std::map<std::string, double> known_;                         // when it was told first
  std::map<std::string, double> answered_;                      // and last
  std::map<std::string, std::pair<double, std::string>> over_;  // done or aborted, as told first
  std::set<std::string> asked_to_cancel_;
  std::set<TaskId> done_;
  std::vector<std::string> broken_;
  // What is on machines, kept by starts() and leaves().
  std::map<TaskId, std::vector<std::string>> machines_of_;
  std::map<std::string, std::map<std::string, int>> in_zone_;  // by job
  struct Use {
    double cpus = 0, gpus = 0;
  };
  std::map<std::string, Use> used_;  // by team
  int starts_after_cancellation_ = 0;
  ReplicaChecker replicas_;
};

class Worker {
 public:
  Worker(World& world, Fleet& fleet, std::string id, std::string address, std::string type,
         std::string zone, bool spot);
  void begin();
  void hang(double seconds);
  void vanish();  // its machine is gone

  struct Running {
    TaskStatus report;
    double progress = 0, since = 0;
    World::Key next{};
    bool timed = false;
  };
  using Attempt = std::pair<TaskId, uint64_t>;
  const std::map<Attempt, Running>& tasks() const { return tasks_; }
  uint64_t agent_epoch() const { return agent_epoch_; }

  // A gang's task that has its image, on a machine that goes on, and waits for the others.
  bool ready_for_gang(const TaskId& task, uint64_t attempt) const;
  void run_gang_task(const TaskId& task, uint64_t attempt);
  // On a machine that stands still: when it goes on.
  void end_gang_task(const TaskId& task, uint64_t attempt, ExitCause cause, bool saved);

  std::string id, address, host, type, zone;
  bool spot;
  bool deaf = false, mute = false, gone = false, sick = false;
  // Keeps a copy of the newest report, to arrive once more at any time.
  void keep_report() { kept_report_ = encode(report()); }
  void repeat_kept_report(const std::string& node_host);

 private:
  Json report();
  void send_report();
  // To the node that it reports to; one that wasn't answered in time is not used again.
  std::string connection() const {
    return host + "#" + std::to_string(node_) + "." + std::to_string(connection_);
  }
  void schedule(double seconds);
  void changed();
  void answered(int status, const Json& body, uint64_t agent_epoch, double sent);
  void execute(const Json& orders);
  void learn(uint64_t fencing_token);
  void serve(Method method, const std::string& target, const std::string& body,
             const World::Answer& answer);
  void watch_lease();
  void end_session();
  void drop_tasks();
  void start(const Attempt& attempt);
  void fetched(const Attempt& attempt);
  void wait_for_gang(const Attempt& attempt);
  // What the others of their gangs notice when all tasks here are gone or stand still.
  void leave_gangs();
  void stop(Running& task, double grace);
  void exit(Running& task, ExitCause cause, bool saved = false);
  void time(Running& task, double seconds, std::function<void(Running&)> then);
  bool hung() const { return world_.now() < hung_until_; }

  World& world_;
  Fleet& fleet_;
  uint64_t agent_epoch_ = 1, seq_ = 0, fencing_token_ = 0;
  double acknowledged_ = 0, last_report_ = -1e9, hung_until_ = -1;
  size_t node_ = 0;
  uint64_t connection_ = 0;
  bool in_flight_ = false;
  uint64_t flight_ = 0;
  World::Key next_report_{}, lease_{};
  std::map<Attempt, Running> tasks_;
  std::set<std::string> images_;
  std::string kept_report_;
};

class Fleet {
 public:
  Fleet(World& world, const Settings& settings, std::vector<MachineType> types,
        std::vector<std::pair<std::string, std::string>> nodes,
        std::string address_prefix = "10.1.");
  RuleChecker& rules() { return rules_; }
  // Up and reporting from now on.
  Worker& add_up(const std::string& type, const std::string& zone, bool spot);
  Worker* find(const std::string& id);
  const std::map<std::string, std::unique_ptr<Worker>>& workers() const { return workers_; }
  void set_run_time(const std::string& job, double seconds) { run_s_[job] = seconds; }
  double run_time(const std::string& job) { return run_s_[job]; }
  GangRuns& gangs() { return gangs_; }
  const GangRuns& gangs() const { return gangs_; }
  void set_capacity(int machines) { capacity_ = machines; }
  // Machines in one page of the list, at the most.
  void set_page(size_t machines) { page_ = machines; }
  size_t refused_for_rate() const { return over_rate_; }
  static constexpr double never_boots = -1;
  void set_boot(double seconds) { boot_s_ = seconds; }
  // The cloud's interface answers nothing but that it is in trouble.
  void set_cloud_out(bool out) { cloud_out_ = out; }
  void set_broken(std::set<std::string> jobs) { broken_jobs_ = std::move(jobs); }
  // Starts of the job's tasks that got as far as their image, failed ones too.
  int starts(const std::string& job) const {
    auto it = starts_.find(job);
    return it == starts_.end() ? 0 : it->second;
  }

  const Settings& settings;
  const std::vector<MachineType> types;
  const std::vector<std::pair<std::string, std::string>> nodes;  // name, host
  int returned = 0, rented = 0;

 private:
  friend class Worker;
  Worker& add(const std::string& type, const std::string& zone, bool spot);
  void serve_cloud(Method method, const std::string& target, const std::string& body,
                   const World::Answer& answer);
  // Bursts worth two seconds are allowed.
  bool over_rate();
  // As it was a lag ago, the machines behind `since`.
  Json list(const std::string& since, size_t limit);
  Json list_now() const;
  World& world_;
  const std::string address_prefix_;  // of the machines' addresses, with a dot at the end
  RuleChecker rules_;
  GangRuns gangs_;
  std::map<std::string, std::unique_ptr<Worker>> workers_;
  std::map<std::string, double> run_s_;
  std::map<TaskId, double> saved_;  // progress kept outside the machines
  struct Rented {
    std::string type, zone;
    bool spot;
    double at;
    bool up = false;
  };
  std::map<std::string, Rented> machines_;
  std::map<std::string, Json> charters_;
  std::deque<std::pair<double, Json>> lists_;  // by time, from the newest that may be shown on
  int next_id_ = 1, capacity_ = 0;
  double boot_s_ = 0;  // 0: as the catalogue says
  size_t page_ = 500;
  double calls_ = 0, filled_at_ = -1e9;
  size_t over_rate_ = 0;
  bool cloud_out_ = false;
  std::set<std::string> broken_jobs_;
  std::map<std::string, int> starts_;
};

}  // namespace damsonport::simulation
