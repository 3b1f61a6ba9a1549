#include <event2/event.h>
#include <signal.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <cstdlib>
#include <iostream>
#include <optional>
#include <sstream>

#include "coordination/controller.hpp"
#include "coordination/quotas/initial_units.hpp"
#include "transport/event_network.hpp"
#include "transport/file_limit.hpp"

namespace {

constexpr int exit_bad_settings = 2;

bool set_up_logging() {
  // UTC without a time zone file: where no file system is to be had, reading one late, once the
  // loop was there, ended the process.
  setenv("TZ", "UTC0", 1);
  auto logger = spdlog::stderr_logger_st("damsonport");
  logger->set_pattern("%H:%M:%S.%e %l %v", spdlog::pattern_time_type::utc);
  spdlog::set_default_logger(logger);
  const char* wanted = std::getenv("LOG_LEVEL");
  std::string level = wanted && *wanted ? wanted : "info";
  auto parsed = spdlog::level::from_str(level);
  if (parsed == spdlog::level::off && level != "off") {
    spdlog::error("LOG_LEVEL: '{}' is none of error, warn, info, debug", level);
    return false;
  }
  spdlog::set_level(parsed);
  return true;
}

// One a line.
void log_problems(const std::string& problems) {
  std::istringstream lines(problems);
  for (std::string line; std::getline(lines, line);) spdlog::error("{}", line);
}

// The default of many systems, 1,024, is less than a large fleet's connections.
void ensure_sockets(int max_sockets) {
  constexpr size_t other_files = 32;  // the log, the event loop's own, and the like
  const size_t wanted = static_cast<size_t>(max_sockets) + other_files;
  const size_t limit = damsonport::ensure_open_files(wanted);
  if (limit != 0 && limit < wanted)
    spdlog::warn("only {} files may be open, and the settings' max_sockets needs {}", limit,
                 wanted);
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{
      "damsonport: schedules the replicas and batches of language models on rented fleets"};
  std::string config, regions_file, replicas_file;
  bool check = false;
  app.add_option("--config", config, "settings file (TOML) of this controller")->required();
  app.add_option("--regions", regions_file,
                 "file that names the regions among which the teams' limits are divided");
  app.add_option("--replicas", replicas_file,
                 "file that names the classes whose replicas span several machines");
  app.add_flag("--check", check, "check the settings and end");
  app.set_version_flag("--version", DAMSONPORT_VERSION);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    return app.exit(e) == 0 ? 0 : exit_bad_settings;
  }
  if (!set_up_logging()) return exit_bad_settings;
  auto settings = damsonport::load_settings(config);
  if (!settings) {
    log_problems(settings.error());
    return exit_bad_settings;
  }
  if (!replicas_file.empty()) {
    auto loaded = damsonport::load_replicas(replicas_file);
    if (!loaded) {
      log_problems(loaded.error());
      return exit_bad_settings;
    }
    settings->replicas = std::move(*loaded);
  }
  std::optional<damsonport::RegionSettings> regions;
  if (!regions_file.empty()) {
    auto loaded = damsonport::load_regions(regions_file, settings->zone);
    if (!loaded) {
      log_problems(loaded.error());
      return exit_bad_settings;
    }
    regions = std::move(*loaded);
    damsonport::quotas::keep_guarantees_elsewhere(*settings, *regions);
  }
  spdlog::info("damsonport {} starts as {}", DAMSONPORT_VERSION, settings->controller_name);
  if (check) {
    std::cout << config << ": ok\n";
    return 0;
  }
  ensure_sockets(settings->max_sockets);
  damsonport::EventLoop loop;
  damsonport::EventNetwork network(loop);
  damsonport::Controller controller(loop, network, *settings, regions ? &*regions : nullptr);
  if (!controller.start()) return 1;
  auto on_signal = [](evutil_socket_t, short, void* l) {
    spdlog::info("told to end");
    static_cast<damsonport::EventLoop*>(l)->stop();
  };
  event* ends[] = {evsignal_new(loop.base(), SIGTERM, on_signal, &loop),
                   evsignal_new(loop.base(), SIGINT, on_signal, &loop)};
  for (auto* e : ends) event_add(e, nullptr);
  signal(SIGPIPE, SIG_IGN);
  loop.run();
  for (auto* e : ends) event_free(e);
  return 0;
}
