// Stand-ins of the cloud, the workers and the users, and the controllers as processes.
#pragma once
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <cstdarg>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <random>
#include <set>
#include <sstream>

#include "store.h"

namespace standin {

inline double t0 = now();
inline double rel() { return now() - t0; }

// record.txt: what was sent, answered and run.
class Record {
 public:
  static Record& get() {
    static Record r;
    return r;
  }
  void open(const std::string& path) { out_.open(path, std::ios::trunc); }
  void line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    char text[4096];
    va_list a;
    va_start(a, format);
    vsnprintf(text, sizeof text, format, a);
    va_end(a);
    std::lock_guard l(m_);
    char when[32];
    snprintf(when, sizeof when, "%8.3f ", rel());
    out_ << when << text << std::endl;
  }

 private:
  std::mutex m_;
  std::ofstream out_;
};
#define REC(...) ::standin::Record::get().line(__VA_ARGS__)

inline bool trouble() {
  const char* t = getenv("TROUBLE");
  return !t || std::string(t) != "0";
}

struct Times {
  double report_s = 1.5, lease_s = 12, gang_wait_s = 40, gang_peer_s = 6, cancel_s = 42;
};

struct Type {
  std::string name;
  double cores, accelerators, memory_gb;
  std::vector<std::string> docks;
  double ready_s = 2;
  size_t capacity = 20;  // machines of this type that the cloud has
};

struct Team {
  std::string name;
  double cpus = 0, cpus_max = 0, gpus = 0, gpus_max = 0;
};

// A task's presence on a machine, from the moment at which it has its image (PROTOCOL, "How aims
// are counted").
struct Event {
  double at;
  std::string what, task, machine;
  uint64_t launch;
  std::string cause;
};

// What all stand-ins share: the jobs' descriptions and what happened.
class World {
 public:
  std::mutex m;
  std::map<std::string, Json> jobs;  // descriptions, uploaded by the users
  std::vector<Event> events;
  void note(const std::string& what, const std::string& task, uint64_t launch,
            const std::string& machine, const std::string& cause = "") {
    std::lock_guard l(m);
    events.push_back({rel(), what, task, machine, launch, cause});
    if (!quiet)
      REC("%s %s launch %llu on %s %s", what.c_str(), task.c_str(),
          static_cast<unsigned long long>(launch), machine.c_str(), cause.c_str());
  }
  Json job(const std::string& ref) {
    std::lock_guard l(m);
    auto it = jobs.find(ref);
    return it == jobs.end() ? Json() : it->second;
  }
  std::atomic<bool> quiet{false};  // leave single tasks out of the record
};

class Worker {
 public:
  struct Info {
    std::string id;
    Type type;
    std::string dock;
    bool tender = false;
  };
  Worker(World& world, const Times& times, Info info, std::vector<std::pair<std::string, int>> nodes)
      : world_(world), times_(times), info_(std::move(info)), nodes_(std::move(nodes)),
        server_([this](const Request& r) { return serve(r); }), random_(std::random_device{}()) {
    std::thread([this] { report_loop(); }).detach();
    std::thread([this] { task_loop(); }).detach();
  }
  std::string address() const { return server_.address(); }
  const Info& info() const { return info_; }
  void end() {  // the machine is gone
    std::lock_guard l(m_);
    if (gone_) return;
    gone_ = true;
    for (auto& [k, t] : tasks_)
      if (t.present) world_.note("gone", k.first, k.second, info_.id);
    tasks_.clear();
  }
  bool gone() {
    std::lock_guard l(m_);
    return gone_;
  }
  // Faults. Messages to and from this machine; set by a test.
  std::atomic<bool> cut{false};       // no message passes in either direction
  std::atomic<bool> deaf{false};      // reports arrive; answers and direct commands are lost
  std::function<bool(const Json& orders)> on_direct;  // false: the command is not executed now
  double hang_until = 0;              // under m_
  std::atomic<double> fetch_s{0.3};
  std::atomic<bool> sick{false};      // tasks that get their image meanwhile fail
  std::atomic<uint64_t> reports_refused{0}, reports_ok{0};
  std::atomic<size_t> last_report_json{0};
  std::atomic<int> last_status{0};
  void hang(double s) {
    std::lock_guard l(m_);
    hang_until = now() + s;
  }
  uint64_t epoch() {
    std::lock_guard l(m_);
    return watch_;
  }
  size_t present() {
    std::lock_guard l(m_);
    size_t n = 0;
    for (auto& [k, t] : tasks_) n += t.present;
    return n;
  }

