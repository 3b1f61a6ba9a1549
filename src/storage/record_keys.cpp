#include "storage/record_keys.hpp"

#include <array>
#include <charconv>

namespace damsonport {

namespace {

std::optional<uint32_t> parse_number(std::string_view text) {
  uint32_t number = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc{} || end != text.data() + text.size()) return std::nullopt;
  return number;
}

struct KindPrefix {
  const std::string& prefix;
  RecordKind kind;
};
// Jobs and chunks come first because most records are of these kinds.
const std::array<KindPrefix, 7> kind_prefixes{{
    {keys::job_prefix, RecordKind::job},
    {keys::chunk_prefix, RecordKind::chunk},
    {keys::tombstone_prefix, RecordKind::tombstone},
    {keys::scale_out_request_prefix, RecordKind::scale_out_request},
    {keys::forwarded_exits_prefix, RecordKind::forwarded_exits},
    {keys::quota_prefix, RecordKind::quota},
    {keys::version_prefix, RecordKind::version},
}};

}  // namespace

std::optional<RecordKey> parse_record_key(std::string_view key) {
  for (const auto& [prefix, kind] : kind_prefixes)
    if (key.starts_with(prefix)) return RecordKey{kind, std::string(key.substr(prefix.size()))};
  if (key == keys::shard_table) return RecordKey{RecordKind::shard_table, {}};
  if (key == keys::leader) return RecordKey{RecordKind::leader, {}};
  return std::nullopt;
}

std::optional<ChunkName> parse_chunk_name(std::string_view text) {
  const auto job_end = text.find('/');
  if (job_end == std::string_view::npos) return std::nullopt;
  ChunkName name;
  name.job = std::string(text.substr(0, job_end));
  auto rest = text.substr(job_end + 1);
  if (const auto layout_end = rest.find('/'); layout_end != std::string_view::npos) {
    const auto layout = parse_number(rest.substr(0, layout_end));
    if (!layout) return std::nullopt;
    name.chunk_layout = *layout;
    rest = rest.substr(layout_end + 1);
  }
  const auto number = parse_number(rest);
  if (!number) return std::nullopt;
  name.number = *number;
  return name;
}

}  // namespace damsonport
