#include "protocol/peer_heartbeat.hpp"

#include <algorithm>
#include <utility>

#include "protocol/varint.hpp"

namespace damsonport {

namespace {
constexpr uint64_t max_body_bytes = uint64_t{16} * 1024;
constexpr uint64_t heartbeat_version = 4;
constexpr uint64_t max_cancelled = 1024;

// How the machines of a cancelled job are encoded: this number, then their count and names.
enum class MachineList : uint8_t { none, incomplete, complete };

void encode_machines(VarintWriter& body, const std::optional<PeerHeartbeat::JobMachines>& job) {
  if (!job) return body.number(static_cast<uint64_t>(MachineList::none));
  const auto kind = job->complete ? MachineList::complete : MachineList::incomplete;
  body.number(static_cast<uint64_t>(kind));
  body.number(job->machines.size());
  for (auto& machine : job->machines) body.text(machine);
}
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
  const bool any_machines = std::any_of(heartbeat.cancelled.begin(), heartbeat.cancelled.end(),
                                        [](auto& cancellation) { return cancellation.machines; });
  if (any_machines)
    for (auto& cancellation : heartbeat.cancelled) encode_machines(body, cancellation.machines);
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

bool decode_machines(VarintReader& body, std::optional<PeerHeartbeat::JobMachines>& out) {
  uint64_t kind = 0;
  if (!body.number(kind) || kind > static_cast<uint64_t>(MachineList::complete)) return false;
  if (kind == static_cast<uint64_t>(MachineList::none)) return true;
  uint64_t count = 0;
  if (!body.number(count)) return false;
  PeerHeartbeat::JobMachines job;
  job.complete = kind == static_cast<uint64_t>(MachineList::complete);
  for (uint64_t i = 0; i < count; ++i)
    if (!body.text(job.machines.emplace_back())) return false;
  out = std::move(job);
  return true;
}

// Senders of an earlier version end their heartbeats before this field.
void decode_machines_of_cancelled(VarintReader& body,
                                  std::vector<PeerHeartbeat::Cancellation>& cancelled) {
  const bool decoded = std::all_of(cancelled.begin(), cancelled.end(), [&](auto& cancellation) {
    return decode_machines(body, cancellation.machines);
  });
  if (decoded) return;
  for (auto& cancellation : cancelled) cancellation.machines.reset();
}

}  // namespace

FrameStatus decode_peer_heartbeat(std::string_view in, PeerHeartbeat& out, size_t& used) {
  std::string_view content;
  const FrameStatus status = decode_frame(in, max_body_bytes, content, used);
  if (status != FrameStatus::complete) return status;
  VarintReader body(content);
  out = {};
  if (!decode_fields(body, out) || !decode_cancellations(body, out.cancelled))
    return FrameStatus::malformed;
  decode_machines_of_cancelled(body, out.cancelled);
  return FrameStatus::complete;
}

}  // namespace damsonport
