#include "coordination/gangs.hpp"

#include <algorithm>

namespace damsonport {

GangAction gang_action(const GangStanding& gang, double patience_s) {
  // What is left of a gang that has a finished task only has to report the same.
  if (gang.live == 0) return gang.done < gang.tasks ? GangAction::start : GangAction::none;
  if (gang.done > 0) return GangAction::none;
  if (gang.broken) return GangAction::give_up;
  if (gang.live == gang.tasks) return GangAction::none;
  if (gang.stopping || gang.ran || gang.incomplete_s >= patience_s) return GangAction::give_up;
  return GangAction::complete;
}

uint64_t live_attempt(const Job& gang) {
  uint64_t attempt = 0;
  for (auto& [n, chunk] : gang.chunks)
    for (auto& task : chunk.record.live) attempt = std::max(attempt, task.attempt);
  return attempt;
}

uint64_t next_attempt(const Job& gang) {
  if (const uint64_t attempt = live_attempt(gang)) return attempt;
  uint64_t last = 0;
  for (auto& [n, chunk] : gang.chunks) last = std::max(last, chunk.record.last_attempt());
  return last + 1;
}

}  // namespace damsonport
