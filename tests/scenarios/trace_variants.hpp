/// Names and contents of the scenario traces.
#pragma once
#include <istream>
#include <string>
#include <vector>

namespace damsonport::simulation {

/// Returns the names of the traces in `trace_dir`/scenarios, sorted.
std::vector<std::string> trace_scenarios(const std::string& trace_dir);

/// Returns the path of the trace with this name.
std::string scenario_path(const std::string& trace_dir, const std::string& name);

/// Returns the lines of each variant of a trace. A line `vary NAME 1 2 3` gives one variant for
/// each value, which replaces $NAME in the other lines.
std::vector<std::vector<std::string>> trace_variants(std::istream& in);

}  // namespace damsonport::simulation
