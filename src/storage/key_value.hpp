/// An entry of the key-value store: a key with its value, version and lease.
#pragma once
#include <cstdint>
#include <string>

#include "protocol/messages.hpp"

namespace damsonport {

/// One key as the store returned it. For a removed key, `value` is null and `version` is the
/// revision of the removal.
struct KeyValue {
  std::string key;
  Json value;            // null: the key is absent
  uint64_t version = 0;  // revision of the last write
  uint64_t lease = 0;    // lease that the key is attached to; 0: none
};

}  // namespace damsonport
