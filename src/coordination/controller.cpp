#include "coordination/controller.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>
#include <utility>

#include "coordination/leadership/connection_policy.hpp"

namespace damsonport {

namespace {

/// Maximum of the protocol.
constexpr size_t max_body_bytes = size_t{64} * 1024;
/// Maximum size of a body that the HTTP library reads. To a longer body the library responds
/// itself, without CBOR.
constexpr size_t max_read_bytes = 4 * max_body_bytes;
/// Number of sockets that are not available to users and workers, but reserved for the key-value
/// store, the cloud, the other controllers and health probes.
constexpr int reserved_sockets = 64;
/// At least this many connections may stay open while idle.
constexpr size_t min_idle_connections = reserved_sockets / 4;
/// Time without a request after which a connection is closed, in seconds.
constexpr double idle_connection_s = 45;
/// Share of a worker's lease that may pass from the first to the last byte of a request.
constexpr double request_lease_share = 0.25;
/// Number of housekeeping runs per heartbeat interval.
constexpr double housekeeping_runs_per_heartbeat = 3;
/// Maximum age of the last contact with the key-value store that is reported to the other
/// controllers, in seconds.
constexpr double max_reported_age_s = 1e6;
/// A controller without contact with the key-value store for this share of a worker's lease is
/// unhealthy if another controller is in contact.
constexpr double contact_lease_share = 0.25;
constexpr double unhealthy_retry_after_s = 1;
/// Peers are told for this many times `cancel_s` that the tasks of a cancelled job are gone.
constexpr double ended_cancellation_memory = 2;

/// Names of the background tasks in the log.
namespace background_task {
constexpr const char* record_cache = "record cache";
constexpr const char* machine_type_catalog = "machine type catalog";
constexpr const char* peer_heartbeats = "peer heartbeats";
constexpr const char* region_exchange = "region exchange";
constexpr const char* version_announcement = "version announcement";
constexpr const char* exit_forwarder = "exit forwarder";
constexpr const char* election = "election";
constexpr const char* shard_leader = "shard leader";
constexpr const char* machine_maintenance = "machine maintenance";
constexpr const char* machine_list = "machine list";
constexpr const char* submissions = "submissions";
constexpr const char* confirmations = "confirmations";
constexpr const char* housekeeping = "housekeeping";
}  // namespace background_task

// Maximum number of connections of users and workers.
size_t max_connections(const Settings& settings) {
  const int unreserved =
      settings.max_sockets - reserved_sockets - CommandDispatcher::max_concurrent_sends(settings);
  return static_cast<size_t>(std::max(unreserved, settings.max_sockets / 2));
}

// Drops bits so that the value is below 2^53: every JSON parser represents such a number exactly.
uint64_t new_incarnation(Loop& loop) {
  constexpr int dropped_bits = 12;
  return loop.random64() >> dropped_bits;
}

std::vector<std::string> peer_names(const Settings& settings) {
  std::vector<std::string> names;
  for (auto& peer : settings.peers) names.push_back(peer.name);
  return names;
}

// Seconds between two watch requests of the cache. They use a fixed share of the requests that the
// controller would have if the limit were divided equally.
double watch_interval_s(const Settings& settings) {
  constexpr double watch_share = 0.2;
  constexpr double min_watches_per_s = 2.0;
  const double share = settings.state_limits.minimum().requests_per_s / settings.controller_count;
  return 1.0 / std::max(share * watch_share, min_watches_per_s);
}

// Share of the request limit of the key-value store for this controller. The followers need
// requests to confirm the statuses that users ask for.
double request_share(bool is_leading, int controllers) {
  constexpr double leader_share = 0.5;
  if (controllers <= 1) return 1;
  return is_leading ? leader_share : (1 - leader_share) / (controllers - 1);
}

constexpr int status_malformed = 400;

Requester requester_of(std::string_view path) {
  if (is_user_path(path)) return Requester::user;
  if (is_worker_path(path)) return Requester::worker;
  return Requester::other;
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
      cache_(loop, settings.clock_off_s, settings.state_limits.present().writes_per_s),
      record_watcher_(loop, store_, cache_, watch_interval_s(settings)),
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
      server_(network.server({max_read_bytes, max_connections(settings), idle_connection_s,
                              settings.lease_s * request_lease_share},
                             [this](HttpRequest request) { return handle(std::move(request)); })) {
  connect_callbacks();
}

void Controller::connect_callbacks() {
  http_->set_idle_limit([this] { return max_idle_connections(); });
  cache_.events().on_change = [this](Job* job) {
    if (job && job->cancelled) note_cancelled(*job);
    shard_leader_.job_changed(job);
  };
  peer_network_.on_cancelled = [this](const std::string& job) {
    shard_leader_.on_peer_cancellation(job);
  };
  regions_.on_quota_changes_due = [this] { shard_leader_.on_quota_changes_due(); };
  cache_.events().on_assignment = [this](const std::string& machine, const Job& job,
                                         AssignmentChange change) {
    shard_leader_.assignment_changed(machine, job, change == AssignmentChange::added);
  };
  cache_.events().on_job_removed = [this](Job* job) {
    cancellations_.note_ended(job->spec.id, loop_.now());
    changed_cancelled_jobs_.erase(job->spec.id);
    shard_leader_.job_gone(job);
  };
}

void Controller::note_cancelled(const Job& job) {
  changed_cancelled_jobs_.insert(job.spec.id);
  const bool is_new = cancellations_.record(job.spec.id, job.cancelled_since);
  // This controller wrote or read a version that is newer than the revision of the watch, so the
  // other controllers may not know of the cancellation yet.
  if (is_new && job.version > cache_.revision()) peer_network_.wake();
}

// Changes of a job's task chunks in quick succession lead to one statement. A job's record that is
// newer than the watch may name chunks that were not read yet.
void Controller::state_machines_of_cancelled_jobs() {
  for (auto& id : std::exchange(changed_cancelled_jobs_, {})) {
    const Job* job = cache_.job(id);
    if (!job) continue;
    std::set<std::string> machines;
    for (auto& task : job->live_tasks()) machines.insert(task.machine);
    const bool complete = cache_.loaded() && job->version <= cache_.revision();
    cancellations_.note_machines(id, {complete, {machines.begin(), machines.end()}});
    if (!complete) changed_cancelled_jobs_.insert(id);  // until the watch has caught up
  }
}

// Idle connections to workers may use the sockets that remain beside the connections of workers and
// users, the requests in progress and the reserved sockets.
size_t Controller::max_idle_connections() const {
  const auto all = static_cast<size_t>(settings_.max_sockets);
  const auto taken = server_->open_connections() + http_->requests_in_progress() + reserved_sockets;
  return std::max(all > taken ? all - taken : 0, min_idle_connections);
}

bool Controller::start() {
  if (!listen()) return false;
  spdlog::info("controller {} in zone {} is listening on {}", settings_.controller_name,
               settings_.zone, settings_.listen.text());
  start_background_tasks();
  return true;
}

bool Controller::listen() {
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
  return true;
}

void Controller::start_background_tasks() {
  namespace names = background_task;
  const auto stop_token = loop_.stop_token();
  loop_.spawn_essential(names::record_cache, record_watcher_.run(stop_token));
  loop_.spawn_essential(names::machine_type_catalog, catalog_.refresh_periodically(stop_token));
  loop_.spawn_essential(
      names::peer_heartbeats,
      peer_network_.send_heartbeats([this] { return next_heartbeat(); }, stop_token));
  loop_.spawn_essential(names::region_exchange,
                        regions_.run([this] { return shard_leader_.fencing_token(); }, stop_token));
  loop_.spawn_essential(names::version_announcement, versions_.announce(stop_token));
  loop_.spawn_essential(names::exit_forwarder, exit_forwarder_.run(stop_token));
  loop_.spawn_essential(names::election, election_.run(stop_token));
  loop_.spawn_essential(names::shard_leader, shard_leader_.run(stop_token));
  loop_.spawn_essential(names::machine_maintenance, shard_leader_.run_maintenance(stop_token));
  loop_.spawn_essential(names::machine_list, shard_leader_.follow_machine_list(stop_token));
  loop_.spawn_essential(names::submissions, api_.run_submissions(stop_token));
  loop_.spawn_essential(names::confirmations, api_.run_confirmations(stop_token));
  loop_.spawn_essential(names::housekeeping, run_housekeeping(stop_token));
}

PeerHeartbeat Controller::next_heartbeat() {
  state_machines_of_cancelled_jobs();
  const double state_age_s = std::min(store_.contact_age_s(), max_reported_age_s);
  PeerHeartbeat heartbeat;
  heartbeat.controller = settings_.controller_name;
  heartbeat.incarnation = incarnation_;
  heartbeat.state_age_ms = static_cast<uint64_t>(state_age_s * 1000);
  heartbeat.pending_tasks = shard_leader_.pending_tasks();
  heartbeat.records_loaded = cache_.loaded();
  heartbeat.misrouted_machines = shard_leader_.misrouted_machines();
  heartbeat.writes_per_s = static_cast<uint64_t>(std::ceil(wanted_writes()));
  heartbeat.fencing_token = shard_leader_.newest_fencing_token();
  return heartbeat;
}

// Write demand of this controller, in writes per second. The leader does nearly all writes, and
// more when much fails at once, so half of the limit is always added to its demand. While the
// leader's heartbeats don't arrive, the other controllers assume the whole limit for it (see
// divide_store_limits()).
double Controller::wanted_writes() const {
  const double wanted = api_.wanted_writes();
  if (!election_.is_leading()) return wanted;
  return wanted + settings_.state_limits.present().writes_per_s / 2 +
         static_cast<double>(shard_leader_.pending_writes());
}

void Controller::divide_store_limits() {
  const bool is_leading = election_.is_leading();
  const bool is_leader_alive =
      cache_.has_leader() && peer_network_.is_alive(cache_.leader().controller);
  double demand_of_others = static_cast<double>(peer_network_.wanted_writes());
  if (!is_leading && !is_leader_alive)
    demand_of_others += settings_.state_limits.present().writes_per_s;
  store_.rate_limiter().set_shares(
      request_share(is_leading, settings_.controller_count),
      write_share(settings_.controller_count, wanted_writes(), demand_of_others));
}

Task<void> Controller::run_housekeeping(std::stop_token stop_token) {
  const double interval_s = settings_.heartbeat_interval_s / housekeeping_runs_per_heartbeat;
  while (!stop_token.stop_requested()) {
    divide_store_limits();
    cancellations_.forget_received_before(cache_.as_of());
    cancellations_.forget_ended_before(loop_.now() -
                                       ended_cancellation_memory * settings_.cancel_s);
    if (!shard_leader_.reaches_store()) cancellations_.relay_received();
    api_.begin_demand_period();
    http_->close_idle_connections(idle_connection_s);
    server_->resume_accepting();
    spdlog::debug("connections: {} of users and workers, {} requests, {} idle",
                  server_->open_connections(), http_->requests_in_progress(),
                  http_->idle_connections());
    if (!co_await Sleep(loop_, interval_s, stop_token)) co_return;
  }
}

// A controller that has lost contact with the key-value store, while others have not, should leave
// the rotation of the load balancer. In an outage for all controllers, leaving would only make all
// of them unreachable for users, and the load balancer delays each return to the rotation further.
HttpResponse Controller::health() const {
  HttpResponse unhealthy{503, {}, unhealthy_retry_after_s};
  if (!cache_.loaded() || !catalog_.loaded()) return unhealthy;
  const double max_age_s = settings_.lease_s * contact_lease_share;
  const bool has_contact = store_.contact_age_s() < max_age_s;
  if (!has_contact && peer_network_.any_peer_reaches_store(max_age_s)) return unhealthy;
  return {200, {}, 0};
}

Task<HttpResponse> Controller::handle(HttpRequest request) {
  const auto requester = requester_of(request.path);
  Route route = match_route(request.path);
  const Resource resource = route.resource;
  const size_t body_bytes = request.body.size();
  auto response = co_await dispatch(std::move(request), std::move(route));
  if (response.status == status_malformed)
    malformed_requests_.record(resource, response.refusal_reason, body_bytes, loop_.now());
  response.close = closes_after_answer(
      requester,
      {server_->open_connections(), max_connections(settings_), shard_leader_.fleet_size()});
  co_return response;
}

Task<HttpResponse> Controller::dispatch(HttpRequest request, Route route) {
  if (request.body.size() > max_body_bytes)
    co_return bad_request("the body is longer than " + std::to_string(max_body_bytes) + " bytes");
  if (route.resource == Resource::unknown) co_return not_found();
  if (request.method != route.method) co_return method_not_allowed();
  switch (route.resource) {
    case Resource::worker_heartbeat:
      co_return shard_leader_.on_heartbeat(request);
    case Resource::health:
      co_return health();
    case Resource::job_collection:
      co_return co_await api_.submit(std::move(request.body));
    case Resource::job:
      co_return co_await api_.poll(std::move(route.job));
    case Resource::job_cancellation:
      co_return co_await api_.cancel(std::move(route.job));
    case Resource::unknown:
      break;
  }
  co_return not_found();
}

}  // namespace damsonport
