#pragma once

#include <string>
#include <string_view>

#include "cornelstall/decisions/version/ordering.hpp"

namespace cornelstall
{

/// @brief The stream of the log that holds changes and snapshots.
inline constexpr std::string_view configuration_stream = "configuration";

/// @brief Larger records are neither written nor read.
inline constexpr byte_count max_configuration_record{1'048'576};

/// @brief The JSON text of a change.
/// @throws version_error (id 321) when the text would be longer than `max_configuration_record`
[[nodiscard]] std::string encode(const change_record& record);

/// @brief The JSON text of one part of a snapshot.
/// @throws version_error (id 321) when the text would be longer than `max_configuration_record`
[[nodiscard]] std::string encode(const snapshot_record& record);

/// @brief Reads a record of the stream. Never throws: what cannot be read is a `malformed_record`, which all VMs skip.
/// @note O(n) in the length of the text.
[[nodiscard]] configuration_record decode_configuration(std::string_view text);

}  // namespace cornelstall
