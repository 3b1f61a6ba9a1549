#include "protocol/region_message.hpp"

#include <array>

#include "protocol/varint.hpp"

namespace damsonport {

namespace {

constexpr uint64_t message_version = 1;
constexpr uint64_t max_body_bytes = uint64_t{1024} * 1024;
constexpr uint64_t max_teams = 100000;

constexpr std::array<QuotaUnits TeamExchange::*, 6> exchange_fields = {
    &TeamExchange::sent,    &TeamExchange::received,       &TeamExchange::urgent_surplus,
    &TeamExchange::surplus, &TeamExchange::urgent_request, &TeamExchange::request};

std::string encode_exchange(const TeamExchange& exchange) {
  VarintWriter body;
  body.text(exchange.team);
  for (auto field : exchange_fields) {
    body.number((exchange.*field).cpus);
    body.number((exchange.*field).gpus);
  }
  return body.bytes();
}

// Ignores fields that a later version appends to an entry.
bool decode_exchange(std::string_view in, TeamExchange& out) {
  VarintReader body(in);
  if (!body.text(out.team)) return false;
  for (auto field : exchange_fields)
    if (!body.number((out.*field).cpus) || !body.number((out.*field).gpus)) return false;
  return true;
}

bool decode_body(std::string_view in, RegionMessage& out) {
  VarintReader body(in);
  uint64_t version = 0, teams = 0;
  if (!body.number(version)) return false;
  if (version != message_version) return true;
  if (!body.text(out.region) || !body.text(out.receiver) || !body.text(out.controller) ||
      !body.number(out.fencing_token) || !body.number(out.sequence_number) || !body.number(teams) ||
      teams > max_teams)
    return false;
  std::string entry;
  for (uint64_t i = 0; i < teams; ++i) {
    if (!body.text(entry) || !decode_exchange(entry, out.teams.emplace_back())) return false;
  }
  return true;
}

}  // namespace

std::string encode_region_message(const RegionMessage& message) {
  VarintWriter body;
  body.number(message_version);
  body.text(message.region);
  body.text(message.receiver);
  body.text(message.controller);
  body.number(message.fencing_token);
  body.number(message.sequence_number);
  body.number(message.teams.size());
  for (auto& exchange : message.teams) body.text(encode_exchange(exchange));
  return encode_frame(body.bytes());
}

FrameStatus decode_region_message(std::string_view in, RegionMessage& out, size_t& used) {
  std::string_view body;
  if (auto status = decode_frame(in, max_body_bytes, body, used); status != FrameStatus::complete)
    return status;
  out = {};
  return decode_body(body, out) ? FrameStatus::complete : FrameStatus::malformed;
}

}  // namespace damsonport
