// The last log line of a process that ends by a fault. Each process of these tests is its own.
#include "transport/crash_report.hpp"

#include <gtest/gtest.h>
#include <signal.h>

#include <limits>
#include <stdexcept>

#include "transport/event_loop.hpp"

namespace damsonport {
namespace {

// Recurses until the stack is full.
// NOLINTNEXTLINE(misc-no-recursion)
size_t exhaust_stack(size_t depth) {
  volatile char frame[1024];
  frame[depth % sizeof frame] = 1;
  if (depth == std::numeric_limits<size_t>::max()) return 0;
  return exhaust_stack(depth + 1) + static_cast<size_t>(frame[0]);
}

[[noreturn]] void end_while_handling_a_request(void (*fault)()) {
  crash_report::install();
  crash_report::set_fencing_token(41);
  const std::string body(40000, '\x7f');
  const crash_report::RequestInProgress request({"POST", "/api/jobs\nforged", "10.9.0.1:5", body});
  fault();
  _exit(0);
}

constexpr const char* expected_line =
    "the process ends by signal .* while handling POST /api/jobs.forged from 10.9.0.1:5, "
    "40000 bytes, digest [0-9a-f]+; fencing token 41";

TEST(CrashReport, StackExhausted_LineNamesTheRequest) {
  EXPECT_EXIT(end_while_handling_a_request([] { exhaust_stack(0); }),
              testing::KilledBySignal(SIGSEGV), expected_line);
}

TEST(CrashReport, Aborted_LineNamesTheRequest) {
  EXPECT_EXIT(end_while_handling_a_request([] { abort(); }), testing::KilledBySignal(SIGABRT),
              expected_line);
}

TEST(CrashReport, NoRequest_LineSaysSo) {
  auto end = [] {
    crash_report::install();
    raise(SIGBUS);
  };
  EXPECT_EXIT(end(), testing::KilledBySignal(SIGBUS), "no request is being handled");
}

Task<void> failing_task(Loop& loop) {
  co_await Sleep(loop, 0, loop.stop_token());
  throw std::runtime_error("the reason");
}

TEST(EssentialTask, EndedByAnException_ProcessEndsWithALine) {
  auto run = [] {
    EventLoop loop;
    loop.spawn_essential("election", failing_task(loop));
    loop.run();
  };
  EXPECT_EXIT(run(), testing::KilledBySignal(SIGABRT), "");
}

}  // namespace
}  // namespace damsonport
