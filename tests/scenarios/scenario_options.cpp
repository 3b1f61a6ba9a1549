#include "scenarios/scenario_options.hpp"

namespace damsonport::simulation {

Options Options::read(std::istringstream& line) {
  Options options;
  for (std::string word; line >> word;) {
    const auto equals = word.find('=');
    options.values_[word.substr(0, equals)] =
        equals == std::string::npos ? "yes" : word.substr(equals + 1);
  }
  return options;
}

double Options::number(const std::string& name, double default_value) const {
  auto it = values_.find(name);
  return it == values_.end() ? default_value : std::stod(it->second);
}

int Options::integer(const std::string& name, int default_value) const {
  return static_cast<int>(number(name, default_value));
}

std::string Options::text(const std::string& name, const std::string& default_value) const {
  auto it = values_.find(name);
  return it == values_.end() ? default_value : it->second;
}

std::vector<std::string> split_list(const std::string& text) {
  std::vector<std::string> items;
  std::istringstream in(text);
  for (std::string item; std::getline(in, item, ',');) items.push_back(item);
  return items;
}

std::vector<std::string> expand_names(const std::string& word) {
  std::vector<std::string> names;
  for (auto& item : split_list(word)) {
    const auto dots = item.find("..");
    if (dots == std::string::npos) {
      names.push_back(item);
      continue;
    }
    const auto first = item.substr(0, dots);
    const auto last = item.substr(dots + 2);
    const auto digits = first.find_last_not_of("0123456789") + 1;
    const int last_number = std::stoi(last.substr(digits));
    for (int number = std::stoi(first.substr(digits)); number <= last_number; ++number)
      names.push_back(first.substr(0, digits) + std::to_string(number));
  }
  return names;
}

CountRange parse_count_range(const std::string& text) {
  const auto dots = text.find("..");
  const int min = std::stoi(text);
  if (dots == std::string::npos) return {min, min};
  return {min, std::stoi(text.substr(dots + 2))};
}

}  // namespace damsonport::simulation
