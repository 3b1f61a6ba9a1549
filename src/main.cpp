/// The damsonport program: runs one controller on an event loop until SIGTERM or SIGINT.
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
#include "transport/crash_report.hpp"
#include "transport/event_network.hpp"
#include "transport/open_file_limit.hpp"

namespace {

using damsonport::EventLoop;
using damsonport::RegionSettings;
using damsonport::Settings;

constexpr int exit_ok = 0;
constexpr int exit_failure = 1;
constexpr int exit_bad_settings = 2;

/// Command-line options.
struct Options {
  std::string settings_file;
  std::string regions_file;   // empty if there is only one region
  std::string replicas_file;  // empty if no class has replicas of several parts
  bool check_only = false;
};

/// Contents of the operators' files.
struct Configuration {
  Settings settings;
  std::optional<RegionSettings> regions;
};

// Returns the options, or the exit code if the program has to exit.
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

// Sets up the log on stderr. If LOG_LEVEL is not a valid level, logs an error and returns false.
bool set_up_logging() {
  // "UTC0" defines UTC without a time zone file. Without a file system, reading such a file after
  // the start of the event loop ended the process.
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

// Logs each line of `problems` as a separate error.
void log_problems(const std::string& problems) {
  std::istringstream lines(problems);
  for (std::string line; std::getline(lines, line);) spdlog::error("{}", line);
}

// Loads the files that the options name. The error has one line per problem.
damsonport::Result<Configuration> load_configuration(const Options& options) {
  Configuration configuration;
  auto settings = damsonport::load_settings(options.settings_file);
  if (!settings) return damsonport::Error{settings.error()};
  configuration.settings = std::move(*settings);
  if (!options.replicas_file.empty()) {
    auto replicas = damsonport::load_replicas(options.replicas_file);
    if (!replicas) return damsonport::Error{replicas.error()};
    configuration.settings.replicas = std::move(*replicas);
  }
  if (!options.regions_file.empty()) {
    auto regions = damsonport::load_regions(options.regions_file, configuration.settings.zone);
    if (!regions) return damsonport::Error{regions.error()};
    configuration.regions = std::move(*regions);
    damsonport::quotas::set_guarantees_elsewhere(configuration.settings, *configuration.regions);
  }
  return configuration;
}

// Raises the process's limit of open files, since many systems allow only 1,024 by default, fewer
// than the connections of a large fleet.
void raise_open_file_limit(int max_sockets) {
  constexpr size_t other_files = 32;  // log, event loop and others
  const size_t wanted = static_cast<size_t>(max_sockets) + other_files;
  const size_t limit = damsonport::ensure_open_file_limit(wanted);
  if (limit != 0 && limit < wanted)
    spdlog::warn("only {} files may be open, and the settings' max_sockets needs {}", limit,
                 wanted);
}

/// Stops the loop when the process receives the signal, for the lifetime of this object.
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
  damsonport::crash_report::install();
  EventLoop loop;
  damsonport::EventNetwork network(loop);
  damsonport::Controller controller(loop, network, settings,
                                    configuration.regions ? &*configuration.regions : nullptr);
  if (!controller.start()) return exit_failure;
  const StopOnSignal on_terminate(loop, SIGTERM);
  const StopOnSignal on_interrupt(loop, SIGINT);
  signal(SIGPIPE, SIG_IGN);  // writes to closed connections return an error instead
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
  spdlog::info("damsonport {} is starting as controller {}", DAMSONPORT_VERSION,
               configuration->settings.controller_name);
  if (options.check_only) {
    std::cout << options.settings_file << ": ok\n";
    return exit_ok;
  }
  return run_controller(*configuration);
}
