#include "protocol/peer_heartbeat.hpp"

#include "protocol/varint.hpp"

namespace damsonport {

namespace {
constexpr uint64_t max_body_bytes = uint64_t{16} * 1024;
constexpr uint64_t heartbeat_version = 4;
constexpr uint64_t max_cancelled = 1024;
}  // namespace

std::string encode_peer_heartbeat(const PeerHeartbeat& heartbeat) {
  VarintWriter body;
  body.number(heartbeat_version);
  body.text(heartbeat.controller);
  body.number(heartbeat.incarnation);
  body.number(heartbeat.state_age_ms);
  body.number(heartbeat.pending_tasks);
  body.number(heartbeat.records_loaded ? 1 : 0);
  body.number(heartbeat.misrouted_machines);
  body.number(heartbeat.writes_per_s);
  body.number(heartbeat.fencing_token);
  body.number(heartbeat.sent_ms);
  body.number(heartbeat.echo_incarnation);
  body.number(heartbeat.echo_ms);
  body.number(heartbeat.received_upto);
  body.number(heartbeat.listed_after);
  body.number(heartbeat.listed_upto);
  body.number(heartbeat.newest_number);
  body.number(heartbeat.cancelled.size());
  for (auto& cancellation : heartbeat.cancelled) {
    body.text(cancellation.job);
    body.number(cancellation.age_ms);
  }
  return encode_frame(body.bytes());
}

namespace {

bool decode_fields(VarintReader& body, PeerHeartbeat& out) {
  uint64_t version = 0;
  uint64_t loaded = 0;
  if (!body.number(version) || version < heartbeat_version || !body.text(out.controller) ||
      !body.number(out.incarnation) || !body.number(out.state_age_ms) ||
      !body.number(out.pending_tasks) || !body.number(loaded) ||
      !body.number(out.misrouted_machines) || !body.number(out.writes_per_s) ||
      !body.number(out.fencing_token) || !body.number(out.sent_ms) ||
      !body.number(out.echo_incarnation) || !body.number(out.echo_ms) ||
      !body.number(out.received_upto) || !body.number(out.listed_after) ||
      !body.number(out.listed_upto) || !body.number(out.newest_number))
    return false;
  out.records_loaded = loaded != 0;
  return true;
}

bool decode_cancellations(VarintReader& body, std::vector<PeerHeartbeat::Cancellation>& out) {
  uint64_t count = 0;
  if (!body.number(count) || count > max_cancelled) return false;
  for (uint64_t i = 0; i < count; ++i) {
    PeerHeartbeat::Cancellation& cancellation = out.emplace_back();
    if (!body.text(cancellation.job) || !body.number(cancellation.age_ms)) return false;
  }
  return true;
}

}  // namespace

FrameStatus decode_peer_heartbeat(std::string_view in, PeerHeartbeat& out, size_t& used) {
  std::string_view content;
  const FrameStatus status = decode_frame(in, max_body_bytes, content, used);
  if (status != FrameStatus::complete) return status;
  VarintReader body(content);
  out = {};
  const bool decoded = decode_fields(body, out) && decode_cancellations(body, out.cancelled);
  return decoded ? FrameStatus::complete : FrameStatus::malformed;
}

}  // namespace damsonport
