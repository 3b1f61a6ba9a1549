#include "scenarios/scenario_checks.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <map>

namespace damsonport::simulation {

namespace {
constexpr double max_response_age_s = 75;
}

ScenarioChecks::Handler ScenarioChecks::handler_of(const std::string& verb) {
  static const std::map<std::string, Handler> handlers = {
      {"accepted", &ScenarioChecks::check_accepted},
      {"gang_starts", &ScenarioChecks::check_gang_starts},
      {"gone", &ScenarioChecks::check_gone},
      {"kept", &ScenarioChecks::check_progress_kept},
      {"late_starts", &ScenarioChecks::check_late_starts},
      {"recorded", &ScenarioChecks::check_recorded},
      {"refused_for_size", &ScenarioChecks::check_refused_for_size},
      {"rented", &ScenarioChecks::check_machines_rented},
      {"replicas_ready", &ScenarioChecks::check_replicas_ready},
      {"replicas_repaired", &ScenarioChecks::check_replicas_repaired},
      {"replicas_whole", &ScenarioChecks::check_replicas_whole},
      {"reports", &ScenarioChecks::check_reports},
      {"returned", &ScenarioChecks::check_machines_returned},
      {"running", &ScenarioChecks::check_running},
      {"served", &ScenarioChecks::check_served},
      {"sessions", &ScenarioChecks::check_sessions},
      {"shown", &ScenarioChecks::check_shown},
      {"starts", &ScenarioChecks::check_starts},
      {"told", &ScenarioChecks::check_told},
      {"unaccepted", &ScenarioChecks::check_unaccepted},
      {"unused", &ScenarioChecks::check_unused},
      {"writes", &ScenarioChecks::check_writes},
  };
  auto it = handlers.find(verb);
  return it == handlers.end() ? nullptr : it->second;
}

void ScenarioChecks::check(const ScenarioEvent& event) {
  mismatches_.clear();
  if (const Handler handler = handler_of(event.verb)) {
    (this->*handler)(event);
  } else {
    add_mismatch(event, "is an unknown expectation");
  }
  if (!mismatches_.empty()) add_failure("at " + std::to_string(world_.now()) + " " + mismatches_);
}

// returned N, or returned FROM..TO: the number of machines returned so far
void ScenarioChecks::check_machines_returned(const ScenarioEvent& event) {
  const int returned = deployment_.fleet().cloud().returned();
  if (!parse_count_range(event.target).contains(returned))
    add_mismatch(event, event.target + " expected, but " + std::to_string(returned) +
                            " machines were returned");
}

// rented N, or rented FROM..TO: the number of machines rented so far
void ScenarioChecks::check_machines_rented(const ScenarioEvent& event) {
  const int rented = deployment_.fleet().cloud().rented();
  if (!parse_count_range(event.target).contains(rented))
    add_mismatch(
        event, event.target + " expected, but " + std::to_string(rented) + " machines were rented");
}

// sessions N [of=MACHINES]: the agent epoch of each worker
void ScenarioChecks::check_sessions(const ScenarioEvent& event) {
  for (auto* worker : deployment_.select_machines(event.options.text("of", "machines"))) {
    const auto epoch = std::to_string(worker->agent_epoch());
    if (epoch != event.target)
      add_mismatch(event,
                   event.target + " expected, but " + worker->id + " is in agent epoch " + epoch);
  }
}

// recorded MACHINES: the records place each task that is on the machines there
void ScenarioChecks::check_recorded(const ScenarioEvent& event) {
  for (auto* worker : deployment_.select_machines(event.target))
    for (auto& [attempt, running] : worker->tasks())
      if (occupies_machine(running.report) && !deployment_.is_recorded(attempt, worker->id))
        add_mismatch(event, attempt.task.text() + " on " + worker->id + " is not");
}

// unused MACHINES most=N: bounds the number of machines without a task
void ScenarioChecks::check_unused(const ScenarioEvent& event) {
  const auto machines = deployment_.select_machines(event.target);
  const auto unused = std::count_if(machines.begin(), machines.end(),
                                    [](const Worker* worker) { return worker->tasks().empty(); });
  if (unused > event.options.integer("most"))
    add_mismatch(event, event.target + ": " + std::to_string(unused) + " machines");
}

// reports MACHINES most=BYTES: bounds the size of each worker's largest heartbeat
void ScenarioChecks::check_reports(const ScenarioEvent& event) {
  for (auto* worker : deployment_.select_machines(event.target)) {
    const size_t bytes = worker->largest_report_bytes();
    if (bytes > static_cast<size_t>(event.options.integer("most")))
      add_mismatch(event, "of " + worker->id + ": " + std::to_string(bytes) + " bytes");
  }
}

// writes JOBS most=N: bounds the writes to all records of a job
void ScenarioChecks::check_writes(const ScenarioEvent& event) {
  for (auto& job : expand_names(event.target)) {
    const int writes = deployment_.record_writes(job);
    if (writes == 0 || writes > event.options.integer("most"))
      add_mismatch(event, "to records of " + job + ": " + std::to_string(writes));
  }
}

// refused_for_size N: the number of requests to the key-value store
void ScenarioChecks::check_refused_for_size(const ScenarioEvent& event) {
  const auto refused = std::to_string(deployment_.store().refused_for_size());
  if (refused != event.target)
    add_mismatch(event, event.target + " expected, but " + refused + " requests were refused");
}

// served: every accepted job that wasn't cancelled is done or runs, and users get responses about
// it
void ScenarioChecks::check_served(const ScenarioEvent& event) {
  for (auto& job : deployment_.fleet().rules().jobs_to_serve())
    check_served_job(event, plan_.jobs.at(job));
}

void ScenarioChecks::check_served_job(const ScenarioEvent& event, const JobSpec& spec) {
  RuleChecker& rules = deployment_.fleet().rules();
  if (spec.kind != JobKind::service) {
    // Users don't poll every job up to its end, so the check counts completed tasks and not the
    // status in responses.
    for (uint32_t i = 0; i < spec.tasks; ++i)
      if (!rules.is_done({spec.id, i}))
        add_mismatch(event, spec.id + "/" + std::to_string(i) + " is not done");
    return;
  }
  const int running = deployment_.count_tasks(spec.id).running;
  if (running != static_cast<int>(spec.tasks))
    add_mismatch(event, "of " + spec.id + " " + std::to_string(running) + " of " +
                            std::to_string(spec.tasks) + " replicas run");
  const auto responded_at = rules.last_response_at(spec.id);
  if (!responded_at || world_.now() - *responded_at > max_response_age_s)
    add_mismatch(event, "without a recent response to users about " + spec.id);
}

// running JOBS [tasks=N]: the number of running tasks of each job
void ScenarioChecks::check_running(const ScenarioEvent& event) {
  for (auto& job : expand_names(event.target)) {
    const int running = deployment_.count_tasks(job).running;
    if (running != event.options.integer("tasks", 1))
      add_mismatch(event, job + ", but " + std::to_string(running) + " tasks run");
  }
}

// gone JOBS: none of the jobs' tasks is on a machine
void ScenarioChecks::check_gone(const ScenarioEvent& event) {
  for (auto& job : expand_names(event.target))
    if (const int present = deployment_.count_tasks(job).present; present > 0)
      add_mismatch(event, job + ", but " + std::to_string(present) + " tasks are on machines");
}

// told JOBS done|aborted: the final status in the responses to users
void ScenarioChecks::check_told(const ScenarioEvent& event) {
  const std::string& status = event.options.first_name();
  for (auto& job : expand_names(event.target))
    if (!deployment_.fleet().rules().ended_as(job, status))
      add_mismatch(event, fmt::format("{} {} expected, but the final status differs", job, status));
}

// accepted JOBS: users got the confirmation of the submission
void ScenarioChecks::check_accepted(const ScenarioEvent& event) {
  for (auto& job : expand_names(event.target))
    if (!deployment_.fleet().rules().is_accepted(job))
      add_mismatch(event, job + " expected, but it was not accepted");
}

// unaccepted JOBS: users got no confirmation of the submission
void ScenarioChecks::check_unaccepted(const ScenarioEvent& event) {
  for (auto& job : expand_names(event.target))
    if (deployment_.fleet().rules().is_accepted(job))
      add_mismatch(event, job + " expected, but it was accepted");
}

// shown JOB status=S running=N: the shard leader's response to a user now
void ScenarioChecks::check_shown(const ScenarioEvent& event) {
  for (auto* leader : deployment_.select_controllers("leader"))
    users_.request_status(
        event.target, deployment_.index_of(*leader), [this, event](const Json& response) {
          const bool as_expected = response.is_object() &&
                                   response.value("status", "") == event.options.text("status") &&
                                   response.value("running", 0) == event.options.integer("running");
          if (!as_expected)
            add_failure(fmt::format("{} is shown as {}", event.target, response.dump()));
        });
}

// starts JOBS most=N: bounds the task starts that fetched their image, including those that failed
void ScenarioChecks::check_starts(const ScenarioEvent& event) {
  for (auto& job : expand_names(event.target)) {
    const int starts = deployment_.fleet().starts(job);
    if (starts > event.options.integer("most"))
      add_mismatch(event, job + ", but it was started " + std::to_string(starts) + " times");
  }
}

// late_starts N: the number of task starts after the confirmed cancellation of their job
void ScenarioChecks::check_late_starts(const ScenarioEvent& event) {
  const auto starts = std::to_string(deployment_.fleet().rules().starts_after_cancellation());
  if (starts != event.target) add_mismatch(event, event.target + " expected, but " + starts);
}

// gang_starts JOBS [times=N]: the number of attempts that started to run
void ScenarioChecks::check_gang_starts(const ScenarioEvent& event) {
  for (auto& job : expand_names(event.target)) {
    const int starts = deployment_.fleet().gangs().starts(job);
    if (starts != event.options.integer("times", 1))
      add_mismatch(event, job + ", but it started " + std::to_string(starts) + " times");
  }
}

// kept JOBS: the gangs have lost no progress
void ScenarioChecks::check_progress_kept(const ScenarioEvent& event) {
  for (auto& job : expand_names(event.target)) {
    const double lost_s = deployment_.fleet().gangs().lost_progress_s(job);
    if (lost_s > 0) add_mismatch(event, job + ", but it lost " + std::to_string(lost_s) + " s");
  }
}

uint32_t ScenarioChecks::replicas_claimed_ready(const std::string& job) const {
  uint32_t count = 0;
  for (auto& controller : deployment_.controllers())
    for (auto& claim : controller->replica_claims())
      if (claim.status.job == job && claim.status.readiness.ready) ++count;
  return count;
}

// replicas_ready JOBS [count=N]: the replicas that the shard leader claims to be ready
void ScenarioChecks::check_replicas_ready(const ScenarioEvent& event) {
  for (auto& job : expand_names(event.target))
    check_replica_count(event, job, replicas_claimed_ready(job));
}

// replicas_whole JOBS [count=N], or total=N of all the jobs: the replicas with all parts running
void ScenarioChecks::check_replicas_whole(const ScenarioEvent& event) {
  const bool only_total = event.options.contains("total");
  uint32_t total = 0;
  for (auto& job : expand_names(event.target)) {
    const uint32_t whole = deployment_.fleet().rules().replicas().whole(plan_.jobs.at(job));
    total += whole;
    if (!only_total) check_replica_count(event, job, whole);
  }
  if (only_total && total != static_cast<uint32_t>(event.options.number("total")))
    mismatches_ += fmt::format("{} of {}: {} in total; ", event.verb, event.target, total);
}

void ScenarioChecks::check_replica_count(const ScenarioEvent& event, const std::string& job,
                                         uint32_t count) {
  if (count != static_cast<uint32_t>(event.options.number("count", 1)))
    mismatches_ += fmt::format("{} of {}: {}; ", event.verb, job, count);
}

// replicas_repaired JOBS within=S [count=FROM..TO]: the number of repairs, and their maximum
// duration
void ScenarioChecks::check_replicas_repaired(const ScenarioEvent& event) {
  const ReplicaChecker& replicas = deployment_.fleet().rules().replicas();
  const CountRange expected = parse_count_range(event.options.text("count", "1..1000"));
  const double max_repair_s = event.options.number("within");
  for (auto& job : expand_names(event.target)) {
    const int repairs = replicas.repairs(job);
    if (!expected.contains(repairs)) mismatches_ += fmt::format("{}: {} repairs; ", job, repairs);
    const double longest_s = replicas.longest_repair_s(job);
    if (longest_s > max_repair_s)
      mismatches_ += fmt::format("{}: a repair took {:.1f} s; ", job, longest_s);
  }
}

}  // namespace damsonport::simulation
