/// The machine types that the cloud offers, with their prices. Every controller reads the catalog,
/// because the admission check and the autoscaler depend on it.
#pragma once
#include <stop_token>
#include <string>
#include <vector>

#include "config/settings.hpp"
#include "coordination/autoscaling/machine_types.hpp"
#include "protocol/messages.hpp"
#include "transport/warning_limiter.hpp"

namespace damsonport {

/// The local copy of the cloud's catalog. Only the coroutine of `refresh_periodically` changes the
/// list of types. Other coroutines may read the list, but must not keep pointers or references to
/// its entries across a co_await: each refresh replaces all entries.
class MachineTypeCatalog {
 public:
  MachineTypeCatalog(Loop& loop, HttpClient& http, const Settings& settings)
      : loop_(loop), http_(http), settings_(settings) {}

  /// Requests the catalog until the first successful read, then refreshes it periodically.
  /// Runs once for the life of the process and ends when a stop is requested through `stop_token`.
  Task<void> refresh_periodically(std::stop_token stop_token);

  /// Whether the catalog was read at least once.
  bool loaded() const { return !types_.empty(); }
  const std::vector<MachineType>& types() const { return types_; }
  /// Returns the type with this name, or null if there is none. Valid until the next refresh.
  const MachineType* type(const std::string& name) const;
  /// Returns the highest on-demand price per hour of all types; always above 0.
  double highest_price() const;

 private:
  Loop& loop_;
  HttpClient& http_;
  const Settings& settings_;
  std::vector<MachineType> types_;
  WarningLimiter warning_;
};

}  // namespace damsonport
