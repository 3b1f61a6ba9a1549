// The plan of an experiment, as its file says. See experiments/README.md for the fields.
#pragma once
#include <string>
#include <vector>

#include "config/settings.hpp"
#include "protocol/messages.hpp"
#include "protocol/result.hpp"

namespace damsonport::loadtest {

// Jobs of one kind that come to some regions at a steady rate.
struct Load {
  std::string name;
  Priority priority = Priority::normal;
  bool service = false;
  uint32_t tasks = 1;       // of a job on average
  double tasks_spread = 0;  // a job's number lies within this share of it
  double cpus = 0, gpus = 0, memory_gb = 0;
  double image_gb = 1;
  double run_s = 0;       // of a task, give or take a quarter; 0 for services
  double jobs_per_s = 0;  // in each region
  double from_s = 0, until_s = 0;
  std::vector<size_t> regions;  // empty: all
  double cancelled_share = 0;   // jobs that their users cancel
  std::vector<size_t> teams;    // positions; empty: all
};

enum class FaultKind : uint8_t {
  kill_shard_leader,       // of a region; started again after `for_s`
  kill_region,             // all its controllers
  pause_shard_leader,      // stopped by a signal, and continued
  cut_regions,             // nothing passes between two regions' controllers
  hang_zone,               // the workers of one zone stand still
  key_value_store_outage,  // of a region's state service
  cancel_jobs,             // users call off so many running services within a second
  kill_machines            // so many, drawn from those with parts of replicas, are lost
};

struct Fault {
  FaultKind kind = FaultKind::kill_shard_leader;
  double at_s = 0, for_s = 5;
  size_t region = 0, other_region = 0, zone = 0;
  size_t count = 0;  // jobs
};

struct ExperimentPlan {
  std::string title;
  double seconds = 60;
  double warmup_s = 20;  // figures are taken after it
  uint64_t seed = 1;
  // Bounds on the tool and all that it starts.
  double max_memory_mb = 0;
  int max_processes = 0;

  size_t regions = 1, zones = 1;
  std::vector<size_t> controllers;  // by region
  std::vector<int> workers;         // by region
  std::vector<double> polls_per_s;  // of jobs drawn at random, by region
  double link_delay_s = 0.04;       // one way, between regions
  bool divide_limits = true;

  // What all controllers are told; addresses and names are filled in for each.
  Settings settings;
  std::vector<MachineType> machines;
  std::vector<double> machine_share;  // of the workers, by type
  std::vector<Load> loads;
  std::vector<Fault> faults;
  // By region: whether the controllers are told of the classes whose replicas have several parts.
  // Where they aren't, what becomes of the parts is only measured.
  std::vector<bool> replica_policies_enabled;

  int process_count() const;
  // A generous estimate, from the sizes measured.
  double estimated_memory_mb() const;
};

// Errors name the field.
Result<ExperimentPlan> parse_plan(const std::string& toml_text);
Result<ExperimentPlan> load_plan(const std::string& path);

}  // namespace damsonport::loadtest
