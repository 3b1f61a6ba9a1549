/// Counts the requests that were refused as malformed, and logs them at a bounded rate.
#pragma once
#include <cstdint>
#include <map>
#include <string>

#include "coordination/api/routes.hpp"
#include "transport/warning_limiter.hpp"

namespace damsonport {

/// Counters of malformed requests, by resource and by reason. Reasons are texts of this program,
/// never bytes of the sender. Pure: the caller passes in the time.
class MalformedRequests {
 public:
  /// Counts one request with a body of `body_bytes`, and logs the counts of its resource if a line
  /// is due at the time `now`, in seconds.
  void record(Resource resource, const std::string& reason, size_t body_bytes, double now);
  /// Number of requests to this resource since the start.
  uint64_t count(Resource resource) const;

 private:
  struct Counts {
    uint64_t total = 0;
    std::map<std::string, uint64_t> by_reason;
    WarningLimiter limiter;
  };
  std::map<Resource, Counts> counts_;
};

}  // namespace damsonport
