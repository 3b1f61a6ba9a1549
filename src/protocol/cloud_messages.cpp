#include "protocol/cloud_messages.hpp"

namespace damsonport {

namespace {

/// Field names in the messages of the cloud.
namespace wire {
constexpr const char* machine_types = "hulls";
constexpr const char* type_name = "name";
constexpr const char* cpus = "cores";
constexpr const char* gpus = "accelerators";
constexpr const char* memory_gb = "memory_gb";
constexpr const char* cache_gb = "local_gb";
constexpr const char* fetch_gb_per_s = "pull_gb_per_s";
constexpr const char* price = "hourly";
constexpr const char* spot_price = "spot_price";
constexpr const char* boot_s = "ready_s";
constexpr const char* zones = "docks";
constexpr const char* machines = "vessels";
constexpr const char* machine_id = "ref";
constexpr const char* address = "address";
constexpr const char* type = "hull";
constexpr const char* zone = "dock";
constexpr const char* state = "status";
constexpr const char* spot = "tender";
constexpr const char* age_s = "held_s";
constexpr const char* more = "more";
constexpr const char* request_id = "charter";
constexpr const char* count = "count";
}  // namespace wire

// Returns the error "MESSAGE: LIST[INDEX].FIELD is missing or invalid".
Error invalid_field(const char* message, const char* list, size_t index, const char* field) {
  return Error{std::string(message) + ": " + list + "[" + std::to_string(index) + "]." + field +
               " is missing or invalid"};
}

// Returns the list in the field `name`, or nullptr if the message has no such list.
const Json* find_list(const Json& map, const char* name) {
  const auto* list = map.is_object() ? cbor::find(map, name) : nullptr;
  return list && list->is_array() ? list : nullptr;
}

Error missing_list(const char* message, const char* list) {
  return Error{std::string(message) + ": " + list + " is missing or no list"};
}

// Returns the wire name of the first required field that is missing or invalid, or nullptr if all
// required fields are valid. Errors in optional fields are not reported.
const char* decode_machine_type(const Json& map, MachineType& out) {
  if (!map.is_object() || !cbor::read(map, wire::type_name, out.name)) return wire::type_name;
  if (!cbor::read(map, wire::cpus, out.cpus)) return wire::cpus;
  if (!cbor::read(map, wire::memory_gb, out.memory_gb)) return wire::memory_gb;
  cbor::read_optional(map, wire::gpus, out.gpus);
  cbor::read_optional(map, wire::cache_gb, out.cache_gb);
  cbor::read_optional(map, wire::fetch_gb_per_s, out.fetch_gb_per_s);
  cbor::read_optional(map, wire::price, out.price);
  cbor::read_optional(map, wire::spot_price, out.spot_price);
  cbor::read_optional(map, wire::boot_s, out.boot_s);
  cbor::read_optional(map, wire::zones, out.zones);
  return nullptr;
}

// Returns the same as decode_machine_type().
const char* decode_listed_machine(const Json& map, ListedMachine& out) {
  if (!map.is_object() || !cbor::read(map, wire::machine_id, out.id)) return wire::machine_id;
  cbor::read_optional(map, wire::address, out.address);
  cbor::read_optional(map, wire::type, out.type);
  cbor::read_optional(map, wire::zone, out.zone);
  cbor::read_optional(map, wire::state, out.state);
  cbor::read_optional(map, wire::spot, out.spot);
  cbor::read_optional(map, wire::age_s, out.age_s);
  return nullptr;
}

}  // namespace

Result<std::vector<MachineType>> decode_catalog(const Json& map) {
  constexpr const char* message = "machine type catalogue";
  const auto* list = find_list(map, wire::machine_types);
  if (!list) return missing_list(message, wire::machine_types);
  std::vector<MachineType> out;
  for (const auto& entry : *list) {
    if (const char* field = decode_machine_type(entry, out.emplace_back()))
      return invalid_field(message, wire::machine_types, out.size() - 1, field);
  }
  return out;
}

Result<MachineList> decode_machine_list(const Json& map) {
  constexpr const char* message = "machine list";
  const auto* list = find_list(map, wire::machines);
  if (!list) return missing_list(message, wire::machines);
  MachineList out;
  cbor::read_optional(map, wire::more, out.more);
  for (const auto& entry : *list) {
    if (const char* field = decode_listed_machine(entry, out.machines.emplace_back()))
      return invalid_field(message, wire::machines, out.machines.size() - 1, field);
  }
  return out;
}

std::string encode_scale_out_request(const ScaleOutRequest& request) {
  return encode({{wire::request_id, request.id},
                 {wire::type, request.type},
                 {wire::zone, request.zone},
                 {wire::spot, request.spot},
                 {wire::count, request.count}});
}

std::vector<std::string> decode_created_machines(const Json& map) {
  std::vector<std::string> machines;
  if (map.is_object()) cbor::read_optional(map, wire::machines, machines);
  return machines;
}

std::string encode_return_request(const std::vector<std::string>& machines) {
  return encode({{wire::machines, machines}});
}

}  // namespace damsonport
