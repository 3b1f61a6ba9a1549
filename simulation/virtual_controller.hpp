/// Runs a complete controller on virtual time. The controller can crash and restart.
#pragma once
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "coordination/controller.hpp"
#include "simulation/virtual_network.hpp"

namespace damsonport::simulation {

/// Owns the running controller with its event loop and network, and the remains of the controllers
/// that have crashed.
class VirtualController {
 public:
  VirtualController(World& world, VirtualNetwork::Streams& streams, Settings settings,
                    std::optional<RegionSettings> regions, double clock_rate);
  ~VirtualController();
  VirtualController(const VirtualController&) = delete;
  VirtualController& operator=(const VirtualController&) = delete;

  /// Starts a new controller process with the current settings.
  void start();
  /// Ends the process at once, so that none of its messages reaches the world any more, and starts
  /// a new one after `downtime_s` seconds.
  void crash(double downtime_s);
  bool running() const { return controller_ != nullptr; }
  /// Pauses the process while its clocks run on.
  void stall(double seconds) {
    if (loop_) loop_->stall(seconds);
  }

  /// The controller's claim about the state of a replica of several parts.
  struct ReplicaClaim {
    replicas::ReplicaStatus status;
    double age_s;  // age of the heartbeats behind the claim, by the controller's clock
  };
  /// Returns no claims while the process is down or paused.
  std::vector<ReplicaClaim> replica_claims();

  const std::string& name() const { return settings_.controller_name; }
  const std::string& host() const { return settings_.listen.host; }
  const std::string& zone() const { return settings_.zone; }
  /// Changes of the settings take effect at the next start.
  Settings& settings() { return settings_; }
  std::optional<RegionSettings>& regions() { return regions_; }

 private:
  // The settings that a process read at its start. They are kept because coroutines of ended
  // processes refer to them.
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
  // Coroutines of ended processes are asked to stop; the objects that they refer to are kept alive.
  std::vector<std::unique_ptr<VirtualLoop>> ended_loops_;
  std::vector<std::unique_ptr<VirtualNetwork>> ended_networks_;
  std::vector<std::unique_ptr<Controller>> ended_controllers_;
  std::unique_ptr<VirtualLoop> loop_;
  std::unique_ptr<VirtualNetwork> network_;
  std::unique_ptr<Controller> controller_;
};

}  // namespace damsonport::simulation
