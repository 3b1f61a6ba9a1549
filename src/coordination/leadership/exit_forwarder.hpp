// Exits that this controller saw on machines whose holder can't hear them, written to the state
// service for the holder.
//
// In a cut a machine reports to a controller on its side, which renews its lease under the holder's
// term. Such a report proves an exit to the holder just as one that it takes itself: the worker
// keeps the exited attempt until the holder orders it removed, and a late copy of the start has no
// effect meanwhile. Nothing else of the report is passed on.
#pragma once
#include <set>

#include "config/settings.hpp"
#include "storage/key_value_client.hpp"
#include "storage/record_cache.hpp"

namespace damsonport {

class ExitForwarder {
 public:
  ExitForwarder(Loop& loop, const Settings& settings, KeyValueClient& store, RecordCache& cache)
      : loop_(loop), settings_(settings), store_(store), cache_(cache), changed_(loop) {}

  // A machine that has learned this term reported the exit.
  void saw(uint64_t fencing_token, const ForwardedExit& exit);
  // Keeps this controller's record as it should be: what the job's records are past goes out.
  Task<void> run(std::stop_token stop_token);

 private:
  bool wanted(const ForwardedExit& exit) const;
  void forget_what_is_committed();
  ForwardedExits next_record() const;
  Task<bool> write(ForwardedExits record);

  Loop& loop_;
  const Settings& settings_;
  KeyValueClient& store_;
  RecordCache& cache_;
  Notification changed_;
  uint64_t fencing_token_ = 0;
  std::set<ForwardedExit> seen_;
};

}  // namespace damsonport
