#include "simulation/fleet.hpp"

#include <algorithm>

namespace damsonport::simulation {

namespace {
constexpr double worker_patience_s = 4, next_node_s = 1, soonest_s = 0.5;
constexpr const char* state_names[] = {"fetching", "running", "flushing", "exited", "waiting"};
constexpr const char* cause_names[] = {"",     "done",    "stopped", "error", "no_room",
                                       "busy", "no_such", "peers",   "alone"};
}  // namespace

Worker::Worker(World& world, Fleet& fleet, std::string id_, std::string address_, std::string type_,
               std::string zone_, bool spot_)
    : id(std::move(id_)),
      address(std::move(address_)),
      host(address.substr(0, address.find(':'))),
      type(std::move(type_)),
      zone(std::move(zone_)),
      spot(spot_),
      world_(world),
      fleet_(fleet) {}

void Worker::begin() {
  acknowledged_ = world_.now();
  node_ = world_.random64() % fleet_.nodes.size();
  world_.serve(host, [this](auto&, Method method, auto& target, auto& body, auto answer) {
    if (!hung()) return serve(method, target, body, answer);
    // Carried out when it goes on.
    world_.at(hung_until_, [this, method, target, body, answer] {
      if (!gone) serve(method, target, body, answer);
    });
  });
  watch_lease();
  schedule(world_.uniform(0, 0.2));
}

void Worker::vanish() {
  leave_gangs();
  gone = true;
  world_.vanish(host);
  drop_tasks();
  world_.cancel(lease_);
  world_.cancel(next_report_);
}

void Worker::hang(double seconds) {
  hung_until_ = world_.now() + seconds;
  leave_gangs();
  // What was to happen meanwhile happens that much later.
  for (auto& [a, t] : tasks_) {
    if (!t.timed) continue;
    auto later = t.next;
    world_.cancel(later);
    t.timed = false;
    t.progress += world_.now() - t.since;
    const Attempt attempt = a;
    world_.at(hung_until_, [this, attempt, state = t.report.state] {
      auto it = tasks_.find(attempt);
      if (gone || it == tasks_.end() || it->second.report.state != state) return;
      if (state == TaskState::fetching) fetched(attempt);
      if (state == TaskState::running) {
        it->second.since = world_.now();
        time(it->second, std::max(fleet_.run_s_[attempt.first.job] - it->second.progress, 0.0),
             [this](Running& r) { exit(r, ExitCause::done); });
      }
      if (state == TaskState::waiting) wait_for_gang(attempt);
      if (state == TaskState::saving) exit(it->second, ExitCause::stopped, true);
    });
  }
  world_.cancel(next_report_);
  // The lease is looked at first.
  world_.cancel(lease_);
  world_.at(hung_until_, [this] {
    if (gone) return;
    watch_lease();
    in_flight_ = false;
    schedule(0.01);
  });
}

Json Worker::report() {
  Json hands = Json::array();
  for (auto& [a, t] : tasks_) {
    Json m = {{"hand", a.first.text()},
              {"launch", a.second},
              {"status", state_names[static_cast<size_t>(t.report.state)]}};
    if (t.report.state == TaskState::exited) {
      m["cause"] = cause_names[static_cast<size_t>(t.report.cause)];
      if (t.report.saved) m["kept"] = true;
    }
    hands.push_back(std::move(m));
  }
  return {{"vessel", id},        {"address", address},
          {"hull", type},        {"dock", zone},
          {"tender", spot},      {"watch", agent_epoch_},
          {"tally", ++seq_},     {"helm", fencing_token_},
          {"recall_s", nullptr}, {"hands", std::move(hands)}};
}

void Worker::schedule(double seconds) {
  world_.cancel(next_report_);
  next_report_ = world_.in(seconds, [this] { send_report(); });
}

void Worker::changed() {
  if (!in_flight_ && !hung()) schedule(std::max(0.001, last_report_ + soonest_s - world_.now()));
}

void Worker::send_report() {
  if (gone || hung() || in_flight_) return;
  in_flight_ = true;
  const auto flight = ++flight_;
  const double sent = last_report_ = world_.now();
  const auto agent_epoch = agent_epoch_;
  auto give_up = world_.in(worker_patience_s, [this, flight] {
    if (gone || flight != flight_ || !in_flight_) return;
    answered(0, Json(), agent_epoch_, 0);
  });
  auto body = encode(report());
  if (mute) return;
  world_.ask(connection(), fleet_.nodes[node_].second, Method::post, "/hello", std::move(body),
             [this, flight, agent_epoch, sent, give_up](const HttpReply& reply) {
               if (gone || deaf || hung() || flight != flight_ || !in_flight_) return;
               world_.cancel(give_up);
               answered(reply.status, decode_map(reply.body), agent_epoch, sent);
             });
}

void Worker::answered(int status, const Json& body, uint64_t agent_epoch, double sent) {
  in_flight_ = false;
  if (status == 0) ++connection_;  // closed: what is late on it is not read any more
  double next = fleet_.settings.heartbeat_interval_s * world_.uniform(0.75, 1.25);
  if (status == 200) {
    const bool has = body.is_object() && body.contains("helm");
    const uint64_t fencing_token = has ? body["helm"].get<uint64_t>() : 0;
    // One that is dropped holds the worker at that node all the same.
    if (has && fencing_token >= fencing_token_ && agent_epoch == agent_epoch_) {
      learn(fencing_token);
      acknowledged_ = sent;
      watch_lease();
      execute(body.value("orders", Json::array()));
    }
  } else if (status == 421 && body.is_object() && body.contains("harbour")) {
    auto to = std::find_if(fleet_.nodes.begin(), fleet_.nodes.end(),
                           [&](auto& n) { return n.first == body["harbour"]; });
    const auto other = static_cast<size_t>(to - fleet_.nodes.begin());
    if (to != fleet_.nodes.end() && other != node_) {
      node_ = other;
      next = world_.uniform(0, 0.5);
    } else {
      node_ = (node_ + 1) % fleet_.nodes.size();
      next = next_node_s;
    }
  } else {
    node_ = (node_ + 1) % fleet_.nodes.size();
    next = next_node_s;
  }
  schedule(next);
}

void Worker::learn(uint64_t fencing_token) {
  if (fencing_token <= fencing_token_) return;
  fencing_token_ = fencing_token;
  changed();
}

void Worker::serve(Method method, const std::string& target, const std::string& body,
                   const World::Answer& answer) {
  if (deaf) return;
  if (method == Method::get && target == "/show") return answer({200, encode(report())});
  auto m = decode_map(body);
  if (target != "/commands" || !m.is_object() || !m.contains("helm") || !m.contains("watch"))
    return answer({400, {}});
  const uint64_t fencing_token = m["helm"], agent_epoch = m["watch"];
  if (fencing_token < fencing_token_ || agent_epoch != agent_epoch_)
    return answer({409, encode(report())});
  learn(fencing_token);
  execute(m.value("orders", Json::array()));
  answer({200, encode(report())});
}

void Worker::execute(const Json& orders) {
  for (auto& o : orders) {
    Attempt a;
    if (!parse_task_id(o.at("hand").get<std::string>(), a.first)) continue;
    a.second = o.at("launch");
    const std::string order = o.at("order");
    auto it = tasks_.find(a);
    if (order == "run" && it == tasks_.end()) start(a);
    if (order == "halt" && it != tasks_.end()) stop(it->second, o.value("slack_s", 0.0));
    if (order == "reap" && it != tasks_.end() && it->second.report.state == TaskState::exited)
      tasks_.erase(it);
  }
}

void Worker::time(Running& task, double seconds, std::function<void(Running&)> then) {
  if (task.timed) world_.cancel(task.next);
  const Attempt a{task.report.task, task.report.attempt};
  task.timed = true;
  task.since = world_.now();
  task.next = world_.in(seconds, [this, a, then = std::move(then)] {
    auto it = tasks_.find(a);
    if (it == tasks_.end()) return;
    it->second.timed = false;
    then(it->second);
  });
}

void Worker::start(const Attempt& a) {
  Running& t = tasks_[a];
  t.report.task = a.first;
  t.report.attempt = a.second;
  auto* spec = fleet_.rules_.spec(a.first.job);
  if (!spec) return exit(t, ExitCause::unknown);
  double cpus = 0, gpus = 0, memory = 0;
  for (auto& [other, o] : tasks_) {
    if (o.report.state == TaskState::exited) continue;
    if (other.first == a.first && other != a) return exit(t, ExitCause::busy);
    if (auto* s = fleet_.rules_.spec(other.first.job))
      cpus += s->cpus, gpus += s->gpus, memory += s->memory_gb;
  }
  for (auto& type_of : fleet_.types)
    if (type_of.name == type && (cpus > type_of.cpus + 1e-6 || gpus > type_of.gpus + 1e-6 ||
                                 memory > type_of.memory_gb + 1e-6))
      return exit(t, ExitCause::no_room);
  t.report.state = TaskState::fetching;
  double fetch = 0.05;
  if (!images_.contains(spec->image))
    for (auto& type_of : fleet_.types)
      if (type_of.name == type) fetch += spec->image_gb / type_of.fetch_gb_per_s;
  time(t, fetch, [this, a](Running&) { fetched(a); });
  changed();
}

void Worker::fetched(const Attempt& a) {
  Running& t = tasks_.at(a);
  auto& spec = *fleet_.rules_.spec(a.first.job);
  images_.insert(spec.image);
  ++fleet_.starts_[a.first.job];
  if (sick || fleet_.broken_jobs_.contains(a.first.job)) return exit(t, ExitCause::error);
  if (fleet_.rules_.is_done(a.first)) return exit(t, ExitCause::done);
  // On the machine from now on: the checker counts it as well.
  t.report.state = TaskState::running;
  fleet_.rules_.starts(id, a.first, a.second);
  if (spec.kind == JobKind::gang) return wait_for_gang(a);
  t.progress = fleet_.saved_[a.first];
  const double run = fleet_.run_s_[a.first.job];
  t.since = world_.now();
  if (spec.kind != JobKind::service)
    time(t, std::max(run - t.progress, 0.01), [this](Running& r) { exit(r, ExitCause::done); });
  changed();
}

void Worker::wait_for_gang(const Attempt& a) {
  Running& t = tasks_.at(a);
  t.report.state = TaskState::waiting;
  time(t, fleet_.settings.gang_wait_s, [this](Running& r) { exit(r, ExitCause::alone); });
  changed();
  fleet_.gangs_.arrived(a.first, a.second);
}

bool Worker::ready_for_gang(const TaskId& task, uint64_t attempt) const {
  auto it = tasks_.find({task, attempt});
  return !hung() && it != tasks_.end() && it->second.report.state == TaskState::waiting;
}

void Worker::run_gang_task(const TaskId& task, uint64_t attempt) {
  Running& t = tasks_.at({task, attempt});
  if (t.timed) world_.cancel(t.next);
  t.timed = false;
  t.report.state = TaskState::running;
  changed();
}

void Worker::end_gang_task(const TaskId& task, uint64_t attempt, ExitCause cause, bool saved) {
  if (hung()) {
    world_.at(hung_until_, [this, task, attempt, cause, saved] {
      if (!gone) end_gang_task(task, attempt, cause, saved);
    });
    return;
  }
  auto it = tasks_.find({task, attempt});
  if (it != tasks_.end() && it->second.report.state != TaskState::exited)
    exit(it->second, cause, saved);
}

void Worker::leave_gangs() {
  std::vector<Attempt> running;
  for (auto& [a, t] : tasks_) {
    auto* spec = fleet_.rules_.spec(a.first.job);
    if (spec && spec->kind == JobKind::gang && t.report.state == TaskState::running)
      running.push_back(a);
  }
  for (auto& a : running) fleet_.gangs_.lost(a.first, a.second);
}

void Worker::stop(Running& t, double grace) {
  if (t.report.state == TaskState::exited) return;
  if (t.report.state == TaskState::running &&
      fleet_.gangs_.told_to_stop(*this, t.report.task, t.report.attempt, grace))
    return;
  auto* spec = fleet_.rules_.spec(t.report.task.job);
  const bool saves = spec && spec->checkpoint_s > 0 && t.report.state == TaskState::running &&
                     grace >= spec->save_s;
  if (!saves) return exit(t, ExitCause::stopped);
  t.progress += world_.now() - t.since;
  t.report.state = TaskState::saving;
  time(t, spec->save_s, [this](Running& r) {
    fleet_.saved_[r.report.task] = r.progress;
    exit(r, ExitCause::stopped, true);
  });
  changed();
}

void Worker::exit(Running& t, ExitCause cause, bool saved) {
  if (t.timed) world_.cancel(t.next);
  t.timed = false;
  if (on_machine(t.report)) fleet_.rules_.leaves(id, t.report.task);
  if (cause == ExitCause::done) fleet_.rules_.done(t.report.task);
  t.report.state = TaskState::exited;
  t.report.cause = cause;
  t.report.saved = saved;
  changed();
}

// With the machine or the session.
void Worker::drop_tasks() {
  for (auto& [a, t] : tasks_) {
    if (t.timed) world_.cancel(t.next);
    if (on_machine(t.report)) fleet_.rules_.leaves(id, a.first);
  }
  tasks_.clear();
}

void Worker::watch_lease() {
  world_.cancel(lease_);
  const double ends = acknowledged_ + fleet_.settings.lease_s;
  if (world_.now() >= ends) return end_session();
  lease_ = world_.at(ends, [this] { end_session(); });
}

void Worker::end_session() {
  if (gone || hung()) return;
  leave_gangs();
  drop_tasks();
  ++agent_epoch_;
  acknowledged_ = world_.now();
  watch_lease();
  changed();
}

void Worker::repeat_kept_report(const std::string& node_host) {
  world_.ask(host, node_host, Method::post, "/hello", kept_report_, [](const HttpReply&) {});
}

Fleet::Fleet(World& world, const Settings& s, std::vector<MachineType> types_,
             std::vector<std::pair<std::string, std::string>> nodes_, std::string address_prefix)
    : settings(s),
      types(std::move(types_)),
      nodes(std::move(nodes_)),
      world_(world),
      address_prefix_(std::move(address_prefix)),
      rules_(world, s, *this),
      gangs_(world, *this) {
  world_.serve(s.cloud.host, [this](auto&, Method method, auto& target, auto& body, auto answer) {
    world_.in(0.1,
              [this, method, target, body, answer] { serve_cloud(method, target, body, answer); });
  });
}

Worker& Fleet::add(const std::string& type, const std::string& zone, bool spot) {
  const int n = next_id_++;
  std::string id = "i-" + std::to_string(100000 + n);
  std::string address =
      address_prefix_ + std::to_string(n / 200) + "." + std::to_string(n % 200) + ":9000";
  machines_[id] = {type, zone, spot, world_.now()};
  auto& worker = workers_[id] =
      std::make_unique<Worker>(world_, *this, id, address, type, zone, spot);
  return *worker;
}

Worker& Fleet::add_up(const std::string& type, const std::string& zone, bool spot) {
  auto& w = add(type, zone, spot);
  machines_.at(w.id).up = true;
  w.begin();
  return w;
}

Worker* Fleet::find(const std::string& id) {
  auto it = workers_.find(id);
  return it == workers_.end() || it->second->gone ? nullptr : it->second.get();
}

Json Fleet::list_now() const {
  Json out = Json::array();
  for (auto& [id, m] : machines_) {
    auto& w = *workers_.at(id);
    out.push_back({{"ref", id},
                   {"address", w.address},
                   {"hull", m.type},
                   {"dock", m.zone},
                   {"tender", m.spot},
                   {"status", m.up ? "running" : "starting"},
                   {"held_s", world_.now() - m.at}});
  }
  return out;
}

Json Fleet::list(const std::string& since, size_t limit) {
  constexpr double least_gap_s = 0.5;
  const double now = world_.now();
  if (lists_.empty() || now - lists_.back().first >= least_gap_s)
    lists_.emplace_back(now, list_now());
  const double seen = now - settings.list_lag_s;
  while (lists_.size() > 1 && lists_[1].first <= seen) lists_.pop_front();
  Json shown = Json::array();
  bool more = false;
  if (lists_.front().first <= seen)
    for (auto& machine : lists_.front().second) {
      if (machine["ref"].get_ref<const std::string&>() <= since) continue;
      more = shown.size() >= limit;
      if (more) break;
      shown.push_back(machine);
    }
  return {{"vessels", std::move(shown)}, {"more", more}};
}

bool Fleet::over_rate() {
  constexpr double burst_s = 2;
  const double passed = world_.now() - std::exchange(filled_at_, world_.now());
  calls_ = std::min(settings.cloud_rps * burst_s, calls_ + passed * settings.cloud_rps);
  if (calls_ < 1) {
    ++over_rate_;
    return true;
  }
  calls_ -= 1;
  return false;
}

void Fleet::serve_cloud(Method method, const std::string& target, const std::string& body,
                        const World::Answer& answer) {
  if (over_rate()) return answer({429, {}});
  if (cloud_out_) return answer({503, encode({{"error", "trouble"}})});
  if (target == "/catalog") {
    Json hulls = Json::array();
    for (auto& t : types)
      hulls.push_back({{"name", t.name},
                       {"cores", t.cpus},
                       {"accelerators", t.gpus},
                       {"memory_gb", t.memory_gb},
                       {"local_gb", t.cache_gb},
                       {"pull_gb_per_s", t.fetch_gb_per_s},
                       {"hourly", t.price},
                       {"spot_price", t.spot_price},
                       {"ready_s", t.boot_s},
                       {"docks", t.zones}});
    return answer({200, encode({{"hulls", std::move(hulls)}})});
  }
  if (method == Method::get) {
    const auto query = query_of(target);
    auto get = [&](const char* name) {
      auto it = query.find(name);
      return it == query.end() ? std::string() : it->second;
    };
    const auto limit = get("limit");
    const size_t most = limit.empty() ? page_ : std::min<size_t>(page_, std::stoul(limit));
    return answer({200, encode(list(get("since"), most))});
  }
  auto m = decode_map(body);
  if (target == "/hosts/return") {
    for (auto& name : m["vessels"]) {
      const std::string machine = name;
      if (auto* w = find(machine)) {
        w->vanish();
        ++returned;
      }
      machines_.erase(machine);
    }
    return answer({200, encode(Json::object())});
  }
  const std::string charter = m.at("charter");
  if (charters_.contains(charter)) return answer({200, encode(charters_[charter])});
  Json ids = Json::array();
  const int count =
      std::min(m.at("count").get<int>(), capacity_ - static_cast<int>(machines_.size()));
  if (count <= 0) return answer({503, encode({{"error", "no capacity"}})});
  for (int i = 0; i < count; ++i) {
    auto& w = add(m.at("hull"), m.at("dock"), m.at("tender"));
    ++rented;
    ids.push_back(w.id);
    double boot = boot_s_;
    for (auto& t : types)
      if (t.name == w.type && boot == 0) boot = t.boot_s;
    if (boot < 0) continue;  // stays `starting`
    world_.in(boot, [this, id = w.id] {
      if (auto* up = find(id)) {
        machines_.at(id).up = true;
        up->begin();
      }
    });
  }
  charters_[charter] = {{"vessels", ids}};
  answer({200, encode(charters_[charter])});
}

}  // namespace damsonport::simulation
