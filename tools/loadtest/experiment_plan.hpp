/// The plan of an experiment, parsed from a TOML file. experiments/README.md describes the fields.
#pragma once
#include <string>
#include <vector>

#include "config/settings.hpp"
#include "protocol/messages.hpp"
#include "protocol/result.hpp"

namespace damsonport::loadtest {

/// Jobs of one kind that users submit at a constant mean rate. Times are in seconds since the start
/// of the run.
struct Load {
  std::string name;
  Priority priority = Priority::normal;
  bool service = false;
  uint32_t tasks = 1;       // mean of a job
  double tasks_spread = 0;  // largest deviation from `tasks`, as a share of it
  double cpus = 0, gpus = 0, memory_gb = 0;
  double image_gb = 1;
  double run_s = 0;       // of a task, varied by up to a quarter; 0 for services
  double jobs_per_s = 0;  // in each region
  double from_s = 0, until_s = 0;
  std::vector<size_t> regions;  // all if empty
  double cancelled_share = 0;   // of the jobs, by their users
  std::vector<size_t> teams;    // indexes; all if empty
};

/// "Holder" in plans is the shard leader of a region.
enum class FaultKind : uint8_t {
  kill_shard_leader,       // of a region; restarted after `for_s`
  kill_region,             // all controllers of a region
  pause_shard_leader,      // SIGSTOP, then SIGCONT after `for_s`
  cut_regions,             // no traffic between the controllers of two regions
  hang_zone,               // the workers of one zone stop responding for `for_s`
  key_value_store_outage,  // of a region
  cancel_jobs,             // `count` running services, by their users, within 1 s
  kill_machines            // loss of `count` random machines with parts of replicas
};

/// A fault to inject at `at_s` seconds after the start of the run.
struct Fault {
  FaultKind kind = FaultKind::kill_shard_leader;
  double at_s = 0, for_s = 5;
  size_t region = 0, other_region = 0, zone = 0;
  size_t count = 0;  // jobs or machines
};

/// A valid plan, in which all region indexes are in range and the resource limits are kept.
struct ExperimentPlan {
  std::string title;
  double seconds = 60;   // duration of the run with its warm-up
  double warmup_s = 20;  // measurements begin after it
  uint64_t seed = 1;
  // Limits on the tool together with all processes that it starts.
  double max_memory_mb = 0;
  int max_processes = 0;

  size_t regions = 1, zones = 1;
  std::vector<size_t> controllers;  // by region
  std::vector<int> workers;         // by region
  std::vector<double> polls_per_s;  // of random accepted jobs, by region
  double link_delay_s = 0.04;       // one way, between regions
  bool divide_limits = true;
  /// Whether clients send malformed and half-sent requests for the whole run.
  bool malformed_clients = false;

  /// The settings that all controllers share; addresses and names are added for each controller.
  Settings settings;
  std::vector<MachineType> machines;
  std::vector<double> machine_share;  // of the workers, by index in `machines`; any scale
  std::vector<Load> loads;
  std::vector<Fault> faults;
  /// By region: whether the controllers get the replicas file, which lists the classes of jobs
  /// whose replicas have several parts. Without the file, the states of the parts are only measured
  /// and not checked. The plan's field is `replicas.in_force`.
  std::vector<bool> replica_policies_enabled;

  /// All processes of a run, including the tool itself.
  int process_count() const;
  /// An upper estimate for all processes together.
  double estimated_memory_mb() const;
};

/// An error names the field that is wrong, or the line if the text isn't TOML.
Result<ExperimentPlan> parse_plan(const std::string& toml_text);
/// Reads the file and parses it.
Result<ExperimentPlan> load_plan(const std::string& path);

}  // namespace damsonport::loadtest
