/// A key of the key-value store with its value.
#pragma once
#include <cstdint>
#include <string>

#include "protocol/messages.hpp"

namespace damsonport {

struct KeyValue {
  std::string key;
  Json value;            // null: absent
  uint64_t version = 0;  // revision of the last write
  uint64_t lease = 0;    // that the key is attached to; 0: none
};

}  // namespace damsonport
