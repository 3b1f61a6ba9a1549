// Several regions on virtual time: each with its own state service, cloud, machines and
// controllers, and a checker of the teams' limits over all of them.
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

struct ClusterPlan {
  size_t regions = 2;
  size_t controllers = 2;            // in each region
  int machines = 4;                  // in each region, of 8 accelerators and 64 CPUs
  std::vector<uint64_t> share = {};  // by region; empty: alike
  TeamSettings team{"t", 0, 0, 0, 16};
  uint64_t seed = 1;
};

class RegionCluster {
 public:
  explicit RegionCluster(ClusterPlan plan);

  World& world() { return world_; }
  void run_until(double time) { world_.run_until(time); }
  void at(double time, std::function<void()> what) { world_.at(time, std::move(what)); }

  // A job of the team: `gpus` for each task. A run time of 0 makes it a service.
  void submit(size_t region, const std::string& job, uint32_t tasks, double gpus, double run_s,
              Priority priority = Priority::normal);
  void cancel(size_t region, const std::string& job);
  int running(const std::string& job) const;
  bool done(const std::string& job) const;

  enum class Direction : uint8_t { both, from_first };
  // Between the controllers of two regions.
  void cut(size_t a, size_t b, Direction direction, World::Cut how, double for_s);
  // The controller that holds the region's grant, or the first.
  VirtualController& shard_leader(size_t region);
  std::vector<std::unique_ptr<VirtualController>>& controllers(size_t region) {
    return regions_[region].controllers;
  }
  KeyValueStore& state(size_t region) { return *regions_[region].state; }
  SimulatedFleet& fleet(size_t region) { return *regions_[region].fleet; }

  // Called for each change of a budget's record.
  std::function<void(size_t region, const QuotaRecord& before, const QuotaRecord& after)>
      on_quota_change;
  // Every message between regions arrives once more after a while, drawn up to `seconds`.
  void duplicate_messages_within(double seconds);
  // Somebody on the link says this to a region's controllers.
  void deliver(size_t region, const RegionMessage& message);
  std::string region_name(size_t region) const { return regions_[region].name; }

  QuotaRecord quota(size_t region) const;
  double quota_gpus(size_t region) const;
  // Parts that were sent and not received yet.
  uint64_t gpu_units_in_transit() const;
  // In use by tasks on machines; of all regions without an argument.
  double used_gpus(size_t region) const;
  double used_gpus() const;
  double peak_used_gpus() const { return peak_used_gpus_; }
  // Broken rules: of the protocol in each region, and of the budgets over all.
  std::vector<std::string> violations() const;

  // The limit of the team in all settings, in force at each controller's next start.
  void set_limit(double gpus);
  // What is checked for all regions together from now on.
  void check_limit(double gpus) { checked_limit_gpus_ = gpus; }
  const ClusterPlan& plan() const { return plan_; }

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
  void send_submission(size_t region, const std::string& job, size_t node);
  void send_cancellation(size_t region, const std::string& job, size_t node);
  void quota_changed(size_t region, const Json& value);
  void check_usage();
  void check_totals();

  ClusterPlan plan_;
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
