#include "protocol/toml_text.hpp"

#include <sstream>

namespace damsonport {

Result<toml::table> parse_toml(const std::string& text) {
  try {
    return toml::parse(text);
  } catch (const toml::parse_error& e) {
    std::ostringstream where;
    where << "line " << e.source().begin.line << ": " << e.description();
    return Error{where.str()};
  }
}

}  // namespace damsonport
