#include "users.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

#include "addresses.hpp"
#include "simulation/submission.hpp"

namespace damsonport::loadtest {

namespace {

constexpr double retry_delay_s = 1, submission_timeout_s = 60;
const std::string user_host = "users";

}  // namespace

Users::Users(const ExperimentPlan& plan, size_t region, RealTimeWorld& world,
             simulation::SimulatedFleet& fleet)
    : plan_(plan), region_(region), world_(world), fleet_(fleet) {}

std::string Users::controller_host(size_t controller) const {
  return addresses::controller(region_, controller);
}

void Users::start() {
  for (auto& load : plan_.loads) {
    auto& in = load.regions;
    if (!in.empty() && std::find(in.begin(), in.end(), region_) == in.end()) continue;
    if (load.jobs_per_s > 0) world_.at(load.from_s, [this, &load] { schedule_next_job(load); });
  }
  if (plan_.polls_per_s[region_] > 0) world_.in(1, [this] { poll(); });
}

// Arrivals are a Poisson process: the gaps are exponentially distributed.
void Users::schedule_next_job(const Load& load) {
  const double gap = -std::log(world_.uniform(1e-9, 1)) / load.jobs_per_s;
  world_.in(gap, [this, &load] {
    if (world_.now() >= load.until_s) return;
    submit(load);
    schedule_next_job(load);
  });
}

void Users::submit(const Load& load) {
  // Job ids are unique across regions.
  constexpr uint64_t jobs_of_a_region = 10000000;
  JobSpec spec;
  spec.id = fmt::format("run-{}", (region_ + 1) * jobs_of_a_region + next_job_++);
  spec.job_class = load.name;
  auto& teams = plan_.settings.teams;
  const size_t team = load.teams.empty() ? world_.random64() % teams.size()
                                         : load.teams[world_.random64() % load.teams.size()];
  spec.team = teams[team].name;
  spec.kind = load.service ? JobKind::service : JobKind::batch;
  spec.priority = load.priority;
  const double factor = 1 + load.tasks_spread * world_.uniform(-1, 1);
  spec.tasks = static_cast<uint32_t>(std::max(1.0, std::round(load.tasks * factor)));
  plan_.settings.replicas.apply_to(spec);
  if (spec.replicated()) spec.tasks = std::max(spec.tasks / spec.parts, 1U) * spec.parts;
  spec.cpus = load.cpus, spec.gpus = load.gpus, spec.memory_gb = load.memory_gb;
  spec.image = "image-" + load.name;
  spec.image_gb = load.image_gb;
  constexpr double run_time_spread = 0.25;
  const double run_s = load.run_s * (1 + run_time_spread * world_.uniform(-1, 1));
  spec.estimate_s = load.run_s;
  fleet_.set_run_time(spec.id, run_s);
  fleet_.rules().on_submission(spec);
  auto& job = jobs_[spec.id];
  job.load = &load;
  job.submitted_at = world_.now();
  job.started.resize(spec.tasks);
  send_submission(spec.id, world_.random64() % plan_.controllers[region_], world_.now());
}

void Users::send_submission(const std::string& id, size_t controller, double first_attempt_at) {
  const double sent_at = world_.now();
  world_.send_request(
      user_host, controller_host(controller), Method::post, "/api/jobs",
      encode(simulation::submission_of(*fleet_.rules().spec(id))),
      [this, id, controller, first_attempt_at, sent_at](const HttpClientResponse& reply) {
        ++response_counts_[fmt::format("submission {}", reply.status)];
        fleet_.rules().on_response(id, reply.status, "queued", sent_at);
        auto& job = jobs_.at(id);
        if (reply.status == 200 || reply.status == 201) {
          if (std::exchange(job.accepted, true)) return;
          ++accepted_;
          accepted_jobs_.push_back(id);
          if (measured())
            accept_times_.push_back(static_cast<float>(world_.now() - job.submitted_at));
          if (world_.uniform(0, 1) < job.load->cancelled_share)
            world_.in(world_.uniform(2, 20), [this, id] { cancel(id, 0); });
          return;
        }
        const bool rejected = reply.status == 400 || reply.status == 422;
        if (rejected || world_.now() - first_attempt_at > submission_timeout_s) return;
        world_.in(retry_delay_s, [this, id, controller, first_attempt_at] {
          send_submission(id, (controller + 1) % plan_.controllers[region_], first_attempt_at);
        });
      });
}

void Users::cancel(const std::string& id, size_t controller) {
  if (!jobs_.at(id).cancelled) fleet_.rules().on_cancel_request(id);
  jobs_.at(id).cancelled = true;
  const double sent_at = world_.now();
  world_.send_request(
      user_host, controller_host(controller), Method::post, "/api/jobs/" + id + "/cancel", {},
      [this, id, controller, sent_at](const HttpClientResponse& reply) {
        if (reply.status == 200) {
          auto m = decode_map(reply.body);
          fleet_.rules().on_response(id, 200, m.value("status", std::string()), sent_at);
          return;
        }
        world_.in(retry_delay_s, [this, id, controller] {
          cancel(id, (controller + 1) % plan_.controllers[region_]);
        });
      });
}

void Users::cancel_services(size_t count) {
  constexpr double within_s = 1;
  for (auto& id : accepted_jobs_) {
    if (count == 0) return;
    const SubmittedJob& job = jobs_.at(id);
    if (job.cancelled || !job.load->service) continue;
    --count;
    world_.in(world_.uniform(0, within_s), [this, id] { cancel(id, 0); });
  }
}

void Users::poll() {
  world_.in(1 / plan_.polls_per_s[region_], [this] { poll(); });
  if (accepted_jobs_.empty()) return;
  const auto id = accepted_jobs_[world_.random64() % accepted_jobs_.size()];
  const size_t controller = world_.random64() % plan_.controllers[region_];
  const double sent_at = world_.now();
  world_.send_request(user_host, controller_host(controller), Method::get, "/api/jobs/" + id, {},
                      [this, id, sent_at](const HttpClientResponse& reply) {
                        ++response_counts_[fmt::format("poll {}", reply.status)];
                        if (reply.status != 200 && reply.status != 404) return;
                        auto m = decode_map(reply.body);
                        const auto status =
                            m.is_object() ? m.value("status", std::string()) : std::string();
                        fleet_.rules().on_response(id, reply.status, status, sent_at);
                      });
}

void Users::on_task_started(const TaskId& task) {
  ++starts_;
  auto it = jobs_.find(task.job);
  if (it == jobs_.end() || it->second.started[task.index]) return;
  it->second.started[task.index] = true;
  if (it->second.submitted_at >= plan_.warmup_s)
    waits_[it->second.load->name].push_back(
        {static_cast<float>(it->second.submitted_at),
         static_cast<float>(world_.now() - it->second.submitted_at)});
}

}  // namespace damsonport::loadtest
