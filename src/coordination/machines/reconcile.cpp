#include "coordination/machines/reconcile.hpp"

namespace damsonport {

ReconcileResult reconcile(const Machine& m, const std::vector<DesiredTask>& expected,
                          uint64_t own_fencing_token, bool records_current) {
  ReconcileResult out;
  // Before the machine has learned our term an older holder's orders may still reach it, and before
  // our records are current a start of theirs may be unknown to us.
  const bool proof = m.fencing_token >= own_fencing_token && records_current;
  if (!proof) return out;
  std::map<TaskId, const DesiredTask*> by_task;
  for (auto& e : expected) by_task[e.task] = &e;

  size_t as_expected = 0;
  for (auto& [name, t] : m.tasks) {
    auto it = by_task.find(name);
    const DesiredTask* e = it == by_task.end() ? nullptr : it->second;
    const bool ours = e && e->attempt == t.attempt;
    if (t.state == TaskState::exited) {
      if (ours) {
        out.exits.push_back({name, t.attempt, t.cause, t.saved});
      } else if (!m.has_outstanding_start({name, t.attempt})) {
        // Once forgotten, a late copy of the start order would run the attempt again, so this
        // waits until no such copy can be under way.
        out.commands.push_back({Command::Op::remove, name, t.attempt, 0});
      }
    } else if (!ours || e->cancelled) {
      out.commands.push_back({Command::Op::stop, name, t.attempt, 0});
    } else if (e->stop && t.state != TaskState::saving) {
      out.commands.push_back({Command::Op::stop, name, t.attempt, *e->stop});
    } else if (!e->stop) {
      ++as_expected;
    }
  }
  out.agrees = as_expected == m.tasks.size() && as_expected == expected.size();

  for (auto& e : expected) {
    auto it = m.tasks.find(e.task);
    if (it != m.tasks.end() && it->second.attempt == e.attempt) continue;
    // An attempt of the same task that has to go first; it is dealt with above.
    if (it != m.tasks.end() && it->second.state != TaskState::exited) continue;
    const AttemptKey key{e.task, e.attempt};
    if (m.in_flight.contains(key)) continue;
    if (e.cancelled || e.stop) {
      if (m.has_outstanding_start(key)) {
        // The start may still arrive, and a stop before it would have no effect. Starting and
        // stopping in one message makes the attempt known as exited; a late copy is then ignored.
        out.commands.push_back({Command::Op::start, e.task, e.attempt, 0});
        out.commands.push_back({Command::Op::stop, e.task, e.attempt, 0});
      } else {
        // Not there, and no order for it under way: it is gone.
        out.exits.push_back({e.task, e.attempt, ExitCause::stopped, false});
      }
      continue;
    }
    // Lost on the way, or with a session: the same attempt on the same machine can't run twice.
    out.commands.push_back({Command::Op::start, e.task, e.attempt, 0});
  }
  return out;
}

}  // namespace damsonport
