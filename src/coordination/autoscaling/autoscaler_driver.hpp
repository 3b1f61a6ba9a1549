/// Runs the autoscaler: builds its input from the records and the machines, and executes its plan
/// through ScaleOutRequests and ScaleIn.
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

/// Connects the autoscaler with the shard leader, which owns the driver. The driver reads the
/// leader's machines and changes only `Machine::replacement_requested` in them. The leader's
/// maintenance coroutine calls run(), and only while this controller is also the cluster leader.
class AutoscalerDriver {
 public:
  /// Dependencies of the driver. The referenced objects must outlive it.
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
    uint64_t incarnation;  ///< of this controller process; part of the request ids
    /// Whether the scheduler may place tasks on the machine now.
    std::function<bool(const Machine&)> is_schedulable;
  };
  explicit AutoscalerDriver(Dependencies dependencies);
  // Not copyable, because a callback of scale_out_requests_ refers to this object.
  AutoscalerDriver(const AutoscalerDriver&) = delete;
  AutoscalerDriver& operator=(const AutoscalerDriver&) = delete;

  /// Starts a lease with this fencing token: drops the state of an earlier lease.
  void begin_lease(uint64_t fencing_token);
  /// Ends the lease: scale-out requests in progress end without effect.
  void end_lease();

  /// Makes one scaling plan and executes it. `unschedulable`: the demand that the last scheduling
  /// cycle could not place.
  void run(const std::vector<autoscaling::ResourceDemand>& unschedulable,
           const std::stop_token& stop_token);

  /// Records a machine that the cloud's machine list names as booting (state "starting"). Requests
  /// its return if it has been booting for too long.
  void note_booting(const ListedMachine& listed);
  /// Handles a heartbeat of the machine, which shows that the machine is up.
  void note_heartbeat(const std::string& machine) { booting_.remove(machine); }
  /// Handles the confirmed return of the machine to the cloud. `machine`: null if the shard leader
  /// doesn't have it. `declared_dead`: whether the machine is to be replaced because it was
  /// declared dead.
  void note_returned(const std::string& id, const Machine* machine, bool declared_dead);

  /// Whether the cloud has refused machines of this kind recently.
  [[nodiscard]] bool is_refused(const MachineKind& kind) const {
    return scale_out_requests_.is_refused(kind);
  }
  /// Calls `visit` for each booting machine that is not late, has sent no heartbeat yet and is not
  /// to be returned.
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
  // The kinds of machines that were declared dead and returned and that are still to be replaced.
  std::vector<MachineKind> lost_machine_kinds_;
};

}  // namespace damsonport
