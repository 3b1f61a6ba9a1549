/// Runs the autoscaler: gathers its input from the records and the machines, and carries its plan
/// out through ScaleOutRequests and ScaleIn.
#pragma once
#include <functional>
#include <map>
#include <stop_token>
#include <string>
#include <vector>

#include "config/settings.hpp"
#include "coordination/autoscaling/autoscaler.hpp"
#include "coordination/autoscaling/booting_machines.hpp"
#include "coordination/autoscaling/cost_account.hpp"
#include "coordination/autoscaling/machine_type_catalog.hpp"
#include "coordination/autoscaling/scale_in.hpp"
#include "coordination/autoscaling/scale_out_requests.hpp"
#include "coordination/machines/failure_detector.hpp"
#include "coordination/machines/fault_attribution.hpp"
#include "coordination/machines/machine.hpp"
#include "coordination/quotas/team_quotas.hpp"
#include "storage/record_cache.hpp"

namespace damsonport {

/// Owned by the shard leader, whose machines it reads; of them it changes only
/// `Machine::replacement_requested`. run() is called by the maintenance coroutine, and only while
/// this controller is the cluster leader too.
class AutoscalerDriver {
 public:
  struct Dependencies {
    Loop& loop;
    const Settings& settings;
    RecordCache& cache;
    KeyValueClient& store;
    HttpClient& http;
    const MachineTypeCatalog& catalog;
    const quotas::TeamQuotas& quotas;
    std::map<std::string, Machine>& machines;
    const FaultAttribution& faults;
    const FailureDetector& failure_detector;
    ScaleIn& scale_in;
    uint64_t incarnation;
    /// Whether the scheduler may place tasks on the machine now.
    std::function<bool(const Machine&)> is_schedulable;
  };
  explicit AutoscalerDriver(Dependencies dependencies);
  // Hands callbacks on itself out.
  AutoscalerDriver(const AutoscalerDriver&) = delete;
  AutoscalerDriver& operator=(const AutoscalerDriver&) = delete;

  /// A lease with this fencing token begins: what is known of an earlier one is forgotten.
  void begin_lease(uint64_t fencing_token);
  /// The lease is over: requests under way end without effect.
  void end_lease();

  /// Scales out and in once. `unschedulable`: the demand that the last scheduling cycle could not
  /// place.
  void run(const std::vector<autoscaling::ResourceDemand>& unschedulable,
           const std::stop_token& stop_token);

  /// The machine list names a machine that is starting.
  void note_booting(const ListedMachine& listed);
  /// A heartbeat of the machine was taken: it is up.
  void note_heartbeat(const std::string& machine) { booting_.remove(machine); }
  /// The cloud has taken the machine back. `declared_dead`: its capacity is to be replaced.
  void note_returned(const std::string& id, const Machine* machine, bool declared_dead);

  /// The cloud has refused machines of this kind lately.
  [[nodiscard]] bool is_refused(const MachineKind& kind) const {
    return scale_out_requests_.is_refused(kind);
  }
  /// Calls `visit` for each machine that is booting and expected in time.
  void for_each_expected_machine(const std::function<void(const std::string&, const BootingMachine&,
                                                          const MachineType&)>& visit) const;

 private:
  autoscaling::AutoscalerInput build_input(
      const std::vector<autoscaling::ResourceDemand>& unschedulable) const;
  void add_expected_arrivals(autoscaling::AutoscalerInput& input) const;
  void add_work(autoscaling::AutoscalerInput& input) const;
  void add_offers(autoscaling::AutoscalerInput& input) const;
  void add_machines(autoscaling::AutoscalerInput& input) const;
  void add_booting(autoscaling::AutoscalerInput& input) const;
  void add_replacements(autoscaling::AutoscalerInput& input);
  autoscaling::MachineState machine_state(const Machine& machine) const;
  uint64_t max_team_tasks(const JobSpec& spec) const;

  Dependencies deps_;
  ScaleOutRequests scale_out_requests_;
  CostAccount cost_account_;
  BootingMachines booting_;
  // Kinds of machines that were declared dead and returned, to be replaced.
  std::vector<MachineKind> lost_machine_kinds_;
};

}  // namespace damsonport
