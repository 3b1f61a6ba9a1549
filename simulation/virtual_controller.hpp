/// A whole controller on virtual time, which can crash and be started again.
#pragma once
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "coordination/controller.hpp"
#include "simulation/virtual_network.hpp"

namespace damsonport::simulation {

/// Owns one controller at a time with its loop and network, and what is left of crashed ones.
class VirtualController {
 public:
  VirtualController(World& world, VirtualNetwork::Streams& streams, Settings settings,
                    std::optional<RegionSettings> regions, double clock_rate);
  ~VirtualController();
  VirtualController(const VirtualController&) = delete;
  VirtualController& operator=(const VirtualController&) = delete;

  void start();
  /// The process ends at once: nothing more of it reaches the world. It starts again after `for_s`.
  void crash(double for_s);
  bool running() const { return controller_ != nullptr; }
  /// The process stands still while its clocks run on.
  void stall(double seconds) {
    if (loop_) loop_->stall(seconds);
  }

  /// What the controller claims of a replica of several parts.
  struct ReplicaClaim {
    replicas::ReplicaStatus status;
    double age_s;  // of the heartbeats that the claim rests on, by the controller's clock
  };
  /// Empty while the process is down or stands still.
  std::vector<ReplicaClaim> replica_claims();

  const std::string& name() const { return settings_.controller_name; }
  const std::string& host() const { return settings_.listen.host; }
  const std::string& zone() const { return settings_.zone; }
  /// Changes are in force from the next start on.
  Settings& settings() { return settings_; }
  std::optional<RegionSettings>& regions() { return regions_; }

 private:
  // What a process read at its start, kept for as long as something of it may run.
  struct Process {
    Settings settings;
    std::optional<RegionSettings> regions;
  };
  World& world_;
  VirtualNetwork::Streams& streams_;
  Settings settings_;
  std::optional<RegionSettings> regions_;
  double clock_rate_;
  std::vector<std::unique_ptr<Process>> processes_;
  // Coroutines of ended processes are told to stop; the objects that they refer to stay alive.
  std::vector<std::unique_ptr<VirtualLoop>> ended_loops_;
  std::vector<std::unique_ptr<VirtualNetwork>> ended_networks_;
  std::vector<std::unique_ptr<Controller>> ended_controllers_;
  std::unique_ptr<VirtualLoop> loop_;
  std::unique_ptr<VirtualNetwork> network_;
  std::unique_ptr<Controller> controller_;
};

}  // namespace damsonport::simulation