 private:
  struct Task {
    std::string status = "fetching", cause;
    bool kept = false, present = false;
    double next_at = 0;  // of the next change by itself; 0: none
    Json spec;
  };
  using Key = std::pair<std::string, uint64_t>;

  Json report() {  // with m_
    ++tally_;
    Json hands = Json::array();
    for (auto& [k, t] : tasks_) {
      Json h = {{"hand", k.first}, {"launch", k.second}, {"status", t.status}};
      if (t.status == "exited") {
        h["cause"] = t.cause;
        if (t.kept) h["kept"] = true;
      }
      hands.push_back(h);
    }
    return {{"vessel", info_.id}, {"address", server_.address()}, {"hull", info_.type.name},
            {"dock", info_.dock}, {"tender", info_.tender},       {"watch", watch_},
            {"tally", tally_},    {"helm", helm_},                {"recall_s", nullptr},
            {"hands", hands}};
  }
  void exit_task(const Key& k, Task& t, const std::string& cause, bool kept = false) {
    if (t.present) world_.note("exit", k.first, k.second, info_.id, cause);
    t.present = false;
    t.status = "exited";
    t.cause = cause;
    t.kept = kept;
    t.next_at = 0;
    changed_ = true;
  }
  bool has_room(const Json& spec) {
    double c = 0, a = 0, g = 0;
    for (auto& [k, t] : tasks_)
      if (t.status != "exited") {
        c += t.spec["cores"].get<double>();
        a += t.spec["accelerators"].get<double>();
        g += t.spec["memory_gb"].get<double>();
      }
    return c + spec["cores"].get<double>() <= info_.type.cores + 1e-6 &&
           a + spec["accelerators"].get<double>() <= info_.type.accelerators + 1e-6 &&
           g + spec["memory_gb"].get<double>() <= info_.type.memory_gb + 1e-6;
  }
  void execute(const Json& orders) {  // with m_
    for (auto& o : orders) {
      std::string op = o["order"], hand = o["hand"];
      Key k{hand, o["launch"].get<uint64_t>()};
      auto it = tasks_.find(k);
      if (op == "run") {
        if (it != tasks_.end()) continue;
        Task& t = tasks_[k];
        changed_ = true;
        size_t slash = hand.find('/');
        t.spec = world_.job(hand.substr(0, slash));
        bool other = false;
        for (auto& [k2, t2] : tasks_)
          if (k2.first == hand && k2.second != k.second && t2.status != "exited") other = true;
        t.status = "exited";
        if (t.spec.is_null() || std::stoul(hand.substr(slash + 1)) >= t.spec["hands"].get<size_t>()) {
          t.cause = "no_such";
        } else if (other) {
          t.cause = "busy";
        } else if (!has_room(t.spec)) {
          t.cause = "no_room";
        } else {
          t.status = "fetching";
          t.next_at = now() + (images_.contains(t.spec["cargo"]) ? 0.02 : fetch_s.load());
        }
        if (t.status == "exited")
          world_.note("refused", hand, k.second, info_.id, t.cause);
      } else if (it == tasks_.end()) {
        continue;
      } else if (op == "halt") {
        Task& t = it->second;
        if (t.status == "exited") continue;
        double slack = o.value("slack_s", 0.0);
        if (t.status == "running" && t.spec["moor_s"].get<double>() > 0 &&
            slack >= t.spec["stow_s"].get<double>()) {
          t.status = "flushing";
          t.next_at = now() + t.spec["stow_s"].get<double>();
          changed_ = true;
        } else if (t.status == "flushing" && slack > 0) {
          continue;
        } else {
          exit_task(k, t, "stopped");
        }
      } else if (op == "reap" && it->second.status == "exited") {
        tasks_.erase(it);
        changed_ = true;
      }
    }
  }
  void learn(uint64_t helm) {
    if (helm > helm_) {
      helm_ = helm;
      if (now() - helm_changed_at_ > times_.lease_s / 2) changed_ = true;
      helm_changed_at_ = now();
    }
  }
  void check_lease() {  // with m_
    if (now() - lease_from_ <= times_.lease_s) return;
    REC("%s lease over: session %llu", info_.id.c_str(), static_cast<unsigned long long>(watch_ + 1));
    for (auto& [k, t] : tasks_)
      if (t.present) world_.note("killed", k.first, k.second, info_.id, "lease");
    tasks_.clear();
    ++watch_;
    lease_from_ = now();
    changed_ = true;
  }
  void task_loop() {
    for (;;) {
      sleep_s(0.01);
      std::lock_guard l(m_);
      if (gone_) return;
      if (now() < hang_until) continue;
      check_lease();
      for (auto& [k, t] : tasks_) {
        if (t.next_at == 0 || now() < t.next_at) continue;
        if (t.status == "fetching") {
          images_.insert(t.spec["cargo"].get<std::string>());
          t.present = true;
          t.status = "running";
          world_.note("start", k.first, k.second, info_.id);
          if (sick) {
            exit_task(k, t, "error");
            continue;
          }
          if (done_.contains(k.first)) t.next_at = now();
          else t.next_at = t.spec["shape"] == "service" ? 0 : now() + t.spec["voyage_s"].get<double>();
          changed_ = true;
        } else if (t.status == "running") {
          done_.insert(k.first);
          exit_task(k, t, "done");
        } else if (t.status == "flushing") {
          exit_task(k, t, "stopped", true);
        }
      }
    }
  }
  Reply serve(const Request& r) {
    if (cut || deaf) {
      sleep_s(8);
      return {0, Json(), {}};
    }
    Json body = from_cbor(r.body);
    if (r.path == "/commands" && on_direct && body.contains("orders") && !on_direct(body)) {
      sleep_s(8);
      return {0, Json(), {}};
    }
    for (;;) {
      {
        std::lock_guard l(m_);
        if (gone_) return {0, Json(), {}};
        if (now() >= hang_until) break;
      }
      sleep_s(0.05);
    }
    return execute_direct(r, body);
  }

