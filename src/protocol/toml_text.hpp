// TOML as text, for settings and for the plans of experiments.
#pragma once
#include <toml++/toml.h>

#include <string>

#include "protocol/result.hpp"

namespace damsonport {

// Errors name the line.
Result<toml::table> parse_toml(const std::string& text);

}  // namespace damsonport
