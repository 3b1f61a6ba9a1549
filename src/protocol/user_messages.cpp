#include "protocol/user_messages.hpp"

#include <algorithm>

namespace damsonport {

namespace {

/// Field names in the messages of users and in the stored records.
namespace wire {
constexpr const char* id = "ref";
constexpr const char* job_class = "berth";
constexpr const char* team = "owner";
constexpr const char* kind = "shape";
constexpr const char* priority = "rank";
constexpr const char* tasks = "hands";
constexpr const char* cpus = "cores";
constexpr const char* gpus = "accelerators";
constexpr const char* memory_gb = "memory_gb";
constexpr const char* types = "hulls";
constexpr const char* zone = "dock";
constexpr const char* one_zone = "same_place";
constexpr const char* spread = "spread";
constexpr const char* spot = "tender";
constexpr const char* image = "cargo";
constexpr const char* image_gb = "size_gb";
constexpr const char* estimate_s = "voyage_s";
constexpr const char* checkpoint_s = "moor_s";
constexpr const char* save_s = "stow_s";
constexpr const char* deadline_s = "due_s";
constexpr const char* accepted_at = "accepted_at";
constexpr const char* parts = "parts";
constexpr const char* distinct_machines = "distinct_machines";
constexpr const char* status = "status";
constexpr const char* done = "done";
constexpr const char* running = "running";

/// Names of the enumerators, in the order of their values.
constexpr std::string_view kinds[] = {"batch", "service", "ensemble"};
constexpr std::string_view priorities[] = {"idle", "normal", "high", "production"};
}  // namespace wire

// Limits of the user protocol.
constexpr uint64_t max_tasks = 100000;
constexpr size_t max_text_bytes = 200;
constexpr size_t max_types = 64;
constexpr size_t max_id_bytes = 64;
constexpr double max_amount = 1e9;  // exclusive

/// Wire name of the first field that is missing or invalid; empty if all fields are valid.
using InvalidField = std::optional<const char*>;

bool read_text(const Json& map, const char* name, std::string& out) {
  return cbor::read(map, name, out) && !out.empty() && out.size() <= max_text_bytes;
}

bool is_amount(double value) { return value >= 0 && value < max_amount; }

bool read_amount(const Json& map, const char* name, double& out) {
  return cbor::read(map, name, out) && is_amount(out);
}

bool read_optional_amount(const Json& map, const char* name, double& out) {
  return cbor::read_optional(map, name, out) && is_amount(out);
}

bool read_types(const Json& map, std::vector<std::string>& types) {
  if (!cbor::read_optional(map, wire::types, types) || types.size() > max_types) return false;
  if (cbor::find(map, wire::types) && types.empty()) return false;
  return std::all_of(types.begin(), types.end(), [](const std::string& type) {
    return !type.empty() && type.size() <= max_text_bytes;
  });
}

bool read_deadline(const Json& map, std::optional<double>& out) {
  if (!cbor::find(map, wire::deadline_s)) return true;
  double deadline_s = 0;
  if (!cbor::read(map, wire::deadline_s, deadline_s) || deadline_s < 0) return false;
  out = deadline_s;
  return true;
}

InvalidField decode_identity(const Json& map, JobSpec& spec) {
  if (!cbor::read(map, wire::id, spec.id) || !valid_job_id(spec.id)) return wire::id;
  if (!read_text(map, wire::job_class, spec.job_class)) return wire::job_class;
  if (!read_text(map, wire::team, spec.team)) return wire::team;
  if (!cbor::read_enum(map, wire::kind, wire::kinds, spec.kind)) return wire::kind;
  if (!cbor::read_enum(map, wire::priority, wire::priorities, spec.priority)) return wire::priority;
  return {};
}

InvalidField decode_resources(const Json& map, JobSpec& spec) {
  uint64_t tasks = 0;
  if (!cbor::read(map, wire::tasks, tasks) || tasks < 1 || tasks > max_tasks) return wire::tasks;
  spec.tasks = static_cast<uint32_t>(tasks);
  if (!read_amount(map, wire::cpus, spec.cpus)) return wire::cpus;
  if (!read_optional_amount(map, wire::gpus, spec.gpus)) return wire::gpus;
  if (!read_amount(map, wire::memory_gb, spec.memory_gb)) return wire::memory_gb;
  if (!read_text(map, wire::image, spec.image)) return wire::image;
  if (!read_amount(map, wire::image_gb, spec.image_gb)) return wire::image_gb;
  return {};
}

InvalidField decode_constraints(const Json& map, JobSpec& spec) {
  if (!read_types(map, spec.types)) return wire::types;
  if (!cbor::read_optional(map, wire::zone, spec.zone) || spec.zone.size() > max_text_bytes)
    return wire::zone;
  if (!cbor::read_optional(map, wire::one_zone, spec.one_zone)) return wire::one_zone;
  if (!cbor::read_optional(map, wire::spread, spec.spread)) return wire::spread;
  if (!cbor::read_optional(map, wire::spot, spec.spot)) return wire::spot;
  return {};
}

InvalidField decode_times(const Json& map, JobSpec& spec) {
  if (!read_optional_amount(map, wire::estimate_s, spec.estimate_s)) return wire::estimate_s;
  if (!read_optional_amount(map, wire::checkpoint_s, spec.checkpoint_s)) return wire::checkpoint_s;
  if (!read_optional_amount(map, wire::save_s, spec.save_s)) return wire::save_s;
  if (!read_deadline(map, spec.deadline_s)) return wire::deadline_s;
  return {};
}

// Decodes the fields that only records have. An invalid field counts as absent.
void decode_recorded_fields(const Json& map, JobSpec& spec) {
  cbor::read_optional(map, wire::accepted_at, spec.accepted_at);
  uint64_t parts = 1;
  if (cbor::read_optional(map, wire::parts, parts) && parts > 1 && parts <= spec.tasks)
    spec.parts = static_cast<uint32_t>(parts);
  cbor::read_optional(map, wire::distinct_machines, spec.distinct_machines);
}

Error missing_or_invalid(const char* field) {
  return Error{std::string(field) + " is missing or invalid"};
}

}  // namespace

bool valid_job_id(std::string_view id) {
  constexpr std::string_view prefix = "run-";
  if (!id.starts_with(prefix) || id.size() == prefix.size() || id.size() > max_id_bytes)
    return false;
  const auto rest = id.substr(prefix.size());
  return std::all_of(rest.begin(), rest.end(), [](char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '-' ||
           c == '_' || c == '.';
  });
}

Result<JobSpec> decode_job(const Json& map) {
  JobSpec spec;
  for (auto* decode : {decode_identity, decode_resources, decode_constraints, decode_times})
    if (const InvalidField field = decode(map, spec)) return missing_or_invalid(*field);
  decode_recorded_fields(map, spec);
  return spec;
}

Result<JobSpec> decode_submission(const Json& map) {
  for (const char* field : {wire::gpus, wire::one_zone, wire::spread, wire::spot, wire::estimate_s,
                            wire::checkpoint_s, wire::save_s})
    if (!cbor::find(map, field)) return missing_or_invalid(field);
  auto spec = decode_job(map);
  if (spec) {
    const JobSpec defaults;
    spec->accepted_at = defaults.accepted_at;
    spec->parts = defaults.parts;
    spec->distinct_machines = defaults.distinct_machines;
  }
  return spec;
}

Json encode_job(const JobSpec& spec) {
  Json map = {{wire::id, spec.id},
              {wire::job_class, spec.job_class},
              {wire::team, spec.team},
              {wire::kind, wire::kinds[static_cast<size_t>(spec.kind)]},
              {wire::priority, wire::priorities[static_cast<size_t>(spec.priority)]},
              {wire::tasks, spec.tasks},
              {wire::cpus, spec.cpus},
              {wire::gpus, spec.gpus},
              {wire::memory_gb, spec.memory_gb},
              {wire::image, spec.image},
              {wire::image_gb, spec.image_gb},
              {wire::accepted_at, spec.accepted_at}};
  if (!spec.types.empty()) map[wire::types] = spec.types;
  if (!spec.zone.empty()) map[wire::zone] = spec.zone;
  if (spec.one_zone) map[wire::one_zone] = true;
  if (spec.spread) map[wire::spread] = true;
  if (spec.spot) map[wire::spot] = true;
  if (spec.estimate_s > 0) map[wire::estimate_s] = spec.estimate_s;
  if (spec.checkpoint_s > 0) map[wire::checkpoint_s] = spec.checkpoint_s;
  if (spec.save_s > 0) map[wire::save_s] = spec.save_s;
  if (spec.deadline_s) map[wire::deadline_s] = *spec.deadline_s;
  if (spec.parts > 1) map[wire::parts] = spec.parts;
  if (spec.distinct_machines) map[wire::distinct_machines] = true;
  return map;
}

std::string encode_job_status(const std::string& id, std::string_view status) {
  return encode({{wire::id, id}, {wire::status, status}});
}

std::string encode_job_progress(const std::string& id, std::string_view status, uint64_t done,
                                uint64_t running) {
  return encode(
      {{wire::id, id}, {wire::status, status}, {wire::done, done}, {wire::running, running}});
}

}  // namespace damsonport
