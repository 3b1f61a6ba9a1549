/// The quota record: a region's part of one team's quota limit, stored in the region's own
/// key-value store.
///
/// The record holds totals since the record was created. A region may use its initial quota, plus
/// everything that it has received from other regions, minus everything that it has sent to them
/// (docs/regions.md proves that this is exact).
#pragma once
#include <map>
#include <string>

#include "protocol/messages.hpp"
#include "protocol/quota_units.hpp"

namespace damsonport {

/// Initial quota and transfer totals of one team in one region.
struct QuotaRecord {
  QuotaUnits initial;
  std::map<std::string, QuotaUnits> sent;      // by receiving region
  std::map<std::string, QuotaUnits> received;  // by sending region

  /// The quota units that the region may use.
  QuotaUnits available_units() const;
  /// Total sent to this region; zero when nothing was sent.
  QuotaUnits sent_to(const std::string& region) const;
  /// Total received from this region; zero when nothing was received.
  QuotaUnits received_from(const std::string& region) const;
  bool operator==(const QuotaRecord&) const = default;
};

/// Encodes the record as stored.
Json encode_quota(const QuotaRecord& record);
/// Decodes a stored record. Throws Json::exception when the initial quota is missing or malformed.
QuotaRecord decode_quota(const Json& value);

}  // namespace damsonport
