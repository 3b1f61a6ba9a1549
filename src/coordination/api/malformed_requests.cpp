#include "coordination/api/malformed_requests.hpp"

#include <spdlog/spdlog.h>

namespace damsonport {

namespace {

std::string describe_reasons(const std::map<std::string, uint64_t>& by_reason) {
  std::string out;
  for (auto& [reason, count] : by_reason) {
    if (!out.empty()) out += ", ";
    out += reason + ": " + std::to_string(count);
  }
  return out;
}

}  // namespace

void MalformedRequests::record(Resource resource, const std::string& reason, size_t body_bytes,
                               double now) {
  Counts& counts = counts_[resource];
  ++counts.total;
  ++counts.by_reason[reason];
  // The reasons alternate, so the limiter gets one text for all of them.
  const auto unlogged = counts.limiter.record(describe(resource), now);
  if (!unlogged) return;
  spdlog::warn("{} malformed requests: {}; the last one with {} bytes; since the start: {}",
               *unlogged, describe(resource), body_bytes, describe_reasons(counts.by_reason));
}

uint64_t MalformedRequests::count(Resource resource) const {
  auto it = counts_.find(resource);
  return it == counts_.end() ? 0 : it->second.total;
}

}  // namespace damsonport
