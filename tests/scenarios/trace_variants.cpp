#include "scenarios/trace_variants.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <filesystem>
#include <sstream>

namespace damsonport::simulation {

std::vector<std::string> trace_scenarios(const std::string& trace_dir) {
  std::vector<std::string> names;
  for (auto& file : std::filesystem::directory_iterator(trace_dir + "/scenarios"))
    if (file.path().extension() == ".trace") names.push_back(file.path().stem());
  std::sort(names.begin(), names.end());
  return names;
}

std::string scenario_path(const std::string& trace_dir, const std::string& name) {
  return trace_dir + "/scenarios/" + name + ".trace";
}

std::vector<std::vector<std::string>> trace_variants(std::istream& in) {
  std::vector<std::vector<std::string>> out(1);
  for (std::string text; std::getline(in, text);) {
    if (!text.starts_with("vary ")) {
      for (auto& lines : out) lines.push_back(text);
      continue;
    }
    std::istringstream words(text.substr(5));
    std::string name;
    words >> name;
    std::vector<std::vector<std::string>> more;
    for (std::string value; words >> value;)
      for (auto& lines : out) {
        more.push_back(lines);
        more.back().push_back(fmt::format("let {} {}", name, value));
      }
    out = std::move(more);
  }
  for (auto& lines : out) {
    std::vector<std::pair<std::string, std::string>> values;
    std::vector<std::string> played;
    for (auto& text : lines) {
      if (text.starts_with("let ")) {
        std::istringstream words(text.substr(4));
        auto& [name, value] = values.emplace_back();
        words >> name >> value;
        continue;
      }
      for (auto& [name, value] : values)
        for (size_t at = 0; (at = text.find("$" + name)) != std::string::npos;)
          text.replace(at, name.size() + 1, value);
      played.push_back(text);
    }
    lines = std::move(played);
  }
  return out;
}

}  // namespace damsonport::simulation
