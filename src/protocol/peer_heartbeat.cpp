#include "protocol/peer_heartbeat.hpp"

#include "protocol/varint.hpp"

namespace damsonport {

namespace {
constexpr uint64_t max_frame = uint64_t{16} * 1024;
constexpr uint64_t heartbeat_version = 4;
constexpr uint64_t max_cancelled = 1024;
}  // namespace

std::string encode_peer_heartbeat(const PeerHeartbeat& b) {
  VarintWriter body;
  body.number(heartbeat_version);
  body.text(b.controller);
  body.number(b.incarnation);
  body.number(b.state_age_ms);
  body.number(b.waiting);
  body.number(b.loaded ? 1 : 0);
  body.number(b.misrouted_machines);
  body.number(b.writes);
  body.number(b.fencing_token);
  body.number(b.sent_ms);
  body.number(b.echo_incarnation);
  body.number(b.echo_ms);
  body.number(b.have);
  body.number(b.from);
  body.number(b.upto);
  body.number(b.last);
  body.number(b.cancelled.size());
  for (auto& c : b.cancelled) {
    body.text(c.job);
    body.number(c.age_ms);
  }
  return encode_frame(body.bytes());
}

Framed decode_peer_heartbeat(std::string_view in, PeerHeartbeat& out, size_t& used) {
  std::string_view content;
  if (auto framed = decode_frame(in, max_frame, content, used); framed != Framed::whole)
    return framed;
  VarintReader body(content);
  out = {};
  uint64_t version = 0, loaded = 0, cancelled = 0;
  if (!body.number(version) || version < heartbeat_version || !body.text(out.controller) ||
      !body.number(out.incarnation) || !body.number(out.state_age_ms) ||
      !body.number(out.waiting) || !body.number(loaded) || !body.number(out.misrouted_machines) ||
      !body.number(out.writes) || !body.number(out.fencing_token) || !body.number(out.sent_ms) ||
      !body.number(out.echo_incarnation) || !body.number(out.echo_ms) || !body.number(out.have) ||
      !body.number(out.from) || !body.number(out.upto) || !body.number(out.last) ||
      !body.number(cancelled) || cancelled > max_cancelled)
    return Framed::bad;
  out.loaded = loaded != 0;
  for (uint64_t i = 0; i < cancelled; ++i) {
    PeerHeartbeat::Cancellation c;
    if (!body.text(c.job) || !body.number(c.age_ms)) return Framed::bad;
    out.cancelled.push_back(std::move(c));
  }
  return Framed::whole;
}

}  // namespace damsonport
