#include "results.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <numeric>

#include "real_time_world.hpp"

namespace damsonport::loadtest {

namespace {

Json quantiles_json(const Quantiles& q) {
  return {{"count", q.count}, {"p50", q.p50}, {"p90", q.p90}, {"p99", q.p99}, {"max", q.max}};
}

Json roles_json(const std::map<std::string, RoleUsage>& roles) {
  Json out = Json::object();
  for (auto& [role, f] : roles)
    out[role] = {{"mean_cpu", f.mean_cpu()}, {"peak_cpu", f.peak_cpu}, {"peak_mb", f.peak_mb}};
  return out;
}

// Quantiles of the waits of one region, by load, from the region's final message.
Json waits_json(const Json& region) {
  Json out = Json::object();
  for (auto& [load, values] : region.at("waits").items()) {
    std::vector<float> seconds;
    for (auto& wait : values) seconds.push_back(wait.at(1).get<float>());
    out[load] = quantiles_json(quantiles(std::move(seconds)));
  }
  return out;
}

double mean(const std::vector<double>& values) {
  return values.empty() ? 0
                        : std::accumulate(values.begin(), values.end(), 0.0) /
                              static_cast<double>(values.size());
}
double max_or_zero(const std::vector<double>& values) {
  return values.empty() ? 0 : *std::max_element(values.begin(), values.end());
}

// The largest mean of `count` consecutive values; 0 if there are fewer values.
double max_window_mean(const std::vector<double>& values, size_t count) {
  double best = 0, sum = 0;
  for (size_t i = 0; i < values.size(); ++i) {
    sum += values[i];
    if (i >= count) sum -= values[i - count];
    if (i + 1 >= count) best = std::max(best, sum / static_cast<double>(count));
  }
  return best;
}

double sum_of_field(const std::vector<Json>& reports, const char* field) {
  double sum = 0;
  for (auto& final : reports) sum += final.value(field, 0.0);
  return sum;
}

// Bytes a second of one worker's heartbeats and commands, both directions, headers included.
double worker_bytes_per_s(const ExperimentPlan& plan, const Results& results) {
  double bytes = 0, workers = 0;
  for (auto& region : results.region_reports) {
    for (auto& [group, kind] : {std::pair{"asked", "hello"}, std::pair{"served", "commands"}}) {
      if (!region.at(group).contains(kind)) continue;
      auto& t = region.at(group).at(kind);
      bytes += t[0].get<double>() * static_cast<double>(header_bytes) + t[1].get<double>() +
               t[2].get<double>();
    }
    workers += region.value("workers", 0.0);
  }
  return workers > 0 ? bytes / workers / plan.seconds : 0;
}

// Checks the sums of each team's quota units over all regions: all units if no transfer is in
// flight, fewer if one is, and never more.
Json quotas_json(const Results& results) {
  std::map<std::string, std::pair<uint64_t, uint64_t>> quota_sums;
  uint64_t pairs_with_transfers = 0;
  for (auto& store : results.key_value_store_reports)
    for (auto& [team, value] : store.at("budgets").items()) {
      const auto record = decode_quota(value);
      quota_sums[team].first += record.available_units().cpus;
      quota_sums[team].second += record.available_units().gpus;
      for (auto& [region, sent] : record.sent)
        pairs_with_transfers += sent.cpus + sent.gpus > 0 ? 1 : 0;
    }
  uint64_t complete_teams = 0, teams_over_limit = 0;
  for (auto& [team, sum] : quota_sums) {
    complete_teams += (sum.first == 0 || sum.first == total_quota_units) &&
                      (sum.second == 0 || sum.second == total_quota_units);
    teams_over_limit += sum.first > total_quota_units || sum.second > total_quota_units;
  }
  return {{"teams", quota_sums.size()},
          {"teams_whole_at_the_end", complete_teams},
          {"teams_over_the_limit", teams_over_limit},
          {"pairs_of_regions_that_moved_some", pairs_with_transfers}};
}

}  // namespace

void RoleUsage::add_second(double cpu, double resident_mb) {
  cpu_s += cpu;
  seconds += 1;
  peak_cpu = std::max(peak_cpu, cpu);
  peak_mb = std::max(peak_mb, resident_mb);
}

bool FaultRecord::blocks_starts(double from_s, double until_s) const {
  const double duration_s = std::max(without_shard_leader_s, outage_s);
  return duration_s > 0 && from_s <= at_s + duration_s && until_s >= at_s;
}

std::map<std::string, std::vector<float>> start_waits(const Results& results, WaitFilter filter) {
  std::map<std::string, std::vector<float>> out;
  for (size_t region = 0; region < results.region_reports.size(); ++region)
    for (auto& [load, values] : results.region_reports[region].at("waits").items())
      for (auto& wait : values) {
        const double from = wait.at(0).get<double>(), seconds = wait.at(1).get<double>();
        const bool during_outage =
            std::any_of(results.faults.begin(), results.faults.end(), [&](const FaultRecord& f) {
              return f.region == region && f.blocks_starts(from, from + seconds);
            });
        if (filter == WaitFilter::all || !during_outage)
          out[load].push_back(static_cast<float>(seconds));
      }
  return out;
}

Quantiles quantiles(std::vector<float> values) {
  Quantiles out;
  out.count = values.size();
  if (values.empty()) return out;
  std::sort(values.begin(), values.end());
  auto at = [&](double share) {
    const auto rank = static_cast<size_t>(std::ceil(share * static_cast<double>(values.size())));
    return static_cast<double>(values[std::max<size_t>(rank, 1) - 1]);
  };
  out.p50 = at(0.5);
  out.p90 = at(0.9);
  out.p99 = at(0.99);
  out.max = values.back();
  return out;
}

namespace {
// Figures of replicas that lost a part, over the regions whose controllers have the replicas file,
// or over those whose controllers don't.
Json replicas_json(const ExperimentPlan& plan, const Results& results, bool enabled) {
  std::vector<float> whole, complete;
  double half_s = 0;
  size_t not_whole = 0;
  for (size_t r = 0; r < results.region_reports.size(); ++r) {
    if (!results.region_reports[r].contains("replicas") ||
        plan.replica_policies_enabled[r] != enabled)
      continue;
    auto& of_region = results.region_reports[r]["replicas"];
    for (auto& seconds : of_region["whole_again_s"]) whole.push_back(seconds.get<float>());
    for (auto& seconds : of_region["complete_again_s"]) complete.push_back(seconds.get<float>());
    half_s += of_region["half_s"].get<double>();
    not_whole += of_region["not_whole"].get<size_t>();
  }
  return {{"whole_again_s", quantiles_json(quantiles(whole))},
          {"complete_again_s", quantiles_json(quantiles(complete))},
          {"half_s", half_s},
          {"not_whole", not_whole}};
}
}  // namespace

Json results_json(const ExperimentPlan& plan, const Results& results) {
  Json out = {{"title", plan.title},
              {"seconds", plan.seconds},
              {"measured_s", results.measured_s},
              {"workers", plan.workers},
              {"controllers", plan.controllers},
              {"peak_memory_mb", results.peak_memory_mb},
              {"starts_per_s_mean", mean(results.starts_per_s)},
              {"starts_per_s_peak", max_or_zero(results.starts_per_s)},
              {"starts_per_s_best_10_s", max_window_mean(results.starts_per_s_with_warmup, 10)},
              {"tasks_mean", mean(results.tasks)},
              {"tasks_peak", max_or_zero(results.tasks)},
              {"worker_bytes_per_s", worker_bytes_per_s(plan, results)},
              {"link_bytes_per_s", static_cast<double>(results.link_bytes) / plan.seconds},
              {"ended_by_themselves", results.unexpected_exits},
              {"broken_rules", results.rule_violations},
              {"state_writes_per_s",
               sum_of_field(results.key_value_store_reports, "writes") / plan.seconds},
              {"sessions_lost", sum_of_field(results.region_reports, "sessions_lost")},
              {"budgets", quotas_json(results)}};
  out["roles"] = roles_json(results.roles);
  for (auto& [load, values] : start_waits(results, WaitFilter::all))
    out["waits"][load] = quantiles_json(quantiles(values));
  for (auto& [load, values] : start_waits(results, WaitFilter::excluding_outages))
    out["waits_outside_spells"][load] = quantiles_json(quantiles(values));
  std::vector<float> accepts;
  for (auto& region : results.region_reports)
    for (auto& value : region.at("accept_times")) accepts.push_back(value.get<float>());
  out["accept_s"] = quantiles_json(quantiles(std::move(accepts)));
  for (bool enabled : {true, false})
    out[enabled ? "replicas" : "replicas_not_in_force"] = replicas_json(plan, results, enabled);
  for (auto& c : results.shard_leader_changes)
    out["holder_changes"].push_back(
        {{"region", c.region}, {"node", c.controller}, {"at_s", c.at_s}});
  for (auto& f : results.faults)
    out["faults"].push_back({{"what", f.description},
                             {"at_s", f.at_s},
                             {"without_holder_s", f.without_shard_leader_s}});
  for (size_t r = 0; r < results.region_reports.size(); ++r) {
    Json region = results.region_reports[r];
    for (auto* key : {"waits", "accept_times", "broken_rules", "replicas"}) region.erase(key);
    Json store = results.key_value_store_reports[r];
    store.erase("budgets");
    out["regions"].push_back({{"site", std::move(region)},
                              {"state", std::move(store)},
                              {"roles", roles_json(results.region_roles[r])},
                              {"waits", waits_json(results.region_reports[r])}});
  }
  return out;
}

void print_table(std::ostream& out, const ExperimentPlan& plan, const Results& results) {
  const auto all = results_json(plan, results);
  out << "\n" << plan.title << "\n";
  auto print_row = [&](const std::string& label, const std::string& value) {
    out << fmt::format("  {:<44} {}\n", label, value);
  };
  print_row("workers, tasks on machines (mean, peak)",
            fmt::format("{:.0f}, {:.0f}, {:.0f}", sum_of_field(results.region_reports, "workers"),
                        all["tasks_mean"].get<double>(), all["tasks_peak"].get<double>()));
  print_row("starts a second (mean, peak)",
            fmt::format("{:.1f}, {:.0f}", all["starts_per_s_mean"].get<double>(),
                        all["starts_per_s_peak"].get<double>()));
  print_row("starts a second, best ten seconds of the whole run",
            fmt::format("{:.0f}", all["starts_per_s_best_10_s"].get<double>()));
  print_row("jobs submitted, accepted",
            fmt::format("{:.0f}, {:.0f}", sum_of_field(results.region_reports, "submitted"),
                        sum_of_field(results.region_reports, "accepted")));
  auto print_waits = [&](WaitFilter filter, const std::string& suffix) {
    for (auto& [load, values] : start_waits(results, filter)) {
      const auto q = quantiles(values);
      print_row(fmt::format("start of {}{} (p50, p99, max, count)", load, suffix),
                fmt::format("{:.2f} s, {:.2f} s, {:.2f} s, {}", q.p50, q.p99, q.max, q.count));
    }
  };
  print_waits(WaitFilter::all, "");
  if (!results.faults.empty())
    print_waits(WaitFilter::excluding_outages, " while holder and state service are there");
  for (auto& [role, f] : results.roles)
    print_row(role + ": cores (mean, peak), memory",
              fmt::format("{:.3f}, {:.2f}, {:.0f} MB", f.mean_cpu(), f.peak_cpu, f.peak_mb));
  print_row("worker's control traffic",
            fmt::format("{:.0f} bytes a second", all["worker_bytes_per_s"].get<double>()));
  print_row("state writes a second",
            fmt::format("{:.1f}", all["state_writes_per_s"].get<double>()));
  print_row("workers' leases lost",
            fmt::format("{:.0f}", sum_of_field(results.region_reports, "sessions_lost")));
  if (!plan.settings.replicas.classes.empty()) {
    print_row("replicas", all["replicas"].dump());
    print_row("replicas, controllers not told of them", all["replicas_not_in_force"].dump());
  }
  for (auto& f : results.faults)
    print_row(fmt::format("{} at {:.0f} s", f.description, f.at_s),
              f.without_shard_leader_s < 0
                  ? ""
                  : fmt::format("{:.1f} s without a holder", f.without_shard_leader_s));
  if (plan.regions > 1) print_row("budgets", all["budgets"].dump());
  print_row("memory of all processes, at the most",
            fmt::format("{:.0f} MB", results.peak_memory_mb));
  if (plan.malformed_clients) {
    print_row("malformed and half-sent requests", std::to_string(results.malformed_requests));
    print_row("health checks beside them", std::to_string(results.health_checks));
  }
  print_row("controllers that ended by themselves", std::to_string(results.unexpected_exits));
  print_row("rules broken", std::to_string(results.rule_violations.size()));
  for (size_t i = 0; i < std::min<size_t>(results.rule_violations.size(), 10); ++i)
    out << "    " << results.rule_violations[i] << "\n";
}

}  // namespace damsonport::loadtest
