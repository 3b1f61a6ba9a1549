/// Includes all headers of the shared records: keys, types, encoding and size limits.
#pragma once
#include "storage/record_encoding.hpp"
#include "storage/record_fields.hpp"
#include "storage/record_keys.hpp"
#include "storage/record_limits.hpp"
#include "storage/record_types.hpp"
#include "storage/task_chunk.hpp"