 public:
  // A direct command, also one that was held up on its way.
  Reply execute_direct(const Request& r, const Json& body) {
    std::lock_guard l(m_);
    if (gone_) return {0, Json(), {}};
    check_lease();
    if (r.method == "GET" && r.path == "/show") return {200, report(), {}};
    if (!body.is_object() || !body.contains("helm") || !body.contains("watch"))
      return {400, Json::object(), {}};
    if (body["helm"].get<uint64_t>() < helm_ || body["watch"].get<uint64_t>() != watch_)
      return {409, report(), {}};
    learn(body["helm"].get<uint64_t>());
    execute(body["orders"]);
    return {200, report(), {}};
  }

 private:
  void report_loop() {
    lease_from_ = now();
    size_t node = random_() % nodes_.size();
    auto connection = std::make_unique<Connection>(nodes_[node].second);
    double next = now(), last = 0;
    std::uniform_real_distribution<double> quarter(0.75, 1.25);
    for (;;) {
      for (;;) {
        {
          std::lock_guard l(m_);
          if (gone_) return;
          if (now() >= hang_until && (now() >= next || (changed_ && now() >= last + 0.5))) break;
        }
        sleep_s(0.01);
      }
      std::string body;
      uint64_t epoch;
      double sent = now();
      {
        std::lock_guard l(m_);
        changed_ = false;
        Json j = report();
        epoch = watch_;
        last_report_json = j.dump().size();
        body = to_cbor(j);
      }
      last = sent;
      next = sent + times_.report_s * quarter(random_);
      Reply reply;
      if (cut) {
        sleep_s(4);
      } else {
        reply = connection->call("POST", "/hello", body, 4);
        if (deaf) reply = {};
      }
      last_status = reply.status;
      if (reply.status == 200) {
        std::lock_guard l(m_);
        if (gone_) return;
        ++reports_ok;
        check_lease();
        bool valid = reply.body.is_object() && reply.body.contains("helm") &&
                     reply.body["helm"].get<uint64_t>() >= helm_ && epoch == watch_;
        if (valid) {
          lease_from_ = sent;
          learn(reply.body["helm"].get<uint64_t>());
          if (reply.body.contains("orders")) execute(reply.body["orders"]);
        }
        continue;
      }
      ++reports_refused;
      size_t to = nodes_.size();
      if (reply.status == 421 && reply.body.is_object() && reply.body.contains("harbour"))
        for (size_t i = 0; i < nodes_.size(); ++i)
          if (nodes_[i].first == reply.body["harbour"] && i != node) to = i;
      if (to < nodes_.size()) {
        node = to;
        next = now() + 0.1;
      } else {
        node = (node + 1) % nodes_.size();
        next = now() + 1;
      }
      last = 0;
      connection = std::make_unique<Connection>(nodes_[node].second);
      {
        std::lock_guard l(m_);
        changed_ = false;
      }
    }
  }

