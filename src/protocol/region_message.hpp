/// The message in which a region's leader tells the controllers of another region of the teams'
/// quotas.
///
/// `sent` and `received` are totals since the beginning and only grow, so a message that arrives
/// late, twice or out of order states nothing false. Everything else is a hint.
#pragma once
#include <string>
#include <string_view>
#include <vector>

#include "protocol/frame.hpp"
#include "protocol/quota_units.hpp"

namespace damsonport {

/// What one region states of one team towards another region.
struct TeamExchange {
  std::string team;
  QuotaUnits sent;      ///< transferred by the sender's region to the receiver's, as committed
  QuotaUnits received;  ///< by the sender's region from the receiver's, as committed
  /// What the sender could transfer, and what it requests of the receiver. The urgent amounts are
  /// for work of an urgent priority, the others for any.
  QuotaUnits urgent_surplus;
  QuotaUnits surplus;
  QuotaUnits urgent_request;
  QuotaUnits request;
};

struct RegionMessage {
  std::string region;          ///< name of the sender's region
  std::string receiver;        ///< name of the receiver's region
  std::string controller;      ///< the controller that speaks for `region`
  uint64_t fencing_token = 0;  ///< of the region's leader: orders the messages of one region, with
  uint64_t sequence_number = 0;  ///< a number that grows within one token
  std::vector<TeamExchange> teams;
};

/// The framed message.
std::string encode_region_message(const RegionMessage& message);
/// Takes one framed message off the front of `in`; `used` bytes were consumed when whole. A message
/// of another version is whole, with an empty `region`.
FrameStatus decode_region_message(std::string_view in, RegionMessage& out, size_t& used);

}  // namespace damsonport
