#include "coordination/machines/heartbeat_deduplicator.hpp"

#include <string_view>

#include "protocol/messages.hpp"

namespace damsonport {

namespace {

// An encoded heartbeat whose sequence number is overwritten with zeros, and that number.
struct MaskedHeartbeat {
  std::string heartbeat;
  uint64_t sequence = 0;
};

// Number of bytes that follow the initial byte of an unsigned integer in CBOR (RFC 8949, section
// 3); nullopt if the initial byte doesn't begin an unsigned integer.
std::optional<size_t> following_bytes(uint8_t initial_byte) {
  constexpr uint8_t largest_in_place = 23, one_byte = 24, eight_bytes = 27;
  if (initial_byte <= largest_in_place) return 0;
  if (initial_byte < one_byte || initial_byte > eight_bytes) return std::nullopt;
  return size_t{1} << (initial_byte - one_byte);
}

// Masks the bytes of the sequence number and keeps their count, so that masked heartbeats are equal
// only if their sequence numbers have the same encoded length. Returns nullopt unless the key of
// the sequence number occurs exactly once and a complete unsigned integer follows it.
std::optional<MaskedHeartbeat> mask_sequence(const std::string& body) {
  const std::string_view key = encoded_sequence_key();
  const size_t key_at = body.find(key);
  if (key_at == std::string::npos || body.find(key, key_at + 1) != std::string::npos)
    return std::nullopt;
  const size_t value_at = key_at + key.size();
  if (value_at >= body.size()) return std::nullopt;
  const auto initial_byte = static_cast<uint8_t>(body[value_at]);
  const auto following = following_bytes(initial_byte);
  if (!following || value_at + *following >= body.size()) return std::nullopt;
  MaskedHeartbeat out{body, *following == 0 ? initial_byte : uint64_t{0}};
  if (*following == 0) out.heartbeat[value_at] = 0;
  for (size_t i = value_at + 1; i <= value_at + *following; ++i) {
    out.sequence = out.sequence << 8 | static_cast<uint8_t>(body[i]);
    out.heartbeat[i] = 0;
  }
  return out;
}

}  // namespace

void HeartbeatDeduplicator::remember(const std::string& machine, const std::string& body,
                                     uint64_t sequence) {
  forget(machine);
  auto masked = mask_sequence(body);
  if (!masked || masked->sequence != sequence) return;
  auto [entry, fresh] = machine_of_.try_emplace(std::move(masked->heartbeat), machine);
  if (fresh) heartbeat_of_[machine] = &entry->first;
}

void HeartbeatDeduplicator::forget(const std::string& machine) {
  auto it = heartbeat_of_.find(machine);
  if (it == heartbeat_of_.end()) return;
  machine_of_.erase(machine_of_.find(*it->second));
  heartbeat_of_.erase(it);
}

void HeartbeatDeduplicator::clear() {
  machine_of_.clear();
  heartbeat_of_.clear();
}

std::optional<HeartbeatDeduplicator::Repeat> HeartbeatDeduplicator::find(
    const std::string& body) const {
  if (machine_of_.empty()) return std::nullopt;
  const auto masked = mask_sequence(body);
  if (!masked) return std::nullopt;
  auto it = machine_of_.find(masked->heartbeat);
  if (it == machine_of_.end()) return std::nullopt;
  return Repeat{it->second, masked->sequence};
}

}  // namespace damsonport
