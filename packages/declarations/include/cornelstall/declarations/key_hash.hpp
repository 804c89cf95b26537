#pragma once

#include <string_view>

#include "cornelstall/value.hpp"

namespace cornelstall
{

/// @brief The hash under which declarations store a bearer key.
/// @return SHA-256 of the key's bytes as 64 lower-case hexadecimal digits
/// @throws process_error (id 410) when OpenSSL offers no SHA-256
/// @note O(n) in the length of the key.
[[nodiscard]] key_hash hash_key(std::string_view bearer_key);

}  // namespace cornelstall
