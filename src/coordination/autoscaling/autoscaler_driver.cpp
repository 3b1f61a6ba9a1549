#include "coordination/autoscaling/autoscaler_driver.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "coordination/autoscaling/headroom.hpp"
#include "coordination/machines/machine_capacity.hpp"

namespace damsonport {

namespace {
// Time for which a machine kind counts as scarce after a refusal, in multiples of lease_s.
constexpr double scarcity_leases = 10;
// Time for which a machine that is up counts as booting before its first heartbeat, in heartbeat
// intervals.
constexpr double first_heartbeat_intervals = 4;
// Limit on the concurrent tasks of a job whose team has no quota limit.
constexpr double unlimited_team_tasks = 1e6;

MachineKind kind_of(const Machine& machine) { return {machine.type, machine.zone, machine.spot}; }
}  // namespace

AutoscalerDriver::AutoscalerDriver(Dependencies dependencies)
    : deps_(std::move(dependencies)),
      scale_out_requests_(deps_.loop, deps_.settings, deps_.store, deps_.cache, deps_.http,
                          deps_.incarnation) {
  scale_out_requests_.on_machines_created = [this](auto& machines, const MachineKind& kind) {
    for (auto& id : machines)
      if (!deps_.machines.contains(id) && !deps_.cache.has_tombstone(id))
        booting_.add(id, kind, deps_.loop.now());
  };
}

void AutoscalerDriver::begin_lease(uint64_t fencing_token) {
  lost_machine_kinds_.clear();
  booting_.clear();
  scale_out_requests_.begin_lease(fencing_token);
  cost_account_.begin_lease(deps_.loop.now());
}

void AutoscalerDriver::end_lease() { scale_out_requests_.begin_lease(0); }

void AutoscalerDriver::note_booting(const ListedMachine& listed) {
  const double now = deps_.loop.now();
  const BootingMachine& booting =
      booting_.add(listed.id, {listed.type, listed.zone, listed.spot}, now - listed.age_s);
  auto machine = deps_.machines.find(listed.id);
  if (machine != deps_.machines.end() && machine->second.agent_epoch != 0) {
    booting_.remove(listed.id);  // the machine list lags behind
  } else if (BootingMachines::has_failed(booting, deps_.catalog.type(listed.type), now)) {
    deps_.scale_in.request(listed.id, "it does not boot");
  }
}

void AutoscalerDriver::note_returned(const std::string& id, const Machine* machine,
                                     bool declared_dead) {
  booting_.remove(id);
  if (!machine || machine->type.empty()) return;
  // The cloud has capacity of this kind again, so that the kind may be requested despite an earlier
  // refusal.
  scale_out_requests_.clear_refusal(kind_of(*machine));
  // The replacement is requested now: the machine's tasks become demand only after their exits are
  // committed, and the replacement then still has to boot.
  if (declared_dead) lost_machine_kinds_.push_back({machine->type, machine->zone, machine->spot});
}

void AutoscalerDriver::for_each_expected_machine(
    const std::function<void(const std::string&, const BootingMachine&, const MachineType&)>& visit)
    const {
  for (auto& [id, booting] : booting_.all()) {
    if (deps_.machines.contains(id) || deps_.scale_in.is_leaving(id)) continue;
    const MachineType* type = deps_.catalog.type(booting.kind.type);
    if (type && !BootingMachines::is_late(booting, *type, deps_.loop.now()))
      visit(id, booting, *type);
  }
}

// Returns how many tasks of this job the quota limit of its team allows at the same time.
uint64_t AutoscalerDriver::max_team_tasks(const JobSpec& spec) const {
  constexpr double rounding = 1e-6;
  auto* team = deps_.settings.team(spec.team);
  double tasks = unlimited_team_tasks;
  const auto limit = team ? deps_.quotas.limit(*team) : scheduling::Resources{};
  if (limit.cpus > 0 && spec.cpus > 0) tasks = std::min(tasks, limit.cpus / spec.cpus);
  if (limit.gpus > 0 && spec.gpus > 0) tasks = std::min(tasks, limit.gpus / spec.gpus);
  return static_cast<uint64_t>(tasks + rounding);
}

// Derives the expected arrivals from the stored jobs, so that a new shard leader expects the same
// demand as its predecessor.
void AutoscalerDriver::add_expected_arrivals(autoscaling::AutoscalerInput& input) const {
  double gpu_boot_s = 0;
  double cpu_boot_s = 0;
  for (auto& type : input.types) {
    double& boot_s = type.gpus > 0 ? gpu_boot_s : cpu_boot_s;
    boot_s = std::max(boot_s, type.boot_s);
  }
  std::vector<headroom::Arrival> gpus;
  std::vector<headroom::Arrival> cpus;
  for (auto& [id, job] : deps_.cache.jobs()) {
    auto& spec = job->spec;
    if (spec.spot) continue;
    const double age_s = deps_.loop.unix_time() - spec.accepted_at;
    if (spec.gpus > 0) {
      gpus.push_back({age_s, spec.gpus * spec.tasks});
    } else {
      cpus.push_back({age_s, spec.cpus * spec.tasks});
    }
  }
  const double standard_deviations = deps_.settings.tuning.arrival_std_deviations;
  input.expected_gpus = headroom::expected_arrivals(gpus, gpu_boot_s, standard_deviations);
  input.expected_cpus = headroom::expected_arrivals(cpus, cpu_boot_s, standard_deviations);
}

void AutoscalerDriver::add_work(autoscaling::AutoscalerInput& input) const {
  for (auto& [id, job] : deps_.cache.jobs()) {
    auto& spec = job->spec;
    if (job->cancelled || deps_.faults.is_job_faulty(id)) continue;
    const auto tasks =
        static_cast<uint32_t>(std::min<uint64_t>(spec.tasks - job->done, max_team_tasks(spec)));
    (spec.gpus > 0 ? input.gpu_work : input.cpu_work) += resources_per_task(spec) * tasks;
    if (spec.spot) {
      input.spot_work.push_back({resources_per_task(spec), tasks, spec.types, spec.zone, true});
      continue;
    }
    input.largest_gpus = std::max(input.largest_gpus, spec.gpus);
  }
}

void AutoscalerDriver::add_offers(autoscaling::AutoscalerInput& input) const {
  const double scarce_within_s = scarcity_leases * deps_.settings.lease_s;
  for (auto& type : input.types)
    for (auto& zone : type.zones)
      for (bool spot : {false, true}) {
        const MachineKind kind{type.name, zone, spot};
        autoscaling::MachineOffer offer{kind};
        offer.refused = scale_out_requests_.is_refused(kind);
        offer.scarce = scale_out_requests_.is_scarce(kind, scarce_within_s);
        offer.request_pending = scale_out_requests_.has_pending(kind);
        input.offers.push_back(offer);
      }
}

autoscaling::MachineState AutoscalerDriver::machine_state(const Machine& machine) const {
  const double now = deps_.loop.now();
  autoscaling::MachineState state;
  state.id = machine.id;
  state.type = machine.type;
  state.zone = machine.zone;
  state.spot = machine.spot;
  state.schedulable = deps_.is_schedulable(machine);
  state.total = total_resources(machine, deps_.catalog);
  state.free = free_resources(machine, deps_.catalog, deps_.cache);
  state.empty = deps_.cache.assignments_on(machine.id).empty() && !machine.has_live_tasks();
  state.idle_s = now - machine.idle_since;
  for (auto& [image, use] : machine.images.images()) state.images_gb += use.second;
  // A machine that is up but has not sent its first heartbeat counts as booting.
  state.booting = machine.agent_epoch == 0 &&
                  deps_.failure_detector.since_last_heartbeat_s(machine, now) <
                      first_heartbeat_intervals * deps_.settings.heartbeat_interval_s;
  for (auto& [assignment, attempt] : deps_.cache.assignments_on(machine.id)) {
    auto& spec = assignment.job->spec;
    if (!spec.spot) {
      state.has_on_demand_work = true;
    } else if (spec.checkpoint_s > 0) {
      state.preemptible += resources_per_task(spec);
    }
  }
  return state;
}

void AutoscalerDriver::add_machines(autoscaling::AutoscalerInput& input) const {
  for (auto& [id, machine] : deps_.machines) {
    if (deps_.scale_in.is_leaving(id) || machine.type.empty()) continue;
    input.machines.push_back(machine_state(machine));
  }
}

void AutoscalerDriver::add_booting(autoscaling::AutoscalerInput& input) const {
  for_each_expected_machine([&](auto& id, auto& booting, auto& type) {
    autoscaling::MachineState state;
    state.id = id;
    state.type = booting.kind.type;
    state.zone = booting.kind.zone;
    state.spot = booting.kind.spot;
    state.booting = true;
    state.total = {type.cpus, type.gpus, type.memory_gb};
    state.free = state.total;
    input.machines.push_back(state);
  });
}

autoscaling::AutoscalerInput AutoscalerDriver::build_input(
    const std::vector<autoscaling::ResourceDemand>& unschedulable) const {
  const Tuning& tuning = deps_.settings.tuning;
  autoscaling::AutoscalerInput input;
  input.types = deps_.catalog.types();
  input.headroom_share = tuning.headroom_share;
  input.cheap_headroom_share = tuning.cheap_headroom_share;
  input.idle_replacements = tuning.idle_replacements;
  input.demand = unschedulable;
  add_expected_arrivals(input);
  add_work(input);
  add_offers(input);
  add_machines(input);
  add_booting(input);
  return input;
}

// Adds the replacements of stragglers and of machines that were declared dead, except for kinds
// with a pending request.
void AutoscalerDriver::add_replacements(autoscaling::AutoscalerInput& input) {
  for (auto& [id, machine] : deps_.machines) {
    const bool needs_replacement =
        machine.straggler_since > 0 && !machine.draining && !machine.replacement_requested;
    if (!needs_replacement || scale_out_requests_.has_pending(kind_of(machine))) continue;
    machine.replacement_requested = true;
    input.replacements.push_back({machine.type, machine.zone, machine.spot});
  }
  std::erase_if(lost_machine_kinds_, [&](auto& kind) {
    if (scale_out_requests_.has_pending(kind)) return false;
    input.replacements.push_back(kind);
    return true;
  });
}

void AutoscalerDriver::run(const std::vector<autoscaling::ResourceDemand>& unschedulable,
                           const std::stop_token& stop_token) {
  const double now = deps_.loop.now();
  scale_out_requests_.resume(stop_token);
  auto input = build_input(unschedulable);
  cost_account_.charge(input.machines, input.types, now);
  if (auto line = cost_account_.report(now, deps_.settings.lease_s)) spdlog::info("{}", *line);
  add_replacements(input);
  const auto plan = autoscaling::plan(input);
  for (auto& id : plan.scale_in) deps_.scale_in.request(id, "idle");
  for (auto& request : plan.scale_out) {
    const MachineKind& kind = request.kind;
    if (!scale_out_requests_.has_pending(kind))
      scale_out_requests_.scale_out(kind, request.count, stop_token);
  }
}

}  // namespace damsonport
