// Bodies that no receiver may be ended by. Each body is decoded in a process of its own.
#include <gtest/gtest.h>
#include <limits.h>
#include <pthread.h>

#include <algorithm>
#include <functional>

#include "protocol/messages.hpp"

namespace damsonport {
namespace {

constexpr size_t max_body_bytes = size_t{64} * 1024;
constexpr size_t small_stack_bytes = size_t{128} * 1024;

// Runs `body` on a thread with a small stack and ends the process with status 0.
[[noreturn]] void run_on_small_stack(std::function<void()> body) {
  pthread_attr_t attributes;
  pthread_attr_init(&attributes);
  pthread_attr_setstacksize(&attributes, std::max<size_t>(small_stack_bytes, PTHREAD_STACK_MIN));
  pthread_t thread{};
  auto run = [](void* argument) -> void* {
    (*static_cast<std::function<void()>*>(argument))();
    return nullptr;
  };
  if (pthread_create(&thread, &attributes, run, &body) != 0) _exit(1);
  pthread_join(thread, nullptr);
  _exit(0);
}

std::string repeated(const std::string& part, size_t bytes) {
  std::string out;
  while (out.size() + part.size() <= bytes) out += part;
  return out;
}

// A map with a field that is needed and one with this value.
std::string map_with_unknown_field(const std::string& value) {
  std::string body = "\xa2";
  body += encode("ref") + encode("run-1") + encode("unknown") + value;
  return body;
}

struct NestedBody {
  const char* name;
  std::string body;
};

std::vector<NestedBody> incomplete_nested_bodies() {
  return {{"indefinite text", repeated("\x7f", max_body_bytes)},
          {"indefinite bytes", repeated("\x5f", max_body_bytes)},
          {"arrays", repeated("\x81", max_body_bytes)},
          {"indefinite arrays", repeated("\x9f", max_body_bytes)},
          {"maps", repeated("\xa1\x61k", max_body_bytes)},
          {"indefinite maps", repeated("\xbf\x61k", max_body_bytes)},
          {"maps as keys", repeated("\xa1", max_body_bytes)},
          {"tags", repeated("\xc1", max_body_bytes)}};
}

std::vector<NestedBody> complete_nested_bodies() {
  constexpr size_t level_bytes = max_body_bytes / 4;
  const std::string null = "\xf6";
  return {{"arrays", map_with_unknown_field(repeated("\x81", level_bytes) + null)},
          {"indefinite arrays", map_with_unknown_field(repeated("\x9f", level_bytes) + null +
                                                       repeated("\xff", level_bytes))},
          {"maps", map_with_unknown_field(repeated("\xa1\x61k", level_bytes) + null)},
          {"tags", map_with_unknown_field(repeated("\xc1", level_bytes) + null)}};
}

TEST(MalformedBody, NestedToTheEnd_RefusedWithoutEndingTheProcess) {
  for (const auto& [name, body] : incomplete_nested_bodies()) {
    SCOPED_TRACE(name);
    for (const std::string& input : {body, map_with_unknown_field(body)})
      EXPECT_EXIT(run_on_small_stack([&] { _exit(decode_map(input).is_null() ? 0 : 2); }),
                  testing::ExitedWithCode(0), "");
  }
}

TEST(MalformedBody, UnknownFieldDeeplyNested_OtherFieldsReadWithoutEndingTheProcess) {
  for (const auto& [name, body] : complete_nested_bodies()) {
    SCOPED_TRACE(name);
    auto decode_and_copy = [&body = body] {
      const Json map = decode_map(body);
      Json copy = map;
      copy["added"] = true;
      std::string id;
      const bool is_read = cbor::read(copy, "ref", id) && id == "run-1";
      if (!is_read || copy.size() != map.size() + 1 || encode(copy).empty()) _exit(2);
    };
    EXPECT_EXIT(run_on_small_stack(decode_and_copy), testing::ExitedWithCode(0), "");
  }
}

}  // namespace
}  // namespace damsonport
