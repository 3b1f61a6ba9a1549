// Stand-ins for the workers, the cloud and the users, as the protocol page describes them, and the
// checks that an observer of the workers can make.
#pragma once
#include <map>
#include <set>

#include "base.h"

namespace standin {

// A job as its user has submitted it.
struct Job {
  Json body;
  double number(const char* field) const { return body[field].get<double>(); }
  std::string text(const char* field) const { return body[field].get<std::string>(); }
  bool is(const char* shape) const { return body["shape"] == shape; }
};

struct WorkerSettings {
  double report_s = 3, lease_s = 32;
};

// What can be seen on the workers: which task is on which machine.
class Observer {
 public:
  // Tasks of this job are counted in the record, not listed.
  std::string counted_job;
  std::atomic<size_t> counted_starts{0}, counted_ends{0};
  // The limit of each team in accelerators; 0: none.
  std::map<std::string, double> limits;

  void submitted(const Json& body) {
    std::lock_guard lock(mutex_);
    jobs_[body["ref"].get<std::string>()] = {body};
  }
  // The job of a task "run-1/0"; null if nobody has submitted it.
  const Job* job_of(const std::string& task) const {
    std::lock_guard lock(mutex_);
    auto it = jobs_.find(task.substr(0, task.rfind('/')));
    return it == jobs_.end() ? nullptr : &it->second;
  }
  void started(const std::string& task, uint64_t launch, const std::string& machine) {
    std::lock_guard lock(mutex_);
    if (is_counted(task)) {
      ++counted_starts;
    } else {
      record("STARTS %s launch %lu on %s", task.c_str(), launch, machine.c_str());
    }
    auto& places = on_[task];
    if (!places.empty())
      violate("ran_twice: " + task + " launch " + std::to_string(launch) + " starts on " + machine +
              " while it is on " + *places.begin());
    places.insert(machine);
    check_limit(task);
  }
  void left(const std::string& task, uint64_t launch, const std::string& machine,
            const std::string& why) {
    std::lock_guard lock(mutex_);
    if (is_counted(task)) {
      ++counted_ends;
    } else {
      record("LEAVES %s launch %lu on %s: %s", task.c_str(), launch, machine.c_str(), why.c_str());
    }
    on_[task].erase(machine);
    if (why == "done") done_.insert(task);
  }
  bool is_done(const std::string& task) const {
    std::lock_guard lock(mutex_);
    return done_.count(task) != 0;
  }
  size_t machines_with(const std::string& task) const {
    std::lock_guard lock(mutex_);
    auto it = on_.find(task);
    return it == on_.end() ? 0 : it->second.size();
  }
  void violate(const std::string& text) {
    record("RULE BROKEN: %s", text.c_str());
    ++violations;
  }
  // The page's limit for requests and for responses to workers, counted in JSON form.
  void ordered(const Json& message, const std::string& machine) {
    const size_t bytes = message.dump().size();
    if (bytes > 64 * 1024)
      violate("limit: " + machine + " gets a message of " + std::to_string(bytes) + " bytes");
  }
  bool is_counted(const std::string& task) const {
    return !counted_job.empty() && task.compare(0, counted_job.size(), counted_job) == 0;
  }
  std::atomic<int> violations{0};

 private:
  void check_limit(const std::string& task) {
    const auto team = jobs_[task.substr(0, task.rfind('/'))].text("owner");
    if (!limits.count(team) || limits[team] == 0) return;
    double used = 0;
    for (auto& [other, places] : on_) {
      const Job& job = jobs_[other.substr(0, other.rfind('/'))];
      if (job.text("owner") == team)
        used += job.number("accelerators") * static_cast<double>(places.size());
    }
    if (used > limits[team])
      violate("quota: with " + task + " the tasks of " + team + " use " + std::to_string(used) +
              " accelerators of " + std::to_string(limits[team]));
  }

