#include "config/text_file.hpp"

#include <filesystem>
#include <fstream>
#include <iterator>

namespace damsonport {

Result<std::string> read_text_file(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in || !std::filesystem::is_regular_file(path)) return Error{path + ": cannot be read"};
  return std::string(std::istreambuf_iterator<char>(in), {});
}

}  // namespace damsonport
