// Operators' own knobs. Times are ratios to figures of the platform's settings, so that one file
// fits every deployment.
#pragma once
#include <string>

#include "protocol/result.hpp"

namespace damsonport {

struct Tuning {
  // Straggler average, after the paper's Algorithm 1.
  double straggler_alpha = 0.1;
  double straggler_bar = 0.8;
  int straggler_test_every = 10;
  int straggler_min_successes = 5;
  // Seconds that a block is granted for.
  double shard_lease_s = 30.0;
  // No new tasks and no orders of their own to a machine silent for so many report periods, or for
  // this share of its lease if that is shorter.
  double suspect_after_heartbeats = 2.5;
  double suspect_lease_share = 0.33;
  // A silent machine is returned after so many report periods, but within these shares of its
  // lease: with rare reports waiting for many would leave nothing to be gained.
  double dead_after_heartbeats = 4.0;
  double dead_lease_share = 0.35;
  double dead_lease_max = 0.5;
  // Share of cancel_s after which a machine that still holds a cancelled task is returned.
  double cancel_return_share = 0.5;
  // Shares of gang_wait_s: after which a waiting gang keeps free room from less urgent work, how
  // long it may do so, and how long the tasks of a gang that has not started wait for a missing one
  // to be replaced.
  double gang_hold_after_share = 0.5;
  double gang_hold_for_share = 4.0;
  double gang_replacement_share = 0.5;
  // Spare room to keep rented, as a share of what is in use.
  double headroom_share = 0.25;
  // Spare room that costs more than this share of the fleet's price is kept only as far as arrivals
  // are expected: their mean during a boot, and so many standard deviations.
  double cheap_headroom_share = 0.05;
  double arrival_spreads = 2;
  // An idle machine is given back after so many times what another one would take to replace it.
  double idle_replacements = 1;
};

// (damsonport (straggler-bar 0.8) (grant-s 30) ...); unknown or bad entries are errors that name
// the line.
Result<Tuning> parse_tuning(const std::string& text);

}  // namespace damsonport