  mutable std::mutex mutex_;
  std::map<std::string, Job> jobs_;
  std::map<std::string, std::set<std::string>> on_;  // by task: its machines
  std::set<std::string> done_;
};

// The controllers as workers and users see them.
struct Controllers {
  std::vector<std::string> names;
  std::vector<int> ports;
};

// One machine with its worker.
class Worker {
 public:
  struct Machine {
    std::string name, hull, dock;
    bool tender = false;
    double cores = 48, accelerators = 8, memory_gb = 192, pull_gb_per_s = 4.6;
  };
  // `links`: to each controller.
  Worker(Machine machine, WorkerSettings settings, const Controllers& controllers,
         std::vector<Link*> links, Link* commands, Observer& observer)
      : machine_(std::move(machine)),
        settings_(settings),
        controllers_(controllers),
        links_(std::move(links)),
        observer_(observer),
        server_([this](const Request& request) { return serve(request); }, commands) {}

  const Machine& machine() const { return machine_; }
  std::string address() const { return "127.0.0.1:" + std::to_string(server_.port); }
  // Boots: the worker reports to this controller first.
  void begin(size_t controller) {
    controller_ = controller;
    is_up_ = true;
    lease_from_ = last_report_ = now();
    std::thread([this] { report_forever(); }).detach();
    std::thread([this] { run_tasks(); }).detach();
  }
  bool is_up() const { return is_up_; }
  // The cloud takes the machine.
  void end() {
    std::lock_guard lock(mutex_);
    if (gone_) return;
    gone_ = true;
    drop_tasks("its machine is gone");
  }
  // Called when the worker's lease ends.
  std::function<void()> on_lease_end;
  // While set, every task that starts here fails.
  std::atomic<bool> is_sick{false};
  // Called before each report with the controller that gets it.
  std::function<void(size_t controller)> before_report;
  uint64_t session() const {
    std::lock_guard lock(mutex_);
    return watch_;
  }
  bool has(const std::string& task, const std::string& status) const {
    std::lock_guard lock(mutex_);
    for (auto& [key, hand] : hands_)
      if (key.first == task && hand.status == status) return true;
    return false;
  }

 private:
  struct Hand {
    std::string status, cause;
    bool kept = false;
    double step_at = forever;  // the end of the fetch, of the run or of saving
  };
  using Key = std::pair<std::string, uint64_t>;

  Json report() {
    Json hands = Json::array();
    for (auto& [key, hand] : hands_) {
      Json entry = {{"hand", key.first}, {"launch", key.second}, {"status", hand.status}};
      if (hand.status == "exited") entry["cause"] = hand.cause;
      if (hand.kept) entry["kept"] = true;
      hands.push_back(entry);
    }
    return {{"vessel", machine_.name}, {"address", address()},      {"hull", machine_.hull},
            {"dock", machine_.dock},   {"tender", machine_.tender}, {"watch", watch_},
            {"tally", ++tally_},       {"helm", helm_},             {"recall_s", nullptr},
            {"hands", hands}};
  }

  Response serve(const Request& request) {
    std::lock_guard lock(mutex_);
    if (!is_up_ || gone_) return {};
    if (request.target == "/show") return {200, encode(report())};
    const Json body = decode(request.body);
    if (!body.contains("helm") || !body.contains("watch")) return {400, {}};
    if (body["helm"].get<uint64_t>() < helm_ || body["watch"].get<uint64_t>() != watch_) {
      record("%s refuses commands of helm %lu", machine_.name.c_str(), body["helm"].get<uint64_t>());
      return {409, encode(report())};
    }
    observer_.ordered(body, machine_.name);
    learn(body["helm"].get<uint64_t>());
    execute(body.value("orders", Json::array()));
    return {200, encode(report())};
  }

  void learn(uint64_t helm) {
    if (helm <= helm_) return;
    helm_ = helm;
    changed_ = true;
  }

