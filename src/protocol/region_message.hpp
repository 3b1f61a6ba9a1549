/// The message with which a region's leader exchanges the teams' quotas with the controllers of
/// another region.
///
/// `sent` and `received` are running totals that only grow, so a message that is delayed,
/// duplicated or reordered is still correct. All other figures are hints.
#pragma once
#include <string>
#include <string_view>
#include <vector>

#include "protocol/frame.hpp"
#include "protocol/quota_units.hpp"

namespace damsonport {

/// Quota exchange of one team between the sender's region and the receiver's region.
struct TeamExchange {
  std::string team;
  QuotaUnits sent;            ///< committed total of transfers to the receiver's region
  QuotaUnits received;        ///< committed total of transfers from the receiver's region
  QuotaUnits urgent_surplus;  ///< available for transfer to work of urgent priority
  QuotaUnits surplus;         ///< available for transfer to work of any priority
  QuotaUnits urgent_request;  ///< requested from the receiver for work of urgent priority
  QuotaUnits request;         ///< requested from the receiver for work of any priority
};

/// Message from one region's leader to one controller of another region.
struct RegionMessage {
  std::string region;          ///< name of the sender's region
  std::string receiver;        ///< name of the receiver's region
  std::string controller;      ///< name of the sending controller, the leader of `region`
  uint64_t fencing_token = 0;  ///< token of the region's leader
  /// Grows within one fencing token. Fencing token and sequence number order a region's messages.
  uint64_t sequence_number = 0;
  std::vector<TeamExchange> teams;
};

/// Encodes the message as a frame.
std::string encode_region_message(const RegionMessage& message);
/// Decodes the framed message at the front of `in`. If the frame is complete, sets `used` to the
/// number of its bytes. A message of another version decodes to a complete message with an empty
/// `region`.
FrameStatus decode_region_message(std::string_view in, RegionMessage& out, size_t& used);

}  // namespace damsonport
