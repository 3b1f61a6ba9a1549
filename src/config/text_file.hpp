/// Files read as a whole.
#pragma once
#include <string>

#include "protocol/result.hpp"

namespace damsonport {

/// The file's bytes. The error names the file.
Result<std::string> read_text_file(const std::string& path);

/// What `parse` makes of the file's text; each problem that it finds gets the file's name.
template <class Parse>
auto parse_text_file(const std::string& path, Parse parse) -> decltype(parse(std::string())) {
  auto text = read_text_file(path);
  if (!text) return Error{text.error()};
  auto parsed = parse(*text);
  if (!parsed) return parsed.error_in(path);
  return parsed;
}

}  // namespace damsonport