  World& world_;
  Times times_;
  Info info_;
  std::vector<std::pair<std::string, int>> nodes_;
  std::mutex m_;
  std::map<Key, Task> tasks_;
  std::set<std::string> images_, done_;
  uint64_t watch_ = 1, tally_ = 0, helm_ = 0;
  double lease_from_ = now(), helm_changed_at_ = -1e9;
  bool changed_ = false, gone_ = false;
  Server server_;
  std::mt19937 random_;
};

class Cloud {
 public:
  Cloud(World& world, Times times, std::vector<Type> types)
      : world_(world), times_(times), types_(std::move(types)),
        server_([this](const Request& r) { return serve(r); }) {}
  std::string address() const { return server_.address(); }
  void set_nodes(std::vector<std::pair<std::string, int>> nodes) { nodes_ = std::move(nodes); }
  std::vector<std::shared_ptr<Worker>> workers() {
    std::lock_guard l(m_);
    std::vector<std::shared_ptr<Worker>> out;
    for (auto& [id, machine] : machines_)
      if (machine.worker) out.push_back(machine.worker);
    return out;
  }
  std::function<void(Worker&)> on_up;
  // The cloud takes a machine back, with no notice.
  void take(const std::string& id) {
    std::shared_ptr<Worker> w;
    {
      std::lock_guard l(m_);
      auto it = machines_.find(id);
      if (it == machines_.end()) return;
      w = it->second.worker;
      machines_.erase(it);
      keep_.push_back(w);
    }
    REC("cloud: %s taken back", id.c_str());
    if (w) w->end();
  }
  // While set, nothing is available: rental requests get 503 "no capacity".
  void refuse(bool on) {
    refuse_ = on;
    REC("cloud: %s", on ? "no capacity from now on" : "has capacity again");
  }
  void set_capacity(const std::string& type, size_t machines) {
    std::lock_guard l(m_);
    for (auto& t : types_)
      if (t.name == type) t.capacity = machines;
    REC("cloud: capacity for %zu %s", machines, type.c_str());
  }
  std::atomic<int> rents{0};  // requests that asked for machines

