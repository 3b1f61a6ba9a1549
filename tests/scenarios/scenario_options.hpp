/// Options of a line of a scenario trace.
#pragma once
#include <map>
#include <sstream>
#include <string>
#include <vector>

namespace damsonport::simulation {

/// The options behind a verb: `name=value`, or a name alone.
class Options {
 public:
  /// Reads all words that are left on the line.
  static Options read(std::istringstream& line);

  bool contains(const std::string& name) const { return values_.contains(name); }
  double number(const std::string& name, double default_value = 0) const;
  int integer(const std::string& name, int default_value = 0) const;
  std::string text(const std::string& name, const std::string& default_value = "") const;
  /// The name of the first word by alphabet. At least one word must be there.
  const std::string& first_name() const { return values_.begin()->first; }

 private:
  std::map<std::string, std::string> values_;
};

/// The items of a list whose separator is a comma.
std::vector<std::string> split_list(const std::string& text);

/// All names that a word stands for: "run-1..run-3,run-7" is run-1, run-2, run-3, run-7.
std::vector<std::string> expand_names(const std::string& word);

/// Bounds of a count, both included: "3" or "3..5".
struct CountRange {
  int least;
  int most;
  bool contains(int count) const { return least <= count && count <= most; }
};
CountRange parse_count_range(const std::string& text);

}  // namespace damsonport::simulation
