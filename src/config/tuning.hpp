/// Tuning parameters, read from the operators' own file. Most times are relative to values of the
/// platform's settings, so that one file fits every deployment.
#pragma once
#include <string>

#include "protocol/result.hpp"

namespace damsonport {

/// The contents of the operators' file, whose path is that of the settings file with the extension
/// .sexp. The comment of each field quotes the name of its entry in the file; an omitted entry has
/// the default.
struct Tuning {
  // Straggler detection: a moving average of each machine's speed, as in Algorithm 1 of the paper.
  double straggler_alpha = 0.1;       ///< "straggler-alpha": weight of the newest observation
  double straggler_threshold = 0.8;   ///< "straggler-bar": slower machines are stragglers
  int straggler_check_interval = 10;  ///< "straggler-test-every": observations between checks
  int straggler_min_successes = 5;    ///< "straggler-min-successes": for a job's median

  double shard_lease_s = 30.0;  ///< "grant-s": duration of a shard lease, s

  /// "doubt-reports", "doubt-lease-share": a machine is suspected after this many heartbeat
  /// intervals without a heartbeat, or after this share of its lease if that is shorter. A
  /// suspected machine gets no new tasks, and no commands that the controller itself initiates.
  double suspect_after_heartbeats = 2.5;
  double suspect_lease_share = 0.33;

  /// "return-reports", "return-lease-share", "return-lease-most": a machine is declared dead and
  /// deleted after this many heartbeat intervals without a heartbeat, but no earlier than the first
  /// and no later than the second share of its lease. If intervals are long, waiting for many of
  /// them would gain nothing.
  double dead_after_heartbeats = 4.0;
  double dead_lease_share = 0.35;
  double dead_lease_max = 0.5;

  /// "cancel-return-share": a machine that still has a task of a cancelled job is deleted after
  /// this share of cancel_s.
  double cancel_return_share = 0.5;

  // Durations as shares of gang_wait_s.
  /// "gang-hold-after-share": a pending gang that has waited this long reserves free capacity
  /// against less urgent work.
  double gang_hold_after_share = 0.5;
  /// "gang-hold-for-share": maximum duration of such a reservation.
  double gang_hold_for_share = 4.0;
  /// "gang-replacement-share": how long the tasks of a gang that has not started wait for a missing
  /// task to be replaced.
  double gang_replacement_share = 0.5;

  double headroom_share = 0.25;  ///< "spare-share": headroom as a share of the usage
  /// "cheap-spare-share": headroom that costs more than this share of the fleet's price is kept
  /// only for expected arrivals.
  double cheap_headroom_share = 0.05;
  /// "arrival-spreads": the expected arrivals are the mean of the arrivals during the boot of a
  /// machine plus this many standard deviations.
  double arrival_std_deviations = 2;
  /// "idle-replacements": an idle machine is deleted after this many times the time that it takes
  /// to replace the machine by a new one.
  double idle_replacements = 1;
};

/// Parses an operators' file: (damsonport (straggler-bar 0.8) (grant-s 30) ...). The error lists
/// all entries that are unknown, malformed or out of range, each with its line.
Result<Tuning> parse_tuning(const std::string& text);

}  // namespace damsonport