  void execute(const Json& orders) {
    for (auto& order : orders) {
      const Key key{order["hand"].get<std::string>(), order["launch"].get<uint64_t>()};
      const auto verb = order["order"].get<std::string>();
      if (!observer_.is_counted(key.first))
        record("%s gets %s %s launch %lu", machine_.name.c_str(), verb.c_str(), key.first.c_str(),
               key.second);
      auto hand = hands_.find(key);
      if (verb == "run" && hand == hands_.end()) start(key);
      if (verb == "halt" && hand != hands_.end()) halt(key, hand->second, order.value("slack_s", 0.0));
      if (verb == "reap" && hand != hands_.end() && hand->second.status == "exited")
        hands_.erase(hand);
      changed_ = true;
    }
  }

  void start(const Key& key) {
    Hand& hand = hands_[key];
    hand.status = "fetching";
    const Job* job = observer_.job_of(key.first);
    if (!job) return exit(key, hand, "no_such");
    double cores = 0, accelerators = 0, memory_gb = 0;
    for (auto& [other, present] : hands_) {
      if (present.status == "exited") continue;
      if (other != key && other.first == key.first) return exit(key, hand, "busy");
      const Job* its_job = observer_.job_of(other.first);
      cores += its_job->number("cores");
      accelerators += its_job->number("accelerators");
      memory_gb += its_job->number("memory_gb");
    }
    if (cores > machine_.cores + 1e-6 || accelerators > machine_.accelerators + 1e-6 ||
        memory_gb > machine_.memory_gb + 1e-6)
      return exit(key, hand, "no_room");
    const bool cached = images_.count(job->text("cargo"));
    hand.step_at = now() + (cached ? 0 : job->number("size_gb") / machine_.pull_gb_per_s);
    step(key, hand);
  }

  void step(const Key& key, Hand& hand) {
    if (now() < hand.step_at) return;
    hand.step_at = forever;
    changed_ = true;
    const Job& job = *observer_.job_of(key.first);
    if (hand.status == "flushing") {
      hand.kept = true;
      return exit(key, hand, "stopped");
    }
    if (hand.status == "running") return exit(key, hand, "done");
    images_.insert(job.text("cargo"));
    if (is_sick) return exit(key, hand, "error");
    if (observer_.is_done(key.first)) return exit(key, hand, "done");
    hand.status = "running";
    observer_.started(key.first, key.second, machine_.name);
    if (job.is("batch")) hand.step_at = now() + job.number("voyage_s");
  }

  void halt(const Key& key, Hand& hand, double slack_s) {
    if (hand.status == "exited") return;
    const Job& job = *observer_.job_of(key.first);
    if (hand.status == "running" && job.number("moor_s") > 0 && slack_s >= job.number("stow_s")) {
      hand.status = "flushing";
      hand.step_at = now() + job.number("stow_s");
      return;
    }
    if (hand.status == "flushing" && slack_s > 0) return;
    exit(key, hand, "stopped");
  }

  void exit(const Key& key, Hand& hand, const std::string& cause) {
    if (hand.status == "running" || hand.status == "flushing") {
      observer_.left(key.first, key.second, machine_.name, cause);
    } else if (!observer_.is_counted(key.first)) {
      record("%s: %s launch %lu exits with %s", machine_.name.c_str(), key.first.c_str(),
             key.second, cause.c_str());
    }
    hand.status = "exited";
    hand.cause = cause;
    hand.step_at = forever;
    changed_ = true;
  }

  void drop_tasks(const std::string& why) {
    for (auto& [key, hand] : hands_)
      if (hand.status == "running" || hand.status == "flushing")
        observer_.left(key.first, key.second, machine_.name, why);
    hands_.clear();
  }

