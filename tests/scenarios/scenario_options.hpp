/// Parses the options, names and counts in a line of a scenario trace.
#pragma once
#include <map>
#include <sstream>
#include <string>
#include <vector>

namespace damsonport::simulation {

/// The options after a verb. An option is `name=value`, or a name alone.
class Options {
 public:
  /// Reads all options up to the end of the line.
  static Options read(std::istringstream& line);

  bool contains(const std::string& name) const { return values_.contains(name); }
  /// These functions return the value of an option, or the default if it is missing.
  double number(const std::string& name, double default_value = 0) const;
  int integer(const std::string& name, int default_value = 0) const;
  std::string text(const std::string& name, const std::string& default_value = "") const;
  /// Returns the alphabetically first name. There must be at least one option.
  const std::string& first_name() const { return values_.begin()->first; }

 private:
  std::map<std::string, std::string> values_;
};

/// Splits a list at its commas.
std::vector<std::string> split_list(const std::string& text);

/// Expands lists and ranges of names: "run-1..run-3,run-7" gives run-1, run-2, run-3 and run-7.
std::vector<std::string> expand_names(const std::string& word);

/// An inclusive range of counts, written as "3" or "3..5".
struct CountRange {
  int min;
  int max;
  bool contains(int count) const { return min <= count && count <= max; }
};
CountRange parse_count_range(const std::string& text);

}  // namespace damsonport::simulation
