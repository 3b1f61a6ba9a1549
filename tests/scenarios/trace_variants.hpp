/// Names and contents of the kept scenario traces.
#pragma once
#include <istream>
#include <string>
#include <vector>

namespace damsonport::simulation {

/// Names of the traces below `trace_dir`/scenarios, sorted.
std::vector<std::string> trace_scenarios(const std::string& trace_dir);

/// Path of the trace with this name.
std::string scenario_path(const std::string& trace_dir, const std::string& name);

/// The lines of each variant of a trace: a line `vary NAME 1 2 3` plays the trace once for each
/// value, put where $NAME stands.
std::vector<std::vector<std::string>> trace_variants(std::istream& in);

}  // namespace damsonport::simulation
