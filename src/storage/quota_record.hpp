/// A region's account of its part of one team's quota limit, kept in the region's own store.
///
/// It holds totals since the beginning. What a region may use is its initial quota, plus all that
/// it has received, less all that it has sent (docs/regions.md has the proof that this is exact).
#pragma once
#include <map>
#include <string>

#include "protocol/messages.hpp"
#include "protocol/quota_units.hpp"

namespace damsonport {

struct QuotaRecord {
  QuotaUnits initial;
  std::map<std::string, QuotaUnits> sent;      // by the region that they were sent to
  std::map<std::string, QuotaUnits> received;  // by the region that sent them

  /// What the region may use.
  QuotaUnits available_units() const;
  /// Zero for regions that nothing was exchanged with.
  QuotaUnits sent_to(const std::string& region) const;
  QuotaUnits received_from(const std::string& region) const;
  bool operator==(const QuotaRecord&) const = default;
};

Json encode_quota(const QuotaRecord& record);
QuotaRecord decode_quota(const Json& value);

}  // namespace damsonport