 private:
  struct Machine {
    Type type;
    std::string dock;
    bool tender;
    double rented;
    std::shared_ptr<Worker> worker;
  };
  Reply serve(const Request& r) {
    if (r.path == "/catalog") {
      Json hulls = Json::array();
      for (auto& t : types_)
        hulls.push_back({{"name", t.name}, {"cores", t.cores}, {"accelerators", t.accelerators},
                         {"memory_gb", t.memory_gb}, {"local_gb", 300.0}, {"pull_gb_per_s", 4.0},
                         {"hourly", 2.0}, {"spot_price", 0.5}, {"ready_s", t.ready_s},
                         {"docks", t.docks}});
      return {200, {{"hulls", hulls}}, {}};
    }
    if (r.method == "POST" && r.path == "/hosts") return rent(from_cbor(r.body));
    if (r.method == "POST" && r.path == "/hosts/return") {
      Json b = from_cbor(r.body);
      std::vector<std::shared_ptr<Worker>> ended;
      {
        std::lock_guard l(m_);
        for (auto& v : b["vessels"]) {
          auto it = machines_.find(v.get<std::string>());
          if (it == machines_.end()) continue;
          REC("cloud: %s returned", it->first.c_str());
          if (it->second.worker) {
            ended.push_back(it->second.worker);
            keep_.push_back(it->second.worker);
          }
          machines_.erase(it);
        }
      }
      for (auto& w : ended) w->end();
      return {200, Json::object(), {}};
    }
    if (r.method == "GET" && r.path == "/hosts") {
      std::string since;
      if (size_t at = r.query.find("since="); at != std::string::npos)
        since = r.query.substr(at + 6, r.query.find('&', at) - at - 6);
      std::lock_guard l(m_);
      Json list = Json::array();
      bool more = false;
      for (auto it = machines_.upper_bound(since); it != machines_.end(); ++it) {
        if (list.size() == 500) {
          more = true;
          break;
        }
        auto& x = it->second;
        list.push_back({{"ref", it->first},
                        {"address", x.worker ? x.worker->address() : "127.0.0.1:1"},
                        {"hull", x.type.name}, {"dock", x.dock}, {"tender", x.tender},
                        {"status", x.worker ? "running" : "starting"}, {"held_s", now() - x.rented}});
      }
      return {200, {{"vessels", list}, {"more", more}}, {}};
    }
    return {404, Json::object(), {}};
  }
  Reply rent(const Json& b) {
    std::lock_guard l(m_);
    if (!b.is_object() || !b.contains("charter")) return {400, Json::object(), {}};
    const std::string charter = b["charter"];
    if (auto it = charters_.find(charter); it != charters_.end()) return {200, it->second, {}};
    const Type* type = nullptr;
    for (auto& t : types_)
      if (t.name == b["hull"]) type = &t;
    if (!type) return {400, Json::object(), {}};
    ++rents;
    Json names = Json::array();
    size_t held = 0;
    for (auto& [id, machine] : machines_) held += machine.type.name == type->name;
    for (int i = 0; !refuse_ && i < b["count"].get<int>() && held < type->capacity; ++i, ++held) {
      char id[32];
      snprintf(id, sizeof id, "i-%06d", ++last_);
      machines_[id] = {*type, b["dock"], b["tender"], now(), nullptr};
      names.push_back(id);
      std::thread([this, name = std::string(id), ready = type->ready_s] {
        sleep_s(ready);
        std::shared_ptr<Worker> w;
        std::lock_guard g(m_);
        auto it = machines_.find(name);
        if (it == machines_.end()) return;
        w = std::make_shared<Worker>(world_, times_,
                                     Worker::Info{name, it->second.type, it->second.dock, it->second.tender},
                                     nodes_);
        if (on_up) on_up(*w);
        it->second.worker = w;
        REC("cloud: %s is up", name.c_str());
      }).detach();
    }
    if (names.empty()) return {503, {{"error", "no capacity"}}, {}};
    REC("cloud: rented %zu %s", names.size(), type->name.c_str());
    charters_[charter] = {{"vessels", names}};
    return {200, charters_[charter], {}};
  }
  World& world_;
  Times times_;
  std::vector<Type> types_;
  std::vector<std::pair<std::string, int>> nodes_;
  std::mutex m_;
  std::map<std::string, Machine> machines_;
  std::map<std::string, Json> charters_;
  std::vector<std::shared_ptr<Worker>> keep_;
  std::atomic<bool> refuse_{false};
  int last_ = 0;
  Server server_;
};

