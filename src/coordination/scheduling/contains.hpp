/// Linear search for the short lists of a snapshot.
#pragma once
#include <algorithm>
#include <vector>

namespace damsonport::scheduling {

/// Whether the list contains the item.
template <class T>
[[nodiscard]] bool contains(const std::vector<T>& list, const T& item) {
  return std::find(list.begin(), list.end(), item) != list.end();
}

}  // namespace damsonport::scheduling
