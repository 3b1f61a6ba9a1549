#include "simulation/virtual_controller.hpp"

namespace damsonport::simulation {

VirtualController::VirtualController(World& world, VirtualNetwork::Streams& streams,
                                     Settings settings, std::optional<RegionSettings> regions,
                                     double clock_rate)
    : world_(world),
      streams_(streams),
      settings_(std::move(settings)),
      regions_(std::move(regions)),
      clock_rate_(clock_rate) {}

VirtualController::~VirtualController() {
  if (network_) network_->end();
}

void VirtualController::start() {
  constexpr double max_wall_offset_s = 0.02;
  auto& process = *processes_.emplace_back(std::make_unique<Process>(Process{settings_, regions_}));
  loop_ = std::make_unique<VirtualLoop>(world_, name(),
                                        std::seed_seq{static_cast<unsigned>(world_.random64()),
                                                      static_cast<unsigned>(world_.random64())},
                                        clock_rate_,
                                        world_.uniform(-max_wall_offset_s, max_wall_offset_s));
  network_ = std::make_unique<VirtualNetwork>(*loop_, host(), streams_);
  controller_ = std::make_unique<Controller>(*loop_, *network_, process.settings,
                                             process.regions ? &*process.regions : nullptr);
  controller_->start();
}

std::vector<VirtualController::ReplicaClaim> VirtualController::replica_claims() {
  if (!controller_ || loop_->stalled()) return {};
  std::vector<ReplicaClaim> claims;
  for (auto& status : controller_->replica_statuses())
    claims.push_back({status, loop_->now() - status.readiness.as_of});
  return claims;
}

void VirtualController::crash(double downtime_s) {
  if (!controller_) return;
  network_->end();
  loop_->stop();
  ended_loops_.push_back(std::move(loop_));
  ended_networks_.push_back(std::move(network_));
  ended_controllers_.push_back(std::move(controller_));
  world_.in(downtime_s, [this] { start(); });
}

}  // namespace damsonport::simulation
