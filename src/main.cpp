/// The damsonport program: one controller on an event loop, until SIGTERM or SIGINT.
#include <event2/event.h>
#include <signal.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <optional>
#include <sstream>
#include <string>
#include <variant>

#include "coordination/controller.hpp"
#include "coordination/quotas/initial_units.hpp"
#include "transport/event_network.hpp"
#include "transport/file_limit.hpp"

namespace {

using damsonport::EventLoop;
using damsonport::RegionSettings;
using damsonport::Settings;

constexpr int exit_ok = 0;
constexpr int exit_failure = 1;
constexpr int exit_bad_settings = 2;

/// The command line.
struct Options {
  std::string settings_file;
  std::string regions_file;   // empty: there is one region only
  std::string replicas_file;  // empty: no class has replicas of several parts
  bool check_only = false;
};

/// All that the operators' files say.
struct Configuration {
  Settings settings;
  std::optional<RegionSettings> regions;
};

// The options, or the code with which the program has to exit.
std::variant<Options, int> parse_options(int argc, char** argv) {
  Options options;
  CLI::App app{
      "damsonport: schedules the replicas and batches of language models on rented fleets"};
  app.add_option("--config", options.settings_file, "settings file (TOML) of this controller")
      ->required();
  app.add_option("--regions", options.regions_file,
                 "file that names the regions among which the teams' limits are divided");
  app.add_option("--replicas", options.replicas_file,
                 "file that names the classes whose replicas span several machines");
  app.add_flag("--check", options.check_only, "check the settings and end");
  app.set_version_flag("--version", DAMSONPORT_VERSION);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    return app.exit(e) == 0 ? exit_ok : exit_bad_settings;
  }
  return options;
}

// False where the environment names no log level; the reason is logged.
bool set_up_logging() {
  // UTC without a time zone file: where there is no file system, reading one late, once the loop
  // ran, ended the process.
  setenv("TZ", "UTC0", 1);
  auto logger = spdlog::stderr_logger_st("damsonport");
  logger->set_pattern("%H:%M:%S.%e %l %v", spdlog::pattern_time_type::utc);
  spdlog::set_default_logger(logger);
  const char* wanted = std::getenv("LOG_LEVEL");
  const std::string level = wanted && *wanted ? wanted : "info";
  const auto parsed = spdlog::level::from_str(level);
  if (parsed == spdlog::level::off && level != "off") {
    spdlog::error("LOG_LEVEL: '{}' is none of error, warn, info, debug", level);
    return false;
  }
  spdlog::set_level(parsed);
  return true;
}

// Each problem on a line of its own.
void log_problems(const std::string& problems) {
  std::istringstream lines(problems);
  for (std::string line; std::getline(lines, line);) spdlog::error("{}", line);
}

damsonport::Result<Configuration> load_configuration(const Options& options) {
  Configuration out;
  auto settings = damsonport::load_settings(options.settings_file);
  if (!settings) return damsonport::Error{settings.error()};
  out.settings = std::move(*settings);
  if (!options.replicas_file.empty()) {
    auto replicas = damsonport::load_replicas(options.replicas_file);
    if (!replicas) return damsonport::Error{replicas.error()};
    out.settings.replicas = std::move(*replicas);
  }
  if (!options.regions_file.empty()) {
    auto regions = damsonport::load_regions(options.regions_file, out.settings.zone);
    if (!regions) return damsonport::Error{regions.error()};
    out.regions = std::move(*regions);
    damsonport::quotas::keep_guarantees_elsewhere(out.settings, *out.regions);
  }
  return out;
}

// Many systems allow 1,024 open files by default, fewer than a large fleet's connections.
void raise_open_file_limit(int max_sockets) {
  constexpr size_t other_files = 32;  // the log, the event loop's own, and the like
  const size_t wanted = static_cast<size_t>(max_sockets) + other_files;
  const size_t limit = damsonport::ensure_open_files(wanted);
  if (limit != 0 && limit < wanted)
    spdlog::warn("only {} files may be open, and the settings' max_sockets needs {}", limit,
                 wanted);
}

/// Stops the loop when the process receives the signal, as long as the object exists.
class StopOnSignal {
 public:
  StopOnSignal(EventLoop& loop, int signal_number)
      : event_(evsignal_new(loop.base(), signal_number, &StopOnSignal::on_signal, &loop),
               event_free) {
    event_add(event_.get(), nullptr);
  }

 private:
  static void on_signal(evutil_socket_t, short, void* loop) {
    spdlog::info("stopping on a signal");
    static_cast<EventLoop*>(loop)->stop();
  }

  std::unique_ptr<event, void (*)(event*)> event_;
};

int run_controller(const Configuration& configuration) {
  const Settings& settings = configuration.settings;
  raise_open_file_limit(settings.max_sockets);
  EventLoop loop;
  damsonport::EventNetwork network(loop);
  damsonport::Controller controller(loop, network, settings,
                                    configuration.regions ? &*configuration.regions : nullptr);
  if (!controller.start()) return exit_failure;
  const StopOnSignal on_terminate(loop, SIGTERM);
  const StopOnSignal on_interrupt(loop, SIGINT);
  signal(SIGPIPE, SIG_IGN);  // a write to a closed connection fails with an error code instead
  loop.run();
  return exit_ok;
}

}  // namespace

int main(int argc, char** argv) {
  const auto parsed = parse_options(argc, argv);
  if (const int* exit_code = std::get_if<int>(&parsed)) return *exit_code;
  const Options& options = std::get<Options>(parsed);
  if (!set_up_logging()) return exit_bad_settings;
  const auto configuration = load_configuration(options);
  if (!configuration) {
    log_problems(configuration.error());
    return exit_bad_settings;
  }
  spdlog::info("damsonport {} starts as {}", DAMSONPORT_VERSION,
               configuration->settings.controller_name);
  if (options.check_only) {
    std::cout << options.settings_file << ": ok\n";
    return exit_ok;
  }
  return run_controller(*configuration);
}
