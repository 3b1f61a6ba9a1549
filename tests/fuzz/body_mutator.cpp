#include "body_mutator.hpp"

#include <array>
#include <string_view>

namespace damsonport::fuzz {

namespace {

using namespace std::string_view_literals;

constexpr size_t max_mutations = 8;
constexpr size_t max_repeats = 4096;
constexpr size_t max_body_bytes = size_t{64} * 1024;
constexpr size_t byte_values = 256;

/// Heads and pieces at which decoders differ: lengths, chunks, breaks, nesting, types, text.
constexpr std::array pieces = {
    "\x7f"sv,
    "\x5f"sv,
    "\x9f"sv,
    "\xbf"sv,
    "\xff"sv,
    "\x81"sv,
    "\xa1"sv,
    "\xa1\x61k"sv,
    "\xc1"sv,
    "\xd9\xd9\xf7"sv,
    "\xf6"sv,
    "\xf7"sv,
    "\xe0"sv,
    "\xf8\x18"sv,
    "\xf8\xff"sv,
    "\xf9\x7e\x00"sv,
    "\xfa\x7f\x80\x00\x00"sv,
    "\xfb\x7f\xf0\x00\x00\x00\x00\x00\x00"sv,
    "\xfb\x00\x00\x00\x00\x00\x00\x00\x01"sv,
    "\x1b\xff\xff\xff\xff\xff\xff\xff\xff"sv,
    "\x3b\x7f\xff\xff\xff\xff\xff\xff\xff"sv,
    "\x3b\x80\x00\x00\x00\x00\x00\x00\x00"sv,
    "\x9b\x40\x00\x00\x00\x00\x00\x00\x00"sv,
    "\xbb\x7f\xff\xff\xff\xff\xff\xff\xff"sv,
    "\x7b\x7f\xff\xff\xff\xff\xff\xff\xff"sv,
    "\x5a\xff\xff\xff\xff"sv,
    "\x9a\x00\x01\x00\x00"sv,
    "\x63\xed\xa0\x80"sv,
    "\x62\xc0\x80"sv,
    "\x61\xff"sv,
    "\x64\xf4\x90\x80\x80"sv,
    "\x62\xc3\xa9"sv,
    "\x61\x00"sv,
    "\x61\n"sv,
    "\x20"sv,
    "\x00"sv,
    "\x80\x80\x80\x80\x80\x80\x80\x80\x80\x02"sv,
};

enum class Mutation : uint8_t {
  set_byte,
  flip_bit,
  insert_piece,
  replace_by_piece,
  repeat_piece,
  cut,
  erase,
  double_part,
  splice,
  count,
};

}  // namespace

std::string BodyMutator::drawn_piece() { return std::string(pieces[below(pieces.size())]); }

void BodyMutator::mutate(std::string& body) {
  const size_t at = below(body.size() + 1);
  const size_t length = below(body.size() - at + 1);
  switch (static_cast<Mutation>(below(static_cast<size_t>(Mutation::count)))) {
    case Mutation::set_byte:
      if (at < body.size()) body[at] = static_cast<char>(below(byte_values));
      break;
    case Mutation::flip_bit:
      if (at < body.size()) body[at] = static_cast<char>(body[at] ^ (1 << below(8)));
      break;
    case Mutation::insert_piece:
      body.insert(at, drawn_piece());
      break;
    case Mutation::replace_by_piece: {
      const std::string piece = drawn_piece();
      body.replace(at, std::min(piece.size(), body.size() - at), piece);
      break;
    }
    case Mutation::repeat_piece: {
      const std::string piece = drawn_piece();
      std::string repeated;
      for (size_t repeats = below(max_repeats); repeats > 0; --repeats) repeated += piece;
      body.insert(at, repeated);
      break;
    }
    case Mutation::cut:
      body.resize(at);
      break;
    case Mutation::erase:
      body.erase(at, length);
      break;
    case Mutation::double_part:
      body.insert(at, body.substr(at, length));
      break;
    case Mutation::splice: {
      const std::string& other = corpus_[below(corpus_.size())];
      const size_t from = below(other.size() + 1);
      body.insert(at, other.substr(from, below(other.size() - from + 1)));
      break;
    }
    case Mutation::count:
      break;
  }
  if (body.size() > max_body_bytes) body.resize(max_body_bytes);
}

std::string BodyMutator::next() {
  std::string body = corpus_[below(corpus_.size())];
  for (size_t mutations = below(max_mutations + 1); mutations > 0; --mutations) mutate(body);
  return body;
}

}  // namespace damsonport::fuzz
