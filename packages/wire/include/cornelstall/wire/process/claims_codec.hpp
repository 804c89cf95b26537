#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "cornelstall/decisions/process/claims.hpp"

namespace cornelstall
{

/// @brief The stream of the log that decides which attempt of a non-idempotent call may be sent.
inline constexpr std::string_view claims_stream = "claims";

/// @brief Larger records are not read. A recorded body may take six bytes for each of its own.
inline constexpr byte_count max_claims_record{131'072};

/// @brief The JSON text of a record.
///
/// Keys, paths and bodies are bytes of any encoding, JSON holds Unicode only: each byte is written as the character
/// with its number, so that ASCII stays readable.
/// Linear in the record.
[[nodiscard]] std::string encode(const claims_record& record);

/// @brief Reads a record of the stream.
/// @return nothing for a text that is malformed or exceeds a limit; all VMs skip and count it
/// Linear in the text.
[[nodiscard]] std::optional<claims_record> decode_claims_record(std::string_view text);

}  // namespace cornelstall
