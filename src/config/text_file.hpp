/// Functions that read a whole file into memory.
#pragma once
#include <string>

#include "protocol/result.hpp"

namespace damsonport {

/// Reads the file's bytes. The error names the file.
Result<std::string> read_text_file(const std::string& path);

/// Reads the file and parses the text with `parse`. Each problem that `parse` finds is prefixed
/// with the file's name.
template <class Parse>
auto parse_text_file(const std::string& path, Parse parse) -> decltype(parse(std::string())) {
  auto text = read_text_file(path);
  if (!text) return Error{text.error()};
  auto parsed = parse(*text);
  if (!parsed) return parsed.error_in(path);
  return parsed;
}

}  // namespace damsonport
