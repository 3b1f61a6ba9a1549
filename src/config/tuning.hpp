/// The operators' own settings. Times are ratios to figures of the platform's settings, so that one
/// file fits every deployment.
#pragma once
#include <string>

#include "protocol/result.hpp"

namespace damsonport {

/// The values of the file beside the settings file, each with the name of its entry in quotes; an
/// entry that is left out has the default.
struct Tuning {
  // Stragglers: moving average of each machine's speed, after Algorithm 1 of the paper.
  double straggler_alpha = 0.1;       ///< "straggler-alpha": weight of the newest observation
  double straggler_threshold = 0.8;   ///< "straggler-bar": slower than this share: a straggler
  int straggler_check_interval = 10;  ///< "straggler-test-every"
  int straggler_min_successes = 5;    ///< "straggler-min-successes"

  double shard_lease_s = 30.0;  ///< "grant-s": duration of a shard lease, s

  /// "doubt-reports", "doubt-lease-share": a machine is suspected (no new tasks, and no commands of
  /// the controller's own) after so many missed heartbeat intervals, or after this share of its
  /// lease if that is shorter.
  double suspect_after_heartbeats = 2.5;
  double suspect_lease_share = 0.33;

  /// "return-reports", "return-lease-share", "return-lease-most": a machine is declared dead, and
  /// deleted, after so many missed heartbeat intervals, but within these shares of its lease: with
  /// long intervals waiting for many of them would gain nothing.
  double dead_after_heartbeats = 4.0;
  double dead_lease_share = 0.35;
  double dead_lease_max = 0.5;

  /// "cancel-return-share": a machine that still has a cancelled task is deleted after this share
  /// of cancel_s.
  double cancel_return_share = 0.5;

  // Shares of gang_wait_s.
  double gang_hold_after_share = 0.5;   ///< "gang-hold-after-share": a pending gang reserves free
                                        ///< capacity against less urgent work after this
  double gang_hold_for_share = 4.0;     ///< "gang-hold-for-share": for this long at the most
  double gang_replacement_share = 0.5;  ///< "gang-replacement-share": how long the tasks of a gang
                                        ///< that has not started wait for one to be replaced

  double headroom_share = 0.25;  ///< "spare-share": headroom to keep, as a share of the usage
  /// "cheap-spare-share": headroom that costs more than this share of the fleet's price is kept
  /// only as far as arrivals are expected.
  double cheap_headroom_share = 0.05;
  /// "arrival-spreads": expected are the mean of the arrivals during a boot and so many standard
  /// deviations.
  double arrival_std_deviations = 2;
  /// "idle-replacements": an idle machine is deleted after so many times what another one would
  /// take to replace it.
  double idle_replacements = 1;
};

/// Parses (damsonport (straggler-bar 0.8) (grant-s 30) ...). The error has all problems, each with
/// its line: entries that are unknown, malformed or out of range.
Result<Tuning> parse_tuning(const std::string& text);

}  // namespace damsonport
