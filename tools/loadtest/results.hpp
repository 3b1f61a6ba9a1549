// What an experiment has measured, as JSON and as a table.
#pragma once
#include <map>
#include <ostream>
#include <string>
#include <vector>

#include "experiment_plan.hpp"
#include "storage/quota_record.hpp"

namespace damsonport::loadtest {

// Exact, from all values; 0 where there are none.
struct Quantiles {
  size_t count = 0;
  double p50 = 0, p90 = 0, p99 = 0, max = 0;
};
Quantiles quantiles(std::vector<float> values);

// Over the seconds after the warm-up.
struct RoleUsage {
  double seconds = 0;
  double cpu_s = 0;
  double peak_cpu = 0;  // of a core, in the busiest second
  double peak_mb = 0;
  void add_second(double cpu, double resident_mb);
  double mean_cpu() const { return seconds > 0 ? cpu_s / seconds : 0; }
};

struct ShardLeaderChange {
  size_t region = 0;
  std::string controller;
  double at_s = 0;
};

struct FaultRecord {
  std::string description;
  double at_s = 0;
  double without_shard_leader_s = -1;  // until another held; negative: no change was needed
  size_t region = 0;
  double outage_s = 0;  // of the state service
  // Nothing can be started in the region while it has no holder or no state service.
  bool blocks_starts(double from_s, double until_s) const;
};

struct Results {
  double measured_s = 0;
  std::map<std::string, RoleUsage> roles;  // all regions' processes of a role together
  std::vector<std::map<std::string, RoleUsage>> region_roles;
  double peak_memory_mb = 0;                     // of all processes together
  std::vector<double> starts_per_s;              // in each second, all regions
  std::vector<double> starts_per_s_with_warmup;  // the same from the beginning on
  std::vector<double> tasks;                     // on machines, in each second
  std::vector<ShardLeaderChange> shard_leader_changes;
  std::vector<FaultRecord> faults;
  std::vector<Json> region_reports, key_value_store_reports;  // final messages, by region
  uint64_t link_bytes = 0;
  int unexpected_exits = 0;
  std::vector<std::string> rule_violations;
};

enum class WaitFilter : uint8_t { all, excluding_outages };
// Seconds until tasks ran, by load; all, or without those that waited while nothing could start.
std::map<std::string, std::vector<float>> start_waits(const Results& results, WaitFilter filter);

Json results_json(const ExperimentPlan& plan, const Results& results);
void print_table(std::ostream& out, const ExperimentPlan& plan, const Results& results);

}  // namespace damsonport::loadtest
