#include "coordination/autoscaling/machine_type_catalog.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace damsonport {

namespace {
constexpr double refresh_s = 120;  // only prices change
}

Task<void> MachineTypeCatalog::follow(std::stop_token stop_token) {
  while (!stop_token.stop_requested()) {
    auto reply = co_await http_.request(settings_.cloud, Method::get, "/catalog", {}, 3.0);
    auto types =
        reply.status == 200
            ? decode_catalog(decode_map(reply.body))
            : Result<std::vector<MachineType>>(Error{"status " + std::to_string(reply.status)});
    if (types && !types->empty()) {
      if (!known()) spdlog::info("catalogue read: {} machine types", types->size());
      types_ = std::move(*types);
    } else if (!known()) {
      const std::string words = types ? "it is empty" : types.error();
      if (auto times = warning_.note(words, loop_.now()))
        spdlog::warn("the catalogue can't be read yet: {} ({} times)", words, *times);
    }
    double pause = known() ? refresh_s : 1.0 / settings_.cloud_rps + 0.2;
    if (!co_await Sleep(loop_, pause * loop_.uniform(0.8, 1.2), stop_token)) co_return;
  }
}

const MachineType* MachineTypeCatalog::type(const std::string& name) const {
  for (auto& t : types_)
    if (t.name == name) return &t;
  return nullptr;
}

double MachineTypeCatalog::dearest_price() const {
  double most = 0;
  for (auto& t : types_) most = std::max(most, t.price);
  return std::max(most, 1e-9);
}

void drop_unknown_machine_types(JobSpec& job, const std::vector<MachineType>& types) {
  std::vector<std::string> known;
  for (auto& type : types)
    if (std::find(job.types.begin(), job.types.end(), type.name) != job.types.end())
      known.push_back(type.name);
  if (!known.empty()) job.types = std::move(known);
}

AdmissionResult check_admission(const JobSpec& job, const Settings& settings,
                                const std::vector<MachineType>& types) {
  auto* team = settings.team(job.team);
  if (!team) return AdmissionResult::unknown_team;
  bool fits = std::any_of(types.begin(), types.end(), [&](const MachineType& t) {
    if (!job.types.empty() &&
        std::find(job.types.begin(), job.types.end(), t.name) == job.types.end())
      return false;
    if (!job.zone.empty() && std::find(t.zones.begin(), t.zones.end(), job.zone) == t.zones.end())
      return false;
    return job.cpus <= t.cpus && job.gpus <= t.gpus && job.memory_gb <= t.memory_gb;
  });
  if (!fits) return AdmissionResult::no_fitting_machine_type;
  if (job.replicated() && job.tasks % job.parts != 0) return AdmissionResult::indivisible_replicas;
  double count = job.kind == JobKind::batch ? 1 : job.tasks;
  const double cpus_here = team->cpus_max - team->cpus_elsewhere;
  const double gpus_here = team->gpus_max - team->gpus_elsewhere;
  if ((team->cpus_max > 0 && job.cpus * count > cpus_here + 1e-9) ||
      (team->gpus_max > 0 && job.gpus * count > gpus_here + 1e-9))
    return AdmissionResult::over_quota_limit;
  return AdmissionResult::admitted;
}

}  // namespace damsonport
