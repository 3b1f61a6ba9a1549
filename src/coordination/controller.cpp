#include "coordination/controller.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

#include "coordination/leadership/connection_policy.hpp"

namespace damsonport {

namespace {
constexpr size_t max_body = size_t{64} * 1024;  // by the protocol
// What the HTTP library takes: beyond it the answer is the library's own, which is no CBOR.
constexpr size_t max_read = 4 * max_body;
// Sockets kept free of users and workers for state service, cloud, peers and health probes.
constexpr int kept_sockets = 64;
constexpr double idle_connection_s = 45;

constexpr std::string_view jobs_path = "/api/jobs", heartbeat_path = "/hello";

// Of users and workers.
size_t max_connections(const Settings& s) {
  const int left = s.max_sockets - kept_sockets - CommandDispatcher::max_concurrent_sends(s);
  return static_cast<size_t>(std::max(left, s.max_sockets / 2));
}

// Integers that JSON numbers of any reader can hold.
uint64_t new_incarnation(Loop& loop) { return loop.random64() >> 12; }

std::vector<std::string> peer_names(const Settings& s) {
  std::vector<std::string> out;
  for (auto& p : s.peers) out.push_back(p.name);
  return out;
}

// A fifth of the node's plain share of requests goes to watching.
double watch_gap(const Settings& settings) {
  constexpr double watch_share = 0.2, least_per_s = 2.0;
  const double share = settings.state_limits.always().requests_per_s / settings.controller_count;
  return 1.0 / std::max(share * watch_share, least_per_s);
}

// Of the requests: the others confirm what users are told.
double share_of(bool is_leading, int controllers) {
  if (controllers <= 1) return 1;
  constexpr double leader_share = 0.5;
  return is_leading ? leader_share : (1 - leader_share) / (controllers - 1);
}
}  // namespace

Controller::Controller(Loop& loop, Network& network, const Settings& settings,
                       const RegionSettings* regions)
    : loop_(loop),
      settings_(settings),
      incarnation_(new_incarnation(loop)),
      http_(network.client()),
      store_(loop, *http_, settings.state, settings.state_limits),
      changed_(loop),
      cache_(loop, store_, watch_gap(settings), settings.clock_off_s,
             settings.state_limits.present().writes_per_s),
      catalog_(loop, *http_, settings),
      cancellations_(incarnation_, peer_names(settings)),
      peer_network_(loop, network, settings, cancellations_),
      versions_(loop, settings, store_, cache_),
      exit_forwarder_(loop, settings, store_, cache_),
      quotas_(settings, regions, cache_),
      regions_(loop, network, settings, regions, quotas_),
      election_(loop, settings, store_, cache_, incarnation_, changed_),
      shard_leader_({loop, settings, store_, cache_, *http_, catalog_, peer_network_,
                     cancellations_, election_, versions_, exit_forwarder_, quotas_, regions_,
                     changed_, incarnation_}),
      api_(loop, settings, store_, cache_, catalog_, versions_),
      server_(network.server(max_read, max_connections(settings), idle_connection_s,
                             [this](HttpRequest r) { return route(std::move(r)); })) {
  // Idle connections to workers take what the workers, users and orders under way leave.
  http_->bound_idle([this] {
    const auto all = static_cast<size_t>(settings_.max_sockets);
    const auto taken = server_->open() + http_->in_use() + kept_sockets;
    return std::max(all > taken ? all - taken : 0, static_cast<size_t>(kept_sockets) / 4);
  });
  cache_.on_change = [this](Job* job) {
    // What this node confirmed or read itself nobody else may know yet.
    if (job && job->cancelled && cancellations_.record(job->spec.id, job->cancelled_since) &&
        job->version > cache_.revision())
      peer_network_.wake();
    shard_leader_.job_changed(job);
  };
  peer_network_.on_cancelled = [this](const std::string& job) {
    shard_leader_.cancelled_elsewhere(job);
  };
  regions_.on_news = [this] { shard_leader_.on_quota_news(); };
  cache_.on_assignment = [this](const std::string& machine, const Job& job, bool added) {
    shard_leader_.assignment_changed(machine, job, added);
  };
  cache_.on_job_gone = [this](Job* job) {
    cancellations_.forget(job->spec.id);
    shard_leader_.job_gone(job);
  };
}

bool Controller::start() {
  if (!server_->bind(settings_.listen)) {
    spdlog::error("cannot listen on {}", settings_.listen.text());
    return false;
  }
  if (!peer_network_.listening()) {
    spdlog::error("cannot listen on {} for the other controllers", settings_.peer_listen.text());
    return false;
  }
  if (!regions_.listening()) {
    spdlog::error("cannot listen for the controllers of other regions");
    return false;
  }
  spdlog::info("{} in {} serves on {}", settings_.controller_name, settings_.zone,
               settings_.listen.text());
  auto stop_token = loop_.stop_token();
  loop_.spawn("cache", cache_.follow(stop_token));
  loop_.spawn("catalogue", catalog_.follow(stop_token));
  loop_.spawn("peers",
              peer_network_.send_heartbeats([this] { return next_heartbeat(); }, stop_token));
  loop_.spawn("regions",
              regions_.run([this] { return shard_leader_.fencing_token(); }, stop_token));
  loop_.spawn("version", versions_.announce(stop_token));
  loop_.spawn("exit relay", exit_forwarder_.run(stop_token));
  loop_.spawn("election", election_.run(stop_token));
  loop_.spawn("holder", shard_leader_.run(stop_token));
  loop_.spawn("machines", shard_leader_.run_maintenance(stop_token));
  loop_.spawn("machine list", shard_leader_.follow_machine_list(stop_token));
  loop_.spawn("accepting", api_.run_accept_loop(stop_token));
  loop_.spawn("confirming", api_.run_confirm_loop(stop_token));
  loop_.spawn("housekeeping", housekeeping(stop_token));
  return true;
}

PeerHeartbeat Controller::next_heartbeat() const {
  PeerHeartbeat b;
  b.controller = settings_.controller_name;
  b.incarnation = incarnation_;
  b.state_age_ms = static_cast<uint64_t>(std::min(loop_.now() - store_.last_contact(), 1e6) * 1000);
  b.waiting = shard_leader_.pending_tasks();
  b.loaded = cache_.loaded();
  b.misrouted_machines = shard_leader_.misrouted_machines();
  b.writes = static_cast<uint64_t>(std::ceil(wanted_writes()));
  b.fencing_token = shard_leader_.fencing_token();
  return b;
}

// The leader writes nearly everything, and more when much fails at once: it counts as wanting half
// of the limit always, and all of it where it isn't heard.
double Controller::wanted_writes() const {
  const double wanted = api_.wanted_writes();
  if (!election_.is_leading()) return wanted;
  return wanted + settings_.state_limits.present().writes_per_s / 2 +
         static_cast<double>(shard_leader_.waiting_writes());
}

void Controller::share_limits() {
  const bool is_leading = election_.is_leading();
  double others = static_cast<double>(peer_network_.wanted_writes());
  if (!is_leading && !(cache_.has_leader() && peer_network_.alive(cache_.leader().controller)))
    others += settings_.state_limits.present().writes_per_s;
  store_.limit().set_shares(share_of(is_leading, settings_.controller_count),
                            write_share(settings_.controller_count, wanted_writes(), others));
}

Task<void> Controller::housekeeping(std::stop_token stop_token) {
  const double period = settings_.heartbeat_interval_s / 3;
  while (!stop_token.stop_requested()) {
    share_limits();
    cancellations_.forget_received_before(cache_.as_of());
    api_.forget_refused();
    http_->trim(idle_connection_s);
    server_->tidy();
    spdlog::debug("connections: {} of users and workers, {} calls, {} idle", server_->open(),
                  http_->in_use(), http_->idle());
    if (!co_await Sleep(loop_, period, stop_token)) co_return;
  }
}

// A node that has lost the state service alone should leave the rotation; in an outage that all
// see, leaving would only make users find nobody, and coming back is made slower each time.
HttpResponse Controller::health() const {
  if (!cache_.loaded() || !catalog_.known()) return {503, {}, 1};
  const double limit = settings_.lease_s / 4;
  bool contact = loop_.now() - store_.last_contact() < limit;
  if (!contact && peer_network_.peer_has_state(limit)) return {503, {}, 1};
  return {200, {}, 0};
}

Task<HttpResponse> Controller::route(HttpRequest r) {
  const auto requester = r.path.starts_with(jobs_path) ? Requester::user
                         : r.path == heartbeat_path    ? Requester::worker
                                                       : Requester::other;
  auto response = co_await dispatch(std::move(r));
  response.close = closes_after_answer(
      requester, {server_->open(), max_connections(settings_), shard_leader_.fleet_size()});
  co_return response;
}

Task<HttpResponse> Controller::dispatch(HttpRequest r) {
  const HttpResponse wrong_method{405, {}, 0};
  if (r.body.size() > max_body)
    co_return bad_request("the body is longer than " + std::to_string(max_body) + " bytes");
  std::string_view path = r.path;
  if (path == heartbeat_path) {
    if (r.method != Method::post) co_return wrong_method;
    co_return shard_leader_.on_heartbeat(r);
  }
  if (path == "/healthz") {
    if (r.method != Method::get) co_return wrong_method;
    co_return health();
  }
  if (path == jobs_path) {
    if (r.method != Method::post) co_return wrong_method;
    co_return co_await api_.submit(std::move(r.body));
  }
  if (path.starts_with(jobs_path) && path.size() > jobs_path.size() + 1 &&
      path[jobs_path.size()] == '/') {
    auto rest = path.substr(jobs_path.size() + 1);
    auto slash = rest.find('/');
    std::string id(rest.substr(0, slash));
    if (slash == std::string_view::npos) {
      if (r.method != Method::get) co_return wrong_method;
      co_return co_await api_.poll(std::move(id));
    }
    if (rest.substr(slash) == "/cancel") {
      if (r.method != Method::post) co_return wrong_method;
      co_return co_await api_.cancel(std::move(id));
    }
  }
  co_return HttpResponse{404, {}, 0};
}

}  // namespace damsonport
