#include "simulation/submission.hpp"

#include <algorithm>
#include <bit>
#include <vector>

namespace damsonport::simulation {

namespace {

constexpr uint64_t max_nesting = 3000;
const std::string break_byte = "\xff";

std::string repeated(const std::string& part, uint64_t count) {
  std::string out;
  for (uint64_t i = 0; i < count; ++i) out += part;
  return out;
}

std::string big_endian(uint64_t value, int bytes) {
  constexpr int bits_per_byte = 8;
  std::string out;
  for (int i = bytes - 1; i >= 0; --i)
    out.push_back(static_cast<char>(value >> (i * bits_per_byte)));
  return out;
}

// A text in chunks of one character. Only for ASCII, whose characters have one byte.
std::string text_in_chunks(const std::string& text) {
  std::string out = "\x7f";
  for (const char c : text) out += std::string("\x61") + c;
  return out + break_byte;
}

std::string value_in_another_way(const Json& value, const Draw& draw) {
  constexpr int eight_bytes = 8;
  constexpr int four_bytes = 4;
  if (draw(2) == 0) return encode(value);
  if (value.is_string()) return text_in_chunks(value.get<std::string>());
  if (value.is_number_unsigned()) return "\x1b" + big_endian(value.get<uint64_t>(), eight_bytes);
  if (!value.is_number_float()) return encode(value);
  const auto number = value.get<double>();
  const auto narrow = static_cast<float>(number);
  if (static_cast<double>(narrow) != number) return encode(value);
  return "\xfa" + big_endian(std::bit_cast<uint32_t>(narrow), four_bytes);
}

std::string unknown_value(const Draw& draw) {
  const uint64_t depth = draw(max_nesting);
  const std::string values[] = {
      repeated("\x81", depth) + "\xf6",
      repeated("\xa1\x61k", depth) + "\xf6",
      repeated("\x9f", depth) + "\xf6" + repeated(break_byte, depth),
      "\xc1\x1a" + big_endian(depth, 4),
      "\xf7",
      "\xf8\xff",
      "\x42\xff\xfe",
      "\x7f\x62\xc3\xa9\xff",
  };
  return values[draw(std::size(values))];
}

}  // namespace

std::string written_in_another_way(const Json& message, const Draw& draw) {
  std::vector<std::string> fields;
  for (auto& [name, value] : message.items())
    fields.push_back(encode(name) + value_in_another_way(value, draw));
  fields.push_back(encode("unknown") + unknown_value(draw));
  fields.push_back(encode(draw(max_nesting)) + unknown_value(draw));
  for (size_t left = fields.size(); left > 1; --left)
    std::swap(fields[left - 1], fields[draw(left)]);
  std::string body = "\xbf";
  for (auto& field : fields) body += field;
  return body + break_byte;
}

std::string malformed_body(const Json& message, const Draw& draw) {
  constexpr uint64_t max_head_bytes = 60000;
  const std::string sound = encode(message);
  const std::string bodies[] = {
      sound.substr(0, draw(sound.size())),
      sound + break_byte,
      repeated("\x7f", draw(max_head_bytes)),
      repeated("\x5f", draw(max_head_bytes)),
      repeated("\x81", draw(max_head_bytes)),
      "\x9b\x40" + std::string(7, '\0'),
      "\xbb\x7f" + repeated(break_byte, 7),
      "\xa1" + encode("cargo") + "\x63\xed\xa0\x80",
      "\xa1\x61\xff\x01",
      "\xa1\x61x\xfc",
  };
  return bodies[draw(std::size(bodies))];
}

Json submission_of(const JobSpec& spec) {
  Json m = {{"same_place", false}, {"spread", false}, {"tender", false},
            {"voyage_s", 0.0},     {"moor_s", 0.0},   {"stow_s", 0.0}};
  m.update(encode_job(spec));
  // These fields belong to the job's record and not to a user's message.
  for (const char* own : {"accepted_at", "parts", "distinct_machines"}) m.erase(own);
  return m;
}

}  // namespace damsonport::simulation
