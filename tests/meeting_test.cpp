// Meetings of troubles, each a kept trace played by whole controllers on virtual time.
#include "world/meeting.hpp"

#include <gtest/gtest.h>
#include <spdlog/pattern_formatter.h>
#include <spdlog/spdlog.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>

namespace damsonport::world {
namespace {

const World* shown = nullptr;

// The world's time and the controller at work, in place of the real time.
class WorldTime : public spdlog::custom_flag_formatter {
 public:
  void format(const spdlog::details::log_msg&, const std::tm&, spdlog::memory_buf_t& out) override {
    if (!shown) return;
    const auto text = fmt::format("{:9.3f} {}", shown->now(), shown->acting);
    out.append(text.data(), text.data() + text.size());
  }
  std::unique_ptr<custom_flag_formatter> clone() const override {
    return std::make_unique<WorldTime>();
  }
};

// MEETING_LOG=debug shows what the controllers log.
class Log : public testing::Environment {
 public:
  void SetUp() override {
    auto formatter = std::make_unique<spdlog::pattern_formatter>();
    formatter->add_flag<WorldTime>('*').set_pattern("%* %l %v");
    spdlog::set_formatter(std::move(formatter));
    const char* level = std::getenv("MEETING_LOG");
    spdlog::set_level(level ? spdlog::level::from_str(level) : spdlog::level::off);
  }
};
const auto* const log_set_up = testing::AddGlobalTestEnvironment(new Log);

class Meetings : public testing::TestWithParam<std::string> {};

TEST_P(Meetings, BreakNoRule) {
  std::ifstream in(std::string(TRACE_DIR) + "/meetings/" + GetParam() + ".trace");
  ASSERT_TRUE(in);
  Meeting meeting;
  shown = &meeting.world();
  for (std::string text; std::getline(in, text);) {
    auto complaint = meeting.line(text);
    ASSERT_TRUE(complaint.empty()) << complaint;
  }
  for (auto& what : meeting.play()) ADD_FAILURE() << what;
  shown = nullptr;
}

std::vector<std::string> meeting_names() {
  std::vector<std::string> out;
  for (auto& f : std::filesystem::directory_iterator(std::string(TRACE_DIR) + "/meetings"))
    if (f.path().extension() == ".trace") out.push_back(f.path().stem());
  std::sort(out.begin(), out.end());
  return out;
}
INSTANTIATE_TEST_SUITE_P(Kept, Meetings, testing::ValuesIn(meeting_names()));

}  // namespace
}  // namespace damsonport::world
