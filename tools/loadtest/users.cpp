#include "users.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

#include "addresses.hpp"
#include "simulation/submission.hpp"

namespace damsonport::loadtest {

namespace {

constexpr double retry_s = 1, users_try_s = 60;
const std::string user_host = "users";

}  // namespace

Users::Users(const Experiment& plan, size_t region, RealTimeWorld& world,
             simulation::SimulatedFleet& fleet)
    : plan_(plan), region_(region), world_(world), fleet_(fleet) {}

std::string Users::node_host(size_t node) const { return addresses::controller(region_, node); }

void Users::begin() {
  for (auto& load : plan_.loads) {
    auto& in = load.regions;
    if (!in.empty() && std::find(in.begin(), in.end(), region_) == in.end()) continue;
    if (load.jobs_per_s > 0) world_.at(load.from_s, [this, &load] { schedule(load); });
  }
  if (plan_.polls_per_s[region_] > 0) world_.in(1, [this] { poll(); });
}

// Arrivals are independent of one another.
void Users::schedule(const Load& load) {
  const double gap = -std::log(world_.uniform(1e-9, 1)) / load.jobs_per_s;
  world_.in(gap, [this, &load] {
    if (world_.now() >= load.until_s) return;
    submit(load);
    schedule(load);
  });
}

void Users::submit(const Load& load) {
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
  job.at = world_.now();
  job.started.resize(spec.tasks);
  send(spec.id, world_.random64() % plan_.controllers[region_], world_.now());
}

void Users::send(const std::string& id, size_t node, double since) {
  const double asked = world_.now();
  world_.send_request(user_host, node_host(node), Method::post, "/api/jobs",
                      encode(simulation::submission_of(*fleet_.rules().spec(id))),
                      [this, id, node, since, asked](const HttpClientResponse& reply) {
                        ++answers_[fmt::format("submission {}", reply.status)];
                        fleet_.rules().on_response(id, reply.status, "queued", asked);
                        auto& job = jobs_.at(id);
                        if (reply.status == 200 || reply.status == 201) {
                          if (std::exchange(job.accepted, true)) return;
                          ++accepted_;
                          known_.push_back(id);
                          if (measured())
                            accept_times_.push_back(static_cast<float>(world_.now() - job.at));
                          if (world_.uniform(0, 1) < job.load->cancelled_share)
                            world_.in(world_.uniform(2, 20), [this, id] { cancel(id, 0); });
                          return;
                        }
                        const bool final = reply.status == 400 || reply.status == 422;
                        if (final || world_.now() - since > users_try_s) return;
                        world_.in(retry_s, [this, id, node, since] {
                          send(id, (node + 1) % plan_.controllers[region_], since);
                        });
                      });
}

void Users::cancel(const std::string& id, size_t node) {
  if (!jobs_.at(id).cancelled) fleet_.rules().on_cancel_request(id);
  jobs_.at(id).cancelled = true;
  const double asked = world_.now();
  world_.send_request(
      user_host, node_host(node), Method::post, "/api/jobs/" + id + "/cancel", {},
      [this, id, node, asked](const HttpClientResponse& reply) {
        if (reply.status == 200) {
          auto m = decode_map(reply.body);
          fleet_.rules().on_response(id, 200, m.value("status", std::string()), asked);
          return;
        }
        world_.in(retry_s,
                  [this, id, node] { cancel(id, (node + 1) % plan_.controllers[region_]); });
      });
}

void Users::cancel_services(size_t count) {
  constexpr double within_s = 1;
  for (auto& id : known_) {
    if (count == 0) return;
    const Submitted& job = jobs_.at(id);
    if (job.cancelled || !job.load->service) continue;
    --count;
    world_.in(world_.uniform(0, within_s), [this, id] { cancel(id, 0); });
  }
}

void Users::poll() {
  world_.in(1 / plan_.polls_per_s[region_], [this] { poll(); });
  if (known_.empty()) return;
  const auto id = known_[world_.random64() % known_.size()];
  const size_t node = world_.random64() % plan_.controllers[region_];
  const double asked = world_.now();
  world_.send_request(user_host, node_host(node), Method::get, "/api/jobs/" + id, {},
                      [this, id, asked](const HttpClientResponse& reply) {
                        ++answers_[fmt::format("poll {}", reply.status)];
                        if (reply.status != 200 && reply.status != 404) return;
                        auto m = decode_map(reply.body);
                        const auto status =
                            m.is_object() ? m.value("status", std::string()) : std::string();
                        fleet_.rules().on_response(id, reply.status, status, asked);
                      });
}

void Users::started(const TaskId& task) {
  ++starts_;
  auto it = jobs_.find(task.job);
  if (it == jobs_.end() || it->second.started[task.index]) return;
  it->second.started[task.index] = true;
  if (it->second.at >= plan_.warmup_s)
    waits_[it->second.load->name].push_back(
        {static_cast<float>(it->second.at), static_cast<float>(world_.now() - it->second.at)});
}

}  // namespace damsonport::loadtest