// The controllers, started with the `run` command of deploy/service.toml.
class Controllers {
 public:
  struct Settings {
    std::vector<std::string> zones{"colombo-north"};
    std::vector<Team> teams;
    Times times;
    double rps = 1500, write_rps = 500, value_kb = 16;
    int txn_ops = 12;
    double cloud_rps = 50, list_lag_s = 2;
    int max_sockets = 600;
  };
  // mesh_port(from, to): where `from` is told to reach `to`; a proxy may stand between them.
  Controllers(int count, const Settings& s, std::function<std::string(int)> state,
              const std::string& cloud, const std::string& folder,
              std::function<std::string(int, int, int)> mesh = {})
      : folder_(folder) {
    std::ifstream deploy("deploy/service.toml");
    for (std::string line; std::getline(deploy, line);)
      if (line.starts_with("run = \"")) run_ = line.substr(7, line.rfind('"') - 7);
    if (run_.empty()) {
      std::cerr << "no run command\n";
      exit(2);
    }
    for (int i = 0; i < count; ++i) {
      ports_.push_back(free_port());
      mesh_.push_back(free_port());
      pids_.push_back(0);
    }
    for (int i = 0; i < count; ++i) {
      std::ofstream f(file(i));
      const std::string zone = s.zones[static_cast<size_t>(i) % s.zones.size()];
      f << "node_name = \"" << name(i) << "\"\nlocation = \"" << zone << "\"\nlisten = \"127.0.0.1:"
        << ports_[i] << "\"\nmesh_addr = \"127.0.0.1:" << mesh_[i] << "\"\n";
      for (int k = 0; k < count; ++k)
        if (k != i)
          f << "[[known]]\nnode_name = \"" << name(k) << "\"\nlocation = \""
            << s.zones[static_cast<size_t>(k) % s.zones.size()] << "\"\nendpoint = \""
            << (mesh ? mesh(i, k, mesh_[k]) : "127.0.0.1:" + std::to_string(mesh_[k])) << "\"\n";
      f << "[endpoints]\ncloud = \"" << cloud << "\"\nstate = \"" << state(i) << "\"\n[deployment]\ninitial_size = "
        << count << "\nzones = [";
      for (size_t z = 0; z < s.zones.size(); ++z) f << (z ? ", " : "") << '"' << s.zones[z] << '"';
      f << "]\nclock_off_ms = 25.0\n";
      for (auto& t : s.teams)
        f << "[[deployment.teams]]\nname = \"" << t.name << "\"\ncpus = " << fl(t.cpus)
          << "\ncpus_max = " << fl(t.cpus_max) << "\ngpus = " << fl(t.gpus)
          << "\ngpus_max = " << fl(t.gpus_max) << "\n";
      f << "[[deployment.objectives]]\nkind = \"wait\"\nclass = \"gatepost\"\nwithin_s = 1.0\nshare = 0.9\n";
      f << "[deployment.workers]\nreport_s = " << fl(s.times.report_s) << "\nlease_s = " << fl(s.times.lease_s)
        << "\ngang_wait_s = " << fl(s.times.gang_wait_s) << "\ngang_peer_s = " << fl(s.times.gang_peer_s)
        << "\ncancel_s = " << fl(s.times.cancel_s) << "\n[deployment.state]\nrps = " << fl(s.rps)
        << "\nwrite_rps = " << fl(s.write_rps) << "\nvalue_kb = " << fl(s.value_kb) << "\ntxn_ops = " << s.txn_ops
        << "\n[deployment.cloud]\nrps = " << fl(s.cloud_rps) << "\nlist_lag_s = " << fl(s.list_lag_s)
        << "\n[deployment.resources]\ncores = 1.0\nmem_mb = 256.0\nmax_sockets = " << s.max_sockets << "\n";
    }
  }
  ~Controllers() { end_all(); }
  static std::string name(int i) { return "quay-" + std::to_string(i); }
  int count() const { return static_cast<int>(ports_.size()); }
  int port(int i) const { return ports_[static_cast<size_t>(i)]; }
  int mesh_port(int i) const { return mesh_[static_cast<size_t>(i)]; }
  std::vector<std::pair<std::string, int>> nodes() const {
    std::vector<std::pair<std::string, int>> out;
    for (int i = 0; i < count(); ++i) out.emplace_back(name(i), port(i));
    return out;
  }
  void start(int i) {
    std::vector<std::string> words;
    std::istringstream in(run_);
    for (std::string w; in >> w;) words.push_back(w);
    words.push_back(file(i));
    std::vector<char*> argv;
    for (auto& w : words) argv.push_back(w.data());
    argv.push_back(nullptr);
    std::string log = folder_ + "/" + name(i) + ".log";
    pid_t pid = fork();
    if (pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(fd, 1);
      dup2(fd, 2);
      if (!getenv("LOG_LEVEL")) setenv("LOG_LEVEL", "debug", 1);
      execv(argv[0], argv.data());
      _exit(127);
    }
    std::lock_guard l(m_);
    pids_[static_cast<size_t>(i)] = pid;
    REC("controller %s started", name(i).c_str());
  }
  void start_all() {
    for (int i = 0; i < count(); ++i) start(i);
  }
  void signal(int i, int s) {
    std::lock_guard l(m_);
    if (pids_[static_cast<size_t>(i)] <= 0) return;
    REC("signal %d to %s", s, name(i).c_str());
    ::kill(pids_[static_cast<size_t>(i)], s);
  }
  void kill(int i) {
    signal(i, SIGKILL);
    wait_end(i, 5);
  }
  // How the process ended: -1 while it runs.
  int poll_end(int i) {
    std::lock_guard l(m_);
    auto& pid = pids_[static_cast<size_t>(i)];
    if (pid <= 0) return 0;
    int st = 0;
    if (waitpid(pid, &st, WNOHANG) == pid) {
      if (WIFSIGNALED(st)) REC("controller %s ended by signal %d", name(i).c_str(), WTERMSIG(st));
      else REC("controller %s ended with status %d", name(i).c_str(), WEXITSTATUS(st));
      pid = 0;
      return st;
    }
    return -1;
  }
  bool wait_end(int i, double s) {
    for (double until = now() + s; now() < until; sleep_s(0.02))
      if (poll_end(i) != -1) return true;
    return false;
  }
  pid_t pid(int i) {
    std::lock_guard l(m_);
    return pids_[static_cast<size_t>(i)];
  }
  bool healthy(int i) { return call(port(i), "GET", "/healthz", Json(), 1).status == 200; }
  bool wait_healthy(double s) {
    for (double until = now() + s; now() < until; sleep_s(0.1)) {
      int n = 0;
      for (int i = 0; i < count(); ++i) n += healthy(i);
      if (n == count()) return true;
    }
    return false;
  }
  // The shard leader by the stored table; -1: none.
  int leader(Store& store) {
    Json b = store.shard_table();
    const std::string text = b.dump();
    for (int i = 0; i < count(); ++i)
      if (text.find("\"" + name(i) + "\"") != std::string::npos) return i;
    return -1;
  }
  void end_all() {
    for (int i = 0; i < count(); ++i) {
      std::lock_guard l(m_);
      if (pids_[static_cast<size_t>(i)] > 0) {
        ::kill(pids_[static_cast<size_t>(i)], SIGKILL);
        waitpid(pids_[static_cast<size_t>(i)], nullptr, 0);
        pids_[static_cast<size_t>(i)] = 0;
      }
    }
  }
  std::string file(int i) const { return folder_ + "/" + name(i) + ".toml"; }

