/// Repeats requests in the simulated network: copies of requests that were carried out and answered
/// reach their receivers once more, late.
#pragma once
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "simulation/world.hpp"

namespace damsonport::simulation {

/// Which requests are repeated, and when.
struct RepeatRule {
  /// Whether the requests to this host are repeated.
  std::function<bool(const std::string& host)> applies_to;
  double share = 1;  ///< probability that a request is repeated
  /// Bounds of the time from the response to the copy, in seconds; unset: the copies are kept until
  /// release_kept().
  struct Delay {
    double min_s = 0;
    double max_s = 0;
  };
  std::optional<Delay> delay;
  double until = 0;  ///< the requests that are answered before this time of the world
};

/// Observes the answers in a world and delivers the copies. Nobody gets the responses to copies.
/// Requests that only read are not repeated.
class RequestRepeater {
 public:
  /// The world must outlive the repeater's last copy, and the repeater the world's last answer.
  explicit RequestRepeater(World& world) : world_(world) {}
  void add(RepeatRule rule);
  /// Delivers the copies that rules without a delay have kept.
  void release_kept();

 private:
  void on_answered(const AnsweredRequest& request);

  World& world_;
  std::vector<RepeatRule> rules_;
  std::vector<AnsweredRequest> kept_;
};

}  // namespace damsonport::simulation
