/// The measurements of an experiment, and their output as JSON and as a table. Output says "holder"
/// for the shard leader, "state service" for the key-value store and "budgets" for quotas.
#pragma once
#include <map>
#include <ostream>
#include <string>
#include <vector>

#include "experiment_plan.hpp"
#include "storage/quota_record.hpp"

namespace damsonport::loadtest {

/// Exact quantiles, calculated from all values. All are 0 if there are no values.
struct Quantiles {
  size_t count = 0;
  double p50 = 0, p90 = 0, p99 = 0, max = 0;
};
Quantiles quantiles(std::vector<float> values);

/// Processor time and memory of the processes of one role, after the warm-up. Each second of each
/// process is a sample.
struct RoleUsage {
  double seconds = 0;
  double cpu_s = 0;
  double peak_cpu = 0;  // cores, in the busiest second
  double peak_mb = 0;
  /// `cpu`: cores used on average in the second.
  void add_second(double cpu, double resident_mb);
  /// Cores.
  double mean_cpu() const { return seconds > 0 ? cpu_s / seconds : 0; }
};

/// A controller became shard leader, `at_s` seconds after the start of the run.
struct ShardLeaderChange {
  size_t region = 0;
  std::string controller;
  double at_s = 0;
};

/// An injected fault. Times are in seconds since the start of the run.
struct FaultRecord {
  std::string description;
  double at_s = 0;
  double without_shard_leader_s = -1;  // until the next shard leader; negative if none followed
  size_t region = 0;
  double outage_s = 0;  // of the key-value store
  /// Whether the time between `from_s` and `until_s` overlaps with a time in which the region had
  /// no shard leader or no key-value store, so that no task could start.
  bool blocks_starts(double from_s, double until_s) const;
};

/// All measurements of a run. Those per second are after the warm-up, unless said otherwise.
struct Results {
  double measured_s = 0;                                       // after the warm-up
  std::map<std::string, RoleUsage> roles;                      // by role, over all regions
  std::vector<std::map<std::string, RoleUsage>> region_roles;  // by region, then by role
  double peak_memory_mb = 0;                                   // sum over all processes
  std::vector<double> starts_per_s;                            // one for each second, all regions
  std::vector<double> starts_per_s_with_warmup;                // from the start of the run
  std::vector<double> tasks;                                   // on machines, one for each second
  std::vector<ShardLeaderChange> shard_leader_changes;
  std::vector<FaultRecord> faults;
  std::vector<Json> region_reports, key_value_store_reports;  // final messages
  uint64_t link_bytes = 0;                                    // between regions
  int unexpected_exits = 0;                                   // of controllers
  uint64_t malformed_requests = 0;  // sent by the clients that the plan asks for
  uint64_t health_checks = 0;       // of these clients
  std::vector<std::string> rule_violations;
};

/// Which waits to include: all, or only those during which tasks could start all the time.
enum class WaitFilter : uint8_t { all, excluding_outages };
/// Seconds from the submission of a job until each of its tasks was on a machine, by load, over all
/// regions.
std::map<std::string, std::vector<float>> start_waits(const Results& results, WaitFilter filter);

/// The content of the results file.
Json results_json(const ExperimentPlan& plan, const Results& results);
/// Prints the main figures for a reader.
void print_table(std::ostream& out, const ExperimentPlan& plan, const Results& results);

}  // namespace damsonport::loadtest
