#include "coordination/api/job_status.hpp"

#include "coordination/api/responses.hpp"
#include "coordination/scheduling/gangs.hpp"

namespace damsonport {

namespace {

// Number of running tasks. The tasks of a replica of several parts count only if all its parts run
// under the same attempt.
uint64_t running_tasks(const Job& job) {
  if (!job.spec.replicated()) return job.live;
  uint64_t running = 0;
  for (uint32_t n = 0; n < gang_count(job.spec); ++n) {
    const TaskRangeSummary summary = job.summarize(gang_range(job.spec, n));
    if (summary.live == job.spec.parts && !summary.has_mixed_attempts) running += summary.live;
  }
  return running;
}

std::string_view wire_name(JobStatus::State state) {
  switch (state) {
    case JobStatus::State::queued:
      return "queued";
    case JobStatus::State::running:
      return "running";
    case JobStatus::State::done:
      return "done";
    case JobStatus::State::aborted:
      return "aborted";
    case JobStatus::State::unavailable:
    case JobStatus::State::unknown:
      break;  // reported by the status code, without a body
  }
  return {};
}

}  // namespace

JobStatus unfinished_status(const Job& job) {
  const uint64_t running = running_tasks(job);
  const auto state = running > 0 ? JobStatus::State::running : JobStatus::State::queued;
  return {state, JobProgress{job.done, running}};
}

JobStatus cached_status(const Job& job) {
  if (job.cancelled) return {JobStatus::State::aborted, JobProgress{job.done, 0}};
  return unfinished_status(job);
}

JobStatus final_status(FinalState state) {
  return {state == FinalState::done ? JobStatus::State::done : JobStatus::State::aborted, {}};
}

HttpResponse to_response(const std::string& id, const JobStatus& status) {
  if (status.state == JobStatus::State::unavailable) return unavailable();
  if (status.state == JobStatus::State::unknown) return not_found();
  const auto name = wire_name(status.state);
  if (!status.progress) return {200, encode_job_status(id, name), 0};
  return {200, encode_job_progress(id, name, status.progress->done, status.progress->running), 0};
}

}  // namespace damsonport