 private:
  static std::string fl(double v) {
    char b[40];
    snprintf(b, sizeof b, "%.3f", v);
    return b;
  }
  std::string run_, folder_;
  std::mutex m_;
  std::vector<int> ports_, mesh_;
  std::vector<pid_t> pids_;
};

inline Json job(const std::string& ref, const std::string& shape, int hands, double cores,
                double memory_gb, double voyage_s, const std::string& owner = "thumbgrid") {
  return {{"ref", ref},          {"berth", "gatepost"},   {"owner", owner},
          {"shape", shape},      {"rank", "normal"},      {"hands", hands},
          {"cores", cores},      {"accelerators", 0.0},   {"memory_gb", memory_gb},
          {"cargo", "img-07"},   {"size_gb", 1.0},        {"hulls", nullptr},
          {"dock", nullptr},     {"same_place", false},   {"spread", false},
          {"tender", false},     {"voyage_s", voyage_s},  {"moor_s", 0.0},
          {"stow_s", 0.0},       {"due_s", nullptr}};
}

// A user: repeats a submission as the page says (after 1 s or Retry-After, for 60 s in total).
inline bool submit(World& world, Controllers& c, const Json& j, int first = 0, double for_s = 60) {
  {
    std::lock_guard l(world.m);
    world.jobs[j["ref"]] = j;
  }
  double until = now() + for_s;
  for (int i = first; now() < until; ++i) {
    Reply r = call(c.port(i % c.count()), "POST", "/api/jobs", j, 5);
    REC("submit %s at %s: %d", j["ref"].get<std::string>().c_str(), c.name(i % c.count()).c_str(), r.status);
    if (r.status == 200 || r.status == 201) return true;
    if (r.status == 400 || r.status == 422) return false;
    double wait = 1;
    if (r.headers.contains("retry-after")) wait = std::max(wait, std::stod(r.headers["retry-after"]));
    sleep_s(wait);
  }
  return false;
}
inline Reply poll_job(Controllers& c, int i, const std::string& ref, double timeout = 4) {
  return call(c.port(i), "GET", "/api/jobs/" + ref, Json(), timeout);
}
inline std::string status_of(const Reply& r) {
  return r.body.is_object() ? r.body.value("status", std::string()) : std::string();
}

