/// Simulation of several regions in virtual time. Each region has its own key-value store, cloud,
/// machines and controllers. Checks the team's limit over all regions.
#pragma once
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "simulation/key_value_store.hpp"
#include "simulation/simulated_fleet.hpp"
#include "simulation/virtual_controller.hpp"
#include "storage/quota_record.hpp"

namespace damsonport::simulation {

/// Parameters of a simulated cluster of regions.
struct ClusterOptions {
  size_t regions = 2;
  size_t controllers = 2;            // in each region
  int machines = 4;                  // in each region, of 8 accelerators and 64 CPUs
  std::vector<uint64_t> share = {};  // by region; empty: equal shares
  TeamSettings team{"t", 0, 0, 0, 16};
  uint64_t seed = 1;
};

/// Owns the simulated world, the regions and their controllers.
class RegionCluster {
 public:
  explicit RegionCluster(ClusterOptions options);

  World& world() { return world_; }
  void run_until(double time) { world_.run_until(time); }
  void at(double time, std::function<void()> action) { world_.at(time, std::move(action)); }

  // Submits a job of the team to a region. `gpus`: accelerators of each task. A `run_s` of 0 makes
  // the job a service.
  void submit(size_t region, const std::string& job, uint32_t tasks, double gpus, double run_s,
              Priority priority = Priority::normal);
  // Requests the cancellation of a job in its region.
  void cancel(size_t region, const std::string& job);
  // Number of the job's tasks that run in any region.
  int running(const std::string& job) const;
  // Whether all tasks of the job are complete.
  bool done(const std::string& job) const;

  enum class Direction : uint8_t { both, from_first };
  // Cuts the network between the controllers of regions `a` and `b` for `for_s` seconds.
  void cut(size_t a, size_t b, Direction direction, World::Cut how, double for_s);
  // The controller that holds the region's shard lease, or the first one if none does.
  VirtualController& shard_leader(size_t region);
  std::vector<std::unique_ptr<VirtualController>>& controllers(size_t region) {
    return regions_[region].controllers;
  }
  KeyValueStore& state(size_t region) { return *regions_[region].state; }
  SimulatedFleet& fleet(size_t region) { return *regions_[region].fleet; }

  // Called for each change of a region's quota record.
  std::function<void(size_t region, const QuotaRecord& before, const QuotaRecord& after)>
      on_quota_change;
  // Delivers every message between regions a second time, after a random delay of up to `seconds`.
  void duplicate_messages_within(double seconds);
  // Delivers a forged message to all controllers of a region.
  void deliver(size_t region, const RegionMessage& message);
  std::string region_name(size_t region) const { return regions_[region].name; }

  // The region's quota record as last written; empty before the first write.
  QuotaRecord quota(size_t region) const;
  // The region's quota in accelerators.
  double quota_gpus(size_t region) const;
  // Accelerator quota units sent by one region and not yet received by another.
  uint64_t gpu_units_in_transit() const;
  // Accelerators used by tasks on the machines of one region, or of all regions.
  double used_gpus(size_t region) const;
  double used_gpus() const;
  double peak_used_gpus() const { return peak_used_gpus_; }
  // Violations of the protocol's rules in each region, and of the quota rules over all regions.
  std::vector<std::string> violations() const;

  // Sets the team's limit in the settings of all controllers; takes effect at each one's next
  // start.
  void set_limit(double gpus);
  // Sets the limit that use over all regions is checked against from now on.
  void check_limit(double gpus) { checked_limit_gpus_ = gpus; }
  const ClusterOptions& options() const { return options_; }

 private:
  struct RegionWorld {
    std::string name, zone;
    Settings settings;
    std::unique_ptr<KeyValueStore> state;
    std::unique_ptr<SimulatedFleet> fleet;
    std::vector<std::unique_ptr<VirtualController>> controllers;
  };
  void create_region(size_t index);
  RegionSettings region_settings(size_t own) const;
  void send_submission(size_t region, const std::string& job, size_t controller_index);
  void send_cancellation(size_t region, const std::string& job, size_t controller_index);
  void quota_changed(size_t region, const Json& value);
  void check_usage();
  void check_totals();

  ClusterOptions options_;
  World world_;
  double checked_limit_gpus_;
  VirtualNetwork::Streams streams_;
  std::vector<RegionWorld> regions_;
  std::map<size_t, QuotaRecord> quotas_;
  std::map<std::string, JobSpec> jobs_;
  std::vector<std::string> violations_;
  double peak_used_gpus_ = 0;
};

}  // namespace damsonport::simulation