  // Ends fetches, runs and leases.
  void run_tasks() {
    for (;; sleep_s(0.02)) {
      std::lock_guard lock(mutex_);
      if (gone_) return;
      if (now() > lease_from_ + settings_.lease_s) {
        record("%s: its lease has ended; session %lu begins", machine_.name.c_str(), watch_ + 1);
        if (on_lease_end) on_lease_end();
        drop_tasks("its worker's lease has ended");
        ++watch_;
        lease_from_ = now();
        changed_ = true;
      }
      for (auto& [key, hand] : hands_) step(key, hand);
    }
  }

  void report_forever() {
    std::vector<std::unique_ptr<Client>> clients;
    for (int port : controllers_.ports) clients.push_back(std::make_unique<Client>(port));
    std::vector<int> cuts(clients.size(), 0);
    double wait_s = uniform(0, 0.2);
    for (;;) {
      wait_for_report(wait_s);
      if (gone_) return;
      const size_t to = controller_;
      if (before_report) before_report(to);
      const double sent_at = now();
      const double until = sent_at + 4;
      Response response;
      Link& link = *links_[to];
      if (link.cuts() != cuts[to]) clients[to]->reset();
      std::string body;
      uint64_t session = 0;
      {
        std::lock_guard lock(mutex_);
        changed_ = false;
        last_report_ = sent_at;
        session = watch_;
        body = encode(report());
      }
      if (link.wait_connected(4)) {
        cuts[to] = link.cuts();
        response = clients[to]->call("POST", "/hello", body, until - now());
        if (link.cuts() != cuts[to]) response = {};
      }
      if (gone_) return;
      if (response.status != 200)
        record("%s reports to %s: status %d %s", machine_.name.c_str(),
               controllers_.names[to].c_str(), response.status, response.harbour().c_str());
      wait_s = on_response(response, session, sent_at);
    }
  }

  void wait_for_report(double seconds) {
    const double due = now() + seconds;
    for (; now() < due && !gone_; sleep_s(0.02)) {
      std::lock_guard lock(mutex_);
      if (changed_ && is_accepted_ && now() > last_report_ + 0.5) return;
    }
  }

  // Returns the time until the next report.
  double on_response(const Response& response, uint64_t session, double sent_at) {
    std::lock_guard lock(mutex_);
    is_accepted_ = response.status == 200;
    if (is_accepted_) {
      const Json body = decode(response.body);
      observer_.ordered(body, machine_.name);
      if (!body.contains("helm") || body["helm"].get<uint64_t>() < helm_ || session != watch_)
        return settings_.report_s * uniform(0.75, 1.25);
      learn(body["helm"].get<uint64_t>());
      lease_from_ = sent_at;
      execute(body.value("orders", Json::array()));
      return settings_.report_s * uniform(0.75, 1.25);
    }
    if (response.status == 421)
      for (size_t i = 0; i < controllers_.names.size(); ++i)
        if (controllers_.names[i] == response.harbour() && i != controller_) {
          controller_ = i;
          return uniform(0, 0.5);
        }
    controller_ = (controller_ + 1) % controllers_.names.size();
    return 1;
  }

  const Machine machine_;
  const WorkerSettings settings_;
  const Controllers& controllers_;
  std::vector<Link*> links_;
  Observer& observer_;
  mutable std::mutex mutex_;
  std::atomic<bool> is_up_{false}, gone_{false};
  std::atomic<size_t> controller_{0};
  uint64_t watch_ = 1, tally_ = 0, helm_ = 0;
  bool changed_ = false, is_accepted_ = false;
  double lease_from_ = 0, last_report_ = 0;
  std::map<Key, Hand> hands_;
  std::set<std::string> images_;
  Server server_;
};

// The cloud. It rents no further machines: every request is answered with "no capacity".
class Cloud {
 public:
  Cloud(Json hulls, double list_lag_s, std::vector<Link*> links)
      : hulls_(std::move(hulls)), list_lag_s_(list_lag_s) {
    for (auto* link : links)
      servers_.push_back(std::make_unique<Server>(
          [this](const Request& request) { return handle(request); }, link));
  }
  int port(size_t controller) const { return servers_[controller]->port; }
  void add(Worker& worker) {
    std::lock_guard lock(mutex_);
    entries_[worker.machine().name] = {&worker, forever, forever};
  }
  // The cloud takes a machine back (a spot machine without a notice).
  void take(const std::string& name) {
    std::lock_guard lock(mutex_);
    auto entry = entries_.find(name);
    if (entry != entries_.end()) remove(entry->second);
  }

