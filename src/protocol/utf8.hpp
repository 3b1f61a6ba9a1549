/// Validation of UTF-8 text. Pure.
#pragma once
#include <string_view>

namespace damsonport {

/// Whether `text` is valid UTF-8 as RFC 3629 defines it: without overlong forms, surrogates, code
/// points above U+10FFFF and incomplete sequences.
bool is_valid_utf8(std::string_view text);

}  // namespace damsonport
