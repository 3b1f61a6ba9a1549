/// The machine types that the cloud offers, with their prices. Every controller reads them: the
/// admission check and the autoscaler need them.
#pragma once
#include <stop_token>
#include <string>
#include <vector>

#include "config/settings.hpp"
#include "coordination/autoscaling/machine_types.hpp"
#include "protocol/messages.hpp"
#include "transport/warning_limiter.hpp"

namespace damsonport {

/// The coroutine of `refresh_periodically` owns the list; others read it between its suspension
/// points. Pointers and references to its entries are not to be kept over a co_await: each refresh
/// replaces them.
class MachineTypeCatalog {
 public:
  MachineTypeCatalog(Loop& loop, HttpClient& http, const Settings& settings)
      : loop_(loop), http_(http), settings_(settings) {}

  /// Reads the catalogue until it is known, and then refreshes it from time to time. To be run once
  /// for the life of the process; ends when `stop_token` is stopped.
  Task<void> refresh_periodically(std::stop_token stop_token);

  /// It was read at least once.
  bool loaded() const { return !types_.empty(); }
  const std::vector<MachineType>& types() const { return types_; }
  /// The type of this name, or null.
  const MachineType* type(const std::string& name) const;
  /// On-demand price an hour of the dearest type; above 0.
  double highest_price() const;

 private:
  Loop& loop_;
  HttpClient& http_;
  const Settings& settings_;
  std::vector<MachineType> types_;
  WarningLimiter warning_;
};

}  // namespace damsonport