 private:
  struct Entry {
    Worker* worker;
    double gone_at, listed_until;
  };
  void remove(Entry& entry) {
    if (entry.gone_at < forever) return;
    record("cloud: %s is gone", entry.worker->machine().name.c_str());
    entry.worker->end();
    entry.gone_at = now();
    entry.listed_until = now() + list_lag_s_;
  }
  Response handle(const Request& request) {
    const auto path = request.target.substr(0, request.target.find('?'));
    std::lock_guard lock(mutex_);
    if (path == "/catalog") return {200, encode({{"hulls", hulls_}})};
    if (path == "/hosts/return") {
      for (auto& name : decode(request.body).value("vessels", Json::array()))
        if (auto entry = entries_.find(name.get<std::string>()); entry != entries_.end())
          remove(entry->second);
      return {200, encode(Json::object())};
    }
    if (path == "/hosts" && request.method == "POST")
      return {503, encode({{"error", "no capacity"}})};
    Json vessels = Json::array();
    for (auto& [name, entry] : entries_) {
      if (now() > entry.listed_until) continue;
      const auto& machine = entry.worker->machine();
      vessels.push_back({{"ref", name},
                         {"address", entry.worker->address()},
                         {"hull", machine.hull},
                         {"dock", machine.dock},
                         {"tender", machine.tender},
                         {"status", entry.worker->is_up() ? "running" : "starting"},
                         {"held_s", now() + 60}});
    }
    return {200, encode({{"vessels", vessels}, {"more", false}})};
  }

  Json hulls_;
  double list_lag_s_;
  std::mutex mutex_;
  std::map<std::string, Entry> entries_;
  std::vector<std::unique_ptr<Server>> servers_;
};

// A user's client. Requests are repeated after a second at the next controller, as the load balancer
// would choose it, until there is a final answer.
class Users {
 public:
  Users(const Controllers& controllers, Observer& observer)
      : controllers_(controllers), observer_(observer) {}

  // Returns the status of the final answer; 0: none within a minute.
  int submit(const Json& body, size_t first = 0) {
    observer_.submitted(body);
    const auto response = repeat("POST", "/api/jobs", encode(body), first, 5);
    record("submission of %s: %d", body["ref"].get<std::string>().c_str(), response.status);
    return response.status;
  }
  int cancel(const std::string& job, size_t first = 0) {
    const auto response = repeat("POST", "/api/jobs/" + job + "/cancel", {}, first, 5);
    record("cancellation of %s: %d %s", job.c_str(), response.status,
           decode(response.body).dump().c_str());
    return response.status;
  }
  // One question, not repeated.
  Response poll(const std::string& job, size_t controller) {
    Client client(controllers_.ports[controller]);
    const auto response = client.call("GET", "/api/jobs/" + job, {}, 2);
    record("poll of %s at %s: %d %s", job.c_str(), controllers_.names[controller].c_str(),
           response.status, decode(response.body).dump().c_str());
    return response;
  }

 private:
  Response repeat(const std::string& method, const std::string& target, const std::string& body,
                  size_t controller, double timeout_s) {
    for (const double until = now() + 60; now() < until; sleep_s(1)) {
      Client client(controllers_.ports[controller++ % controllers_.ports.size()]);
      const auto response = client.call(method, target, body, timeout_s);
      if (response.status == 200 || response.status == 201 || response.status == 400 ||
          response.status == 422)
        return response;
    }
    return {};
  }
  const Controllers& controllers_;
  Observer& observer_;
};

}  // namespace standin
