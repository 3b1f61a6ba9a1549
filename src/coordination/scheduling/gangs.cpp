#include "coordination/scheduling/gangs.hpp"

namespace damsonport {

GangAction gang_action(const GangStatus& gang, double replacement_timeout_s) {
  if (gang.live == 0) return gang.done < gang.tasks ? GangAction::start : GangAction::none;
  // If one task of a gang is done, the whole gang is done, and the other tasks are about to report
  // it.
  if (gang.done > 0) return GangAction::none;
  if (gang.broken) return GangAction::abandon;
  if (gang.live == gang.tasks) return GangAction::none;
  if (gang.stopping || gang.has_run) return GangAction::abandon;
  if (gang.incomplete_s >= replacement_timeout_s) return GangAction::abandon;
  return GangAction::replace_missing;
}

uint32_t gang_count(const JobSpec& spec) {
  const uint32_t size = spec.gang_size();
  return size == 0 ? 0 : spec.tasks / size;
}

TaskRange gang_range(const JobSpec& spec, uint32_t number) {
  const uint32_t size = spec.gang_size();
  return {number * size, size};
}

uint32_t gang_of(const JobSpec& spec, uint32_t task) {
  const uint32_t size = spec.gang_size();
  return size == 0 ? 0 : task / size;
}

TaskRange gang_containing(const JobSpec& spec, uint32_t task) {
  return gang_range(spec, gang_of(spec, task));
}

uint64_t live_attempt(const Job& job, TaskRange gang) { return job.summarize(gang).live_attempt; }

uint64_t next_attempt(const Job& job, TaskRange gang) {
  const TaskRangeSummary record = job.summarize(gang);
  return record.live_attempt != 0 ? record.live_attempt : record.last_attempt + 1;
}

}  // namespace damsonport
