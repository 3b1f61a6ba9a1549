// Whole files as text.
#pragma once
#include <string>

#include "protocol/result.hpp"

namespace damsonport {

// Errors name the file.
Result<std::string> read_text_file(const std::string& path);

}  // namespace damsonport
