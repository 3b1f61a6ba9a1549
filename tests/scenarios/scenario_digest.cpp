/// Prints a hash of all traffic of fault scenarios on virtual time: the bytes of requests,
/// responses and stream messages in order, with their virtual times. Two versions of the program
/// with equal digests behave identically in these scenarios. See tests/README.md.
///
///   scenario_digest --list          prints the names of all scenarios, one on a line
///   scenario_digest NAME [NAME...]  prints a line "NAME HASH" for each scenario
///   scenario_digest --log NAME      prints a line for each message, to find the first difference
#include <spdlog/spdlog.h>

#include <bit>
#include <charconv>
#include <fstream>
#include <iomanip>
#include <iostream>

#include "scenarios/fault_scenario.hpp"
#include "scenarios/random_replica_scenario.hpp"
#include "scenarios/random_scenario.hpp"
#include "scenarios/trace_variants.hpp"

namespace damsonport::simulation {
namespace {

constexpr uint64_t random_seed_count = 100;  // for each kind of random scenario
constexpr std::string_view random_prefix = "drawn/";
constexpr std::string_view random_replica_prefix = "drawn-replica/";
using Lines = std::vector<std::string>;

/// A 64-bit FNV-1a hash.
class TrafficHash {
 public:
  void add(std::string_view bytes) {
    constexpr uint64_t prime = 0x100000001b3;
    for (const unsigned char byte : bytes) {
      value_ ^= byte;
      value_ *= prime;
    }
    // The length separates a field from the next one.
    value_ ^= bytes.size();
    value_ *= prime;
  }
  void add(double number) { add(std::to_string(std::bit_cast<uint64_t>(number))); }
  uint64_t value() const { return value_; }

 private:
  uint64_t value_ = 0xcbf29ce484222325;
};

bool log_messages = false;

void log_message(double now, const std::string& from, const std::string& to,
                 std::string_view header, std::string_view body) {
  TrafficHash hash;
  hash.add(body);
  std::cout << std::fixed << std::setprecision(9) << now << ' ' << from << " -> " << to << ' '
            << header << ' ' << std::hex << hash.value() << std::dec << '\n';
}

void play(const Lines& lines, uint64_t seed, TrafficHash& hash) {
  FaultScenario scenario(seed);
  scenario.fixtures_dir = FIXTURES_DIR;
  for (const auto& text : lines) {
    if (const auto error = scenario.add_line(text)) throw std::runtime_error(text + ": " + *error);
  }
  scenario.world().observe_traffic([&](const std::string& from, const std::string& to,
                                       std::string_view header, std::string_view body) {
    if (log_messages) log_message(scenario.world().now(), from, to, header, body);
    hash.add(scenario.world().now());
    hash.add(from);
    hash.add(to);
    hash.add(header);
    hash.add(body);
  });
  for (const auto& failure : scenario.play()) hash.add(failure);
}

uint64_t parse_seed(const std::string& name, std::string_view prefix) {
  return std::stoull(name.substr(prefix.size()));
}

uint64_t digest(const std::string& name) {
  TrafficHash hash;
  if (name.starts_with(random_prefix)) {
    const uint64_t seed = parse_seed(name, random_prefix);
    play(random_scenario(seed, RepeatedRequests::none), seed, hash);
  } else if (name.starts_with(random_replica_prefix)) {
    const uint64_t seed = parse_seed(name, random_replica_prefix);
    play(random_replica_scenario(seed, RepeatedRequests::none), seed, hash);
  } else {
    std::ifstream in(scenario_path(TRACE_DIR, name));
    if (!in) throw std::runtime_error(name + ": there is no such scenario");
    for (const auto& lines : trace_variants(in)) play(lines, 1, hash);
  }
  return hash.value();
}

void list_scenarios() {
  for (const auto& name : trace_scenarios(TRACE_DIR)) std::cout << name << '\n';
  for (const auto prefix : {random_prefix, random_replica_prefix})
    for (uint64_t seed = 1; seed <= random_seed_count; ++seed) std::cout << prefix << seed << '\n';
}

}  // namespace
}  // namespace damsonport::simulation

int main(int argc, char** argv) {
  using namespace damsonport::simulation;
  std::vector<std::string> arguments(argv + 1, argv + argc);
  if (arguments.empty()) {
    std::cerr << "usage: scenario_digest --list | NAME...\n";
    return 2;
  }
  spdlog::set_level(spdlog::level::off);
  if (arguments.front() == "--list") {
    list_scenarios();
    return 0;
  }
  if (arguments.front() == "--log") {
    log_messages = true;
    arguments.erase(arguments.begin());
  }
  try {
    for (const auto& name : arguments)
      std::cout << name << ' ' << std::hex << std::setw(16) << std::setfill('0') << digest(name)
                << std::endl;
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
    return 1;
  }
}
