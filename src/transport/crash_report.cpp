#include "transport/crash_report.hpp"

#include <signal.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstring>
#include <exception>
#include <vector>

namespace damsonport::crash_report {

namespace {

constexpr std::array handled_signals = {SIGSEGV, SIGBUS, SIGILL, SIGFPE, SIGABRT, SIGSYS};
constexpr size_t max_text_bytes = 128;
constexpr size_t handler_stack_bytes = size_t{32} * 1024;
constexpr int decimal = 10;
constexpr int hexadecimal = 16;

/// Text of bounded length that a signal handler may read.
struct FixedText {
  std::array<char, max_text_bytes> bytes{};
  size_t size = 0;

  void assign(std::string_view text) {
    size = std::min(text.size(), bytes.size());
    std::memcpy(bytes.data(), text.data(), size);
  }
};

/// State that the signal handlers read. Written only by the thread of the event loop.
struct State {
  bool has_request = false;
  FixedText method, path, sender;
  size_t body_bytes = 0;
  uint64_t digest = 0;
  uint64_t fencing_token = 0;
};
State state;

/// Builds a line with functions that a signal handler may call.
class LineWriter {
 public:
  void text(std::string_view text) {
    const size_t size = std::min(text.size(), line_.size() - size_);
    std::memcpy(line_.data() + size_, text.data(), size);
    size_ += size;
  }
  // Text of a client, without characters that could forge another line.
  void escaped(const FixedText& fixed) {
    for (size_t i = 0; i < fixed.size; ++i) {
      const char c = fixed.bytes[i];
      const bool is_printable = c > ' ' && c <= '~';
      text({is_printable ? &c : "?", 1});
    }
  }
  void number(uint64_t value, unsigned base) {
    constexpr size_t max_digits = 20;
    std::array<char, max_digits> digits{};
    size_t count = 0;
    do {
      digits[count++] = "0123456789abcdef"[value % base];
      value /= base;
    } while (value != 0);
    while (count > 0) text({&digits[--count], 1});
  }
  void write() const {
    if (::write(STDERR_FILENO, line_.data(), size_) < 0) return;  // nothing else can be done
  }

 private:
  static constexpr size_t max_line_bytes = 640;
  std::array<char, max_line_bytes> line_{};
  size_t size_ = 0;
};

void describe_request(LineWriter& line) {
  if (!state.has_request) return line.text(", no request is being handled");
  line.text(" while handling ");
  line.escaped(state.method);
  line.text(" ");
  line.escaped(state.path);
  line.text(" from ");
  line.escaped(state.sender);
  line.text(", ");
  line.number(state.body_bytes, decimal);
  line.text(" bytes, digest ");
  line.number(state.digest, hexadecimal);
}

void on_signal(int number) {
  LineWriter line;
  line.text("critical the process ends by signal ");
  line.number(static_cast<uint64_t>(number), decimal);
  describe_request(line);
  line.text("; fencing token ");
  line.number(state.fencing_token, decimal);
  line.text("\n");
  line.write();
  raise(number);  // the handler is reset, so this ends the process
}

[[noreturn]] void on_terminate() {
  if (const auto current = std::current_exception()) {
    try {
      std::rethrow_exception(current);
    } catch (const std::exception& e) {
      spdlog::critical("an exception ends the process: {}", e.what());
    } catch (...) {
      spdlog::critical("an exception of an unknown type ends the process");
    }
  }
  std::abort();
}

void install_handler_stack() {
  static std::vector<char> stack(
      std::max(handler_stack_bytes, static_cast<size_t>(sysconf(_SC_SIGSTKSZ))));
  stack_t description{};
  description.ss_sp = stack.data();
  description.ss_size = stack.size();
  sigaltstack(&description, nullptr);
}

}  // namespace

void install() {
  install_handler_stack();
  struct sigaction action {};
  action.sa_handler = on_signal;
  action.sa_flags = static_cast<int>(SA_ONSTACK | SA_RESETHAND | SA_NODEFER);
  sigemptyset(&action.sa_mask);
  for (const int number : handled_signals) sigaction(number, &action, nullptr);
  std::set_terminate(on_terminate);
}

void set_fencing_token(uint64_t token) { state.fencing_token = token; }

uint64_t body_digest(std::string_view body) {
  constexpr uint64_t offset_basis = 0xCBF29CE484222325;  // of FNV-1a, here by words of 8 bytes
  constexpr uint64_t prime = 0x100000001B3;
  uint64_t digest = offset_basis ^ body.size();
  while (!body.empty()) {
    uint64_t word = 0;
    const size_t size = std::min(body.size(), sizeof word);
    std::memcpy(&word, body.data(), size);
    digest = (digest ^ word) * prime;
    body.remove_prefix(size);
  }
  return digest;
}

RequestInProgress::RequestInProgress(const RequestSummary& request) {
  state.method.assign(request.method);
  state.path.assign(request.path);
  state.sender.assign(request.sender);
  state.body_bytes = request.body.size();
  state.digest = body_digest(request.body);
  state.has_request = true;
}

RequestInProgress::~RequestInProgress() { state.has_request = false; }

}  // namespace damsonport::crash_report
