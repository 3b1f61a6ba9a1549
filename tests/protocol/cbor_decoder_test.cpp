// Decoding of CBOR: what is well-formed, what of it is kept, and valid text.
#include <gtest/gtest.h>

#include <cmath>

#include "protocol/messages.hpp"
#include "protocol/utf8.hpp"

namespace damsonport {
namespace {

using cbor::DecodeError;

std::string bytes(std::initializer_list<int> values) {
  std::string out;
  for (int value : values) out.push_back(static_cast<char>(value));
  return out;
}

// A map with this value in the field "x".
std::string field(const std::string& value) { return "\xa1\x61x" + value; }

Json decoded_field(const std::string& value) {
  auto error = DecodeError::none;
  const Json map = decode_map(field(value), error);
  EXPECT_EQ(error, DecodeError::none) << describe(error);
  return map.is_object() ? map.at("x") : Json();
}

DecodeError error_of(const std::string& body) {
  auto error = DecodeError::none;
  const Json map = decode_map(body, error);
  EXPECT_EQ(map.is_null(), error != DecodeError::none);
  return error;
}

TEST(CborDecoder, NumbersOfAnyWidth_SameValue) {
  EXPECT_EQ(decoded_field(bytes({0x07})), 7);
  EXPECT_EQ(decoded_field(bytes({0x18, 0x07})), 7);
  EXPECT_EQ(decoded_field(bytes({0x1b, 0, 0, 0, 0, 0, 0, 0, 7})), 7);
  EXPECT_EQ(decoded_field(bytes({0x1b, 255, 255, 255, 255, 255, 255, 255, 255})), UINT64_MAX);
  EXPECT_EQ(decoded_field(bytes({0x26})), -7);
  EXPECT_EQ(decoded_field(bytes({0x3b, 127, 255, 255, 255, 255, 255, 255, 255})), INT64_MIN);
  EXPECT_EQ(decoded_field(bytes({0x3b, 128, 0, 0, 0, 0, 0, 0, 0})), -9223372036854775809.0);
  EXPECT_EQ(decoded_field(bytes({0xf9, 0x3e, 0x00})), 1.5);
  EXPECT_EQ(decoded_field(bytes({0xf9, 0x00, 0x01})), std::ldexp(1.0, -24));
  EXPECT_EQ(decoded_field(bytes({0xf9, 0xfb, 0xff})), -65504.0);
  EXPECT_TRUE(std::isinf(decoded_field(bytes({0xf9, 0x7c, 0x00})).get<double>()));
  EXPECT_TRUE(std::isnan(decoded_field(bytes({0xf9, 0x7e, 0x00})).get<double>()));
  EXPECT_EQ(decoded_field(bytes({0xfa, 0x3f, 0xc0, 0, 0})), 1.5);
  EXPECT_EQ(decoded_field(bytes({0xfb, 0x3f, 0xf8, 0, 0, 0, 0, 0, 0})), 1.5);
}

TEST(CborDecoder, IndefiniteLengths_SameValue) {
  EXPECT_EQ(decoded_field(bytes({0x7f, 0x61, 'a', 0x60, 0x62, 'b', 'c', 0xff})), "abc");
  EXPECT_EQ(decoded_field(bytes({0x9f, 1, 0x9f, 0xff, 2, 0xff})), Json({1, Json::array(), 2}));
  EXPECT_EQ(decoded_field(bytes({0xbf, 0x61, 'a', 1, 0xff})), Json({{"a", 1}}));
  EXPECT_EQ(decode_map(bytes({0xbf, 0x7f, 0x61, 'a', 0x61, 'b', 0xff, 1, 0xff})),
            Json({{"ab", 1}}));
}

TEST(CborDecoder, KeyRepeated_LastValueCounts) {
  EXPECT_EQ(decode_map(bytes({0xa2, 0x61, 'a', 0x81, 1, 0x61, 'a', 2})), Json({{"a", 2}}));
}

TEST(CborDecoder, ValueThatNoProtocolUses_KeptFromNoOtherField) {
  const std::string unused[] = {
      bytes({0xc1, 0x1a, 0, 0, 0, 1}),        // tag
      bytes({0xd9, 0xd9, 0xf7, 0x81, 0x60}),  // tag of an array
      bytes({0xf7}),                          // undefined
      bytes({0xe0}),                          // unassigned simple value
      bytes({0xf8, 0xff}),
      bytes({0x42, 0xff, 0xfe}),  // byte strings
      bytes({0x5f, 0x41, 0xff, 0xff}),
  };
  for (const std::string& value : unused) {
    std::string body = "\xa2\x61x";
    body += value + "\x61y\x07";
    const Json map = decode_map(body);
    ASSERT_TRUE(map.is_object());
    EXPECT_EQ(map.at("y"), 7);
    EXPECT_TRUE(map.at("x").is_discarded());
    std::string text;
    EXPECT_FALSE(cbor::read_optional(map, "x", text)) << "it is present, and invalid";
  }
}

TEST(CborDecoder, KeyIsNoText_EntryLeftOut) {
  const std::string keys[] = {bytes({0x01}), bytes({0x41, 'x'}), bytes({0x82, 1, 2}),
                              bytes({0xc1, 0x61, 'x'}), bytes({0xbf, 0x61, 'a', 1, 0xff})};
  for (const std::string& key : keys) {
    std::string body = "\xa2";
    body += key + bytes({0x81, 0x61, 'v'}) + "\x61y\x07";
    EXPECT_EQ(decode_map(body), Json({{"y", 7}}));
  }
}

TEST(CborDecoder, NestedBeyondTheKeptDepth_DiscardedFromThere) {
  std::string value;
  for (size_t i = 0; i < 2 * cbor::max_kept_depth; ++i) value += "\x81";
  const Json decoded = decoded_field(value + "\xf6");
  size_t depth = 1;
  for (const Json* v = &decoded; v->is_array(); v = &v->at(0)) ++depth;
  EXPECT_EQ(depth, cbor::max_kept_depth);
}

TEST(CborDecoder, MalformedInput_RefusedWithTheReason) {
  EXPECT_EQ(error_of(""), DecodeError::incomplete);
  EXPECT_EQ(error_of(field("")), DecodeError::incomplete);
  EXPECT_EQ(error_of(bytes({0xa1})), DecodeError::incomplete);
  EXPECT_EQ(error_of(bytes({0xa0, 0})), DecodeError::trailing_bytes);
  EXPECT_EQ(error_of(bytes({0x80})), DecodeError::not_a_map);
  EXPECT_EQ(error_of(bytes({0xd9, 0xd9, 0xf7, 0xa0})), DecodeError::not_a_map);
  for (int head : {0x1c, 0x1d, 0x1e, 0x1f, 0x3f, 0x5c, 0x7e, 0x9d, 0xbc, 0xdf, 0xfc, 0xfe})
    EXPECT_EQ(error_of(field(bytes({head}))), DecodeError::reserved_head) << head;
  EXPECT_EQ(error_of(field(bytes({0xf8, 0x14}))), DecodeError::reserved_head);
  EXPECT_EQ(error_of(bytes({0xff})), DecodeError::misplaced_break);
  EXPECT_EQ(error_of(field(bytes({0xff}))), DecodeError::misplaced_break);
  EXPECT_EQ(error_of(bytes({0xbf, 0x61, 'a', 0xff})), DecodeError::misplaced_break);
  EXPECT_EQ(error_of(field(bytes({0x9f, 0xc1, 0xff}))), DecodeError::misplaced_break);
  EXPECT_EQ(error_of(field(bytes({0x7f, 0x7f, 0x61, 'a', 0xff, 0xff}))),
            DecodeError::invalid_chunk);
  EXPECT_EQ(error_of(field(bytes({0x7f, 0x41, 'a', 0xff}))), DecodeError::invalid_chunk);
  EXPECT_EQ(error_of(field(bytes({0x7f, 0x01, 0xff}))), DecodeError::invalid_chunk);
}

TEST(CborDecoder, LengthOrCountBeyondTheInput_Refused) {
  for (int type : {0x40, 0x60, 0x80, 0xa0}) {
    for (int first : {0x00, 0x20, 0x40, 0x7f, 0x80, 0xff}) {
      const auto body = field(bytes({type | 27, first, 255, 255, 255, 255, 255, 255, 255}));
      EXPECT_EQ(error_of(body), DecodeError::incomplete) << type << " " << first;
    }
  }
}

TEST(CborDecoder, TextThatIsNotUtf8_RefusedInAnyPlace) {
  const std::string invalid[] = {bytes({0xff}),
                                 bytes({0x80}),
                                 bytes({0xc0, 0x80}),
                                 bytes({0xc3}),
                                 bytes({0xe0, 0x9f, 0xbf}),
                                 bytes({0xed, 0xa0, 0x80}),
                                 bytes({0xf0, 0x28, 0x8c}),
                                 bytes({0xf0, 0x8f, 0xbf, 0xbf}),
                                 bytes({0xf4, 0x90, 0x80, 0x80}),
                                 bytes({0xf8, 0x88, 0x80, 0x80, 0x80})};
  for (const std::string& sequence : invalid) {
    EXPECT_FALSE(is_valid_utf8(sequence));
    EXPECT_FALSE(is_valid_utf8("12345678" + sequence));
    std::string text = bytes({0x60 + static_cast<int>(sequence.size())});
    text += sequence;
    EXPECT_EQ(error_of(field(text)), DecodeError::invalid_text);
    EXPECT_EQ(error_of(field("\x81" + text)), DecodeError::invalid_text);
    EXPECT_EQ(error_of(field("\x7f" + text + "\xff")), DecodeError::invalid_text);
    EXPECT_EQ(error_of(field("\xc1" + text)), DecodeError::invalid_text);
    EXPECT_EQ(error_of("\xa1" + text + "\x01"), DecodeError::invalid_text);
  }
  for (const char* valid : {"", "a", "caf\xc3\xa9", "\xe0\xa0\x80", "\xed\x9f\xbf", "\xef\xbf\xbf",
                            "\xf0\x90\x80\x80", "\xf4\x8f\xbf\xbf", "12345678\xc3\xa9"})
    EXPECT_TRUE(is_valid_utf8(valid)) << valid;
}

}  // namespace
}  // namespace damsonport
