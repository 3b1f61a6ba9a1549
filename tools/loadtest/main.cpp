// damsonport-loadtest: runs an experiment with real controllers and simulated workers on this host.
#include <signal.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <limits>

#include "experiment_run.hpp"
#include "transport/open_file_limit.hpp"

namespace {

constexpr int exit_bad_plan = 2, exit_rule_broken = 3, exit_controller_ended = 4;

volatile bool stop_requested = false;

// Path of the controller in the build directory of this tool.
std::string default_controller() {
  std::error_code ignored;
  const auto self = std::filesystem::read_symlink("/proc/self/exe", ignored);
  return (self.parent_path() / ".." / ".." / "damsonport").lexically_normal().string();
}

// Creates the wanted directory, or a new temporary one if the path is empty. Returns its path.
std::string make_directory(const std::string& wanted) {
  if (!wanted.empty()) {
    std::filesystem::create_directories(wanted);
    return wanted;
  }
  auto pattern = (std::filesystem::temp_directory_path() / "damsonport-loadtest.XXXXXX").string();
  return mkdtemp(pattern.data()) ? pattern : std::string();
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{
      "damsonport-loadtest: runs an experiment with real controllers and simulated workers"};
  std::string file, results_file, directory, program = default_controller();
  bool check = false;
  app.add_option("experiment", file, "plan of the experiment (TOML), see experiments/README.md")
      ->required();
  app.add_option("--results", results_file, "output file for the results (JSON)");
  app.add_option("--directory", directory,
                 "directory for settings and logs; a new temporary one by default");
  app.add_option("--controller", program, "path of the controller's executable");
  app.add_flag("--check", check, "check the plan and exit");
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    return app.exit(e) == 0 ? 0 : exit_bad_plan;
  }
  spdlog::set_default_logger(spdlog::stderr_logger_st("loadtest"));
  auto plan = damsonport::loadtest::load_plan(file);
  if (!plan) {
    std::cerr << plan.error() << "\n";
    return exit_bad_plan;
  }
  if (check) {
    std::cout << file << ": ok, " << plan->process_count() << " processes, about "
              << static_cast<int>(plan->estimated_memory_mb()) << " MB\n";
    return 0;
  }
  if (!std::filesystem::exists(program)) {
    std::cerr << "--controller: no such file: " << program << "\n";
    return exit_bad_plan;
  }
  damsonport::ensure_open_file_limit(std::numeric_limits<int>::max());
  directory = make_directory(directory);
  std::cout << plan->title << ": settings and logs in " << directory << std::endl;
  signal(SIGPIPE, SIG_IGN);
  for (int number : {SIGINT, SIGTERM}) signal(number, [](int) { stop_requested = true; });
  damsonport::loadtest::ExperimentRun run(*plan, directory, program, std::cout);
  const auto results = run.run(stop_requested);
  damsonport::loadtest::print_table(std::cout, *plan, results);
  if (!results_file.empty())
    std::ofstream(results_file) << results_json(*plan, results).dump(1) << "\n";
  if (!results.rule_violations.empty()) return exit_rule_broken;
  return results.unexpected_exits == 0 ? 0 : exit_controller_ended;
}
