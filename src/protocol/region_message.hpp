// What the holder of one region tells the controllers of another about the teams' budgets.
//
// `sent` and `received` are totals since the beginning and only grow, so a message that comes late,
// twice or out of order says nothing false. Everything else is a hint.
#pragma once
#include <string>
#include <string_view>
#include <vector>

#include "protocol/frame.hpp"
#include "protocol/quota_units.hpp"

namespace damsonport {

struct TeamExchange {
  std::string team;
  QuotaUnits sent;      // by the sender's region to the receiver's, as committed
  QuotaUnits received;  // by the sender's region from the receiver's, as committed
  // What the sender could give, and what it wants of the receiver. The urgent amounts are for work
  // of an urgent rank, the others for any.
  QuotaUnits urgent_surplus, surplus;
  QuotaUnits urgent_request, request;
};

struct RegionMessage {
  std::string region, receiver;  // names of regions
  std::string controller;        // the controller that speaks for `region`
  // Order the messages of one region: the holder's term, and a number that grows within it.
  uint64_t fencing_token = 0, number = 0;
  std::vector<TeamExchange> teams;
};

std::string encode_region_message(const RegionMessage& message);  // framed
// Takes one framed message off the front. Of another version: whole, with an empty `region`.
Framed decode_region_message(std::string_view in, RegionMessage& out, size_t& used);

}  // namespace damsonport
