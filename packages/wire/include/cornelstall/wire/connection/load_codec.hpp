#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "cornelstall/decisions.hpp"

namespace cornelstall
{

/// @brief Encodes @a report as one datagram. Work beyond @a limit bytes is left out, the last entries first.
[[nodiscard]] std::string encode_load_report(const load_report& report, byte_count limit, time_point now);

/// @brief Encodes a configuration document for another VM.
[[nodiscard]] std::string encode_document(const configuration_document& document);

/// @brief Decodes a configuration document; nothing when it is malformed.
[[nodiscard]] std::optional<configuration_document> decode_document(std::string_view bytes);

/// @brief Decodes a datagram; nothing when it is malformed.
[[nodiscard]] std::optional<load_report> decode_load_report(std::string_view bytes, time_point now);

}  // namespace cornelstall