// Ends the test with a result: 1 the rule was broken, 0 it held, 2 the case couldn't run.
inline Controllers* controllers_to_end = nullptr;
inline std::string folder_to_remove;  // kept if KEEP is set
[[noreturn]] inline void finish(int result, const std::string& why) {
  REC("RESULT %d: %s", result, why.c_str());
  std::cout << (result == 1 ? "broken: " : result == 0 ? "held: " : "could not run: ") << why << std::endl;
  if (controllers_to_end) controllers_to_end->end_all();
  std::error_code ignored;
  if (getenv("KEEP")) std::cout << folder_to_remove << std::endl;
  else if (!folder_to_remove.empty()) std::filesystem::remove_all(folder_to_remove, ignored);
  _exit(result);
}
// Bounds the test's time.
inline void limit_time(double s) {
  std::thread([s] {
    sleep_s(s);
    finish(2, "out of time");
  }).detach();
}
// Whether a task is on a machine now, and how often one was started.
inline bool on_machine(World& world, const std::string& task) {
  std::lock_guard l(world.m);
  bool on = false;
  for (auto& e : world.events)
    if (e.task == task) on = e.what == "start" || (on && e.what == "refused");
  return on;
}
inline int starts_of(World& world, const std::string& task) {
  std::lock_guard l(world.m);
  int n = 0;
  for (auto& e : world.events) n += e.task == task && e.what == "start";
  return n;
}
inline bool wait_on_machine(World& world, const std::string& task, bool want, double s) {
  for (double until = now() + s; now() < until; sleep_s(0.02))
    if (on_machine(world, task) == want) return true;
  return on_machine(world, task) == want;
}

// A temporary folder for settings and logs.
inline std::string temp_folder() {
  std::string t = std::string(getenv("TMPDIR") ? getenv("TMPDIR") : "/tmp") + "/review-2-XXXXXX";
  if (!mkdtemp(t.data())) finish(2, "no temporary folder");
  return folder_to_remove = t;
}

}  // namespace standin
