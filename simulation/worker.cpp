#include "simulation/worker.hpp"

#include <algorithm>

#include "simulation/simulated_fleet.hpp"

namespace damsonport::simulation {

namespace {
constexpr double response_timeout_s = 4;
constexpr double next_controller_delay_s = 1;
constexpr double min_heartbeat_interval_s = 0.5;
// The protocol's names of the states and causes, in the order of TaskState and ExitCause.
constexpr const char* state_names[] = {"fetching", "running", "flushing", "exited", "waiting"};
constexpr const char* cause_names[] = {"",     "done",    "stopped", "error", "no_room",
                                       "busy", "no_such", "peers",   "alone"};
}  // namespace

Worker::Worker(World& world, SimulatedFleet& fleet, const MachineInfo& info)
    : id(info.id),
      address(info.address),
      host(info.address.substr(0, info.address.find(':'))),
      type(info.type),
      zone(info.zone),
      spot(info.spot),
      world_(world),
      fleet_(fleet) {}

void Worker::begin() {
  lease_started_at_ = world_.now();
  controller_ = world_.random64() % fleet_.controllers.size();
  world_.serve(host, [this](auto&, Method method, auto& target, auto& body, auto respond) {
    if (!is_hung()) return serve(method, target, body, respond);
    // A hung worker handles the request once it resumes.
    world_.at(hung_until_, [this, method, target, body, respond] {
      if (!gone) serve(method, target, body, respond);
    });
  });
  restart_lease_timer();
  schedule_heartbeat(world_.uniform(0, 0.2));
}

void Worker::terminate() {
  report_lost_gang_tasks();
  gone = true;
  world_.stop_serving(host);
  drop_tasks();
  world_.cancel(lease_end_);
  world_.cancel(next_heartbeat_);
}

void Worker::hang(double seconds) {
  hung_until_ = world_.now() + seconds;
  report_lost_gang_tasks();
  // Pending steps of tasks are postponed until the machine resumes.
  for (auto& [attempt, task] : tasks_) {
    if (!task.has_timer) continue;
    clear_timer(task);
    task.progress_s += world_.now() - task.since;
    world_.at(hung_until_, [this, attempt = attempt, state = task.report.state] {
      resume_after_hang(attempt, state);
    });
  }
  world_.cancel(next_heartbeat_);
  // The end of the lease is checked when the machine resumes, before the next heartbeat.
  world_.cancel(lease_end_);
  world_.at(hung_until_, [this] {
    if (gone) return;
    restart_lease_timer();
    awaits_response_ = false;
    schedule_heartbeat(0.01);
  });
}

Json Worker::task_reports() const {
  Json reports = Json::array();
  for (auto& [attempt, task] : tasks_) {
    Json report = {{"hand", attempt.task.text()},
                   {"launch", attempt.number},
                   {"status", state_names[static_cast<size_t>(task.report.state)]}};
    if (task.report.state == TaskState::exited) {
      report["cause"] = cause_names[static_cast<size_t>(task.report.cause)];
      if (task.report.saved) report["kept"] = true;
    }
    reports.push_back(std::move(report));
  }
  return reports;
}

Json Worker::heartbeat() {
  return {{"vessel", id},           {"address", address},     {"hull", type},
          {"dock", zone},           {"tender", spot},         {"watch", agent_epoch_},
          {"tally", ++sequence_},   {"helm", fencing_token_}, {"recall_s", nullptr},
          {"hands", task_reports()}};
}

void Worker::note_size(const Json& heartbeat) {
  if (tasks_.size() <= most_tasks_) return;
  most_tasks_ = tasks_.size();
  largest_report_bytes_ = heartbeat.dump().size();
}

void Worker::schedule_heartbeat(double seconds) {
  world_.cancel(next_heartbeat_);
  next_heartbeat_ = world_.in(seconds, [this] { send_heartbeat(); });
}

void Worker::on_change() {
  if (awaits_response_ || is_hung()) return;
  schedule_heartbeat(std::max(0.001, last_heartbeat_at_ + min_heartbeat_interval_s - world_.now()));
}

std::string Worker::connection() const {
  return host + "#" + std::to_string(controller_) + "." + std::to_string(connection_number_);
}

void Worker::send_heartbeat() {
  if (gone || is_hung() || awaits_response_) return;
  awaits_response_ = true;
  const uint64_t number = ++heartbeat_number_;
  const double sent_at = world_.now();
  last_heartbeat_at_ = sent_at;
  const uint64_t agent_epoch = agent_epoch_;
  const auto timeout = world_.in(response_timeout_s, [this, number] {
    if (gone || number != heartbeat_number_ || !awaits_response_) return;
    on_heartbeat_response(0, Json(), agent_epoch_, 0);
  });
  const Json report = heartbeat();
  note_size(report);
  auto body = encode(report);
  if (loses_heartbeats) return;
  world_.send_request(
      connection(), fleet_.controllers[controller_].host, Method::post, "/hello", std::move(body),
      [this, number, agent_epoch, sent_at, timeout](const HttpClientResponse& reply) {
        if (gone || loses_incoming_messages || is_hung() || number != heartbeat_number_ ||
            !awaits_response_)
          return;
        world_.cancel(timeout);
        on_heartbeat_response(reply.status, decode_map(reply.body), agent_epoch, sent_at);
      });
}

void Worker::on_heartbeat_response(int status, const Json& body, uint64_t agent_epoch,
                                   double sent_at) {
  awaits_response_ = false;
  if (status == 0)
    ++connection_number_;  // closed, so that a late response on the old connection is ignored
  double next_s = fleet_.settings.heartbeat_interval_s * world_.uniform(0.75, 1.25);
  if (status == 200) {
    on_accepted_heartbeat(body, agent_epoch, sent_at);
  } else {
    next_s = select_next_controller(status, body);
  }
  schedule_heartbeat(next_s);
}

void Worker::on_accepted_heartbeat(const Json& body, uint64_t agent_epoch, double sent_at) {
  if (!body.is_object() || !body.contains("helm")) return;
  const uint64_t fencing_token = body["helm"].get<uint64_t>();
  // Even if the response is dropped, the worker stays with that controller.
  if (fencing_token < fencing_token_ || agent_epoch != agent_epoch_) return;
  learn_fencing_token(fencing_token);
  lease_started_at_ = sent_at;
  restart_lease_timer();
  execute(body.value("orders", Json::array()));
}

double Worker::select_next_controller(int status, const Json& body) {
  const auto& controllers = fleet_.controllers;
  if (status == 421 && body.is_object() && body.contains("harbour")) {
    const auto leader = std::find_if(controllers.begin(), controllers.end(),
                                     [&](auto& one) { return one.name == body["harbour"]; });
    const auto index = static_cast<size_t>(leader - controllers.begin());
    if (leader != controllers.end() && index != controller_) {
      controller_ = index;
      return world_.uniform(0, 0.5);
    }
  }
  controller_ = (controller_ + 1) % controllers.size();
  return next_controller_delay_s;
}

void Worker::learn_fencing_token(uint64_t fencing_token) {
  if (fencing_token <= fencing_token_) return;
  // Exits that were reported under an earlier lease are no proof any more.
  if (fleet_.lease_of(fencing_token) != fleet_.lease_of(fencing_token_)) removed_.clear();
  fencing_token_ = fencing_token;
  on_change();
}

void Worker::restart_lease_timer() {
  world_.cancel(lease_end_);
  const double ends_at = lease_started_at_ + fleet_.settings.lease_s;
  if (world_.now() >= ends_at) return lose_lease();
  lease_end_ = world_.at(ends_at, [this] { lose_lease(); });
}

void Worker::lose_lease() {
  if (gone || is_hung()) return;
  report_lost_gang_tasks();
  drop_tasks();
  ++agent_epoch_;
  lease_started_at_ = world_.now();
  restart_lease_timer();
  on_change();
}

void Worker::redeliver_kept_heartbeat(const std::string& controller_host) {
  world_.send_request(host, controller_host, Method::post, "/hello", kept_heartbeat_,
                      [](const HttpClientResponse&) {});
}

}  // namespace damsonport::simulation
