#include "protocol/task_id.hpp"

#include <charconv>

namespace damsonport {

bool parse_task_id(std::string_view text, TaskId& out) {
  const auto slash = text.rfind('/');
  if (slash == std::string_view::npos) return false;
  const auto index = text.substr(slash + 1);
  const auto [end, error] = std::from_chars(index.data(), index.data() + index.size(), out.index);
  if (error != std::errc{} || end != index.data() + index.size()) return false;
  out.job = std::string(text.substr(0, slash));
  return true;
}

}  // namespace damsonport
